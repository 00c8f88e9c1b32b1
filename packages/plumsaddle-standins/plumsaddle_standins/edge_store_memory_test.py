"""
A platform's store whose responses have no end, and the memory of a host's process.
"""

import asyncio
import contextlib

import pytest

from .host_process import HostProcess
from .process_memory import watch_memory
from .store import Fault
from .trial import KINDS, OPERATOR, Trial, configuration, in_loop

MEMORY_MB = 200
OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
ITEM = b'{"key":"k","value":"","offset":1},' * 500


class FloodingStore:
    """A store that begins each response with the same bytes and goes on for ever."""

    def __init__(self, begin, piece):
        self._begin, self._piece = begin, piece
        self.calls = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            writer.write(self._begin)
            while True:
                writer.write(self._piece)
                await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def _host(folder, store):
    host = HostProcess(folder, store)
    text = host.path.read_text(encoding="utf-8")
    host.path.write_text(f"memory_mb = {MEMORY_MB}\n{text}", encoding="utf-8")
    with open(folder / "log", "w", encoding="utf-8") as log:
        host._log = log
        await host.start()
        try:
            yield host
        finally:
            await host.kill()


@pytest.mark.parametrize(
    "begin, piece",
    [
        (OK + b"\r\n", b"x" * 65536),
        (OK + b"Content-Length: 10000000000\r\n\r\n", b"x" * 65536),
        (CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
        (CHUNKED + b"5;", b"x" * 65536),
        (CHUNKED + b"2\r\n{}\r\n0\r\n", b"X: y\r\n" * 10000),
        (OK + b"\r\n" + b'{"has_more": true, "end": 1, "items": [', ITEM),
        (OK + b"Content-Encoding: deflate\r\n\r\n", b"\0" * 65536),
    ],
    ids=["close", "length", "chunks", "extension", "trailers", "items", "encoded"],
)
@in_loop
async def test_a_response_of_the_store_without_end_does_not_end_a_host(
    tmp_path, begin, piece
):
    """Guards against all hosts of a fleet that are ended for their memory at once."""
    store = FloodingStore(begin, piece)
    server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with _host(tmp_path, address) as host:
        limit = MEMORY_MB * 1_000_000
        assert await watch_memory(host, 2.0, limit * 2) < limit / 2
        assert 1 <= store.calls < 25
    server.close()


@in_loop
async def test_a_host_serves_on_while_responses_of_the_store_have_no_end(tmp_path):
    """Guards against a host that is ended, or does nothing else, for its store."""
    async with (
        Trial(services=("look",), targets=1, hosts=0) as trial,
        _host(tmp_path, trial.store_address) as host,
    ):
        async with asyncio.timeout(5):
            while not await host.is_ready(trial.session):
                await asyncio.sleep(0.05)
        calls = len(trial.store.calls)
        trial.store.fault = Fault.ENDLESS
        limit = MEMORY_MB * 1_000_000
        assert await watch_memory(host, 1.5, limit * 2) < limit / 2
        assert len(trial.store.calls) - calls < 20
        assert (await _ask(host, trial, "/look/a"))[0] == 200
        trial.store.fault = Fault.NONE
        routes = {**KINDS, "/new/": ("safe", "look")}
        trial.store.put(OPERATOR, "config", configuration(2, routes=routes))
        await asyncio.sleep(2.0)
        assert (await _ask(host, trial, "/new/a"))[0] == 200


async def _ask(host, trial, path):
    """Send a look-up to a host, and return the status and the body."""
    headers = {"Host": "records.example", "Request-Id": path, "Deadline-Ms": "2000"}
    url = f"http://127.0.0.1:{host.callers}{path}"
    async with trial.session.get(url, headers=headers) as resp:
        return resp.status, await resp.read()
