"""
A host on the platform as a process of its own.
"""

import asyncio
import json
import signal
import sys

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
    """

    def __init__(self, folder, store, name="host-9", seeds=(), log=None, link=None):
        self.name = name
        self.path = folder / f"{name}.toml"
        self.callers, self.ready = free_port(), free_port()
        self.peers = f"127.0.0.1:{free_port()}"
        self._link = link
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
        # Times on the loop's clock: when the process was started or sent a signal, when
        # it was asked to end, and when it was disturbed without a plan.
        self.disturbed_at = []
        self.stopped_at = []
        self.killed_at = []
        self._starting = asyncio.Lock()
        self.is_wanted = False

    def write_settings(self, grace=6, more=""):
        """Write the settings file."""
        text = SETTINGS.format(grace=grace, **self._values) + more
        self.path.write_text(text, encoding="utf-8")

    async def start(self):
        """Start the process, unless it runs; two faults may want it at once."""
        self.is_wanted = True
        async with self._starting:
            if self.is_running:
                return
            self._note_disturbance()
            words = ["plumsaddle_hosts.edge", str(self.path)]
            if self._link is not None:
                words = ["plumsaddle_standins.linked_host", str(self.path), self._link]
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *words,
                stdout=self._log,
                stderr=self._log,
            )

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        """Kill the process; its log is read to the end, else waiting never ends."""
        self.is_wanted = False
        if self.is_running:
            self.note_kill()
            self.process.kill()
        await self.process.communicate()

    def signal(self, number):
        """Send the process a signal, if it runs."""
        if not self.is_running:
            return
        self._note_disturbance()
        if number is signal.SIGTERM:
            self.stopped_at.append(self.disturbed_at[-1])
        elif number is not signal.SIGHUP:
            self.note_kill()
        self.process.send_signal(number)

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
