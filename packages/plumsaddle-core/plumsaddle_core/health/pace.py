"""
The learned pace of targets: how long they take compared with the usual of a route.

This answers services whose targets differ in speed by factors, and change. A pace of 2
means that a request takes twice as long as the median of its route, apart from the wait
for a slot. Paces are learned per incarnation from the durations in the outcomes that
hosts of a data centre exchange anyway. A restarted target starts anew, and the pace of
one that gets no requests returns to the usual, so that it is tried again.
"""

import math

# The least weight of a response in the average. A change is followed within a dozen
# responses, which a busy target gives within three seconds.
MIN_WEIGHT = 0.15
# Responses that count for the usual pace before any was seen.
PRIOR_COUNT = 2
# A duration counts for at most this factor: one long job doesn't make a target slow.
MAX_RATIO = 8.0
# Time constant in seconds with which the pace of an idle target returns to the usual.
IDLE_DECAY_SECONDS = 15.0
# The pace assumed for a cold target before its first response.
COLD_PACE = 2.0


class _Pace:
    """A moving average of the logarithms of duration ratios."""

    def __init__(self):
        self.log_ratio = 0.0
        self.count = 0
        self.updated_at = -math.inf

    def at(self, now):
        idle = max(0.0, now - self.updated_at)
        return self.log_ratio * math.exp(-idle / IDLE_DECAY_SECONDS)

    def note(self, log_ratio, now):
        weight = max(MIN_WEIGHT, 1.0 / (self.count + PRIOR_COUNT))
        former = self.at(now)
        self.log_ratio = former + weight * (log_ratio - former)
        self.count += 1
        self.updated_at = now


class Paces:
    """The paces of all targets, by incarnation."""

    def __init__(self):
        self._paces = {}

    def note_duration(self, incarnation, seconds, typical, now):
        """Note the duration of a response, and the typical one of its route."""
        if seconds <= 0.0 or typical <= 0.0:
            return
        bounded = min(MAX_RATIO, max(1.0 / MAX_RATIO, seconds / typical))
        self._paces.setdefault(incarnation, _Pace()).note(math.log(bounded), now)

    def note_overdue(self, incarnation, seconds, typical, now):
        """Note that a response takes longer than some seconds."""
        if seconds > typical * self.pace(incarnation, False, now):
            self.note_duration(incarnation, seconds, typical, now)

    def pace(self, incarnation, is_cold, now):
        """Return the pace of a target; a higher one is slower."""
        known = self._paces.get(incarnation)
        if known is None:
            return COLD_PACE if is_cold else 1.0
        return math.exp(known.at(now))

    def evict(self, listed):
        """Evict the paces of incarnations that are no longer listed."""
        self._paces = {k: v for k, v in self._paces.items() if k in listed}
