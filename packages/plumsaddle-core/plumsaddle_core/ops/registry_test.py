"""
Tests of the list of targets around outages of the store.
"""

from ..core.traffic import Target, TargetState
from .registry import DRAINING_MEMORY, LAPSE_GRACE, RELISTED_GRACE, Registry
from .topic_position import Position


def _target(number, state=TargetState.READY):
    return Target(f"t{number}", "look", "10.0.0.1:80", "x", 4, state, 0.0, 0.0)


def _filled(count):
    registry = Registry()
    for number in range(count):
        registry.put(_target(number), number, 0.0)
    return registry


def _ids(registry):
    return {target.id for target in registry.usable("look")}


def test_a_lapse_of_all_entries_keeps_targets_for_a_while():
    """
    Guards against a service without targets after an outage outlasts the entries.
    """
    registry = _filled(4)
    registry.note_store_unavailable(10.0)
    registry.note_store_available(20.0)
    registry.drop({f"t{number}": 10 for number in range(4)}, 20.1)
    assert len(_ids(registry)) == 4
    registry.put(_target(1), 11, 21.0)
    registry.expire(20.0 + LAPSE_GRACE)
    assert _ids(registry) == {"t1"}


def test_few_missing_entries_are_removed_at_once():
    """
    Guards against taking a target that has left for a lapsed entry after a partition.
    """
    registry = _filled(6)
    registry.note_store_unavailable(10.0)
    registry.note_store_available(20.0)
    registry.drop(registry.missing({f"t{n}" for n in range(5)}, 10), 20.1)
    assert _ids(registry) == {f"t{n}" for n in range(5)}


def test_entries_are_dropped_at_once_while_the_store_is_available():
    registry = _filled(2)
    registry.drop({"t0": 5, "t1": 6}, 50.0)
    assert not _ids(registry)


def test_older_records_change_nothing():
    """
    Guards against an older listing that overrides a newer entry.
    """
    registry = _filled(1)
    registry.put(_target(0, TargetState.DRAINING), 9, 1.0)
    registry.put(_target(0), 4, 1.1)
    assert not _ids(registry)
    registry.drop({"t0": 3}, 1.2)
    assert registry.targets["t0"].state is TargetState.DRAINING


def _restored(count=3, draining=(), removed=()):
    """Return a registry whose store has come back from a copy at 10.0 s."""
    registry = _filled(0)
    for number in range(count):
        registry.put(_target(number), Position(1, number), 0.0)
    for number in draining:
        registry.put(_target(number, TargetState.DRAINING), Position(1, 50), 9.0)
    registry.drop({f"t{number}": Position(1, 60) for number in removed}, 9.0)
    registry.note_store_restored(10.0)
    return registry


def test_entries_of_a_restored_store_replace_those_with_higher_offsets():
    """Guards against ignoring that a target drains since the store reuses offsets."""
    registry = _restored()
    draining = _target(1, TargetState.DRAINING)
    registry.put(draining, Position(2, 0), 11.0)
    assert _ids(registry) == {"t0", "t2"}
    registry.put(_target(1), Position(1, 70), 11.1)
    assert _ids(registry) == {"t0", "t2"}


def test_a_draining_target_is_not_ready_again_in_a_restored_store():
    """Guards against new requests to a target whose draining the store has lost."""
    registry = _restored(draining=[1])
    registry.put(_target(1), Position(2, 1), 10.1)
    assert _ids(registry) == {"t0", "t2"}
    registry.put(_target(1), Position(2, 9), 10.0 + DRAINING_MEMORY)
    assert _ids(registry) == {"t0", "t1", "t2"}


def test_a_target_that_had_left_is_not_used_when_it_is_listed_again():
    """Guards against requests to a target whose removal the store has lost."""
    registry = _restored(removed=[1])
    registry.put(_target(1), Position(2, 1), 10.1)
    assert _ids(registry) == {"t0", "t2"}
    # The store removes it once more, since nobody renews it.
    registry.drop({"t1": Position(2, 8)}, 14.0)
    registry.expire(10.0 + RELISTED_GRACE)
    assert _ids(registry) == {"t0", "t2"}


def test_a_target_that_had_left_is_not_used_after_two_restorations():
    """Guards against taking the second copy's entry for one written since the first."""
    registry = _restored(removed=[1])
    registry.put(_target(1), Position(2, 1), 10.1)
    registry.note_store_restored(12.0)
    registry.put(_target(1), Position(3, 1), 12.1)
    assert _ids(registry) == {"t0", "t2"}
    registry.expire(10.0 + RELISTED_GRACE)
    assert _ids(registry) == {"t0", "t2"}


def test_a_target_that_is_listed_again_and_alive_is_used():
    """Guards against losing a target that had only lapsed before the restoration."""
    for is_written_again in (False, True):
        registry = _restored(removed=[1])
        registry.put(_target(1), Position(2, 1), 10.1)
        if is_written_again:
            registry.put(_target(1), Position(2, 7), 11.0)
        else:
            registry.expire(10.0 + RELISTED_GRACE)
        assert _ids(registry) == {"t0", "t1", "t2"}


def test_a_target_that_had_come_back_is_used_in_a_restored_store():
    """Guards against losing a target that was removed and listed again before."""
    registry = _filled(0)
    registry.put(_target(1), Position(1, 1), 0.0)
    registry.drop({"t1": Position(1, 60)}, 9.0)
    registry.put(_target(1), Position(1, 70), 9.5)
    registry.note_store_restored(10.0)
    registry.put(_target(1), Position(2, 1), 10.1)
    assert not registry.is_relisted("t1")
    assert _ids(registry) == {"t1"}


def test_targets_that_a_restored_store_has_lost_stay_for_a_while():
    """Guards against a service without targets until they have registered again."""
    registry = _restored()
    missing = registry.missing({"t0"}, Position(2, 1))
    registry.drop(missing, 10.1, is_listing=True)
    assert _ids(registry) == {"t0", "t1", "t2"}
    registry.put(_target(1), Position(2, 2), 11.0)
    registry.expire(10.0 + LAPSE_GRACE)
    assert _ids(registry) == {"t0", "t1"}


def test_a_target_that_a_restored_store_removes_is_removed_at_once():
    registry = _restored()
    registry.drop({"t1": Position(2, 5)}, 10.1)
    assert _ids(registry) == {"t0", "t2"}
