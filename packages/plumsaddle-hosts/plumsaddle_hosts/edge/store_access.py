"""
A host's access to the platform's store, shared by all its feeds.
"""

import asyncio
import logging
import math

from plumsaddle_core.ops.peer_table import StoreStatus

from .clock import now

log = logging.getLogger("store")
# Seconds for which a report from a reader is valid: long enough for a waiting read, a
# slow answer and the delivery through the hub. Hosts must know of each change within
# two seconds, even if both readers hang, so the rest must suffice for a read of their
# own.
READER_STATUS_TTL = 1.6
# Seconds for which a host can't be a reader after a failed call, unless a later one
# succeeds, so that hosts that the store rejects don't take turns as readers.
FAILURE_TTL = 10.0


class StoreAccess:
    """
    A host's access to the store; one feed at a time retries while it is unavailable.

    Args:
      on_unavailable: Called with the current time when the store becomes unavailable.
      on_available: Called with the current time when it answers again.
      on_recovery: Called with the time at which it recovered for another host.
      on_restored: Called with the current time when it has answered in a later era,
        which means that it has come back from an older copy.
    """

    def __init__(
        self,
        on_unavailable,
        on_available,
        on_recovery,
        on_restored=lambda at: None,
    ):
        self._lock = asyncio.Lock()
        self._on_unavailable = on_unavailable
        self._on_available = on_available
        self._on_recovery = on_recovery
        self._on_restored = on_restored
        self._on_era = []
        # The latest era in which the store has answered this host, or None.
        self.era = None
        # Whether that era has changed since the start.
        self.has_been_restored = False
        self._failing_feeds = 0
        self._failed_at = -math.inf
        self._answered_at = -math.inf
        self.has_answered = False
        # When the store recovered for this host, in seconds.
        self.recovered_at = -math.inf
        # Whether this host reads the store and forwards changes to others.
        self.is_reader = False
        # Whether it is among the first hosts that retry while the store is unavailable.
        self.is_store_prober = True

    def status(self, at):
        """Return the host's `StoreStatus` at a time in seconds."""
        if at - self._failed_at < FAILURE_TTL:
            return StoreStatus.AWAY
        if self.is_reader and at - self._answered_at < READER_STATUS_TTL:
            return StoreStatus.READING
        return StoreStatus.TOLD

    def set_reader(self, is_reader):
        """Set whether this host is a reader, and return whether that has changed."""
        has_changed = is_reader != self.is_reader
        self.is_reader = is_reader
        return has_changed

    def subscribe(self, on_era):
        """Register a function to call with each later era of the store."""
        self._on_era.append(on_era)

    def note_answer(self, at, era=0):
        """Record a successful read of the store, and the era of the answer."""
        self._answered_at = at
        self._failed_at = -math.inf
        self.note_era(at, era)

    def note_era(self, at, era):
        """Record the era of an answer."""
        if self.era is None:
            self.era = era
        elif era > self.era:
            self.era = era
            self.has_been_restored = True
            self._on_restored(at)
            for on_era in self._on_era:
                on_era(era)

    def note_failure(self, at):
        """Record a failed call to the store."""
        self._failed_at = at

    def note_recovery(self, recovered_at):
        """Record when the store recovered for another host."""
        self._on_recovery(recovered_at)

    def retry_turn(self, topic, error):
        """Return an asynchronous context in which a feed retries a failed call."""
        return _RetryTurn(self, topic, error)

    async def begin_retry(self, topic, error):
        """Record a failed call and wait for the feed's turn to retry."""
        is_away = error.is_unavailable
        if is_away:
            self._failing_feeds += 1
            if self._failing_feeds == 1:
                self.has_answered = False
                log.warning(
                    "store unavailable", extra={"topic": topic, "cause": error.value}
                )
                self._on_unavailable(now())
        await self._lock.acquire()
        return is_away

    def end_retry(self, topic, was_unavailable):
        """Let the next feed retry, and record whether the store has recovered."""
        self._lock.release()
        if was_unavailable:
            self._failing_feeds -= 1
            if not self._failing_feeds:
                log.info(
                    "store available", extra={"topic": topic, "own": self.has_answered}
                )
                at = now()
                if self.has_answered:
                    # Otherwise readers have taken over, and this host knows the time
                    # of the recovery only from them.
                    self.recovered_at = at
                self._on_available(at)


class _RetryTurn:
    """The context of `StoreAccess.retry_turn`."""

    def __init__(self, store_access, topic, error):
        self._store_access = store_access
        self._topic = topic
        self._error = error
        self._was_unavailable = False

    async def __aenter__(self):
        self._was_unavailable = await self._store_access.begin_retry(
            self._topic, self._error
        )

    async def __aexit__(self, *exc_info):
        self._store_access.end_retry(self._topic, self._was_unavailable)
