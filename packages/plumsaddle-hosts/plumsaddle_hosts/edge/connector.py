"""
Opens connections to targets: directly, or through a gateway if the path is broken.

If a direct connection fails or takes long, a gateway is asked to connect to the same
target. Whatever connects first is used. The outcome tells a broken path from a target
that is down, so neither is blamed for the other.
"""

import asyncio
import logging

from plumsaddle_core.ops.paths import PathState, PathVerdict

from .clock import now
from .target_connection import ConnectFailure, TargetConnection, connect
from .tunnel import TunnelledConnection, TunnelRequest, TunnelStatus, open_tunnel

log = logging.getLogger("paths")
# Seconds. Far longer than a connection takes inside a data centre, so a target that
# exceeds it is down, unreachable or overloaded.
CONNECT_TIMEOUT = 0.3
# Seconds after which a gateway is asked while the direct connection is outstanding.
FALLBACK_DELAY = 0.1
# Seconds for one gateway, which includes its connection to the target.
TUNNEL_TIMEOUT = 0.35
# Seconds after which the next gateway is asked as well. The first one may itself be
# partitioned and not know it yet.
NEXT_GATEWAY_DELAY = 0.05
# Longest time for which a tunnel is used after a partition, in seconds. It differs
# between tunnels, so that hosts don't open all connections anew at once.
MAX_LINGER = 3.0
FAILURES = {
    TunnelStatus.REFUSED: ConnectFailure.REFUSED,
    TunnelStatus.NO_RESPONSE: ConnectFailure.NO_RESPONSE,
}


class Connector:
    """
    Opens the connections of one host.

    `on_failed` is called with the `PathVerdict` when no direct connection was opened,
    and `on_change` with the `PathState` when it has changed. `create_connection` is as
    that of utils/outgoing.py, which is used if None.

    Args:
      host: The host's id.
      paths: The `HostPaths`.
      gateways: The `Gateways`.
      service_count: Returns the number of services with targets.
      rng: A `random.Random`.
      metrics: The `EdgeMetrics`.
    """

    def __init__(self, host, paths, gateways, service_count, rng, metrics):
        self._host = host
        self._paths = paths
        self._gateways = gateways
        self._service_count = service_count
        self._rng = rng
        self._metrics = metrics
        self.on_failed = lambda verdict: None
        self.on_change = lambda state: None
        self.create_connection = None

    async def open(self, target, on_closed):
        """
        Open a connection to a target.

        Args:
          target: The `Target`.
          on_closed: As for `TargetConnection`.
        Returns:
          A `TargetConnection` or a `ConnectFailure`.
        """
        if not self._paths.prefers_tunnel(target.incarnation, now()):
            return await self._open_with_fallback(target, on_closed)
        tunnel = await self._open_tunnel(target, on_closed)
        if tunnel is TunnelStatus.UNAVAILABLE:
            return await self._open_direct(target, on_closed)
        if isinstance(tunnel, TunnelStatus):
            self.note_failed(target, PathVerdict.DOWN)
            return FAILURES[tunnel]
        if self._paths.state is PathState.ISOLATED:
            self.note_failed(target, PathVerdict.BYPASSED)
        return tunnel

    async def _open_direct(self, target, on_closed):
        """Open a connection although the path is known to be broken."""
        result = await self._connect(target, on_closed)
        if isinstance(result, ConnectFailure):
            self._paths.note_probe_failed()
            self.note_failed(target, PathVerdict.UNCONFIRMED)
            return self._own_failure(target, result)
        self.note_connected(target)
        return result

    async def probe(self, target, on_closed):
        """
        Try a path that is known to be broken.

        Returns:
          The `TargetConnection`, or None.
        """
        result = await self._connect(target, on_closed)
        if isinstance(result, ConnectFailure):
            self._paths.note_probe_failed()
            return None
        self.note_connected(target)
        return result

    async def _connect(self, target, on_closed):
        return await connect(
            target.address,
            CONNECT_TIMEOUT,
            lambda: TargetConnection(on_closed, self.note_contact),
            self.create_connection,
        )

    async def _open_with_fallback(self, target, on_closed):
        loop = asyncio.get_running_loop()
        direct = loop.create_task(self._connect(target, on_closed))
        tasks = [direct]
        connection = None
        try:
            await asyncio.wait(tasks, timeout=FALLBACK_DELAY)
            if not _is_open(direct) and self._paths.may_ask(target.incarnation, now()):
                tasks.append(loop.create_task(self._open_tunnel(target, on_closed)))
            connection = await _first_open(tasks)
            if _is_open(direct):
                self.note_connected(target)
            elif connection is not None:
                self.note_failed(target, PathVerdict.BYPASSED)
            elif len(tasks) > 1:
                return self._fail(target, *(task.result() for task in tasks))
            return connection or direct.result()
        finally:
            _drop_others(tasks, connection)

    def _fail(self, target, failure, status):
        """Return the `ConnectFailure` after both ways have failed."""
        if status is TunnelStatus.UNAVAILABLE:
            self.note_failed(target, PathVerdict.UNCONFIRMED)
            return self._own_failure(target, failure)
        self.note_failed(target, PathVerdict.DOWN)
        return FAILURES[status]

    def _own_failure(self, target, failure):
        """
        Return a `ConnectFailure` that no other host has confirmed.

        It says nothing about the target if other services are not reached either.
        """
        if self._paths.is_own_failure_likely(target.incarnation):
            return ConnectFailure.NO_PATH
        return failure

    async def _open_tunnel(self, target, on_closed):
        """Return a `TunnelledConnection`, or a `TunnelStatus` if there is none."""
        loop = asyncio.get_running_loop()
        tasks = []
        tunnel = None
        try:
            for gateway in self._gateways.choose(now()):
                asked = loop.create_task(self._ask(gateway, target, on_closed))
                tasks.append(asked)
                await asyncio.wait([asked], timeout=NEXT_GATEWAY_DELAY)
                if any(map(_is_open, tasks)):
                    break
            tunnel = await _first_open(tasks)
        finally:
            _drop_others(tasks, tunnel)
        if tunnel is not None:
            return tunnel
        statuses = {task.result() for task in tasks}
        return next(filter(statuses.__contains__, FAILURES), TunnelStatus.UNAVAILABLE)

    async def _ask(self, gateway, target, on_closed):
        """Ask one gateway, and note whether it could help."""
        result = await open_tunnel(
            gateway,
            TunnelRequest(self._host, target.id, target.address),
            TUNNEL_TIMEOUT,
            lambda: TunnelledConnection(
                gateway, self._rng.uniform(0.0, MAX_LINGER), on_closed
            ),
        )
        is_open = not isinstance(result, TunnelStatus)
        status = TunnelStatus.OPENED if is_open else result
        self._metrics.tunnels.inc({"side": "host", "status": status.name.lower()})
        if is_open:
            self._gateways.note_worked(gateway)
        elif status is TunnelStatus.UNAVAILABLE:
            self._gateways.note_failed(gateway, now())
        return result

    # Observations, with a log line for each change of the state.

    def note_contact(self):
        """Note bytes from a target on a direct connection."""
        former = self._paths.state
        self._paths.note_contact(now())
        self._report(former)

    def note_connected(self, target):
        """Note a direct connection to a target."""
        former = self._paths.state
        self._paths.note_connected(target.incarnation, now())
        self._report(former)

    def note_failed(self, target, verdict):
        """Note that no direct connection to a target was opened."""
        former = self._paths.state
        self._paths.note_failed(
            target.incarnation, target.service, verdict, self._service_count(), now()
        )
        self._report(former)
        self.on_failed(verdict)

    def _report(self, former):
        state = self._paths.state
        if state is former:
            return
        extra = {
            "state": state.value,
            "former": former.value,
            "targets": list(self._paths.failed_targets),
            "contact_age": round(now() - self._paths.contact_at, 3),
        }
        log.warning("paths changed", extra=extra)
        self.on_change(state)


def _is_open(task):
    """Return whether a task has ended with an open connection."""
    if not task.done() or task.cancelled() or task.exception() is not None:
        return False
    return isinstance(task.result(), TargetConnection)


async def _first_open(tasks):
    """Return the first connection that any of some tasks opens, or None."""
    pending = set(tasks)
    while pending and not any(map(_is_open, tasks)):
        _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
    return next((task.result() for task in tasks if _is_open(task)), None)


def _drop_others(tasks, connection):
    """Cancel tasks that have not ended, and close all connections but one."""
    for task in tasks:
        if _is_open(task) and task.result() is not connection:
            task.result().close()
        task.cancel()
