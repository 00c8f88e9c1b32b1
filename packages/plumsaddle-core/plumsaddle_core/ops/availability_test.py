"""
What targets have said of their own availability.
"""

import random

from hypothesis import given, strategies as st

from .availability import MAX_BACKOFF, UNLISTED_TIMEOUT, Availability


def test_a_draining_target_stays_marked_while_the_registry_forgets_it():
    """Guards against a mark lost with an entry that lapses and comes back."""
    availability = Availability(2.0)
    assert availability.note_draining("t1", 0.0)
    assert not availability.note_draining("t1", 1.0)
    availability.evict(set(), 10.0)
    availability.evict({"t1"}, 10.0 + UNLISTED_TIMEOUT - 1.0)
    availability.evict(set(), 2000.0)
    assert availability.is_draining("t1")
    availability.evict(set(), 2000.0 + UNLISTED_TIMEOUT)
    assert not availability.is_draining("t1")


def test_a_draining_target_closes_after_its_grace_period():
    """Guards against a later notice, or a passing lapse, that opens a target again."""
    availability = Availability(2.0)
    assert availability.may_send("t1", 0.0)
    assert availability.is_open("t1", 0.0)
    availability.note_draining("t1", 1.0)
    availability.note_draining("t1", 2.5)
    assert not availability.is_open("t1", 1.0)
    assert availability.may_send("t1", 2.9)
    availability.note_backoff("t1", 0.05, 2.9)
    assert not availability.may_send("t1", 2.94)
    assert availability.may_send("t1", 2.96)
    for at in (3.0, 4.0, 1e6):
        assert not availability.may_send("t1", at)


@given(
    st.lists(st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 9.0)), max_size=9),
    st.floats(0.0, 60.0),
)
def test_a_backoff_ends_with_the_latest_end_that_was_named(notices, later):
    """Guards against a shorter backoff that ends a longer one."""
    availability = Availability(2.0)
    at, end = 0.0, 0.0
    for pause, seconds in notices:
        at += pause
        end = max(end, at + seconds)
        availability.note_backoff("t1", seconds, at)
        availability.end_backoffs(at)
        assert availability.backoff("t1", at) == max(0.0, end - at)
    assert availability.backoff("t1", at + later) == max(0.0, end - (at + later))


def test_a_backoff_is_bounded_and_ends_by_itself():
    """Guards against a target shut out for good by a mistake in a header."""
    availability = Availability(2.0)
    availability.note_backoff("t1", 1e9, 0.0)
    assert not availability.may_send("t1", MAX_BACKOFF - 0.5)
    assert availability.may_send("t1", MAX_BACKOFF)
    assert availability.end_backoffs(MAX_BACKOFF - 1.0) == []
    assert availability.end_backoffs(MAX_BACKOFF) == ["t1"]
    assert not availability.has_any


@given(st.randoms(use_true_random=False), st.integers(1, 60))
def test_hosts_converge_on_draining_targets_over_lossy_messages(rng, count):
    """Guards against announcements that a host misses for ever."""
    hosts = [Availability(2.0) for _ in range(3)]
    for number in range(count):
        rng.choice(hosts).note_draining(f"t{number}", 0.0)
    for _ in range(400):
        sender = rng.choice(hosts)
        rows = sender.local_rows() + sender.anti_entropy_rows(2, rng)
        for host in hosts:
            if rng.random() < 0.8:
                for row in rows:
                    host.merge_draining(row, True, 1.0)
        if all(host.draining_count == count for host in hosts):
            break
    assert all(host.draining_count == count for host in hosts)


def test_an_announcement_is_sent_once_to_other_data_centres():
    """Guards against data centres that send each other the same marks for ever."""
    hub, remote_hub = Availability(2.0), Availability(2.0)
    hub.note_draining("t1", 0.0)
    sent = [row for _ in range(9) for row in hub.remote_rows()]
    assert set(sent) == {"t1"}
    assert remote_hub.merge_draining("t1", False, 1.0)
    assert not remote_hub.merge_draining("t1", False, 1.1)
    assert not remote_hub.has_remote_pending
    assert not remote_hub.local_rows()


def test_hosts_do_not_repeat_marks_of_unlisted_targets():
    """Guards against marks that hosts send back to each other without end."""
    first, second = Availability(2.0), Availability(2.0)
    first.note_draining("t1", 0.0)
    for at in range(0, 1300, 10):
        for host, other in ((first, second), (second, first)):
            for row in host.local_rows() + host.anti_entropy_rows(9, random):
                other.merge_draining(row, True, float(at))
        # They evict at different times.
        first.evict({"t1"} if at < 20 else set(), float(at))
        second.evict({"t1"} if at < 50 else set(), float(at) + 5.0)
    assert not first.has_any
    assert not second.has_any


def test_state_is_bounded_by_the_listed_targets():
    """Guards against memory that grows with the targets that have come and gone."""
    availability = Availability(2.0)
    for number in range(500):
        availability.note_draining(f"t{number}", 0.0)
        availability.note_backoff(f"t{number}", 1e9, 0.0)
        availability.evict({"t1"}, 1.0)
    availability.evict({"t1"}, 1.0 + UNLISTED_TIMEOUT)
    sizes = map(len, (availability._draining, availability._backoff_until))
    assert set(sizes) == {1}
    assert not availability._unlisted_since
