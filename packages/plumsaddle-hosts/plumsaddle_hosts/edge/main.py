"""
The process: one host on the platform, from its settings file to its end.

    python3 -m plumsaddle_hosts.edge

The settings file is named by `PLUMSADDLE_CONFIG`, or by the only argument.

On SIGTERM the host says that it is not ready and serves on, since callers keep coming
until the balancer has turned away. Then it closes its listener and idle connections,
and it ends when the last request has its answer or the grace is over.
"""

import asyncio
import gc
import logging
import os
import random
import signal
import sys
from pathlib import Path

from aiohttp import web
from returns.result import Failure

from ..platform import wire
from ..platform.nodefile import check_host_settings
from ..platform.store import Store, make_session
from ..utils.addresses import split_address
from .callers import FrontServer
from .clock import now
from .endings import CrashDetector
from .events import set_up_events
from .feed import RARE_CHANGES, Feed
from .front import Front
from .gate import StoreAccess
from .knowledge import HostState
from .links import ConnectionPool
from .metrics import EdgeMetrics
from .peers import PeerProtocol
from .relay import Relay
from .sender import Sender
from .stored import TOPIC as STORED_TOPIC, StoredSuspects

log = logging.getLogger("host")
SETTINGS_VARIABLE = "PLUMSADDLE_CONFIG"
EXIT_MISTAKE = 2
BEAT_EVERY = 1.0
BACKLOG = 512
# The balancer asks each second and turns away after two misses; with the time of a
# slow answer, new connections come for up to three seconds more.
LISTEN_ON = 3.2
# Kept back from the grace for closing down, in seconds, and the part of it in which
# what is left of requests is answered.
GRACE_MARGIN = 0.3
ANSWERED_WITHIN = 0.1
LOOK_EVERY = 0.05


def read_settings(path):
    """
    Read a settings file.

    Args:
      path: The file's path.
    Returns:
      A `Success` of `HostSettings`, or a `Failure` of a list of mistakes.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Failure([f"{path}: {exc}"])
    return check_host_settings(text)


class Host:
    """
    One host with all its parts.

    Args:
      settings: The `HostSettings`.
      path: Where the settings were read from.
    """

    def __init__(self, settings, path):
        self.settings = settings
        self._path = path
        self._mtime = _mtime_of(path)
        rng = random.Random(os.urandom(16))
        self.metrics = EdgeMetrics(settings.id)
        self.knowledge = HostState(settings, rng)
        self.links = ConnectionPool()
        self._store_session = make_session()
        self.store = Store(self._store_session, f"http://{settings.store_address}")
        registry = self.knowledge.registry
        self.store_access = gate = StoreAccess(
            registry.note_store_unavailable,
            registry.note_store_available,
            registry.note_store_recovery,
        )
        suspects = self.knowledge.shared.suspects
        self.stored = StoredSuspects(self.store, suspects, gate)
        self.endings = CrashDetector(
            self.knowledge, self.links, self.metrics, self.stored.write_soon
        )
        sender = Sender(self.knowledge, self.links, self.metrics, self.endings)
        relay = Relay(self.knowledge, sender, self.metrics, self.endings)
        self._relay = relay
        self.front = Front(self.knowledge, relay, self.metrics)
        self._feeds = [
            Feed(
                self.store,
                wire.OPERATOR_TOPIC,
                gate,
                self.knowledge.apply_operator_records,
                self.knowledge.apply_operator_records,
                rng,
            ),
            Feed(
                self.store,
                wire.TARGETS_TOPIC,
                gate,
                self.knowledge.apply_target_listing,
                self.knowledge.apply_target_changes,
                rng,
            ),
            Feed(
                self.store,
                STORED_TOPIC,
                gate,
                self.stored.take,
                self.stored.take,
                rng,
                RARE_CHANGES,
            ),
        ]
        self.peers = PeerProtocol(
            settings, self.knowledge.shared, gate, self._feeds, rng
        )
        configurations = self._feeds[0]
        self.knowledge.subscribe(
            self.peers.send_update_soon, self._end_life, configurations.age
        )
        self._servers = []
        self._tasks = []
        self._callers = None
        self.stop = asyncio.Event()

    async def run(self):
        """Serve until SIGTERM or SIGINT, and leave cleanly."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "SIGHUP")
        await self.start()
        # What was made while starting lives as long as the process.
        gc.freeze()
        await self.stop.wait()
        await self.drain()

    async def start(self):
        """Open the listeners and begin to follow the store."""
        await self.peers.open()
        self._callers = FrontServer(self.front, self.knowledge)
        ready = web.Server(self._answer_operator, access_log=None)
        self._servers = [
            await _listen(self._callers, self.settings.caller_address),
            await _listen(ready, self.settings.readiness_address),
        ]
        loop = asyncio.get_running_loop()
        for work in (
            *(feed.run() for feed in self._feeds),
            self._beat(),
            self._tick(),
        ):
            task = loop.create_task(work)
            task.add_done_callback(_report)
            self._tasks.append(task)
        log.info(
            "start",
            extra={
                "callers": self.settings.caller_address,
                "store": self.settings.store_address,
                "off": sorted(part.value for part in self.settings.disabled_features),
            },
        )

    def _end_life(self, life):
        """Take it that a target has started again, so that its former life is over."""
        self.endings.note_restarted(life)
        self.links.close_incarnation(life)

    def _on_stop(self):
        log.info("stop", extra={"in_flight": self.front.in_flight})
        self.stop.set()

    async def drain(self):
        """Serve on until the callers have turned away, then end what runs."""
        self.front.drain()
        deadline = now() + self.settings.bounds.grace - GRACE_MARGIN
        await asyncio.sleep(min(LISTEN_ON, max(0.0, deadline - now())))
        self._servers[0].close()
        is_quiet = False
        while not is_quiet and now() < deadline:
            # A request that was read just before its connection was closed shows as
            # under way only after the loop's next turn.
            self._callers.close_idle()
            await asyncio.sleep(LOOK_EVERY)
            is_quiet = not self.front.in_flight
        if not is_quiet:
            self._relay.refuse_in_flight()
            await asyncio.sleep(ANSWERED_WITHIN)
        await self.close()
        log.info("end", extra={"in_flight": self.front.in_flight})

    async def close(self):
        """Close all that is open, at once."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self._callers.close_idle()
        self.peers.close()
        self.links.close_idle()
        await self._store_session.close()

    async def _beat(self):
        """Do the work of each second."""
        while True:
            at = now()
            self.knowledge.expire(at)
            self.links.close_expired(self.knowledge.registry.incarnations())
            self.endings.tick(at)
            self.stored.forget_old(at)
            self.stored.write_soon()
            self.peers.send_heartbeat(at)
            self._look_at_settings()
            cfg = self.knowledge.cfg
            if cfg is not None:
                self.metrics.version.set({}, cfg.version)
            self.metrics.in_flight.set({}, self.front.in_flight)
            await asyncio.sleep(BEAT_EVERY)

    async def _tick(self):
        """Do this host's part for the others, again and again."""
        while True:
            await asyncio.sleep(self.peers.tick(now()))

    def _look_at_settings(self):
        """Reload the settings if their file has changed without a signal."""
        mtime = _mtime_of(self._path)
        if mtime != self._mtime:
            self._reload("changed file")

    def _reload(self, cause):
        """Take the settings anew; listeners keep the addresses that they have."""
        self._mtime = _mtime_of(self._path)
        result = read_settings(self._path)
        if isinstance(result, Failure):
            log.error("reload", extra={"cause": cause, "mistakes": result.failure()})
            return
        self.settings = result.unwrap()
        self.knowledge.settings = self.settings
        self.peers.apply_settings(self.settings)
        log.info("reload", extra={"cause": cause})

    async def _answer_operator(self, request):
        """Answer the balancer's question and the request for metrics."""
        if request.path == "/metrics":
            text, headers = self.metrics.render()
            return web.Response(body=text, headers=headers)
        if request.path != "/readyz":
            return web.Response(status=404)
        is_ready = self.knowledge.is_complete and not self.front.is_draining
        return web.Response(status=200 if is_ready else 503)


async def _listen(server, address):
    ip, port = split_address(address)
    loop = asyncio.get_running_loop()
    return await loop.create_server(server, ip, port, backlog=BACKLOG)


def _mtime_of(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None


def _report(task):
    """Log a task that broke; nothing else would say so."""
    if not task.cancelled() and task.exception() is not None:
        log.error("task broke", exc_info=task.exception())


async def _run_host(settings, path):
    await Host(settings, path).run()


def main():
    """Run one host; the settings' path is the argument or in the environment."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    result = read_settings(path)
    if isinstance(result, Failure):
        for mistake in result.failure():
            print(mistake, file=sys.stderr)
        sys.exit(EXIT_MISTAKE)
    settings = result.unwrap()
    set_up_events(settings.id)
    asyncio.run(_run_host(settings, path))


if __name__ == "__main__":
    main()
