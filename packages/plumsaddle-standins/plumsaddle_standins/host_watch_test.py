"""
What the watch over hosts' processes finds.
"""

import asyncio
import os
import signal

import pytest

from . import host_watch
from .host_process import Exit, HostProcess
from .host_watch import HostWatch, find_exceptions
from .trial import Trial, in_loop, until


class Watched:
    """A host and the watch over it, for `async with`."""

    def __init__(self, folder, trial):
        self._log = (folder / "host.log").open("wb")
        self.host = HostProcess(folder, trial.store_address, log=self._log)
        self.started = []
        self.watch = HostWatch(
            [self.host], trial.session, self._start, lambda host: folder / "host.log"
        )

    async def _start(self, host):
        self.started.append(host.name)

    async def __aenter__(self):
        await self.host.start()
        return self

    async def __aexit__(self, *exc_info):
        await self.host.kill()
        self._log.close()

    async def found(self, seconds=8.0):
        """Check until something is found, and return it."""
        async with asyncio.timeout(seconds):
            while not self.watch.broken:
                await self.watch.check(self.host)
                await asyncio.sleep(0.05)
        (broken,) = self.watch.broken
        return broken


@in_loop
async def test_a_host_that_is_killed_by_another_program_is_reported(tmp_path):
    """Guards against a soak that passes although its hosts end by themselves."""
    async with (
        Trial(services=("up",), targets=1, hosts=0) as trial,
        Watched(tmp_path, trial) as watched,
    ):
        log = tmp_path / "host.log"
        await until(lambda: "host started" in log.read_text())
        os.kill(watched.host.process.pid, signal.SIGKILL)
        broken = await watched.found()
        assert "host-9: ended by itself: code -9" in broken
        assert "\n    {" in broken
        await watched.watch.finish()
        assert watched.started == ["host-9"]


@in_loop
async def test_a_host_that_fails_at_its_start_is_reported(tmp_path):
    """Guards against a soak that passes although a host does not start."""
    async with Trial(services=("up",), targets=1, hosts=0) as trial:
        watched = Watched(tmp_path, trial)
        watched.host.path.write_text("data_centre = 1")
        async with watched:
            assert "ended by itself: code 2" in await watched.found()


@in_loop
async def test_a_host_that_is_not_ready_is_reported(tmp_path, monkeypatch):
    """Guards against a soak that passes although a host never serves."""
    monkeypatch.setattr(host_watch, "READY_WITHIN", 0.5)
    async with Trial(services=("up",), targets=1, hosts=0) as trial:
        watched = Watched(tmp_path, trial)
        text = watched.host.text.replace(trial.store_address, "127.0.0.1:9")
        watched.host.path.write_text(text)
        async with watched:
            assert "is not ready" in await watched.found()


@in_loop
async def test_a_host_above_its_memory_limit_is_reported(tmp_path):
    """Guards against hosts that the platform would end for their memory."""
    async with (
        Trial(services=("up",), targets=1, hosts=0) as trial,
        Watched(tmp_path, trial) as watched,
    ):
        watched.host.memory_limit = 1000
        assert "took more memory" in await watched.found()


@in_loop
async def test_a_host_that_does_not_end_is_reported(tmp_path):
    """Guards against hosts that outlive their grace period."""
    async with (
        Trial(services=("up",), targets=1, hosts=0) as trial,
        Watched(tmp_path, trial) as watched,
    ):
        watched.host.signal(signal.SIGSTOP)
        watched.host.signal(signal.SIGTERM)
        watched.host.graces = [-2.0]
        assert "still runs" in await watched.found()


@pytest.mark.parametrize(
    "code, is_requested, has_missed, is_broken",
    [
        (0, True, False, False),
        (-9, True, False, False),
        (-15, True, True, False),
        (-1, False, True, False),
        (-1, False, False, True),
        (-15, True, False, True),
        (-11, True, False, True),
        (1, True, False, True),
        (0, False, False, True),
        (-9, False, True, True),
    ],
)
def test_ends_that_are_broken_promises(code, is_requested, has_missed, is_broken):
    """Guards against ends that are taken for those that the soak asked for."""
    end = Exit(code, 2.0, 1.0, is_requested, has_missed)
    assert (host_watch.fault_of(end) is not None) is is_broken


def test_exceptions_are_found_in_logs(tmp_path):
    """Guards against a soak that passes although a task of a host has failed."""
    path = tmp_path / "host.log"
    path.write_text(
        '{"message": "task failed", "exc_info": "Traceback\\nMemoryError"}\n'
        '{"message": "host started"}\nTraceback (most recent call last):\n'
    )
    assert find_exceptions(path) == ["task failed: MemoryError"]
