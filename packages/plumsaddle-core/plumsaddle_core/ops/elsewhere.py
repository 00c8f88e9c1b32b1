"""
Work in flight from other data centres, as each of them tells it in sums.
"""

from .news import tag_of

# Work in flight elsewhere is told ten times a second; after this many seconds without
# it a data centre is cut off, and what it had in flight has mostly ended.
LOAD_FOR = 1.5


class Elsewhere:
    """The last `FarLoad` of each other data centre."""

    def __init__(self):
        self._loads = {}

    def take(self, load, now):
        """
        Take a data centre's sums; an older message of the same host is ignored.

        Args:
          load: The `FarLoad`.
          now: The present, in seconds.
        """
        known, _ = self._loads.get(load.centre, (None, 0.0))
        is_same = known is not None and (known.host, known.life) == (
            load.host,
            load.life,
        )
        if not is_same or load.number > known.number:
            self._loads[load.centre] = (load, now)

    def is_known(self, centre, now):
        """Return whether a data centre has told its work lately."""
        return centre in self._loads and now - self._loads[centre][1] < LOAD_FOR

    def in_flight(self, target_id):
        """Return the requests in flight at a target from all other data centres."""
        tag = tag_of(target_id)
        return sum(load.counts.get(tag, 0) for load, _ in self._loads.values())

    def forget_silent(self, now):
        """Forget the work of data centres that have been silent."""
        for centre in [c for c in self._loads if not self.is_known(c, now)]:
            del self._loads[centre]
