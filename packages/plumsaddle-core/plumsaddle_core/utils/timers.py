"""
A timer service that parts subscribe to.

Parts give it a function and a period and never sleep themselves. The daemon drives
it from its event loop, tests and measurements from a virtual clock.
"""

import heapq
import itertools
from typing import NamedTuple


class Due(NamedTuple):
    """When a subscription is due next; the count keeps the order of equals."""

    at: float
    count: int
    period: float
    run: object


class Timers:
    """
    All periodic work of one process.

    Args:
      now: A function that returns the present in seconds, from a clock that never
        goes back.
      rng: A `random.Random`; periods vary a little, so that hosts started together
        do not work in step.
    """

    JITTER = 0.1

    def __init__(self, now, rng):
        self.now = now
        self._rng = rng
        self._count = itertools.count()
        self._due = []

    def subscribe(self, period, run):
        """
        Run a function again and again.

        Args:
          period: The seconds from one run to the next.
          run: A function that takes the present in seconds.
        """
        self._push(self.now() + self._rng.uniform(0, period), period, run)

    def _push(self, at, period, run):
        heapq.heappush(self._due, Due(at, next(self._count), period, run))

    def run_due(self):
        """
        Run what is due.

        Returns:
          The seconds until the next subscription is due.
        """
        now = self.now()
        while self._due and self._due[0].at <= now:
            due = heapq.heappop(self._due)
            spread = self._rng.uniform(1 - self.JITTER, 1 + self.JITTER)
            self._push(now + due.period * spread, due.period, due.run)
            due.run(now)
        return self._due[0].at - now if self._due else 1.0
