"""
Tests of the membership of a data centre and of the leases of its hosts.
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
    """Return the membership of a host that has known others for a while."""
    roster = Membership("a", at - 10.0)
    for host in hosts:
        for before in (JOIN_DELAY, 3.0, 1.5):
            roster.note_message(host, at - before)
        roster.note_message(host, at)
    roster.note_delivered(at)
    return roster


def test_a_host_that_is_reachable_again_has_its_previous_demand():
    """Guards against hosts that regard all others as idle after a partition."""
    roster = _joined()
    roster.note_demand("b", "s", 10, 100.0)
    before = {d.host: d.demand for d in roster.demands("s", 100.0)}
    roster.note_message("b", 108.0)
    after = {d.host: d.demand for d in roster.demands("s", 108.0)}
    assert after["b"] == pytest.approx(before["b"])


def _ids(roster, now):
    roster.may_send(now)
    return {demand.host for demand in roster.demands("s", now)}


def test_an_unreachable_host_keeps_its_share_for_longer_than_its_lease():
    """Guards against a partitioned host that sends after its share is reassigned."""
    roster = _joined()
    roster.note_message("c", 100.0 + MEMBER_TIMEOUT - 1.0)
    assert LEASE_DURATION < MEMBER_TIMEOUT
    assert _ids(roster, 100.0 + MEMBER_TIMEOUT - 0.5) == {"a", "b", "c"}
    assert _ids(roster, 100.0 + MEMBER_TIMEOUT + 0.5) == {"a", "c"}


def test_a_host_without_delivered_messages_stops_at_the_end_of_its_lease():
    """Guards against a one-way partition in which a host still receives messages."""
    roster = _joined()
    for second in range(30):
        roster.note_message("b", 100.0 + second)
    assert roster.may_send(100.0 + LEASE_DURATION - 0.5)
    assert not roster.may_send(100.0 + LEASE_DURATION + 0.5)
    roster.note_delivered(115.0)
    assert roster.may_send(115.1)


def test_a_started_host_waits_until_it_knows_the_others():
    """Guards against a new host that uses the whole of each limit."""
    roster = Membership("a", 100.0)
    assert not roster.may_send(100.1)
    roster.note_message("b", 101.0)
    roster.note_delivered(101.2)
    assert not roster.may_send(101.0 + JOIN_DELAY / 2)
    assert roster.may_send(101.0 + JOIN_DELAY)


def test_a_sole_host_sends_after_a_timeout():
    roster = Membership("a", 100.0)
    assert not roster.may_send(100.0 + STARTUP_SOLE_HOST_TIMEOUT - 1.0)
    assert roster.may_send(100.0 + STARTUP_SOLE_HOST_TIMEOUT)
    joined = _joined()
    assert not joined.may_send(100.0 + SOLE_HOST_TIMEOUT - 1.0)
    assert joined.may_send(100.0 + SOLE_HOST_TIMEOUT)


def test_a_host_without_seeds_is_the_only_one():
    assert Membership("a", 100.0, has_seeds=False).may_send(100.0)


def test_an_unreachable_host_keeps_its_demand():
    roster = _joined()
    roster.note_demand("b", "s", 10, 100.0)
    before = {d.host: d.demand for d in roster.demands("s", 100.0)}
    after = {d.host: d.demand for d in roster.demands("s", 108.0)}
    assert before["b"] == after["b"] > 0.0
