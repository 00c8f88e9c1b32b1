"""
Following a keyed topic of the platform's store.

A feed lists the topic once and then waits for changes with long polls. After a page
with changes it pauses briefly, so that the next call returns several changes of a
burst. While the store is unavailable, one feed of a host retries and the others wait.

Most hosts don't read after the listing. Two readers in each data centre forward the
changes that they read, and report every second the position that the store confirmed.
A host reads from the store itself when it has no recent report from a reader, or when
it is missing changes that a reader has.

When the store has come back from an older copy, each host lists the topic again: what
it knows may be lost there, and a later record may have an offset that it knows.
"""

import asyncio
import logging
import math
from typing import NamedTuple

from returns.result import Failure

from plumsaddle_core.ops.topic_position import Relation, TopicPosition

from ..platform.store import Page, StoreError
from .clock import now
from .store_access import READER_STATUS_TTL

log = logging.getLogger("store")
# Bounds, in seconds, of the random time that a read waits for changes. Readers report
# each answer, so this is also how often other hosts learn that they are up to date.
MIN_READ_WAIT = 0.8
MAX_READ_WAIT = 1.0
# The same for topics that rarely change and whose changes hosts also send to each other
# in datagrams. Changes end a waiting read at once, so only the loss of a reader is
# noticed later.
RARE_MIN_READ_WAIT = 8.0
RARE_MAX_READ_WAIT = 10.0
RARE_READER_STATUS_TTL = 12.0
# Seconds that a starting host waits for a reader to report such a topic as empty,
# before it lists the topic. Readers report within 1.5 s, and the host must know the
# topic three seconds after its start, of which imports take 0.6 s.
RARE_START_WAIT = 1.9
# Seconds of delay after a page with changes. The delay, a slow call and a retry must
# fit into the two seconds within which a host must know of a change.
PAUSE_AFTER_PAGE = 0.8
# Seconds for which a host's own first listing counts as a report from a reader; by then
# it receives reports. Less than the three seconds that a starting host has to learn of
# each change.
FIRST_LISTING_TTL = 2.2
# Seconds between calls while the store is unavailable, with jitter so that hosts don't
# retry in step. Hosts that aren't readers retry less often, since the first reader that
# is answered informs them. They must know of a change two seconds after the recovery.
MIN_RETRY_DELAY = 0.2
MAX_RETRY_DELAY = 0.8
MAX_FOLLOWER_RETRY_DELAY = 1.6
RETRY_JITTER = 0.25
# Seconds for which another host may be ahead before a waiting read is cancelled:
# longer than a slow answer, and well below the two seconds within which a change must
# be known.
MAX_READ_LAG = 0.5
# Bound, in seconds, of the random time before a host lists a topic because another host
# has reported a restored store, so that hundreds of hosts don't list it at once.
MAX_LISTING_DELAY = 0.4
# Seconds that a host waits for missing changes before it reads them itself, since
# datagrams of two readers may arrive out of order.
REORDER_GRACE = 0.15


class ReadTiming(NamedTuple):
    """
    How often a topic is read, in seconds.

    Attributes:
      min_wait: The shortest time that a read waits for changes.
      max_wait: The longest time that a read waits for changes.
      reader_status_ttl: How long a report from a reader is valid.
      start_wait: How long a starting host waits for a reader to report the topic as
        empty before it lists the topic.
    """

    min_wait: float
    max_wait: float
    reader_status_ttl: float
    start_wait: float = 0.0


RARE_CHANGES = ReadTiming(
    RARE_MIN_READ_WAIT, RARE_MAX_READ_WAIT, RARE_READER_STATUS_TTL, RARE_START_WAIT
)


class Feed:
    """
    Follows one topic until cancelled.

    Args:
      store: The `Store`.
      topic: The topic's name.
      store_access: The `StoreAccess` that all feeds of the host share.
      on_listing: Called with a `Page` that lists all keys.
      on_changes: Called with a `Page` of changes.
      rng: A `random.Random`.
      timing: The `ReadTiming`; by default that of topics that change often.
    """

    def __init__(
        self, store, topic, store_access, on_listing, on_changes, rng, timing=None
    ):
        self._store = store
        self._topic = topic
        self.store_access = store_access
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._on_read = None
        self._rng = rng
        self._timing = timing or ReadTiming(
            MIN_READ_WAIT, MAX_READ_WAIT, READER_STATUS_TTL
        )
        self._position = TopicPosition()
        # Whether another host has reported a restored store, and when the topic may be
        # listed then.
        self._is_listing_scheduled = False
        self._list_at = -math.inf
        # Whether the current or latest call is a listing.
        self._is_listing = False
        # When the topic was last listed in place of an unusable read.
        self._relisted_at = -math.inf
        self._read_task = None
        self._behind_since = None
        self._logged_position = None
        self._has_reader_offset = False
        # When a reader last reported that this host is up to date.
        self._reported_at = -math.inf
        self._wakeup = asyncio.Event()
        # Whether the current read was started as a reader, and whether it was cancelled
        # because the host is no longer one or must list the topic instead.
        self._is_reader_read = False
        self._is_read_abandoned = False
        self.answered_at = None
        # When the store last confirmed to this host or to a reader that `position` is
        # the end of the topic. A new reader reports what it received from others until
        # its own first read is answered.
        self.confirmed_at = -math.inf
        store_access.subscribe(self._note_era)

    def subscribe(self, on_read):
        """
        Register a callback for each page that this host reads from the store.

        Args:
          on_read: Called with the topic and a `Page`, which may be empty. It is empty
            after a listing of a restored store.
        """
        self._on_read = on_read

    @property
    def topic(self):
        """Return the topic's name."""
        return self._topic

    @property
    def position(self):
        """Return the `Position` of the next read, or None while a listing is due."""
        return None if self._position.must_list else self._position.current

    @property
    def next_offset(self):
        """Return the offset of the next read, or 0 before the first page."""
        current = self._position.current
        return current.offset if current is not None else 0

    def age(self, at):
        """
        Return the seconds since the store confirmed that this host is up to date.

        The age is infinite while the host is known to be missing changes, or while it
        must list the topic.
        """
        if self._behind_since is not None or self._position.must_list:
            return math.inf
        return at - self.confirmed_at

    def wake(self):
        """Check again whether to read, after a change of what readers do or report."""
        self._wakeup.set()
        if (
            self._read_task is not None
            and self._is_reader_read
            and self._follows_readers(now())
        ):
            # The read was started as a reader. Other readers now report its topic, so
            # it would only keep a connection to the store open.
            self._is_read_abandoned = True
            self._read_task.cancel()

    # Updates from other hosts.

    def note_reader_offset(self, offset, age, at, era=None):
        """
        Apply the end of the topic that the store confirmed to a reader.

        A dead connection to the store looks like a topic without changes. The offsets
        of readers reveal it sooner than keep-alive probes.

        Args:
          offset: The reader's `next_offset`.
          age: Seconds since the store confirmed it.
          at: The current time, in seconds.
          era: The era of the offset, or None if the reader doesn't know eras.
        """
        if self._position.current is None:
            self._apply_first_offset(offset, at - age, era)
            return
        relation = self._position.compare(era, offset)
        if relation is Relation.UP_TO_DATE:
            self._reported_at = max(self._reported_at, at - age)
            self.confirmed_at = max(self.confirmed_at, at - age)
            self.wake()
        elif relation is Relation.BEHIND:
            self._note_behind_reader(offset, at)
        else:
            self._note_other_era(relation, era, offset, at)

    def _note_behind_reader(self, offset, at):
        """Read missing changes, also if a read is waiting for them."""
        if self._behind_since is None:
            self._behind_since = at
            self.wake()
        elif self._read_task is not None and at - self._behind_since > MAX_READ_LAG:
            fields = {"topic": self._topic, "at": self.next_offset, "peer": offset}
            log.warning("feed is behind a reader", extra=fields)
            self._behind_since = None
            self._read_task.cancel()

    def _apply_first_offset(self, offset, reported_at, era):
        """Apply the end offset of a topic that this host has not listed yet."""
        if not self._timing.start_wait:
            return
        if offset == 0:
            self._position.start_empty(era)
            self._reported_at = self.confirmed_at = reported_at
        self._has_reader_offset = True
        self.wake()

    def apply_page(self, start, records, next_offset, at, era=None):
        """
        Apply changes that a reader has read.

        Those of a restored store are applied at once, since a host that can't reach it
        would not get them otherwise; the listing holds them as well.

        Args:
          start: The offset at which its read started.
          records: A list of `KeyedRecord`.
          next_offset: The offset of its next read.
          at: The current time, in seconds.
          era: The era of the read, or None if the reader doesn't know eras.
        """
        relation = self._position.compare(era, next_offset)
        if relation is Relation.BEHIND:
            if start <= self.next_offset:
                self._reported_at = self.confirmed_at = at
                self._apply(Page(records, next_offset, self._position.current.era))
            else:
                # An earlier datagram was lost or is late.
                self._behind_since = self._behind_since or at
            self.wake()
        elif relation is Relation.RESTORED:
            self._hand_over(self._on_changes, Page(records, next_offset, era))
            self._note_other_era(relation, era, next_offset, at)
        elif relation is not Relation.UP_TO_DATE:
            self._note_other_era(relation, era, next_offset, at)

    def _note_other_era(self, relation, era, offset, at):
        """Handle a position of another era, or one that may be of another era."""
        if relation is Relation.UNLISTED:
            return
        if (era, offset) != self._logged_position:
            self._logged_position = (era, offset)
            fields = {
                "topic": self._topic,
                "relation": relation.value,
                "era": self._position.current.era,
                "at": self.next_offset,
                "peer_era": era,
                "peer": offset,
            }
            log.info("reader is in another era", extra=fields)
        if relation is Relation.RESTORED:
            self._schedule_listing(at)
        elif relation is Relation.UNCLEAR:
            # A read shows whether the store has been restored.
            self._behind_since = self._behind_since or at
            self.wake()

    def _schedule_listing(self, at):
        """List the topic soon, instead of a read that is waiting."""
        if not self._is_listing_scheduled:
            self._is_listing_scheduled = True
            self._list_at = at + self._rng.uniform(0.0, MAX_LISTING_DELAY)
        self._abandon_read()
        self._wakeup.set()

    def _note_era(self, era):
        """List the topic if another feed of this host was answered in a later era."""
        if self._position.note_era(era):
            self._list_at = -math.inf
            self._abandon_read()
            self._wakeup.set()

    def _abandon_read(self):
        if self._read_task is not None and not self._is_listing:
            self._is_read_abandoned = True
            self._read_task.cancel()

    def _apply(self, page):
        """Apply a page of changes, without those that this host already has."""
        new_records = [
            record for record in page.records if record.offset >= self.next_offset
        ]
        self._position.advance(page.next_offset)
        self._behind_since = None
        if new_records:
            changes = Page(new_records, self.next_offset, page.era)
            self._hand_over(self._on_changes, changes)

    def _hand_over(self, handle, page):
        """Hand a page over; if that fails, what it holds is listed again."""
        try:
            handle(page)
        except Exception:
            self._position.require_listing()
            raise

    def _follows_readers(self, at):
        """Return whether readers follow the store for this host."""
        if self._position.must_list or self.store_access.is_reader:
            return False
        if self._behind_since is not None and at - self._behind_since >= REORDER_GRACE:
            return False
        return at - self._reported_at < self._timing.reader_status_ttl

    # Calls to the store.

    async def run(self):
        """List the topic, then follow it until cancelled."""
        await self._wait_for_first_offset()
        while True:
            if self._follows_readers(now()):
                await self._wait_for_readers()
                continue
            if self._position.must_list and now() < self._list_at:
                await self._wait_until(self._list_at)
                continue
            result = await self._poll()
            if isinstance(result, Failure):
                result = await self._retry(result.failure())
            if result is not None:
                await self._handle_answer(result.unwrap())

    async def _handle_answer(self, page):
        """Apply a page that the store has answered with."""
        self.answered_at = now()
        self.store_access.note_answer(self.answered_at, page.era)
        if self._is_listing:
            is_accepted = self._apply_listing(page)
        else:
            is_accepted = self._position.accept_read(page.era)
            if is_accepted:
                self.confirmed_at = self.answered_at
                self._apply(page)
                self._notify_read(page)
        if is_accepted and page.records and not self._is_listing:
            await asyncio.sleep(PAUSE_AFTER_PAGE)
        elif not is_accepted and page.era < self._position.current.era:
            # It was answered before a restoration that this host knows of already.
            fields = {"topic": self._topic, "era": page.era, "at": self.next_offset}
            log.warning("ignoring answer of a former era", extra=fields)
            await asyncio.sleep(MIN_RETRY_DELAY)

    def _apply_listing(self, page):
        """Apply a listing, and return whether it is of the era in force."""
        former = self._position.current
        if not self._position.accept_listing(page.era, page.next_offset):
            return False
        self._is_listing_scheduled = False
        self._behind_since = None
        self.confirmed_at = self.answered_at
        self._hand_over(self._on_listing, page)
        self._reported_at = max(
            self._reported_at,
            self.answered_at + FIRST_LISTING_TTL - self._timing.reader_status_ttl,
        )
        if former is not None and page.era > former.era:
            fields = {
                "topic": self._topic,
                "era": page.era,
                "at": page.next_offset,
                "former_era": former.era,
                "former": former.offset,
            }
            log.warning("store restored", extra=fields)
            self._notify_read(page._replace(records=[]))
        return True

    def _notify_read(self, page):
        if self._on_read is not None:
            self._on_read(self._topic, page)

    async def _wait_for_first_offset(self):
        """Wait for a reader to report the topic as empty."""
        deadline = now() + self._timing.start_wait
        while (
            not (self._has_reader_offset or self.store_access.is_reader)
            and now() < deadline
        ):
            await self._wait_until(deadline)

    async def _wait_for_readers(self):
        """Wait until the host may have to read from the store."""
        deadline = self._reported_at + self._timing.reader_status_ttl
        if self._behind_since is not None:
            deadline = min(deadline, self._behind_since + REORDER_GRACE)
        await self._wait_until(deadline)

    async def _wait_until(self, deadline):
        """Wait until a deadline or the next call of `wake`."""
        self._wakeup.clear()
        try:
            async with asyncio.timeout(max(0.0, deadline - now())):
                await self._wakeup.wait()
        except TimeoutError:
            pass

    async def _poll(self):
        """
        List the topic or wait for changes.

        Returns:
          The result of the call, a `Failure` if `note_reader_offset` cancelled it, or
          None if readers have taken over or the topic must be listed instead.
        """
        self._is_reader_read = self.store_access.is_reader
        self._is_read_abandoned = False
        self._read_task = asyncio.get_running_loop().create_task(
            self._fetch(self._choose_wait())
        )
        try:
            return await asyncio.shield(self._read_task)
        except asyncio.CancelledError:
            # On shutdown both the feed and its read are cancelled, so the state of the
            # read doesn't show whether the feed is to end.
            if asyncio.current_task().cancelling():
                self._read_task.cancel()
                raise
            if self._is_read_abandoned:
                return None
            return Failure(StoreError.UNAVAILABLE)
        finally:
            self._read_task = None

    def _choose_wait(self):
        """Return how long a read waits; 0 if changes are known to be available."""
        if self._behind_since is not None:
            return 0.0
        # The last report of this host expires for others while it pauses after a page.
        elapsed = now() - (self.answered_at or now())
        wait = self._rng.uniform(self._timing.min_wait, self._timing.max_wait)
        return max(0.0, wait - elapsed)

    async def _fetch(self, wait):
        self._is_listing = self._position.must_list
        if self._is_listing:
            self._position.begin_listing()
            return await self._store.list_newest(self._topic)
        return await self._store.read(self._topic, self.next_offset, wait)

    async def _retry(self, error):
        """
        Retry a failed call until it succeeds.

        Args:
          error: The `StoreError` of the failed call.
        Returns:
          The `Success`, or None if readers have taken over.
        """
        delay = MIN_RETRY_DELAY
        async with self.store_access.retry_turn(self._topic, error):
            if error.is_unavailable and self.store_access.has_answered:
                # Another feed has just reached the store, so retry at once.
                delay = 0.0
            while True:
                if not error.is_unavailable:
                    log.warning(
                        "listing topic again",
                        extra={"topic": self._topic, "cause": error.value},
                    )
                    self._position.require_listing()
                else:
                    self.store_access.note_failure(now())
                # A listing in place of an unusable read needs no delay, unless the one
                # before it did not help.
                age = now() - self._relisted_at
                if error.is_unavailable or age < MAX_RETRY_DELAY:
                    jitter = self._rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
                    await asyncio.sleep(delay * jitter)
                    max_delay = (
                        MAX_RETRY_DELAY
                        if self.store_access.is_store_prober
                        else MAX_FOLLOWER_RETRY_DELAY
                    )
                    delay = min(max_delay, max(MIN_RETRY_DELAY, delay * 2))
                if not error.is_unavailable:
                    self._relisted_at = now()
                if self._follows_readers(now()):
                    return None
                result = await self._fetch(0.0)
                if not isinstance(result, Failure):
                    self.store_access.has_answered = True
                    return result
                error = result.failure()
