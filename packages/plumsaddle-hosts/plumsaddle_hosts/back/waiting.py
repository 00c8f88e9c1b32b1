"""
Give requests a target: at once, after a short wait in the queue, or not at all.

A request that finds every target busy or just having shed waits without holding a
slot. It is woken when a slot comes free or a pause is over, in order of deadlines.
"""

import asyncio
import math
from typing import Any, NamedTuple

from returns.result import Failure, Success

from plumsaddle_core.core.data import HealthState
from plumsaddle_core.core.reasons import Reason, refuse
from plumsaddle_core.ops.pool import SHED_PAUSE, may_send
from plumsaddle_core.ops.queue import Queue


class Ticket(NamedTuple):
    """A request that waits."""

    kind: Any
    tried: tuple
    deadline: float
    fut: Any


class WaitingRoom:
    """
    The queue of one service, with its wake-ups.

    Args:
      pool: The service's `Pool`.
      ask_keeper: A coroutine function that takes the service's name and a deadline
        and returns a slot that the service's keeper granted, or None.
      rng: A `random.Random`.
    """

    def __init__(self, pool, ask_keeper, rng):
        self.pool = pool
        self._ask_keeper = ask_keeper
        self._asking = 0
        self._grants = {}
        self._rng = rng
        self._queue = Queue(pool.service.queue)
        self._timer = None

    async def acquire(self, kind, deadline, tried=()):
        """
        Get a slot at a target.

        Args:
          kind: The request's `RequestKind`.
          deadline: On the loop's clock.
          tried: Keys of targets not to be used.
        Returns:
          A `Success` of a pool `Member` that was taken, or a `Failure` of a
          `Refusal`. Whoever gets a member must `release` it.
        """
        loop = asyncio.get_running_loop()
        if self._should_ask(kind, loop.time()):
            if self._asking >= self.pool.service.queue:
                return Failure(refuse(Reason.QUEUE_FULL))
            member = await self._acquire_granted(deadline, tried)
            if member:
                return Success(member)
        member = self._choose(kind, loop.time(), tried) if not self._queue else None
        if member:
            return Success(member)
        refusal = self._refuse_hopeless(tried, loop.time(), deadline)
        if refusal is not None:
            return Failure(refusal)
        ticket = Ticket(kind, tried, deadline, loop.create_future())
        self._queue.capacity = self.pool.service.queue
        if not self._queue.push(deadline, ticket):
            return Failure(refuse(Reason.QUEUE_FULL))
        self.wake()
        return await self._wait(ticket, deadline)

    def _refuse_hopeless(self, tried, now, deadline):
        """Return the refusal of a request that no target can take in time, or None."""
        if not self.pool.is_worth_waiting(tried):
            return refuse(Reason.NO_TARGET)
        backoff = self.pool.backoff(now, tried)
        if now + backoff < deadline:
            return None
        return refuse(Reason.TARGETS_SHED)._replace(retry_after=math.ceil(backoff))

    def _should_ask(self, kind, now):
        """
        Return whether the service's keeper should choose.

        While nothing sheds, going direct is as good and costs no message. A trial
        is never the keeper's to give.
        """
        if not self.pool.is_contended(now):
            return False
        return not (kind.is_idempotent and self.pool.has_trial(now))

    async def _acquire_granted(self, deadline, tried):
        """Return a member whose slot the keeper granted, or None to go direct."""
        self._asking += 1
        try:
            slot = await self._ask_keeper(self.pool.service.name, deadline)
        finally:
            self._asking -= 1
        if slot is None:
            return None
        member = self.pool.members.get(slot.target)
        is_good = member is not None and member.health is HealthState.HEALTHY
        if (
            not is_good
            or not may_send(member, asyncio.get_running_loop().time())
            or slot.target in tried
        ):
            slot.give_back(False)
            return None
        self.pool.acquire(member)
        self._grants.setdefault(slot.target, []).append(slot)
        return member

    async def _wait(self, ticket, deadline):
        try:
            async with asyncio.timeout_at(deadline):
                return await ticket.fut
        except TimeoutError:
            self._give_back(ticket)
            return Failure(refuse(Reason.DEADLINE, "no target came free"))
        except asyncio.CancelledError:
            self._give_back(ticket)
            raise

    def _give_back(self, ticket):
        """Leave the queue, or free the slot that came in the very same moment."""
        self._queue.remove(ticket)
        if ticket.fut.done() and not ticket.fut.cancelled():
            result = ticket.fut.result()
            if isinstance(result, Success):
                self.release(result.unwrap())

    def _choose(self, kind, now, tried):
        member = self.pool.choose(kind, now, self._rng, tried)
        if member:
            self.pool.acquire(member)
        return member

    def release(self, member, is_shed=False):
        """Free a slot, and wake whoever waits for one."""
        self.pool.release(member, asyncio.get_running_loop().time(), is_shed)
        granted = self._grants.get(member.target.key)
        if granted:
            # One slot at a target is as good as another; only the count matters.
            granted.pop().give_back(is_shed)
        self.wake()

    def wake(self):
        """Serve the queue, and look again when the pauses of sheds are over."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        late = self._queue.serve(now, lambda ticket: self._serve(ticket, now))
        for ticket in late:
            if not ticket.fut.done():
                ticket.fut.set_result(Failure(refuse(Reason.DEADLINE)))
        if len(self._queue) and self._timer is None:
            pause = SHED_PAUSE * self._rng.uniform(0.7, 1.3)
            self._timer = loop.call_later(pause, self._wake_later)

    def _wake_later(self):
        self._timer = None
        self.wake()

    def _serve(self, ticket, now):
        """Return whether a ticket needs the queue no more."""
        if ticket.fut.done():
            return True
        refusal = self._refuse_hopeless(ticket.tried, now, ticket.deadline)
        if refusal is not None:
            ticket.fut.set_result(Failure(refusal))
            return True
        member = self._choose(ticket.kind, now, ticket.tried)
        if member is None:
            return False
        ticket.fut.set_result(Success(member))
        return True
