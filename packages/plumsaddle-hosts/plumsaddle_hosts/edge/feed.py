"""
Following a keyed topic of the platform's store.

A feed lists the topic once and then waits for changes with long reads. Changes come
in bursts, so after a page the feed rests a little and takes the next few in one call;
calls to the store are dear. While the store does not answer, only one feed of a host
asks it, and the others wait for that one.

Most hosts do not read at all after the listing. Two readers of each data centre pass
on what they read, and say each second how far the store says that they are. A host asks
the store itself when no reader has said so lately, or when it misses something that a
reader has. With each host reading for itself, 293 hosts made a call a second each.
"""

import asyncio
import logging
import math
from typing import NamedTuple

from returns.result import Failure

from ..platform.store import Page, StoreError
from .clock import now
from .gate import READER_STATUS_TTL

log = logging.getLogger("store")
# Seconds that a read waits for news, drawn anew for each read. Readers pass on that it
# was answered, so this is also how often the other hosts hear that they know all.
MIN_READ_WAIT = 0.8
MAX_READ_WAIT = 1.0
# The same of a topic in which hardly anything is ever written and whose news hosts tell
# each other by datagrams besides. A read that waits is answered at once when there is
# news, so only a reader's loss is noticed later. It saves nine calls of ten.
SELDOM_LEAST = 8.0
SELDOM_MOST = 10.0
SELDOM_TOLD_FOR = 12.0
# Seconds for which a host that starts waits to hear from a reader that nothing was ever
# written to such a topic, before it lists it. It must know three seconds after its
# start, of which loading our code takes 0.6; readers speak after a second and a half.
SELDOM_START = 1.9
# Rest after a page with changes. What a host knows may be 2 s old; the rest, a call on
# a slow store and a retry must fit.
PAUSE_AFTER_PAGE = 0.8
# A host's own first listing counts as told for this long, in seconds. By then it has
# heard of the readers and need not read at all. A host that has started is given three
# seconds before it must know of each change.
FIRST_LISTING_TTL = 2.2
# Pauses between calls while the store is away, in seconds; each is varied by a part, so
# that hosts do not ask in step. Hosts that are not readers ask less often, since the
# first reader that is answered tells them; a change made after the return must be known
# two seconds later.
PAUSE_FIRST = 0.2
PAUSE_MOST = 0.8
PAUSE_OTHERS = 1.6
PAUSE_SPREAD = 0.25
# A waiting read is given up when another host has had the news for this long (seconds):
# longer than an answer of a slow store, and short against the two seconds within which
# a change must be known.
BEHIND_FOR = 0.5
# A host that is told by readers asks the store itself when it has missed something for
# this long (seconds): what two readers tell comes in any order.
MISSED_FOR = 0.15


class Pace(NamedTuple):
    """
    How often a topic is read, in seconds.

    A read waits for a time between the first two. A reader's last word that it was
    answered is trusted for `told_for`. A host that starts lists the topic only when it
    has not heard for `start` that it is empty.
    """

    wait_least: float
    wait_most: float
    told_for: float
    start: float = 0.0


SELDOM = Pace(SELDOM_LEAST, SELDOM_MOST, SELDOM_TOLD_FOR, SELDOM_START)


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
      pace: The `Pace`; that of a topic whose changes must be known soon if None.
    """

    def __init__(self, store, topic, gate, on_listing, on_changes, rng, pace=None):
        self._store = store
        self._topic = topic
        self.store_access = gate
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._on_read = None
        self._rng = rng
        self._pace = pace or Pace(MIN_READ_WAIT, MAX_READ_WAIT, READER_STATUS_TTL)
        self._next = None
        self._read_task = None
        self._behind_since = None
        self._has_word = False
        self._told_at = -math.inf
        self._awake = asyncio.Event()
        # Whether the present read was begun as a reader, and has been given up since.
        self._reads_for_all = False
        self._is_given_up = False
        self.answered_at = None
        # When the store last said how far the topic goes, to this host or to a reader.
        # A new reader's own read may wait long before it is answered; until then it
        # passes on what it was told, else all hosts would ask for themselves.
        self.confirmed_at = -math.inf

    def subscribe(self, on_read):
        """
        Set what is called with the topic and the `Page` of each answered read of this
        host's own; the page may be empty.
        """
        self._on_read = on_read

    @property
    def topic(self):
        """The topic's name."""
        return self._topic

    @property
    def next_offset(self):
        """The offset up to which this host has read, or 0 before the first page."""
        return self._next or 0

    def age(self, at):
        """
        Return the seconds since the store said that this host has read all there is.

        It is infinite for a host that knows that it has missed something.
        """
        return math.inf if self._behind_since is not None else at - self.confirmed_at

    def wake(self):
        """Look again whether to read; the host has become a reader, or is none now."""
        self._awake.set()
        if self._read_task is not None and self._reads_for_all and self._is_told(now()):
            # Begun when the host was a reader: the call waits for what others tell it
            # now, and keeps a connection to the store for as long.
            self._is_given_up = True
            self._read_task.cancel()

    # What other hosts say.

    def note_reader_offset(self, offset, age, at):
        """
        Take how far the store has told a reader that its log goes.

        A connection that went silent for good looks like a topic without news. The
        offsets of the other hosts tell the two apart sooner than keep-alive probes.

        Args:
          offset: The reader's `next_offset`.
          age: How many seconds ago the store said so.
          at: The present, in seconds.
        """
        if self._next is None:
            self._take_first_word(offset, at - age)
            return
        if offset <= self._next:
            self._told_at = max(self._told_at, at - age)
            self.confirmed_at = max(self.confirmed_at, at - age)
            self.wake()
            return
        if self._behind_since is None:
            self._behind_since = at
            self.wake()
        elif self._read_task is not None and at - self._behind_since > BEHIND_FOR:
            log.warning(
                "behind", extra={"topic": self._topic, "at": self._next, "peer": offset}
            )
            self._behind_since = None
            self._read_task.cancel()

    def _take_first_word(self, offset, told_at):
        """Take how far a topic goes that this host has not listed."""
        if not self._pace.start:
            return
        if offset == 0:
            self._next = 0
            self._told_at = self.confirmed_at = told_at
        self._has_word = True
        self.wake()

    def apply_page(self, start, records, next_offset, at):
        """
        Take changes that a reader has read.

        Args:
          start: The offset at which its read began.
          records: A list of `KeyedRecord`.
          next_offset: Where it reads on.
          at: The present, in seconds.
        """
        if self._next is None or next_offset <= self._next:
            return
        if start > self._next:
            # What came before was lost on the way.
            self._behind_since = self._behind_since or at
            self.wake()
            return
        self._told_at = self.confirmed_at = at
        self._take(Page(records, next_offset))
        self.wake()

    def _take(self, page):
        """Take changes, but for those that this host had from somebody else."""
        fresh = [record for record in page.records if record.offset >= self._next]
        self._next = max(self._next, page.next_offset)
        self._behind_since = None
        if fresh:
            self._on_changes(Page(fresh, self._next))

    def _is_told(self, at):
        """Whether others follow the store for this host."""
        if self._next is None or self.store_access.is_reader:
            return False
        if self._behind_since is not None and at - self._behind_since >= MISSED_FOR:
            return False
        return at - self._told_at < self._pace.told_for

    # What the store says.

    async def run(self):
        """List, then follow, until cancelled."""
        await self._wait_at_start()
        while True:
            if self._is_told(now()):
                await self._wait_while_told()
                continue
            result = await self._follow()
            if isinstance(result, Failure):
                result = await self._retry(result.failure())
            if result is None:
                continue
            page = result.unwrap()
            is_start = self.answered_at is None
            self.answered_at = self.confirmed_at = now()
            self.store_access.note_answer(self.answered_at)
            if self._next is None:
                self._next = page.next_offset
                self._behind_since = None
                self._on_listing(page)
                if is_start:
                    self._told_at = (
                        self.answered_at + FIRST_LISTING_TTL - self._pace.told_for
                    )
                continue
            self._take(page)
            if self._on_read is not None:
                self._on_read(self._topic, page)
            if page.records:
                await asyncio.sleep(PAUSE_AFTER_PAGE)

    async def _wait_at_start(self):
        """Wait whether a reader says that there is nothing to list."""
        until = now() + self._pace.start
        while not (self._has_word or self.store_access.is_reader) and now() < until:
            await self._wait_until(until)

    async def _wait_while_told(self):
        """Wait until something may have to be read."""
        until = self._told_at + self._pace.told_for
        if self._behind_since is not None:
            until = min(until, self._behind_since + MISSED_FOR)
        await self._wait_until(until)

    async def _wait_until(self, until):
        """Wait until a moment, or until there is something to look at."""
        self._awake.clear()
        try:
            async with asyncio.timeout(max(0.0, until - now())):
                await self._awake.wait()
        except TimeoutError:
            pass

    async def _follow(self):
        """
        Make the waiting call, which `note_reader` may cut short.

        It is None if others follow the store for this host by then.
        """
        self._reads_for_all = self.store_access.is_reader
        self._is_given_up = False
        self._read_task = asyncio.get_running_loop().create_task(
            self._call(self._draw_wait())
        )
        try:
            return await asyncio.shield(self._read_task)
        except asyncio.CancelledError:
            # Whether the feed itself is to end, or `note_reader` cut its read short. At
            # the end of a host both are cancelled, so the read alone does not tell: a
            # feed that went on asking kept the process from ending.
            if asyncio.current_task().cancelling():
                self._read_task.cancel()
                raise
            if self._is_given_up:
                return None
            return Failure(StoreError.AWAY)
        finally:
            self._read_task = None

    def _draw_wait(self):
        """Return how long a read waits; what is known to be there is not waited for."""
        if self._behind_since is not None:
            return 0.0
        # The others' time with the last word runs while this host rests after a page.
        rested = now() - (self.answered_at or now())
        wait = self._rng.uniform(self._pace.wait_least, self._pace.wait_most)
        return max(0.0, wait - rested)

    async def _call(self, wait):
        if self._next is None:
            return await self._store.list_newest(self._topic)
        return await self._store.read(self._topic, self._next, wait)

    async def _retry(self, error):
        """
        Call again and again until an answer comes, and return it.

        It is None if others follow the store for this host by then.
        """
        pause = PAUSE_FIRST
        async with self.store_access.hold(self._topic, error):
            if self.store_access.has_answered:
                # Another feed has just found the store back; no need to wait again.
                pause = 0.0
            while True:
                if not error.is_away:
                    log.warning(
                        "relist", extra={"topic": self._topic, "cause": error.value}
                    )
                    self._next = None
                else:
                    self.store_access.note_failure(now())
                    spread = self._rng.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD)
                    await asyncio.sleep(pause * spread)
                    most = (
                        PAUSE_MOST
                        if self.store_access.is_store_prober
                        else PAUSE_OTHERS
                    )
                    pause = min(most, max(PAUSE_FIRST, pause * 2))
                if self._is_told(now()):
                    return None
                result = await self._call(0.0)
                if not isinstance(result, Failure):
                    self.store_access.has_answered = True
                    return result
                error = result.failure()
