"""
Work in flight from other data centres, as each of them tells it in sums.

One host of a data centre, its hub, is told the sums of each other one and tells all
hosts here the sum over them. So what a host hears of elsewhere does not grow with the
number of data centres.
"""

from collections import Counter

from .peer_updates import RemoteLoadTotal

# Work in flight elsewhere is told ten times a second; after this many seconds without
# it a data centre is cut off, and what it had in flight has mostly ended.
REMOTE_LOAD_TTL = 1.5


class RemoteLoads:
    """The last `RemoteLoad` of each other data centre, or the last sum over them."""

    def __init__(self):
        self._loads = {}
        self._total = RemoteLoadTotal((), {})
        self._total_at = 0.0

    def apply(self, load, now):
        """
        Take a data centre's sums; an older message of the same host is ignored.

        Args:
          load: The `RemoteLoad`.
          now: The present, in seconds.
        """
        known, _ = self._loads.get(load.centre, (None, 0.0))
        is_same = known is not None and (known.host, known.incarnation) == (
            load.host,
            load.incarnation,
        )
        if not is_same or load.number > known.number:
            self._loads[load.centre] = (load, now)
            self.apply_total(self._compute_total(now), now)

    def _compute_total(self, now):
        total = Counter()
        loads = [
            load for load, at in self._loads.values() if now - at < REMOTE_LOAD_TTL
        ]
        for load in loads:
            total.update(load.counts)
        return RemoteLoadTotal(tuple(load.centre for load in loads), dict(total))

    def total(self, now):
        """Return the latest `RemoteLoadTotal`, empty if it is out of date."""
        return (
            self._total
            if now - self._total_at < REMOTE_LOAD_TTL
            else RemoteLoadTotal((), {})
        )

    def apply_total(self, total, now):
        """Take `RemoteLoadTotal`; they replace the former ones."""
        self._total = total
        self._total_at = now

    def is_known(self, centre, now):
        """Return whether a data centre has told its work lately."""
        return centre in self._total.centres and now - self._total_at < REMOTE_LOAD_TTL

    def in_flight(self, tag):
        """Return the requests in flight at a target from all other data centres."""
        return self._total.counts.get(tag, 0)

    def evict_silent(self, now):
        """Forget the work of data centres that have been silent."""
        heard = self._loads.items()
        self._loads = {
            c: entry for c, entry in heard if now - entry[1] < REMOTE_LOAD_TTL
        }
        if now - self._total_at >= REMOTE_LOAD_TTL:
            self._total = RemoteLoadTotal((), {})
