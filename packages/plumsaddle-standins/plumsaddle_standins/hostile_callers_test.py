"""
Hosts as processes, with hostile callers beside ordinary ones.
"""

import asyncio
import contextlib
import resource
from pathlib import Path
from typing import NamedTuple

import aiohttp
import pytest

from .fleet import TRIAL, Fleet
from .host_process import HostProcess
from .hostile_callers import Form, hostile_crowd, make_way
from .process_memory import read_peak
from .trial import HOST_NAME, Trial, in_loop

# The memory of a host's machine, and the most descriptors that its process may open.
MEMORY_MB = 150
MAX_DESCRIPTORS = 256
# Descriptors that callers must leave to everything else.
SPARE_DESCRIPTORS = 16
CALLERS = 60
# More callers than the process may have descriptors.
MANY_CALLERS = 300
# Seconds for which hostile callers press.
SECONDS = 4.0
# Seconds between two ordinary requests, and after which one has no answer.
INTERVAL = 0.2
TIMEOUT = 10.0
BYTES_PER_MEGABYTE = 1_000_000


class Result(NamedTuple):
    """
    What was seen of a host: whether it lives, peaks, and statuses of ordinary requests.

    `during` are those while hostile callers pressed, `after` the one behind them.
    """

    lives: bool
    peak_bytes: int
    peak_descriptors: int
    during: list
    after: int | None


async def _ask(url):
    """Send an ordinary look-up, and return its status, or None without an answer."""
    headers = {"Host": HOST_NAME, "Request-Id": "ordinary", "Deadline-Ms": "3000"}
    timeout = aiohttp.ClientTimeout(TIMEOUT)
    connector = aiohttp.TCPConnector(force_close=True)
    try:
        async with (
            aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
            session.get(url, headers=headers) as resp,
        ):
            await resp.read()
            return resp.status
    except (aiohttp.ClientError, TimeoutError):
        return None


def _count_descriptors(pid):
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


async def _press(process, port, path, way, count):
    """Let hostile callers press on a process, and return the `Result`."""
    url = f"http://127.0.0.1:{port}{path}"
    loop = asyncio.get_running_loop()
    during, descriptors = [], 0

    async def ask_on():
        while True:
            during.append(await _ask(url))
            await asyncio.sleep(INTERVAL)

    async with hostile_crowd(port, way, count):
        asking = asyncio.ensure_future(ask_on())
        end = loop.time() + SECONDS
        while loop.time() < end:
            with contextlib.suppress(OSError):
                descriptors = max(descriptors, _count_descriptors(process.pid))
            await asyncio.sleep(INTERVAL)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
    after = await _ask(url)
    try:
        peak, lives = read_peak(process.pid), True
    except (ValueError, OSError):
        peak, lives = 0, False
    return Result(lives, peak, descriptors, during, after)


def _check(result):
    assert result.lives
    assert result.peak_bytes < MEMORY_MB * BYTES_PER_MEGABYTE
    assert result.peak_descriptors <= MAX_DESCRIPTORS - SPARE_DESCRIPTORS
    assert 200 in result.during
    assert result.after == 200


async def _press_host(folder, form, path, count):
    """Press on a host of the platform's interface."""
    async with Trial(targets=2, hosts=0) as trial:
        host = HostProcess(folder, trial.store_address)
        host.write_settings(head=f"memory_mb = {MEMORY_MB}\n")
        with open(folder / "log", "w", encoding="utf-8") as log:
            host._log = log
            await host.start()
            _limit_descriptors(host.process.pid)
            async with asyncio.timeout(10):
                while not await host.is_ready(trial.session):
                    await asyncio.sleep(0.05)
            try:
                way = make_way(form, path, HOST_NAME)
                return await _press(host.process, host.callers, "/look/a", way, count)
            finally:
                await host.kill()


def _limit_descriptors(pid):
    limits = MAX_DESCRIPTORS, MAX_DESCRIPTORS
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)


@pytest.mark.parametrize("form", Form)
@in_loop
async def test_hostile_callers_do_not_end_a_host(tmp_path, form):
    """Guards against a host that outgrows its memory or hangs for hostile callers."""
    _check(await _press_host(tmp_path, form, "/act/a", CALLERS))


@pytest.mark.parametrize("form", [Form.LARGE_CHUNKS, Form.SMALL_CHUNKS])
@in_loop
async def test_unfinished_uploads_do_not_end_a_host(tmp_path, form):
    """Guards against a host that outgrows its memory for uploads that never end."""
    _check(await _press_host(tmp_path, form, "/up/a", CALLERS))


@pytest.mark.parametrize("form", [Form.SILENT, Form.HALF_HEAD, Form.LARGE_CHUNKS])
@in_loop
async def test_many_connections_leave_descriptors_to_a_host(tmp_path, form):
    """Guards against a host without descriptors for its ordinary callers."""
    _check(await _press_host(tmp_path, form, "/act/a", MANY_CALLERS))


def _press_own(folder, form, path, method, count):
    """Press on a host of the product's own interface."""
    fleet = Fleet(folder, TRIAL)
    try:
        fleet.start(hosts=1)
        entry = fleet.entries[0]
        _limit_descriptors(entry.process.pid)
        port = int(entry.callers.rpartition(":")[2])
        way = make_way(form, path, HOST_NAME, method)
        return asyncio.run(_press(entry.process, port, "/look/a", way, count))
    finally:
        fleet.stop()


@pytest.mark.parametrize("form", Form)
def test_hostile_callers_do_not_end_a_host_of_our_own_interface(tmp_path, form):
    """Guards against a host that outgrows its memory or hangs for hostile callers."""
    _check(_press_own(tmp_path, form, "/act/a", "POST", CALLERS))


@pytest.mark.parametrize("form", [Form.LARGE_CHUNKS, Form.SMALL_CHUNKS])
def test_unfinished_uploads_do_not_end_a_host_of_our_own_interface(tmp_path, form):
    """Guards against a host that outgrows its memory for uploads that never end."""
    _check(_press_own(tmp_path, form, "/load/a", "PUT", CALLERS))


@pytest.mark.parametrize("form", [Form.SILENT, Form.HALF_HEAD, Form.LARGE_CHUNKS])
def test_many_connections_leave_descriptors_to_our_own_interface(tmp_path, form):
    """Guards against a host without descriptors for its ordinary callers."""
    _check(_press_own(tmp_path, form, "/act/a", "POST", MANY_CALLERS))
