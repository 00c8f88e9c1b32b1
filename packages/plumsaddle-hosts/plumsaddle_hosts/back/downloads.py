"""
Large responses on our own interface: received as the host's byte budget allows.

A try ends, and its slot is free, when its target has sent the whole response, however
slowly the caller reads. Beyond the budget the target is read as the caller reads.
"""

import asyncio

from returns.result import Failure, Success

from ..transfers.response_buffer import ResponseBuffer
from .sender import CHUNK


class Download:
    """
    A large response that is passed on while it is received.

    Args:
      buffer: The `ResponseBuffer` with what has been received.
      streaming: The `Streaming` to receive the rest from, or None if there is none.
    """

    def __init__(self, buffer, streaming):
        self._buffer = buffer
        self._streaming = streaming
        self._trouble = None
        self._is_received = streaming is None
        self._has_data = asyncio.Event()
        self._task = None
        if streaming is not None:
            self._task = asyncio.get_running_loop().create_task(self._receive())

    @property
    def peak(self):
        """The most bytes of the response that the host held at any time."""
        return self._buffer.peak

    async def _receive(self):
        """Receive the rest, and end the try."""
        while True:
            await self._buffer.room_for_more()
            part = await self._streaming.read(min(CHUNK, self._buffer.room()))
            if isinstance(part, Failure):
                self._trouble = part.failure()
                break
            if not part.unwrap():
                break
            self._buffer += part.unwrap()
            self._has_data.set()
        self._end()

    async def read(self):
        """Return the next bytes; `Failure` of a `FailedTry` if it broke off."""
        while not self._buffer and not self._is_received:
            self._has_data.clear()
            await self._has_data.wait()
        if self._trouble is not None:
            return Failure(self._trouble)
        return Success(self._buffer.take(CHUNK) if self._buffer else b"")

    def note_sent(self, size):
        """Note that bytes have left the host."""
        self._buffer.release(size)

    def close(self, trouble):
        """Drop what is held; `trouble` is of the caller, and no fault of the target."""
        if self._task is not None:
            self._task.cancel()
        self._buffer.close()
        self._end()

    def _end(self):
        if self._is_received:
            return
        self._is_received = True
        self._streaming.close(self._trouble.kind if self._trouble else None)
        self._has_data.set()


class AwaitedBuffer(ResponseBuffer):
    """
    A `ResponseBuffer` whose room can be awaited.

    Args:
      budget: The `ByteBudget`.
    """

    def __init__(self, budget):
        self._has_room_again = asyncio.Event()
        super().__init__(budget, self._has_room_again.set)

    async def room_for_more(self):
        """Wait until there is room."""
        while not self.has_room:
            self._has_room_again.clear()
            self.wait_for_room()
            await self._has_room_again.wait()
