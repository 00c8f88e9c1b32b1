"""
Tests of the decision to send a request, to let it wait or to refuse it.
"""

import random

import pytest

from .decision import (
    NO_OUTLOOK,
    Need,
    Option,
    Outlook,
    Reason,
    Verdict,
    decide,
    next_attempt_delay,
)
from .room import effective_urgency, max_in_flight

ORDER = Need(False, 0.15, 0.8, 2.0)
LOOKUP = Need(True, 0.15, 0.8, 2.0)
SOUND = Option(0.04, 1, 2, 0.15)
FAILING = Option(0.6, 0, 2, 0.15)
BUSY_OUTLOOK = Outlook(60, 0, 0.04, 40.0)


def _verdict(option, outlook=BUSY_OUTLOOK, need=ORDER):
    return decide(option, outlook, need).verdict


def test_request_is_sent_while_there_is_room():
    assert decide(SOUND, NO_OUTLOOK, ORDER) == (Verdict.SEND, Reason.HAS_ROOM, False)


def test_order_waits_rather_than_risk_a_failing_target():
    """Guards against orders failing at a bad target while sound ones come free."""
    assert decide(FAILING, BUSY_OUTLOOK, ORDER).reason is Reason.BETTER_EXPECTED


def test_order_is_sent_if_no_target_is_sound():
    """Guards against waiting for the end of a failure of the whole service."""
    assert _verdict(FAILING, NO_OUTLOOK) is Verdict.SEND


def test_order_stops_waiting_when_its_time_runs_out():
    """Guards against a certain refusal where an attempt might have succeeded."""
    almost_late = ORDER._replace(objective_left=-1.0, time_left=0.2)
    assert decide(FAILING, BUSY_OUTLOOK, almost_late).reason is Reason.LAST_CHANCE


def test_waiting_ends_when_too_many_wait_for_the_same_slots():
    """Guards against requests becoming late for slots that others get."""
    crowd = Outlook(2, 0, 0.04, 500.0)
    tight = ORDER._replace(objective_left=0.2)
    assert _verdict(FAILING, crowd, tight) is Verdict.SEND
    assert _verdict(FAILING, BUSY_OUTLOOK, ORDER) is Verdict.WAIT


def test_full_targets_are_waited_for():
    """Guards against requests that queue at targets behind less urgent ones."""
    decision = decide(SOUND._replace(in_flight=2), BUSY_OUTLOOK, LOOKUP)
    assert decision.verdict is Verdict.WAIT
    assert decision.reason is Reason.TARGETS_FULL


def test_request_that_would_be_late_a_step_later_is_pressing():
    """Guards against requests paced until they are late although there is room."""
    lefts = (0.8, 0.3, 0.2, 0.1)
    needs = [ORDER._replace(objective_left=left) for left in lefts]
    found = [decide(SOUND, NO_OUTLOOK, need).is_pressing for need in needs]
    assert found == [False, False, True, False]
    assert decide(SOUND, NO_OUTLOOK, ORDER._replace(time_left=0.2)).is_pressing


def test_hopeless_request_is_refused_at_once():
    hopeless = ORDER._replace(time_left=0.05)
    decision = decide(FAILING, BUSY_OUTLOOK, hopeless)
    assert decision.verdict is Verdict.REFUSE
    assert decision.reason is Reason.TOO_LATE


def test_request_with_a_misjudged_duration_is_sent_while_there_is_room():
    """Guards against an outdated duration that no send can correct."""
    assert _verdict(SOUND, need=ORDER._replace(typical_duration=9.0)) is Verdict.SEND


@pytest.mark.parametrize("option", [FAILING, SOUND])
def test_every_request_gets_a_verdict_before_its_time_is_up(option):
    """Guards against a request that waits until its deadline passes."""
    for tenths in range(1, 20):
        left = tenths / 10
        need = ORDER._replace(objective_left=left - 1.2, time_left=left)
        verdict = _verdict(option, need=need)
        assert left > 0.2 or verdict is not Verdict.WAIT


def test_rejected_requests_return_later_each_time_and_apart():
    """Guards against using up all attempts while a service rejects for seconds."""
    rng = random.Random(1)
    first = [next_attempt_delay(1, 2.0, rng) for _ in range(100)]
    third = [next_attempt_delay(3, 2.0, rng) for _ in range(100)]
    assert sum(third) > 3 * sum(first)
    assert max(first) - min(first) > 0.05
    assert max(third) <= 0.75


def test_urgent_requests_find_room_where_others_do_not():
    """Guards against less urgent requests of other hosts filling all targets."""
    assert max_in_flight(2, 0.0) == 4
    assert max_in_flight(2, 0.5) == 5
    assert max_in_flight(2, 1.0) == 6


def test_urgency_rises_while_a_request_waits():
    """Guards against less urgent requests being passed over until they are late."""
    rising = [effective_urgency(0.0, waited, 1.0) for waited in (0.0, 0.4, 0.75, 0.99)]
    assert rising[:2] == [0.0, 0.0]
    assert rising[2] == pytest.approx(0.5)
    assert rising[3] > 0.9


def test_late_requests_yield_to_those_that_can_be_in_time():
    """Guards against an overload making all requests late."""
    assert effective_urgency(1.0, 1.1, 1.0) < effective_urgency(1.0, 0.1, 1.0)
