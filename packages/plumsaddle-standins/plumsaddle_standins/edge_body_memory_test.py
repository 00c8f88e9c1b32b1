"""
Many bodies of requests at once, and the memory of a host's process.
"""

import asyncio
import contextlib
from collections import Counter
from typing import NamedTuple

import pytest

from plumsaddle_hosts.utils.addresses import split_address

from .host_process import HostProcess
from .pacing import upload_head
from .pipelining import Pipe
from .process_memory import watch_memory
from .trial import OPERATOR, Trial, configuration, in_loop, until

MEMORY_MB = 200
TARGETS = 30
# Seconds of a request's work, and of its caller.
WORK = 1.0
TIME = 6.0


class Result(NamedTuple):
    """What callers got, by status, and the most resident bytes of the host."""

    statuses: Counter
    waits: list
    peak: int


async def _call(host, number, path, size, is_chunked):
    """Send a request with a body, and return the status and the `Retry-After`."""
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
    head = (
        f"POST {path}{number} HTTP/1.1\r\nHost: records.example\r\n"
        f"Request-Id: {path}{number}\r\nDeadline-Ms: {int(TIME * 1000)}\r\n"
        f"{framing}\r\n\r\n"
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
    sending = asyncio.ensure_future(_send(writer, head.encode(), size, is_chunked))
    try:
        async with asyncio.timeout(TIME + 2):
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        sending.cancel()
        writer.close()
    fields = dict(line.split(": ", 1) for line in lines[1:] if line)
    return int(lines[0].split()[1]), fields.get("Retry-After")


async def _send(writer, head, size, is_chunked):
    with contextlib.suppress(ConnectionError):
        writer.write(head)
        for at in range(0, size, 65536):
            part = bytes(min(65536, size - at))
            if is_chunked:
                part = b"%x\r\n%b\r\n" % (len(part), part)
            writer.write(part)
            await writer.drain()
        if is_chunked:
            writer.write(b"0\r\n\r\n")


async def play(folder, count, size, path="/act/", is_chunked=False, work=WORK):
    """Let callers send bodies at once, and return the `Result`."""
    service = path.strip("/")
    async with Trial(services=(service,), targets=TARGETS, hosts=0) as trial:
        for worker in trial.workers.values():
            worker.work = work
        trial.store.put(OPERATOR, "config", configuration(2, timeout=TIME))
        host = HostProcess(folder, trial.store_address)
        text = host.path.read_text(encoding="utf-8")
        host.path.write_text(f"memory_mb = {MEMORY_MB}\n{text}", encoding="utf-8")
        with open(folder / "log", "w", encoding="utf-8") as log:
            host._log = log
            await host.start()
            async with asyncio.timeout(5):
                while not await host.is_ready(trial.session):
                    await asyncio.sleep(0.05)
            calls = [
                asyncio.ensure_future(_call(host, number, path, size, is_chunked))
                for number in range(count)
            ]
            answers = await asyncio.gather(*calls)
            peak = await watch_memory(host, 0.0, MEMORY_MB * 2_000_000)
            await host.kill()
        statuses = Counter(status for status, _ in answers)
        waits = [wait for status, wait in answers if status == 503]
        return Result(statuses, waits, peak)


@pytest.mark.parametrize("is_chunked", [False, True])
@in_loop
async def test_bodies_of_many_callers_do_not_end_a_host(tmp_path, is_chunked):
    """Guards against a host that is ended for its memory, with all of its requests."""
    result = await play(tmp_path, 300, 3_500_000, is_chunked=is_chunked)
    assert result.peak < MEMORY_MB * 800_000
    assert set(result.statuses) == {200, 503}
    assert result.statuses[200] >= 40
    assert all(0 < float(wait) <= 2.0 for wait in result.waits)


UPLOAD = bytes(100_000)


@in_loop
async def test_bodies_of_orders_are_counted_until_the_orders_end():
    """Guards against a host that holds ever more bodies of callers that have left."""
    async with Trial(services=("act",), targets=2) as trial:
        for worker in trial.workers.values():
            worker.work = 1.0
        budget = trial.hosts[0].front.body_budget
        address = split_address(trial.hosts[0].settings.caller_address)
        pipe = await Pipe.open(*address)
        pipe.send(upload_head("/act/a", "id-1", len(UPLOAD)) + UPLOAD)
        await until(lambda: any(w.runs["id-1"] for w in trial.workers.values()))
        pipe.close()
        await asyncio.sleep(0.3)
        assert budget.held >= len(UPLOAD)
        await until(lambda: any(w.done["id-1"] for w in trial.workers.values()))
        await until(lambda: budget.held == 0)


@in_loop
async def test_bodies_that_are_only_announced_take_no_room():
    """Guards against callers that are refused since others announce long bodies."""
    async with Trial(services=("act",)) as trial:
        host = trial.hosts[0]
        host.front.body_budget.limit = 800_000
        address = split_address(host.settings.caller_address)
        pipes = [await Pipe.open(*address) for _ in range(4)]
        for number, pipe in enumerate(pipes):
            pipe.send(upload_head("/act/a", f"announced-{number}", 3_500_000))
        await asyncio.sleep(0.1)
        status, _, _ = await trial.ask("/act/a", "id-1", "POST", UPLOAD)
        assert status == 200
        for pipe in pipes:
            pipe.close()
