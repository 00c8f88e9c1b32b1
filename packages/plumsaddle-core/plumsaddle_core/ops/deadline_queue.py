"""
Requests that wait for a target, ordered by deadline.

A waiting request holds no slot. The queue is bounded, and whoever finds it full is
refused at once; one whose deadline has passed is dropped before it costs anything.
"""

import heapq
import itertools
from typing import Any, NamedTuple


class Waiter(NamedTuple):
    """A waiting request; the count keeps the order of equal deadlines."""

    deadline: float
    count: int
    ticket: Any


class Queue:
    """
    The queue of one service on one host.

    Args:
      bound: The most requests that may wait.
    """

    def __init__(self, bound):
        self.capacity = bound
        self._count = itertools.count()
        self._waiters = []

    def __len__(self):
        return len(self._waiters)

    def push(self, deadline, ticket):
        """Let a request wait, and return whether there was room."""
        if len(self._waiters) >= self.capacity:
            return False
        heapq.heappush(self._waiters, Waiter(deadline, next(self._count), ticket))
        return True

    def serve(self, now, give):
        """
        Go through the waiting requests in order of their deadlines.

        Args:
          now: The present, in seconds.
          give: A function that takes a ticket and returns whether it was served.
        Returns:
          The tickets whose deadlines have passed.
        """
        late = []
        kept = []
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if waiter.deadline <= now:
                late.append(waiter.ticket)
            elif not give(waiter.ticket):
                kept.append(waiter)
        self._waiters = kept
        return late

    def remove(self, ticket):
        """Take out a request whose caller has gone."""
        self._waiters = [w for w in self._waiters if w.ticket is not ticket]
        heapq.heapify(self._waiters)
