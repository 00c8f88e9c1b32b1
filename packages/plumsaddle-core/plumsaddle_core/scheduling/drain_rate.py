"""
How fast a queue is served, and which requests will probably not be served in time.

The load it answers: a lasting demand above the capacity. Waiting then only makes all
requests late. A request whose place in the queue is too far back is refused at once,
while its caller can still do something else, and those ahead of it stay in time.

While a queue has been busy for a short time only, as in a clump of requests, it is
assumed to be served as fast as the targets can. After that its own rate counts, of
which more urgent requests of other hosts may leave little.
"""

from collections import deque

# Seconds over which the served requests are counted.
WINDOW = 1.0
# Requests ahead below which none is refused: their wait cannot be told from a few.
MIN_AHEAD = 4
# The least rate assumed in requests per second.
MIN_RATE = 1.0


class DrainRate:
    """The requests of one queue that were served in a sliding window."""

    def __init__(self):
        self._served_at = deque()
        self._busy_since = None

    def note_length(self, length, now):
        """Note the length of the queue after a change."""
        if not length:
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = now

    def note_served(self, now):
        """Count a served request."""
        self._served_at.append(now)

    def expected_wait(self, ahead, capacity, now):
        """
        Return the seconds until as many requests have been served.

        Args:
          ahead: The number of requests.
          capacity: The rate at which the targets could serve them, in requests per
            second.
          now: The current time in seconds.
        """
        while self._served_at and self._served_at[0] <= now - WINDOW:
            self._served_at.popleft()
        rate = len(self._served_at) / WINDOW
        if self._busy_since is None or now - self._busy_since < WINDOW:
            rate = max(rate, capacity)
        return ahead / max(MIN_RATE, rate)

    def is_hopeless(self, ahead, capacity, time_left, now):
        """
        Return whether a request will probably not get its turn in time.

        Args: as for `expected_wait`, and
          time_left: The seconds until the request has to be sent.
        """
        wait = self.expected_wait(ahead, capacity, now)
        return ahead >= MIN_AHEAD and wait > time_left
