"""
One stream of orders on one host: its fold, its reader, its writer, its waiters.

The streams are told apart by the key's hash. Today there is one, since every host
follows all of them and one stream makes fuller batches; docs/CAPACITY.md says from
which size on there are more.
"""

import asyncio
import logging
import time

from returns.result import Failure, Success

from plumsaddle_core.core.reasons import Reason, refuse
from plumsaddle_core.ops.claims import Claims
from plumsaddle_core.ops.orders import Ping, new_order_fold

from ..platform.batch import Batcher
from ..platform.tail import Tail

log = logging.getLogger("orders")
SHARDS = 1
CLAIM_WAIT = 3.0
SURFACE_WAIT = 0.5
# Seconds by which callers' clocks may be ahead of this host's.
MAX_KEY_LEAD = 2.0
# Bounds, in seconds, of the random time after which a host writes again what the log
# has lost of other hosts' claims.
MIN_RESTORE_DELAY = 0.5
MAX_RESTORE_DELAY = 1.5


def stream_name(number):
    """Return the stream of a shard."""
    return f"orders-{number}"


def shard_number(key):
    """Return the shard of a hashed key."""
    return int(key[:8], 16) % SHARDS


class Shard:
    """
    The orders of one stream.

    Args:
      number: The shard's number.
      platform: The `Store`.
      append: A coroutine function that appends and counts.
      host: This host's incarnation.
      is_gone: Tells whether another incarnation is known to be gone.
      wait: The most seconds that one read waits.
      rng: A `random.Random`.
    """

    def __init__(self, number, platform, append, host, is_gone, wait, rng):
        self.stream = stream_name(number)
        self.fold = new_order_fold()
        self.claims = Claims(self.fold, host, is_gone)
        self.batcher = Batcher(append, self.stream, host, rng)
        self.tail = Tail(
            platform,
            self.stream,
            self.fold,
            self._feed,
            self._on_page,
            wait,
            self._on_era,
        )
        self._rng = rng
        self._waiters = {}
        # The time up to which keys may have been claimed by records that the log has
        # lost, until the era has started in the log.
        self._uncertain_until = None
        # Whether this host has yet to write again what the log has lost.
        self._is_restoring = False

    def _feed(self, record):
        decisions, releases = self.claims.feed(record)
        self.batcher.deliver(releases)
        if decisions:
            self.batcher.note_alive()
        for event in record.events:
            if isinstance(event, Ping):
                self.batcher.note_ping(event)
        for decision in decisions:
            fut = self._waiters.pop(decision.claim_id, None)
            if fut is not None and not fut.done():
                fut.set_result(decision.is_won)

    def _on_page(self, is_hole):
        if is_hole:
            log.error("orders: The state of %s is not complete any more.", self.stream)
        if self.tail.is_caught_up and self.fold.complete:
            self._write_restored()

    def _on_era(self, era, is_first):
        self.batcher.era = era
        now = time.time()
        self._uncertain_until = int((now + MAX_KEY_LEAD) * 1000)
        if is_first:
            self.claims.era = era
        else:
            self.claims.restore(era)
            self._is_restoring = True

    def _write_restored(self):
        """Start the era in the log, and write again what it has lost."""
        if self._uncertain_until is not None:
            self.deliver(self.claims.begin_era(self._uncertain_until))
            self._uncertain_until = None
        if not self._is_restoring:
            return
        self._is_restoring = False
        own = self.claims.own_lost_events()
        log.warning("orders: %d events of %s are written again.", len(own), self.stream)
        self._deliver_each(own)
        delay = self._rng.uniform(MIN_RESTORE_DELAY, MAX_RESTORE_DELAY)
        asyncio.get_running_loop().call_later(delay, self._write_lost)

    def _write_lost(self):
        lost = self.claims.lost_events()
        if lost:
            log.warning("orders: %d entries of others are restored.", len(lost))
        self._deliver_each(lost)

    def _deliver_each(self, events):
        """Append events that may be too many for one record."""
        for event in events:
            self.deliver([event])

    def is_away(self):
        """Return whether the log is known not to answer at the moment."""
        return self.tail.is_unavailable or self.batcher.is_unavailable

    async def win(self, claim, deadline):
        """
        Append a claim and wait until the log has decided.

        The answer of an append can be lost although it took effect, so what counts
        is the claim's own place in the stream. When that does not come in time, the
        claim is given up: the caller is told at once, and should the claim surface
        later, it is released.

        Args:
          claim: The `Claim`.
          deadline: On the loop's clock.
        Returns:
          A `Success` of whether it was won, or a `Failure` of a `Refusal`.
        """
        loop = asyncio.get_running_loop()
        decided = loop.create_future()
        self._waiters[claim.claim_id] = decided
        self.claims.register(claim)
        appended = self.batcher.submit([claim])
        try:
            until = min(deadline, loop.time() + CLAIM_WAIT)
            async with asyncio.timeout_at(until) as scope:
                appended.add_done_callback(lambda fut: _cut_wait(fut, decided, scope))
                is_won = await decided
        except TimeoutError:
            is_won = None
        self._waiters.pop(claim.claim_id, None)
        if is_won is None:
            self.give_up(claim.claim_id)
            return Failure(
                refuse(Reason.LOG_UNAVAILABLE, "the claim is not in the log")
            )
        return Success(is_won)

    def give_up(self, claim):
        """Give up a claim that was not sent."""
        self.deliver(self.claims.give_up(claim))

    def deliver(self, events):
        """Append events, however long it takes."""
        self.batcher.deliver(events)


def _cut_wait(appended, decided, scope):
    """
    Wait no longer than makes sense once the append has failed.

    A record that the log has certainly not taken will never surface. One that it may
    have taken surfaces at once if the log still answers reads; so a short wait is
    enough, and the caller is not held up by a log that is away.
    """
    if appended.cancelled() or decided.done():
        return
    result = appended.result()
    if not isinstance(result, Failure):
        return
    if result.failure().is_undone:
        decided.set_result(None)
        return
    soon = asyncio.get_running_loop().time() + SURFACE_WAIT
    if scope.when() is not None and soon < scope.when():
        scope.reschedule(soon)
