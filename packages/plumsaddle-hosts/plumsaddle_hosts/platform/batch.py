"""
Append events in batches: one append a stream is in flight, the rest waits for it.

The log takes several hundred appends a second from all hosts together. What comes
in while an append is under way goes out with the next one, so the appends of a host
are bounded by the log's own latency, however many orders there are.

Claims are tried once: their orders have deadlines, and the caller is told at once.
Outcomes are tried until they are in; a second copy changes nothing in the fold.
"""

import asyncio
import logging
from typing import Any, NamedTuple

from returns.result import Failure, Success

from plumsaddle_core.utils.codec import encode_events

from .client import PlatformError

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
    """

    BYTES_MOST = 200_000
    PAUSE = 0.25
    AWAY_FOR = 1.0

    def __init__(self, append, stream):
        self.stream = stream
        self.appends = 0
        self.bytes = 0
        self._append = append
        self._queue = []
        self._task = None
        self._failed_at = None

    def is_away(self, now):
        """
        Return whether the last append failed a moment ago.

        An order then is refused at once rather than after another timeout. One
        append a second still goes out and finds the log well again.
        """
        return self._failed_at is not None and now - self._failed_at < self.AWAY_FOR

    def submit(self, events):
        """
        Append events once.

        Returns:
          A future of a `Success` of the offset or a `Failure` of `PlatformError`.
        """
        fut = asyncio.get_running_loop().create_future()
        self._push(Item(events, fut))
        return fut

    def deliver(self, events):
        """Append events, and try again until they are in."""
        if events:
            self._push(Item(events, None))

    def pending(self):
        """Return how many items are not in the log yet."""
        return len(self._queue)

    async def flush(self, seconds):
        """
        Wait until everything is in the log.

        Args:
          seconds: The most seconds to wait.
        Returns:
          Whether everything is in.
        """
        if self._task is not None:
            await asyncio.wait([self._task], timeout=seconds)
        return not self._queue

    def _push(self, item):
        self._queue.append(item)
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        while self._queue:
            data, count = self._next_batch()
            result = await self._append(self.stream, data)
            self.appends += 1
            self.bytes += len(data)
            items, self._queue = self._queue[:count], self._queue[count:]
            if isinstance(result, Success):
                self._failed_at = None
            else:
                self._failed_at = asyncio.get_running_loop().time()
                self._queue = [item for item in items if item.fut is None] + self._queue
            for item in items:
                if item.fut is not None and not item.fut.done():
                    item.fut.set_result(result)
            if isinstance(result, Failure) and self._queue:
                await self._drop_claims_and_pause()

    async def _drop_claims_and_pause(self):
        """Fail the claims that wait, since the log is away, and pause a moment."""
        for item in self._queue:
            if item.fut is not None and not item.fut.done():
                item.fut.set_result(Failure(PlatformError.NOT_TAKEN))
        self._queue = [item for item in self._queue if item.fut is None]
        log.warning("batch: %d outcomes wait for the log.", len(self._queue))
        await asyncio.sleep(self.PAUSE)

    def _next_batch(self):
        """Return the bytes of the next record and how many items are in it."""
        events = []
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
