"""
One host's share of the retries that all hosts together may send.

An installation bounds the retries of a service in any window: a ratio of the requests
for it and a fixed extra. Hosts spend only what is theirs, the ratio of their own
requests and an equal part of the extra, so the sum holds whatever they know of each
other. When a service fails as a whole, each request wants a second try, and this
bound is what keeps the load from doubling.
"""

from collections import deque

# Part of the allowance that is spent. Windows slide and the platform counts arrivals
# at targets, a little later than this host counts its sends.
SPENT_PART = 0.9


class RetryShare:
    """
    The requests and retries of one service on one host in the last window.

    Args:
      ratio: Retries allowed for one request.
      window: The window's length, in seconds.
    """

    def __init__(self, ratio, window):
        self.ratio = ratio
        self.window = window
        self._requests = deque()
        self._retries = deque()

    def note_request(self, now):
        """Count a request that came in for the service."""
        self._requests.append(now)
        self._forget(now)

    def may_retry(self, extra, now):
        """
        Return whether a retry may go out.

        Args:
          extra: This host's part of the fixed extra.
          now: The present, in seconds.
        """
        self._forget(now)
        allowed = (self.ratio * len(self._requests) + extra) * SPENT_PART
        return len(self._retries) + 1 <= allowed

    def note_retry(self, now):
        """Count a retry that goes out."""
        self._retries.append(now)

    def _forget(self, now):
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window:
                times.popleft()
