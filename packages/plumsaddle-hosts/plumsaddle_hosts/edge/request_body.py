"""
Reads the bodies of requests, within the time that their callers and the host have.

Short bodies are read completely before a target is chosen, so that a slow caller does
not occupy a slot and a failed request can be retried. Longer bodies are streamed.
"""

import asyncio

from aiohttp import web
from returns.result import Failure, Success

from plumsaddle_core.ops.draining import BodyProgress, may_stream
from plumsaddle_core.ops.fingerprint import MAX_HASHED_BODY

from .clock import now
from .refusals import RefusalCause

# Bodies up to this many bytes are read completely, and the request key includes them.
MAX_WHOLE_BODY = MAX_HASHED_BODY


class _Read:
    """A body that is being read, and the timeout of its reading."""

    def __init__(self, latest_send, scope):
        self.start_by = latest_send()
        self._latest_send = latest_send
        self._scope = scope

    def schedule(self):
        """Let the reading end when the request can't be sent any more."""
        self.start_by = self._latest_send()
        if not self._scope.expired():
            loop = asyncio.get_running_loop()
            self._scope.reschedule(loop.time() + self.start_by - now())


class BodyReader:
    """Reads the bodies of one host's requests."""

    def __init__(self):
        self._reads = set()
        self._is_draining = False

    def drain(self):
        """Read no longer than a request may still be sent, after that has changed."""
        self._is_draining = True
        for read in self._reads:
            read.schedule()

    async def read_start(
        self, content, length, deadline, latest_send, hold=lambda size: True
    ):
        """
        Read a body, or the first part of a long one.

        Args:
          content: The stream of the body.
          length: Its bytes, or None if that is unknown.
          deadline: When its caller's time is up, in seconds on the host's clock.
          latest_send: Returns the latest time at which the request may be sent.
          hold: Called with the bytes that were read so far; returns whether there is
            memory for them.
        Returns:
          A `Success` of the bytes and whether they are the whole body, or a `Failure`
          of the `RefusalCause` of the request.
        """
        read = None
        try:
            async with asyncio.timeout(None) as scope:
                read = _Read(latest_send, scope)
                read.schedule()
                self._reads.add(read)
                return await self._read_parts(content, length, read, hold)
        except TimeoutError:
            is_draining = read.start_by < deadline
            return Failure(
                RefusalCause.DRAINING if is_draining else RefusalCause.BODY_TOO_SLOW
            )
        finally:
            self._reads.discard(read)

    async def _read_parts(self, content, length, read, hold):
        began_at = now()
        body = bytearray()
        while len(body) <= MAX_WHOLE_BODY:
            part = await content.readany()
            if not part:
                return Success((bytes(body), True))
            if not hold(len(body) + len(part)):
                return Failure(RefusalCause.MEMORY_FULL)
            body += part
        if self._is_draining:
            at = now()
            progress = BodyProgress(len(body), length, at - began_at)
            if not may_stream(progress, read.start_by, at):
                return Failure(RefusalCause.DRAINING)
        return Success((bytes(body), False))


class BodyStream:
    """
    The rest of a long body, which is read while it is sent and can be read only once.

    `is_taken` tells whether a send has begun with it, so that no other one may.

    Args:
      content: The stream of the body, whose first part was read.
      max_bytes: The most bytes of the rest.
    """

    def __init__(self, content, max_bytes):
        self.is_taken = False
        self._content = content
        self._max_bytes = max_bytes

    def take(self):
        """
        Return the parts, as an asynchronous iterator.

        The size limit of a body without a Content-Length is enforced here. A part of it
        may have been sent by then, so the request fails like an aborted upload.
        """
        assert not self.is_taken, "a streamed body was taken twice"
        self.is_taken = True
        return self._read()

    async def _read(self):
        left = self._max_bytes
        while part := await self._content.readany():
            left -= len(part)
            if left < 0:
                raise web.RequestPayloadError("body exceeds the size limit")
            yield part
