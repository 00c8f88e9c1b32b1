"""
The daemon: `plumsaddled SETTINGS` runs one entry host until it is told to stop.

On SIGTERM a host first says that it is not ready and goes on serving, so that the
balancer can turn away from it; then it stops listening, answers everything that is
in flight, however long it takes, writes the last outcomes and leaves.
"""

import asyncio
import contextlib
import logging
import signal
import socket
import sys
from pathlib import Path

import fire
from aiohttp import web
from grpclib.server import Server
from returns.result import Failure

from plumsaddle_core.connections.caller_table import ACCEPT_BATCH
from plumsaddle_core.core.traffic import PipelineLimits
from plumsaddle_core.parser.settings import check_settings

from ..front.server import make_server
from ..peers.exchange import ExchangeServer
from ..platform.store import Store, make_session
from ..utils.listening import complete_unless_stopped, open_when_free, set_backlog
from ..utils.settings_file import read_when_complete
from ..utils.standard_streams import open_missing_streams
from ..utils.stop_signals import block_signals
from .admin import make_admin
from .host import Host
from .logs import set_up_logs

log = logging.getLogger("daemon")
EXIT_MISTAKE = 2
# Connections that the kernel holds for a listener until they are accepted.
LISTEN_BACKLOG = 1024
# The library cuts what is in flight after a minute by default. A host waits itself
# until nothing is in flight, so the library's own bound must never come first.
NEVER = 10 * 365 * 86400.0
FLUSH_FOR = 30.0
LOOK_EVERY = 0.05
# Seconds at the end of the grace period for the last responses and outcomes.
STOP_MARGIN = 0.3


def read_settings(path):
    """
    Read a settings file, or report all mistakes and exit.

    Args:
      path: The file's path.
    Returns:
      The `Settings`.
    """
    _, result = read_when_complete(path, _check_file, _print_mistakes)
    if isinstance(result, Failure):
        sys.exit(EXIT_MISTAKE)
    return result.unwrap()


def _check_file(path):
    """Return a `Success` of `Settings`, or a `Failure` of a list of mistakes."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Failure([f"{path}: {exc}"])
    return check_settings(text, str(path))


def _print_mistakes(mistakes):
    for mistake in mistakes:
        print(mistake, file=sys.stderr, flush=True)


async def _listen(name, runner, address):
    """Start a runner's listener once its address is free."""
    ip, _, port = address.rpartition(":")
    await runner.setup()

    family = socket.AF_INET6 if ":" in ip else socket.AF_INET

    async def start():
        sock = socket.create_server((ip.strip("[]"), int(port)), family=family)
        site = web.SockSite(runner, sock, backlog=ACCEPT_BATCH)
        try:
            await site.start()
            set_backlog(sock, LISTEN_BACKLOG)
        except OSError:
            await site.stop()
            sock.close()
            raise

    await open_when_free(start, _report_wait(name))


def _report_wait(name):
    def report(exc):
        log.warning("daemon: The listener for %s has to wait, %s.", name, exc)

    return report


async def run_host(settings):
    """
    Run a host until SIGTERM or SIGINT.

    Args:
      settings: The `Settings`.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _ignore_hang_up)
    cfg = settings.platform
    async with make_session() as session:
        host = Host(settings, Store(session, cfg.url, cfg.append_timeout))
        peers = Server([ExchangeServer(host, settings.peers.secret)])
        admin = web.AppRunner(make_admin(host), access_log=None, shutdown_timeout=NEVER)
        limits = PipelineLimits(
            *(getattr(settings.callers, name) for name in PipelineLimits._fields)
        )
        host.caller_server = make_server(host, limits)
        callers = web.ServerRunner(host.caller_server, shutdown_timeout=NEVER)
        listeners = _Listeners(settings.listen, peers, admin, callers)
        if await complete_unless_stopped(listeners.open(), stop):
            host.start()
            log.info("daemon: %s listens on %s.", settings.id, settings.listen.callers)
            await stop.wait()
            await _drain(host, callers)
        await listeners.close_peers()
        await host.close()
        await callers.cleanup()
        await admin.cleanup()
    log.info("daemon: %s has left.", settings.id)
    block_signals()


class _Listeners:
    """
    The listeners of a host, for other hosts, operators and callers.

    Args:
      listen: The addresses.
      peers: The gRPC server.
      admin: The aiohttp runner for operators.
      callers: The aiohttp runner for callers.
    """

    def __init__(self, listen, peers, admin, callers):
        self._listen = listen
        self._peers = peers
        self._admin = admin
        self._callers = callers
        self._has_peers = False

    async def open(self):
        """Open all of them, each once its address is free."""
        ip, _, port = self._listen.hosts.rpartition(":")
        await open_when_free(
            lambda: self._peers.start(ip.strip("[]"), int(port)), _report_wait("hosts")
        )
        self._has_peers = True
        await _listen("operators", self._admin, self._listen.operators)
        await _listen("callers", self._callers, self._listen.callers)

    async def close_peers(self):
        """Close the one for other hosts, if it is open."""
        if self._has_peers:
            self._peers.close()
            await self._peers.wait_closed()


def _ignore_hang_up():
    log.info("daemon: SIGHUP is ignored. Settings are read at a start.")


async def _drain(host, callers):
    """Stop taking requests and wait for those in flight."""
    host.is_leaving = True
    grace = host.settings.grace
    if grace is not None:
        loop = asyncio.get_running_loop()
        host.killed_at = loop.time() + grace - STOP_MARGIN
    log.info("daemon: Leaving. New requests are still taken for a while.")
    await asyncio.sleep(host.settings.leave_wait)
    host.is_stopping = True
    for site in list(callers.sites):
        await site.stop()
    log.info("daemon: Not listening any more. %d are in flight.", host.in_flight)
    while host.has_callers or any(s.claims.open_claims() for s in host.shards):
        host.caller_server.close_idle()
        await asyncio.sleep(LOOK_EVERY)
    if not await host.flush(FLUSH_FOR):
        log.error("daemon: The log is away. Some outcomes could not be written.")


def start(settings):
    """
    Run one entry host.

    Args:
      settings: The path of the host's settings file.
    """
    checked = read_settings(settings)
    set_up_logs(checked.logs, checked.id)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run_host(checked))


def main():
    """Run the command line of the daemon."""
    # By default it ends a process, also when the terminal that started it is closed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    open_missing_streams()
    fire.Fire(start, name="plumsaddled")


if __name__ == "__main__":
    main()
