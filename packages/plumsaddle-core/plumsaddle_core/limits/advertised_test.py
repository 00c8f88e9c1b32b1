"""
Tests of the replication of advertised limits among hosts.
"""

import random

from hypothesis import given, strategies as st

from ..utils.pending import MAX_ROWS
from .advertised import NO_LIMIT, UNLISTED_TIMEOUT, AdvertisedLimits, LimitRow


def _gossip_until_idle(hosts, now):
    """Exchange the pending rows of all hosts until there are none."""
    while any(rows := [host.local_rows() for host in hosts]):
        for sender, sent_rows in enumerate(rows):
            for number, host in enumerate(hosts):
                for row in sent_rows if number != sender else ():
                    host.merge(row, True, now)


def test_answers_set_change_and_end_a_limit():
    limits = AdvertisedLimits()
    assert limits.observe("t", 2.3, sent_at=0.0, now=1.0)
    assert limits.rate("t") == 2.3
    assert not limits.observe("t", 2.3, sent_at=1.0, now=2.0)
    assert limits.observe("t", 5.0, sent_at=1.0, now=2.0)
    assert limits.since("t") == 1.0
    assert limits.observe("t", None, sent_at=2.0, now=3.0)
    assert limits.rate("t") is None
    assert not limits


def test_an_answer_to_an_earlier_request_does_not_loosen_a_limit():
    """Guards against a late response that removes a newer limit."""
    limits = AdvertisedLimits()
    limits.observe("t", 1.0, sent_at=0.0, now=5.0)
    assert not limits.observe("t", None, sent_at=4.9, now=5.1)
    assert not limits.observe("t", 3.0, sent_at=4.9, now=5.1)
    assert limits.rate("t") == 1.0
    assert limits.observe("t", 0.5, sent_at=4.9, now=5.1)


def test_the_stricter_of_two_simultaneous_changes_wins_everywhere():
    """Guards against hosts that never converge."""
    one, two = AdvertisedLimits(), AdvertisedLimits()
    one.observe("t", 2.0, sent_at=0.0, now=1.0)
    two.observe("t", 7.0, sent_at=0.0, now=1.0)
    _gossip_until_idle([one, two], 1.1)
    assert one.rate("t") == two.rate("t") == 2.0


def test_a_host_that_missed_a_change_is_repaired():
    """Guards against a hub that sends an outdated limit and is never corrected."""
    one, hub = AdvertisedLimits(), AdvertisedLimits()
    one.observe("t", 2.0, sent_at=0.0, now=1.0)
    _gossip_until_idle([one, hub], 1.0)
    one.observe("t", None, sent_at=1.5, now=2.0)
    # Both messages with the change are lost.
    assert one.local_rows()
    assert one.local_rows()
    assert not one.local_rows()
    for row in hub.anti_entropy_rows(MAX_ROWS, random):
        assert not one.merge(row, True, 3.0)
    _gossip_until_idle([one, hub], 3.0)
    assert hub.rate("t") is None


def test_each_incarnation_has_its_own_limit():
    """Guards against a restarted target that inherits its previous limit."""
    limits = AdvertisedLimits()
    limits.observe("t~1", 2.0, sent_at=0.0, now=1.0)
    assert limits.rate("t~2") is None
    limits.evict({"t~2"}, 10.0)
    limits.evict({"t~2"}, 10.0 + UNLISTED_TIMEOUT)
    assert not limits
    assert not limits.local_rows()
    assert not limits.anti_entropy_rows(MAX_ROWS, random)


def test_a_target_that_is_listed_again_keeps_its_limit():
    """Guards against losing a limit while the store is unavailable."""
    limits = AdvertisedLimits()
    limits.observe("t", 2.0, sent_at=0.0, now=1.0)
    limits.evict(set(), 10.0)
    limits.evict({"t"}, 60.0)
    limits.evict(set(), 71.0)
    limits.evict(set(), 100.0)
    assert limits.rate("t") == 2.0


def test_changes_are_sent_twice_and_all_entries_are_sampled():
    limits = AdvertisedLimits()
    for number in range(MAX_ROWS + 5):
        limits.observe(f"t-{number}", 1.0, sent_at=0.0, now=1.0)
    sent_rows = [row.incarnation for _ in range(4) for row in limits.local_rows()]
    assert sorted(sent_rows) == sorted([f"t-{n}" for n in range(MAX_ROWS + 5)] * 2)
    rng = random.Random(1)
    sampled = [row for _ in range(9) for row in limits.anti_entropy_rows(MAX_ROWS, rng)]
    assert len({row.incarnation for row in sampled}) == MAX_ROWS + 5


def test_only_local_changes_are_sent_to_other_data_centres():
    """Guards against data centres that forward a change to each other forever."""
    limits = AdvertisedLimits()
    limits.merge(LimitRow("far", 1, 2.0), False, 1.0)
    limits.merge(LimitRow("near", 1, 2.0), True, 1.0)
    assert [row.incarnation for row in limits.remote_rows()] == ["near"]


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from([None, 0.0, 0.2, 1.4, 20.0]),
            st.booleans(),
        ),
        max_size=12,
    ),
    st.randoms(),
)
def test_hosts_converge_in_any_order_of_messages(events, rng):
    """Guards against limits that differ between hosts permanently."""
    hosts = [AdvertisedLimits() for _ in range(4)]
    in_flight = []
    for time, (number, rate, is_sent) in enumerate(events):
        hosts[number].observe("t", rate, sent_at=time - 0.1, now=float(time))
        rows = hosts[number].local_rows()
        if is_sent:
            in_flight += rows
        rng.shuffle(in_flight)
        for row in in_flight[: len(in_flight) // 2]:
            hosts[rng.randrange(4)].merge(row, True, time + 0.5)
    # In the end each host sends all of its entries, as hubs do.
    for _ in range(2):
        for sender in hosts:
            for row in sender.anti_entropy_rows(MAX_ROWS, rng):
                for host in hosts:
                    host.merge(row, True, 100.0)
    assert len({host.rate("t") for host in hosts}) == 1


def test_the_end_of_a_limit_is_sent():
    limits = AdvertisedLimits()
    limits.observe("t", 2.0, sent_at=0.0, now=1.0)
    limits.observe("t", None, sent_at=2.0, now=3.0)
    assert limits.local_rows() == [LimitRow("t", 2, NO_LIMIT)]


def test_hosts_do_not_repeat_limits_of_unlisted_targets():
    """Guards against entries that hosts send back to each other without end."""
    first, second = AdvertisedLimits(), AdvertisedLimits()
    first.observe("t1", 2.0, 0.0, 0.0)
    for at in range(0, 300, 5):
        for host, other in ((first, second), (second, first)):
            for row in host.local_rows() + host.anti_entropy_rows(9, random):
                other.merge(row, True, float(at))
        # They evict at different times.
        first.evict({"t1"} if at < 20 else set(), float(at))
        second.evict({"t1"} if at < 50 else set(), at + 2.5)
    assert not first.anti_entropy_rows(9, random)
    assert not first and not second
    assert not first._entries and not second._entries
