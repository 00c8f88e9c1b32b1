"""
How a host stands to the platform's store, for all its feeds together.
"""

import asyncio
import logging
import math

from plumsaddle_core.ops.neighbours import StoreStatus

from .clock import now

log = logging.getLogger("store")
# A reader's last word from the store may be this old, in seconds. The tightest bound on
# what a host must know is two seconds from a change. Both readers may hang when it is
# made, on a store that is silent to them alone; then each host must ask for itself soon
# enough. It is a read that waits, a slow store's answer and the way by the hub.
READER_STATUS_TTL = 1.6
# A host whose call failed is no reader for this long (seconds), unless a later one is
# answered. Others do the part meanwhile, and hosts that the store turns away do not
# take it on by turns.
AWAY_FOR = 10.0


class StoreAccess:
    """
    How a host stands to the store; one feed at a time asks a store that is away.

    Args:
      on_away: Called with the present when the store is lost.
      on_back: Called with the present when it answers again.
      on_returned: Called with the moment at which it came back for another host.
    """

    def __init__(self, on_away, on_back, on_returned):
        self._lock = asyncio.Lock()
        self._on_away = on_away
        self._on_back = on_back
        self._on_returned = on_returned
        self._lost = 0
        self._failed_at = -math.inf
        self._answered_at = -math.inf
        self.has_answered = False
        # When the store came back for this host, in seconds.
        self.recovered_at = -math.inf
        # Whether this host follows the store for the others.
        self.is_reader = False
        # Whether it is among the first that ask a store that is away for all.
        self.is_store_prober = True

    def status(self, at):
        """Return the host's `StoreStatus` by now."""
        if at - self._failed_at < AWAY_FOR:
            return StoreStatus.AWAY
        if self.is_reader and at - self._answered_at < READER_STATUS_TTL:
            return StoreStatus.READING
        return StoreStatus.TOLD

    def set_reader(self, is_reader):
        """Set whether this host reads for others, and return whether that is new."""
        is_new = is_reader != self.is_reader
        self.is_reader = is_reader
        return is_new

    def note_answer(self, at):
        """Take note of an answer of the store."""
        self._answered_at = at
        self._failed_at = -math.inf

    def note_failure(self, at):
        """Take note of a call without an answer."""
        self._failed_at = at

    def note_recovery(self, returned_at):
        """Take from another host when the store came back for it."""
        self._on_returned(returned_at)

    def hold(self, topic, error):
        """Return an asynchronous context in which to ask until an answer comes."""
        return _Held(self, topic, error)

    async def enter(self, topic, error):
        """Note a loss and wait for the turn to ask."""
        is_away = error.is_away
        if is_away:
            self._lost += 1
            if self._lost == 1:
                self.has_answered = False
                log.warning("lost", extra={"topic": topic, "cause": error.value})
                self._on_away(now())
        await self._lock.acquire()
        return is_away

    def leave(self, topic, was_away):
        """Give the turn on, and note the return."""
        self._lock.release()
        if was_away:
            self._lost -= 1
            if not self._lost:
                log.info("regained", extra={"topic": topic, "own": self.has_answered})
                at = now()
                if self.has_answered:
                    # Else others follow the store for this host again, and it knows
                    # only from them when it came back.
                    self.recovered_at = at
                self._on_back(at)


class _Held:
    """The context of `Gate.hold`."""

    def __init__(self, gate, topic, error):
        self.gate = gate
        self._topic = topic
        self._error = error
        self._was_away = False

    async def __aenter__(self):
        self._was_away = await self.gate.enter(self._topic, self._error)

    async def __aexit__(self, *exc_info):
        self.gate.leave(self._topic, self._was_away)
