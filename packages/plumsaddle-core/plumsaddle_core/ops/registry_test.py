"""
Tests of the list of targets around outages of the store.
"""

from ..core.traffic import Target, TargetState
from .registry import LAPSE_GRACE, Registry


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
