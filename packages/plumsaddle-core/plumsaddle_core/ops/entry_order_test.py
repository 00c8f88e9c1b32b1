"""
Tests of the order in which targets wrote their entries.
"""

import pytest

from ..core.traffic import Target, TargetState
from .entry_order import REMOVED_ENTRY_TTL
from .registry import Registry

HEARTBEAT = 1.5
READY, DRAINING = TargetState.READY, TargetState.DRAINING


class _Log:
    """A registry, and a log whose records are read as they are appended."""

    def __init__(self):
        self.registry = Registry()
        self._offset = 0

    def put(self, started_at, sequence, now, state=READY, address="10.0.0.1:80"):
        """Append an entry, and return what the registry returns."""
        self._offset += 1
        entry = Target(
            "t", "look", address, "x", 4, state, 0.0, now, started_at, sequence
        )
        return self.registry.put(entry, self._offset, now)

    def remove(self, now):
        """Append a removal."""
        self._offset += 1
        self.registry.drop({"t": self._offset}, now)

    @property
    def usable(self):
        """The start times of the usable targets."""
        return [target.started_at for target in self.registry.usable("look")]


def test_a_late_entry_of_a_former_start_is_no_restart():
    """Guards against cutting the responses of a target whose old entry arrives late."""
    log = _Log()
    log.put(1000, 1, 0.0)
    assert log.put(2000, 1, 5.0).started_at == 1000
    assert log.put(1000, 2, 6.0) is None
    assert log.put(2000, 2, 6.5) is None
    assert log.usable == [2000]


def test_a_late_entry_of_a_start_that_was_never_read_is_no_restart():
    """Guards against the same at a host that has started since."""
    log = _Log()
    log.put(2000, 4, 0.0)
    assert log.put(1000, 9, 0.1) is None
    assert log.usable == [2000]


def test_late_entries_of_a_former_start_list_no_target_that_has_left():
    """Guards against requests to a target that has restarted and then left."""
    log = _Log()
    log.put(1000, 1, 0.0)
    log.put(2000, 1, 5.0)
    log.remove(8.0)
    for sequence in (2, 3):
        log.put(1000, sequence, 8.0 + sequence * HEARTBEAT)
        assert not log.usable


@pytest.mark.parametrize("is_removed", [False, True])
def test_a_target_that_starts_again_is_used_at_once(is_removed):
    """Guards against leaving out a target that has just started."""
    log = _Log()
    log.put(1000, 40, 0.0)
    if is_removed:
        log.remove(2.0)
    log.put(2000, 1, 3.0, address="10.0.0.2:80")
    assert log.usable == [2000]
    assert log.registry.targets["t"].address == "10.0.0.2:80"


@pytest.mark.parametrize("started_at", [9000, 2**53])
def test_a_forged_start_keeps_no_running_target_out(started_at):
    """Guards against an entry of another writer that outlives the target's own."""
    log = _Log()
    log.put(1000, 1, 0.0)
    log.put(started_at, 1, 1.0, DRAINING)
    for number in range(3):
        assert not log.usable
        log.put(1000, 2 + number, 1.5 + number * HEARTBEAT)
    assert log.usable == [1000]


def test_a_restart_after_its_clock_was_set_back_is_noticed():
    """Guards against taking all entries of a target for outdated by its clock."""
    log = _Log()
    log.put(9000, 40, 0.0)
    for sequence in (1, 2, 3):
        former = log.put(5000, sequence, sequence * HEARTBEAT, address="10.0.0.2:80")
    assert former.started_at == 9000
    assert log.registry.targets["t"].address == "10.0.0.2:80"


def test_late_entries_replace_no_target_that_renews_its_own():
    """Guards against several late entries that count as signs of life."""
    log = _Log()
    log.put(2000, 1, 0.0)
    for number in range(6):
        log.put(1000, 5 + number, 0.5 + number * HEARTBEAT)
        log.put(2000, 2 + number, 1.0 + number * HEARTBEAT)
        assert log.usable == [2000]


def test_late_entries_that_arrive_together_replace_none():
    """Guards against a burst of delayed writes that counts as a running target."""
    log = _Log()
    log.put(2000, 1, 0.0)
    for number in range(6):
        log.put(1000, 5 + number, 0.5 + number / 100)
    assert log.usable == [2000]


def test_removed_targets_are_forgotten():
    """Guards against memory that grows with each target that has ever been listed."""
    log = _Log()
    log.put(1000, 1, 0.0)
    log.remove(1.0)
    log.registry.expire(1.0 + REMOVED_ENTRY_TTL)
    assert not log.registry._order._newest
