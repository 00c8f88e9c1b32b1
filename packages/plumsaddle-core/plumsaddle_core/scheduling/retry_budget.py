"""
Use of a retry budget that many hosts spend at once.

The load it answers: a service whose targets all reject part of their requests for some
seconds. Every rejected request wants a retry, far more than the budget allows, and its
caller does not return. Hosts learn of each other's retries some tenths of a second
late. If each one retries until the known count reaches the limit, they overshoot it
together, and a margin for that leaves part of the budget unused all the time.

Below a reserve, each host therefore retries with a probability that falls with what is
left. The rate of retries then settles where the window frees them, whatever the number
of hosts, and no coordinator or share is needed.
"""

import math
from collections import deque

# The fraction of the limit that is used. The rest covers what hosts that crash have
# spent without reporting it, and the delay between a send and its arrival.
USED_FRACTION = 0.95
# The fraction of the limit below which retries are admitted with a probability. Hosts
# that all retry at once must not spend it before they learn of each other's retries.
RESERVE_FRACTION = 0.3
# The part of the budget that hedges may use up. A retry after a rejection decides
# whether a request is served, a hedge only how soon.
HEDGE_FRACTION = 0.6
# The slots in which a window of requests is counted.
WINDOW_SLOTS = 20


class RequestHistory:
    """
    The requests of a service over the last two windows.

    Args:
      window: The length of a window in seconds.
    """

    def __init__(self, window):
        self._slot_length = window / WINDOW_SLOTS
        self._slots = deque()

    def add(self, count, now):
        """Count requests."""
        number = math.floor(now / self._slot_length)
        if self._slots and self._slots[-1][0] == number:
            self._slots[-1][1] += count
            return
        self._slots.append([number, count])
        while self._slots[0][0] < number - 2 * WINDOW_SLOTS:
            self._slots.popleft()

    def highest(self, now):
        """
        Return the most requests in the current window or one that precedes it.

        The limit follows the window with the most requests: the current one, the one
        before it, or the one that ends half a window ago. Slots that lie only partly in
        a window are left out.
        """
        last = math.floor(now / self._slot_length)
        return max(
            self._sum(last - WINDOW_SLOTS, last),
            self._sum(last - 3 * WINDOW_SLOTS // 2, last - WINDOW_SLOTS // 2 - 1),
            self._sum(last - 2 * WINDOW_SLOTS, last - WINDOW_SLOTS - 1),
        )

    def _sum(self, after, last):
        """Return the count of the slots after one, up to another one."""
        return sum(count for number, count in self._slots if after < number <= last)


def usable_retries(limit, usable_fraction=1.0):
    """Return how many of the retries that a window allows a request may use up."""
    return limit * USED_FRACTION * usable_fraction


def retry_probability(limit, retries, usable_fraction=1.0):
    """
    Return the probability with which a host sends a retry.

    Args:
      limit: The retries that the window allows.
      retries: Those that are known to have been sent in it.
      usable_fraction: The fraction of the budget that the request may use up.

    Example: of 100 retries allowed, 60 are known to be spent. An urgent request is
    retried for certain, and one that may use only 0.6 of the budget is not.
    """
    usable = usable_retries(limit, usable_fraction)
    remaining = usable - retries
    if remaining < 1.0:
        return 0.0
    return min(1.0, remaining / (RESERVE_FRACTION * usable))
