"""
What targets have said of their own availability.
"""

from hypothesis import given, strategies as st

from .availability import MAX_REST, UNLISTED_TIMEOUT, Availability


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
    assert availability.may_send("t1", 0.0, 0.0)
    assert availability.is_open("t1", 0.0, 0.0)
    availability.note_draining("t1", 1.0)
    availability.note_draining("t1", 2.5)
    assert not availability.is_open("t1", 0.0, 1.0)
    assert availability.may_send("t1", 0.0, 2.9)
    availability.note_rest("t1", 0.1, 2.8)
    assert availability.may_send("t1", 0.2, 2.8)
    availability.note_rest("t1", 0.2, 2.85)
    assert not availability.may_send("t1", 0.2, 2.85)
    for at in (3.0, 4.0, 1e6):
        assert not availability.may_send("t1", 0.0, at)


@given(
    st.lists(st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 9.0)), max_size=9),
    st.floats(0.0, 60.0),
)
def test_a_rest_ends_with_the_latest_end_that_was_named(notices, later):
    """Guards against a shorter rest that ends a longer one."""
    availability = Availability(2.0)
    at, end = 0.0, 0.0
    for pause, seconds in notices:
        at += pause
        end = max(end, at + seconds)
        availability.note_rest("t1", seconds, at)
        availability.end_rests(at)
        assert availability.rest("t1", at) == max(0.0, end - at)
    assert availability.rest("t1", at + later) == max(0.0, end - (at + later))


def test_a_rest_is_bounded_and_ends_by_itself():
    """Guards against a target shut out for good by a mistake in a header."""
    availability = Availability(2.0)
    availability.note_rest("t1", 1e9, 0.0)
    assert not availability.may_send("t1", 1.0, MAX_REST - 1.5)
    assert availability.may_send("t1", 1.0, MAX_REST - 0.5)
    assert availability.end_rests(MAX_REST - 1.0) == []
    assert availability.end_rests(MAX_REST) == ["t1"]
    assert not availability.has_any


def test_state_is_bounded_by_the_listed_targets():
    """Guards against memory that grows with the targets that have come and gone."""
    availability = Availability(2.0)
    for number in range(500):
        availability.note_draining(f"t{number}", 0.0)
        availability.note_rest(f"t{number}", 1e9, 0.0)
        availability.evict({"t1"}, 1.0)
    availability.evict({"t1"}, 1.0 + UNLISTED_TIMEOUT)
    sizes = map(len, (availability._draining, availability._rests_until))
    assert set(sizes) == {1}
    assert not availability._unlisted_since
