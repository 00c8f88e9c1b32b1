"""
Requests in flight from other data centres.

The hub receives the load of each other data centre and sends their total to all hosts
of its own. What the other hosts receive does not grow with the number of data centres.
"""

from collections import Counter

from .peer_updates import RemoteLoadTotal

# Seconds without an update after which a load is discarded. Updates come ten times a
# second; after this time the data centre is cut off, and most of its requests have
# ended.
REMOTE_LOAD_TTL = 1.5


class RemoteLoads:
    """The latest `RemoteLoad` of each other data centre, and the latest total."""

    def __init__(self):
        self._loads = {}
        self._total = RemoteLoadTotal((), {})
        self._total_at = 0.0

    def apply(self, load, now):
        """
        Apply a data centre's load, unless it is older than the known one.

        Args:
          load: The `RemoteLoad`.
          now: The current time in seconds.
        """
        known, _ = self._loads.get(load.data_centre, (None, 0.0))
        is_same = known is not None and (known.host, known.incarnation) == (
            load.host,
            load.incarnation,
        )
        if not is_same or load.number > known.number:
            self._loads[load.data_centre] = (load, now)
            self.apply_total(self._compute_total(now), now)

    def _compute_total(self, now):
        total = Counter()
        loads = [
            load for load, at in self._loads.values() if now - at < REMOTE_LOAD_TTL
        ]
        for load in loads:
            total.update(load.counts)
        return RemoteLoadTotal(tuple(load.data_centre for load in loads), dict(total))

    def total(self, now):
        """Return the latest `RemoteLoadTotal`, empty if it is out of date."""
        return (
            self._total
            if now - self._total_at < REMOTE_LOAD_TTL
            else RemoteLoadTotal((), {})
        )

    def apply_total(self, total, now):
        """Replace the `RemoteLoadTotal`."""
        self._total = total
        self._total_at = now

    def is_known(self, data_centre, now):
        """Return whether a data centre's load is known and up to date."""
        return (
            data_centre in self._total.data_centres
            and now - self._total_at < REMOTE_LOAD_TTL
        )

    def in_flight(self, tag):
        """Return the requests in flight at a target from all other data centres."""
        return self._total.counts.get(tag, 0)

    def evict_silent(self, now):
        """Evict loads that are out of date."""
        entries = self._loads.items()
        self._loads = {
            data_centre: entry
            for data_centre, entry in entries
            if now - entry[1] < REMOTE_LOAD_TTL
        }
        if now - self._total_at >= REMOTE_LOAD_TTL:
            self._total = RemoteLoadTotal((), {})
