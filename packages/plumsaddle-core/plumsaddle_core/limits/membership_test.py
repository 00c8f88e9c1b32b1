"""
Among which hosts rate limits are shared, and until when one of them may send.
"""

import pytest

from .membership import (
    JOIN_DELAY,
    LEASE_DURATION,
    MEMBER_TIMEOUT,
    SOLE_HOST_TIMEOUT,
    STARTUP_SOLE_HOST_TIMEOUT,
    Membership,
)


def _joined(hosts=("b", "c"), at=100.0):
    """Return the roster of a host that has heard others for a while."""
    roster = Membership("a", at - 10.0)
    for host in hosts:
        for before in (JOIN_DELAY, 3.0, 1.5):
            roster.note_host(host, at - before)
        roster.note_host(host, at)
    roster.note_delivered(at)
    return roster


def test_a_host_that_returns_has_the_demand_of_before_at_once():
    """Guards against hosts that each take all others for idle after a partition."""
    roster = _joined()
    roster.note_demand("b", "s", 10, 100.0)
    before = {d.host: d.demand for d in roster.demands("s", 100.0)}
    roster.note_host("b", 108.0)
    after = {d.host: d.demand for d in roster.demands("s", 108.0)}
    assert after["b"] == pytest.approx(before["b"])


def _ids(roster, now):
    roster.may_send(now)
    return {demand.host for demand in roster.demands("s", now)}


def test_an_unreachable_host_keeps_its_share_for_longer_than_its_lease():
    """Guards against a partitioned host that sends on while others have its share."""
    roster = _joined()
    roster.note_host("c", 100.0 + MEMBER_TIMEOUT - 1.0)
    assert LEASE_DURATION < MEMBER_TIMEOUT
    assert _ids(roster, 100.0 + MEMBER_TIMEOUT - 0.5) == {"a", "b", "c"}
    assert _ids(roster, 100.0 + MEMBER_TIMEOUT + 0.5) == {"a", "c"}


def test_a_host_that_reaches_nobody_stops_at_the_end_of_its_lease():
    """Guards against a host cut off one way, which hears all others."""
    roster = _joined()
    for second in range(30):
        roster.note_host("b", 100.0 + second)
    assert roster.may_send(100.0 + LEASE_DURATION - 0.5)
    assert not roster.may_send(100.0 + LEASE_DURATION + 0.5)
    roster.note_delivered(115.0)
    assert roster.may_send(115.1)


def test_a_host_that_has_just_started_waits_until_it_knows_the_others():
    """Guards against a new host that takes all of each limit for its own."""
    roster = Membership("a", 100.0)
    assert not roster.may_send(100.1)
    roster.note_host("b", 101.0)
    roster.note_delivered(101.2)
    assert not roster.may_send(101.0 + JOIN_DELAY / 2)
    assert roster.may_send(101.0 + JOIN_DELAY)


def test_a_host_alone_sends_once_the_others_must_be_gone():
    roster = Membership("a", 100.0)
    assert not roster.may_send(100.0 + STARTUP_SOLE_HOST_TIMEOUT - 1.0)
    assert roster.may_send(100.0 + STARTUP_SOLE_HOST_TIMEOUT)
    joined = _joined()
    assert not joined.may_send(100.0 + SOLE_HOST_TIMEOUT - 1.0)
    assert joined.may_send(100.0 + SOLE_HOST_TIMEOUT)


def test_a_host_without_seeds_is_the_only_one():
    assert Membership("a", 100.0, has_seeds=False).may_send(100.0)


def test_the_demand_of_an_unreachable_host_is_that_of_before():
    roster = _joined()
    roster.note_demand("b", "s", 10, 100.0)
    before = {d.host: d.demand for d in roster.demands("s", 100.0)}
    after = {d.host: d.demand for d in roster.demands("s", 108.0)}
    assert before["b"] == after["b"] > 0.0
