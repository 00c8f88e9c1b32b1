"""
Tests of the floor under the targets in use.
"""

from .floor import (
    TRIALS_PER_REQUEST,
    TROUBLED_OVER,
    UNUSED_AFTER,
    RecentResults,
    Trials,
    find_trial,
)
from .shared_state import SharedState

USED = {"a": 10.0, "b": 9.9, "c": 5.0, "d": 6.0}
ALL_ALIKE = {"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1}


def _both():
    return ["a", "b"], {"a", "b"}


def test_the_likeliest_sound_target_is_tried():
    """
    Sound targets stand idle for seconds, and then hosts are lost.

    Some targets failed a while ago and are sound again, but the others have had room
    for all work since, so nothing told. When hosts are killed at that moment, a fifth
    of two seconds' requests is lost and a third of the sound targets had no part in it.
    """
    failing = {**ALL_ALIKE, "c": 0.8, "d": 0.3}
    assert find_trial(list(USED), set(USED), failing.get, USED.get, 0.7, 10.0) == "d"
    used = {**USED, "d": 9.5}
    assert find_trial(list(used), set(used), failing.get, used.get, 0.7, 10.0) is None
    assert find_trial(["a", "b"], {"a", "b"}, failing.get, USED.get, 0.7, 10.0) is None


def test_targets_that_surely_fail_do_not_count():
    """A target that fails is no idle capacity, and trying it loses an order."""
    failing = {**ALL_ALIKE, "c": 0.97, "d": 0.97}
    assert find_trial(list(USED), set(USED), failing.get, USED.get, 0.7, 10.0) is None
    alone = {"c": 0.7}
    assert find_trial(["c"], {"c"}, alone.get, USED.get, 0.7, 10.0) is None


def test_a_target_is_unused_after_a_while():
    used = {"a": 10.0}
    failing = {"a": 0.2}
    before, after = 9.9 + UNUSED_AFTER, 10.1 + UNUSED_AFTER
    assert find_trial(["a"], {"a"}, failing.get, used.get, 0.7, before) is None
    assert find_trial(["a"], {"a"}, failing.get, used.get, 0.7, after) == "a"


def test_trials_are_a_small_part_of_a_quiet_services_work():
    """
    Two orders of a hundred are lost in trials.

    A service with three requests a second and three targets has nearly all of them
    idle at any time; trying each of them all the time makes a third of its work trials.
    """
    shared = SharedState(0.2, 10.0, started=-100.0)
    trials = Trials()
    found = [trials.find("s", _both, shared, 0.7, 0.0) for _ in range(160)]
    tried = sum(1 for trial in found if trial is not None)
    assert 160 * TRIALS_PER_REQUEST <= tried <= 160 * TRIALS_PER_REQUEST + 1


def test_trouble_lifts_the_bound_on_trials():
    shared = SharedState(0.2, 10.0, started=-100.0)
    for _ in range(20):
        shared.note_request_end("s", False, 0.0)
    trials = Trials()
    found = [trials.find("s", _both, shared, 0.7, 0.0) for _ in range(20)]
    assert None not in found


def test_trouble_needs_a_share_and_passes():
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
    results.add(10, 2, 0.7 + TROUBLED_OVER)
    assert results.is_degraded(0.8 + TROUBLED_OVER)
