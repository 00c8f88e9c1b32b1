"""
Tests of the learned pace of targets.
"""

import random

import pytest

from ..ops.peer_updates import HealthSignal, OutcomeRecord, PeerUpdate
from ..ops.shared_state import SharedState
from .pace import COLD_PACE, Paces


def _taught(ratios, interval=0.3, at=0.0):
    paces = Paces()
    for ratio in ratios:
        paces.note_duration("t", ratio * 0.2, 0.2, at)
        at += interval
    return paces, at


def test_a_slow_target_is_known_within_seconds():
    """Guards against sending a slow target as much as its siblings."""
    paces, at = _taught([4.0] * 10)
    assert paces.pace("t", False, at) > 2.5


def test_a_target_that_turns_fast_is_known_within_three_seconds():
    paces, at = _taught([4.0] * 30 + [1.0] * 10)
    assert paces.pace("t", False, at) < 1.5


def test_one_long_job_does_not_make_a_target_slow():
    """Guards against reading the tail of a route's durations as a slow target."""
    paces, at = _taught([1.0] * 20 + [7.0])
    assert paces.pace("t", False, at) < 1.5


def test_long_tails_average_out():
    rng = random.Random(1)
    paces, at = _taught([rng.lognormvariate(0.0, 0.8) for _ in range(60)])
    assert 0.5 < paces.pace("t", False, at) < 2.0


def test_a_cold_target_counts_as_slow_until_it_has_answered():
    paces, at = _taught([1.0] * 4)
    assert paces.pace("new", True, at) == COLD_PACE
    assert paces.pace("t", True, at) == pytest.approx(1.0)


def test_the_pace_of_an_idle_target_and_of_a_new_incarnation_is_the_usual():
    """Guards against targets that were slow once and are never tried again."""
    paces, at = _taught([4.0] * 10)
    assert paces.pace("t", False, at + 30.0) < 1.4
    assert paces.pace("t2", False, at) == 1.0
    paces.evict({"t2"})
    assert paces.pace("t", False, at) == 1.0


def test_an_overdue_send_shows_a_slow_target_at_once():
    paces, at = _taught([1.0] * 20)
    paces.note_overdue("t", 0.6, 0.2, at)
    assert paces.pace("t", False, at) > 1.1
    paces.note_overdue("t", 0.1, 0.2, at)
    assert paces.pace("t", False, at) > 1.1


@pytest.mark.parametrize("is_lost", [False, True])
def test_hosts_learn_paces_from_outcomes_of_others(is_lost):
    """Guards against each host finding out for itself, also when messages are lost."""
    shared = SharedState(0.2, 10.0, started_at=-100.0)
    shared.health.set_scheduling(True)
    for number in range(40):
        if is_lost and number % 4 == 0:
            continue
        name, seconds = ("slow", 0.8) if number % 4 == 1 else ("fast", 0.2)
        signal = HealthSignal.SUCCEEDED
        outcome = OutcomeRecord(number, name, "act", "r", signal, seconds)
        update = PeerUpdate("h", 1, number, {}, (outcome,), {})
        shared.apply_update(update, number / 10)
    slow = shared.health.paces.pace("slow", False, 4.0)
    fast = shared.health.paces.pace("fast", False, 4.0)
    assert slow / fast > 2.0
