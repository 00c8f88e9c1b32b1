"""
Tests of what a connection reads of its caller, behind real sockets.
"""

import asyncio
import contextlib
import re

import pytest
from aiohttp import web

from plumsaddle_core.core.traffic import PipelineLimits

from .pipelining import CallerHooks, CallerServer

HEAD = b"Host: x\r\nX-Number: 1\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\n" + HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TIMEOUT = 5.0


async def _echo(request):
    try:
        body = await request.read()
    except web.RequestPayloadError:
        return web.Response(status=400, text="malformed")
    return web.Response(text=f"{request.method} {request.path} {len(body)}")


async def _exchange(pieces, handle=_echo):
    """Send pieces on one connection, and return what comes back until it closes."""
    loop = asyncio.get_running_loop()
    hooks = CallerHooks(handle, lambda message: True, lambda: False, loop.time)
    server = CallerServer(
        hooks, PipelineLimits(), 2.0, access_log=None, max_field_size=1_000_000
    )
    listener = await loop.create_server(server, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    with contextlib.suppress(ConnectionError):
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
    async with asyncio.timeout(TIMEOUT):
        answer = await reader.read()
    writer.close()
    listener.close()
    await server.shutdown(0.1)
    return answer, server


def _run(pieces, handle=_echo):
    return asyncio.run(_exchange(pieces, handle))


def _statuses(answer):
    return [int(status) for status in re.findall(rb"HTTP/1\.[01] (\d+) ", answer)]


@pytest.mark.parametrize("size", [1, 7, 100_000])
@pytest.mark.parametrize("chunk", [1, 3, 1000, 70_000])
def test_chunked_bodies_are_read_in_whatever_pieces(size, chunk):
    """Guards against bodies that are lost or cut where data is split."""
    body = b"z" * 140_000 if size > 1 else b"z" * 300
    parts = [body[at : at + chunk] for at in range(0, len(body), chunk)]
    wire = CHUNKED + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
    wire += b"0\r\nX: y\r\n\r\n"
    wire += b"\r\nGET /next HTTP/1.1\r\n" + HEAD + b"Connection: close\r\n\r\n"
    answer, _ = _run([wire[at : at + size] for at in range(0, len(wire), size)])
    assert _statuses(answer) == [200, 200]
    assert b"POST /a %d" % len(body) in answer
    assert b"GET /next 0" in answer


@pytest.mark.parametrize(
    "more, status",
    [
        (b"X: " + b"y" * 200_000, 431),
        (b"X: y\r\n" * 40_000, 400),
        (b"".join(b"X-%d: %b\r\n" % (n, b"y" * 9000) for n in range(100)), 431),
    ],
)
def test_heads_beyond_the_limit_are_refused_in_turn(more, status):
    """Guards against heads without end, and answers before those of former requests."""
    first = b"GET /first HTTP/1.1\r\n" + HEAD + b"\r\n"
    second = b"GET /second HTTP/1.1\r\n" + HEAD + more
    answer, server = _run([first, second])
    assert _statuses(answer) == [200, status]
    assert server.heads.held == 0


@pytest.mark.parametrize("line", [b"\r\n", b"\n"])
def test_empty_lines_are_ignored_up_to_a_limit(line):
    """Guards against empty lines without end, and requests that are lost behind one."""
    request = b"GET /a HTTP/1.1\r\n" + HEAD + b"\r\n"
    last = request.replace(HEAD, HEAD + b"Connection: close\r\n")
    answer, _ = _run([line * 20 + request, line * 20, last])
    assert _statuses(answer) == [200, 200]
    answer, _ = _run([request, line * 100_000])
    assert _statuses(answer) == [200, 400]


@pytest.mark.parametrize(
    "body", [b"x\r\n", b"1\r\nxy\r\n", b"0\r\n" + b"X: y\r\n" * 10_000, b"1;" * 5000]
)
def test_malformed_chunks_end_the_body(body):
    """Guards against handlers that wait for a body which can't go on."""
    answer, server = _run([CHUNKED + body, b"x" * 1000])
    assert _statuses(answer) == [400]
    assert sum(server.faults.values()) == 1


def test_nothing_of_a_refused_body_is_kept():
    """Guards against a host that outgrows its memory for bodies that nobody reads."""
    contents = []

    async def refuse(request):
        contents.append(request.content)
        await asyncio.sleep(0.2)
        return web.Response(status=405)

    answer, _ = _run([CHUNKED, b"1\r\nx\r\n" * 50_000], refuse)
    assert _statuses(answer) == [405]
    assert not contents[0]._buffer
