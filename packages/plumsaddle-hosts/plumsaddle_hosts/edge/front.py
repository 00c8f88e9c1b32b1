"""
The callers' listener: from bytes on a socket to a request, and back.

Short bodies are read whole before a target is chosen, so that a slow caller holds no
slot and a request that certainly has not run can be sent again. Longer ones are passed
on while they come.
"""

import asyncio
import logging

from aiohttp import web
from multidict import CIMultiDict

from plumsaddle_core.core.traffic import Reply
from plumsaddle_core.ops.fingerprint import MAX_HASHED_BODY
from plumsaddle_core.ops.route_table import choose_service, find_route
from plumsaddle_core.ops.workspaces import digest_of, read_key, short_digest

from ..front.headers import HOP_BY_HOP
from ..platform import wire
from .clock import now
from .outgoing import Ask, Owner, named_by_connection
from .refusals import Cause, Refusal, status_of

log = logging.getLogger("front")
# Bodies up to this many bytes are read whole first; what tells a request that comes
# again from others is then at hand.
WHOLE_MOST = MAX_HASHED_BODY
# Bytes of bodies that a host holds at a time; a third of the memory that the smallest
# hosts have. What comes on top is refused at once.
HELD_MOST = 64 * 1024 * 1024
RETRY_AFTER_LEAST = 0.05
# Seconds after which a host that has lost the store has likely heard of a new key.
KEYS_PAUSE = 0.5
# Seconds after the call to leave for which requests are still taken. Callers come for
# three seconds until the balancer has turned away; a long upload that is taken last
# would outlast the grace and be cut.
DRAIN_ACCEPT_TIME = 2.9


class Caller:
    """A caller's connection, as far as the relay must know of it."""

    def __init__(self, request):
        self._request = request

    def is_gone(self):
        """Return whether the caller has closed its connection."""
        transport = self._request.transport
        return transport is None or transport.is_closing()


class Front:
    """
    The state of the callers' listener.

    Args:
      knowledge: The `HostState`.
      relay: The `Relay`.
      metrics: The `EdgeMetrics`.
    """

    def __init__(self, knowledge, relay, metrics):
        self._knowledge = knowledge
        self._relay = relay
        self._metrics = metrics
        self._held = 0
        self._orders = set()
        self._busy = set()
        self._left_at = None

    def drain(self):
        """Take requests for a while only, and close connections after their answers."""
        self._left_at = now()

    @property
    def is_draining(self):
        """Whether the host was told to leave."""
        return self._left_at is not None

    @property
    def in_flight(self):
        """How many requests are under way."""
        return len(self._busy)

    def is_busy(self, transport):
        """Return whether a request is under way on a connection."""
        return transport in self._busy

    def note_slow_head(self):
        """Log and count a connection that ended with half a head."""
        log.info("refused", extra={"cause": Cause.HEAD_TOO_SLOW.value})
        self._metrics.refusals.inc({"cause": Cause.HEAD_TOO_SLOW.value})

    async def handle(self, request):
        """Answer one request."""
        started = now()
        transport = request.transport
        if transport is None or transport.is_closing():
            # Read in the moment in which the connection was closed: nobody can get
            # an answer any more, so the request is not passed on.
            return web.Response(status=503)
        self._busy.add(transport)
        try:
            answer = await self._answer(request, started)
            return await self._respond(request, answer)
        finally:
            self._busy.discard(transport)
            self._metrics.seconds.observe({}, now() - started)

    async def _answer(self, request, started):
        """Return a `Reply` or a `Refusal`."""
        cfg = self._knowledge.cfg
        if self.is_draining and started - self._left_at > DRAIN_ACCEPT_TIME:
            return self._refuse(request, Cause.LEAVING, 0.0)
        if not self._knowledge.is_complete:
            return self._refuse(request, Cause.NO_CONFIGURATION, 0.5)
        size = sum(len(k) + len(v) + 4 for k, v in request.raw_headers)
        if size > cfg.limits.header_bytes:
            return self._refuse(request, Cause.HEADERS_TOO_LARGE)
        route = find_route(
            self._knowledge.route_table,
            request.headers.get("Host", ""),
            request.raw_path,
        )
        if route is None:
            return self._refuse(request, Cause.NO_ROUTE)
        workspace, refusal = self._identify(request, route, started)
        if refusal is not None:
            return refusal
        # As of now: another version may come into force while the body is read.
        owner = Owner(bool(cfg.workspaces), workspace)
        request_id = request.headers.get(wire.REQUEST_ID)
        if not request_id:
            return self._refuse(request, Cause.NO_REQUEST_ID)
        limit = _read_time(request.headers.get(wire.TIME_LEFT), route.timeout)
        if limit is None:
            return self._refuse(request, Cause.BAD_TIME)
        length = request.content_length
        if length is not None and length > cfg.limits.body_bytes:
            return self._refuse(request, Cause.BODY_TOO_LARGE)
        self._metrics.requests.inc({"kind": route.kind.value})
        decision = self._knowledge.admit(workspace, started)
        if not decision.is_admitted:
            return self._refuse_over_limit(request, workspace, decision)
        answer = await self._take(request, route, owner, request_id, started, limit)
        if isinstance(answer, Refusal) and not answer.may_have_run:
            self._knowledge.shared.quotas.release(workspace, now())
        return answer

    def _refuse_over_limit(self, request, workspace, decision):
        return self._refuse(
            request,
            Cause.OVER_LIMIT,
            decision.retry_after,
            workspace=workspace.name,
            rate=workspace.rate,
            burst=workspace.burst,
            left=decision.remaining,
            demand=decision.demand,
            part=decision.reachable_share,
            silent=decision.unreachable_hosts,
        )

    def _identify(self, request, route, at):
        """
        Return a request's `Workspace`, None for nobody's, and a `Refusal` or None.

        A key that this host does not know may be one that was given a moment ago. Only
        a host that knows what the store says by now may call it unknown, since a
        caller does not come again after that.
        """
        if not self._knowledge.cfg.workspaces:
            return None, None
        key = read_key(request.raw_headers)
        digest = None if key is None else digest_of(key)
        workspace = self._knowledge.workspaces_by_key.get(digest)
        if workspace is not None or route.is_public:
            return workspace, None
        fields = {"key": short_digest(digest) if digest else None}
        age = self._knowledge.configuration_age(at)
        fields["age"] = round(age, 2)
        if key is None or age <= self._knowledge.settings.bounds.apply:
            return None, self._refuse(request, Cause.UNKNOWN_KEY, **fields)
        return None, self._refuse(request, Cause.KEYS_OUTDATED, KEYS_PAUSE, **fields)

    async def _take(self, request, route, owner, request_id, started, limit):
        """Read the body, or its first part, and run the request."""
        taken = 0
        deadline = started + limit
        try:
            room = HELD_MOST - self._held
            expected = min(WHOLE_MOST, request.content_length or 0)
            if expected > room:
                return self._refuse(request, Cause.MEMORY_FULL, 0.5)
            taken = expected
            self._held += taken
            body, is_whole = b"", True
            if request.can_read_body:
                async with asyncio.timeout(limit):
                    body, is_whole = await _read_first(request.content)
            self._held += len(body) - taken
            taken = len(body)
            if len(body) > self._knowledge.cfg.limits.body_bytes:
                return self._refuse(request, Cause.BODY_TOO_LARGE)
            ask = self._make_ask(
                request, route, owner, request_id, started, deadline, body, is_whole
            )
            return await self._run(ask)
        except TimeoutError:
            return self._refuse(request, Cause.BODY_TOO_SLOW)
        except web.RequestPayloadError:
            return self._refuse(request, Cause.BODY_BROKEN)
        finally:
            self._held -= taken

    def _make_ask(
        self, request, route, owner, request_id, started, deadline, body, is_whole
    ):
        rest_most = self._knowledge.cfg.limits.body_bytes - len(body)
        service = choose_service(route, self._knowledge.rng)
        return Ask(
            request_id.encode("latin-1"),
            request.method,
            request.raw_path,
            request.raw_headers,
            body,
            None if is_whole else _read_rest(request.content, rest_most),
            len(body) if is_whole else request.content_length,
            route,
            service,
            started,
            deadline,
            Caller(request),
            owner,
            self._knowledge.urgency(service, route, owner.workspace),
        )

    async def _run(self, ask):
        """
        Run a request; one that must not repeat runs on when its caller leaves.

        The library cancels a handler whose caller has gone. For idempotent requests
        that is right, since nobody waits for the work. An order that is under way is
        left to end, and what became of it is logged.
        """
        if ask.route.kind.is_idempotent:
            return await self._relay.run(ask)
        task = asyncio.get_running_loop().create_task(self._relay.run(ask))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        return await asyncio.shield(task)

    def _refuse(self, request, cause, pause=None, **fields):
        log.info(
            "refused",
            extra={
                "request": request.headers.get(wire.REQUEST_ID),
                "cause": cause.value,
                "target_host": request.headers.get("Host"),
                "path": request.raw_path,
                "version": self._knowledge.cfg.version if self._knowledge.cfg else None,
                **fields,
            },
        )
        self._metrics.refusals.inc({"cause": cause.value})
        return Refusal(cause, False, pause)

    async def _respond(self, request, answer):
        """Turn an answer into the caller's response."""
        if isinstance(answer, Reply):
            if answer.rest is not None:
                return await self._stream(request, answer)
            headers = _pass_headers(answer.headers)
            resp = web.Response(status=answer.status, body=answer.body, headers=headers)
        else:
            resp = _make_refusal(request, answer)
        if not request.content.is_eof():
            # The rest of the body would be taken for the next request.
            resp.force_close()
        if self.is_draining:
            resp.force_close()
        return resp

    async def _stream(self, request, answer):
        """Pass a long answer on; if it breaks off, cut the caller's connection."""
        resp = web.StreamResponse(
            status=answer.status, headers=_pass_headers(answer.headers)
        )
        length = dict((k.lower(), v) for k, v in answer.headers).get(b"content-length")
        if length is not None:
            resp.content_length = int(length)
        else:
            resp.enable_chunked_encoding()
        if self.is_draining:
            resp.force_close()
        is_whole = False
        try:
            await resp.prepare(request)
            await resp.write(answer.body)
            while True:
                part = await answer.rest.read()
                if part is None:
                    break
                if not part:
                    is_whole = True
                    break
                await resp.write(part)
        finally:
            answer.rest.close()
        if is_whole:
            await resp.write_eof()
        else:
            log.warning(
                "answer broke off",
                extra={"request": request.headers.get(wire.REQUEST_ID)},
            )
            if request.transport is not None:
                request.transport.abort()
        return resp


def _read_time(text, most):
    """Return the seconds that a request may take, or None if the text is no number."""
    if text is None:
        return most
    if not text.isdigit() or len(text) > 9:
        return None
    return min(int(text) / 1000, most)


async def _read_first(content):
    """Return the first part of a body, and whether that is all of it."""
    parts = bytearray()
    while len(parts) <= WHOLE_MOST:
        part = await content.readany()
        if not part:
            return bytes(parts), True
        parts += part
    return bytes(parts), False


async def _read_rest(content, most):
    """
    Yield the parts of a long body that follow the first one.

    A body without a length shows only here that it is larger than allowed. Part of it
    is at the target by then, so its connection is cut like that of a broken upload.
    """
    while part := await content.readany():
        most -= len(part)
        if most < 0:
            raise web.RequestPayloadError("body larger than the limit")
        yield part


def _pass_headers(pairs):
    """Return the headers of a target's answer that go to the caller."""
    named = named_by_connection(pairs)
    headers = CIMultiDict()
    for name, value in pairs:
        lower = name.lower()
        text = lower.decode("latin-1")
        if text in HOP_BY_HOP or text == "content-length" or lower in named:
            continue
        headers.add(name.decode("latin-1"), value.decode("latin-1"))
    return headers


def _make_refusal(request, refusal):
    """Return the response for a refusal."""
    status = status_of(refusal)
    resp = web.json_response({"error": refusal.cause.value}, status=status)
    if status in (429, 503):
        pause = max(RETRY_AFTER_LEAST, refusal.pause or 0.0)
        resp.headers[wire.RETRY_AFTER] = f"{pause:.2f}"
    if status == 401:
        resp.headers["WWW-Authenticate"] = "Bearer"
    if request.headers.get(wire.REQUEST_ID):
        resp.headers[wire.REQUEST_ID] = request.headers[wire.REQUEST_ID]
    return resp
