"""
Tests of the state that the hosts of a data centre share.
"""

import random

from ..core.traffic import RequestKind, Target, TargetState
from .choice import Candidate, RequestProfile, choose_target
from .data_centre_retry_budget import SAFETY_FACTOR, DataCentreRetryBudget
from .peer_updates import Counts, HealthSignal, OutcomeRecord, PeerUpdate, target_tag
from .route_times import DEFAULT_DURATION
from .shared_state import PEER_TIMEOUT, SharedState


def _shared():
    return SharedState(0.2, 10.0, started_at=-100.0)


def _update(
    number, outcomes=(), in_flight=None, counts=None, incarnation=1, host="peer"
):
    records = tuple(
        OutcomeRecord(n, t, "look", "r", signal, 0.3) for n, t, signal in outcomes
    )
    tags = {target_tag(target): count for target, count in (in_flight or {}).items()}
    return PeerUpdate(host, incarnation, number, tags, records, counts or {})


def test_an_outcome_counts_once():
    """
    Guards against counting an outcome again when later messages repeat it.
    """
    shared, once = _shared(), _shared()
    once.apply_update(_update(1, [(0, "t", HealthSignal.FAILED)]), 1.0)
    for number in range(1, 6):
        shared.apply_update(_update(number, [(0, "t", HealthSignal.FAILED)]), 1.0)
    assert shared.failure_probability("t", 1.0) == once.failure_probability("t", 1.0)


def test_a_late_message_changes_nothing():
    shared = _shared()
    shared.apply_update(_update(5, in_flight={"t": 3}), 1.0)
    shared.apply_update(_update(4, in_flight={"t": 1}), 1.1)
    assert shared.in_flight("t") == 3


def test_a_restarted_host_starts_without_state():
    shared = _shared()
    shared.apply_update(_update(500, in_flight={"t": 3}, incarnation=1), 1.0)
    shared.apply_update(_update(1, in_flight={"t": 1}, incarnation=2), 2.0)
    assert shared.in_flight("t") == 1


def test_a_silent_host_is_evicted_with_its_requests():
    shared = _shared()
    shared.apply_update(_update(1, in_flight={"t": 4}), 1.0)
    assert shared.evict_silent(1.1 + PEER_TIMEOUT) == ["peer"]
    assert shared.in_flight("t") == 0


def test_a_failure_raises_the_estimate_and_time_or_successes_lower_it():
    shared = _shared()
    shared.note_outcome("t", "look", "r", HealthSignal.FAILED, 0.001, 10.0)
    assert shared.failure_probability("t", 10.0) > 0.6
    assert shared.failure_probability("t", 30.0) < 0.3
    shared.note_outcome("t", "look", "r", HealthSignal.SUCCEEDED, 0.3, 18.0)
    shared.note_outcome("t", "look", "r", HealthSignal.SUCCEEDED, 0.3, 18.5)
    assert shared.failure_probability("t", 18.5) < 0.15


def test_a_slow_route_raises_no_failure_estimate():
    """
    Guards against avoiding healthy targets because a route's requests always take long.
    """
    shared = _shared()
    for number in range(40):
        shared.note_outcome(
            f"t{number}", "look", "long", HealthSignal.OVERDUE, 0.0, 1.0
        )
        shared.note_outcome(
            f"u{number}", "look", "short", HealthSignal.SUCCEEDED, 0.3, 1.0
        )
    before = shared.failure_probability("healthy", 1.0)
    shared.note_outcome("healthy", "look", "long", HealthSignal.OVERDUE, 0.0, 1.0)
    assert shared.failure_probability("healthy", 1.0) < before + 0.05
    shared.note_outcome("hangs", "look", "short", HealthSignal.OVERDUE, 0.0, 1.0)
    assert shared.failure_probability("hangs", 1.0) > 0.5


def test_a_median_belongs_to_a_route():
    """
    Guards against judging slow routes by the durations of fast ones.
    """
    shared = _shared()
    for number in range(100):
        shared.note_outcome("t", "look", "short", HealthSignal.SUCCEEDED, 0.001, number)
        if number % 10 == 0:
            shared.note_outcome(
                "t", "look", "long", HealthSignal.SUCCEEDED, 0.4, number
            )
    assert shared.times.typical_duration("look", "long") == 0.4
    assert shared.times.typical_duration("look", "new") == 0.4


def test_a_new_route_is_assumed_to_take_the_default_duration():
    """
    Guards against judging a new route by the only known one, which takes milliseconds.
    """
    shared = _shared()
    for number in range(10):
        shared.note_outcome("t", "look", "short", HealthSignal.SUCCEEDED, 0.003, number)
    assert shared.times.typical_duration("look", "new") == DEFAULT_DURATION


def test_a_median_that_is_too_short_is_corrected():
    """
    Guards against a median that stays too short after fast first responses.
    """
    shared = _shared()
    for number in range(10):
        shared.note_outcome("t", "look", "r", HealthSignal.SUCCEEDED, 0.003, number)
    for number in range(20):
        shared.note_outcome("t", "look", "r", HealthSignal.OVERDUE, 0.0, 10 + number)
        shared.note_outcome("t", "look", "r", HealthSignal.LATE, 0.4, 10 + number)
    assert shared.times.typical_duration("look", "r") == 0.4


def test_a_target_that_alone_rejects_requests_is_taken_to_fail():
    """
    Guards against preferring a target that rejects everything and is thus never busy.
    """
    shared = _shared()
    for number in range(30):
        shared.note_outcome(f"t{number}", "look", "r", HealthSignal.SUCCEEDED, 0.3, 1.0)
    shared.note_outcome("alone", "look", "r", HealthSignal.SHED, 0.001, 1.0)
    assert shared.failure_probability("alone", 1.0) > 0.5
    for _ in range(60):
        shared.note_outcome("t1", "look", "r", HealthSignal.SHED, 0.001, 1.0)
    shared.note_outcome("one of many", "look", "r", HealthSignal.SHED, 0.001, 1.0)
    assert shared.failure_probability("one of many", 1.0) < 0.25


def test_hosts_together_keep_the_bound_on_retries():
    """
    Guards against twelve hosts exceeding the data centre's retry budget together.
    """
    rng = random.Random(3)
    shared_states = [_shared() for _ in range(12)]
    requests, retries = 0, 0
    counts = [Counts()] * 12
    for step in range(1200):
        at = step / 120
        index = rng.randrange(12)
        shared = shared_states[index]
        shared.note_request("look", at)
        requests += 1
        if shared.may_retry("look", 20.0, at):
            shared.note_retry("look", at)
            retries += 1
        counts[index] = shared.own_counts()["look"]
        for other, peer in enumerate(shared_states):
            if other != index:
                update = _update(step, counts={"look": counts[index]}, host=str(index))
                peer.apply_update(update, at)
    assert retries <= 0.2 * requests + 20
    assert retries > 0.6 * SAFETY_FACTOR * (0.2 * requests + 20)


def test_a_restarted_host_spends_nothing_twice():
    """
    Guards against spending the retry budget twice when all hosts restart at once.
    """
    shared = SharedState(0.2, 10.0, started_at=50.0)
    assert not shared.may_retry("look", 50.0, 51.0)
    for _ in range(20):
        shared.note_request("look", 52.0)
    assert shared.may_retry("look", 50.0, 52.0)
    assert shared.may_retry("look", 50.0, 70.0)


def test_a_host_with_few_live_peers_gets_a_small_allowance():
    shared = _shared()
    for number in range(11):
        shared.apply_update(_update(1, host=f"h{number}"), 1.0)
    assert shared.may_retry("look", 12.0, 1.0)
    shared.evict_silent(1.0 + 2 * PEER_TIMEOUT)
    assert not shared.may_retry("look", 12.0, 1.0)


def test_a_retry_budget_drops_counts_older_than_its_window():
    budget = DataCentreRetryBudget(0.5, 10.0)
    budget.note_requests(10, 0.0)
    assert budget.may_retry(0.0, 1.0)
    assert not budget.may_retry(0.0, 10.5)


def _candidate(name, fails, in_flight, is_local=True, slots=4):
    target = Target(name, "look", "a", "x", slots, TargetState.READY, 0.0, 0.0)
    return Candidate(target, fails, in_flight, False, is_local)


def _profile(kind=RequestKind.ORDER, kilobytes=1.0):
    return RequestProfile(kind, 0.3, 1.2, 2.0, kilobytes)


def _chosen(candidates, profile):
    return choose_target(candidates, profile, random.Random(1)).candidate.target.id


def test_a_target_that_fails_fast_is_not_preferred_to_a_busy_one():
    busy = _candidate("busy", 0.02, 4)
    failing = _candidate("failing", 0.69, 0)
    assert _chosen([busy, failing], _profile()) == "busy"


def test_large_bodies_stay_local_unless_they_would_be_lost():
    local = _candidate("local", 0.3, 0)
    remote = _candidate("remote", 0.02, 0, is_local=False)
    assert _chosen([local, remote], _profile(RequestKind.UPLOAD, 60.0)) == "local"
    assert _chosen([local, remote], _profile(RequestKind.ORDER, 1.0)) == "remote"
    lost = _candidate("local", 0.7, 0)
    assert _chosen([lost, remote], _profile(RequestKind.UPLOAD, 60.0)) == "remote"


def test_lost_hosts_degrade_services():
    """
    Guards against missing that a service is degraded when lost hosts report nothing.
    """
    shared = _shared()
    for number in range(11):
        shared.apply_update(_update(1, host=f"h{number}"), 1.0)
    assert not shared.is_degraded("look", 1.1)
    for number in range(5):
        shared.apply_update(_update(1, host=f"h{number}", incarnation=2), 2.0)
    assert shared.is_degraded("look", 2.0)
    for number in range(11):
        shared.apply_update(_update(9, host=f"h{number}", incarnation=2), 8.0)
    for number in range(11):
        shared.apply_update(_update(10, host=f"h{number}", incarnation=2), 14.0)
    assert not shared.is_degraded("look", 14.1)
    assert shared.is_degraded("look", 17.0)


def test_a_target_that_one_host_cannot_reach_is_healthy_for_the_others():
    """
    Guards against all hosts avoiding targets that only a fifth of them can't reach.
    """
    cut, other = _shared(), _shared()
    for number in range(12):
        at = number / 10
        cut.note_outcome("t", "look", "r", HealthSignal.UNREACHABLE, 0.3, at)
        is_cut = number % 5 == 0
        signal = HealthSignal.UNREACHABLE if is_cut else HealthSignal.SUCCEEDED
        other.apply_update(
            _update(number, [(number, "t", signal)], host=f"h{number % 5}"), at
        )
    assert cut.failure_probability("t", 1.2) > 0.7
    assert cut.is_path_broken("t", 1.2)
    assert other.failure_probability("t", 1.2) < 0.1
    assert not other.is_path_broken("t", 1.2)


def test_three_unreachable_reports_of_any_hosts_reveal_a_dead_target():
    shared = _shared()
    for number in range(3):
        update = _update(1, [(0, "t", HealthSignal.UNREACHABLE)], host=f"h{number}")
        shared.apply_update(update, 1.0)
    assert shared.failure_probability("t", 1.0) > 0.6


def test_a_host_uses_a_path_again_when_it_has_healed():
    shared = _shared()
    shared.note_outcome("t", "look", "r", HealthSignal.UNREACHABLE, 0.3, 1.0)
    assert shared.is_path_broken("t", 2.0)
    assert not shared.is_path_broken("t", 20.0)
    shared.note_outcome("t", "look", "r", HealthSignal.SUCCEEDED, 0.3, 2.0)
    assert not shared.is_path_broken("t", 2.0)
