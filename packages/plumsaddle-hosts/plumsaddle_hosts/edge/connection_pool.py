"""
The pool of a host's connections to targets.

The connection used most recently is reused first, so that the others reach their idle
timeout here and are closed before the target closes them: a request sent just as the
target closes its connection is lost, and an order among them can't be sent again.
"""

import functools
import logging

from plumsaddle_core.ops.paths import PathVerdict

from .clock import now
from .target_connection import TargetConnection, connect

log = logging.getLogger("paths")
# More idle connections would use up the target's own connection limit for nothing, as a
# host has only a few requests in flight at one target.
MAX_IDLE_PER_TARGET = 8
# Seconds. Far longer than a connection takes inside a data centre, so a target that
# exceeds it is down, unreachable or overloaded.
CONNECT_TIMEOUT = 0.3


class ConnectionPool:
    """
    The connections of one host, by target incarnation.

    Args:
      paths: The `HostPaths`.
      service_count: Returns the number of services with targets.
      create_connection: As the method of the event loop, which is used if None.
    """

    def __init__(self, paths, service_count, create_connection=None):
        self._paths = paths
        self._service_count = service_count
        self.create_connection = create_connection
        self._idle = {}
        self._busy = {}

    def has_idle(self, incarnation, max_idle):
        """Return whether `acquire` would return a connection."""
        at = now()
        return any(
            connection.is_reusable(at, max_idle)
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
            if connection.is_reusable(at, max_idle):
                self._busy.setdefault(incarnation, set()).add(connection)
                return connection
            connection.close()
        return None

    async def open(self, target, timeout=CONNECT_TIMEOUT):
        """Return a new `TargetConnection` to a target, or a `ConnectFailure`."""

        connection = await connect(
            target.address,
            timeout,
            functools.partial(
                TargetConnection,
                functools.partial(self._note_closed, target.incarnation),
                self._note_contact,
            ),
            self.create_connection,
        )
        if not isinstance(connection, TargetConnection):
            self._note_failed(target)
        else:
            self._paths.note_connected(target.incarnation, now())
            if not connection.is_closed:
                self._busy.setdefault(target.incarnation, set()).add(connection)
        return connection

    def _note_contact(self):
        former = self._paths.state
        self._paths.note_contact(now())
        self._log_change(former)

    def _note_failed(self, target):
        former = self._paths.state
        self._paths.note_failed(
            target.incarnation,
            target.service,
            PathVerdict.UNCONFIRMED,
            self._service_count(),
            now(),
        )
        self._log_change(former)

    def _log_change(self, former):
        """Log a changed `PathState` with the evidence."""
        if self._paths.state is not former:
            extra = {
                "state": self._paths.state.value,
                "former": former.value,
                "targets": list(self._paths.failed_targets),
                "contact_age": round(now() - self._paths.contact_at, 3),
            }
            log.warning("paths changed", extra=extra)

    def _note_closed(self, incarnation, connection, exc):
        if exc is not None and connection.exchange is None:
            extra = {"target": incarnation, "cause": type(exc).__name__}
            log.info("idle connection lost", extra=extra)
        self._remove(incarnation, connection)

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
        Close idle connections that timed out or whose target is no longer listed.

        Args:
          listed: The incarnations of all listed targets.
        """
        at = now()
        for incarnation, idle in list(self._idle.items()):
            for connection in list(idle):
                if incarnation not in listed or not connection.is_reusable(at):
                    idle.remove(connection)
                    connection.close()
            if not idle:
                self._idle.pop(incarnation, None)

    def close_incarnation(self, incarnation):
        """
        Close all connections to an incarnation of a target that has ended.

        A target that lost its network or power sends no reset before it restarts.
        Without this, requests in flight there would wait until their deadline.
        """
        for connection in (
            *self._idle.pop(incarnation, ()),
            *self._busy.pop(incarnation, ()),
        ):
            connection.close()

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
