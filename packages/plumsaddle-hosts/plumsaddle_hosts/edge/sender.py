"""
Sends a request to one target over a pooled or a new connection.
"""

import asyncio
import logging
from typing import NamedTuple

from aiohttp import web

from plumsaddle_core.core.traffic import Reply, SendOutcome

from .clock import now
from .downloads import DownloadRest
from .outgoing import frame_body, is_sent_in_parts, make_head
from .target_connection import ConnectFailure, EndCause
from .verdict import ReplyRest, classify, classify_head, outcome_of_head

log = logging.getLogger("relay")
# Responses up to this many bytes are buffered, so that the request can be retried if
# the response is incomplete. Longer responses are streamed.
MAX_BUFFERED_BODY = 65536
# Complete large responses up to this many bytes are returned as a whole.
MAX_WHOLE_DOWNLOAD = 16384
# Maximum idle seconds of a pooled connection, for orders and uploads and for idempotent
# requests. The target may close an idle connection while a request is being sent, and
# an order lost this way cannot be retried.
MAX_ORDER_IDLE = 6.0
MAX_IDLE = 60.0


class ConnectionInfo(NamedTuple):
    """
    The connection of a send, for the log.

    `kind` is `new`, `kept`, or the reason why there was no connection. `age` and `idle`
    are in seconds. `gateway` is the address of the host through which it goes, if any.
    `end` is the `EndCause` of a response that is not whole.
    """

    kind: str
    age: float | None = None
    idle: float | None = None
    gateway: str | None = None
    end: EndCause | None = None


class SendResult(NamedTuple):
    """The result of a send."""

    outcome: SendOutcome
    reply: Reply | None = None
    connection: ConnectionInfo = ConnectionInfo("none")


class Sender:
    """
    Sends the requests of one host.

    Args:
      knowledge: The `HostState`.
      pool: The `ConnectionPool`.
      metrics: The `EdgeMetrics`.
      crash_detector: The `CrashDetector`.
      prober: The `PathProber`.
    """

    def __init__(self, knowledge, pool, metrics, crash_detector, prober):
        self._knowledge = knowledge
        self._pool = pool
        self._metrics = metrics
        self._crash_detector = crash_detector
        self.prober = prober

    def has_connection(self, request, incarnation):
        """Return whether there is a pooled connection that a request may use."""
        return self._pool.has_idle(incarnation, _max_idle(request))

    def may_send_twice(self, request):
        """Return whether a request may be sent again while its first send runs."""
        return self._knowledge.downloads.may_send_twice(request)

    async def send(
        self,
        request,
        target,
        suspect_check,
        on_head=lambda: None,
        on_connected=lambda connection: None,
    ):
        """
        Get a connection, send a request, and wait for the response or its first part.

        Args:
          request: The `ProxyRequest`.
          target: The `Target`.
          suspect_check: The request's `SuspectCheck`.
          on_head: Called when the status and all headers have arrived.
          on_connected: Called with the connection before the request is sent on it.
        Returns:
          A `SendResult`.
        """
        connection = self._pool.acquire(target.incarnation, _max_idle(request))
        is_new = connection is None
        if connection is None:
            connection = await self._pool.open(target)
            self._metrics.connections.inc({"service": target.service})
        if isinstance(connection, ConnectFailure):
            if connection is ConnectFailure.REFUSED:
                self._crash_detector.note_refused(target)
            has_path = connection is not ConnectFailure.NO_PATH
            return SendResult(
                SendOutcome.UNREACHABLE if has_path else SendOutcome.UNSENT,
                None,
                ConnectionInfo(connection.value),
            )
        at = now()
        age = round(at - connection.opened_at, 3)
        idle = 0.0 if is_new else round(at - connection.last_used_at, 3)
        kind = "new" if is_new else "kept"
        info = ConnectionInfo(kind, age, idle, connection.gateway)
        if connection.is_closed:
            # It was lost before anything was sent, which may be the fault of the path.
            return SendResult(SendOutcome.UNSENT, None, info)
        is_too_late = (
            request.deadline <= at
            or request.caller.is_gone()
            or not self._knowledge.grace.may_send(request, at)
        )
        may_send = self._knowledge.may_send(target, at) and not request.is_body_taken
        if is_too_late or not may_send:
            self._pool.release_unused(target.incarnation, connection)
            return SendResult(SendOutcome.UNSENT, None, info)
        if connection.gateway is not None:
            extra = {"request": request.id.decode("latin-1"), "target": target.id}
            log.info("tunnelled", extra={**extra, "gateway": connection.gateway})
        on_connected(connection)
        connection.is_repeatable = request.route.kind.is_idempotent
        outcome, reply, end = await self._exchange(
            request, target, connection, suspect_check, on_head
        )
        return SendResult(outcome, reply, info._replace(end=end))

    async def _exchange(self, request, target, connection, suspect_check, on_head):
        """
        Send on a connection.

        Returns:
          The outcome, the `Reply` or None, and the `EndCause` or None.
        """
        sent_at = now()
        downloads = self._knowledge.downloads
        buffer = downloads.open_buffer(request, connection)
        parts = None if request.rest is None else request.rest.take()
        is_in_parts = is_sent_in_parts(request)

        def handle_head(head):
            on_head()
            self._knowledge.notices.note_head(target, head, sent_at)

        exchange = connection.start_exchange(
            make_head(request, target, request.deadline - sent_at),
            request.id,
            handle_head,
            buffer,
        )
        outcome = sending = None
        is_streaming = False
        try:
            if is_in_parts:
                sending = asyncio.ensure_future(_send_body(connection, request, parts))
                await exchange.wait_for_body(MAX_BUFFERED_BODY)
            elif buffer is not None:
                await downloads.receive(request, exchange, MAX_BUFFERED_BODY)
                if _is_large_success(exchange):
                    is_streaming = True
                    outcome = SendOutcome.SUCCEEDED
                    reply = self._download_reply(request, target, connection, exchange)
                    return outcome, reply, None
            else:
                await exchange.wait_for_body(MAX_BUFFERED_BODY)
            if exchange.outcome is None and exchange.has_head:
                # A target may need the rest of the body for that of its response.
                rest = ReplyRest(
                    exchange,
                    connection,
                    request.deadline,
                    sending,
                    target.id,
                    request.latest_end,
                )
                outcome, reply = classify_head(exchange, rest)
                is_streaming = outcome is SendOutcome.SUCCEEDED
                # The rest of a long error response is not read.
                return outcome, reply if is_streaming else None, None
            outcome, reply = classify(exchange)
            if outcome is SendOutcome.BROKEN and connection.was_cut:
                outcome = SendOutcome.PATH_LOST
            return outcome, reply, exchange.end_cause
        finally:
            suspect_check.note_outcome(target, exchange, outcome)
            if not is_streaming:
                if sending is not None:
                    sending.cancel()
                self._pool.release(target.incarnation, connection)
                if buffer is not None:
                    buffer.close()

    def _download_reply(self, request, target, connection, exchange):
        """Return the `Reply` that forwards a large response."""

        def release():
            self._pool.release(target.incarnation, connection)
            if exchange.outcome is SendOutcome.BROKEN and not exchange.was_paused:
                self._knowledge.note_outcome(
                    target, request.route, SendOutcome.BROKEN, 0.0
                )

        rest = DownloadRest(
            exchange,
            self._knowledge.downloads,
            request.deadline,
            release,
            target.id,
            request.latest_end,
        )
        return Reply(exchange.status, exchange.headers, b"", rest)


def _is_large_success(exchange):
    """Return whether a response is forwarded as it is, or was received, in parts."""
    if exchange.outcome not in (None, SendOutcome.SUCCEEDED):
        return False
    is_short = exchange.outcome is not None and len(exchange.body) <= MAX_WHOLE_DOWNLOAD
    return not is_short and outcome_of_head(exchange) is SendOutcome.SUCCEEDED


def _max_idle(request):
    """Return the maximum idle seconds of a connection for a request."""
    return MAX_IDLE if request.route.kind.is_idempotent else MAX_ORDER_IDLE


async def _send_body(connection, request, parts):
    """
    Stream a body to a target.

    If the caller aborts the upload, the connection is closed, so that the target does
    not wait for the rest.
    """
    try:
        await connection.send_body(frame_body(request, parts))
    except (web.RequestPayloadError, OSError) as exc:
        log.info(
            "upload aborted",
            extra={
                "request": request.id.decode("latin-1"),
                "cause": type(exc).__name__,
            },
        )
        connection.close()
