"""
A data centre's share of the retries that all hosts together may send.

An installation bounds the retries of a service in any window: a ratio of the requests
for it and a fixed extra. The hosts of a data centre tell each other their requests and
retries and spend what belongs to all of them; the extra is split equally among the
data centres. A host that hears only some of its neighbours takes only their part of
it. When a service fails as a whole, each request wants a second try, and this bound is
what keeps the load from doubling.

Pooled, the share of a host that sees few requests is not lost: with a request a second
at each of twelve hosts, the whole parts of twelve separate shares are a third smaller.
"""

from collections import deque

# Part of the allowance that is spent. Windows slide, the platform counts arrivals at
# targets a little later than hosts count their sends, and hosts spend at one moment
# without knowing of each other.
SAFETY_FACTOR = 0.8


class CentreRetryBudget:
    """
    The requests and retries of one service in a data centre in the last window.

    Args:
      ratio: Retries allowed for one request.
      window: The window's length, in seconds.
    """

    def __init__(self, ratio, window):
        self.ratio = ratio
        self.window = window
        self._requests = _Counted()
        self._retries = _Counted()

    def note_requests(self, count, now):
        """Count requests that came in for the service."""
        self._requests.add(count, now)

    def note_retries(self, count, now):
        """Count retries that went out."""
        self._retries.add(count, now)

    def may_retry(self, extra, now, part=1.0):
        """
        Return whether a retry may go out.

        Args:
          extra: The data centre's part of the fixed extra.
          now: The present, in seconds.
          part: The part of the share that may be used up; the rest is left to others.
        """
        requests = self._requests.total(now - self.window)
        retries = self._retries.total(now - self.window)
        return retries + 1 <= (self.ratio * requests + extra) * SAFETY_FACTOR * part


class _Counted:
    """Counts with their times, and their sum."""

    def __init__(self):
        self._entries = deque()
        self._sum = 0

    def add(self, count, now):
        self._entries.append((now, count))
        self._sum += count

    def total(self, since):
        while self._entries and self._entries[0][0] <= since:
            self._sum -= self._entries.popleft()[1]
        return self._sum
