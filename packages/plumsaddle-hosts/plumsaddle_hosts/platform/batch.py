"""
Append events in batches, with at most one append per stream in flight.

The log accepts several hundred appends per second from all hosts together. Events that
arrive during an append are sent with the next one, so a host's append rate is bounded
by the latency of the log and doesn't grow with the number of orders.

Claims are tried once, because their orders have deadlines and the caller is told of a
failure at once. Outcomes are retried until they are appended, and the fold ignores
duplicates. As nobody waits for an outcome, it is delayed briefly so that it can share
an append with other events.
"""

import asyncio
import contextlib
import logging
from typing import Any, NamedTuple

from returns.result import Failure

from plumsaddle_core.ops.orders import Ping
from plumsaddle_core.utils.codec import encode_events

from .store import StoreError

log = logging.getLogger("batch")


class Item(NamedTuple):
    """Events to append. `fut` receives the result; None means retry until appended."""

    events: list
    fut: Any


class Batcher:
    """
    The writer of one stream.

    Args:
      append: A coroutine function that takes a stream and bytes.
      stream: The stream's name.
      host: This host's incarnation.
      rng: A `random.Random` for jitter, so that hosts don't retry simultaneously.
    """

    MAX_BATCH_BYTES = 200_000
    DELIVER_DELAY = 0.25
    MIN_PAUSE = 0.25
    MAX_PAUSE = 2.0

    def __init__(self, append, stream, host, rng):
        self.stream = stream
        self.host = host
        self.appends = 0
        self.bytes = 0
        self.is_unavailable = False
        # The era of the log as it was last read, 0 if it names none.
        self.era = 0
        self._append = append
        self._rng = rng
        self._queue = []
        self._task = None
        self._timer = None
        self._pause = self.MIN_PAUSE
        self._batch_number = 0
        self._is_batch_confirmed = False
        self._wake = asyncio.Event()

    def submit(self, events):
        """
        Queue events for a single append attempt.

        Returns:
          A future of a `Success` of the offset or a `Failure` of `StoreError`.
        """
        fut = asyncio.get_running_loop().create_future()
        if self.is_unavailable:
            fut.set_result(Failure(StoreError.BUSY))
        else:
            self._queue.append(Item(events, fut))
            self._start()
        return fut

    def deliver(self, events):
        """Queue events and retry until they are appended."""
        if events:
            self._queue.append(Item(events, None))
            if self._timer is None:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(self.DELIVER_DELAY, self._start)

    def pending(self):
        """Return the number of events not yet confirmed to be in the log."""
        return sum(len(item.events) for item in self._queue)

    async def flush(self, seconds):
        """
        Wait until all queued events are in the log.

        Args:
          seconds: The maximum time to wait.
        Returns:
          Whether no event is left.
        """
        self._start()
        await asyncio.wait([self._task], timeout=seconds)
        return not self.pending()

    def _start(self):
        """Start appending the queued events unless that is already in progress."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        while self._queue:
            self._batch_number += 1
            self._is_batch_confirmed = False
            self._wake.clear()
            data, count = self._next_batch()
            result = await self._append(self.stream, data)
            if not isinstance(result, Failure) and result.unwrap().era < self.era:
                # Accepted before the log came back from a copy, which lacks it.
                result = Failure(StoreError.UNAVAILABLE)
            self.appends += 1
            self.bytes += len(data)
            items, self._queue = self._queue[:count], self._queue[count:]
            _resolve(items, result)
            if isinstance(result, Failure):
                await self._back_off(items)
            elif self.is_unavailable:
                log.warning("batch: The log accepts appends to %s again.", self.stream)
                self.is_unavailable = False
                self._pause = self.MIN_PAUSE

    async def _back_off(self, items):
        """
        Requeue the events to retry, refuse the queued claims, and pause.

        While the log is unavailable, orders are refused at once rather than each
        waiting for its own timeout. A ping is appended instead, so that the host
        detects the log's recovery although it sends no claims.
        """
        to_retry = [item for item in items if item.fut is None]
        _resolve(self._queue, Failure(StoreError.BUSY))
        self._queue = to_retry + [item for item in self._queue if item.fut is None]
        if not self.is_unavailable:
            log.warning("batch: The log does not accept appends to %s.", self.stream)
        self.is_unavailable = True
        pause = self._pause * self._rng.uniform(0.7, 1.3)
        self._pause = min(self.MAX_PAUSE, self._pause * 2)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wake.wait(), pause)
        if self._is_batch_confirmed:
            del self._queue[: len(to_retry)]
        if self.is_unavailable and not self._queue:
            self._queue = [Item([], None)]

    def note_alive(self):
        """
        Record that an event appended by this host was read from the stream.

        The log accepts appends then, even if the response to one was lost, so orders
        need not be refused.
        """
        self.is_unavailable = False
        self._pause = self.MIN_PAUSE
        self._wake.set()

    def note_ping(self, ping):
        """
        Handle a ping that was read from the stream.

        If it belongs to the last batch, that batch is in the log regardless of the
        response to its append, and isn't retried.
        """
        if ping.host != self.host:
            return
        if ping.number == self._batch_number:
            self._is_batch_confirmed = True
        self.note_alive()

    def _next_batch(self):
        """Return the next record's bytes and the number of items in it."""
        events = [Ping(self.host, self._batch_number)] if self.is_unavailable else []
        size = 0
        count = 0
        for item in self._queue:
            encoded = len(encode_events(item.events))
            if count and size + encoded > self.MAX_BATCH_BYTES:
                break
            events += item.events
            size += encoded
            count += 1
        return encode_events(events), count


def _resolve(items, result):
    """Set the result of the items' futures."""
    for item in items:
        if item.fut is not None and not item.fut.done():
            item.fut.set_result(result)
