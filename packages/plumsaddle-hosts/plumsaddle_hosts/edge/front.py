"""
The HTTP handler for callers: validates requests, and returns responses or refusals.

While the host drains, it serves what can be done before its grace period ends.
"""

import asyncio
import functools
import logging

from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure

from plumsaddle_core.core.traffic import Reply
from plumsaddle_core.ops.route_table import choose_service, find_route
from plumsaddle_core.ops.workspaces import key_digest, read_key, short_digest
from plumsaddle_core.transfers.arrival import latest_end
from plumsaddle_core.transfers.body_budget import BodyBudget, compute_limit

from ..front.headers import HOP_BY_HOP
from ..front.pipelining import arrival_of, position_of, wait_for_turn
from ..platform import wire
from .clock import now
from .outgoing import (
    Owner,
    ProxyRequest,
    connection_header_names,
    position_field,
)
from .refusals import Refusal, RefusalCause, http_status
from .request_body import MAX_WHOLE_BODY, BodyReader, BodyStream
from .response_stream import wait_to_write, write_long

log = logging.getLogger("front")
MIN_RETRY_AFTER = 0.05
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Retry delay in seconds while the configuration is too old to reject an unknown key.
KEYS_RETRY_AFTER = 0.5
# Seconds for which a draining host still accepts requests. The load balancer may route
# callers to it for three seconds; a long upload accepted later could outlast the grace
# period and be aborted.
DRAIN_ACCEPT_TIME = 2.9


class Caller:
    """The connection of a caller, for the relay."""

    def __init__(self, request):
        self._request = request

    def is_gone(self):
        """Return whether the caller has closed its connection."""
        transport = self._request.transport
        return transport is None or transport.is_closing()


class Front:
    """
    The HTTP handler for callers.

    `in_flight` counts the requests that it handles, and `body_budget` bounds the bytes
    that their bodies take.

    Args:
      knowledge: The `HostState`.
      relay: The `Relay`.
      metrics: The `EdgeMetrics`.
    """

    def __init__(self, knowledge, relay, metrics):
        self._knowledge = knowledge
        self._relay = relay
        self._metrics = metrics
        self.body_budget = BodyBudget(compute_limit(knowledge.settings.memory_limit))
        self._order_tasks = set()
        self.in_flight = 0
        self._bodies = BodyReader()
        self._draining_since = None

    @property
    def buffered_bytes(self):
        """The bytes that bodies of requests take."""
        return self.body_budget.held

    def apply_settings(self):
        """Apply changed settings to requests that arrive from now on."""
        self.body_budget.limit = compute_limit(self._knowledge.settings.memory_limit)

    def drain(self, end):
        """
        Close connections after their responses; soon refuse further requests.

        Args:
          end: When the remaining requests are refused, in seconds on the host's clock.
        """
        self._draining_since = now()
        self._knowledge.grace.begin(end)
        self._bodies.drain()

    @property
    def is_draining(self):
        """Whether the host is draining."""
        return self._draining_since is not None

    def is_repeatable(self, message):
        """Return whether a request may run again, or is refused without its body."""
        host = message.headers.get("Host", "")
        route = find_route(self._knowledge.route_table, host, message.path)
        return route is None or route.kind.is_idempotent

    def note_head_timeout(self):
        """Log and count a connection that was closed with an incomplete head."""
        log.info("refused", extra={"cause": RefusalCause.HEAD_TOO_SLOW.value})
        self._metrics.refusals.inc({"cause": RefusalCause.HEAD_TOO_SLOW.value})

    async def handle(self, request):
        """Return the response to a request."""
        started_at = arrival_of(request, now())
        transport = request.transport
        if transport is None or transport.is_closing():
            # The caller disconnected while the request was read and cannot receive a
            # response, so the request is not forwarded.
            return web.Response(status=503)
        self.in_flight += 1
        try:
            result = await self._process(request, started_at)
            return await self._respond(request, result)
        except asyncio.CancelledError:
            self._log_caller_left(request, started_at)
            raise
        finally:
            self.in_flight -= 1
            self._metrics.seconds.observe({}, now() - started_at)

    def _log_caller_left(self, request, started_at):
        """Log that a caller has closed its connection before its response."""
        log.info(
            "caller left",
            extra={
                "request": request.headers.get(wire.REQUEST_ID),
                "seconds": round(now() - started_at, 4),
            },
        )

    async def _process(self, request, started_at):
        """Validate and run a request; return a `Reply` or a `Refusal`."""
        cfg = self._knowledge.cfg
        if self.is_draining and now() - self._draining_since > DRAIN_ACCEPT_TIME:
            return self._refuse(request, RefusalCause.DRAINING, 0.0)
        if not self._knowledge.is_complete:
            return self._refuse(request, RefusalCause.NO_CONFIGURATION, 0.5)
        size = sum(len(k) + len(v) + 4 for k, v in request.raw_headers)
        if size > cfg.limits.header_bytes:
            return self._refuse(request, RefusalCause.HEADERS_TOO_LARGE)
        route = find_route(
            self._knowledge.route_table,
            request.headers.get("Host", ""),
            request.raw_path,
        )
        if route is None:
            return self._refuse(request, RefusalCause.NO_ROUTE)
        if not route.kind.is_idempotent:
            # It is in turn already, unless the configuration has just changed.
            await wait_for_turn(request)
        at = now()
        workspace, refusal = self._identify(request, route, at)
        if refusal is not None:
            return refusal
        # Taken before the body is read, since the configuration may change meanwhile.
        owner = Owner(bool(cfg.workspaces), workspace)
        request_id = request.headers.get(wire.REQUEST_ID)
        if not request_id:
            return self._refuse(request, RefusalCause.NO_REQUEST_ID)
        time_limit = _parse_time_limit(
            request.headers.get(wire.TIME_LEFT), route.timeout
        )
        if time_limit is None:
            return self._refuse(request, RefusalCause.BAD_TIME_LIMIT)
        if request.place is not None and at >= started_at + time_limit:
            # Its time has passed while it was behind others.
            return self._refuse(request, RefusalCause.DEADLINE_EXCEEDED)
        length = request.content_length
        if length is not None and length > cfg.limits.body_bytes:
            return self._refuse(request, RefusalCause.BODY_TOO_LARGE)
        self._metrics.requests.inc({"kind": route.kind.value})
        decision = self._knowledge.admit(workspace, route, at)
        if not decision.is_admitted:
            self._knowledge.note_over_limit(route, at)
            return self._refuse_over_limit(request, workspace, route, decision)
        result = await self._read_and_run(
            request, route, owner, request_id, started_at, time_limit
        )
        if isinstance(result, Refusal) and not result.may_have_run:
            self._knowledge.shared.quotas.release(workspace, now())
        return result

    def _refuse_over_limit(self, request, workspace, route, decision):
        return self._refuse(
            request,
            RefusalCause.OVER_LIMIT,
            decision.retry_after,
            workspace=workspace.name,
            rate=workspace.rate,
            burst=workspace.burst,
            left=decision.remaining,
            demand=decision.demand,
            part=decision.reachable_share,
            silent=decision.unreachable_hosts,
            route=route.name,
            rank=self._knowledge.quota_rank(route),
            share=decision.admitted_fraction,
        )

    def _identify(self, request, route, at):
        """
        Return the `Workspace` of a request or None, and a `Refusal` or None.

        An unknown key may have been issued a moment ago. It is rejected only if the
        configuration is recent enough, since callers do not retry a rejected key.
        """
        if not self._knowledge.cfg.workspaces:
            return None, None
        key = read_key(request.raw_headers)
        digest = None if key is None else key_digest(key)
        workspace = self._knowledge.workspaces_by_key.get(digest)
        if workspace is not None or route.is_public:
            return workspace, None
        fields = {"key": short_digest(digest) if digest else None}
        age = self._knowledge.configuration_age(at)
        fields["age"] = round(age, 2)
        if key is None or age <= self._knowledge.settings.bounds.apply:
            return None, self._refuse(request, RefusalCause.UNKNOWN_KEY, **fields)
        return None, self._refuse(
            request, RefusalCause.KEYS_OUTDATED, KEYS_RETRY_AFTER, **fields
        )

    async def _read_and_run(
        self, request, route, owner, request_id, started_at, time_limit
    ):
        """Read the body or its first part within the limits, and run the request."""
        holding = self.body_budget.open(now())
        is_running = False
        deadline = started_at + time_limit
        service = choose_service(route, self._knowledge.rng)
        latest_send = functools.partial(
            self._knowledge.grace.latest_send, service, route, deadline
        )
        try:
            expected = min(MAX_WHOLE_BODY, request.content_length or 0)
            if not self.body_budget.has_room(expected):
                return self._refuse_memory_full(request, expected)
            body, is_whole = b"", True
            if request.can_read_body:
                if self._may_send(latest_send):
                    _invite_body(request)
                result = await self._bodies.read_start(
                    request.content,
                    request.content_length,
                    deadline,
                    latest_send,
                    holding.resize,
                )
                if result == Failure(RefusalCause.MEMORY_FULL):
                    return self._refuse_memory_full(request, MAX_WHOLE_BODY)
                if isinstance(result, Failure):
                    return self._refuse(request, result.failure(), 0.0)
                body, is_whole = result.unwrap()
            if not self._may_send(latest_send):
                return self._refuse(request, RefusalCause.DRAINING, 0.0)
            holding.resize(len(body))
            if len(body) > self._knowledge.cfg.limits.body_bytes:
                return self._refuse(request, RefusalCause.BODY_TOO_LARGE)
            proxy_request = self._make_proxy_request(
                request,
                route,
                service,
                owner,
                request_id,
                started_at,
                deadline,
                body,
                is_whole,
            )
            is_running = True
            return await self._run(proxy_request, holding)
        except web.RequestPayloadError:
            return self._refuse(request, RefusalCause.BODY_BROKEN)
        finally:
            if not is_running:
                holding.close(now())

    def _refuse_memory_full(self, request, size):
        """Refuse a request; `size` is what would be held of its body, in bytes."""
        retry_after = self.body_budget.retry_after(size, now())
        return self._refuse(request, RefusalCause.MEMORY_FULL, retry_after)

    def _may_send(self, latest_send):
        """Return whether a request that is sent now ends before the host does."""
        return not self._knowledge.grace.has_begun or now() <= latest_send()

    def _make_proxy_request(
        self,
        request,
        route,
        service,
        owner,
        request_id,
        started_at,
        deadline,
        body,
        is_whole,
    ):
        max_rest = self._knowledge.cfg.limits.body_bytes - len(body)
        return ProxyRequest(
            request_id.encode("latin-1"),
            request.method,
            request.raw_path,
            request.raw_headers,
            body,
            None if is_whole else BodyStream(request.content, max_rest),
            len(body) if is_whole else request.content_length,
            route,
            service,
            started_at,
            deadline,
            Caller(request),
            owner,
            self._knowledge.urgency(service, route, owner.workspace),
            position_of(request),
            latest_end(started_at, _stated_time(request), route.timeout),
        )

    async def _run(self, proxy_request, holding):
        """
        Run a request, and close the `BodyHolding` of its body when it has ended.

        aiohttp cancels the handler if the caller disconnects. This cancels idempotent
        requests, while orders and uploads continue, so that their outcome is logged.
        """
        if proxy_request.route.kind.is_idempotent:
            try:
                return await self._relay.run(proxy_request)
            finally:
                holding.close(now())
        task = asyncio.get_running_loop().create_task(self._relay.run(proxy_request))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)
        task.add_done_callback(lambda _: holding.close(now()))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_drop_reply)
            raise

    def _refuse(self, request, cause, retry_delay=None, **fields):
        log.info(
            "refused",
            extra={
                "request": request.headers.get(wire.REQUEST_ID),
                "cause": cause.value,
                **position_field(position_of(request)),
                "target_host": request.headers.get("Host"),
                "path": request.raw_path,
                "version": self._knowledge.cfg.version if self._knowledge.cfg else None,
                **fields,
            },
        )
        self._metrics.refusals.inc({"cause": cause.value})
        return Refusal(cause, False, retry_delay)

    async def _respond(self, request, result):
        """Return the HTTP response for a `Reply` or a `Refusal`."""
        if isinstance(result, Reply):
            if result.rest is not None:
                return await self._stream(request, result)
            headers = _forwarded_headers(result.headers)
            self._knowledge.downloads.note_short_response(len(result.body))
            response = web.Response(
                status=result.status, body=result.body, headers=headers
            )
        else:
            response = _refusal_response(request, result)
        if not request.content.is_eof():
            # Otherwise the rest of the body would be parsed as the next request.
            response.force_close()
        return response

    async def _stream(self, request, reply):
        """Stream a long reply; if it is incomplete, abort the caller's connection."""
        try:
            response = web.StreamResponse(
                status=reply.status, headers=_forwarded_headers(reply.headers)
            )
            if not await wait_to_write(lambda: wait_for_turn(request), reply.rest):
                refusal = self._refuse(request, RefusalCause.DEADLINE_EXCEEDED)
                return _refusal_response(request, refusal._replace(may_have_run=True))
            if request.protocol.ends_after_turn():
                response.force_close()
            await write_long(request, response, reply)
            return response
        finally:
            reply.rest.close()


def _invite_body(request):
    """Send the interim response that `Expect: 100-continue` asks for."""
    if request.headers.get("Expect", "").lower() != "100-continue":
        return
    transport = request.transport
    if transport is not None and not transport.is_closing():
        transport.write(CONTINUE_RESPONSE)


def _drop_reply(task):
    """Close the connection to the target of a reply that has no caller any more."""
    if task.cancelled():
        return
    if task.exception() is not None:
        log.error("order failed", exc_info=task.exception())
        return
    result = task.result()
    if isinstance(result, Reply) and result.rest is not None:
        result.rest.close()


def _stated_time(request):
    """Return the seconds that a caller waits as it states, or None."""
    text = request.headers.get(wire.TIME_LEFT)
    return None if text is None else int(text) / 1000


def _parse_time_limit(text, maximum):
    """Return the time limit of a request in seconds, or None if it is malformed."""
    if text is None:
        return maximum
    # Digits outside ASCII pass `isdigit`, and `int` rejects some of them.
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        return None
    return min(int(text) / 1000, maximum)


def _forwarded_headers(pairs):
    """Return the headers of a response that are forwarded to the caller."""
    connection_names = connection_header_names(pairs)
    headers = CIMultiDict()
    for name, value in pairs:
        lower = name.lower()
        text = lower.decode("latin-1")
        if text in HOP_BY_HOP or text == "content-length" or lower in connection_names:
            continue
        headers.add(name.decode("latin-1"), value.decode("latin-1"))
    return headers


def _refusal_response(request, refusal):
    """Return the response for a refusal."""
    status = http_status(refusal)
    response = web.json_response({"error": refusal.cause.value}, status=status)
    if status in (429, 503):
        retry_after = max(MIN_RETRY_AFTER, refusal.retry_after or 0.0)
        response.headers[wire.RETRY_AFTER] = f"{retry_after:.2f}"
    if status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    if request.headers.get(wire.REQUEST_ID):
        response.headers[wire.REQUEST_ID] = request.headers[wire.REQUEST_ID]
    return response
