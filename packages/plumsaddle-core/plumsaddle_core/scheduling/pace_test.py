"""
Tests of the pace of sends while room is scarce.
"""

import pytest

from .pace import PACE_FACTOR, Pace


def _sends(pace, rate, urgency, seconds=10.0):
    count = 0
    for number in range(int(seconds * 100)):
        pace.refill(rate, number / 100)
        if pace.may_send(urgency):
            pace.note_send()
            count += 1
    return count


def test_hosts_together_send_what_the_targets_serve():
    """Guards against a herd of hosts that all send to the slots that came free."""
    shares = [0.5, 0.3, 0.15, 0.05]
    sent = sum(_sends(Pace(), 40.0 * share, 1.0) for share in shares)
    assert sent == pytest.approx(400 * PACE_FACTOR, rel=0.1)


def test_urgent_request_finds_a_token_that_others_left():
    """Guards against the least urgent requests using up a host's share."""
    pace = Pace()
    _sends(pace, 5.0, urgency=0.0)
    assert not pace.may_send(0.0)
    assert pace.may_send(1.0)


def test_pressing_requests_exceed_the_pace_by_one_at_most():
    """Guards against a host that sends all it receives while others wait."""
    pace = Pace()
    count = 0
    while pace.may_send(1.0, is_pressing=True):
        pace.note_send()
        count += 1
    assert count == 2


def test_requests_that_did_not_wait_count():
    """Guards against a host that sends its share once at once and once in turn."""
    pace = Pace()
    for at in range(20):
        pace.refill(1.0, at / 2)
        pace.note_send()
    assert not pace.may_send(1.0)


def test_host_without_demand_may_send_its_first_request():
    assert Pace().may_send(1.0)
