"""
Connections of callers, with HTTP/1.1 pipelining.

aiohttp parses requests, handles one after the other and writes the responses. This
module starts the handlers of requests behind the one in turn, as `Pipeline` decides;
aiohttp's own loop takes the response of such a handler when the request is in turn, so
the order of responses and all else is aiohttp's. A caller that sends one request at a
time is served by aiohttp's loop alone.

It uses private attributes of `RequestHandler`: `_messages`, `_request_factory`,
`_request_handler`, `_task_handler`, `_buffer_paused` and the methods that pause and
resume reading. `pipelining_test.py` fails if a release of aiohttp changes them.
"""

import asyncio
import enum
import logging
import math
import resource
import select
from collections import Counter
from collections.abc import Callable
from itertools import islice
from typing import NamedTuple

from aiohttp import web
from aiohttp.http import (
    HttpProcessingError,
    HttpVersion11,
    RawRequestMessage,
    StreamWriter,
)
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from plumsaddle_core.connections.caller_table import (
    CallerState,
    CallerTable,
    max_connections,
)
from plumsaddle_core.connections.chunks import ChunkDecoder, ChunkError
from plumsaddle_core.connections.head_budget import HeadBudget, HeadHolding
from plumsaddle_core.connections.pipeline import (
    HostPipelines,
    Pipeline,
    PipelinedRequest,
)

from ..utils.socket_state import undelivered_bytes, unread_bytes
from .caller_transport import CallerTransport
from .step_queue import StepQueue

log = logging.getLogger("front")
HEAD_END = b"\r\n\r\n"
# Bytes that are read from a connection at once.
READ_SIZE = 65536
# Bytes that are read at once from each of many connections, since all may be readable
# in one turn of the event loop.
SMALL_READ_SIZE = 16384
MANY_CONNECTIONS = 512
# Half of the bytes of a body that wait for its reader before reading pauses.
BODY_BUFFER = 65536
# Bytes of empty lines before a request, which are ignored.
MAX_EMPTY_BYTES = 1024
# Seconds between two log lines on connections that have made room for others.
EVICTION_LOG_INTERVAL = 1.0
# Seconds between two checks whether a caller has left whose connection is not read.
HANGUP_INTERVAL = 0.2
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class InputFault(enum.Enum):
    """Why nothing more is read of a caller."""

    HEAD_TOO_LARGE = "head-too-large"
    EMPTY_LINES = "empty-lines"
    MALFORMED_BODY = "malformed-body"


STATUSES = {InputFault.HEAD_TOO_LARGE: 431, InputFault.EMPTY_LINES: 400}


class RefusedInputError(HttpProcessingError):
    """A caller has sent what no host has to read."""


class CallerHooks(NamedTuple):
    """
    What the connections of callers call.

    `handle` is the handler of a `CallerRequest`. `is_repeatable` tells of a
    `RawRequestMessage` whether it may run again or runs nothing. `is_draining` tells
    whether connections close after their responses, and `now` is the host's clock.
    """

    handle: Callable
    is_repeatable: Callable
    is_draining: Callable
    now: Callable


class CallerRequest(web.BaseRequest):
    """A request; `place` is its `Place`, or None if it was not behind others."""

    place = None


class Place(PipelinedRequest):
    """
    The place of a request behind others on its connection.

    Args:
      message: The `RawRequestMessage`.
      payload: Its body's `StreamReader`.
      is_repeatable: Whether it may run beside others.
      arrived_at: The time of its arrival, in seconds on the host's clock.
      position: The number of requests before it that had no response when it arrived.
    """

    __slots__ = (
        "_turn",
        "arrived_at",
        "is_in_turn",
        "message",
        "payload",
        "position",
        "request",
        "task",
    )

    def __init__(self, message, payload, is_repeatable, arrived_at, position):
        super().__init__(is_repeatable, message.should_close, _size_of(message))
        self.message = message
        self.payload = payload
        self.arrived_at = arrived_at
        self.position = position
        self.request = None
        self.task = None
        self.is_in_turn = False
        self._turn = None

    def take_turn(self):
        """Let the response leave."""
        self.is_in_turn = True
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    async def wait_for_turn(self):
        """Wait until the response may leave."""
        if not self.is_in_turn:
            self._turn = asyncio.get_running_loop().create_future()
            await self._turn


def arrival_of(request, at):
    """Return when a request arrived; `at` is the current time."""
    return at if request.place is None else request.place.arrived_at


def position_of(request):
    """Return how many requests were before a request when it arrived."""
    return 0 if request.place is None else request.place.position


async def wait_for_turn(request):
    """Wait until the response to a request may leave."""
    if request.place is not None:
        await request.place.wait_for_turn()


class CallerConnection(RequestHandler):
    """
    The connection of a caller.

    Args:
      server: The `CallerServer`.
      options: Those of `RequestHandler`.
    """

    # Most connections never have two requests at once and keep these defaults.
    _pipeline = None
    # Data that is not parsed yet, because the connection has enough requests.
    _unread = b""
    # The last body and its length, while it is incomplete.
    _body = None
    # The message that is in turn, until it has its response.
    _message_in_turn = None
    # Whether no further request is read, whether the last response closes, and whether
    # its caller has said before that it sends nothing more.
    _is_sealed = False
    _is_closing = False
    _is_ended_by_caller = False
    _hangup_timer = None
    # The decoder of the body, if it is chunked, and whether it waits for its turn.
    _chunks = None
    _is_waiting_for_step = False
    # The last bytes of an incomplete head, and the bytes of empty lines before it.
    _head_tail = b""
    _empty_bytes = 0
    # Bytes that arrived and were not parsed, because no further request is read.
    _ignored_bytes = 0
    # The `CallerTransport`, also when aiohttp's `transport` is None already.
    _open_transport = None

    def __init__(self, server, **options):
        # The transport lingers, also for the rest of a body that is not read.
        options.setdefault("read_bufsize", BODY_BUFFER)
        super().__init__(server, lingering_time=0, **options)
        self._hooks = server.hooks
        self._stall_time = server.stall_time
        self._handle = server.hooks.handle
        self._host_pipelines = server.pipelines
        self._note_fault = server.note_fault
        self._callers = server.callers
        self._make_room = server.make_room
        self._steps = server.steps
        self._head = HeadHolding(server.heads)
        self._places = []
        self._make_request = self._request_factory
        self._request_factory = self._take_request
        self._request_handler = self._handle_in_turn

    @property
    def has_followers(self):
        """Whether a request was read whose handling is still to come."""
        return bool(self._messages) and not self._is_closing

    @property
    def is_serving(self):
        """Whether a request was read that has no response yet."""
        is_in_turn = self._message_in_turn is not None
        return self.has_followers or (is_in_turn and not self._is_closing)

    @property
    def is_receiving(self):
        """Whether to wait for the response to a request that has arrived."""
        return self.is_serving

    def seal(self):
        """Read no further requests; the last that was read closes the connection."""
        self._is_sealed = True

    def ends_after_turn(self):
        """
        Return whether the response in turn is the last.

        It is if its request has not arrived completely, since the rest of the body
        would be read as the next request, or if the host drains.
        """
        if not self._current_request.content.is_eof():
            return True
        if not self._hooks.is_draining():
            return False
        if self._messages:
            self.seal()
            return False
        return True

    def log_fields(self):
        """Return what log lines tell of the connection."""
        fields = {
            "ignored": self._ignored_bytes,
            "undelivered": undelivered_bytes(self._open_transport),
            "unread": unread_bytes(self._open_transport),
        }
        request = self._current_request
        if request is not None:
            fields["received"] = request.content.total_bytes
            fields["is_received"] = request.content.is_eof()
        return fields

    # Reading.

    def connection_made(self, transport):
        is_one_of_many = len(self._callers) >= MANY_CONNECTIONS
        transport.max_size = SMALL_READ_SIZE if is_one_of_many else READ_SIZE
        self._open_transport = CallerTransport(
            transport, self._must_linger, self._stall_time
        )
        super().connection_made(self._open_transport)
        self._callers.add(self)
        self._make_room(self)

    def evict(self):
        """Make room for another connection."""
        self._open_transport.abort()

    def has_arrived(self):
        """Return whether the request that was read last has arrived completely."""
        return not self._is_in_body()

    def has_delivered(self):
        """Return whether the caller has everything that was written."""
        return not undelivered_bytes(self._open_transport)

    def data_received(self, data):
        """Parse data, as far as the connection may have further requests."""
        if self._is_closing or self._force_close or self._open_transport.is_closing():
            self._ignored_bytes += len(data)
            self._open_transport.note_ignored(len(data))
            return
        if data[:1] in (b"\r", b"\n") and not self._unread and self._is_at_head():
            data = self._skip_empty_lines(data)
            if not data:
                return
        if not data or self._is_single(data):
            self._feed(data)
            return
        self._unread = self._unread + data if self._unread else data
        self._feed_unread()

    def _is_single(self, data):
        """Return whether data is the head of one request, perhaps with its body."""
        if self._unread or self._messages or self._message_in_turn or self._body:
            return False
        if self._head.size:
            return False
        end = data.find(HEAD_END) + len(HEAD_END)
        if end == len(data):
            return True
        # With a body it is read in one piece; `P` is the start of all such methods.
        is_whole = data[:1] == b"P" and data.find(HEAD_END, end) < 0
        return is_whole and b"chunked" not in data[:end].lower()

    def _is_at_head(self):
        """Return whether what is read next begins a head."""
        return not self._head.size and not self._is_in_body()

    def _skip_empty_lines(self, data):
        """Return data without empty lines at its start."""
        rest = data.lstrip(b"\r\n")
        self._empty_bytes += len(data) - len(rest)
        if self._empty_bytes <= MAX_EMPTY_BYTES:
            return rest
        self._refuse_input(InputFault.EMPTY_LINES)
        return b""

    def _refuse_input(self, fault):
        """Answer in turn with the status of an `InputFault`, and read nothing more."""
        log.info("input refused", extra={"cause": fault.value})
        self._note_fault(fault)
        self._open_transport.is_refused = True
        self._drop_unread()
        known = len(self._messages)
        status = STATUSES[fault]
        exc = RefusedInputError(code=status, message=fault.value)
        error = _ErrInfo(status=status, exc=exc, message=fault.value)
        self._messages.append((error, EMPTY_PAYLOAD))
        self._note_messages(known)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to a request that is malformed or failed."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        if not isinstance(exc, RefusedInputError):
            log.info("malformed request", extra={"cause": type(exc).__name__})
        response = web.Response(status=status, text=message)
        response.force_close()
        return response

    def _feed_unread(self):
        """
        Feed aiohttp's parser, with one head at a time.

        A malformed request makes the parser drop all requests that are in the same
        data and complete, but these must have their responses.
        """
        while self._unread and self._may_feed():
            if self._is_in_body() and self._chunks is not None:
                if not self._feed_chunks():
                    break
                continue
            data = self._unread
            if data[:1] in (b"\r", b"\n") and self._is_at_head():
                self._unread = self._skip_empty_lines(data)
                continue
            end = self._find_end(data)
            self._unread = data[end:]
            self._feed(data[:end])
        if self._unread:
            self._pause()
        elif self._buffer_paused:
            self._resume_reading_for_buffer()

    def _feed_chunks(self):
        """Feed a part of a chunked body, and return whether to go on at once."""
        chunks = self._chunks
        if chunks.is_done or self._reading_paused:
            return False
        try:
            body, self._unread = chunks.feed(self._unread)
        except ChunkError as exc:
            self._break_body(exc)
            return False
        if body:
            self._feed(b"%x\r\n%b\r\n" % (len(body), body))
        if chunks.is_done:
            self._feed(b"0\r\n\r\n")
            return True
        if self._unread:
            self._feed_later()
        return False

    def _break_body(self, exc):
        """Let the reader of a malformed body know, and read nothing more."""
        log.info("malformed body", extra={"cause": str(exc)})
        payload, self._body, self._chunks = self._body[0], None, None
        payload.set_exception(web.RequestPayloadError(str(exc)))
        self._note_fault(InputFault.MALFORMED_BODY)
        self._open_transport.is_refused = True
        self.seal()
        self._drop_unread()

    def _feed_later(self):
        """Go on with a chunked body when expensive input has its turn."""
        if not self._is_waiting_for_step:
            self._is_waiting_for_step = True
            self._steps.add(self._feed_next)

    def _feed_next(self):
        self._is_waiting_for_step = False
        if self._unread and self.transport is not None:
            self._feed_unread()

    def resume_reading(self, resume_parser=True):
        """Read on after a reader has taken what waits of a body."""
        super().resume_reading(resume_parser)
        if self._unread and self._chunks is not None and not self._reading_paused:
            self._feed_later()

    def _may_feed(self):
        if self._is_in_body():
            return True
        if self._is_sealed:
            self._drop_unread()
            return False
        if self._pipeline is not None:
            return not self._pipeline.is_full
        return not self._message_in_turn or not self._host_pipelines.is_full

    def _drop_unread(self):
        self._ignored_bytes += len(self._unread)
        self._unread = b""

    def _is_in_body(self):
        if self._body is not None and self._body[0].is_eof():
            self._body = self._chunks = None
        return self._body is not None

    def _find_end(self, data):
        """Return the length of the data up to the end of a head or a body."""
        if self._body is None:
            # The end may have arrived in part before.
            known = len(self._head_tail)
            end = (self._head_tail + data).find(HEAD_END)
            return len(data) if end < 0 else end + len(HEAD_END) - known
        payload, length = self._body
        if length is None:
            return len(data)
        return min(len(data), max(1, length - payload.total_bytes))

    def _feed(self, data):
        known = len(self._messages)
        super().data_received(data)
        self._note_messages(known)
        if len(self._messages) == known and data and self._body is None:
            self._note_part_of_head(data)

    def _note_part_of_head(self, data):
        """Note that a head goes on behind some data."""
        self._head_tail = (self._head_tail + data[-len(HEAD_END) :])[
            1 - len(HEAD_END) :
        ]
        if not self._head.add(len(data)):
            self._refuse_input(InputFault.HEAD_TOO_LARGE)

    def _note_messages(self, known):
        """Note the messages behind the first `known` ones."""
        count = len(self._messages)
        if count == known:
            return
        self._head.clear()
        self._head_tail, self._empty_bytes = b"", 0
        if count == 1 and self._message_in_turn is None:
            message, payload = self._messages[0]
            self._note_message(message, payload, True)
            return
        for message, payload in islice(self._messages, known, None):
            is_first = message is self._messages[0][0] and not self._message_in_turn
            self._note_message(message, payload, is_first)
        is_pending = self._messages[0][0] is self._message_in_turn
        if self._pipeline is not None and not is_pending:
            self._pipeline.begin_ready()

    def _note_message(self, message, payload, is_first):
        """Note a request that was read; the first one is handled next."""
        if not payload.is_eof():
            length = message.headers.get("Content-Length")
            self._body = payload, None if length is None else int(length)
            self._chunks = ChunkDecoder() if message.chunked else None
        if is_first:
            self._message_in_turn = message
            self._callers.note(
                self,
                CallerState.SERVING if payload.is_eof() else CallerState.RECEIVING,
            )
        elif type(message) is RawRequestMessage:
            self._add_follower(message, payload)
        if type(message) is not RawRequestMessage:
            # aiohttp answers what is malformed and closes the connection.
            self.seal()
            if is_first:
                self._callers.note(self, CallerState.CLOSING)

    def _add_follower(self, message, payload):
        """Add a request behind the one in turn."""
        if self._pipeline is None:
            in_turn = self._message_in_turn
            first = PipelinedRequest(
                self._may_repeat(in_turn), in_turn.should_close or self._is_closing, 0
            )
            self._pipeline = Pipeline(self._host_pipelines, self._begin, first)
        place = Place(
            message,
            payload,
            self._may_repeat(message),
            self._hooks.now(),
            len(self._places) + 1,
        )
        self._places.append(place)
        self._pipeline.append(place)

    def _may_repeat(self, message):
        return (
            message.version >= HttpVersion11
            and not message.chunked
            and not message.upgrade
            and "Expect" not in message.headers
            and self._hooks.is_repeatable(message)
        )

    # Handling.

    def _begin(self, place):
        """Start the handler of a request before it is in turn."""
        writer = StreamWriter(self, self._loop)
        place.request = self._make_request(
            place.message, place.payload, self, writer, self._task_handler
        )
        place.request.place = place
        place.task = self._loop.create_task(self._handle_early(place))

    async def _handle_early(self, place):
        """Run the handler of a request that is not in turn."""
        try:
            response = await self._handle(place.request)
        except Exception:
            # aiohttp answers with a status of its own, and closes the connection.
            self._note_response(place, None, True)
            raise
        self._note_response(place, response, response.keep_alive is False)
        return response

    def _note_response(self, request, response, is_closing):
        """Note the response to a request, and begin or cancel what is behind it."""
        if self._pipeline is None:
            return
        body = getattr(response, "body", None)
        self._pipeline.note_answer(request, len(body) if body else 0)
        if is_closing:
            _cancel(self._pipeline.end_after(request))
        self._pipeline.begin_ready()

    def _take_request(self, message, payload, protocol, writer, task):
        """Return the request that aiohttp handles next."""
        self._message_in_turn = message
        if not self._places or self._places[0].message is not message:
            return self._make_request(message, payload, protocol, writer, task)
        place = self._places.pop(0)
        self._callers.note(
            self, CallerState.SERVING if payload.is_eof() else CallerState.RECEIVING
        )
        self._pipeline.advance()
        request, place.request = place.request, None
        if request is None:
            request = self._make_request(message, payload, protocol, writer, task)
            request.place = place
        if self._unread:
            self._feed_unread()
        return request

    async def _handle_in_turn(self, request):
        """Handle the request in turn, or wait for the handler that was started."""
        place = request.place
        if self._pipeline is not None:
            # The tasks of those behind it run after the start of this one.
            self._pipeline.begin_ready()
        try:
            if place is None:
                response = await self._handle(request)
            else:
                place.take_turn()
                response = await (place.task or self._handle(request))
        except BaseException:
            self._end_turn(True)
            raise
        if not response.prepared and self.ends_after_turn():
            response.force_close()
        has_arrived = request.content.is_eof()
        self._is_ended_by_caller = not request.keep_alive and has_arrived
        self._end_turn(response.keep_alive is False or not has_arrived)
        if not has_arrived:
            self._drop_body(request.content)
        return response

    def _end_turn(self, is_closing):
        """Let the next request be in turn, once aiohttp has written the response."""
        self._message_in_turn = None
        if is_closing:
            self._callers.note(self, CallerState.CLOSING)
            self._is_closing = True
            self._drop_unread()
            self._messages.clear()
        elif not self._messages:
            self._callers.note(self, CallerState.WAITING)
        if self._pipeline is not None:
            self._note_response(self._pipeline.first, None, is_closing)
            if is_closing or not self._messages:
                self._close_pipeline()
        if self._unread:
            self._feed_unread()

    def _drop_body(self, content):
        """Drop what waits of a body whose rest nobody reads."""
        try:
            content.read_nowait()
        except (RuntimeError, web.RequestPayloadError) as exc:
            # Its reader has just been cancelled, or the body is malformed.
            log.debug("the rest of a body is kept for a moment: %s", exc)

    def _close_pipeline(self):
        if self._pipeline is not None:
            _cancel(self._pipeline.close())
            self._pipeline = None
            self._places.clear()

    # Pauses, and the end of the connection.

    def _must_linger(self, undelivered):
        """
        Return whether closing at once could take back a response.

        A caller that doesn't know of the end may still send. An idle connection is
        closed at once if the caller has everything: a request that is on its way then
        must not be read, since it would have no response.
        """
        is_idle = self._message_in_turn is None and not self._is_closing
        if is_idle or self._is_ended_by_caller:
            return undelivered > 0 and (is_idle or self._hooks.is_draining())
        return True

    def close_with(self, response):
        """Write the bytes of a last response, and close the connection."""
        self._is_closing = True
        self.transport.write(response)
        self.force_close()

    def _resume_reading_if_drained(self):
        """Resume reading that aiohttp has paused, and not `_pause`."""
        if not self._unread:
            super()._resume_reading_if_drained()

    def _pause(self):
        """Stop reading until requests have been answered."""
        if not self._buffer_paused:
            self._pause_reading_for_buffer()
        if self._hangup_timer is None:
            self._hangup_timer = self._loop.call_later(
                HANGUP_INTERVAL, self._check_hangup
            )

    def _check_hangup(self):
        """Close a connection that is not read if its caller has left."""
        self._hangup_timer = None
        if self.transport is None or self.transport.is_closing() or not self._unread:
            return
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), HANGUP_EVENTS)
        if poll.poll(0):
            self.transport.abort()
        else:
            self._pause()

    def connection_lost(self, exc):
        """Cancel all that runs for the caller, except orders."""
        if self._hangup_timer is not None:
            self._hangup_timer.cancel()
        self._unread = b""
        self._callers.remove(self)
        self._head.clear()
        self._close_pipeline()
        self._open_transport.note_lost()
        super().connection_lost(exc)


class CallerServer(web.Server):
    """
    The aiohttp server for callers.

    Args:
      hooks: The `CallerHooks`.
      limits: The `PipelineLimits`.
      stall_time: Seconds without an acknowledgement after which a closed connection
        is not waited for any longer.
      heads: The `HeadBudget`, or None for one with default limits.
      options: Those of `CallerConnection`.
    """

    def __init__(self, hooks, limits, stall_time, heads=None, **options):
        super().__init__(
            hooks.handle,
            request_factory=self._make_caller_request,
            handler_cancellation=True,
        )
        self.hooks = hooks
        self.stall_time = stall_time
        self.pipelines = HostPipelines(limits)
        self.heads = heads or HeadBudget()
        self.steps = StepQueue()
        self.callers = CallerTable(
            CallerConnection.has_arrived, CallerConnection.has_delivered
        )
        # The number of connections that have made room for others, how many of them
        # the log has, and when it was told last.
        self.evicted_count = 0
        self._logged_count = 0
        self._logged_at = -math.inf
        # The number of connections by `InputFault` of which nothing more was read.
        self.faults = Counter()
        self._options = options

    def make_room(self, new):
        """Close a connection if a new one is beyond the limit."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            return
        if len(self.callers) > max_connections(descriptors):
            evicted = self.callers.pick(new)
            self.callers.remove(evicted)
            self.evicted_count += 1
            evicted.evict()
            self._log_evicted()

    def _log_evicted(self):
        """Log at intervals how many connections have made room."""
        at = self.hooks.now()
        if at < self._logged_at + EVICTION_LOG_INTERVAL:
            return
        count = self.evicted_count - self._logged_count
        self._logged_at, self._logged_count = at, self.evicted_count
        log.info("connections evicted", extra={"count": count})

    def note_fault(self, fault):
        """Count a connection of which nothing more is read for an `InputFault`."""
        self.faults[fault] += 1

    def close_idle(self):
        """
        Close the connections that wait for a request.

        The others close with their response, since the host drains. aiohttp's own
        `close` would drop what is still to arrive of a body.
        """
        for conn in self.connections:
            if conn.has_followers:
                conn.seal()
            elif not conn.is_receiving:
                conn.force_close()

    def __call__(self):
        return CallerConnection(self, loop=self._loop, **self._options)

    def _make_caller_request(self, message, payload, protocol, writer, task):
        return CallerRequest(message, payload, protocol, writer, task, self._loop)


def _cancel(places):
    """Cancel the handlers of requests whose responses can't leave."""
    for place in places:
        task = getattr(place, "task", None)
        if task is None:
            continue
        task.cancel()
        task.add_done_callback(_retrieve_exception)


def _retrieve_exception(task):
    """Take the exception of a handler that was cancelled while it failed."""
    if not task.cancelled():
        task.exception()


def _size_of(message):
    """Return the bytes of a request with its body."""
    head = sum(len(name) + len(value) + 4 for name, value in message.raw_headers)
    body = message.headers.get("Content-Length", "0")
    return len(message.path) + head + int(body)
