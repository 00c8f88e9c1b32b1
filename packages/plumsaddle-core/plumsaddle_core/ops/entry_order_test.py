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

    def put_other(self, now, target_id="s"):
        """Append an entry of another target of the service."""
        self._offset += 1
        entry = Target(target_id, "look", "10.0.0.3:80", "x", 4, READY, 0.0, now, 1, 1)
        self.registry.put(entry, self._offset, now)

    def remove(self, now):
        """Append a removal."""
        self._offset += 1
        self.registry.drop({"t": self._offset}, now)

    @property
    def usable(self):
        """The start time of the target, if it is usable."""
        usable = self.registry.usable("look")
        return [target.started_at for target in usable if target.id == "t"]


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


@pytest.mark.parametrize("started_at", [0, 1000])
def test_a_late_entry_undoes_no_draining(started_at):
    """Guards against requests to a target that has announced that it leaves."""
    log = _Log()
    log.put(started_at, 5, 0.0)
    log.put(started_at, 7, 6.0, DRAINING)
    log.put(started_at, 6, 8.0)
    assert not log.usable
    log.remove(9.0)
    log.put(started_at, 6, 10.0)
    assert not log.usable


@pytest.mark.parametrize("started_at", [0, 1000])
@pytest.mark.parametrize("sequence", [4, 5])
def test_a_late_entry_lists_no_target_that_has_left(started_at, sequence):
    """Guards against requests to a target that left without announcing it."""
    log = _Log()
    log.put(started_at, 5, 0.0)
    log.remove(1.0)
    log.put(started_at, sequence, 2.0)
    assert not log.usable
    # Its executor may repeat it.
    log.put(started_at, sequence, 3.0)
    assert not log.usable


def test_a_delayed_entry_lists_no_target_that_has_left():
    """Guards against the write of a target that never announced that it leaves."""
    log = _Log()
    log.put_other(0.0)
    log.put(0, 5, 0.0)
    log.remove(4.5)
    log.put(0, 6, 8.0)
    log.registry.expire(9.0)
    assert not log.usable
    # The store removes it once more, since nobody renews it.
    log.remove(12.5)
    log.registry.expire(20.0)
    assert not log.usable


def test_an_invalid_entry_ends_the_wait_for_a_renewal():
    """Guards against the use of a target whose latest entry names none."""
    log = _Log()
    log.put_other(0.0)
    log.put(1000, 5, 0.0)
    log.remove(4.5)
    log.put(1000, 6, 5.0)
    log.registry.reject("t", 100)
    log.registry.expire(20.0)
    assert not log.usable


@pytest.mark.parametrize("started_at", [0, 1000])
def test_a_target_whose_entry_had_expired_is_used_once_it_renews_it(started_at):
    """Guards against leaving out a running target that reaches the store again."""
    log = _Log()
    log.put_other(0.0)
    log.put(started_at, 5, 0.0)
    log.remove(4.5)
    log.put(started_at, 6, 5.0)
    log.put(started_at, 7, 5.0 + HEARTBEAT)
    assert log.usable == [started_at]


def test_the_only_target_of_a_service_is_used_at_once():
    """Guards against a service without targets while entries are confirmed."""
    log = _Log()
    log.put(1000, 5, 0.0)
    log.remove(4.5)
    log.put(1000, 6, 5.0)
    assert log.usable == [1000]


def test_an_entry_that_expired_in_an_outage_is_used_at_once():
    """Guards against taking all targets for delayed after the store was away."""
    log = _Log()
    log.put_other(0.0)
    log.put_other(0.0, "u")
    log.put(1000, 5, 0.0)
    log.registry.note_store_unavailable(1.0)
    log.registry.note_store_available(9.0)
    log.remove(9.1)
    assert not log.usable
    log.put(1000, 6, 10.0)
    assert log.usable == [1000]


def test_a_repeated_entry_changes_nothing():
    """Guards against taking the repetition of a write for a sign of a restart."""
    log = _Log()
    log.put(1000, 5, 0.0, DRAINING)
    assert log.put(1000, 5, 1.0, DRAINING) is None
    assert not log.usable


@pytest.mark.parametrize("sequence", [10**6, 9 * 10**15])
def test_a_forged_sequence_keeps_no_running_target_out(sequence):
    """Guards against an entry of another writer that outlives the target's own."""
    log = _Log()
    log.put(1000, 1, 0.0)
    log.put(1000, sequence, 1.0, DRAINING)
    for number in range(3):
        assert not log.usable
        log.put(1000, 2 + number, 1.5 + number * HEARTBEAT)
    assert log.usable == [1000]


def test_a_sequence_that_starts_anew_is_taken_up():
    """Guards against leaving out a target without a start time that has restarted."""
    log = _Log()
    log.put(0, 40, 0.0)
    log.remove(5.0)
    for sequence in (1, 2, 3):
        assert not log.usable
        log.put(0, sequence, 5.0 + sequence * HEARTBEAT)
    assert log.usable == [0]


def test_a_restored_copy_undoes_no_draining():
    """Guards against the older entry that a restored store lists for a target."""
    log = _Log()
    log.put(1000, 5, 0.0)
    log.put(1000, 7, 1.0, DRAINING)
    log.registry.note_store_restored(2.0)
    log.put(1000, 5, 2.1)
    assert not log.usable


def test_a_running_target_is_used_after_a_restoration():
    """Guards against taking what a target writes after a restoration for old."""
    log = _Log()
    log.put(1000, 5, 0.0)
    log.remove(1.0)
    log.registry.note_store_restored(2.0)
    log.put(1000, 4, 2.1)
    assert not log.usable
    log.put(1000, 6, 3.0)
    log.put(1000, 7, 4.5)
    assert log.usable == [1000]
