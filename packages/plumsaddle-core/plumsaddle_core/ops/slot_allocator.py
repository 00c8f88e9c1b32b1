"""
Allocates the slots of a contended service centrally, on one of the hosts.

Many hosts that compete for few slots waste attempts on sheds. So hosts that have
recently seen sheds request slots from the service's allocator, which runs on the host
that rendezvous hashing selects. It is an optimization only: a request without a grant
in time is sent directly, and targets still shed what exceeds their slots. A missing,
slow or duplicate allocator costs latency and attempts, but not correctness.

Grants that are not released, for example after a crash of their host, expire. If the
host was only slow, the target may shed an additional request.
"""

import heapq
import itertools
from typing import Any, NamedTuple

import xxhash

GRANT_TTL = 30.0
SHED_COOLDOWN = 0.015


class Grant(NamedTuple):
    """A slot of a target, granted to a waiting request."""

    ticket: Any
    target: str
    number: int


class Waiting(NamedTuple):
    """A request waiting for a grant; `count` orders those with equal deadlines."""

    deadline: float
    count: int
    ticket: Any


class SlotAllocator:
    """
    Allocates the slots of one service.

    Args:
      slots: The number of slots of each target.
    """

    def __init__(self, slots):
        self.slots = slots
        self._grants = {}
        self._busy = {}
        self._cooldown_until = {}
        self._waiting = []
        self._count = itertools.count()

    def request_slot(self, ticket, deadline):
        """Queue a request for a slot."""
        heapq.heappush(self._waiting, Waiting(deadline, next(self._count), ticket))

    def release(self, number, now, is_shed):
        """
        Release a granted slot.

        Args:
          number: The grant's number; an expired grant is ignored.
          now: The present, in seconds.
          is_shed: Whether the target shed the request, since hosts without a grant use
            it too; it then gets no grants for `SHED_COOLDOWN`.
        """
        granted = self._grants.pop(number, None)
        if granted is None:
            return
        target = granted[0]
        self._busy[target] -= 1
        if is_shed:
            self._cooldown_until[target] = now + SHED_COOLDOWN

    def grant_slots(self, targets, now):
        """
        Grant free slots, the earliest deadline first.

        Args:
          targets: The keys of the targets that may be given work.
          now: The present, in seconds.
        Returns:
          A list of `Grant`.
        """
        self._expire_grants(now)
        while self._waiting and self._waiting[0].deadline <= now:
            heapq.heappop(self._waiting)
        grants = []
        while self._waiting:
            target = self._least_busy(targets, now)
            if target is None:
                break
            waiting = heapq.heappop(self._waiting)
            number = next(self._count)
            self._grants[number] = (target, now + GRANT_TTL)
            self._busy[target] = self._busy.get(target, 0) + 1
            grants.append(Grant(waiting.ticket, target, number))
        return grants

    def _least_busy(self, targets, now):
        """Return the target with the fewest granted slots, or None if all are full."""
        usable = [
            (self._busy.get(target, 0), target)
            for target in targets
            if self._busy.get(target, 0) < self.slots
            and self._cooldown_until.get(target, 0.0) <= now
        ]
        return min(usable)[1] if usable else None

    def _expire_grants(self, now):
        # `_grants` is in order of expiry.
        while self._grants:
            number, (target, until) = next(iter(self._grants.items()))
            if until > now:
                return
            del self._grants[number]
            self._busy[target] -= 1


def choose_allocator(service, hosts):
    """
    Return the host that allocates a service's slots.

    Args:
      service: The service's name.
      hosts: The ids of the hosts believed to be alive; at least one.
    Returns:
      A host id. When a host is removed, only its own services move.
    """
    return max(
        hosts, key=lambda host: xxhash.xxh3_64_intdigest(f"{service}\n{host}".encode())
    )
