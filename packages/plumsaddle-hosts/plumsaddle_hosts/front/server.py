"""
The callers' listener: from a request to its route, its kind's runner and back.

Whatever comes of a request leaves through `_respond` as one of three things: the
target's whole answer, a recorded answer, or a problem. A long answer is passed on
while it is read; if it breaks off, the caller's connection is aborted, so that it
can never look complete.
"""

import asyncio
import functools
import logging
import math

from aiohttp import web
from returns.result import Failure, Success

from plumsaddle_core.core.data import FailureKind, Outcome, RequestKind
from plumsaddle_core.core.reasons import Reason, refuse
from plumsaddle_core.ops.claims import Replay
from plumsaddle_core.ops.routing import find_route
from plumsaddle_core.transfers.link_share import MAX_SEND_BUFFER

from ..back.downloads import Download
from ..back.sender import FailedTry
from ..transfers.caller_writes import (
    counted_writes,
    write_chunk,
    write_while_taken,
)
from .answers import make_problem
from .headers import OUTCOME, REPLAYED, TIMEOUT, pass_headers
from .orders import run_order
from .pipelining import CallerHooks, CallerServer, arrival_of, wait_for_turn
from .plain import run_idempotent, run_upload

log = logging.getLogger("front")
RUNNERS = {
    RequestKind.IDEMPOTENT: run_idempotent,
    RequestKind.ORDER: run_order,
    RequestKind.UPLOAD: run_upload,
    RequestKind.DOWNLOAD: functools.partial(run_idempotent, kind=RequestKind.DOWNLOAD),
}
STALLED = FailedTry(FailureKind.CALLER, "the caller stopped reading")
DOT_SEGMENTS = {".", "..", "%2e", "%2e%2e", ".%2e", "%2e."}


def make_server(host, limits):
    """
    Return the server of the callers' listener.

    It never invites a caller to send a body by itself. An upload waits for its target,
    so that a refusal costs the caller nothing.

    Args:
      host: The host's parts.
      limits: The `PipelineLimits`.
    Returns:
      A `CallerServer` that takes every method and path.
    """
    loop = asyncio.get_running_loop()

    async def handle(incoming):
        host.in_flight += 1
        started = arrival_of(incoming, loop.time())
        try:
            return await _handle(host, incoming, started)
        finally:
            host.in_flight -= 1
            host.metrics.seconds.observe({}, loop.time() - started)

    def is_repeatable(message):
        found = _find(host, message.method, message.path)
        return isinstance(found, Failure) or found.unwrap()[0].kind.is_idempotent

    hooks = CallerHooks(handle, is_repeatable, lambda: host.is_stopping, loop.time)
    return CallerServer(
        hooks,
        limits,
        host.settings.callers.stall_timeout,
        access_log=None,
        auto_decompress=False,
    )


async def _handle(host, incoming, started):
    """Find the route, run the request, and respond."""
    found = _find(host, incoming.method, incoming.raw_path)
    if isinstance(found, Failure):
        return await _respond(host, incoming, found)
    route, state = found.unwrap()
    host.metrics.requests.inc({"service": route.service, "kind": route.kind.value})
    state.budget.note_request()
    limit = _read_timeout(incoming.headers.get(TIMEOUT), route.deadline)
    if limit is None:
        return await _respond(host, incoming, Failure(refuse(Reason.BAD_DEADLINE)))
    if not route.kind.is_idempotent:
        # It is in turn already, unless the configuration has just changed.
        await wait_for_turn(incoming)
    deadline = started + limit
    if incoming.place is not None and asyncio.get_running_loop().time() >= deadline:
        # Its time has passed while it was behind others.
        return await _respond(host, incoming, Failure(refuse(Reason.DEADLINE)))
    if deadline > host.killed_at:
        # It might still be at work then, and its caller would get no response.
        return await _respond(host, incoming, Failure(refuse(Reason.STOPPING)))
    refusal = _check_expectation(incoming)
    if refusal is not None:
        return await _respond(host, incoming, Failure(refusal))
    if route.kind is not RequestKind.UPLOAD:
        _invite(incoming)
    result = await RUNNERS[route.kind](host, state, incoming, deadline)
    return await _respond(host, incoming, result)


def _find(host, method, raw_path):
    """Return a `Success` of the route and its service's state, or a `Failure`."""
    applied = host.applied
    if applied is None:
        return Failure(refuse(Reason.NO_CONFIGURATION))
    path = raw_path.partition("?")[0]
    if DOT_SEGMENTS & set(path.lower().split("/")):
        # A target may fold them away and run an order as if it were a look-up.
        return Failure(refuse(Reason.BAD_PATH))
    found = find_route(applied.routes, method, path)
    if isinstance(found, Failure):
        return found
    route = found.unwrap()
    return Success((route, host.services[route.service]))


def _read_timeout(text, most):
    """Return the seconds that a request may take, or None if the text is no number."""
    if text is None:
        return most
    try:
        seconds = float(text) / 1000
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds <= 0:
        return None
    return min(seconds, most)


def _check_expectation(incoming):
    expected = incoming.headers.get("Expect", "").lower()
    if expected in ("", "100-continue"):
        return None
    return refuse(Reason.BAD_EXPECTATION, expected)


def _invite(incoming):
    if incoming.headers.get("Expect"):
        incoming.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


async def _respond(host, incoming, result):
    """Turn a result into the caller's response."""
    if isinstance(result, Failure):
        refusal = result.failure()
        host.metrics.refusals.inc(
            {"reason": refusal.reason.value, "outcome": refusal.outcome.value}
        )
        resp = make_problem(refusal)
        if not incoming.content.is_eof():
            # The rest of the body would be taken for the next request.
            resp.force_close()
    elif isinstance(result.unwrap(), Replay):
        resp = _make_replay(result.unwrap())
    else:
        answer = result.unwrap()
        host.metrics.answers.inc({"status": str(answer.status)})
        if answer.rest is not None:
            return await _stream(host, incoming, answer)
        resp = _make_whole(incoming, answer)
    return resp


def _make_replay(replay):
    headers = {OUTCOME: Outcome.RUN.value, REPLAYED: "true"}
    if replay.content_type:
        headers["Content-Type"] = replay.content_type
    return web.Response(status=replay.status, body=replay.body, headers=headers)


def _make_whole(incoming, answer):
    """Return a response with a target's whole answer."""
    without = () if incoming.method == "HEAD" else {"content-length"}
    headers = pass_headers(answer.headers, without)
    headers[OUTCOME] = Outcome.RUN.value
    if incoming.method == "HEAD" or answer.status in (204, 304):
        return web.Response(status=answer.status, headers=headers)
    return web.Response(status=answer.status, headers=headers, body=answer.body)


async def _stream(host, incoming, answer):
    """Pass a long answer on, and abort the connection if it breaks off."""
    resp = web.StreamResponse(
        status=answer.status, headers=pass_headers(answer.headers)
    )
    resp.headers[OUTCOME] = Outcome.RUN.value
    if "Content-Length" not in resp.headers:
        resp.enable_chunked_encoding()
    trouble = None
    write = _write_download if isinstance(answer.rest, Download) else _write_parts
    try:
        await wait_for_turn(incoming)
        if incoming.protocol.ends_after_turn():
            resp.force_close()
        trouble = await write(host, incoming, resp, answer)
    finally:
        answer.rest.close(trouble.kind if trouble else None)
    if trouble is None:
        await resp.write_eof()
        return resp
    host.metrics.aborted.inc({"reason": trouble.kind.value})
    log.warning("front: An answer broke off, %s. The caller is cut.", trouble.detail)
    if incoming.transport is not None:
        incoming.transport.abort()
    return resp


async def _write_parts(host, incoming, resp, answer):
    """
    Write an answer as it comes, and return the `FailedTry` that cut it, or None.

    A caller that takes nothing for too long is cut, since it would hold up a shutdown.
    """
    await resp.prepare(incoming)
    part = answer.body
    while True:
        stall_time = host.settings.callers.stall_timeout
        if not await write_while_taken(incoming, resp, part, stall_time):
            return STALLED
        result = await answer.rest.read()
        if isinstance(result, Failure):
            return result.failure()
        part = result.unwrap()
        if not part:
            return None


async def _write_download(host, incoming, resp, answer):
    """
    Write a large answer as `_write_parts` does.

    A caller that takes nothing for too long is cut, since the host holds its bytes.
    """
    if incoming.transport is None:
        return STALLED
    with counted_writes(incoming.transport, MAX_SEND_BUFFER):
        await resp.prepare(incoming)
        while True:
            part = await answer.rest.read()
            if isinstance(part, Failure):
                return part.failure()
            if not part.unwrap():
                return None
            try:
                async with asyncio.timeout(host.settings.callers.stall_timeout):
                    await write_chunk(incoming, resp, part.unwrap())
            except TimeoutError:
                return STALLED
            answer.rest.note_sent(len(part.unwrap()))
