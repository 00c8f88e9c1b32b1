"""
Sliding windows over the times of requests, and what a target's rate limit tolerates.
"""

import math

# Seconds of the windows in which a target's rate limit holds, and seconds after which
# a limit that it names must hold.
LIMIT_WINDOW = 4.0
LIMIT_HOLDS_AFTER = 3.0


def most_in_window(times, window, since=-math.inf):
    """
    Return the most times in any window that begins at a moment or later.

    Args:
      times: Times in seconds, in any order.
      window: The window, in seconds; its end does not belong to it.
      since: The moment, in seconds.
    """
    late = sorted(at for at in times if at >= since)
    first, most = 0, 0
    for last, at in enumerate(late):
        while late[first] <= at - window:
            first += 1
        most = max(most, last - first + 1)
    return most


def tolerated(rate):
    """Return how many requests a window may hold at a limit of so many a second."""
    return 1.5 * rate * LIMIT_WINDOW + 5
