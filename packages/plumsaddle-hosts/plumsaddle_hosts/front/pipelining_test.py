"""
Tests of connections with several requests, which also guard the use of aiohttp's
private attributes: a handler that waits until the test lets it go, behind real sockets.
"""

import asyncio
import functools

import pytest
from aiohttp import web
from aiohttp.base_protocol import BaseProtocol
from aiohttp.web_protocol import RequestHandler

from plumsaddle_core.core.traffic import PipelineLimits

from .caller_transport import LINGER_TIME
from .pipelining import CallerHooks, CallerServer, position_of, wait_for_turn

LIMITS = PipelineLimits(requests_per_connection=4)
LARGE = b"z" * 4_000_000


class Service:
    """
    A server whose handlers wait, and a connection to it.

    The path of a request is what its handler does: `/3` answers "3" once `let_go(3)`
    was called, `/act-3` isn't repeatable, `/close` closes, `/fail` raises, `/large`
    streams a long response, and `/early` a short one before it reads the body.
    """

    def __init__(self, limits=LIMITS):
        loop = asyncio.get_running_loop()
        self.is_draining = False
        self.begun, self.cancelled, self.positions = [], [], []
        self._gates = {}
        hooks = CallerHooks(
            self._handle,
            lambda message: not message.path.startswith("/act"),
            lambda: self.is_draining,
            loop.time,
        )
        self.server = CallerServer(hooks, limits, 2.0, access_log=None)
        self.reader = self.writer = self.status = None

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self.server, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]
        self.reader, self.writer = await self.connect()
        return self

    async def __aexit__(self, *exc_info):
        self.writer.close()
        self._listener.close()
        await self.server.shutdown(0.1)

    async def connect(self):
        """Open one more connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def _handle(self, request):
        path = request.path[1:]
        self.begun.append(path)
        self.positions.append(position_of(request))
        try:
            if path in ("large", "early"):
                return await self._stream(request, LARGE if path == "large" else b"z")
            if path == "fail":
                raise ValueError
            if path != "close":
                await self._gate(path).wait()
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        body = b"" if path == "close" else await request.read()
        response = web.Response(text=path + body.decode())
        if path == "close":
            response.force_close()
        return response

    async def _stream(self, request, body):
        response = web.StreamResponse()
        response.content_length = len(body)
        await wait_for_turn(request)
        if request.protocol.ends_after_turn():
            response.force_close()
        await response.prepare(request)
        await response.write(body)
        return response

    def _gate(self, path):
        return self._gates.setdefault(path, asyncio.Event())

    def let_go(self, *paths):
        """Let handlers answer."""
        for path in paths:
            self._gate(path).set()

    def send(self, *paths, more=b""):
        """Send requests in one write."""
        self.writer.write(b"".join(_get(path) for path in paths) + more)

    async def read(self):
        """Return the body of the next response, or None at the end."""
        try:
            head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 2.0)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        self.status = int(head.split()[1])
        lines = head.decode().lower().split("\r\n")
        sizes = [line for line in lines if line.startswith("content-length: ")]
        body = await self.reader.readexactly(int(sizes[0].split()[1]))
        return body.decode() + (" close" if "connection: close" in lines else "")


def _get(path, more=b""):
    return b"GET /%b HTTP/1.1\r\nHost: a\r\n%b\r\n" % (path.encode(), more)


def with_service(test):
    """Run a test with a `Service` in a loop of its own."""

    async def run_in_loop():
        async with Service() as service:
            await asyncio.wait_for(test(service), 10.0)

    @functools.wraps(test)
    def run():
        asyncio.run(run_in_loop())

    # pytest must not take the service for a fixture.
    del run.__wrapped__
    return run


async def settle():
    """Let the loop take in what was sent."""
    await asyncio.sleep(0.05)


def test_aiohttp_has_what_connections_use_of_it():
    """Guards against a release of aiohttp without the attributes that are private."""
    attributes = {"_messages", "_request_factory", "_request_handler", "_task_handler"}
    assert attributes <= set(RequestHandler.__slots__)
    assert "_buffer_paused" in BaseProtocol.__slots__
    assert callable(BaseProtocol._pause_reading_for_buffer)
    assert callable(BaseProtocol._resume_reading_for_buffer)
    assert callable(RequestHandler._resume_reading_if_drained)


@with_service
async def test_responses_leave_in_the_order_of_their_requests(service):
    """Guards against a response that a caller takes for another request's."""
    service.send("1", "2", "3")
    await settle()
    assert service.begun == ["1", "2", "3"]
    assert service.positions == [0, 1, 2]
    service.let_go("3", "2")
    await settle()
    service.let_go("1")
    assert [await service.read() for _ in range(3)] == ["1", "2", "3"]
    assert service.server.pipelines.requests == 0
    assert service.server.pipelines.bytes == 0


@with_service
async def test_an_order_begins_in_its_turn_and_holds_up_what_is_behind(service):
    """Guards against an order whose response can't be delivered."""
    service.send("1", "act-2", "3")
    await settle()
    assert service.begun == ["1"]
    service.let_go("1")
    assert await service.read() == "1"
    await settle()
    assert service.begun == ["1", "act-2"]
    service.let_go("act-2")
    await settle()
    assert service.begun == ["1", "act-2", "3"]
    service.let_go("3")
    assert [await service.read() for _ in range(2)] == ["act-2", "3"]


@pytest.mark.parametrize(
    "closing", [_get("close"), _get("fail"), _get("1", b"Connection: close\r\n")]
)
def test_nothing_runs_behind_a_response_that_closes(closing):
    """Guards against requests that run and are sent again by their callers."""

    async def run():
        async with Service() as service:
            service.send("0", more=closing + _get("2") + _get("act-3"))
            service.let_go("1", "2", "act-3")
            await settle()
            service.let_go("0")
            assert await service.read() == "0"
            assert (await service.read()).endswith(" close")
            assert await service.read() is None
            assert "act-3" not in service.begun
            assert service.server.pipelines.requests == 0

    asyncio.run(run())


@with_service
async def test_what_runs_behind_a_closing_response_is_cancelled_at_once(service):
    """Guards against targets at work for a connection that will close."""
    service.send("0", "1", "2")
    await settle()
    service.send("close", "4")
    await settle()
    service.let_go("1")
    await settle()
    assert not service.cancelled
    service.let_go("0", "2")
    answers = [await service.read() for _ in range(4)]
    assert answers == ["0", "1", "2", "close close"]
    assert "4" not in service.begun


@with_service
async def test_a_malformed_request_does_not_cost_those_before_it(service):
    """Guards against a 400 for good requests that arrived in the same packet."""
    service.send("1", "2", more=b"NO REQUEST\r\n\r\n" + _get("3"))
    await settle()
    service.let_go("1", "2", "3")
    assert [await service.read() for _ in range(2)] == ["1", "2"]
    assert "Invalid method" in await service.read()
    assert service.status == 400
    assert await service.read() is None
    assert service.begun == ["1", "2"]


@with_service
async def test_bodies_belong_to_their_requests(service):
    """Guards against a body that is taken for the next request."""
    post = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n\r\n\r\nGET /"
    chunked = (
        b"POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n"
    )
    data = post % b"1" + post % b"2" + chunked + _get("4")
    service.let_go("1", "2", "3", "4")
    for size in (len(data), 1, 7, 64):
        for start in range(0, len(data), size):
            service.writer.write(data[start : start + size])
            await asyncio.sleep(0)
        answers = [await service.read() for _ in range(4)]
        assert answers == ["1\r\n\r\nGET /", "2\r\n\r\nGET /", "3abc", "4"]


@with_service
async def test_a_hundred_requests_run_a_few_at_a_time(service):
    """Guards against one caller that occupies a host, or a connection that stalls."""
    paths = [str(number) for number in range(100)]
    service.send(*paths)
    await settle()
    assert service.begun == paths[:4]
    for number, path in enumerate(paths):
        service.let_go(path)
        assert await service.read() == path
        await asyncio.sleep(0)
        assert len(service.begun) <= number + 5


@with_service
async def test_all_ends_when_a_caller_leaves_that_is_not_read(service):
    """Guards against work for a caller whose further requests hide that it left."""
    service.send(*(str(number) for number in range(50)))
    await settle()
    service.writer.close()
    await asyncio.sleep(0.4)
    assert sorted(service.cancelled) == service.begun == ["0", "1", "2", "3"]
    assert service.server.pipelines.requests == 0


@with_service
async def test_draining_answers_what_was_read_and_closes_with_the_last(service):
    """Guards against requests that a host read before its shutdown and then drops."""
    service.send("1", "2", "act-3")
    await settle()
    service.is_draining = True
    service.let_go("1")
    assert await service.read() == "1"
    service.send("4")
    service.let_go("2", "act-3", "4")
    answers = [await service.read() for _ in range(3)]
    assert answers == ["2", "act-3 close", None]
    assert "4" not in service.begun


@with_service
async def test_a_reader_that_stalls_holds_up_its_own_connection_only(service):
    """Guards against a slow reader that delays other callers."""
    service.send("large", "1", "2")
    service.let_go("1", "2", "3")
    await settle()
    assert service.begun == ["large", "1", "2"]
    reader, writer = await service.connect()
    writer.write(_get("3"))
    assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert len(await service.read()) == len(LARGE)
    assert [await service.read() for _ in range(2)] == ["1", "2"]


@with_service
async def test_a_streamed_response_waits_for_its_turn(service):
    """Guards against a long response in the middle of another one."""
    service.send("1", "large", "2")
    await settle()
    service.let_go("1", "2")
    assert await service.read() == "1"
    assert len(await service.read()) == len(LARGE)
    assert await service.read() == "2"


def test_connections_share_the_room_of_a_host():
    """Guards against a connection that never progresses while others use all room."""

    async def run():
        limits = PipelineLimits(requests_per_connection=8, requests_per_host=2)
        async with Service(limits) as service:
            service.send("1", "2", "3", "4")
            await settle()
            assert service.begun == ["1", "2", "3"]
            reader, writer = await service.connect()
            writer.write(_get("5") + _get("6"))
            await settle()
            assert service.begun == ["1", "2", "3", "5"]
            service.let_go("1", "2", "3", "4", "5", "6")
            assert [await service.read() for _ in range(4)] == list("1234")
            for _ in range(2):
                await reader.readuntil(b"\r\n\r\n")
            writer.close()

    asyncio.run(run())


async def _send_on(writer, seconds, data=b"x" * 1000):
    """Send further data for some seconds; return whether the connection was open."""
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        try:
            writer.write(data)
            await writer.drain()
        except ConnectionError:
            return False
        await asyncio.sleep(0.02)
    return not writer.transport.is_closing()


@pytest.mark.parametrize(
    "request_head",
    [
        b"NO REQUEST\r\n\r\n",
        _get("close"),
        _get("fail"),
        b"POST /close HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n",
        b"POST /close HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Content-Length: 9000000\r\n\r\n",
        b"POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n",
    ],
)
def test_a_caller_that_sends_on_receives_a_response_that_closes(request_head):
    """Guards against a reset that takes back a response that wasn't read yet."""

    async def run():
        async with Service() as service:
            service.writer.write(request_head)
            assert await _send_on(service.writer, 0.6)
            assert await service.read() is not None
            assert await service.read() is None

    asyncio.run(run())


@with_service
async def test_a_connection_lingers_for_a_bounded_time(service):
    """Guards against connections that are kept by callers that never close."""
    service.send("close")
    assert await service.read() == "close close"
    assert len(service.server.connections) == 1
    await asyncio.sleep(LINGER_TIME + 0.4)
    assert not service.server.connections


@with_service
async def test_a_connection_that_its_caller_ends_is_closed_at_once(service):
    """Guards against descriptors for callers that have said that they are done."""
    service.send(more=_get("1", b"Connection: close\r\n"))
    service.let_go("1")
    assert await service.read() == "1 close"
    await settle()
    assert not service.server.connections


@with_service
async def test_an_idle_connection_is_closed_without_reading_on(service):
    """Guards against reading a request that crosses the close and has no response."""
    service.send("1")
    service.let_go("1", "2")
    assert await service.read() == "1"
    (conn,) = service.server.connections
    conn.force_close()
    service.send("2")
    assert await service.read() is None
    assert service.begun == ["1"]
    assert not service.server.connections


@with_service
async def test_a_response_before_the_body_has_ended_says_that_it_closes(service):
    """Guards against a caller whose next request goes to a connection that closes."""
    head = b"POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
    service.writer.write(head)
    assert await service.read() == "z close"
    assert await service.read() is None
    reader, writer = await service.connect()
    service.reader, service.writer = reader, writer
    service.writer.write(head + b"123456789")
    assert await service.read() == "z"


@with_service
async def test_nothing_is_kept_of_what_is_behind_a_closing_response(service):
    """Guards against memory for callers that send on while a connection lingers."""
    service.send("close", *(str(number) for number in range(2000)))
    assert await service.read() == "close close"
    (conn,) = service.server.connections
    service.send("1", "2")
    await settle()
    behind = len(b"".join(_get(str(number)) for number in range(2000)))
    held = len(conn._unread) + sum(len(m.path) for m, _ in conn._messages)
    assert held == 0
    assert conn.log_fields()["ignored"] > 0.9 * behind
