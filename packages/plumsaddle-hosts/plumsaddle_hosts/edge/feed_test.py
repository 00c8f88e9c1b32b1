"""
Tests of topic feeds against a store with scripted answers.
"""

import asyncio
import contextlib
import random

import pytest
from returns.result import Failure, Success

from plumsaddle_core.ops.peer_table import StoreStatus

from ..platform.store import KeyedRecord, Page, StoreError
from ..utils import supervision
from ..utils.supervision import keep_running
from . import feed
from .clock import now as clock
from .feed import Feed
from .store_access import StoreAccess


@pytest.fixture(autouse=True)
def without_first_listing_ttl(monkeypatch):
    """Let feeds read at once after their first listing."""
    monkeypatch.setattr(feed, "FIRST_LISTING_TTL", -1.0)


class ScriptedStore:
    """A store whose reads return what the test puts into `answers`."""

    def __init__(self, era=0):
        self.answers = asyncio.Queue()
        self.listings = 0
        self.reads = []
        self.era = era

    async def list_newest(self, topic):
        self.listings += 1
        return Success(Page([], 10 * self.listings, self.era))

    async def read(self, topic, offset, wait):
        self.reads.append((offset, wait))
        return await self.answers.get()


def _make_feed(store, events=None, is_reader=True):
    log = [] if events is None else events
    store_access = StoreAccess(
        lambda at: log.append("away"), lambda at: log.append("back"), lambda at: None
    )
    store_access.set_reader(is_reader)
    pages = []
    topic_feed = Feed(
        store, "t", store_access, pages.append, pages.append, random.Random(1)
    )
    return topic_feed, pages


@contextlib.asynccontextmanager
async def _following_feed(era=0):
    """Run a feed of a topic that readers report to end at offset 10."""
    store = ScriptedStore(era)
    topic_feed, pages = _make_feed(store, is_reader=False)
    task = asyncio.ensure_future(topic_feed.run())
    await _run_ready_tasks()
    store.answers.put_nowait(Success(Page([], 10, era)))
    topic_feed.note_reader_offset(10, 0.0, clock(), era)
    await _run_ready_tasks()
    yield store, topic_feed, pages
    task.cancel()


async def _run_ready_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


def test_a_hanging_read_is_restarted(monkeypatch):
    """
    Guards against a stale configuration after a connection to the store went dead,
    which looks like a topic without changes.
    """
    monkeypatch.setattr(feed, "MIN_RETRY_DELAY", 0.001)

    async def run():
        store = ScriptedStore()
        topic_feed, _ = _make_feed(store)
        task = asyncio.ensure_future(topic_feed.run())
        await _run_ready_tasks()
        topic_feed.note_reader_offset(10, 0.0, 100.0)
        topic_feed.note_reader_offset(12, 0.0, 101.0)
        topic_feed.note_reader_offset(12, 0.0, 101.0 + feed.MAX_READ_LAG / 2)
        await _run_ready_tasks()
        assert len(store.reads) == 1
        topic_feed.note_reader_offset(12, 0.0, 101.1 + feed.MAX_READ_LAG)
        await asyncio.sleep(0.05)
        assert [wait for _, wait in store.reads][1:] == [0.0]
        task.cancel()

    asyncio.run(run())


def test_trimmed_records_cause_a_new_listing():
    async def run():
        store = ScriptedStore()
        topic_feed, _ = _make_feed(store)
        task = asyncio.ensure_future(topic_feed.run())
        await _run_ready_tasks()
        store.answers.put_nowait(Failure(StoreError.TRIMMED))
        await _run_ready_tasks()
        assert store.listings == 2
        assert topic_feed.next_offset == 20
        task.cancel()

    asyncio.run(run())


def test_outages_and_recoveries_are_reported_once(monkeypatch):
    monkeypatch.setattr(feed, "MIN_RETRY_DELAY", 0.001)
    monkeypatch.setattr(feed, "MAX_RETRY_DELAY", 0.001)

    async def run():
        store, events = ScriptedStore(), []
        topic_feed, _ = _make_feed(store, events)
        task = asyncio.ensure_future(topic_feed.run())
        await _run_ready_tasks()
        for error in (StoreError.UNAVAILABLE, StoreError.BUSY, StoreError.UNREACHABLE):
            store.answers.put_nowait(Failure(error))
        await asyncio.sleep(0.05)
        assert events == ["away"]
        store.answers.put_nowait(Success(Page([], 11)))
        await asyncio.sleep(0.05)
        assert events == ["away", "back"]
        task.cancel()

    asyncio.run(run())


RECORD = KeyedRecord(10, "t-1", b"entry")
RNG = random.Random(2)


def test_a_host_that_follows_readers_makes_no_calls(monkeypatch):
    """Guards against a call to the store by every host every second."""

    async def run():
        async with _following_feed() as (store, topic_feed, pages):
            assert len(store.reads) == 1
            topic_feed.apply_page(10, [RECORD], 11, clock())
            await _run_ready_tasks()
            assert pages[1:] == [Page([RECORD], 11)]
            # The same page from the other reader, and an earlier one that is late.
            topic_feed.apply_page(10, [RECORD], 11, clock())
            topic_feed.apply_page(9, [RECORD._replace(offset=9)], 10, clock())
            assert len(pages) == 2
            assert len(store.reads) == 1

    asyncio.run(run())


def test_changes_missed_from_readers_are_read(monkeypatch):
    """Guards against sending requests to removed targets after a lost datagram."""
    monkeypatch.setattr(feed, "REORDER_GRACE", 0.01)

    async def run(notify):
        async with _following_feed() as (store, topic_feed, pages):
            notify(topic_feed)
            await asyncio.sleep(0.05)
            assert store.reads[1:] == [(10, 0.0)]
            store.answers.put_nowait(Success(Page([RECORD], 12)))
            await _run_ready_tasks()
            assert pages[1:] == [Page([RECORD], 12)]

    later = RECORD._replace(offset=11)
    asyncio.run(run(lambda topic_feed: topic_feed.apply_page(11, [later], 12, clock())))
    asyncio.run(run(lambda topic_feed: topic_feed.note_reader_offset(12, 0.0, clock())))


def test_a_host_reads_the_store_without_recent_reports(monkeypatch):
    """
    Guards against a stale configuration when readers have died, or report offsets from
    before they were suspended.
    """
    monkeypatch.setattr(feed, "READER_STATUS_TTL", 0.1)

    async def run():
        async with _following_feed() as (store, topic_feed, _):
            assert len(store.reads) == 1
            topic_feed.note_reader_offset(10, 5.0, clock())
            await asyncio.sleep(0.15)
            assert len(store.reads) == 2

    asyncio.run(run())


def test_a_new_reader_reads_at_once():
    """Guards against waiting for the last report of the previous readers to expire."""

    async def run():
        async with _following_feed() as (store, topic_feed, _):
            topic_feed.store_access.set_reader(True)
            topic_feed.wake()
            await _run_ready_tasks()
            assert len(store.reads) == 2

    asyncio.run(run())


def test_hosts_stop_retrying_once_a_reader_is_answered(monkeypatch):
    """Guards against calls from all hosts at once when the store recovers."""
    monkeypatch.setattr(feed, "MIN_RETRY_DELAY", 0.02)
    monkeypatch.setattr(feed, "MAX_RETRY_DELAY", 0.02)

    async def run():
        store, events = ScriptedStore(), []
        topic_feed, pages = _make_feed(store, events, is_reader=False)
        task = asyncio.ensure_future(topic_feed.run())
        await _run_ready_tasks()
        store.answers.put_nowait(Failure(StoreError.BUSY))
        await _run_ready_tasks()
        assert topic_feed.store_access.status(clock()) is StoreStatus.AWAY
        topic_feed.apply_page(10, [RECORD], 11, clock())
        await asyncio.sleep(0.1)
        assert pages[1:] == [Page([RECORD], 11)]
        assert events == ["away", "back"]
        assert store.listings == 1
        assert len(store.reads) == 1
        # Its own calls haven't succeeded since, so it must not become a reader yet.
        assert topic_feed.store_access.status(clock()) is StoreStatus.AWAY
        assert topic_feed.store_access.recovered_at < clock() - 1000.0
        task.cancel()

    asyncio.run(run())


def test_a_pending_read_applies_no_record_twice():
    """Guards against applying an older state of a target after a newer one."""

    async def run():
        store = ScriptedStore()
        topic_feed, pages = _make_feed(store)
        task = asyncio.ensure_future(topic_feed.run())
        await _run_ready_tasks()
        topic_feed.apply_page(10, [RECORD], 11, clock())
        newer = RECORD._replace(offset=11)
        store.answers.put_nowait(Success(Page([RECORD, newer], 12)))
        await _run_ready_tasks()
        assert pages[1:] == [Page([RECORD], 11), Page([newer], 12)]
        task.cancel()

    asyncio.run(run())


def test_a_host_that_starts_beside_readers_lists_but_does_not_read(monkeypatch):
    """Guards against overloading the store when all hosts start at once."""
    monkeypatch.setattr(feed, "FIRST_LISTING_TTL", 0.5)

    async def run():
        store = ScriptedStore()
        topic_feed, pages = _make_feed(store, is_reader=False)
        task = asyncio.ensure_future(topic_feed.run())
        await _run_ready_tasks()
        topic_feed.note_reader_offset(10, 0.0, clock())
        topic_feed.apply_page(10, [RECORD], 11, clock())
        await asyncio.sleep(0.1)
        assert (store.listings, store.reads) == (1, [])
        assert pages[1:] == [Page([RECORD], 11)]
        task.cancel()

    asyncio.run(run())


def test_forwarded_pages_start_where_they_were_read(monkeypatch):
    """
    Guards against gaps in forwarded changes: a reader must not forward a page as if it
    started at the offset of an earlier failed call.
    """
    monkeypatch.setattr(feed, "MIN_RETRY_DELAY", 0.02)

    async def run():
        store, forwarded = ScriptedStore(), []
        topic_feed, _ = _make_feed(store)
        topic_feed.subscribe(lambda topic, page: forwarded.append(page))
        task = asyncio.ensure_future(topic_feed.run())
        await _run_ready_tasks()
        store.answers.put_nowait(Failure(StoreError.BUSY))
        await _run_ready_tasks()
        topic_feed.apply_page(10, [RECORD], 11, clock())
        later = RECORD._replace(offset=11)
        store.answers.put_nowait(Success(Page([later], 12)))
        await asyncio.sleep(0.05)
        assert store.reads[-1] == (11, 0.0)
        assert forwarded == [Page([later], 12)]
        task.cancel()

    asyncio.run(run())


def _make_rarely_changing_feed(store, start_wait=0.2):
    store_access = StoreAccess(lambda at: None, lambda at: None, lambda at: None)
    listed = []
    timing = feed.ReadTiming(0.1, 0.2, 10.0, start_wait)
    topic_feed = Feed(
        store, "t", store_access, listed.append, listed.append, random.Random(1), timing
    )
    return topic_feed, store_access, listed


def test_a_topic_that_readers_report_as_empty_is_not_listed():
    """Guards against a needless call per start for topics that rarely change."""

    async def run():
        store = ScriptedStore()
        topic_feed, _, _ = _make_rarely_changing_feed(store)
        task = asyncio.ensure_future(topic_feed.run())
        await asyncio.sleep(0.05)
        topic_feed.note_reader_offset(0, 0.0, clock())
        await asyncio.sleep(0.4)
        assert store.listings == 0
        assert topic_feed.next_offset == 0
        # Later changes are applied from the start of the topic.
        topic_feed.apply_page(0, [KeyedRecord(0, "a", b"1")], 1, clock())
        assert topic_feed.next_offset == 1
        task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize("reported_offset", [None, 4])
def test_a_topic_that_may_have_records_is_listed_in_time(reported_offset):
    """Guards against a starting host that sends requests which all others hold back."""

    async def run():
        store = ScriptedStore()
        topic_feed, _, listed = _make_rarely_changing_feed(store)
        task = asyncio.ensure_future(topic_feed.run())
        await asyncio.sleep(0.01)
        if reported_offset is not None:
            topic_feed.note_reader_offset(reported_offset, 0.0, clock())
        await asyncio.sleep(0.4 if reported_offset is None else 0.05)
        assert store.listings == 1
        assert len(listed) == 1
        task.cancel()

    asyncio.run(run())


def test_a_cancelled_feed_ends_even_if_its_read_was_cancelled_first():
    """Guards against a feed that keeps polling on shutdown, so that the host hangs."""

    async def run():
        store = ScriptedStore()
        topic_feed, _ = _make_feed(store)
        task = asyncio.ensure_future(topic_feed.run())
        await asyncio.sleep(0.05)
        topic_feed._read_task.cancel()
        task.cancel()
        done, _ = await asyncio.wait({task}, timeout=0.5)
        return bool(done), task

    has_ended, task = asyncio.run(run())
    assert has_ended
    assert task.cancelled()


def test_a_former_reader_cancels_its_read():
    """
    Guards against hosts that keep a call to the store open after another host has
    become a reader in their place.
    """

    async def run():
        store = ScriptedStore()
        topic_feed, access, _ = _make_rarely_changing_feed(store)
        topic_feed.store_access.set_reader(True)
        task = asyncio.ensure_future(topic_feed.run())
        await asyncio.sleep(0.05)
        assert len(store.reads) == 1
        topic_feed.store_access.set_reader(False)
        topic_feed.note_reader_offset(topic_feed.next_offset, 0.0, clock())
        await asyncio.sleep(0.05)
        assert topic_feed._read_task is None
        assert len(store.reads) == 1
        # This does not count as a failed call.
        assert topic_feed.store_access.status(clock()) is StoreStatus.TOLD
        task.cancel()

    asyncio.run(run())


def test_a_new_reader_reports_the_offset_that_it_received():
    """
    Guards against calls from all hosts while the first read of a new reader waits for
    an answer.
    """

    async def run():
        store = ScriptedStore()
        topic_feed, _, _ = _make_rarely_changing_feed(store)
        task = asyncio.ensure_future(topic_feed.run())
        await asyncio.sleep(0.01)
        at = clock()
        topic_feed.note_reader_offset(0, 1.0, at)
        await asyncio.sleep(0.01)
        assert topic_feed.answered_at is None
        assert topic_feed.confirmed_at == at - 1.0
        task.cancel()

    asyncio.run(run())


def _report_lower_offset(topic_feed):
    topic_feed.note_reader_offset(7, 0.0, clock(), 2)


def _report_same_offset(topic_feed):
    topic_feed.note_reader_offset(10, 0.0, clock(), 2)


def _forward_records(topic_feed):
    topic_feed.apply_page(6, [RECORD._replace(offset=6)], 7, clock(), 2)


@pytest.mark.parametrize(
    "report", [_report_lower_offset, _report_same_offset, _forward_records]
)
def test_a_host_lists_again_when_a_reader_is_in_a_later_era(monkeypatch, report):
    """Guards against skipping records whose offsets a restored store reuses."""
    monkeypatch.setattr(feed, "MAX_LISTING_DELAY", 0.02)
    monkeypatch.setattr(feed, "FIRST_LISTING_TTL", 2.0)

    async def run():
        async with _following_feed(era=1) as (store, topic_feed, _):
            store.era = 2
            report(topic_feed)
            assert topic_feed.age(clock()) > 1000.0
            await asyncio.sleep(0.1)
            assert store.listings == 2
            assert topic_feed.position == (2, 20)
            # A datagram that has been on its way since before the restoration.
            topic_feed.note_reader_offset(25, 0.0, clock(), 1)
            topic_feed.apply_page(20, [RECORD._replace(offset=20)], 21, clock(), 1)
            assert topic_feed.position == (2, 20)
            assert not store.reads

    asyncio.run(run())


def test_a_read_in_a_later_era_causes_a_listing_of_all_topics():
    """Guards against a log that has grown past the host's offset when it reads."""

    async def run():
        store = ScriptedStore(era=1)
        topic_feed, pages = _make_feed(store)
        access, listed = topic_feed.store_access, []
        other = Feed(
            ScriptedStore(era=1), "u", access, listed.append, listed.append, RNG
        )
        tasks = [asyncio.ensure_future(f.run()) for f in (topic_feed, other)]
        await _run_ready_tasks()
        store.era = other._store.era = 2
        store.answers.put_nowait(Success(Page([RECORD], 11, 2)))
        await asyncio.sleep(0.05)
        assert pages == [Page([], 10, 1), Page([], 20, 2)]
        assert listed == [Page([], 10, 1), Page([], 20, 2)]
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def test_a_reader_without_eras_makes_a_host_ask_the_store(monkeypatch):
    """Guards against following a reader of a former release after a restoration."""
    monkeypatch.setattr(feed, "REORDER_GRACE", 0.01)

    async def run():
        async with _following_feed(era=1) as (store, topic_feed, _):
            topic_feed.note_reader_offset(7, 0.0, clock())
            await asyncio.sleep(0.05)
            assert store.reads[1:] == [(10, 0.0)]
            store.era = 2
            store.answers.put_nowait(Failure(StoreError.TRIMMED))
            await asyncio.sleep(0.05)
            assert topic_feed.position == (2, 20)

    asyncio.run(run())


def test_a_reader_announces_a_restored_store(monkeypatch):
    """Guards against hosts that learn of it with the next regular heartbeat only."""

    async def run():
        store, forwarded = ScriptedStore(era=1), []
        topic_feed, _ = _make_feed(store)
        topic_feed.subscribe(lambda topic, page: forwarded.append(page))
        task = asyncio.ensure_future(topic_feed.run())
        await _run_ready_tasks()
        store.era = 2
        store.answers.put_nowait(Failure(StoreError.TRIMMED))
        await _run_ready_tasks()
        assert forwarded == [Page([], 20, 2)]
        task.cancel()

    asyncio.run(run())


def test_an_answer_of_a_former_era_is_not_applied(monkeypatch):
    """Guards against records of before a restoration that arrive after its listing."""

    async def run():
        store = ScriptedStore(era=2)
        topic_feed, pages = _make_feed(store)
        task = asyncio.ensure_future(topic_feed.run())
        await _run_ready_tasks()
        store.answers.put_nowait(Success(Page([RECORD], 11, 1)))
        await asyncio.sleep(0.05)
        assert pages == [Page([], 10, 2)]
        assert topic_feed.position == (2, 10)
        task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize("is_listed", [False, True])
def test_a_store_that_stays_unreadable_is_asked_with_pauses(is_listed):
    """Guards against a host that does nothing but list an unreadable topic."""

    async def run():
        store = ScriptedStore()
        list_empty = store.list_newest

        async def list_newest(topic):
            await asyncio.sleep(0)
            page = await list_empty(topic)
            return page if is_listed else Failure(StoreError.UNREADABLE)

        async def read(topic, offset, wait):
            await asyncio.sleep(0)
            return Failure(StoreError.UNREADABLE)

        store.list_newest, store.read = list_newest, read
        topic_feed, _ = _make_feed(store)
        task = asyncio.ensure_future(topic_feed.run())
        await asyncio.sleep(1.0)
        task.cancel()
        return store.listings

    assert 3 <= asyncio.run(run()) <= 9


def test_changes_that_cannot_be_applied_are_listed_again(monkeypatch):
    """Guards against changes that are lost for good as their handler failed."""
    monkeypatch.setattr(supervision, "RESTART_DELAY", 0.0)

    async def play():
        store = ScriptedStore()
        topic_feed, _ = _make_feed(store)

        def fail(page):
            raise ValueError("odd record")

        topic_feed._on_changes = fail
        task = asyncio.ensure_future(keep_running("feed", topic_feed.run))
        store.answers.put_nowait(Success(Page([KeyedRecord(10, "a", b"1")], 11)))
        for _ in range(20):
            await _run_ready_tasks()
        task.cancel()
        return store.listings

    assert asyncio.run(play()) > 1
