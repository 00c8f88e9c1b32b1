"""
A host on the platform as a real process: signals, settings and its log.
"""

import asyncio
import contextlib
import os
import signal
import sys

import pytest

from .host_process import HostProcess
from .trial import Trial, in_loop

HANG_UP_WHILE_LOADING = """
import os, runpy, signal, sys

class HangUp:
    def find_spec(self, name, *args):
        if name == "plumsaddle_hosts.edge.main":
            os.kill(os.getpid(), signal.SIGHUP)
            sys.exit(0)

sys.meta_path.insert(0, HangUp())
runpy.run_module("plumsaddle_hosts.edge", run_name="__main__")
"""


async def _started(trial, folder):
    host = HostProcess(folder, trial.store_address)
    await host.start()
    await host.wait_for_line("version")
    while not await host.is_ready(trial.session):
        await asyncio.sleep(0.05)
    return host


def _ask(trial, host, path, request_id):
    headers = {"Host": "records.example", "Request-Id": request_id}
    url = f"http://127.0.0.1:{host.callers}{path}"
    return trial.session.post(url, headers=headers, data=b"scan")


@in_loop
async def test_sigterm_answers_what_runs_and_ends_well(tmp_path):
    """
    A scan is lost because its host is restarted.

    SIGTERM comes twice while an upload runs that outlasts the listening.
    """
    async with Trial(services=("up",), targets=1, hosts=0) as trial:
        host = await _started(trial, tmp_path)
        trial.workers["up-0"].work = 1.5
        asked = asyncio.ensure_future(_ask(trial, host, "/up/a", "id-1"))
        await asyncio.sleep(0.3)
        host.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        host.process.send_signal(signal.SIGTERM)
        assert not await host.is_ready(trial.session)
        resp = await asked
        assert resp.status == 200
        assert await asyncio.wait_for(host.process.wait(), 6.0) == 0
        assert trial.workers["up-0"].done["id-1"] == 1


@in_loop
async def test_sighup_and_a_changed_file_reload_without_a_cut(tmp_path):
    """
    Requests are cut because the settings change, or the change is never seen.

    SIGHUP ends a process that does not handle it. A mistake in the new settings must
    not end it either.
    """
    async with Trial(services=("up",), targets=1, hosts=0) as trial:
        host = await _started(trial, tmp_path)
        trial.workers["up-0"].work = 0.8
        asked = asyncio.ensure_future(_ask(trial, host, "/up/a", "id-1"))
        await asyncio.sleep(0.2)
        host.write_settings(grace=5)
        host.process.send_signal(signal.SIGHUP)
        assert (await host.wait_for_line("reload"))["cause"] == "SIGHUP"
        host.write_settings(grace=4)
        assert (await host.wait_for_line("reload"))["cause"] == "changed file"
        host.write_settings(grace='"long"')
        refused = await host.wait_for_line("reload")
        assert "grace_s" in refused["mistakes"][0]
        assert (await asked).status == 200
        assert await host.is_ready(trial.session)
        await host.kill()


@in_loop
async def test_sighup_while_a_host_is_loading_does_not_end_it():
    """
    Hosts that are restarted while settings change do not come up.

    SIGHUP finds a process that has not come to its own handler yet, and ends it. Here
    it comes just before the host's modules are loaded.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", HANG_UP_WHILE_LOADING
    )
    assert await process.wait() == 0


@in_loop
async def test_all_mistakes_are_told_at_once(tmp_path):
    path = tmp_path / "host.toml"
    path.write_text('id = 4\nstore = "nowhere"\n[bounds]\ngrace_s = -1\n')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "plumsaddle_hosts.edge",
        env={**os.environ, "PLUMSADDLE_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    assert process.returncode == 2
    told = errors.decode().splitlines()
    names = {line.partition(":")[0] for line in told}
    assert names == {
        "id",
        "data_centre",
        "store",
        "callers",
        "ready",
        "hosts",
        "bounds.grace_s",
    }


@in_loop
async def test_a_log_that_nobody_reads_holds_nothing_up(tmp_path):
    """
    Requests wait because the reader of the log has stopped reading.

    The pipe is full after some hundred lines; the host must go on and drop lines.
    """
    async with Trial(services=("up",), targets=2, hosts=0) as trial:
        host = await _started(trial, tmp_path)
        for worker in trial.workers.values():
            worker.work = 0.0
        for number in range(400):
            async with _ask(trial, host, "/up/a", f"id-{number:0900}") as resp:
                assert resp.status == 200
        await host.kill()


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
@in_loop
async def test_signals_at_the_end_of_a_stop_do_not_replace_its_exit_code(
    tmp_path, number
):
    """Guards against planned stops that look like crashes."""
    host = HostProcess(tmp_path, "127.0.0.1:9")
    host.write_settings(grace=1)
    await host.start()
    await host.wait_for_line("host started")
    host.signal(signal.SIGTERM)
    await host.wait_for_line("host stopped")
    while host.is_running:
        # `send_signal` would reap an ended process, and its exit code be lost.
        with contextlib.suppress(ProcessLookupError):
            os.kill(host.process.pid, number)
        await asyncio.sleep(0.001)
    assert host.process.returncode == 0
