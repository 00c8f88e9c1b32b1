"""
A scheduler of periodic callbacks.

The daemon drives it from its event loop; tests and simulations drive it from a virtual
clock.
"""

import heapq
import itertools
from typing import NamedTuple


class Subscription(NamedTuple):
    """A scheduled callback; `sequence` breaks ties between equal due times."""

    due_at: float
    sequence: int
    period: float
    callback: object


class Timers:
    """
    Schedules all periodic callbacks of a process.

    Args:
      now: A function that returns the current time in seconds of a monotonic clock.
      rng: A `random.Random`, for jitter that keeps hosts started together from running
        their callbacks at the same time.
    """

    JITTER = 0.1

    def __init__(self, now, rng):
        self.now = now
        self._rng = rng
        self._sequence = itertools.count()
        self._queue = []

    def subscribe(self, period, callback):
        """
        Call a function periodically.

        Args:
          period: The seconds between calls.
          callback: A function that takes the current time in seconds.
        """
        self._push(self.now() + self._rng.uniform(0, period), period, callback)

    def _push(self, due_at, period, callback):
        heapq.heappush(
            self._queue, Subscription(due_at, next(self._sequence), period, callback)
        )

    def run_due(self):
        """
        Call all callbacks that are due.

        Returns:
          The seconds until the next one is due.
        """
        now = self.now()
        while self._queue and self._queue[0].due_at <= now:
            due = heapq.heappop(self._queue)
            jitter = self._rng.uniform(1 - self.JITTER, 1 + self.JITTER)
            self._push(now + due.period * jitter, due.period, due.callback)
            due.callback(now)
        return self._queue[0].due_at - now if self._queue else 1.0
