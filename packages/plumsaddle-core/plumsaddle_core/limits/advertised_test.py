"""
The limits that targets name, replicated among hosts.
"""

import random

from hypothesis import given, strategies as st

from .advertised import MAX_ROWS, NO_LIMIT, UNLISTED_TIMEOUT, AdvertisedLimits, LimitRow


def _exchange(hosts, now):
    """Let each host tell all others what it has to tell, until nobody has anything."""
    while any(rows := [host.local_rows() for host in hosts]):
        for teller, told in enumerate(rows):
            for number, host in enumerate(hosts):
                for row in told if number != teller else ():
                    host.merge(row, True, now)


def test_an_answer_names_changes_and_ends_a_limit():
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
    """Guards against a late answer from before the limit that lifts it again."""
    limits = AdvertisedLimits()
    limits.observe("t", 1.0, sent_at=0.0, now=5.0)
    assert not limits.observe("t", None, sent_at=4.9, now=5.1)
    assert not limits.observe("t", 3.0, sent_at=4.9, now=5.1)
    assert limits.rate("t") == 1.0
    assert limits.observe("t", 0.5, sent_at=4.9, now=5.1)


def test_the_stricter_of_two_simultaneous_changes_wins_everywhere():
    """Guards against hosts that each keep their own view for ever."""
    one, two = AdvertisedLimits(), AdvertisedLimits()
    one.observe("t", 2.0, sent_at=0.0, now=1.0)
    two.observe("t", 7.0, sent_at=0.0, now=1.0)
    _exchange([one, two], 1.1)
    assert one.rate("t") == two.rate("t") == 2.0


def test_a_host_that_missed_a_change_is_repaired():
    """Guards against a hub that repeats an outdated limit and is never corrected."""
    one, hub = AdvertisedLimits(), AdvertisedLimits()
    one.observe("t", 2.0, sent_at=0.0, now=1.0)
    _exchange([one, hub], 1.0)
    one.observe("t", None, sent_at=1.5, now=2.0)
    # Both messages that tell it are lost.
    assert one.local_rows()
    assert one.local_rows()
    assert not one.local_rows()
    for row in hub.anti_entropy_rows(MAX_ROWS, random):
        assert not one.merge(row, True, 3.0)
    _exchange([one, hub], 3.0)
    assert hub.rate("t") is None


def test_each_incarnation_has_a_limit_of_its_own():
    """Guards against a restarted target that inherits its former limit."""
    limits = AdvertisedLimits()
    limits.observe("t~1", 2.0, sent_at=0.0, now=1.0)
    assert limits.rate("t~2") is None
    limits.evict({"t~2"}, 10.0)
    limits.evict({"t~2"}, 10.0 + UNLISTED_TIMEOUT)
    assert not limits
    assert not limits.local_rows()
    assert not limits.anti_entropy_rows(MAX_ROWS, random)


def test_a_target_that_lapses_and_returns_keeps_its_limit():
    """Guards against hosts that all forget a limit while the store is away."""
    limits = AdvertisedLimits()
    limits.observe("t", 2.0, sent_at=0.0, now=1.0)
    limits.evict(set(), 10.0)
    limits.evict({"t"}, 60.0)
    limits.evict(set(), 71.0)
    limits.evict(set(), 100.0)
    assert limits.rate("t") == 2.0


def test_changes_go_out_twice_and_all_are_repeated():
    limits = AdvertisedLimits()
    for number in range(MAX_ROWS + 5):
        limits.observe(f"t-{number}", 1.0, sent_at=0.0, now=1.0)
    told = [row.incarnation for _ in range(4) for row in limits.local_rows()]
    assert sorted(told) == sorted([f"t-{n}" for n in range(MAX_ROWS + 5)] * 2)
    rng = random.Random(1)
    repeated = [
        row for _ in range(9) for row in limits.anti_entropy_rows(MAX_ROWS, rng)
    ]
    assert len({row.incarnation for row in repeated}) == MAX_ROWS + 5


def test_only_what_the_own_data_centre_saw_goes_to_the_others():
    """Guards against data centres that tell each other the same change for ever."""
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
def test_hosts_converge_in_whichever_order_messages_arrive(events, rng):
    """Guards against limits on which hosts differ for good."""
    hosts = [AdvertisedLimits() for _ in range(4)]
    sent = []
    for at, (number, rate, is_told) in enumerate(events):
        hosts[number].observe("t", rate, sent_at=at - 0.1, now=float(at))
        rows = hosts[number].local_rows()
        if is_told:
            sent += rows
        rng.shuffle(sent)
        for row in sent[: len(sent) // 2]:
            hosts[rng.randrange(4)].merge(row, True, at + 0.5)
    # Each tells all of its entries in the end, as hubs do.
    for _ in range(2):
        for teller in hosts:
            for row in teller.anti_entropy_rows(MAX_ROWS, rng):
                for host in hosts:
                    host.merge(row, True, 100.0)
    assert len({host.rate("t") for host in hosts}) == 1


def test_a_limit_that_ended_is_told_too():
    limits = AdvertisedLimits()
    limits.observe("t", 2.0, sent_at=0.0, now=1.0)
    limits.observe("t", None, sent_at=2.0, now=3.0)
    assert limits.local_rows() == [LimitRow("t", 2, NO_LIMIT)]
