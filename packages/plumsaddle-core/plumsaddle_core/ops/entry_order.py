"""
The order in which targets wrote their entries in the platform's list.

The log has another order: a write whose response was lost may be executed seconds
later. The start times of two entries tell which one is newer, and within one start
their sequences. A removal has neither, so it counts from when it is read: a removed
target is listed again by an entry that it has written since.

Start times and sequences are claims of whoever wrote the entry. They may be forged, and
a start time may lie before that of the former start because a clock was set. So an
outdated entry replaces a newer one if its writer renews it as a running target does
while the other writer is silent.
"""

from typing import NamedTuple

# Entries of one start, each with a higher sequence than the last one, that show that
# their writer is running.
RENEWALS = 3
# Seconds between two of them. Running targets write about every second; writes that
# were delayed together are executed together.
MIN_RENEWAL_INTERVAL = 0.5
# Seconds for which the last entry of a removed target is remembered. A write is delayed
# by less.
REMOVED_ENTRY_TTL = 60.0


class _Entry(NamedTuple):
    """The newest entry of a target, and when it was removed, or None."""

    started_at: int
    sequence: int
    removed_at: float | None = None


class _Renewals(NamedTuple):
    """Outdated entries of one start: the last one counted, and how many there were."""

    started_at: int
    sequence: int
    at: float
    count: int


class EntryOrder:
    """The newest entry of each target, as known to one host."""

    def __init__(self):
        self._newest = {}
        self._renewals = {}

    def is_outdated(self, target, now):
        """
        Return whether a target has written a newer entry than one that was read.

        Entries without a sequence are taken in the order of the log.

        Args:
          target: The entry, as a `Target`.
          now: The current time in seconds.
        """
        if target.sequence is None:
            return False
        newest = self._newest.get(target.id)
        if newest is not None and _is_older(target, newest):
            renewals = _count_renewal(self._renewals.get(target.id), target, now)
            if renewals.count < RENEWALS:
                self._renewals[target.id] = renewals
                return True
        self._renewals.pop(target.id, None)
        self._newest[target.id] = _Entry(target.started_at, target.sequence)
        return False

    def note_removed(self, target_id, now):
        """Note that a target's entry was removed."""
        newest = self._newest.get(target_id)
        if newest is not None:
            self._newest[target_id] = newest._replace(removed_at=now)

    def evict(self, now):
        """Evict targets whose entries were removed long ago."""
        for target_id, newest in list(self._newest.items()):
            at = newest.removed_at
            if at is not None and now - at >= REMOVED_ENTRY_TTL:
                del self._newest[target_id]
                self._renewals.pop(target_id, None)


def _is_older(target, newest):
    """Return whether an entry says nothing that a newer one has not replaced."""
    if target.started_at != newest.started_at:
        return target.started_at < newest.started_at
    if newest.removed_at is not None:
        return target.sequence <= newest.sequence
    return target.sequence < newest.sequence


def _count_renewal(renewals, target, now):
    """Return the `_Renewals` that an outdated entry continues or begins."""
    if renewals is None or target.started_at != renewals.started_at:
        return _Renewals(target.started_at, target.sequence, now, 1)
    if target.sequence < renewals.sequence:
        return _Renewals(target.started_at, target.sequence, now, 1)
    is_renewal = (
        target.sequence > renewals.sequence
        and now - renewals.at >= MIN_RENEWAL_INTERVAL
    )
    if not is_renewal:
        return renewals
    return renewals._replace(sequence=target.sequence, at=now, count=renewals.count + 1)
