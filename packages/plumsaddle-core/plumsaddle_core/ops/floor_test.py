"""
Tests of the trials that keep a service's healthy targets in use.
"""

import random
from collections import Counter, deque

import pytest

from .floor import (
    DEGRADED_WINDOW,
    TRIALS_PER_REQUEST,
    TRIALS_PER_SECOND,
    UNUSED_TIMEOUT,
    RecentResults,
    Trials,
    find_trial,
)
from .shared_state import SharedState

USED = {"a": 10.0, "b": 9.9, "c": 5.0, "d": 6.0}
EQUALLY_HEALTHY = {"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1}


def _two_targets():
    return ["a", "b"], {"a", "b"}


def test_the_target_most_likely_healthy_is_tried():
    """Recovered targets would stay idle, and lost hosts would leave too few in use."""
    failing = {**EQUALLY_HEALTHY, "c": 0.8, "d": 0.3}
    assert find_trial(list(USED), set(USED), failing.get, USED.get, 0.7, 10.0) == "d"
    used = {**USED, "d": 9.5}
    assert find_trial(list(used), set(used), failing.get, used.get, 0.7, 10.0) is None
    assert find_trial(["a", "b"], {"a", "b"}, failing.get, USED.get, 0.7, 10.0) is None


def test_failing_targets_get_no_trials():
    """A trial of a target that is known to fail would lose a request."""
    failing = {**EQUALLY_HEALTHY, "c": 0.97, "d": 0.97}
    assert find_trial(list(USED), set(USED), failing.get, USED.get, 0.7, 10.0) is None
    alone = {"c": 0.7}
    assert find_trial(["c"], {"c"}, alone.get, USED.get, 0.7, 10.0) is None


def test_a_target_counts_as_unused_after_the_timeout():
    used = {"a": 10.0}
    failing = {"a": 0.2}
    before, after = 9.9 + UNUSED_TIMEOUT, 10.1 + UNUSED_TIMEOUT
    assert find_trial(["a"], {"a"}, failing.get, used.get, 0.7, before) is None
    assert find_trial(["a"], {"a"}, failing.get, used.get, 0.7, after) == "a"


def test_trials_are_limited_to_a_share_of_the_requests():
    """With few requests per target, unlimited trials would be much of the load."""
    shared = SharedState(0.2, 10.0, started_at=-100.0)
    trials = Trials()
    found = [trials.find("s", _two_targets, shared, 0.7, 0.0) for _ in range(160)]
    tried = sum(1 for trial in found if trial is not None)
    assert 160 * TRIALS_PER_REQUEST <= tried <= 160 * TRIALS_PER_REQUEST + 1


def test_trials_are_unlimited_while_a_service_is_degraded():
    shared = SharedState(0.2, 10.0, started_at=-100.0)
    for _ in range(20):
        shared.note_request_end("s", False, 0.0)
    trials = Trials()
    found = [trials.find("s", _two_targets, shared, 0.7, 0.0) for _ in range(20)]
    assert None not in found


def test_degradation_needs_a_share_of_failures_and_expires():
    results = RecentResults()
    results.add(7, 7, 0.0)
    assert not results.is_degraded(0.1)
    results.add(13, 0, 0.5)
    lone = RecentResults()
    lone.add(9, 1, 0.0)
    assert not lone.is_degraded(0.1)
    assert results.is_degraded(0.6)
    results.add(200, 1, 0.7)
    assert not results.is_degraded(0.8)
    results.add(10, 2, 0.7 + DEGRADED_WINDOW)
    assert results.is_degraded(0.8 + DEGRADED_WINDOW)


@pytest.mark.parametrize("interval", [2, 3, 4, 5])
def test_a_service_is_degraded_before_a_tenth_of_two_seconds_is_lost(interval):
    """Idle targets got their first trials only when too much had been lost already."""
    results = RecentResults()
    recent = deque(maxlen=200)
    degraded_since = None
    for step in range(400):
        # A twentieth of the requests fails, and a larger part after some seconds.
        is_lost = step % (20 if step < 300 else interval) == 0
        at = 10.0 + step * 0.01
        results.add(1, int(is_lost), at)
        recent.append(is_lost)
        if not results.is_degraded(at):
            degraded_since = None
        elif degraded_since is None:
            degraded_since = at
        if step >= 300 and sum(recent) > 0.1 * len(recent):
            break
    # Half of the mean time until an idle target is tried.
    assert degraded_since is not None
    assert at - degraded_since >= 0.5 / TRIALS_PER_SECOND


def test_many_hosts_do_not_try_the_same_target_at_once():
    """Each host tried the likeliest idle target, and a failing one lost all of them."""
    host_count, interval, steps = 40, 0.3, 200
    rng = random.Random(1)
    hosts = [(Trials(rng), _many_hosts(host_count)) for _ in range(host_count)]
    found = Counter()
    for step in range(steps):
        for trials, shared in hosts:
            at = 10.0 + interval * step
            found[trials.find("s", _two_targets, shared, 0.7, at)] += 1
    limit = TRIALS_PER_SECOND * interval * steps
    assert 0.5 * limit < found["a"] < 1.5 * limit
    assert 0.5 * limit < found["b"] < 1.5 * limit


def _many_hosts(count):
    """Return the state of one of many hosts, with a degraded service."""
    shared = SharedState(0.2, 10.0, started_at=-100.0)
    shared.live_host_count = lambda: count
    shared.is_degraded_overall = lambda service, now: True
    return shared


def test_doubted_targets_are_tried_while_a_service_is_degraded():
    """Targets in doubt stayed idle for seconds, since the others made up the floor."""
    targets = [str(number) for number in range(20)]
    shared = SharedState(0.2, 10.0, started_at=-100.0)
    for incarnation in targets:
        shared.note_send_start(incarnation, 10.0)
    doubted = "19"
    shared.last_used_at = lambda incarnation: 8.0 if incarnation == doubted else 10.0
    shared.failing_probability = lambda incarnation, now: (
        0.75 * (incarnation == doubted)
    )
    for _ in range(20):
        shared.note_request_end("s", False, 10.0)
    trial = Trials().find("s", lambda: (targets, set(targets)), shared, 0.7, 10.0)
    assert trial == doubted


def test_the_likeliest_target_is_tried_first_by_many_hosts():
    """Targets in doubt took the few trials of calm times, and lost more orders."""
    rng = random.Random(1)
    hosts = [(Trials(rng), _many_hosts(40)) for _ in range(40)]
    found = Counter()
    for trials, shared in hosts:
        shared.is_degraded_overall = lambda service, now: False
        shared.failing_probability = lambda incarnation, now: {"a": 0.5, "b": 0.1}[
            incarnation
        ]
        for step in range(200):
            found[trials.find("s", _two_targets, shared, 0.7, 10.0 + 0.3 * step)] += 1
    assert found["b"] and not found["a"]


def test_doubted_targets_rest_while_the_service_is_not_degraded_as_a_whole():
    """A data centre that was degraded by chance lost orders to failing targets."""
    shared = SharedState(0.2, 10.0, started_at=-100.0)
    shared.failing_probability = lambda incarnation, now: 0.75
    for _ in range(20):
        shared.note_request_end("s", False, 10.0)
    trials = Trials()
    assert trials.find("s", _two_targets, shared, 0.7, 10.0) is not None
    shared.apply_remote_results("y", {"s": (1000, 0)}, 10.0)
    assert shared.is_degraded("s", 10.0)
    assert trials.find("s", _two_targets, shared, 0.7, 10.0) is None
