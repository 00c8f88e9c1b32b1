"""
One connection to a target, which carries one request at a time.

A kept connection saves the target a handshake, but it can hand a caller the answer of
somebody else: targets at times send a second answer late, where the next one is
expected. Each answer echoes the id of its request, so an answer with another id is
skipped and reading goes on. A connection on which anything came out of turn, whose
request was given up, or whose answer came before its request was out is closed.

An answer is complete only when its framing says so. One without a length ends with
its connection, and counts as complete only if that was closed and not reset.
"""

import asyncio
import enum
import math
import socket

import httptools

from plumsaddle_core.core.traffic import SendOutcome

from ..utils.addresses import split_address
from .clock import now

# Bytes that a target may send ahead of a reader before its connection is paused.
READ_AHEAD = 65536
# How long a kept connection is trusted when the target names no time.
IDLE_DEFAULT = 3.0
# Kept back from the time that a target names: its clock starts when it has sent the
# answer, and a request needs time on the way.
IDLE_MARGIN = 1.0


class ConnectFailure(enum.Enum):
    """
    Why there is no connection to a target.

    One that is refused tells that nobody listens at the address: the process that did
    has ended. Silence may as well be a link that is cut or a queue that is full.
    """

    REFUSED = "refused"
    NO_RESPONSE = "silent"


class Exchange:
    """
    One request on a link, and what has come of its answer.

    `body` holds what was received and not yet taken. `outcome` is None until the answer
    is complete (`SendOutcome.SUCCEEDED`) or has failed.
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.headers = []
        self.body = bytearray()
        self.outcome = None
        self._waiter = None

    @property
    def has_head(self):
        """Whether the status and all headers have come."""
        return self.status != 0

    def wake(self):
        """Wake whoever waits for a change."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def finish(self, outcome):
        """Set the outcome, once."""
        if self.outcome is None:
            self.outcome = outcome
            self.wake()

    async def wait(self):
        """Wait until more has come or the exchange has ended."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def read_body(self, max_bytes):
        """Wait until the answer has ended or its body is longer than `max_bytes`."""
        while self.outcome is None and len(self.body) <= max_bytes:
            await self.wait()


class TargetConnection(asyncio.Protocol):
    """
    A connection to one target.

    Args:
      on_closed: Called with the link when its connection is gone.
    """

    def __init__(self, on_closed):
        self.transport = None
        self.exchange = None
        self.idle_limit = IDLE_DEFAULT
        self.opened_at = self.last_used_at = now()
        self.is_closed = False
        self._is_spoiled = False
        self._on_closed = on_closed
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._is_skipped = False
        self._is_until_end = False
        self._is_sending = False
        self._can_write = None

    # What the owner calls.

    def is_reusable(self, at, idle_most=math.inf):
        """
        Return whether the next request may go out on this connection.

        Args:
          at: The present, in seconds.
          idle_most: The most seconds for which it may have been idle.
        """
        is_fresh = at - self.last_used_at < min(self.idle_limit, idle_most)
        return not (self.is_closed or self._is_spoiled) and is_fresh

    def start_exchange(self, head, request_id):
        """
        Write a request's head, with its body if that is at hand.

        Args:
          head: The bytes.
          request_id: The id that the answer must echo, as bytes.
        Returns:
          The `Exchange`.
        """
        assert self.exchange is None, "a link carries one request at a time"
        self.exchange = Exchange(request_id)
        self.transport.write(head)
        return self.exchange

    async def send_body(self, parts):
        """
        Write a body part by part, as fast as the target takes it.

        Args:
          parts: An asynchronous iterator of bytes, framed already.
        """
        self._is_sending = True
        exchange = self.exchange
        async for part in parts:
            if self.is_closed or exchange.outcome is not None:
                return
            self.transport.write(part)
            await self._drain()
        self._is_sending = False

    def end_exchange(self):
        """End the exchange; the link is closed unless its answer is complete."""
        exchange, self.exchange = self.exchange, None
        self.last_used_at = now()
        if (
            exchange is None
            or exchange.outcome is not SendOutcome.SUCCEEDED
            or self._is_sending
            or self._is_spoiled
        ):
            self.close()
        else:
            self.resume_reading()

    def close(self):
        """Close the connection at once."""
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()

    def resume_reading(self):
        """Read on after the reader has taken what was ahead of it."""
        if not self.is_closed and not self.transport.is_closing():
            self.transport.resume_reading()

    async def _drain(self):
        if self._can_write is not None:
            await self._can_write

    # What the event loop calls.

    def connection_made(self, transport):
        self.transport = transport

    def pause_writing(self):
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        waiter, self._can_write = self._can_write, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def data_received(self, data):
        if self.exchange is None:
            # Nobody asked for these bytes, so nobody may get them.
            self.close()
            return
        exchange = self.exchange
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._is_spoiled = True
            exchange.finish(SendOutcome.BROKEN)
            return
        if len(exchange.body) > READ_AHEAD and exchange.outcome is None:
            self.transport.pause_reading()
        exchange.wake()

    def eof_received(self):
        self._is_spoiled = True
        if self._is_until_end and self.exchange is not None:
            self.exchange.finish(SendOutcome.SUCCEEDED)

    def connection_lost(self, exc):
        self.is_closed = True
        self.resume_writing()
        if self.exchange is not None:
            self.exchange.finish(SendOutcome.BROKEN)
        self._on_closed(self)

    # What the parser calls.

    def on_message_begin(self):
        self._headers = []
        if self.exchange is None or self.exchange.outcome is not None:
            self._is_spoiled = True

    def on_header(self, name, value):
        self._headers.append((name, value))

    def on_headers_complete(self):
        exchange = self.exchange
        status = self._parser.get_status_code()
        echoed = _find(self._headers, b"request-id")
        is_strange = echoed is not None and echoed != exchange.request_id
        is_unsure = echoed is None and 200 <= status < 300
        is_answered = exchange.outcome is not None
        self._is_skipped = status < 200 or is_strange or is_unsure or is_answered
        if is_strange or is_unsure:
            self._is_spoiled = True
        self._is_until_end = not self._is_skipped and _is_unframed(self._headers)
        if not self._is_skipped:
            exchange.status = status
            exchange.headers = self._headers
            self._note_idle_limit()

    def on_body(self, data):
        if not self._is_skipped:
            self.exchange.body += data

    def on_message_complete(self):
        if not self._parser.should_keep_alive():
            self._is_spoiled = True
        if not self._is_skipped:
            self.exchange.finish(SendOutcome.SUCCEEDED)

    def _note_idle_limit(self):
        """Learn for how long the target keeps idle connections."""
        named = _find(self._headers, b"keep-alive")
        if named is None:
            return
        for part in named.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_limit = max(0.0, int(value) - IDLE_MARGIN)


async def connect(address, timeout, on_closed):
    """
    Open a connection to a target.

    Args:
      address: The target's address.
      timeout: The most seconds that this may take.
      on_closed: As for `TargetConnection`.
    Returns:
      A `TargetConnection`, or a `ConnectFailure` if there is no connection in time.
    """
    ip, port = split_address(address)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, link = await loop.create_connection(
                lambda: TargetConnection(on_closed), ip, port, family=socket.AF_INET
            )
    except ConnectionRefusedError:
        return ConnectFailure.REFUSED
    except (TimeoutError, OSError):
        return ConnectFailure.NO_RESPONSE
    return link


def _find(headers, name):
    """Return the value of a header, or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def _is_unframed(headers):
    """Return whether only the end of its connection ends an answer."""
    has_length = _find(headers, b"content-length") is not None
    encoding = _find(headers, b"transfer-encoding") or b""
    return not has_length and b"chunked" not in encoding.lower()
