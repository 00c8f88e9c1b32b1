"""
The platform's list of targets as one host knows it.

Changes are applied as they arrive, with one exception. Entries of live targets may
lapse while the store is unavailable, since they cannot be renewed; they are written
again within two seconds of its recovery. So if a large share of the ready targets is
removed around a recovery, they stay usable for a grace period and are removed if they
are not listed again by its end. If only a few are missing, this host alone was
disconnected and those targets have left: they are removed at once.
"""

import math

from ..core.traffic import TargetState

# Seconds for which lapsed entries stay usable after the store's recovery. The entries
# of live targets are back within two seconds of it. Hosts
# notice a recovery up to a second late, and must not use a target that is still missing
# three seconds after it.
LAPSE_GRACE = 1.5
# Removals of more than this fraction of the ready targets count as a lapse. Releases
# and scaling remove fewer during a short disconnection.
LAPSE_FRACTION = 0.4


class Registry:
    """All targets that the platform lists, by service and by id."""

    def __init__(self):
        self.targets = {}
        self.by_service = {}
        self.next_offset = 0
        # Incremented with each change of the listed targets.
        self.revision = 0
        self._offsets = {}
        self._lapsing = {}
        self._unavailable_since = None
        self._recovered_at = -math.inf

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

    def put(self, target, offset, now):
        """
        Add or replace a target's entry.

        Args:
          target: The `Target`.
          offset: The entry's offset in the log; older entries are ignored.
          now: The current time in seconds.
        Returns:
          The target's previous entry if the target has restarted, else None.
        """
        if self._is_old(target.id, offset):
            return None
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

    def reject(self, target_id, offset):
        """
        Remove a target whose latest entry is invalid, until the next valid entry.
        """
        if self._is_old(target_id, offset) or target_id not in self.targets:
            return
        self._lapsing.pop(target_id, None)
        self._remove(self.targets[target_id])

    @property
    def service_count(self):
        """The number of services with listed targets."""
        return len(self.by_service)

    def incarnations(self):
        """Return the incarnations of all listed targets."""
        return {target.incarnation for target in self.targets.values()}

    def drop(self, removed, now):
        """
        Remove targets whose entries were removed in one batch.

        Args:
          removed: A dictionary of target id to the offset of the removal.
          now: The current time in seconds.
        """
        ids = [
            target_id
            for target_id, offset in removed.items()
            if not self._is_old(target_id, offset) and target_id in self.targets
        ]
        ready = [t for t in self.targets.values() if t.state is TargetState.READY]
        end = self._recovered_at + LAPSE_GRACE
        is_lapse = now < end and len(ids) > LAPSE_FRACTION * len(ready)
        for target_id in ids:
            target = self.targets[target_id]
            if is_lapse and target.state is TargetState.READY:
                self._lapsing[target_id] = end
            else:
                self._lapsing.pop(target_id, None)
                self._remove(target)

    def missing(self, ids, offset):
        """
        Return the targets that a full listing lacks, in the form that `drop` takes.

        Args:
          ids: The listed target ids.
          offset: The end of the log when the listing began.
        """
        return {key: offset for key in self.targets if key not in ids}

    def expire(self, now):
        """Remove targets whose grace period has ended, and return their ids."""
        expired = [key for key, end in self._lapsing.items() if end <= now]
        for target_id in expired:
            del self._lapsing[target_id]
            self._remove(self.targets[target_id])
        return expired

    def usable(self, service):
        """Return the targets of a service that may receive new requests."""
        listed = self.by_service.get(service, {})
        return [t for t in listed.values() if t.state is TargetState.READY]

    def _is_old(self, target_id, offset):
        if offset < self._offsets.get(target_id, -1):
            return True
        self._offsets[target_id] = offset
        return False

    def _remove(self, target):
        self.revision += 1
        del self.targets[target.id]
        self._unlist(target)

    def _unlist(self, target):
        listed = self.by_service[target.service]
        del listed[target.id]
        if not listed:
            del self.by_service[target.service]
