"""
The open connections of callers, and which of them makes room for a new one.

A host needs descriptors for its targets, the store and other hosts too. So callers have
a part of them, and at its limit a connection is closed on which nothing runs: one that
has its response, else the one that has been without a request for longest, else the one
whose request has been arriving for longest. A request that has arrived is never cut.
"""

import enum
from itertools import islice

# Descriptors for everything but callers and what is open on their behalf.
RESERVED_DESCRIPTORS = 64
# Each connection of a caller may need one to a target, but few of them have a request.
CALLERS_FRACTION = 2 / 3
# Connections that are accepted in one turn of the event loop.
ACCEPT_BATCH = 32
# Connections of a state that are asked whether they have delivered everything.
MAX_CHECKS = 32


class CallerState(enum.Enum):
    """What a connection does, in the order in which connections make room."""

    # Its last response has been written.
    CLOSING = "closing"
    # It has no request, or a part of a head.
    WAITING = "waiting"
    # The body of its request is arriving.
    RECEIVING = "receiving"
    SERVING = "serving"


def max_connections(descriptors):
    """Return the most connections of callers for a limit on descriptors."""
    usable = (descriptors - RESERVED_DESCRIPTORS) * CALLERS_FRACTION
    return max(1, int(usable) - ACCEPT_BATCH)


class CallerTable:
    """
    The connections of callers by state.

    Args:
      has_arrived: Tells of a connection whether its request has arrived completely.
      has_delivered: Tells of one whether its caller has everything that was written.
    """

    def __init__(self, has_arrived, has_delivered):
        self._has_arrived = has_arrived
        self._has_delivered = has_delivered
        self._states = {}
        # Ordered by when a connection entered the state.
        self._members = {state: {} for state in CallerState}

    def __len__(self):
        return len(self._states)

    def add(self, conn):
        """Add a connection, which has no request yet."""
        self._states[conn] = CallerState.WAITING
        self._members[CallerState.WAITING][conn] = None

    def note(self, conn, state):
        """Note that a connection enters a `CallerState`, unless it has ended."""
        former = self._states.get(conn)
        if former is None:
            return
        del self._members[former][conn]
        self._states[conn] = state
        self._members[state][conn] = None

    def remove(self, conn):
        """Note that a connection has ended."""
        state = self._states.pop(conn, None)
        if state is not None:
            del self._members[state][conn]

    def pick(self, new):
        """Return the connection that makes room for a new one, at worst that one."""
        closing = self._members[CallerState.CLOSING]
        waiting = self._members[CallerState.WAITING]
        for conn in (*islice(closing, MAX_CHECKS), *islice(waiting, MAX_CHECKS)):
            if conn is not new and self._has_delivered(conn):
                return conn
        for conn in list(self._members[CallerState.RECEIVING]):
            if not self._has_arrived(conn):
                return conn
            self.note(conn, CallerState.SERVING)
        return next(iter(closing), new)
