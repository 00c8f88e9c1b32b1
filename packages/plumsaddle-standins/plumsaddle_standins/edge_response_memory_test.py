"""
Many targets that send without end at once, and the memory of a host's process.
"""

import asyncio
import contextlib

import aiohttp
import pytest

from .host_process import HostProcess
from .process_memory import read_peak
from .trial import OPERATOR, Trial, configuration, in_loop
from .worker import Mode

MEMORY_MB = 200
TARGETS = 100
SIGNED = b"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST-ID\r\nResponse-Signature: s\r\n"
CHUNKED = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
LINES = b"X: y\r\n" * 1000


async def _ask(session, host, number):
    headers = {"Host": "records.example", "Request-Id": f"r{number}"}
    url = f"http://127.0.0.1:{host.callers}/act/{number}"
    try:
        async with session.post(url, headers=headers) as resp:
            await resp.read()
            return resp.status
    except aiohttp.ClientError:
        return None


@contextlib.asynccontextmanager
async def _flooded_host(folder, service, begin, piece):
    """Start a host as a process, whose targets send without end."""
    async with Trial(services=(service,), targets=TARGETS, hosts=0) as trial:
        trial.store.put(OPERATOR, "config", configuration(2, timeout=1.0))
        host = HostProcess(folder, trial.store_address)
        text = host.path.read_text(encoding="utf-8")
        host.path.write_text(f"memory_mb = {MEMORY_MB}\n{text}", encoding="utf-8")
        with open(folder / "log", "w", encoding="utf-8") as log:
            host._log = log
            await host.start()
        async with asyncio.timeout(5):
            while not await host.is_ready(trial.session):
                await asyncio.sleep(0.05)
        trial.set_mode(service, Mode.ENDLESS)
        for worker in trial.workers.values():
            worker.endless = begin, piece
        yield trial, host
        await host.kill()


@pytest.mark.parametrize(
    "begin, piece, status",
    [
        (b"HTTP/1.1 200 OK\r\n", LINES, 502),
        (CHUNKED + b"5\r\nwhole\r\n0\r\n", LINES, 502),
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 10000, 502),
        (CHUNKED + b"5;", b"x" * 10000, 502),
        (SIGNED + b"\r\n", b"x" * 10000, None),
        (SIGNED + b"Content-Length: 99999999999\r\n\r\n", b"x" * 10000, None),
    ],
    ids=["lines", "trailers", "line", "extension", "close", "length"],
)
@in_loop
async def test_many_endless_responses_do_not_end_a_host(tmp_path, begin, piece, status):
    """Guards against a host that is ended for its memory by its targets."""
    async with _flooded_host(tmp_path, "act", begin, piece) as (trial, host):
        calls = [_ask(trial.session, host, number) for number in range(TARGETS)]
        statuses = await asyncio.gather(*calls)
        peak = read_peak(host.process.pid)
        assert set(statuses) == {status}
        assert peak < MEMORY_MB * 600_000
