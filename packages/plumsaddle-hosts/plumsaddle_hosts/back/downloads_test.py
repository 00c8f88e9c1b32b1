"""
Tests of large responses on our own interface.
"""

import asyncio
import types

from multidict import CIMultiDict
from returns.result import Failure, Success

from plumsaddle_core.core.data import FailureKind, RequestKind
from plumsaddle_core.transfers.byte_budget import ByteBudget

from .downloads import Download
from .sender import Outgoing, make_session
from .sender_test import make_service, raw_target
from .tries import run_try

SIZE = 900_000


class FakeState:
    """A `ServiceState` that records the ends of its tries."""

    def __init__(self):
        self.service = make_service(stall_timeout=2.0)
        self.ended = []

    def start_try(self, member, kind, now):
        return types.SimpleNamespace(member=member)

    def end_try(self, running, trouble, now):
        self.ended.append(trouble)


def _answer_with(size):
    """Return a target that announces `SIZE` bytes and sends `size`."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
        writer.write(b"x" * size)
        await writer.drain()

    return answer


def _run(limit, check, size=SIZE):
    """Request a large response, and check its `Download`."""

    async def run():
        async with raw_target(_answer_with(size)) as address, make_session() as session:
            tries = types.SimpleNamespace(inc=lambda labels: None)
            host = types.SimpleNamespace(
                session=session,
                budget=ByteBudget(limit),
                metrics=types.SimpleNamespace(tries=tries),
            )
            state = FakeState()
            target = types.SimpleNamespace(id="t", address=address)
            deadline = asyncio.get_running_loop().time() + 5.0
            outgoing = Outgoing("GET", "/x", CIMultiDict(), None, deadline)
            member = types.SimpleNamespace(target=target)
            result = await run_try(host, state, member, RequestKind.DOWNLOAD, outgoing)
            await check(result, state, host.budget)
            assert host.budget.held == 0
            assert len(state.ended) == 1

    asyncio.run(run())


async def _read_all(download, budget):
    """Read to the end, and return the bytes and the last result."""
    size = 0
    while True:
        part = await download.read()
        if isinstance(part, Failure) or not part.unwrap():
            return size, part
        assert budget.held <= budget.limit
        size += len(part.unwrap())
        download.note_sent(len(part.unwrap()))


def test_a_slot_is_free_although_the_caller_does_not_read():
    """Guards against slots that targets keep for stalled callers."""

    async def check(result, state, budget):
        download = result.unwrap().rest
        assert isinstance(download, Download)
        async with asyncio.timeout(2.0):
            while not state.ended:
                await asyncio.sleep(0.01)
        assert (state.ended, budget.held) == ([None], SIZE)
        assert await _read_all(download, budget) == (SIZE, Success(b""))
        download.close(None)

    _run(50_000_000, check)


def test_beyond_the_budget_the_target_is_read_as_the_caller_reads():
    """Guards against a host that exceeds its memory for slow callers."""

    async def check(result, state, budget):
        download = result.unwrap().rest
        await asyncio.sleep(0.1)
        assert not state.ended
        assert 0 < budget.held <= budget.limit
        assert await _read_all(download, budget) == (SIZE, Success(b""))
        download.close(None)

    _run(200_000, check)


def test_a_cut_response_ends_with_a_failure():
    """Guards against a cut response that looks whole."""

    async def check(result, state, budget):
        download = result.unwrap().rest
        _, end = await _read_all(download, budget)
        assert end.failure().kind is FailureKind.BROKEN
        assert state.ended == [FailureKind.BROKEN]
        download.close(end.failure().kind)

    _run(50_000_000, check, SIZE - 1)


def test_a_caller_that_leaves_releases_all():
    """Guards against bytes and slots that stay taken for callers that have left."""

    async def check(result, state, budget):
        result.unwrap().rest.close(None)
        await asyncio.sleep(0)

    _run(200_000, check)
    _run(50_000_000, check)
