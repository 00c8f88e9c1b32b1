"""
The process of one host on the platform.

    python3 -m plumsaddle_hosts.edge

The path of the settings file is the only argument, or else the value of
`PLUMSADDLE_CONFIG`.

On SIGTERM the host reports that it isn't ready, and keeps serving until the load
balancer has stopped sending it connections. Then it closes its listener and idle
connections, and ends when all requests are answered or the grace period is over.
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

from plumsaddle_core.connections.caller_table import ACCEPT_BATCH
from plumsaddle_core.core.features import Feature
from plumsaddle_core.ops.gateways import Gateways
from plumsaddle_core.ops.paths import PathState

from ..platform import wire
from ..platform.nodefile import check_host_settings
from ..platform.read_budget import ReadBudget, compute_limit
from ..platform.store import Store, make_session
from ..utils.addresses import split_address
from ..utils.listening import complete_unless_stopped, open_when_free, set_backlog
from ..utils.settings_file import read_when_complete, signature_of
from ..utils.standard_streams import open_missing_streams
from ..utils.stop_signals import block_signals, exit_on_sigterm
from ..utils.supervision import keep_running
from .callers import FrontServer
from .clock import now
from .connection_pool import ConnectionPool
from .connector import Connector
from .crash_detector import CrashDetector
from .events import configure_logging
from .feed import RARE_CHANGES, Feed
from .front import Front
from .gateway import Gateway
from .host_state import HostState
from .metrics import EdgeMetrics
from .path_prober import PathProber
from .peers import PeerProtocol
from .process_report import MemoryReport, read_memory, report_start
from .relay import Relay
from .sender import Sender
from .store_access import StoreAccess
from .stored import TOPIC as SUSPECTS_TOPIC, StoredSuspects
from .stored_hosts import StoredHosts

log = logging.getLogger("host")
SETTINGS_VARIABLE = "PLUMSADDLE_CONFIG"
EXIT_INVALID_SETTINGS = 2
# The host's id in log lines until its settings are read.
UNKNOWN_HOST = "unknown"
HOUSEKEEPING_INTERVAL = 1.0
LISTEN_BACKLOG = 512
# Seconds for which a start waits for the port for tunnels.
GATEWAY_START_TIME = 0.1
# Seconds for which callers may still connect after the host has become unready: the
# load balancer checks every second and removes a host after two failed checks.
DRAIN_LISTEN_TIME = 3.2
# Seconds of the grace period that are reserved for closing, and the part of them in
# which callers receive the refusals of the remaining requests.
SHUTDOWN_MARGIN = 0.3
FINAL_ANSWER_TIME = 0.1
DRAIN_POLL_INTERVAL = 0.05


def read_settings(path, ignored=None):
    """
    Read a settings file.

    Args:
      path: The file's path.
      ignored: As for `check_host_settings`.
    Returns:
      A `Success` of `HostSettings`, or a `Failure` of a list of error messages.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Failure([f"{path}: {exc}"])
    return check_host_settings(text, ignored)


class Host:
    """
    One host with all its components.

    Args:
      settings: The `HostSettings`.
      path: The path of the settings file.
      signature: The file's signature when it was read; that of now if None.
      ignored: The mistakes in its optional values.
    """

    def __init__(self, settings, path, signature=None, ignored=()):
        self.settings = settings
        self._path = path
        self._signature = signature_of(path) if signature is None else signature
        self._ignored = ignored
        rng = random.Random(os.urandom(16))
        self.metrics = EdgeMetrics(settings.id)
        self.knowledge = HostState(settings, rng)
        self._store_session = make_session()
        self.store = Store(
            self._store_session,
            f"http://{settings.store_address}",
            budget=ReadBudget(compute_limit(settings.memory_limit)),
        )
        registry = self.knowledge.registry
        self.store_access = store_access = StoreAccess(
            registry.note_store_unavailable,
            registry.note_store_available,
            registry.note_store_recovery,
            registry.note_store_restored,
        )
        suspects = self.knowledge.shared.suspects
        self.stored_suspects = StoredSuspects(self.store, suspects, store_access)
        self._feeds = self._make_feeds(rng)
        self.peers = PeerProtocol(
            settings,
            self.knowledge.shared,
            store_access,
            self._feeds,
            rng,
            knowledge=self.knowledge,
        )
        self._stored_hosts = StoredHosts(settings, self.store, self.peers, rng)
        if settings.has_seeds:
            self.knowledge.may_begin_with = self.peers.versions.may_begin_with
        self._set_up_paths(rng)
        self.crash_detector = CrashDetector(
            self.knowledge, self.pool, self.metrics, self.stored_suspects.schedule_write
        )
        sender = Sender(
            self.knowledge, self.pool, self.metrics, self.crash_detector, self._prober
        )
        relay = Relay(self.knowledge, sender, self.metrics, self.crash_detector)
        self._relay = relay
        self.front = Front(self.knowledge, relay, self.metrics)
        operator_feed = self._feeds[0]
        self.knowledge.subscribe(
            self.peers.send_update_soon, self._on_target_restart, operator_feed.age
        )
        self._servers = {}
        self._tasks = []
        self._front_server = None
        self._memory_report = MemoryReport(settings.memory_limit)
        self.stop = asyncio.Event()

    def _make_feeds(self, rng):
        """Return the feeds of the operators' records, targets and suspects."""
        knowledge, suspects = self.knowledge, self.stored_suspects
        operators, listing, changes = (
            knowledge.apply_operator_records,
            knowledge.apply_target_listing,
            knowledge.apply_target_changes,
        )
        access = self.store_access
        return [
            Feed(self.store, wire.OPERATOR_TOPIC, access, operators, operators, rng),
            Feed(self.store, wire.TARGETS_TOPIC, access, listing, changes, rng),
            Feed(
                self.store,
                SUSPECTS_TOPIC,
                access,
                suspects.apply_listing,
                suspects.apply_page,
                rng,
                RARE_CHANGES,
            ),
        ]

    def _set_up_paths(self, rng):
        """Make the parts that open connections to targets, also for other hosts."""
        knowledge, gateways = self.knowledge, self.peers.gateways
        has_tunnels = Feature.TUNNELS not in self.settings.disabled_features
        if not has_tunnels:
            gateways = Gateways(lambda now: ([], 0), rng)
        self.connector = Connector(
            self.settings.id,
            knowledge.paths,
            gateways,
            lambda: knowledge.registry.service_count,
            rng,
            self.metrics,
        )
        self.pool = ConnectionPool(self.connector, knowledge.paths, gateways)
        self._prober = PathProber(self.pool, knowledge.paths, knowledge.registry, rng)
        self.gateway = Gateway(knowledge, self.connector, self.metrics)
        if has_tunnels:
            self.peers.is_gateway = self.gateway.is_available
        self.connector.on_failed = self._prober.note_failed
        self.connector.on_change = self._note_path_change
        self.pool.on_idle_lost = self._prober.check_soon

    def _note_path_change(self, state):
        """Tell other hosts at once whether this one can be a gateway."""
        self.metrics.partitioned.set({}, state is not PathState.CONNECTED)
        self.pool.handle_path_change(state)
        self.peers.announce_paths()

    async def run(self):
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_stop, signal_number.name)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "SIGHUP")
        if await complete_unless_stopped(self.start(), self.stop):
            # Objects created at startup live as long as the process.
            gc.freeze()
            await self.stop.wait()
            await self.drain()
        else:
            await self.close()
            _log_early_stop()
        block_signals()

    async def start(self):
        """
        Open the listeners and start the background tasks.

        Readiness checks are answered first, since the others may have to wait.
        """
        operator_server = web.Server(self._handle_operator_request, access_log=None)
        await self._listen("ready", operator_server)
        await self._open("hosts", self.peers.open)
        await self._open_gateway()
        self._front_server = FrontServer(self.front, self.knowledge)
        await self._listen("callers", self._front_server)
        loop = asyncio.get_running_loop()
        parts = {f"feed of {feed.topic}": feed.run for feed in self._feeds}
        parts["housekeeping"] = self._run_housekeeping
        parts["peer updates"] = self._run_peer_updates
        parts["path prober"] = self._prober.run
        parts["record of this host"] = self._stored_hosts.write_own
        parts["search for hosts"] = self._stored_hosts.find_others
        for name, run in parts.items():
            self._tasks.append(loop.create_task(keep_running(name, run)))
        log.info(
            "host started",
            extra={
                "callers": self.settings.caller_address,
                "store": self.settings.store_address,
                "off": sorted(
                    feature.value for feature in self.settings.disabled_features
                ),
            },
        )

    async def _open(self, name, open_once):
        def report(exc):
            extra = {"listener": name, "cause": str(exc)}
            log.warning("cannot listen", extra=extra)

        return await open_when_free(open_once, report, self._reload_if_changed)

    async def _open_gateway(self):
        """Listen for tunnels; without the port, the host only helps no others."""
        opening = asyncio.ensure_future(
            keep_running("tunnels", lambda: self._open("tunnels", self.gateway.open))
        )
        self._tasks.append(opening)
        await asyncio.wait({opening}, timeout=GATEWAY_START_TIME)

    async def _listen(self, name, server):
        """Open a listener where the settings of the moment say."""

        async def listen():
            settings = self.settings
            addresses = {
                "callers": settings.caller_address,
                "ready": settings.readiness_address,
            }
            ip, port = split_address(addresses[name])
            loop = asyncio.get_running_loop()
            opened = await loop.create_server(server, ip, port, backlog=ACCEPT_BATCH)
            for sock in opened.sockets:
                set_backlog(sock, LISTEN_BACKLOG)
            return opened

        self._servers[name] = await self._open(name, listen)

    def _on_target_restart(self, incarnation):
        """Handle the end of a target's incarnation after the target has restarted."""
        self.crash_detector.note_restarted(incarnation)
        self.pool.close_incarnation(incarnation)

    def _on_stop(self, cause):
        extra = {"cause": cause, "in_flight": self.front.in_flight}
        log.info("shutdown requested", extra=extra)
        self.stop.set()

    async def drain(self):
        """Serve until no new connections arrive, then finish requests and close."""
        deadline = now() + self.settings.bounds.grace - SHUTDOWN_MARGIN
        self.front.drain(deadline)
        self.gateway.drain()
        self.peers.announce_paths()
        await asyncio.sleep(min(DRAIN_LISTEN_TIME, max(0.0, deadline - now())))
        self._servers["callers"].close()
        if not await self._wait_until_done(deadline):
            self._relay.refuse_in_flight()
            await self._wait_until_done(deadline + FINAL_ANSWER_TIME)
            self._front_server.log_open()
        await self.close()
        log.info("host stopped", extra={"in_flight": self.front.in_flight})

    async def _wait_until_done(self, deadline):
        """
        Wait until callers have received all responses, and return whether they have.

        Their connections are closed then, and no tunnels of other hosts are left.
        """
        while now() < deadline:
            # A request that was read just before its connection was closed is counted
            # as in flight only after the next iteration of the event loop.
            self._front_server.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
            if not (
                self.front.in_flight
                or self._front_server.connections
                or self.gateway.tunnel_count
            ):
                return True
        return False

    async def close(self):
        """Cancel all tasks and close all listeners and connections."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers.values():
            server.close()
        if self._front_server is not None:
            self._front_server.close_idle()
        self.peers.close()
        self._prober.close()
        self.gateway.close()
        self.pool.close_idle()
        await self._store_session.close()

    async def _run_housekeeping(self):
        """Run the periodic work of every second."""
        while True:
            at = now()
            self.knowledge.expire(at)
            self.knowledge.notices.tick(at)
            self.pool.close_expired(self.knowledge.registry.incarnations())
            self.gateway.tick(at)
            self.crash_detector.tick(at)
            self.stored_suspects.evict_expired(at)
            self.stored_suspects.schedule_write()
            self.peers.send_heartbeat(at)
            self._reload_if_changed()
            version = self.knowledge.version
            if version:
                self.metrics.version.set({}, version)
            newest = max(version, self.peers.versions.reports.newest())
            self.metrics.newest_version.set({}, newest)
            self.metrics.store_era.set({}, self.store_access.era or 0)
            self.metrics.in_flight.set({}, self.front.in_flight)
            self.metrics.callers.note(self._front_server)
            self.metrics.note_downloads(self.knowledge.downloads)
            self._note_memory()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL)

    def _note_memory(self):
        """Report the memory of the process, and what holds it."""
        self.metrics.body_bytes.set({}, self.front.buffered_bytes)
        memory = read_memory()
        if memory is None:
            return
        resident, peak = memory
        self.metrics.resident_bytes.set({}, resident)
        fields = {
            "bodies": self.front.buffered_bytes,
            "downloads": self.knowledge.downloads.budget.held,
            "store": self.store.budget.held,
            "in_flight": self.front.in_flight,
            "connections": len(self._front_server.connections),
        }
        self._memory_report.note(peak, fields)

    async def _run_peer_updates(self):
        """Exchange updates with other hosts."""
        while True:
            await asyncio.sleep(self.peers.tick(now()))

    def _reload_if_changed(self):
        """Reload the settings if their file has changed without a SIGHUP."""
        if signature_of(self._path) != self._signature:
            self._reload("changed file")

    def _reload(self, cause):
        """Reload the settings; listeners keep their addresses."""
        self._signature = signature_of(self._path)
        ignored = []
        result = read_settings(self._path, ignored)
        # Mistakes that the host has started with must not hide other changes.
        mistakes = [mistake for mistake in ignored if mistake not in self._ignored]
        if isinstance(result, Failure):
            mistakes = result.failure()
        if mistakes:
            log.error("reload", extra={"cause": cause, "mistakes": mistakes})
            return
        self._ignored = ignored
        self.settings = result.unwrap()
        self.knowledge.settings = self.settings
        self.knowledge.downloads.apply_settings()
        self.front.apply_settings()
        self.store.budget.limit = compute_limit(self.settings.memory_limit)
        self.peers.apply_settings(self.settings)
        log.info("reload", extra={"cause": cause})

    async def _handle_operator_request(self, request):
        """Handle a readiness check or a request for metrics."""
        if request.path == "/metrics":
            text, headers = self.metrics.render()
            return web.Response(body=text, headers=headers)
        if request.path != "/readyz":
            return web.Response(status=404)
        is_ready = self.knowledge.is_complete and not self.front.is_draining
        return web.Response(status=200 if is_ready else 503)


def _log_early_stop():
    log.info("host stopped before it listened")


async def _run_host(settings, path, signature, ignored):
    await Host(settings, path, signature, ignored).run()


def main():
    """Run one host with the settings file named by the argument or environment."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    open_missing_streams()
    configure_logging(UNKNOWN_HOST)
    exit_on_sigterm(_log_early_stop)
    try:
        _run(path)
    except Exception:
        log.critical("host failed", exc_info=True)
        raise


def _run(path):
    def report(mistakes):
        log.error("invalid settings", extra={"path": path, "mistakes": mistakes})

    ignored = []

    def read(path):
        ignored.clear()
        return read_settings(path, ignored)

    signature, result = read_when_complete(path, read, report)
    if isinstance(result, Failure):
        for message in result.failure():
            print(message, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = result.unwrap()
    configure_logging(settings.id)
    report_start(settings)
    if ignored:
        # A host can serve without these values.
        log.error("settings ignored", extra={"path": path, "mistakes": ignored})
    asyncio.run(_run_host(settings, path, signature, ignored))


if __name__ == "__main__":
    main()
