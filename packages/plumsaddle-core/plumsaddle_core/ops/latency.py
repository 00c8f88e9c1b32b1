"""
Latency thresholds relative to a service's recent responses.

The reference is the median latency of a service's recent responses, over all its
targets and for each kind of request. It is robust while fewer than half of the
responses come from slow targets, and follows a service that slows down as a whole, so
that no single target is blamed for that.
"""

import statistics
from collections import deque

MAX_SAMPLES = 64
SAMPLES_PER_UPDATE = 8
MIN_SAMPLES = 20
# Multiples of the median from which a response is slow, and an attempt overdue.
SLOW_FACTOR = 3.5
OVERDUE_FACTOR = 12.0
# Added to both thresholds, so that a median of a few milliseconds leaves some room.
MARGIN_SECONDS = 0.02


class Latency:
    """The recent latencies of one kind of request to one service, in seconds."""

    def __init__(self):
        self._recent = deque(maxlen=MAX_SAMPLES)
        self._samples_since_update = 0
        self._median = None

    def note_latency(self, seconds):
        """Record the latency of one complete response."""
        self._recent.append(seconds)
        self._samples_since_update += 1
        if self._samples_since_update >= SAMPLES_PER_UPDATE:
            self._samples_since_update = 0
            self._median = statistics.median(self._recent)

    def slow_after(self):
        """Return the seconds after which a response is slow, or None if unknown."""
        if self._median is None:
            return None
        return SLOW_FACTOR * self._median + MARGIN_SECONDS

    def overdue_after(self):
        """Return the seconds after which an attempt is overdue, or None if unknown."""
        if self._median is None:
            return None
        return OVERDUE_FACTOR * self._median + MARGIN_SECONDS
