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
# Seconds in total that a host waits for more of a response after its deadline.
LATE_READ_TIME = 0.25
# Bytes of a response that are read after its deadline: more than the buffers of a
# connection hold, and fewer if it states no length.
MAX_LATE_BYTES = 16_000_000
MAX_LATE_UNSTATED_BYTES = 1_000_000
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
    write = _write_download if isinstance(reply.rest, DownloadRest) else _write_parts
    cause = CutCause.CALLER
    try:
        cause = await write(request, response, reply)
    finally:
        if cause is not None:
            _log_cut(request, reply.rest, cause)
    if cause is None:
        await response.write_eof()
        return
    if request.transport is not None:
        request.transport.abort()


def _log_cut(request, rest, cause):
    """Log who has broken off a response, and how it stood."""
    log.warning(
        "response incomplete",
        extra={
            "request": request.headers.get(wire.REQUEST_ID),
            "cause": cause.value,
            "left": round(rest.deadline - now(), 3),
            **rest.log_fields(),
        },
    )


async def _write_parts(request, response, reply):
    """
    Write a reply as it comes, and return why it was cut, or None.

    Beyond the deadline a slow caller receives what the target has sent by then, but
    nobody waits for more. A response may have no end, whatever length it states.
    """
    await response.prepare(request)
    part = await reply.rest.read()
    is_stated = response.content_length is not None
    max_bytes = MAX_LATE_BYTES if is_stated else MAX_LATE_UNSTATED_BYTES
    limit = _LateLimit(reply.rest.deadline, max_bytes)
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
        limit.note_read(len(part), began, now())
        if limit.is_reached:
            return CutCause.DEADLINE


class _LateLimit:
    """
    The time and the bytes that a response has left after its deadline.

    `wait` is the number of seconds that is left to wait for its target. The time that
    the caller takes to read does not count.
    """

    def __init__(self, deadline, max_bytes):
        self.wait = LATE_READ_TIME
        self._bytes = max_bytes
        self._deadline = deadline

    @property
    def is_reached(self):
        """Whether nothing is left."""
        return self.wait <= 0.0 or self._bytes < 0

    def note_read(self, count, began, ended):
        """Note a read of some bytes, and when it began and ended."""
        if ended > self._deadline:
            self.wait -= ended - max(began, self._deadline)
            self._bytes -= count


async def _write_download(request, response, reply):
    """Write a large response by its deadline, and return why it was cut, or None."""
    rest, transport = reply.rest, request.transport
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
