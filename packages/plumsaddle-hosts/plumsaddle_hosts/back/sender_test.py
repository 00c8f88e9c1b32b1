"""
What the HTTP library does on its own, and the guards that keep it from harm.

Each test has a raw target that misbehaves on the wire. The tests of the bare
library show the misbehaviour that the guard next to them is for.
"""

import asyncio
import contextlib
import time

import aiohttp
import pytest
from multidict import CIMultiDict

from plumsaddle_core.core.data import FailureKind, Service, Target

from .sender import Outgoing, Progress, make_session, send

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


def make_service(**changes):
    target = Target("t-1", "127.0.0.1:1", "x")
    service = Service("s", 1, 4, 44, (target,), stall_timeout=0.3)
    return service._replace(**changes)


@contextlib.asynccontextmanager
async def raw_target(answer):
    """Serve connections with a coroutine function that gets the raw streams."""
    tasks = set()

    async def on_connection(reader, writer):
        tasks.add(asyncio.current_task())
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await answer(reader, writer)
        writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()


async def send_one(session, address, method="GET", **changes):
    loop = asyncio.get_running_loop()
    service = make_service(**changes)
    outgoing = Outgoing(method, "/x", CIMultiDict(), None, loop.time() + 2.0)
    progress = Progress(service.stall_timeout)
    return await send(session, address, outgoing, service, progress)


def ask(answer, **changes):
    """Return the result of one request to a raw target."""

    async def run():
        async with raw_target(answer) as address, make_session() as session:
            return await send_one(session, address, **changes)

    return asyncio.run(run())


async def read_head(reader):
    return await reader.readuntil(b"\r\n\r\n")


def number_answers(counter):
    """Answer each request with its number, and answer the first one twice."""

    async def answer(reader, writer):
        while True:
            await read_head(reader)
            counter.append(1)
            number = len(counter)
            writer.write(WHOLE + b"%02d" % number)
            if number == 1:
                await asyncio.sleep(0.05)
                writer.write(WHOLE + b"XX")

    return answer


def test_bare_library_delivers_a_late_answer_to_the_next_caller():
    """
    Clerk B sees clerk A's file.

    The target answers A's request twice, the second time late, and the library
    takes the late answer for the one to B's request on the same connection.
    """

    async def run():
        async with (
            raw_target(number_answers([])) as address,
            aiohttp.ClientSession() as session,
        ):
            bodies = []
            for _ in range(2):
                async with session.get(f"http://{address}/x") as resp:
                    bodies.append(await resp.read())
                await asyncio.sleep(0.1)
            return bodies

    assert asyncio.run(run()) == [b"01", b"XX"]


@pytest.mark.parametrize("pause", [0.0, 0.2])
def test_late_answer_reaches_nobody(pause):
    """
    Clerk B sees clerk A's file, as above; here each try has its own connection.
    """

    async def run():
        async with (
            raw_target(number_answers([])) as address,
            make_session() as session,
        ):
            bodies = []
            for _ in range(3):
                result = await send_one(session, address)
                bodies.append(result.unwrap().body)
                await asyncio.sleep(pause)
            return bodies

    assert asyncio.run(run()) == [b"01", b"02", b"03"]


def close_after_reading(counter):
    """Answer a connection's first request, read the second one and close."""

    async def answer(reader, writer):
        await read_head(reader)
        counter.append(1)
        writer.write(WHOLE + b"ok")
        await read_head(reader)
        counter.append(1)

    return answer


def test_bare_library_sends_again_by_itself():
    """
    An order by PUT runs twice, and nobody counted a retry.

    The target takes the second request on a kept connection and then closes it.
    """
    counter = []

    async def run():
        async with (
            raw_target(close_after_reading(counter)) as address,
            aiohttp.ClientSession() as session,
        ):
            for _ in range(2):
                async with session.put(f"http://{address}/x") as resp:
                    await resp.read()

    asyncio.run(run())
    assert len(counter) == 3


def test_nothing_is_sent_again_by_itself():
    """
    An order by PUT runs twice, as above; here a request reaches a target once.
    """
    counter = []

    async def close_at_once(reader, writer):
        await read_head(reader)
        counter.append(1)

    result = ask(close_at_once, method="PUT")
    assert result.failure().kind is FailureKind.BROKEN
    assert not result.failure().is_unsent
    assert len(counter) == 1


def write_and_close(data):
    async def answer(reader, writer):
        await read_head(reader)
        writer.write(data)
        await writer.drain()

    return answer


HALVES = {
    "short body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
    "cut chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
    "no last chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
    "cut head": b"HTTP/1.1 200 OK\r\nContent-Le",
}


@pytest.mark.parametrize("name", HALVES)
def test_half_answers_are_broken(name):
    result = ask(write_and_close(HALVES[name]))
    assert result.failure().kind is FailureKind.BROKEN


UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhalf of the ans"


def test_answer_without_a_length_is_not_taken_for_whole():
    """
    A notary gets half a file that looks complete.

    The answer has no length, so the connection's end is its end, also when the
    target died half way. The library can't tell.
    """
    result = ask(write_and_close(UNFRAMED))
    assert result.failure().kind is FailureKind.UNFRAMED


def test_answer_without_a_length_passes_where_operators_allow_it():
    result = ask(write_and_close(UNFRAMED), close_delimited=True)
    assert result.unwrap().body == b"half of the ans"


def test_stalled_answer_is_given_up():
    async def stall(reader, writer):
        await read_head(reader)
        writer.write(HALVES["short body"])
        await asyncio.sleep(30)

    assert ask(stall).failure().kind is FailureKind.STALLED


@pytest.mark.parametrize("limit", ["overdue_at", "deadline"])
def test_an_answer_that_waits_to_be_read_is_in_time(limit):
    """Guards against a target blamed while its host did not run."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WHOLE + b"ok")
        time.sleep(0.3)

    async def run():
        async with raw_target(answer) as address, make_session() as session:
            due_at = asyncio.get_running_loop().time() + 0.2
            outgoing = Outgoing("GET", "/x", CIMultiDict(), None, due_at + 2.0)
            outgoing = outgoing._replace(**{limit: due_at})
            return await send(session, address, outgoing, make_service(), Progress(2.0))

    assert asyncio.run(run()).unwrap().body == b"ok"


def test_refused_connection_is_certainly_unsent():
    async def run():
        async with make_session() as session:
            return await send_one(session, "127.0.0.1:9")

    trouble = asyncio.run(run()).failure()
    assert trouble.kind is FailureKind.CONNECT
    assert trouble.is_unsent


def test_long_answer_is_handed_on_before_its_end():
    body = b"x" * 5000
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"
    result = ask(write_and_close(head + body), buffer_bytes=100)
    answer = result.unwrap()
    assert answer.rest is not None
    assert len(answer.body) > 100


@pytest.mark.parametrize("more", [b"Content-Length: 0\r\n", b"Transfer-Encoding: chu"])
def test_a_head_that_breaks_off_is_broken(more):
    """Guards against a whole answer for a target that closed within its head."""
    head = WHOLE.partition(b"Content-Length")[0] + more
    for end in range(len(head) + 1):
        result = ask(write_and_close(head[:end]))
        assert result.failure().kind is FailureKind.BROKEN, head[:end]


@pytest.mark.parametrize(
    "begin, piece",
    [
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 1000),
        (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 150),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X: y\r\n" * 150,
        ),
    ],
)
def test_a_head_without_end_is_broken(begin, piece):
    """Guards against heads and trailers that are held without a limit."""

    async def answer(reader, writer):
        await read_head(reader)
        writer.write(begin)
        while True:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)

    assert ask(answer).failure().kind is FailureKind.BROKEN


def test_interim_answers_without_end_are_broken():
    """Guards against a host that keeps what a target sends until its deadline."""

    async def answer(reader, writer):
        await read_head(reader)
        while True:
            writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 5000)
            await writer.drain()

    began = time.monotonic()
    assert ask(answer).failure().kind is FailureKind.BROKEN
    assert time.monotonic() - began < 1.0


def test_a_few_interim_answers_are_skipped():
    """Guards against a limit that breaks sound answers."""

    async def answer(reader, writer):
        await read_head(reader)
        writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20 + WHOLE + b"ok")
        await writer.drain()

    assert ask(answer).unwrap().body == b"ok"
