"""
A host on the platform as a process of its own.
"""

import asyncio
import json
import resource
import signal
import sys
from pathlib import Path
from typing import NamedTuple

import aiohttp

from .trial import free_port

SETTINGS = """
id = "{name}"
data_centre = "x"
data_centres = ["x"]
seeds = {seeds}
store = "{store}"

[listen]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
hosts = "127.0.0.1:{hosts}"

[bounds]
grace_s = {grace}
"""
GRACE = 6


class Exit(NamedTuple):
    """
    The end of a process.

    `at` is on the loop's clock and `after` the seconds since the start. `is_requested`
    tells whether it was killed or sent SIGTERM, `has_missed` whether it ended by a
    signal that came before the process could handle it.
    """

    code: int
    at: float
    after: float
    is_requested: bool
    has_missed: bool


def handles_signal(pid, number):
    """Return whether a process ignores or catches a signal."""
    try:
        text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return False
    fields = dict(line.split(":\t", 1) for line in text.splitlines() if ":\t" in line)
    bit = 1 << (number - 1)
    return any(int(fields.get(name, "0"), 16) & bit for name in ("SigIgn", "SigCgt"))


class HostProcess:
    """
    A host that runs as a process.

    Args:
      folder: Where its settings file goes.
      store: The store's address.
      name: The host's id.
      seeds: The hosts' addresses that it asks for others.
      log: An open file for its log; a pipe that `wait_for_line` reads if None.
      link: The address of the `HostLink` through which it reaches targets, if any.
      program: The interpreter's arguments that start a host; the package's if None.
      address_space: The bytes that its process may map, or None for no limit.
    """

    def __init__(
        self,
        folder,
        store,
        name="host-9",
        seeds=(),
        log=None,
        link=None,
        program=None,
        address_space=None,
    ):
        self.name = name
        self.path = folder / f"{name}.toml"
        self.callers, self.ready = free_port(), free_port()
        self.peers = f"127.0.0.1:{free_port()}"
        self._program = program or ["-m", "plumsaddle_hosts.edge"]
        if link is not None:
            self._program = ["-m", "plumsaddle_standins.linked_host"]
        self._more_words = [] if link is None else [link]
        self._address_space = address_space
        self._log = asyncio.subprocess.PIPE if log is None else log
        self._values = {
            "name": name,
            "store": store,
            "seeds": json.dumps(list(seeds)),
            "callers": self.callers,
            "ready": self.ready,
            "hosts": self.peers.rpartition(":")[2],
        }
        self.write_settings()
        self.process = None
        # How the processes ended, and when the last one was started.
        self.exits = []
        self.started_at = 0.0
        # The bytes that its machine leaves it, or None if unknown.
        self.memory_limit = None
        self._is_stopped = False
        self._missed = set()
        self._watching = None
        # Times on the loop's clock: when the process was started or sent a signal, when
        # it was first asked to end, and when it was disturbed without a plan.
        self.disturbed_at = []
        self.stopped_at = []
        # The grace period in force at each of `stopped_at`.
        self.graces = []
        self.killed_at = []
        self._starting = asyncio.Lock()
        self.is_wanted = False

    def write_settings(self, grace=GRACE, more="", head="", seeds=None):
        """
        Write the settings file.

        Args:
          grace: The grace period, in seconds.
          more: Further text at its end.
          head: Lines for its top level.
          seeds: The addresses of other hosts, if not those of the first start.
        """
        self.grace = grace
        values = dict(self._values)
        if seeds is not None:
            values["seeds"] = json.dumps(list(seeds))
        self.text = head + SETTINGS.format(grace=grace, **values) + more
        self.path.write_text(self.text, encoding="utf-8")

    async def start(self):
        """Start the process, unless it runs; two faults may want it at once."""
        self.is_wanted = True
        async with self._starting:
            if self.is_running:
                return
            self._note_disturbance()
            self._is_stopped = False
            self._missed.clear()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._program,
                str(self.path),
                *self._more_words,
                stdout=self._log,
                stderr=self._log,
            )
            self.started_at = asyncio.get_running_loop().time()
            self._limit_address_space()
            self._watching = asyncio.create_task(self._watch(self.process))

    def _limit_address_space(self):
        if self._address_space is None:
            return
        limits = self._address_space, self._address_space
        try:
            resource.prlimit(self.process.pid, resource.RLIMIT_AS, limits)
        except ProcessLookupError:
            # It has ended; `exits` tells how.
            return

    async def _watch(self, process):
        """Note how a process ends."""
        began = self.started_at
        code = await process.wait()
        at = asyncio.get_running_loop().time()
        has_missed = -code in self._missed
        self.exits.append(Exit(code, at, at - began, self._is_stopped, has_missed))

    @property
    def is_stopped(self):
        """Whether the last process was killed or sent SIGTERM."""
        return self._is_stopped

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        """Kill the process; its log is read to the end, else waiting never ends."""
        self.is_wanted = False
        if self.is_running:
            self.note_kill()
            self._is_stopped = True
            self.process.kill()
        await self.process.communicate()

    def signal(self, number):
        """Send the process a signal, if it runs."""
        if not self.is_running:
            return
        self._note_disturbance()
        if number is signal.SIGTERM:
            self._note_stop()
        elif number is not signal.SIGHUP:
            self.note_kill()
            self._is_stopped |= number is signal.SIGKILL
        if not handles_signal(self.process.pid, number):
            self._missed.add(number)
        self.process.send_signal(number)

    def _note_stop(self):
        """Note the first SIGTERM of a process, from which its grace period counts."""
        if not self._is_stopped:
            self.stopped_at.append(self.disturbed_at[-1])
            self.graces.append(self.grace)
        self._is_stopped = True

    def note_kill(self):
        """Note that the host is disturbed without a plan."""
        self.killed_at.append(asyncio.get_running_loop().time())

    def _note_disturbance(self):
        self.disturbed_at.append(asyncio.get_running_loop().time())

    def was_disturbed(self, since, until):
        """Return whether it was started or sent a signal between two times."""
        return any(since <= at <= until for at in self.disturbed_at)

    async def restart(self):
        """Ask the process to end, wait until it has, and start it again."""
        self.is_wanted = False
        self.signal(signal.SIGTERM)
        await self.process.communicate()
        await self.start()

    async def revive(self):
        """
        Start the process again if it ended by itself, as the platform does.

        Returns:
          Its exit code, or None if it runs or was stopped on purpose.
        """
        if not self.is_wanted or self.is_running:
            return None
        code = self.process.returncode
        await self.start()
        return code

    async def wait_for_line(self, message):
        """Read the log until an event, and return its fields."""
        async with asyncio.timeout(10):
            while True:
                fields = json.loads(await self.process.stdout.readline())
                if fields["message"] == message:
                    return fields

    async def is_ready(self, session):
        """Return whether the host says that it is ready."""
        url = f"http://127.0.0.1:{self.ready}/readyz"
        try:
            async with session.get(url, timeout=aiohttp.ClientTimeout(1.0)) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
