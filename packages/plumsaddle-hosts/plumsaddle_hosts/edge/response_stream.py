"""
Writes responses that are too long to be returned as a whole.

A response that breaks off ends with the caller's connection, so that it never looks
complete.
"""

import asyncio
import enum
import logging

from plumsaddle_core.transfers.arrival import MAX_GAP, Arrival

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

    A response that arrives in time for its caller goes on beyond the deadline. Of
    others a slow caller then receives what the target has sent by then, but nobody
    waits for more. A response may have no end, whatever length it states.
    """
    await response.prepare(request)
    part = await reply.rest.read()
    limit = _LateLimit(reply.rest, response.content_length, len(part or b""))
    while True:
        if not await write_while_taken(request, response, part, STALL_TIME):
            return CutCause.CALLER
        began = now()
        try:
            async with asyncio.timeout(limit.read_time(began)):
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

    The time that the caller takes to read does not count, unless the response goes on
    since it is complete in time.

    Args:
      rest: The `ReplyRest`.
      length: The length of the response, or None if it states none.
      count: The bytes of it that were read.
    """

    def __init__(self, rest, length, count):
        self._wait = LATE_READ_TIME
        self._bytes = MAX_LATE_UNSTATED_BYTES if length is None else MAX_LATE_BYTES
        self._deadline = rest.deadline
        self._latest_end = rest.latest_end
        self._arrival = Arrival(length, count, now())

    @property
    def is_reached(self):
        """Whether nothing is left."""
        return self._wait <= 0.0 or self._bytes < 0

    def read_time(self, at):
        """Return the seconds that a read that begins now may take."""
        seconds = max(self._wait, self._deadline - at)
        if self._arrival.is_complete_by(self._latest_end, at):
            seconds = max(seconds, min(MAX_GAP, self._latest_end - at))
        return seconds

    def note_read(self, count, began, ended):
        """Note a read of some bytes, and when it began and ended."""
        self._arrival.note(count)
        if ended <= self._deadline:
            return
        if self._arrival.is_complete_by(self._latest_end, ended):
            return
        self._wait -= ended - max(began, self._deadline)
        self._bytes -= count


def _extend(scope, rest, arrival):
    """Let a large response go on if it is complete in time for its caller."""
    at = now()
    end = rest.deadline
    if at + MAX_GAP > end and arrival.is_complete_by(rest.latest_end, at):
        end = max(end, min(rest.latest_end, at + MAX_GAP))
    if end > rest.deadline or at > rest.deadline:
        scope.reschedule(asyncio.get_running_loop().time() + end - at)


async def _write_download(request, response, reply):
    """
    Write a large response by its deadline, and return why it was cut, or None.

    One that is complete in time for its caller at its pace goes on beyond it.
    """
    rest, transport = reply.rest, request.transport
    if transport is None:
        return CutCause.CALLER
    cause = CutCause.CALLER
    try:
        with counted_writes(transport, rest.send_buffer_size):
            async with asyncio.timeout(rest.deadline - now()) as scope:
                await response.prepare(request)
                arrival = Arrival(response.content_length, 0, now())
                while part := await rest.read():
                    await write_chunk(request, response, part)
                    rest.note_sent(len(part))
                    arrival.note(len(part))
                    _extend(scope, rest, arrival)
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
