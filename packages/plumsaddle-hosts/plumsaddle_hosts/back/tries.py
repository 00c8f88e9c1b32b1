"""
Run one try with all that belongs to it: slot, bounds, signs, counters.

`run_try` gives the answer or the trouble, and afterwards the slot is free, unless
the answer still streams: then `Streaming.read` reads on and `close` ends the try.
"""

import asyncio
import logging
import re
from typing import Any, NamedTuple

import aiohttp
from returns.result import Failure, Success

from plumsaddle_core.core.data import FailureKind, RequestKind

from ..front.headers import LEAVING_STATES, TARGET_STATE
from .downloads import AwaitedBuffer, Download
from .sender import CHUNK, FailedTry, Progress, send

log = logging.getLogger("tries")
RETRY_AFTER = "Retry-After"
# Seconds, as `Retry-After` states them; dates are not supported.
_is_seconds = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII).fullmatch
SERVER_ERRORS = range(500, 600)


class Streaming(NamedTuple):
    """A long answer that is read while it is passed on."""

    resp: Any
    state: Any
    running: Any
    stall: float

    async def read(self, most=CHUNK):
        """Return the next bytes; `Failure` of a `FailedTry` if it broke off."""
        try:
            async with asyncio.timeout(self.stall):
                return Success(await self.resp.content.read(most))
        except TimeoutError:
            return Failure(FailedTry(FailureKind.STALLED, "no progress"))
        except (aiohttp.ClientError, OSError) as exc:
            return Failure(FailedTry(FailureKind.BROKEN, type(exc).__name__))

    def close(self, trouble):
        """End the try; `trouble` is a `FailureKind`, or None if it was whole."""
        self.resp.close()
        self.state.end_try(self.running, trouble, asyncio.get_running_loop().time())


async def run_try(host, state, member, kind, outgoing, progress=None):
    """
    Send a request to a target whose slot is taken.

    Args:
      host: The host's parts, for its session and counters.
      state: The `ServiceState`.
      member: The pool `Member`; its slot is freed here.
      kind: The request's `RequestKind`.
      outgoing: The `Outgoing` request.
      progress: A `Progress` if the body's iterator needs it.
    Returns:
      A `Success` of an `Answer`, whose `rest` is a `Streaming` for a long one, or a
      `Failure` of a `FailedTry`.
    """
    loop = asyncio.get_running_loop()
    service = state.service
    running = state.start_try(member, kind, loop.time())
    progress = progress or Progress(service.stall_timeout)
    buffer = AwaitedBuffer(host.budget) if kind is RequestKind.DOWNLOAD else None
    try:
        result = await send(
            host.session, member.target.address, outgoing, service, progress, buffer
        )
    except BaseException:
        if buffer is not None:
            buffer.close()
        # The caller went away; that says nothing about the target.
        state.end_try(running, FailureKind.CALLER, loop.time())
        raise
    _note_state(host, member.target, result)
    _note_backoff(state, member, result, loop.time())
    result = _find_shed(result, service)
    _end(host, state, running, result, loop.time())
    if isinstance(result, Success) and result.unwrap().rest is not None:
        answer = result.unwrap()
        rest = Streaming(answer.rest, state, running, service.stall_timeout)
        result = Success(answer._replace(rest=rest))
    return result if buffer is None else _pass_on(result, buffer)


def _pass_on(result, buffer):
    """Return a result whose body, if it is in a buffer, is read as a `Download`."""
    if isinstance(result, Failure):
        buffer.close()
        return result
    answer = result.unwrap()
    if answer.rest is None and not buffer:
        buffer.close()
        return result
    return Success(answer._replace(rest=Download(buffer, answer.rest)))


def _note_state(host, target, result):
    """Note that a target drains, if its answer says so, whatever its status."""
    if isinstance(result, Success):
        text = result.unwrap().headers.get(TARGET_STATE, "")
        if text.strip().lower() in LEAVING_STATES:
            host.note_leaving(target.key)


def _note_backoff(state, member, result, now):
    """Note the backoff that a target asks for when it sheds a request."""
    if not isinstance(result, Success):
        return
    answer = result.unwrap()
    text = answer.headers.get(RETRY_AFTER, "").strip()
    if answer.status not in state.service.shed_status or not text:
        return
    if not _is_seconds(text):
        log.info("tries: %s sent an unreadable Retry-After.", member.target.id)
        return
    state.pool.note_backoff(member, float(text), now)


def _find_shed(result, service):
    """Turn an answer by which the target says "not run" into a trouble."""
    if isinstance(result, Success):
        answer = result.unwrap()
        if answer.status in service.shed_status and answer.rest is None:
            detail = f"the target answered {answer.status}"
            return Failure(FailedTry(FailureKind.SHED, detail, is_unsent=True))
    return result


def _end(host, state, running, result, now):
    """Count a try and end it, unless its answer still streams."""
    target = running.member.target
    if isinstance(result, Failure):
        trouble = result.failure()
        host.metrics.tries.inc({"result": trouble.kind.value})
        state.end_try(running, trouble.kind, now)
        if trouble.kind is not FailureKind.SHED:
            log.debug("tries: %s gave %s, %s.", target.id, trouble.kind, trouble.detail)
        return
    answer = result.unwrap()
    host.metrics.tries.inc({"result": "answer"})
    if answer.rest is not None:
        return
    is_error = answer.status in SERVER_ERRORS
    state.end_try(running, FailureKind.ERROR if is_error else None, now)
