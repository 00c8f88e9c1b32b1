"""
The pool of a host's connections to targets.

The connection used most recently is reused first, so that the others reach their idle
timeout here and are closed before the target closes them: a request sent just as the
target closes its connection is lost, and an order among them can't be sent again.
"""

from .clock import now
from .target_connection import TargetConnection, connect

# More idle connections would use up the target's own connection limit for nothing, as a
# host has only a few requests in flight at one target.
MAX_IDLE_PER_TARGET = 8
# Seconds. Far longer than a connection takes inside a data centre, so a target that
# exceeds it is down, unreachable or overloaded.
CONNECT_TIMEOUT = 0.3


class ConnectionPool:
    """The connections of one host, by target incarnation."""

    def __init__(self):
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

        def on_closed(connection):
            self._remove(target.incarnation, connection)

        connection = await connect(target.address, timeout, on_closed)
        if isinstance(connection, TargetConnection) and not connection.is_closed:
            self._busy.setdefault(target.incarnation, set()).add(connection)
        return connection

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
