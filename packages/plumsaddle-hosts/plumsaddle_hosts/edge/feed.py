"""
Following a keyed topic of the platform's store.

A feed lists the topic once and then waits for changes with long reads. Changes come
in bursts, so after a page the feed rests a little and takes the next few in one call;
calls to the store are dear. While the store does not answer, only one feed of a host
asks it, and the others wait for that one.
"""

import asyncio
import logging

from returns.result import Failure

from ..platform.store import StoreError
from .clock import now

log = logging.getLogger("store")
# Seconds that a read waits for news, drawn anew for each read. The store grants up to
# 30. A read whose answer was lost hangs for its whole time; as the hosts of a data
# centre wait for different times, one of them soon reads again and the others learn
# from it that they are behind.
WAIT_LEAST = 8.0
WAIT_MOST = 28.0
# Rest after a page with changes. What a host knows may be 2 s old; the rest, a call on
# a slow store and a retry must fit.
REST = 0.8
# Pauses between calls while the store is away, in seconds; each is varied by a part, so
# that hosts do not ask in step.
PAUSE_FIRST = 0.2
PAUSE_MOST = 0.8
PAUSE_SPREAD = 0.25
# A waiting read is given up when another host has had the news for this long (seconds):
# longer than an answer of a slow store, and short against the two seconds within which
# a change must be known.
BEHIND_FOR = 0.5


class Feed:
    """
    One topic, followed for ever.

    Args:
      store: The `Store`.
      topic: The topic's name.
      gate: A `Gate` that all feeds of the host share.
      on_listing: Called with a `Page` that lists all keys.
      on_changes: Called with a `Page` of changes.
      rng: A `random.Random`.
    """

    def __init__(self, store, topic, gate, on_listing, on_changes, rng):
        self._store = store
        self._topic = topic
        self._gate = gate
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._rng = rng
        self._next = None
        self._reading = None
        self._behind_since = None

    @property
    def topic(self):
        """The topic's name."""
        return self._topic

    @property
    def next_offset(self):
        """The offset up to which this host has read, or 0 before the first page."""
        return self._next or 0

    def note_peer(self, offset, at):
        """
        Take how far another host has read; a read that hangs is begun anew.

        A connection that went silent for good looks like a topic without news. The
        offsets of the other hosts tell the two apart sooner than keep-alive probes.

        Args:
          offset: The other host's `next_offset`.
          at: The present, in seconds.
        """
        if self._reading is None or offset <= self.next_offset:
            return
        if self._behind_since is None:
            self._behind_since = at
        elif at - self._behind_since > BEHIND_FOR:
            log.warning(
                "behind", extra={"topic": self._topic, "at": self._next, "peer": offset}
            )
            self._behind_since = None
            self._reading.cancel()

    async def run(self):
        """List, then follow, until cancelled."""
        while True:
            result = await self._follow()
            if isinstance(result, Failure):
                result = await self._retry(result.failure())
            page = result.unwrap()
            is_listing = self._next is None
            self._next = page.next_offset
            if is_listing:
                self._on_listing(page)
            elif page.records:
                self._on_changes(page)
                await asyncio.sleep(REST)

    async def _follow(self):
        """Make the waiting call, which `note_peer` may cut short."""
        self._behind_since = None
        self._reading = asyncio.get_running_loop().create_task(
            self._call(self._rng.uniform(WAIT_LEAST, WAIT_MOST))
        )
        try:
            return await asyncio.shield(self._reading)
        except asyncio.CancelledError:
            if not self._reading.cancelled():
                self._reading.cancel()
                raise
            return Failure(StoreError.AWAY)
        finally:
            self._reading = None

    async def _call(self, wait):
        if self._next is None:
            return await self._store.list_newest(self._topic)
        return await self._store.read(self._topic, self._next, wait)

    async def _retry(self, error):
        """Call again and again until an answer comes, and return it."""
        pause = PAUSE_FIRST
        async with self._gate.hold(self._topic, error):
            if self._gate.has_answered:
                # Another feed has just found the store back; no need to wait again.
                pause = 0.0
            while True:
                if not error.is_away:
                    log.warning(
                        "relist", extra={"topic": self._topic, "cause": error.value}
                    )
                    self._next = None
                else:
                    spread = self._rng.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
                    await asyncio.sleep(pause * spread)
                    pause = min(PAUSE_MOST, max(PAUSE_FIRST, pause * 2))
                result = await self._call(0.0)
                if not isinstance(result, Failure):
                    self._gate.has_answered = True
                    return result
                error = result.failure()


class Gate:
    """
    Lets one feed at a time ask a store that does not answer.

    Args:
      on_away: Called with the present when the store is lost.
      on_back: Called with the present when it answers again.
    """

    def __init__(self, on_away, on_back):
        self._lock = asyncio.Lock()
        self._on_away = on_away
        self._on_back = on_back
        self._lost = 0
        self.has_answered = False

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
                log.info("regained", extra={"topic": topic})
                self._on_back(now())


class _Held:
    """The context of `Gate.hold`."""

    def __init__(self, gate, topic, error):
        self._gate = gate
        self._topic = topic
        self._error = error
        self._was_away = False

    async def __aenter__(self):
        self._was_away = await self._gate.enter(self._topic, self._error)

    async def __aexit__(self, *exc_info):
        self._gate.leave(self._topic, self._was_away)
