"""
A data centre's share of the retries that all hosts together may send.

An installation limits the retries of a service in any window to a ratio of its requests
plus a fixed allowance. This keeps retries from doubling the load when a service fails
as a whole. The hosts of a data centre exchange their counts of requests and retries and
share one budget. The allowance is split equally among data centres, and a host that
receives messages of only some of its peers uses only their part of it.

A shared budget does not waste the fractions that separate budgets of hosts with few
requests would round off.
"""

import math
from collections import deque

from ..scheduling.retry_budget import RequestHistory, retry_probability, usable_retries

# The fraction of the limit that is used. Arrivals at targets are counted a little later
# than sends, and hosts send retries without knowing of each other's latest ones.
SAFETY_FACTOR = 0.8


class DataCentreRetryBudget:
    """
    The requests and retries of one service in a data centre in a sliding window.

    Args:
      ratio: The retries allowed for each request.
      window: The window's length in seconds.
    """

    def __init__(self, ratio, window):
        self.ratio = ratio
        self.window = window
        self._requests = _SlidingSum()
        self._history = RequestHistory(window)
        self._retries = _SlidingSum()

    def note_requests(self, count, now):
        """Count incoming requests for the service."""
        self._requests.add(count, now)
        self._history.add(count, now)

    def note_retries(self, count, now):
        """Count retries that were sent."""
        self._retries.add(count, now)

    def may_retry(self, extra, now, usable_fraction=1.0):
        """
        Return whether a retry may be sent.

        Args:
          extra: The data centre's part of the fixed allowance.
          now: The current time in seconds.
          usable_fraction: The fraction of the budget that the request may use up.
        """
        requests = self._requests.total(now - self.window)
        retries = self._retries.total(now - self.window)
        return (
            retries + 1
            <= (self.ratio * requests + extra) * SAFETY_FACTOR * usable_fraction
        )

    def retry_probability(self, extra, now, usable_fraction=1.0):
        """
        Return the probability with which to send a retry, to use the budget whole.

        The arguments are those of `may_retry`.
        """
        retries = self._retries.total(now - self.window)
        return retry_probability(self._limit(extra, now), retries, usable_fraction)

    def retry_wait(self, extra, now, usable_fraction=1.0):
        """
        Return the seconds until a retry may be sent, if none is sent before.

        The arguments are those of `may_retry`.
        """
        usable = usable_retries(self._limit(extra, now), usable_fraction)
        excess = self._retries.total(now - self.window) + 1 - usable
        return self._retries.wait_for(excess, now - self.window)

    def _limit(self, extra, now):
        return self.ratio * self._history.highest(now) + extra


class _SlidingSum:
    """The sum of the counts in a sliding window."""

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

    def wait_for(self, count, since):
        """Return the seconds until the oldest `count` have left the window."""
        if count <= 0:
            return 0.0
        for at, added in self._entries:
            count -= added
            if count <= 0:
                return at - since
        return math.inf
