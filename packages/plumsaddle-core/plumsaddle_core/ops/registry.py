"""
The platform's list of targets as one host knows it.

Changes are applied as they arrive, with two exceptions. An entry is ignored if its
target has written a newer one (`entry_order`). And entries of live targets may lapse
while the store is unavailable, since they cannot be renewed; they are written again
within two seconds of its recovery. So if a large share of the ready targets is removed
around a recovery, they stay usable for a grace period and are removed if they are not
listed again by its end. If only a few are missing, this host alone was disconnected and
those targets have left: they are removed at once.

The store may also come back from an older copy. Entries that are missing there are
written again, so those targets stay usable for the grace period. Entries that are there
again although their targets had left or were draining say nothing new: a target that
had left is used only if its entry is written again, or outlasts the time in which the
store removes silent targets, and one that was draining is not used. It is the same
after a removal that no outage explains: what follows may be a write that was delayed.
"""

import math
from typing import NamedTuple

from ..core.traffic import Target, TargetState
from .entry_order import EntryOrder
from .topic_position import Position

# Seconds for which lapsed entries stay usable after the store's recovery. The entries
# of live targets are back within two seconds of it. Hosts
# notice a recovery up to a second late, and must not use a target that is still missing
# three seconds after it.
LAPSE_GRACE = 1.5
# Removals of more than this fraction of the ready targets count as a lapse. Releases
# and scaling remove fewer during a short disconnection.
LAPSE_FRACTION = 0.4
# Seconds for which a removed target is remembered, in case the store comes back from a
# copy that lists it.
REMOVAL_MEMORY = 60.0
# Seconds after a listing or a write within which the store has removed the entry of a
# target that doesn't renew it.
RELISTED_GRACE = 6.0
# Seconds after a restoration for which a target that was draining counts as such. By
# then it has exited.
DRAINING_MEMORY = 60.0


class RelistedTarget(NamedTuple):
    """A target that had left, as it is listed again; it is used after some time."""

    target: Target
    position: Position
    used_at: float


class Registry:
    """All targets that the platform lists, by service and by id."""

    def __init__(self):
        self.targets = {}
        self.by_service = {}
        # Incremented with each change of the listed targets.
        self.revision = 0
        self._positions = {}
        self._order = EntryOrder()
        self._lapsing = {}
        self._unavailable_since = None
        self._recovered_at = -math.inf
        self._restored_at = -math.inf
        # When targets were removed, by incarnation.
        self._removed_at = {}
        # Incarnations that had left, and that were draining, at the last restoration.
        self._left_before = frozenset()
        self._draining_before = frozenset()
        self._relisted = {}

    def note_store_unavailable(self, now):
        """Record that the store did not respond."""
        if self._unavailable_since is None:
            self._unavailable_since = now

    def note_store_available(self, now):
        """Record that the store responds."""
        if self._unavailable_since is not None:
            self._unavailable_since = None
            self._recovered_at = now

    def note_store_recovery(self, recovered_at):
        """Record when the store recovered for another host."""
        self._recovered_at = max(self._recovered_at, recovered_at)

    def note_store_restored(self, now):
        """Record that the store has come back from an older copy."""
        self._restored_at = now
        self._left_before = frozenset(self._removed_at)
        # Positions in former copies don't tell whether an entry is new.
        self._relisted = {}
        self._draining_before = frozenset(
            target.incarnation
            for target in self.targets.values()
            if target.state is TargetState.DRAINING
        )

    def put(self, target, position, now):
        """
        Add or replace a target's entry.

        Args:
          target: The `Target`.
          position: The entry's `Position` in the log; older entries are ignored.
          now: The current time in seconds.
        Returns:
          The target's previous entry if the target has restarted, else None.
        """
        if self._is_old(target.id, position) or self._order.is_outdated(target, now):
            return None
        if self._has_left(target, position, now):
            is_restored = target.incarnation in self._left_before
            used_at = (self._restored_at if is_restored else now) + RELISTED_GRACE
            self._relisted[target.id] = RelistedTarget(target, position, used_at)
            return None
        self._relisted.pop(target.id, None)
        if (
            target.incarnation in self._draining_before
            and now < self._restored_at + DRAINING_MEMORY
        ):
            target = target._replace(state=TargetState.DRAINING)
        return self._put(target)

    def _has_left(self, target, position, now):
        """
        Return whether an entry is probably from before its target has left.

        An entry that was written since the listing is a new one.
        """
        relisted = self._relisted.get(target.id)
        if relisted is not None and position > relisted.position:
            return False
        is_restored = now < self._restored_at + RELISTED_GRACE
        if is_restored and target.incarnation in self._left_before:
            return True
        return self._may_be_delayed(target)

    def _may_be_delayed(self, target):
        """
        Return whether the first entry after a removal may be a delayed write.

        A service without other targets is better served by one that may have left.
        """
        removed_at = self._removed_at.get(target.incarnation)
        if removed_at is None or target.sequence is None:
            return False
        follows_outage = 0.0 <= removed_at - self._recovered_at < LAPSE_GRACE
        return not follows_outage and bool(self.usable(target.service))

    def is_relisted(self, target_id):
        """Return whether a target that had left is listed again, and isn't used yet."""
        return target_id in self._relisted

    def _put(self, target):
        self._removed_at.pop(target.incarnation, None)
        self._lapsing.pop(target.id, None)
        previous = self.targets.get(target.id)
        if previous is not None and previous.service != target.service:
            self._unlist(previous)
        self.revision += 1
        self.targets[target.id] = target
        self.by_service.setdefault(target.service, {})[target.id] = target
        has_restarted = (
            previous is not None and previous.incarnation != target.incarnation
        )
        return previous if has_restarted else None

    def reject(self, target_id, position):
        """
        Remove a target whose latest entry is invalid, until the next valid entry.
        """
        if self._is_old(target_id, position):
            return
        self._relisted.pop(target_id, None)
        if target_id not in self.targets:
            return
        self._lapsing.pop(target_id, None)
        self._unlist(self.targets.pop(target_id))
        self.revision += 1

    @property
    def service_count(self):
        """The number of services with listed targets."""
        return len(self.by_service)

    def incarnations(self):
        """Return the incarnations of all listed targets."""
        return {target.incarnation for target in self.targets.values()}

    def drop(self, removed, now, is_listing=False):
        """
        Remove targets whose entries were removed in one batch.

        Args:
          removed: A dictionary of target id to the `Position` of the removal.
          now: The current time in seconds.
          is_listing: Whether they are missing in a listing, which a restored store
            lacks if it has lost them.
        """
        ids = []
        for target_id, position in removed.items():
            if self._is_old(target_id, position):
                continue
            self._relisted.pop(target_id, None)
            if target_id in self.targets:
                ids.append(target_id)
            else:
                self._order.note_removed(target_id, now)
        end = max(self._recovered_at, self._restored_at) + LAPSE_GRACE
        is_lost = is_listing and now < self._restored_at + LAPSE_GRACE
        is_lapse = is_lost or self._is_lapse(ids, now)
        for target_id in ids:
            target = self.targets[target_id]
            if is_lapse and target.state is TargetState.READY:
                self._lapsing[target_id] = end
            else:
                self._lapsing.pop(target_id, None)
                self._remove(target, now)

    def _is_lapse(self, ids, now):
        """Return whether so many entries are missing that they have lapsed."""
        ready = [t for t in self.targets.values() if t.state is TargetState.READY]
        is_recent = now < self._recovered_at + LAPSE_GRACE
        return is_recent and len(ids) > LAPSE_FRACTION * len(ready)

    def missing(self, ids, position):
        """
        Return the targets that a full listing lacks, in the form that `drop` takes.

        Args:
          ids: The listed target ids.
          position: The `Position` of the log's end when the listing began.
        """
        known = self.targets.keys() | self._relisted.keys()
        return dict.fromkeys(known - set(ids), position)

    def expire(self, now):
        """Remove targets whose grace period has ended, and return their ids."""
        for target_id, relisted in list(self._relisted.items()):
            if now >= relisted.used_at:
                del self._relisted[target_id]
                self._put(relisted.target)
        self._order.evict(now)
        self._removed_at = {
            incarnation: at
            for incarnation, at in self._removed_at.items()
            if now - at < REMOVAL_MEMORY
        }
        expired = [key for key, end in self._lapsing.items() if end <= now]
        for target_id in expired:
            del self._lapsing[target_id]
            self._remove(self.targets[target_id], now)
        return expired

    def usable(self, service):
        """Return the targets of a service that may receive new requests."""
        listed = self.by_service.get(service, {})
        return [t for t in listed.values() if t.state is TargetState.READY]

    def _is_old(self, target_id, position):
        known = self._positions.get(target_id)
        if known is not None and position < known:
            return True
        self._positions[target_id] = position
        return False

    def _remove(self, target, now):
        self.revision += 1
        self._removed_at[target.incarnation] = now
        self._order.note_removed(target.id, now)
        del self.targets[target.id]
        self._unlist(target)

    def _unlist(self, target):
        listed = self.by_service[target.service]
        del listed[target.id]
        if not listed:
            del self.by_service[target.service]
