"""
Starts of a host as a process, on a machine that is not ready yet.
"""

import asyncio
import contextlib
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from .host_process import HostProcess
from .trial import Trial, in_loop

# Without the module of signals, which would count as imported.
SIGNAL_WHILE_IMPORTING = f"""
import os, sys

program = open(sys.argv[1]).read()

class HangUp:
    def find_spec(self, name, *args):
        os.kill(os.getpid(), {int(signal.SIGHUP)})
        os._exit(0)

sys.meta_path.insert(0, HangUp())
exec(program)
"""
ENTRY_POINT = Path(__file__).parents[3] / "deploy" / "start_host.py"


@contextlib.contextmanager
def _occupied(host, name):
    """Occupy a port of a host, as the process before it may."""
    port = {
        "callers": host.callers,
        "ready": host.ready,
        "hosts": int(host.peers.rpartition(":")[2]),
    }[name]
    kind = socket.SOCK_DGRAM if name == "hosts" else socket.SOCK_STREAM
    with socket.socket(type=kind) as sock:
        sock.bind(("127.0.0.1", port))
        if kind is socket.SOCK_STREAM:
            sock.listen()
        yield


async def _until_ready(host, trial):
    async with asyncio.timeout(10):
        while not await host.is_ready(trial.session):
            assert host.is_running
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("name", ["callers", "ready", "hosts"])
@in_loop
async def test_a_host_waits_for_a_port_that_another_process_has(tmp_path, name):
    """Guards against a start that fails as the process before has not ended yet."""
    async with Trial(services=("up",), targets=1, hosts=0) as trial:
        host = HostProcess(tmp_path, trial.store_address)
        with _occupied(host, name):
            await host.start()
            line = await host.wait_for_line("cannot listen")
            assert line["listener"] == name
            await asyncio.sleep(0.3)
            assert host.is_running and not await host.is_ready(trial.session)
        await _until_ready(host, trial)
        await host.kill()


@in_loop
async def test_a_host_that_waits_for_its_port_ends_when_it_is_stopped(tmp_path):
    """Guards against a host that can only be killed while it waits."""
    host = HostProcess(tmp_path, "127.0.0.1:9")
    with _occupied(host, "callers"):
        await host.start()
        await host.wait_for_line("cannot listen")
        host.signal(signal.SIGTERM)
        assert await asyncio.wait_for(host.process.wait(), 2.0) == 0


@in_loop
async def test_a_host_listens_where_changed_settings_say(tmp_path):
    """Guards against waiting for an address that the settings do not name any more."""
    async with Trial(services=("up",), targets=1, hosts=0) as trial:
        host = HostProcess(tmp_path, trial.store_address)
        with _occupied(host, "callers"):
            await host.start()
            await host.wait_for_line("cannot listen")
            text = host.path.read_text()
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                port = sock.getsockname()[1]
            host.path.write_text(text.replace(f":{host.callers}", f":{port}"))
            await _until_ready(host, trial)
            await host.kill()


@pytest.mark.parametrize("share", [None, 0.0, 0.3, 0.6])
@in_loop
async def test_settings_that_are_written_after_the_start_are_used(tmp_path, share):
    """Guards against a start that fails as the platform still writes the settings."""
    async with Trial(services=("up",), targets=1, hosts=0) as trial:
        host = HostProcess(tmp_path, trial.store_address)
        text = host.path.read_text()
        host.path.unlink()
        if share is not None:
            host.path.write_text(text[: int(len(text) * share)])
        await host.start()
        await host.wait_for_line("invalid settings")
        host.path.write_text(text)
        await _until_ready(host, trial)
        await host.kill()


@pytest.mark.parametrize(
    "more",
    [
        "link_mbps = 0",
        "link_mbps = -1.0",
        "memory_mb = 0",
        "memory_mb = 0.5",
        "memory_mb = inf",
        "memory_mb = nan",
        "data_centres = 4",
        'seeds = ["entry-1:8544"]',
        "[bounds]\nfloor_share = true",
        "[bounds]\nretry_extra = -1",
        "[bounds]\nquota_window_s = nan",
    ],
)
@in_loop
async def test_a_limit_that_is_no_number_does_not_keep_a_host_from_serving(
    tmp_path, more
):
    """Guards against a start that fails for one optional value of the platform's."""
    async with Trial(services=("up",), targets=1, hosts=0) as trial:
        host = HostProcess(tmp_path, trial.store_address)
        lines = [
            line
            for line in host.path.read_text().replace("[bounds]", "").splitlines()
            if line.partition(" ")[0] not in (more.partition(" ")[0], "grace_s")
        ]
        position = len(lines) if more.startswith("[") else 0
        lines.insert(position, more)
        host.path.write_text("\n".join(lines))
        await host.start()
        line = await host.wait_for_line("settings ignored")
        name = more.rpartition("\n")[2].partition(" ")[0]
        assert all(m.partition(":")[0].endswith(name) for m in line["mistakes"])
        await _until_ready(host, trial)
        # Changed settings with the same value are used, too.
        host.path.write_text(host.path.read_text() + "\n")
        assert "mistakes" not in await host.wait_for_line("reload")
        await host.kill()


@pytest.mark.parametrize("closed", ["<&-", ">&-", "2>&-", "<&- >&- 2>&-"])
@in_loop
async def test_a_host_starts_without_its_standard_streams(tmp_path, closed):
    """Guards against a start that fails, or log lines in a caller's connection."""
    async with Trial(services=("up",), targets=1, hosts=0) as trial:
        host = HostProcess(tmp_path, trial.store_address)
        command = f'exec "{sys.executable}" -m plumsaddle_hosts.edge "{host.path}"'
        host.process = await asyncio.create_subprocess_shell(f"{command} {closed}")
        await _until_ready(host, trial)
        for number in range(3):
            files = os.readlink(f"/proc/{host.process.pid}/fd/{number}")
            assert not files.startswith("socket:")
        await host.kill()


@in_loop
async def test_sighup_before_the_first_import_does_not_end_a_host():
    """Guards against hosts that end as their settings change while they start."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-S", "-c", SIGNAL_WHILE_IMPORTING, ENTRY_POINT
    )
    assert await process.wait() == 0


@in_loop
async def test_a_host_that_waits_for_its_settings_can_be_stopped(tmp_path):
    """Guards against a planned stop that looks like a crash without a cause."""
    host = HostProcess(tmp_path, "127.0.0.1:9")
    host.path.write_text("")
    await host.start()
    await host.wait_for_line("invalid settings")
    host.signal(signal.SIGTERM)
    await host.wait_for_line("host stopped before it listened")
    assert await host.process.wait() == 0
