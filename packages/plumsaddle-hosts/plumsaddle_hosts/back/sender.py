"""
One try of one request at one target.

Every try has a connection of its own, which is closed behind it. On a kept
connection a late second answer is delivered as the next caller's, and HTTP/1.1 has
nothing by which to tell; a fresh connection takes a millisecond and rules it out.
The library's own resending is switched off as well: it would run an order by PUT or
DELETE twice without anybody's knowing.

A try ends in an `Answer`, whole or still streaming, or in a `FailedTry` that says
whether the target can have seen anything of the request.
"""

import asyncio
import functools
from typing import Any, NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler
from returns.result import Failure, Success
from yarl import URL

from plumsaddle_core.core.data import FailureKind

from ..utils.outgoing import make_socket
from ..utils.polled_timeout import polled_timeout_at


class FailedTry(NamedTuple):
    """A failed try; `is_unsent` only where no byte can have reached the target."""

    kind: FailureKind
    detail: str
    is_unsent: bool = False


class Outgoing(NamedTuple):
    """
    What is sent: `body` is bytes, or an asynchronous iterator for uploads.

    `deadline` is on the loop's clock, or None for uploads, which are bounded by
    progress and not by time. `overdue_at` is when a try is given up for another
    one, if that is earlier.
    """

    method: str
    path: str
    headers: Any
    body: Any
    deadline: float | None
    expect_continue: bool = False
    overdue_at: float | None = None


class Answer(NamedTuple):
    """
    A target's answer.

    `body` holds it whole if `rest` is None; else `rest` is the response to read on
    from, and the reader must close it.
    """

    status: int
    headers: Any
    body: bytes
    rest: Any = None


CONNECT_TIMEOUT = 1.0
CHUNK = 65536
# The most heads that may wait to be read on a connection. Each request has one of its
# own, and the library skips interim ones as it reads them.
MAX_WAITING_HEADS = 100
# Whole large answers up to this many bytes are passed on as others are.
WHOLE_DOWNLOAD_MOST = 16384
BODILESS = {204, 304}


class TargetHandler(ResponseHandler):
    """A connection to a target, with a limit on heads that were not read yet."""

    def connection_made(self, transport):
        """Read no more at once than one try needs."""
        transport.max_size = CHUNK
        super().connection_made(transport)

    def data_received(self, data):
        """Parse data, and close the connection beyond the limit."""
        super().data_received(data)
        if len(self._buffer) > MAX_WAITING_HEADS:
            self._buffer.clear()
            if self.transport is not None:
                self.transport.abort()
            self.set_exception(aiohttp.ClientPayloadError("too many interim answers"))


def make_session():
    """Return the client session for targets, with its guards set."""
    connector = aiohttp.TCPConnector(
        limit=0, force_close=True, socket_factory=make_socket
    )
    # There is no public switch for this either; sender_test.py fails without it.
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(TargetHandler, loop=loop)
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
    )
    # There is no public switch. Without this, aiohttp sends GET, PUT and DELETE
    # again by itself when a kept connection closes; sender_test.py shows it.
    session._retry_connection = False
    return session


class Progress:
    """
    Bounds a try by its progress: it is stalled if nothing moves for too long.

    While the caller is the one who sends nothing, `is_caller_slow` is set, and the
    target is not to blame.
    """

    def __init__(self, seconds):
        self._seconds = seconds
        self._scope = None
        self.is_caller_slow = False

    def attach(self, scope):
        """
        Take the `asyncio.timeout` scope of the try.

        A target may work for long before its answer begins, up to the deadline;
        so the bound holds from the first byte on. Uploads have no deadline, and for
        them it holds all the time.
        """
        self._scope = scope

    def move(self):
        """Note that something moved."""
        loop = asyncio.get_running_loop()
        self._scope.reschedule(loop.time() + self._seconds)


async def send(session, address, outgoing, service, progress, buffer=None):
    """
    Send a request to a target and read its answer up to the buffer's bound.

    Args:
      session: What `make_session` returned.
      address: The target's address.
      outgoing: The `Outgoing` request.
      service: The `Service`, for its bounds.
      progress: A `Progress`; the body's iterator moves it too.
      buffer: A `ResponseBuffer` for the body of a large response. It keeps the body of
        an answer whose `body` is empty.
    Returns:
      A `Success` of an `Answer`, or a `Failure` of a `FailedTry`.
    """
    try:
        async with (
            polled_timeout_at(outgoing.overdue_at or outgoing.deadline),
            asyncio.timeout(None) as scope,
        ):
            progress.attach(scope)
            if outgoing.deadline is None:
                progress.move()
            return await _exchange(
                session, address, outgoing, service, progress, buffer
            )
    except TimeoutError:
        return Failure(_timeout_trouble(outgoing, scope, progress))


def _timeout_trouble(outgoing, scope, progress):
    """Return whether the deadline passed, the target stalled or the caller did."""
    if progress.is_caller_slow:
        return FailedTry(FailureKind.CALLER, "the caller stopped sending")
    if scope.expired():
        return FailedTry(FailureKind.STALLED, "no progress")
    if outgoing.overdue_at is not None:
        return FailedTry(FailureKind.OVERDUE, "far slower than usual")
    return FailedTry(FailureKind.DEADLINE, "the deadline passed")


async def _exchange(session, address, outgoing, service, progress, buffer):
    """Run the try inside its time bounds."""
    url = URL(f"http://{address}{outgoing.path}", encoded=True)
    try:
        resp = await session.request(
            outgoing.method,
            url,
            headers=outgoing.headers,
            data=outgoing.body,
            allow_redirects=False,
            expect100=outgoing.expect_continue,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        return Failure(FailedTry(FailureKind.CONNECT, _word(exc), is_unsent=True))
    except (aiohttp.ClientError, OSError) as exc:
        kind = FailureKind.CALLER if progress.is_caller_slow else FailureKind.BROKEN
        return Failure(FailedTry(kind, _word(exc)))
    progress.move()
    try:
        return await _read(resp, outgoing, service, progress, buffer)
    except BaseException:
        resp.close()
        raise


async def _read(resp, outgoing, service, progress, buffer):
    """Read an answer whole if it fits the buffer, else hand on its rest."""
    if _is_unframed(resp, outgoing.method) and not service.close_delimited:
        resp.close()
        detail = "the answer has neither a length nor chunks"
        return Failure(FailedTry(FailureKind.UNFRAMED, detail))
    body = bytearray() if buffer is None else buffer
    while True:
        size = CHUNK if buffer is None else max(1, min(CHUNK, buffer.room()))
        try:
            chunk = await resp.content.read(size)
        except (aiohttp.ClientError, OSError) as exc:
            resp.close()
            return Failure(FailedTry(FailureKind.BROKEN, _word(exc)))
        if not chunk:
            resp.close()
            return Success(Answer(resp.status, resp.headers, _take_whole(body)))
        progress.move()
        body += chunk
        if len(body) > service.buffer_bytes or _is_full(buffer):
            kept = bytes(body) if buffer is None else b""
            return Success(Answer(resp.status, resp.headers, kept, resp))


def _is_full(buffer):
    return buffer is not None and not buffer.has_room


def _take_whole(body):
    """Return a whole body, unless it stays in its buffer."""
    if isinstance(body, bytearray):
        return bytes(body)
    whole = b""
    if len(body) <= WHOLE_DOWNLOAD_MOST:
        whole = bytes(body)
        body.clear()
    return whole


def _is_unframed(resp, method):
    """
    Return whether only the connection's end would end the answer.

    Such an answer looks whole when the target dies half way, and the library takes
    it for whole. It is refused unless the service's operators allow it.
    """
    if method == "HEAD" or resp.status in BODILESS or resp.status < 200:
        return False
    is_chunked = "chunked" in resp.headers.get("Transfer-Encoding", "").lower()
    return not is_chunked and "Content-Length" not in resp.headers


def _word(exc):
    return type(exc).__name__
