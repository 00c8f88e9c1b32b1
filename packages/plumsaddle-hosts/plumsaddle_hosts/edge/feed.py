"""
Following a keyed topic of the platform's store.

A feed lists the topic once and then waits for changes with long polls. After a page
with changes it pauses briefly, so that the next call returns several changes of a
burst. While the store is unavailable, one feed of a host retries and the others wait.

Most hosts don't read after the listing. Two readers in each data centre forward the
changes that they read, and report every second the offset that the store confirmed.
A host reads from the store itself when it has no recent report from a reader, or when
it is missing changes that a reader has.
"""

import asyncio
import logging
import math
from typing import NamedTuple

from returns.result import Failure

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
        self._next_offset = None
        self._read_task = None
        self._behind_since = None
        self._logged_offset = None
        self._has_reader_offset = False
        # When a reader last reported that this host is up to date.
        self._reported_at = -math.inf
        self._wakeup = asyncio.Event()
        # Whether the current read was started as a reader, and whether it was cancelled
        # because the host is no longer one.
        self._is_reader_read = False
        self._is_read_abandoned = False
        self.answered_at = None
        # When the store last confirmed to this host or to a reader that `next_offset`
        # is the end of the topic. A new reader reports what it received from others
        # until its own first read is answered.
        self.confirmed_at = -math.inf

    def subscribe(self, on_read):
        """
        Register a callback for each page that this host reads from the store.

        Args:
          on_read: Called with the topic and a `Page`, which may be empty.
        """
        self._on_read = on_read

    @property
    def topic(self):
        """Return the topic's name."""
        return self._topic

    @property
    def next_offset(self):
        """Return the offset of the next read, or 0 before the first page."""
        return self._next_offset or 0

    def age(self, at):
        """
        Return the seconds since the store confirmed that this host is up to date.

        The age is infinite while the host is known to be missing changes.
        """
        return math.inf if self._behind_since is not None else at - self.confirmed_at

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

    def note_reader_offset(self, offset, age, at):
        """
        Apply the end offset of the topic that the store confirmed to a reader.

        A dead connection to the store looks like a topic without changes. The offsets
        of readers reveal it sooner than keep-alive probes.

        Args:
          offset: The reader's `next_offset`.
          age: Seconds since the store confirmed it.
          at: The current time, in seconds.
        """
        if self._next_offset is None:
            self._apply_first_offset(offset, at - age)
            return
        if offset < self._next_offset:
            self._log_ignored("reader reports an earlier offset", offset)
        if offset <= self._next_offset:
            self._reported_at = max(self._reported_at, at - age)
            self.confirmed_at = max(self.confirmed_at, at - age)
            self.wake()
            return
        if self._behind_since is None:
            self._behind_since = at
            self.wake()
        elif self._read_task is not None and at - self._behind_since > MAX_READ_LAG:
            log.warning(
                "feed is behind a reader",
                extra={"topic": self._topic, "at": self._next_offset, "peer": offset},
            )
            self._behind_since = None
            self._read_task.cancel()

    def _apply_first_offset(self, offset, reported_at):
        """Apply the end offset of a topic that this host has not listed yet."""
        if not self._timing.start_wait:
            return
        if offset == 0:
            self._next_offset = 0
            self._reported_at = self.confirmed_at = reported_at
        self._has_reader_offset = True
        self.wake()

    def apply_page(self, start, records, next_offset, at):
        """
        Apply changes that a reader has read.

        Args:
          start: The offset at which its read started.
          records: A list of `KeyedRecord`.
          next_offset: The offset of its next read.
          at: The current time, in seconds.
        """
        if self._next_offset is None or next_offset <= self._next_offset:
            if self._next_offset is not None and next_offset < self._next_offset:
                self._log_ignored("ignoring earlier records", next_offset)
            return
        if start > self._next_offset:
            # An earlier datagram was lost or is late.
            self._behind_since = self._behind_since or at
            self.wake()
            return
        self._reported_at = self.confirmed_at = at
        self._apply(Page(records, next_offset))
        self.wake()

    def _log_ignored(self, event, offset):
        """Log, once for each offset, that another host's offset is below the own."""
        if offset != self._logged_offset:
            self._logged_offset = offset
            fields = {"topic": self._topic, "at": self._next_offset, "peer": offset}
            log.info(event, extra=fields)

    def _apply(self, page):
        """Apply a page of changes, without those that this host already has."""
        new_records = [
            record for record in page.records if record.offset >= self._next_offset
        ]
        self._next_offset = max(self._next_offset, page.next_offset)
        self._behind_since = None
        if new_records:
            self._on_changes(Page(new_records, self._next_offset))

    def _follows_readers(self, at):
        """Return whether readers follow the store for this host."""
        if self._next_offset is None or self.store_access.is_reader:
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
            result = await self._poll()
            if isinstance(result, Failure):
                result = await self._retry(result.failure())
            if result is None:
                continue
            page = result.unwrap()
            is_first_answer = self.answered_at is None
            self.answered_at = self.confirmed_at = now()
            self.store_access.note_answer(self.answered_at)
            if self._next_offset is None:
                self._next_offset = page.next_offset
                self._behind_since = None
                self._on_listing(page)
                if is_first_answer:
                    self._reported_at = (
                        self.answered_at
                        + FIRST_LISTING_TTL
                        - self._timing.reader_status_ttl
                    )
                continue
            self._apply(page)
            if self._on_read is not None:
                self._on_read(self._topic, page)
            if page.records:
                await asyncio.sleep(PAUSE_AFTER_PAGE)

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
          None if readers have taken over.
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
        if self._next_offset is None:
            return await self._store.list_newest(self._topic)
        return await self._store.read(self._topic, self._next_offset, wait)

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
            if self.store_access.has_answered:
                # Another feed has just reached the store, so retry at once.
                delay = 0.0
            while True:
                if not error.is_unavailable:
                    log.warning(
                        "listing topic again",
                        extra={"topic": self._topic, "cause": error.value},
                    )
                    self._next_offset = None
                else:
                    self.store_access.note_failure(now())
                    jitter = self._rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
                    await asyncio.sleep(delay * jitter)
                    max_delay = (
                        MAX_RETRY_DELAY
                        if self.store_access.is_store_prober
                        else MAX_FOLLOWER_RETRY_DELAY
                    )
                    delay = min(max_delay, max(MIN_RETRY_DELAY, delay * 2))
                if self._follows_readers(now()):
                    return None
                result = await self._fetch(0.0)
                if not isinstance(result, Failure):
                    self.store_access.has_answered = True
                    return result
                error = result.failure()
