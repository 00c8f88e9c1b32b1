"""
Tests of the detection of failing spells while requests are scheduled.
"""

import pytest

from ..ops.peer_updates import HealthSignal, RemoteUpdate
from ..ops.shared_state import SharedState
from .scoring import SUSPECT_FAILURE_PROBABILITY

OK, FAILED = HealthSignal.SUCCEEDED, HealthSignal.FAILED


def _shared(signals, interval=0.3):
    shared = SharedState(0.2, 10.0, started_at=-100.0)
    shared.health.set_scheduling(True)
    for number, signal in enumerate(signals):
        shared.note_outcome("t", "act", "r", signal, 0.1, number * interval)
    return shared, len(signals) * interval


@pytest.mark.parametrize("position", [0, 40, 79])
def test_usual_errors_do_not_look_like_a_spell(position):
    """Guards against leaving a sound target for one error in eighty."""
    signals = [OK] * 80
    signals[position] = FAILED
    shared, now = _shared([OK] * 40 + signals + [OK] * 2)
    assert shared.failure_probability("t", now) < SUSPECT_FAILURE_PROBABILITY


def test_the_second_failure_within_a_short_time_is_a_spell():
    """Guards against orders lost one by one until a spell is noticed."""
    shared, now = _shared([OK] * 40 + [FAILED, FAILED])
    assert shared.failure_probability("t", now) > 0.5
    shared, now = _shared([OK] * 40 + [FAILED, OK, FAILED])
    assert shared.failure_probability("t", now) > 0.35


def test_a_failing_target_is_doubted_for_as_long_as_spells_last():
    """Guards against paying for the same spell again every few seconds."""
    shared, now = _shared([OK] * 40 + [FAILED] * 3)
    assert shared.failure_probability("t", now + 8.0) > 0.3
    assert shared.failure_probability("t", now + 40.0) < SUSPECT_FAILURE_PROBABILITY


def test_a_recovered_target_proves_itself_by_successes():
    shared, now = _shared([FAILED] * 3)
    estimates = []
    for _ in range(3):
        shared.note_outcome("t", "act", "r", OK, 0.1, now + 8.0)
        estimates.append(shared.failure_probability("t", now + 8.0))
    assert estimates == sorted(estimates, reverse=True)
    assert estimates[0] > SUSPECT_FAILURE_PROBABILITY > estimates[2]


def test_a_restarted_incarnation_starts_anew():
    shared, now = _shared([FAILED] * 3)
    new = shared.failure_probability("t2", now)
    assert new < SUSPECT_FAILURE_PROBABILITY < shared.failure_probability("t", now)


def test_a_spell_is_known_in_other_data_centres_when_a_message_is_lost():
    """Guards against each data centre paying for the same spell."""
    shared, now = _shared([OK] * 40 + [FAILED, FAILED])
    other, _ = _shared([])
    shared.evidence.next_batch()
    evidence = shared.evidence.next_batch()
    other.apply_remote_update(RemoteUpdate("h", 1, evidence, ()), now)
    assert other.failure_probability("t", now) > SUSPECT_FAILURE_PROBABILITY


def test_estimates_without_scheduling_stay_as_they_were():
    """Guards against serving a deployment in a way that it has not asked for."""
    shared, now = _shared([FAILED])
    shared.health.set_scheduling(False)
    assert shared.failing_probability("t", now) == pytest.approx(8.0 / 30.0)
