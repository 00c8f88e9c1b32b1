"""
A bounded queue of requests that wait for a target, ordered by deadline.

Waiting requests hold no slot. A request that finds the queue full is refused at once,
and one whose deadline has passed is dropped.
"""

import heapq
import itertools
from typing import Any, NamedTuple


class Waiter(NamedTuple):
    """A waiting request; `sequence` keeps the order of equal deadlines."""

    deadline: float
    sequence: int
    ticket: Any


class Queue:
    """
    The queue of one service on one host.

    Args:
      capacity: The maximum number of waiting requests.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self._sequence = itertools.count()
        self._waiters = []

    def __len__(self):
        return len(self._waiters)

    def push(self, deadline, ticket):
        """Add a request, and return whether there was room."""
        if len(self._waiters) >= self.capacity:
            return False
        heapq.heappush(self._waiters, Waiter(deadline, next(self._sequence), ticket))
        return True

    def serve(self, now, try_serve):
        """
        Try to serve the waiting requests in order of their deadlines.

        Args:
          now: The current time in seconds.
          try_serve: A function that takes a ticket and returns whether it was served.
        Returns:
          The tickets whose deadlines have passed.
        """
        late = []
        kept = []
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if waiter.deadline <= now:
                late.append(waiter.ticket)
            elif not try_serve(waiter.ticket):
                kept.append(waiter)
        self._waiters = kept
        return late

    def remove(self, ticket):
        """Remove a request whose caller has disconnected."""
        self._waiters = [w for w in self._waiters if w.ticket is not ticket]
        heapq.heapify(self._waiters)
