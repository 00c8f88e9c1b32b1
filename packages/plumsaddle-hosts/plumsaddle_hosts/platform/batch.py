"""
Append events in batches: one append a stream is in flight, the rest waits for it.

The log takes several hundred appends a second from all hosts together. What comes
in while an append is under way goes out with the next one, so the appends of a host
are bounded by the log's own latency, however many orders there are.

Claims are tried once: their orders have deadlines, and the caller is told at once.
Outcomes are tried until they are in; a second copy changes nothing in the fold. Nobody
waits for an outcome, so it lingers for a moment to go out with others or with a claim.
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
    """Events to append; `fut` takes the result, and is None for lasting ones."""

    events: list
    fut: Any


class Batcher:
    """
    The writer of one stream.

    Args:
      append: A coroutine function that takes a stream and bytes.
      stream: The stream's name.
      host: This host's incarnation.
      rng: A `random.Random`, so that hosts do not all come back at once.
    """

    BYTES_MOST = 200_000
    LINGER = 0.25
    PAUSE_LEAST = 0.25
    PAUSE_MOST = 2.0

    def __init__(self, append, stream, host, rng):
        self.stream = stream
        self.host = host
        self.appends = 0
        self.bytes = 0
        self.is_away = False
        self._append = append
        self._rng = rng
        self._queue = []
        self._task = None
        self._timer = None
        self._pause = self.PAUSE_LEAST
        self._number = 0
        self._is_taken = False
        self._wake = asyncio.Event()

    def submit(self, events):
        """
        Append events once.

        Returns:
          A future of a `Success` of the offset or a `Failure` of `StoreError`.
        """
        fut = asyncio.get_running_loop().create_future()
        if self.is_away:
            fut.set_result(Failure(StoreError.BUSY))
        else:
            self._queue.append(Item(events, fut))
            self._start()
        return fut

    def deliver(self, events):
        """Append events, and try again until they are in."""
        if events:
            self._queue.append(Item(events, None))
            if self._timer is None:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(self.LINGER, self._start)

    def pending(self):
        """Return how many events are not known to be in the log yet."""
        return sum(len(item.events) for item in self._queue)

    async def flush(self, seconds):
        """
        Wait until everything is in the log.

        Args:
          seconds: The most seconds to wait.
        Returns:
          Whether everything is in.
        """
        self._start()
        await asyncio.wait([self._task], timeout=seconds)
        return not self.pending()

    def _start(self):
        """Append what is queued, unless that is under way already."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        while self._queue:
            self._number += 1
            self._is_taken = False
            self._wake.clear()
            data, count = self._next_batch()
            result = await self._append(self.stream, data)
            self.appends += 1
            self.bytes += len(data)
            items, self._queue = self._queue[:count], self._queue[count:]
            _resolve(items, result)
            if isinstance(result, Failure):
                await self._wait_out(items)
            elif self.is_away:
                log.warning("batch: The log takes appends to %s again.", self.stream)
                self.is_away = False
                self._pause = self.PAUSE_LEAST

    async def _wait_out(self, items):
        """
        Keep what must not be lost, refuse the claims that wait, and pause.

        While the log is away, orders are refused at once instead of each waiting
        for a timeout of its own. A ping is tried in their place, so that the host
        notices when the log is back although it sends no claims.
        """
        lasting = [item for item in items if item.fut is None]
        _resolve(self._queue, Failure(StoreError.BUSY))
        self._queue = lasting + [item for item in self._queue if item.fut is None]
        if not self.is_away:
            log.warning("batch: The log does not take appends to %s.", self.stream)
        self.is_away = True
        pause = self._pause * self._rng.uniform(0.7, 1.3)
        self._pause = min(self.PAUSE_MOST, self._pause * 2)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wake.wait(), pause)
        if self._is_taken:
            del self._queue[: len(lasting)]
        if self.is_away and not self._queue:
            self._queue = [Item([], None)]

    def note_alive(self):
        """
        Take note that an append of this host's has come up in the stream.

        Its answer may have been lost although the log is well. Then there is no
        reason to refuse orders.
        """
        self.is_away = False
        self._pause = self.PAUSE_LEAST
        self._wake.set()

    def note_ping(self, ping):
        """
        Take a ping that was read from the stream.

        If it is the last batch's, that batch was taken, whatever its append's
        answer was, and need not be tried again.
        """
        if ping.host != self.host:
            return
        if ping.number == self._number:
            self._is_taken = True
        self.note_alive()

    def _next_batch(self):
        """Return the bytes of the next record and how many items are in it."""
        events = [Ping(self.host, self._number)] if self.is_away else []
        size = 0
        count = 0
        for item in self._queue:
            encoded = len(encode_events(item.events))
            if count and size + encoded > self.BYTES_MOST:
                break
            events += item.events
            size += encoded
            count += 1
        return encode_events(events), count


def _resolve(items, result):
    """Tell the result to those who wait for one."""
    for item in items:
        if item.fut is not None and not item.fut.done():
            item.fut.set_result(result)
