"""
The pool of a host's connections to targets.

The connection used most recently is reused first, so that the others reach their idle
timeout here and are closed before the target closes them: a request sent just as the
target closes its connection is lost, and an order among them can't be sent again.
"""

import functools
import logging

from plumsaddle_core.ops.paths import PathState

from .clock import now
from .target_connection import EndCause, TargetConnection

log = logging.getLogger("paths")

# More idle connections would use up the target's own connection limit for nothing, as a
# host has only a few requests in flight at one target.
MAX_IDLE_PER_TARGET = 8


class ConnectionPool:
    """
    The connections of one host, by target incarnation.

    `on_idle_lost` is called when a direct connection without a request was reset.

    Args:
      connector: The `Connector`.
      paths: The `HostPaths`.
      gateways: The `Gateways`.
    """

    def __init__(self, connector, paths, gateways):
        self._connector = connector
        self._paths = paths
        self._gateways = gateways
        self._idle = {}
        self._busy = {}
        self.on_idle_lost = lambda: None

    def has_idle(self, incarnation, max_idle):
        """Return whether `acquire` would return a connection."""
        at = now()
        return any(
            self._is_usable(connection, incarnation, at)
            and connection.is_reusable(at, max_idle)
            for connection in self._idle.get(incarnation, ())
        )

    def acquire(self, incarnation, max_idle):
        """
        Take an idle connection to a target out of the pool.

        Args:
          incarnation: The target's incarnation.
          max_idle: The longest time it may have been idle, in seconds.
        Returns:
          A `TargetConnection`, or None if none is reusable.
        """
        at = now()
        idle = self._idle.get(incarnation, [])
        while idle:
            connection = idle.pop()
            is_usable = self._is_usable(connection, incarnation, at)
            if is_usable and connection.is_reusable(at, max_idle):
                self._busy.setdefault(incarnation, set()).add(connection)
                return connection
            connection.close()
        return None

    def _is_usable(self, connection, incarnation, at):
        """Return whether the way that a connection takes is to be used."""
        if connection.gateway is None:
            return self._paths.state is PathState.CONNECTED
        if not self._gateways.is_known(connection.gateway, at):
            return False
        is_lingering = at < self._paths.recovered_at + connection.linger
        return is_lingering or self._paths.prefers_tunnel(incarnation, at)

    async def open(self, target):
        """Return a new `TargetConnection` to a target, or a `ConnectFailure`."""
        connection = await self._connector.open(target, self._on_closed(target))
        return self._add_busy(target, connection)

    async def probe(self, target):
        """Try a broken path; what it opens is pooled."""
        connection = await self._connector.probe(target, self._on_closed(target))
        if connection is not None:
            self.release_unused(target.incarnation, connection)

    def _on_closed(self, target):
        return functools.partial(self._note_closed, target.incarnation)

    def _add_busy(self, target, connection):
        is_open = isinstance(connection, TargetConnection) and not connection.is_closed
        if is_open:
            self._busy.setdefault(target.incarnation, set()).add(connection)
        return connection

    def _note_closed(self, incarnation, connection, exc):
        if exc is not None and connection.exchange is None:
            extra = {"target": incarnation, "cause": type(exc).__name__}
            log.info("idle connection lost", extra=extra)
            if connection.gateway is None:
                self.on_idle_lost()
        self._remove(incarnation, connection)

    def handle_path_change(self, state):
        """
        Stop using direct connections once no target is reached.

        Requests that may be repeated and have no response yet are ended, so that they
        are sent another way at once. The others may still be answered if the partition
        ends.
        """
        if state is PathState.CONNECTED:
            return
        for connections in list(self._idle.values()):
            for connection in [c for c in connections if c.gateway is None]:
                connection.close()
        for connections in list(self._busy.values()):
            for connection in list(connections):
                exchange = connection.exchange
                is_unanswered = exchange is not None and not exchange.has_head
                is_direct = connection.gateway is None
                if is_direct and connection.is_repeatable and is_unanswered:
                    connection.cut()

    def release(self, incarnation, connection):
        """End a connection's exchange, and pool the connection if it is reusable."""
        connection.end_exchange()
        self.release_unused(incarnation, connection)

    def release_unused(self, incarnation, connection):
        """Pool a connection without an exchange, if it is reusable."""
        self._remove_busy(incarnation, connection)
        if not connection.is_reusable(now()):
            connection.close()
            return
        idle = self._idle.setdefault(incarnation, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.pop(0).close()

    def close_expired(self, listed):
        """
        Close idle connections that timed out, whose target is no longer listed, or
        whose gateway is not needed or lost.

        Args:
          listed: The incarnations of all listed targets.
        """
        at = now()
        for incarnation, idle in list(self._idle.items()):
            for connection in list(idle):
                is_usable = self._is_usable(connection, incarnation, at)
                is_listed = incarnation in listed
                if not (is_listed and is_usable and connection.is_reusable(at)):
                    idle.remove(connection)
                    connection.close()
            if not idle:
                self._idle.pop(incarnation, None)

    def close_incarnation(self, incarnation):
        """
        Close the connections to an incarnation of a target that has ended.

        A target that lost its network or power sends no reset before it restarts.
        Without this, requests in flight there would wait until their deadline.

        A response that is arriving may come from the new process, if this host has
        learnt of the restart late. Keep-alive probes tell: the system of a target that
        has restarted resets a connection that it doesn't know.
        """
        idle = self._idle.pop(incarnation, ())
        busy = self._busy.get(incarnation, ())
        responding = [c for c in busy if c.is_responding]
        unanswered = [c for c in busy if not c.is_responding]
        log.info(
            "connections of a former incarnation closed",
            extra={
                "target": incarnation,
                "idle": len(idle),
                "busy": len(unanswered),
                "responding": len(responding),
            },
        )
        for connection in (*idle, *unanswered):
            connection.close(EndCause.RESTARTED)
        for connection in responding:
            connection.probe()

    def close_idle(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _remove(self, incarnation, connection):
        self._remove_busy(incarnation, connection)
        idle = self._idle.get(incarnation, [])
        if connection in idle:
            idle.remove(connection)

    def _remove_busy(self, incarnation, connection):
        """Remove a connection from the busy ones."""
        busy = self._busy.get(incarnation)
        if busy is None:
            return
        busy.discard(connection)
        if not busy:
            del self._busy[incarnation]
