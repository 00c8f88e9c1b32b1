"""
Large responses through hosts: slow readers, cuts, callers that leave, shutdown.
"""

import asyncio
import contextlib
import signal
import socket
import time

import aiohttp
import pytest

from plumsaddle_core.transfers.byte_budget import MIN_READ
from plumsaddle_hosts.edge.clock import now

from .host_process import HostProcess
from .pipelining import Pipe, request_bytes
from .trial import (
    DOWNLOADS,
    HOST_NAME,
    KINDS,
    OPERATOR,
    Trial,
    configuration,
    in_loop,
    until,
)
from .worker import LONG_BODY, Mode

READERS = 40
RECEIVE_BUFFER = 4096
ROUTES = {**KINDS, **DOWNLOADS}


@contextlib.asynccontextmanager
async def _downloads(targets=2, timeout=6.0, mode=Mode.LONG, **options):
    """Start a trial with a service whose responses are large."""
    services = ("look", "file")
    async with Trial(services=services, targets=targets, **options) as trial:
        trial.store.put(OPERATOR, "config", configuration(2, timeout, ROUTES))
        for host in trial.hosts:
            await until(lambda host=host: host.knowledge.is_scheduling)
        trial.set_mode("file", mode)
        yield trial


@contextlib.asynccontextmanager
async def _process(trial, folder):
    """Start a host with 200 MB of memory as a process."""
    with open(folder / "log", "wb") as log:
        host = HostProcess(folder, trial.store_address, log=log)
        host.write_settings(grace=5)
        host.path.write_text("memory_mb = 200\n" + host.path.read_text())
        await host.start()
        try:
            while not await host.is_ready(trial.session):
                await asyncio.sleep(0.05)
            yield host
        finally:
            await host.kill()


async def _connect_slow(address, request_id, left=6000):
    """Send a request, and return a connection that takes little unless it is read."""
    ip, port = address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BUFFER)
    writer.write(
        f"GET /file/a HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {left}\r\n\r\n".encode()
    )
    return reader, writer


async def _read_all(reader):
    """Read what is left of a connection, and return the number of bytes."""
    size = 0
    with contextlib.suppress(ConnectionError):
        while part := await reader.read(65536):
            size += len(part)
    return size


def _held(trial):
    return trial.hosts[0].knowledge.downloads.budget.held


def _in_flight(trial):
    shared = trial.hosts[0].knowledge.shared
    registry = trial.hosts[0].knowledge.registry
    return sum(shared.in_flight(t.incarnation) for t in registry.targets.values())


@in_loop
async def test_large_responses_are_whole_and_reuse_connections():
    """Guards against a new connection to a target for each large response."""
    async with _downloads(targets=1) as trial:
        for number in range(5):
            status, _, body = await trial.ask("/file/a", f"id-{number}")
            assert (status, body) == (200, LONG_BODY)
        assert trial.workers["file-0"].connections == 1
        assert _held(trial) == 0


@in_loop
async def test_a_cut_response_is_requested_again_before_a_byte_has_gone_out():
    """Guards against a broken response although another target has a whole one."""
    async with _downloads() as trial:
        trial.workers["file-0"].mode = Mode.LONG_CUT
        for number in range(6):
            status, _, body = await trial.ask("/file/a", f"id-{number}")
            assert (status, body) == (200, LONG_BODY)
        trial.set_mode("file", Mode.LONG_CUT)
        status, _, _ = await trial.ask("/file/a", "id-9")
        assert status == 502
        assert _held(trial) == 0


@in_loop
async def test_a_response_that_is_cut_on_its_way_ends_the_connection():
    """Guards against a cut response that looks whole, and against a second send."""
    async with _downloads(mode=Mode.LONG_CUT) as trial:
        trial.hosts[0].knowledge.downloads.budget.limit = 100_000
        with pytest.raises(aiohttp.ClientPayloadError):
            await trial.ask("/file/a", "id-1")
        assert sum(worker.runs["id-1"] for worker in trial.of("file")) == 1
        await until(lambda: _held(trial) == 0 and not _in_flight(trial))


@in_loop
async def test_a_target_that_cuts_a_response_on_its_way_is_blamed():
    """Guards against a target that cuts every response and looks healthy."""
    async with _downloads(targets=1, mode=Mode.HEAD_ONLY) as trial:
        knowledge = trial.hosts[0].knowledge
        target = knowledge.registry.targets["file-0"]
        before = knowledge.shared.failure_probability(target.incarnation, now())
        asking = asyncio.create_task(trial.ask("/file/a", "id-1"))
        await asyncio.sleep(1.0)
        trial.workers["file-0"].stop()
        with pytest.raises(aiohttp.ClientPayloadError):
            await asking
        after = knowledge.shared.failure_probability(target.incarnation, now())
        assert after > before + 0.05


@in_loop
async def test_a_response_beyond_the_budget_is_whole_for_a_caller_that_reads():
    """Guards against callers that get nothing while others do not read."""
    async with _downloads() as trial:
        budget = trial.hosts[0].knowledge.downloads.budget
        budget.limit = 1_000_000
        address = trial.hosts[0].settings.caller_address
        stalled = [await _connect_slow(address, f"s-{n}") for n in range(6)]
        await until(lambda: budget.pause_count > 2)
        trial.workers["file-1"].unread = 0
        status, _, body = await trial.ask("/file/a", "id-1", left=5000)
        assert (status, body) == (200, LONG_BODY)
        assert budget.held <= budget.limit
        for _, writer in stalled:
            writer.transport.abort()
        await until(lambda: budget.held == 0)


@in_loop
async def test_a_stalled_reader_is_cut_at_its_deadline():
    """Guards against bytes that are held for good for callers that never read."""
    async with _downloads() as trial:
        address = trial.hosts[0].settings.caller_address
        reader, _ = await _connect_slow(address, "id-1", left=1000)
        await until(lambda: _held(trial) > len(LONG_BODY) / 2)
        await until(lambda: _held(trial) == 0, 2.0)
        assert await _read_all(reader) < len(LONG_BODY)


@in_loop
async def test_a_response_behind_a_stalled_one_is_dropped_at_its_deadline():
    """Guards against bytes held for requests behind a response that is not read."""
    async with _downloads() as trial:
        address = trial.hosts[0].settings.caller_address
        pipe = Pipe(*await _connect_slow(address, "id-0"))
        pipe.send(request_bytes("/file/a", "id-1", left=1000))
        await until(lambda: _held(trial) > len(LONG_BODY))
        await until(lambda: _held(trial) < len(LONG_BODY), 2.0)
        first, second = [await pipe.receive() for _ in range(2)]
        assert (first.status, first.body) == (200, LONG_BODY)
        assert second.status == 504
        await until(lambda: _held(trial) == 0)
        pipe.close()


@in_loop
async def test_a_caller_that_leaves_ends_its_response_at_the_target():
    """Guards against targets that work on for a caller that has left."""
    async with _downloads(mode=Mode.LONG) as trial:
        trial.hosts[0].knowledge.downloads.budget.limit = MIN_READ
        address = trial.hosts[0].settings.caller_address
        _, writer = await _connect_slow(address, "id-1")
        await until(lambda: any(worker.busy for worker in trial.of("file")))
        await asyncio.sleep(0.2)
        assert _in_flight(trial) == 1
        writer.transport.abort()
        await until(lambda: not any(w.busy for w in trial.of("file")), 0.5)
        await until(lambda: _held(trial) == 0 and not _in_flight(trial), 0.5)


@in_loop
async def test_shutdown_delivers_responses_that_are_read_and_cuts_the_others(tmp_path):
    """Guards against a restart that loses a download, or makes one look whole."""
    async with _downloads(hosts=0) as trial, _process(trial, tmp_path) as host:
        address = f"127.0.0.1:{host.callers}"
        slow, stalled = [await _connect_slow(address, f"id-{n}") for n in range(2)]
        await until(lambda: sum(len(w.done) for w in trial.of("file")) == 2)
        host.signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert await _read_all(slow[0]) > len(LONG_BODY)
        assert await asyncio.wait_for(host.process.wait(), 5.0) == 0
        assert await _read_all(stalled[0]) < len(LONG_BODY)


async def _ask_a_hanging_target(trial, request_id):
    """Let the first target that runs a request hang, and return the response."""

    def ran():
        return [worker for worker in trial.of("file") if worker.runs[request_id]]

    trial.set_mode("file", Mode.HANG)
    asking = asyncio.create_task(trial.ask("/file/a", request_id))
    await until(ran)
    (late,) = ran()
    trial.set_mode("file", Mode.LONG)
    late.mode = Mode.HANG
    return await asking


@in_loop
async def test_a_target_that_begins_late_is_hedged_and_one_that_has_begun_is_not():
    """Guards against two copies of a large response on the host's link."""
    async with _downloads(targets=2) as trial:
        for number in range(3):
            asks = (trial.ask("/file/a", f"id-{number}-{n}") for n in range(6))
            await asyncio.gather(*asks)
        status, _, body = await _ask_a_hanging_target(trial, "late-0")
        assert (status, body) == (200, LONG_BODY)
        assert sum(w.runs["late-0"] for w in trial.of("file")) == 2
        for number in (1, 2):
            status, _, body = await trial.ask("/file/a", f"late-{number}")
            assert (status, body) == (200, LONG_BODY)
        trial.set_mode("file", Mode.HEAD_ONLY)
        request_id = "begun"
        asking = asyncio.create_task(trial.ask("/file/a", request_id, left=900))
        await asyncio.sleep(0.45)
        assert sum(w.runs[request_id] for w in trial.of("file")) == 1
        await asyncio.gather(asking, return_exceptions=True)


def _rss(process):
    """Return the peak resident memory of a process, in bytes."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


async def _p99(trial, host, count=300):
    """Return the 99th percentile of the seconds of short requests."""
    url = f"http://127.0.0.1:{host.callers}/look/a"
    seconds = []
    for number in range(count):
        headers = {"Host": HOST_NAME, "Request-Id": f"p-{time.monotonic()}-{number}"}
        started = time.perf_counter()
        async with trial.session.get(url, headers=headers) as resp:
            assert resp.status == 200
            await resp.read()
        seconds.append(time.perf_counter() - started)
    return sorted(seconds)[int(count * 0.99)]


@in_loop
async def test_forty_readers_that_stall_harm_nobody(tmp_path):
    """
    Guards against a host that exceeds its memory, slots that targets keep, and short
    responses that wait, because callers do not read.
    """
    async with (
        _downloads(hosts=0, timeout=9.0) as trial,
        _process(trial, tmp_path) as host,
    ):
        await _stall_forty(trial, host)


async def _stall_forty(trial, host):
    before = await _p99(trial, host)
    address = f"127.0.0.1:{host.callers}"
    stalled = [await _connect_slow(address, f"s-{n}", 9000) for n in range(READERS)]
    workers = trial.of("file")
    await until(lambda: sum(len(w.done) for w in workers) >= READERS, 8.0)
    await until(lambda: not any(worker.busy for worker in workers), 1.0)
    during = await _p99(trial, host)
    print(f"p99 {before:.4f} then {during:.4f}, peak {_rss(host.process) / 1e6:.0f} MB")
    assert during <= 2 * before + 0.02
    assert _rss(host.process) < 200e6
    assert not any(worker.unread for worker in workers)
    for _, writer in stalled:
        writer.transport.abort()
