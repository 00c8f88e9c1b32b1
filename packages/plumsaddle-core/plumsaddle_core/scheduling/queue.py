"""
The requests of one service that wait on a host for a target, in their order of service.

The load it answers: more requests than targets have slots for, for some seconds, of
workspaces of uneven size. Requests are served by rank. Within a rank those that can
still meet their objective come first, since a response after it is worth less to the
caller however long it takes. Among these, start-time fair queuing divides the service
by workspace, so that a burst of one workspace delays only its own requests. The
requests of one workspace are ordered by deadline.

The queue is bounded in count and in bytes. If it is full, the least urgent rank gives
way, and within it the workspace that has the most requests waiting.
"""

import itertools
import math
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from ..core.ids import WorkspaceName
from ..ops.urgency import RequestPriority

# Every this many requests served, a less urgent rank goes first, so that a lasting
# overload of urgent requests does not stop all others.
TURNS_PER_LOW_RANK_TURN = 10


class Ticket:
    """
    A waiting request.

    `starts_in_time_by` is when it has to be sent to probably meet its objective, and
    `latest_start` when it has to be sent to be answered by its deadline. It is not
    served before `not_before`. `cost` is the time in seconds that it will probably
    occupy a slot, and `size` its memory in bytes. `needs_room` is unset while it waits
    for something else than a target. `payload` belongs to the caller.
    """

    __slots__ = (
        "cost",
        "deadline",
        "latest_start",
        "needs_room",
        "not_before",
        "payload",
        "queued_at",
        "rank",
        "sequence",
        "size",
        "starts_in_time_by",
        "workspace",
    )

    def __init__(
        self,
        rank: RequestPriority,
        workspace: WorkspaceName | None,
        queued_at: float,
        starts_in_time_by: float,
        latest_start: float,
        deadline: float,
        cost: float = 1.0,
        size: int = 0,
        payload: Any = None,
        not_before: float = -math.inf,
    ):
        self.rank = rank
        self.workspace = workspace
        self.queued_at = queued_at
        self.starts_in_time_by = starts_in_time_by
        self.latest_start = latest_start
        self.deadline = deadline
        self.cost = cost
        self.size = size
        self.payload = payload
        self.not_before = not_before
        self.needs_room = True
        self.sequence = 0


class FairQueue:
    """
    The waiting requests of one service on one host.

    Args:
      capacity: The maximum number of waiting requests.
      max_bytes: The maximum of their total size.
    """

    def __init__(self, capacity: int, max_bytes: float = math.inf):
        self._capacity = capacity
        self._max_bytes = max_bytes
        self._sequence = itertools.count()
        self._ranks: dict[RequestPriority, _RankQueue] = {}
        self._turns = 0
        self._length = 0
        self.bytes = 0

    def __len__(self) -> int:
        return self._length

    def push(self, ticket: Ticket) -> list[Ticket]:
        """
        Add a request.

        Returns:
          The requests that give way, which may include the added one.
        """
        ticket.sequence = next(self._sequence)
        self._ranks.setdefault(ticket.rank, _RankQueue()).add(ticket)
        self._length += 1
        self.bytes += ticket.size
        displaced = []
        while self._length > self._capacity or self.bytes > self._max_bytes:
            victim = self._ranks[max(self._ranks)].most_over_share()
            self.remove(victim)
            displaced.append(victim)
        return displaced

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request that is not served, and return whether it was waiting."""
        rank_queue = self._ranks.get(ticket.rank)
        if rank_queue is None or not rank_queue.discard(ticket):
            return False
        if not rank_queue.waiting:
            del self._ranks[ticket.rank]
        self._length -= 1
        self.bytes -= ticket.size
        return True

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the requests that can no longer meet their deadline."""
        expired = [ticket for ticket in self if ticket.latest_start <= now]
        for ticket in expired:
            self.remove(ticket)
        return expired

    def serve(
        self, now: float, try_serve: Callable[[Ticket], bool], max_failures: int
    ) -> None:
        """
        Offer room to the waiting requests in their order.

        Args:
          now: The current time in seconds.
          try_serve: Called with a request; returns whether it left the queue, served or
            refused.
          max_failures: The number of requests that stay in the queue for lack of room
            after which the others are not tried.
        """
        failures = 0
        tried = set()
        while failures < max_failures:
            ticket = self._next(now, tried)
            if ticket is None:
                return
            tried.add(ticket.sequence)
            if not try_serve(ticket):
                failures += ticket.needs_room
            elif self._note_served(ticket):
                self._turns += 1

    def _next(self, now, tried):
        """Return the next request that is not among the tried ones, or None."""
        ranks = sorted(self._ranks)
        if self._turns % TURNS_PER_LOW_RANK_TURN == TURNS_PER_LOW_RANK_TURN - 1:
            ranks.reverse()
        for rank in ranks:
            ticket = self._ranks[rank].first(now, tried)
            if ticket is not None:
                return ticket
        return None

    def _note_served(self, ticket):
        """Charge a request to its workspace, and remove it."""
        rank_queue = self._ranks.get(ticket.rank)
        if rank_queue is not None and ticket.sequence in rank_queue.waiting:
            rank_queue.charge(ticket)
        return self.remove(ticket)

    def count_ahead(
        self, rank: RequestPriority, workspace: WorkspaceName | None, now: float
    ) -> int:
        """
        Return how many requests would be served before a new one.

        Of its rank, these are at most as many of each other workspace as wait of its
        own, which are served by turns. Those that have to wait for a time of their own,
        or need no room, do not count.
        """
        ahead = sum(
            sum(queue.count_ready(now).values())
            for other, queue in self._ranks.items()
            if other < rank
        )
        rank_queue = self._ranks.get(rank)
        if rank_queue is None:
            return ahead
        counts = rank_queue.count_ready(now)
        own = counts.pop(workspace, 0)
        return ahead + own + sum(min(count, own + 1) for count in counts.values())

    def count_by_rank(self) -> dict[RequestPriority, int]:
        """Return the number of waiting requests by rank."""
        return {rank: len(queue.waiting) for rank, queue in self._ranks.items()}

    def oldest(self) -> float | None:
        """Return when the oldest waiting request was queued, or None if empty."""
        return min((ticket.queued_at for ticket in self), default=None)

    def __iter__(self) -> Iterator[Ticket]:
        for rank_queue in self._ranks.values():
            yield from rank_queue.waiting.values()


class _RankQueue:
    """
    The waiting requests of one rank, with the state of start-time fair queuing.

    The start tag of a workspace is the service in seconds that it has received while
    others waited. A workspace that had no request waiting starts at the virtual time,
    the start tag of the latest request served, so it does not catch up on what it
    left unused.
    """

    def __init__(self):
        self.waiting: dict[int, Ticket] = {}
        self._start_tags: dict[WorkspaceName | None, float] = {}
        self._counts: dict[WorkspaceName | None, int] = {}
        self._virtual_time = 0.0

    def add(self, ticket):
        self.waiting[ticket.sequence] = ticket
        workspace = ticket.workspace
        self._counts[workspace] = self._counts.get(workspace, 0) + 1
        tag = self._start_tags.get(workspace, 0.0)
        self._start_tags[workspace] = max(tag, self._virtual_time)

    def discard(self, ticket):
        if self.waiting.pop(ticket.sequence, None) is None:
            return False
        self._counts[ticket.workspace] -= 1
        if not self._counts[ticket.workspace]:
            del self._counts[ticket.workspace]
            if self._start_tags[ticket.workspace] <= self._virtual_time:
                del self._start_tags[ticket.workspace]
        return True

    def charge(self, ticket):
        tag = self._start_tags[ticket.workspace]
        self._virtual_time = max(self._virtual_time, tag)
        self._start_tags[ticket.workspace] = tag + ticket.cost
        for workspace, tag in list(self._start_tags.items()):
            if tag <= self._virtual_time and workspace not in self._counts:
                del self._start_tags[workspace]

    def first(self, now, tried):
        """Return the request to serve next that is not among the tried ones."""
        candidates = (
            ticket
            for ticket in self.waiting.values()
            if ticket.sequence not in tried and ticket.not_before <= now
        )
        return min(candidates, key=lambda ticket: self._key(ticket, now), default=None)

    def _key(self, ticket, now):
        is_late = now > ticket.starts_in_time_by
        tag = self._start_tags[ticket.workspace]
        return is_late, tag, ticket.deadline, ticket.sequence

    def count_ready(self, now):
        """Return the number of requests that would take room now, by workspace."""
        return Counter(
            ticket.workspace
            for ticket in self.waiting.values()
            if ticket.needs_room and ticket.not_before <= now
        )

    def most_over_share(self):
        """Return the last request of the workspace with the most waiting requests."""
        return max(
            self.waiting.values(),
            key=lambda t: (self._counts[t.workspace], t.deadline, t.sequence),
        )
