"""
Writes responses that are too long to be returned as a whole.

A response that breaks off ends with the caller's connection, so that it never looks
complete.
"""

import asyncio
import enum
import logging

from ..platform import wire
from ..transfers.caller_writes import (
    counted_writes,
    write_chunk,
    write_while_taken,
)
from .clock import now
from .downloads import DownloadRest

log = logging.getLogger("front")
# Seconds in which more of a response must arrive once its caller's time is up.
LATE_READ_TIME = 0.25
# Bytes that a response without a stated length may still bring then. Its target has
# sent them, and this host has not read them yet.
MAX_LATE_BYTES = 1_000_000
# Seconds without an acknowledgement after which a caller is cut.
STALL_TIME = 15.0


class CutCause(enum.Enum):
    """Why a response was cut."""

    TARGET = "target"
    DEADLINE = "deadline"
    CALLER = "caller"


async def wait_to_write(wait_for_turn, rest):
    """
    Wait until a long reply may be written, and return whether it is still there.

    What is held of a large response is dropped when its caller's time is up, while
    responses before it on the connection are not read.

    Args:
      wait_for_turn: A coroutine function that ends when the reply may be written.
      rest: The reply's `rest`.
    """
    if not isinstance(rest, DownloadRest):
        await wait_for_turn()
        return True
    try:
        async with asyncio.timeout(rest.deadline - now()):
            await wait_for_turn()
        return True
    except TimeoutError:
        rest.close()
    await wait_for_turn()
    return False


async def write_long(request, response, reply):
    """
    Write a long reply, and abort the caller's connection if it is incomplete.

    The caller of this function closes the reply's `rest`.

    Args:
      request: The aiohttp request.
      response: The prepared `web.StreamResponse`, to which nothing was written.
      reply: The `Reply`, with a `rest`.
    """
    length = dict((k.lower(), v) for k, v in reply.headers).get(b"content-length")
    if length is not None:
        response.content_length = int(length)
    else:
        response.enable_chunked_encoding()
    if isinstance(reply.rest, DownloadRest):
        cause = await _write_download(request, response, reply.rest)
    else:
        cause = await _write_parts(request, response, reply)
    if cause is None:
        await response.write_eof()
        return
    log.warning(
        "response incomplete",
        extra={
            "request": request.headers.get(wire.REQUEST_ID),
            "cause": cause.value,
        },
    )
    if request.transport is not None:
        request.transport.abort()


async def _write_parts(request, response, reply):
    """
    Write a reply as it comes, and return why it was cut, or None.

    Beyond the deadline it goes on as long as the target sends: a slow caller receives
    what is there, but nobody waits for a target that has stopped. A response that
    states no length may have no end, so it gets limits for what comes beyond it.
    """
    await response.prepare(request)
    part = reply.body
    limit = _LateLimit(reply.rest.deadline)
    is_limited = response.content_length is None
    while True:
        if not await write_while_taken(request, response, part, STALL_TIME):
            return CutCause.CALLER
        began = now()
        try:
            async with asyncio.timeout(max(limit.wait, reply.rest.deadline - began)):
                part = await reply.rest.read()
        except TimeoutError:
            return CutCause.DEADLINE
        if not part:
            return CutCause.TARGET if part is None else None
        if is_limited:
            limit.note_read(len(part), began, now())
            if limit.is_reached:
                return CutCause.DEADLINE


class _LateLimit:
    """
    What a response without a stated length may bring after its deadline.

    `wait` is the number of seconds that is left to wait for its target. The time that
    the caller takes to read does not count.
    """

    def __init__(self, deadline):
        self.wait = LATE_READ_TIME
        self._bytes = MAX_LATE_BYTES
        self._deadline = deadline

    @property
    def is_reached(self):
        """Whether the response has had all that it may bring."""
        return self.wait <= 0.0 or self._bytes < 0

    def note_read(self, count, began, ended):
        """Note a read of some bytes, and when it began and ended."""
        if ended > self._deadline:
            self.wait -= ended - max(began, self._deadline)
            self._bytes -= count


async def _write_download(request, response, rest):
    """Write a large response by its deadline, and return why it was cut, or None."""
    transport = request.transport
    if transport is None:
        return CutCause.CALLER
    cause = CutCause.CALLER
    try:
        with counted_writes(transport, rest.send_buffer_size):
            async with asyncio.timeout(rest.deadline - now()):
                await response.prepare(request)
                while part := await rest.read():
                    await write_chunk(request, response, part)
                    rest.note_sent(len(part))
        cause = CutCause.TARGET if part is None else None
    except TimeoutError:
        cause = CutCause.DEADLINE
    except ConnectionError:
        cause = CutCause.CALLER
    finally:
        log.info(
            "download",
            extra={
                "request": request.headers.get(wire.REQUEST_ID),
                "bytes": rest.bytes_sent,
                "held": rest.peak,
                "cause": cause.value if cause else None,
            },
        )
    return cause
