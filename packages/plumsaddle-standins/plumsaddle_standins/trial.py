"""
A fleet for tests: the stand-in store, targets and hosts in one event loop.
"""

import asyncio
import functools
import json
from typing import NamedTuple

import aiohttp
from aiohttp import web

from plumsaddle_core.core.traffic import Bounds, HostSettings
from plumsaddle_hosts.edge.main import Host

from .fleet import free_ports
from .store import StoreStandin
from .worker import WorkerStandin

OPERATOR = "keyed.op"
TARGETS = "keyed.servers"
HOST_NAME = "records.example"
# Seconds for which the entry of a target that has ended is still listed.
LISTED_FOR = 2.0
KINDS = {
    "/look/": ("safe", "look"),
    "/act/": ("unsafe", "act"),
    "/up/": ("upload", "up"),
}
DOWNLOADS = {"/file/": ("download", "file")}


def free_port():
    """Return a port that nothing listens on."""
    return free_ports(1)[0]


def configuration(
    version,
    timeout=2.0,
    routes=KINDS,
    tries=2,
    limits=None,
    workspaces=None,
    public=(),
):
    """
    Return the bytes of a configuration with one route for each kind.

    Args:
      version: Its number.
      timeout: The routes' time, in seconds.
      routes: By prefix the kind and the service.
      tries: To how many targets a request may go.
      limits: What differs from the usual limits of a caller.
      workspaces: By name the keys, or a dictionary of all that is said of it.
      public: The prefixes of the routes that need no key.
    """
    resources = [
        {
            "entry_kind": "routes",
            "metadata": {"name": prefix},
            "spec": {
                "host": HOST_NAME,
                "path_prefix": prefix,
                "route_type": kind,
                "timeout_ms": int(timeout * 1000),
                "target_latency_ms": 1200,
                "priority": 1,
                "service": service,
                "max_attempts": tries,
                "public": prefix in public,
            },
        }
        for prefix, (kind, service) in routes.items()
    ]
    for name, spec in (workspaces or {}).items():
        spec = spec if isinstance(spec, dict) else {"api_keys": spec}
        resources.append(
            {"entry_kind": "tenants", "metadata": {"name": name}, "spec": spec}
        )
    resources.append(
        {
            "entry_kind": "limits",
            "metadata": {},
            "spec": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4_000_000,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 5000,
                **(limits or {}),
            },
        }
    )
    return json.dumps({"version": version, "resources": resources}).encode()


class Crash(NamedTuple):
    """A target's end: the path of the request that it ended under, None if none."""

    path: str | None
    at: float
    target: str


class Trial:
    """A data centre that is started with `async with`."""

    def __init__(
        self,
        services=("look", "act", "up"),
        targets=2,
        hosts=1,
        centres=("x",),
        off=frozenset(),
        **bounds,
    ):
        self.store = StoreStandin()
        self.centres = centres
        self._off = off
        self.workers = {
            f"{service}-{number}": WorkerStandin(
                f"{service}-{number}", service, centres[number % len(centres)]
            )
            for service in services
            for number in range(targets)
        }
        # The states of the entries that targets have written, by id.
        self.listed = {}
        # These and all that took the place of one.
        self.every_worker = list(self.workers.values())
        self.crashes = []
        # The `Record`s of incarnations that targets have ended.
        self.closed = []
        self.hosts = []
        self._count = hosts
        self._bounds = Bounds(
            **{"grace": 3.0, "retry_extra": 100.0, "retry_window": 0.2, **bounds}
        )
        self._tasks = []
        self._runner = None
        self.session = None

    async def __aenter__(self):
        self._runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await self._runner.setup()
        port = free_port()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        self.store_address = f"127.0.0.1:{port}"
        self.store.put(OPERATOR, "config", configuration(1))
        for worker in self.workers.values():
            await worker.start()
            self.register(worker)
        for number in range(self._count):
            await self.add_host(number)
        self.session = aiohttp.ClientSession()
        for host in self.hosts:
            await until(lambda host=host: host.knowledge.is_complete)
        # For the first window a host has no part of the extra retries.
        await asyncio.sleep(self._bounds.retry_window)
        return self

    async def __aexit__(self, *exc_info):
        await self.session.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            await host.close()
        for worker in self.workers.values():
            worker.stop()
        await self._runner.cleanup()

    async def add_host(self, number, peers_port=None, seeds=None):
        """
        Start one more host.

        Args:
          number: Its number, which gives its name.
          peers_port: The port at which other hosts reach it; a free one if None.
          seeds: The addresses that it asks for others; the first host's if None.
        """
        if seeds is None:
            seeds = [host.settings.peer_address for host in self.hosts[:1]]
        settings = HostSettings(
            f"host-{number}",
            self.centres[number % len(self.centres)],
            self.centres,
            f"127.0.0.1:{free_port()}",
            f"127.0.0.1:{free_port()}",
            f"127.0.0.1:{peers_port or free_port()}",
            tuple(seeds),
            self.store_address,
            self._bounds,
            disabled_features=self._off,
        )
        host = Host(settings, "/nonexistent")
        await host.start()
        self.hosts.append(host)
        return host

    def at_end(self, task):
        """Cancel a task when the trial ends."""
        self._tasks.append(task)

    def register(self, worker, state="ready"):
        """Write a target's entry."""
        self.listed[worker.id] = state
        self.store.put(TARGETS, worker.id, worker.entry(state))

    def make_deadly(self, service, deadly, down_for=0.5):
        """
        Let requests with some paths end each target of a service that runs them.

        Args:
          service: The service's name.
          deadly: A `Deadly` for each of the paths.
          down_for: The seconds after which a target is back under another id.
        """

        def on_crash(worker, path):
            at = asyncio.get_running_loop().time()
            self.crashes.append(Crash(path, at, worker.id))
            self.at_end(asyncio.ensure_future(self._revive(worker, down_for)))

        for worker in self.of(service):
            worker.deadly = deadly
            worker.on_crash = on_crash

    async def _revive(self, crashed, down_for):
        """Start a target that has ended once more, at its address under a new id."""
        await asyncio.sleep(down_for)
        name = f"{crashed.id.partition('.')[0]}.{len(self.crashes)}"
        worker = WorkerStandin(name, crashed.service, crashed.centre, crashed.work)
        worker.deadly, worker.on_crash = crashed.deadly, crashed.on_crash
        await worker.start(int(crashed.address.rpartition(":")[2]))
        self.workers[name] = worker
        self.every_worker.append(worker)
        self.register(worker)
        await asyncio.sleep(LISTED_FOR)
        del self.workers[crashed.id]
        self.unregister(crashed)

    def unregister(self, worker):
        """Remove a target's entry."""
        self.listed.pop(worker.id, None)
        self.store.put(TARGETS, worker.id, b"")

    def of(self, service):
        """Return the stand-ins of a service."""
        return [w for w in self.workers.values() if w.service == service]

    def set_mode(self, service, mode):
        """Switch what all targets of a service do."""
        for worker in self.of(service):
            worker.mode = mode

    async def ask_from(self, address, *args, **options):
        """Send a request as `ask` does, from an address of the loopback."""
        connector = aiohttp.TCPConnector(local_addr=(address, 0), force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await self.ask(*args, session=session, **options)

    async def ask(
        self,
        path,
        request_id,
        method="GET",
        body=None,
        host=0,
        left=3000,
        session=None,
        key=None,
        more=None,
    ):
        """Send a request and return its status, headers and body."""
        session = session or self.session
        url = f"http://{self.hosts[host].settings.caller_address}{path}"
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(left),
            **(more or {}),
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        async with session.request(method, url, headers=headers, data=body) as resp:
            return resp.status, resp.headers, await resp.read()


async def until(holds, seconds=5.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not holds():
            await asyncio.sleep(0.01)


def in_loop(test):
    """Let a coroutine function be a test: it runs in a loop of its own."""

    @functools.wraps(test)
    def run(*args, **options):
        return asyncio.run(test(*args, **options))

    return run
