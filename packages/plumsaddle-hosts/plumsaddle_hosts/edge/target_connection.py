"""
A connection to a target, which carries one request at a time.

Reusing a connection saves a handshake, but could deliver a response to the wrong
caller: some targets send a second response to a request late, where the response to
the next request is expected. Each response echoes the id of its request, and responses
with another id are skipped. A connection is closed if data arrived out of turn, if its
request was abandoned, or if the response arrived before the whole request was sent.

A response is complete only when its framing says so. One without a length is ended by
the close of the connection, and is complete only if that was closed and not reset.
"""

import asyncio
import enum
import math

import httptools

from plumsaddle_core.core.traffic import SendOutcome, TargetNotices

from ..platform import wire
from ..utils import outgoing
from ..utils.addresses import split_address
from ..utils.polled_timeout import polled_timeout_at
from .clock import now

# Unread body bytes beyond which reading from the connection is paused.
MAX_READ_AHEAD = 65536
# Bytes that are read from a connection at once.
READ_SIZE = 65536
# Bytes beyond which a head, the trailers behind a body or the line before a chunk are
# no part of a response. The parser holds them until they are complete.
MAX_HEAD_BYTES = 65536
# The most fields of a head and its trailers. A short one takes many times its bytes.
MAX_FIELDS = 500
# Bytes of interim responses, and of responses to other requests, beyond which a target
# is not going to send the response that is waited for.
MAX_IGNORED_BYTES = 4_000_000
# Seconds for which an idle connection is reused if the target sends no `Keep-Alive`
# timeout.
DEFAULT_IDLE_TIMEOUT = 3.0
# Unanswered probes of a connection whose target has restarted, after which it is lost.
PROBE_COUNT = 3
# Subtracted from the timeout that a target sends, in seconds: it counts from when the
# target sent its response, and the next request takes time to arrive.
IDLE_TIMEOUT_MARGIN = 1.0


# Received bytes are parsed at once, so that all connections share the memory.
_received = memoryview(bytearray(READ_SIZE))


class ConnectFailure(enum.Enum):
    """
    Why no connection to a target could be opened.

    A refusal means that no process listens at the address any more. No response may
    also mean a broken network path or a full accept queue.
    """

    REFUSED = "refused"
    NO_RESPONSE = "silent"
    # This host reaches no target, so it says nothing about this one.
    NO_PATH = "no-path"


class EndCause(enum.Enum):
    """Why an exchange ended without a whole response."""

    MALFORMED = "malformed response"
    CLOSED = "closed by target"
    RESET = "reset by target"
    UNREACHABLE = "target unreachable"
    # Ended by this host.
    RESTARTED = "target has restarted"
    PARTITIONED = "host is partitioned"
    ABANDONED = "abandoned"


class Exchange:
    """
    One request on a connection, and as much of its response as has arrived.

    `body` holds the bytes that were received and not yet consumed. `outcome` is None
    until the response is complete (`SendOutcome.SUCCEEDED`) or has failed. `on_head` is
    called with the `Exchange` once the status and all headers have arrived, `on_end`
    soon after the outcome is set.

    `buffer` is a `ResponseBuffer` whose room bounds what is read ahead. Without one,
    the bound is `MAX_READ_AHEAD`.
    """

    def __init__(self, request_id, on_head=None, buffer=None):
        self.request_id = request_id
        self.status = 0
        self.headers = []
        self.notices = TargetNotices()
        self._on_head = on_head
        self.body = bytearray() if buffer is None else buffer
        self.has_buffer = buffer is not None
        # Seconds for which it was not read, and since when it is not.
        self.unread_time = 0.0
        self._unread_since = None
        # When the latest bytes arrived; only for an exchange with a buffer.
        self.received_at = 0.0
        # Whether it was not read for a while, which may make the target cut it.
        self.was_paused = False
        self.outcome = None
        # The `EndCause` of a response that is not whole.
        self.end_cause = None
        self.on_end = None
        self._waiter = None

    @property
    def has_head(self):
        """Whether the status and all headers have arrived."""
        return self.status != 0

    @property
    def read_size(self):
        """How many bytes may be read at once."""
        return (
            max(1, min(READ_SIZE, self.body.room())) if self.has_buffer else READ_SIZE
        )

    def may_read_on(self):
        """Return whether to go on reading; otherwise the buffer reports its room."""
        if not self.has_buffer:
            has_room = len(self.body) <= MAX_READ_AHEAD
            self._unread_since = None if has_room else now()
            return has_room
        self.received_at = now()
        if self.body.has_room:
            return True
        self.was_paused = True
        self.body.wait_for_room()
        return False

    def note_resumed(self):
        """Note that it is read again."""
        if self._unread_since is not None:
            self.unread_time += now() - self._unread_since
            self._unread_since = None

    def report_head(self):
        """Call `on_head` if the head has arrived and was not reported yet."""
        if self.has_head and self._on_head is not None:
            on_head, self._on_head = self._on_head, None
            on_head(self)

    def wake(self):
        """Wake the task in `wait`, if there is one."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def finish(self, outcome, end_cause=None):
        """Set the outcome, unless it is already set."""
        if self.outcome is None:
            self.outcome = outcome
            self.end_cause = end_cause
            self.wake()
            if self.on_end is not None:
                asyncio.get_running_loop().call_soon(self.on_end)

    async def wait(self):
        """Wait until more data has arrived or the exchange has ended."""
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def wait_for_body(self, max_bytes):
        """Wait until the response has ended or its body exceeds `max_bytes`."""
        while self.outcome is None and len(self.body) <= max_bytes:
            await self.wait()


class TargetConnection(asyncio.BufferedProtocol):
    """
    A connection to one target.

    Args:
      on_closed: Called with the `TargetConnection` when it has been closed, and the
        exception, or None if it was closed regularly.
      on_contact: Called when the target has sent bytes.
    """

    def __init__(self, on_closed, on_contact=lambda: None):
        self.transport = None
        # The address of the host through which the connection goes, if any.
        self.gateway = None
        # Whether its request may be sent again while this one is outstanding, and
        # whether it was ended for that.
        self.is_repeatable = False
        self.was_cut = False
        self.exchange = None
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT
        self.opened_at = self.last_used_at = now()
        self.is_closed = False
        # The `EndCause` if this host has closed it.
        self._close_cause = None
        self._must_close = False
        self._on_closed = on_closed
        self._on_contact = on_contact
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        # Bytes since the parser last completed a head or a part of a body.
        self._incomplete_bytes = 0
        # Bytes received for the exchange before the head of its response.
        self._ignored_bytes = 0
        self._ignores_response = False
        self._ends_at_eof = False
        self._is_sending = False
        self._write_waiter = None

    # Called by the owner.

    def is_reusable(self, at, max_idle=math.inf):
        """
        Return whether the next request may be sent on this connection.

        Args:
          at: The current time, in seconds.
          max_idle: The longest time it may have been idle, in seconds.
        """
        is_fresh = at - self.last_used_at < min(self.idle_timeout, max_idle)
        return not (self.is_closed or self._must_close) and is_fresh

    def start_exchange(self, head, request_id, on_head=None, buffer=None):
        """
        Send a request's head, along with its body if that was read completely.

        Args:
          head: The bytes to send.
          request_id: The id that the response must echo, as bytes.
          on_head: As for `Exchange`.
          buffer: As for `Exchange`.
        Returns:
          The `Exchange`.
        """
        assert self.exchange is None, "a connection carries one request at a time"
        self.exchange = Exchange(request_id, on_head, buffer)
        self._incomplete_bytes = self._ignored_bytes = 0
        self.transport.write(head)
        return self.exchange

    @property
    def is_responding(self):
        """Whether the head of a response has arrived."""
        return self.exchange is not None and self.exchange.has_head

    def probe(self):
        """Let the connection end if its peer doesn't know it any more."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.is_closed:
            outgoing.keep_alive(sock, PROBE_COUNT)

    async def send_body(self, chunks):
        """
        Send a body chunk by chunk, at the rate at which the target reads it.

        Args:
          chunks: An asynchronous iterator of bytes that are already framed.
        """
        self._is_sending = True
        exchange = self.exchange
        async for chunk in chunks:
            if self.is_closed or exchange.outcome is not None:
                return
            self.transport.write(chunk)
            await self._drain()
        self._is_sending = False

    def end_exchange(self):
        """End the exchange, and close the connection unless it can be reused."""
        exchange, self.exchange = self.exchange, None
        self.last_used_at = now()
        if (
            exchange is None
            or exchange.outcome is not SendOutcome.SUCCEEDED
            or self._is_sending
            or self._must_close
        ):
            self.close()
        else:
            self.resume_reading()

    def cut(self):
        """End a request for which another connection is to be used."""
        self.was_cut = True
        self.close(EndCause.PARTITIONED)

    def close(self, cause=EndCause.ABANDONED):
        """Close the connection without sending what is buffered, for an `EndCause`."""
        self.is_closed = True
        self._close_cause = self._close_cause or cause
        if self.transport is not None:
            self.transport.abort()

    def resume_reading(self):
        """Resume reading after the buffered body was consumed."""
        if not self.is_closed and not self.transport.is_closing():
            if self.exchange is not None:
                self.exchange.note_resumed()
            self.transport.resume_reading()

    async def _drain(self):
        if self._write_waiter is not None:
            await self._write_waiter

    # Called by the event loop.

    def connection_made(self, transport):
        self.transport = transport

    def pause_writing(self):
        self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        waiter, self._write_waiter = self._write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def get_buffer(self, sizehint):
        size = READ_SIZE if self.exchange is None else self.exchange.read_size
        return _received[:size]

    def buffer_updated(self, nbytes):
        self.data_received(_received[:nbytes])

    def data_received(self, data):
        self._on_contact()
        if self.exchange is None:
            # Data without a request must not become part of the next response.
            self.close()
            return
        exchange = self.exchange
        if not self._parse(data):
            self._must_close = True
            exchange.report_head()
            exchange.finish(SendOutcome.BROKEN, EndCause.MALFORMED)
            return
        exchange.report_head()
        if exchange.outcome is None and not exchange.may_read_on():
            self.transport.pause_reading()
        exchange.wake()

    def _parse(self, data):
        """Parse bytes, and return whether they may belong to a response."""
        self._incomplete_bytes += len(data)
        if not self.exchange.has_head:
            self._ignored_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            return False
        if self._incomplete_bytes > MAX_HEAD_BYTES:
            return False
        return self.exchange.has_head or self._ignored_bytes <= MAX_IGNORED_BYTES

    def eof_received(self):
        self._must_close = True
        if self._ends_at_eof and self.exchange is not None:
            self.exchange.finish(SendOutcome.SUCCEEDED)

    def connection_lost(self, exc):
        self.is_closed = True
        self.resume_writing()
        if self.exchange is not None:
            cause = self._close_cause or _end_cause_of(exc)
            self.exchange.finish(SendOutcome.BROKEN, cause)
        self._on_closed(self, exc)

    # Called by the parser.

    def on_message_begin(self):
        self._headers = []
        if self.exchange is None or self.exchange.outcome is not None:
            self._must_close = True

    def on_header(self, name, value):
        if len(self._headers) >= MAX_FIELDS:
            # Seen by the caller of the parser as a malformed response.
            raise ValueError("too many header fields")
        self._headers.append((name, value))

    def on_headers_complete(self):
        self._incomplete_bytes = 0
        exchange = self.exchange
        status = self._parser.get_status_code()
        echoed = _find_header(self._headers, b"request-id")
        is_mismatched = echoed is not None and echoed != exchange.request_id
        is_unidentified = echoed is None and 200 <= status < 300
        is_finished = exchange.outcome is not None
        self._ignores_response = (
            status < 200 or is_mismatched or is_unidentified or is_finished
        )
        if is_mismatched or is_unidentified:
            self._must_close = True
        self._ends_at_eof = not self._ignores_response and _is_delimited_by_close(
            self._headers
        )
        if not self._ignores_response:
            exchange.status = status
            exchange.headers = self._headers
            exchange.notices = wire.decode_notices(status, self._headers)
            self._update_idle_timeout(exchange.notices.idle_timeout)

    def on_body(self, data):
        self._incomplete_bytes = 0
        if not self._ignores_response:
            self.exchange.body += data

    def on_message_complete(self):
        self._incomplete_bytes = 0
        if not self._parser.should_keep_alive():
            self._must_close = True
        if not self._ignores_response:
            self.exchange.finish(SendOutcome.SUCCEEDED)

    def _update_idle_timeout(self, seconds):
        """Apply the idle timeout that the target stated, if any."""
        if seconds is not None:
            self.idle_timeout = max(0.0, seconds - IDLE_TIMEOUT_MARGIN)


async def connect(address, timeout, make_connection, create_connection=None):
    """
    Open a connection to a target.

    Args:
      address: The target's address.
      timeout: The timeout, in seconds.
      make_connection: Returns the `TargetConnection` of a new transport.
      create_connection: As the function of utils/outgoing.py, which is used if None.
    Returns:
      A `TargetConnection`, or a `ConnectFailure` if none was opened in time.
    """
    ip, port = split_address(address)
    loop = asyncio.get_running_loop()
    create_connection = create_connection or outgoing.create_connection
    try:
        async with polled_timeout_at(loop.time() + timeout):
            _, connection = await create_connection(make_connection, ip, port)
    except ConnectionRefusedError:
        return ConnectFailure.REFUSED
    except (TimeoutError, OSError):
        return ConnectFailure.NO_RESPONSE
    return connection


def _end_cause_of(exc):
    """Return the `EndCause` of a connection that this host has not closed."""
    if exc is None:
        return EndCause.CLOSED
    is_reset = isinstance(exc, ConnectionError)
    return EndCause.RESET if is_reset else EndCause.UNREACHABLE


def _find_header(headers, name):
    """Return the value of a header, or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def _is_delimited_by_close(headers):
    """Return whether a response ends only when its connection is closed."""
    has_length = _find_header(headers, b"content-length") is not None
    encoding = _find_header(headers, b"transfer-encoding") or b""
    return not has_length and b"chunked" not in encoding.lower()
