"""
How long is too long, measured by a service's own recent answers.

The reference is the median of the last answers of all targets of a service, for
each kind of request. It is robust while fewer than half of the answers come from
slow targets, and when a whole service grows slow it moves along, so that nobody is
blamed for what all do.
"""

import statistics
from collections import deque

KEPT = 64
RENEW_EVERY = 8
FEWEST = 20
SLOW_FACTOR = 3.5
OVERDUE_FACTOR = 12.0
SLOW_MARGIN = 0.02


class Latency:
    """The recent latencies of one kind of request to one service, in seconds."""

    def __init__(self):
        self._recent = deque(maxlen=KEPT)
        self._since = 0
        self._median = None

    def note(self, seconds):
        """Take the latency of one whole answer."""
        self._recent.append(seconds)
        self._since += 1
        if self._since >= RENEW_EVERY:
            self._since = 0
            self._median = statistics.median(self._recent)

    def slow_after(self):
        """Return the seconds after which an answer is slow, or None if unknown."""
        if self._median is None:
            return None
        return SLOW_FACTOR * self._median + SLOW_MARGIN

    def overdue_after(self):
        """Return the seconds after which a try counts as failed, or None."""
        if self._median is None:
            return None
        return OVERDUE_FACTOR * self._median + SLOW_MARGIN
