"""
The platform's list of targets as one host knows it.

Changes arrive in the order of their offsets and are applied as they come, but for one
case. While the store is away, entries of targets that live may lapse, since nobody
could renew them; they are back within two seconds of its return. To drop them all at
once would leave a service without targets although all of them work. So when a large
part of the ready targets vanishes around the store's return, they stay usable for most
of those two seconds, and are dropped then unless they have come back. When only a few
vanish, the store was not away but this host was cut off from it, and those few have
left: they are dropped at once.
"""

import math

from ..core.traffic import TargetState

# Entries that lapsed with the store away are promised back two seconds after its
# return. A host notices the return up to a second late, and whoever is still missing
# three seconds after it must not be used any more.
LAPSE_FOR = 1.5
# The part of the ready targets that must vanish to be taken for a lapse. Releases and
# scaling take away less than this while a host is cut off for some seconds.
LAPSE_SHARE = 0.4


class Registry:
    """All targets that the platform lists, by service and by id."""

    def __init__(self):
        self.targets = {}
        self.by_service = {}
        self.next_offset = 0
        # Grows with each change of what is listed.
        self.revision = 0
        self._offsets = {}
        self._lapsing = {}
        self._away_since = None
        self._returned_at = -math.inf

    def note_store_unavailable(self, now):
        """Take note that the store did not answer."""
        if self._away_since is None:
            self._away_since = now

    def note_store_available(self, now):
        """Take note that the store answers again."""
        if self._away_since is not None:
            self._away_since = None
            self._returned_at = now

    def note_store_recovery(self, returned_at):
        """Take from another host when the store came back for it."""
        self._returned_at = max(self._returned_at, returned_at)

    def put(self, target, offset, now):
        """
        Take a target's entry.

        Args:
          target: The `Target`.
          offset: Where the entry stands in the log; an older one is ignored.
          now: The present, in seconds.
        Returns:
          The `Target` as it was listed before if that was another life of it, which
          has ended then, else None.
        """
        if self._is_old(target.id, offset):
            return None
        self._lapsing.pop(target.id, None)
        former = self.targets.get(target.id)
        if former is not None and former.service != target.service:
            self._unlist(former)
        self.revision += 1
        self.targets[target.id] = target
        self.by_service.setdefault(target.service, {})[target.id] = target
        has_restarted = former is not None and former.incarnation != target.incarnation
        return former if has_restarted else None

    def reject(self, target_id, offset):
        """
        Take an entry that cannot be used: the target that it was for gets no more work.

        Nothing else is touched, and the next good entry brings the target back.
        """
        if self._is_old(target_id, offset) or target_id not in self.targets:
            return
        self._lapsing.pop(target_id, None)
        self._remove(self.targets[target_id])

    def lives(self):
        """Return the lives of all listed targets."""
        return {target.incarnation for target in self.targets.values()}

    def drop(self, gone, now):
        """
        Take the removal of entries that are told together.

        Args:
          gone: A dictionary of target id to the offset of its removal.
          now: The present, in seconds.
        """
        ids = [
            target_id
            for target_id, offset in gone.items()
            if not self._is_old(target_id, offset) and target_id in self.targets
        ]
        ready = [t for t in self.targets.values() if t.state is TargetState.READY]
        end = self._returned_at + LAPSE_FOR
        is_lapse = now < end and len(ids) > LAPSE_SHARE * len(ready)
        for target_id in ids:
            target = self.targets[target_id]
            if is_lapse and target.state is TargetState.READY:
                self._lapsing[target_id] = end
            else:
                self._lapsing.pop(target_id, None)
                self._remove(target)

    def missing(self, ids, offset):
        """
        Return what a full listing no longer names, as `drop` takes it.

        Args:
          ids: The ids that the listing names.
          offset: The end of the log when the listing began.
        """
        return {key: offset for key in self.targets if key not in ids}

    def expire(self, now):
        """Drop entries that lapsed and did not come back, and return their ids."""
        late = [key for key, end in self._lapsing.items() if end <= now]
        for target_id in late:
            del self._lapsing[target_id]
            self._remove(self.targets[target_id])
        return late

    def usable(self, service):
        """Return the targets of a service that may get new work."""
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
