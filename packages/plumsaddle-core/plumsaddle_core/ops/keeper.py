"""
Hand out the slots of a contended service in one place.

Forty hosts that each guess at a few slots shed and try again; a queue in one place
does not. Hosts that have seen sheds lately ask the service's keeper, a host chosen by
rendezvous hash. Being keeper is a hint and never a need: who gets no grant in time
goes direct, and the target's own shed still guards its slots. So a keeper that is
gone, slow, or doubled costs time and tries, nothing else.

A grant that is never given back, since its host was killed, lapses after a while. If
its host was only slow, the target sheds one request more.
"""

import heapq
import itertools
from typing import Any, NamedTuple

import xxhash

GRANT_FOR = 30.0
SHED_REST = 0.015


class Grant(NamedTuple):
    """A slot at a target for a waiting request."""

    ticket: Any
    target: str
    number: int


class Waiting(NamedTuple):
    """A request that waits for a grant; the count keeps the order of equals."""

    deadline: float
    count: int
    ticket: Any


class SlotAllocator:
    """
    The slots of one service, as its keeper counts them.

    Args:
      slots: The slots of each target.
    """

    def __init__(self, slots):
        self.slots = slots
        self._granted = {}
        self._busy = {}
        self._rests = {}
        self._waiting = []
        self._count = itertools.count()

    def request_slot(self, ticket, deadline):
        """Let a request wait for a slot."""
        heapq.heappush(self._waiting, Waiting(deadline, next(self._count), ticket))

    def release(self, number, now, is_shed):
        """
        Take a slot back.

        Args:
          number: The grant's number; one that has lapsed is passed over.
          now: The present, in seconds.
          is_shed: Whether the target was full, so that others than those who ask
            here use it; it is then left alone for a moment.
        """
        granted = self._granted.pop(number, None)
        if granted is None:
            return
        target = granted[0]
        self._busy[target] -= 1
        if is_shed:
            self._rests[target] = now + SHED_REST

    def grant_slots(self, targets, now):
        """
        Grant free slots, the earliest deadline first.

        Args:
          targets: The keys of the targets that may be given work.
          now: The present, in seconds.
        Returns:
          A list of `Grant`.
        """
        self._lapse(now)
        while self._waiting and self._waiting[0].deadline <= now:
            heapq.heappop(self._waiting)
        grants = []
        while self._waiting:
            target = self._freest(targets, now)
            if target is None:
                break
            waiting = heapq.heappop(self._waiting)
            number = next(self._count)
            self._granted[number] = (target, now + GRANT_FOR)
            self._busy[target] = self._busy.get(target, 0) + 1
            grants.append(Grant(waiting.ticket, target, number))
        return grants

    def _freest(self, targets, now):
        """Return the target with the fewest slots granted, or None if all are."""
        usable = [
            (self._busy.get(target, 0), target)
            for target in targets
            if self._busy.get(target, 0) < self.slots
            and self._rests.get(target, 0.0) <= now
        ]
        return min(usable)[1] if usable else None

    def _lapse(self, now):
        # Grants are made in the order of their ends, so the first tells.
        while self._granted:
            number, (target, until) = next(iter(self._granted.items()))
            if until > now:
                return
            del self._granted[number]
            self._busy[target] -= 1


def choose_allocator(service, hosts):
    """
    Return the host that keeps a service's slots.

    Args:
      service: The service's name.
      hosts: The ids of the hosts believed to be alive; at least one.
    Returns:
      An id. Hosts that believe the same choose the same, and when one goes only
      its own services move.
    """
    return max(
        hosts, key=lambda host: xxhash.xxh3_64_intdigest(f"{service}\n{host}".encode())
    )
