"""
Tests of following a topic, with a store that answers when it is told to.
"""

import asyncio
import contextlib
import random

import pytest
from returns.result import Failure, Success

from plumsaddle_core.ops.neighbours import StoreStatus

from ..platform.store import KeyedRecord, Page, StoreError
from . import feed
from .clock import now as clock
from .feed import Feed
from .gate import StoreAccess


@pytest.fixture(autouse=True)
def no_rest_at_start(monkeypatch):
    """Let a feed read at once after its first listing."""
    monkeypatch.setattr(feed, "FIRST_LISTING_TTL", -1.0)


class ScriptedStore:
    """A store whose reads answer with what the test puts into `answers`."""

    def __init__(self):
        self.answers = asyncio.Queue()
        self.listings = 0
        self.reads = []

    async def list_newest(self, topic):
        self.listings += 1
        return Success(Page([], 10 * self.listings))

    async def read(self, topic, offset, wait):
        self.reads.append((offset, wait))
        return await self.answers.get()


def _feed(store, away=None, is_reader=True):
    log = [] if away is None else away
    gate = StoreAccess(
        lambda at: log.append("away"), lambda at: log.append("back"), lambda at: None
    )
    gate.set_reader(is_reader)
    taken = []
    made = Feed(store, "t", gate, taken.append, taken.append, random.Random(1))
    return made, taken


@contextlib.asynccontextmanager
async def _told():
    """Follow a topic whose readers have said that it ends at offset 10."""
    store = ScriptedStore()
    made, taken = _feed(store, is_reader=False)
    task = asyncio.ensure_future(made.run())
    await _settle()
    store.answers.put_nowait(Success(Page([], 10)))
    made.note_reader_offset(10, 0.0, clock())
    await _settle()
    yield store, made, taken
    task.cancel()


async def _settle():
    for _ in range(5):
        await asyncio.sleep(0)


def test_a_read_that_hangs_is_begun_anew(monkeypatch):
    """
    A host answers 404 on a route that was added more than two seconds ago.

    Its connection to the store went silent, which looks like a topic without news;
    the other hosts have read further.
    """
    monkeypatch.setattr(feed, "PAUSE_FIRST", 0.001)

    async def run():
        store = ScriptedStore()
        made, _ = _feed(store)
        task = asyncio.ensure_future(made.run())
        await _settle()
        made.note_reader_offset(10, 0.0, 100.0)
        made.note_reader_offset(12, 0.0, 101.0)
        made.note_reader_offset(12, 0.0, 101.0 + feed.BEHIND_FOR / 2)
        await _settle()
        assert len(store.reads) == 1
        made.note_reader_offset(12, 0.0, 101.1 + feed.BEHIND_FOR)
        await asyncio.sleep(0.05)
        assert [wait for _, wait in store.reads][1:] == [0.0]
        task.cancel()

    asyncio.run(run())


def test_deleted_records_start_a_new_listing():
    async def run():
        store = ScriptedStore()
        made, _ = _feed(store)
        task = asyncio.ensure_future(made.run())
        await _settle()
        store.answers.put_nowait(Failure(StoreError.TRIMMED))
        await _settle()
        assert store.listings == 2
        assert made.next_offset == 20
        task.cancel()

    asyncio.run(run())


def test_losses_and_returns_are_told_once(monkeypatch):
    monkeypatch.setattr(feed, "PAUSE_FIRST", 0.001)
    monkeypatch.setattr(feed, "PAUSE_MOST", 0.001)

    async def run():
        store, away = ScriptedStore(), []
        made, _ = _feed(store, away)
        task = asyncio.ensure_future(made.run())
        await _settle()
        for error in (StoreError.AWAY, StoreError.BUSY, StoreError.UNREACHED):
            store.answers.put_nowait(Failure(error))
        await asyncio.sleep(0.05)
        assert away == ["away"]
        store.answers.put_nowait(Success(Page([], 11)))
        await asyncio.sleep(0.05)
        assert away == ["away", "back"]
        task.cancel()

    asyncio.run(run())


RECORD = KeyedRecord(10, "t-1", b"entry")


def test_a_host_that_is_told_does_not_ask(monkeypatch):
    """
    Hundreds of hosts make a call to the store a second each, which costs more than all
    else that they do.

    Two readers of each data centre pass on what they read.
    """

    async def run():
        async with _told() as (store, made, taken):
            assert len(store.reads) == 1
            made.apply_page(10, [RECORD], 11, clock())
            await _settle()
            assert taken[1:] == [Page([RECORD], 11)]
            # The same from the other reader, and a former word that comes late.
            made.apply_page(10, [RECORD], 11, clock())
            made.apply_page(9, [RECORD._replace(offset=9)], 10, clock())
            assert len(taken) == 2
            assert len(store.reads) == 1

    asyncio.run(run())


def test_what_was_lost_on_the_way_is_read(monkeypatch):
    """
    A target that has left gets work, since the datagram that said so was lost.

    The next one, or a reader's beat, shows by its offset that something is missing.
    """
    monkeypatch.setattr(feed, "MISSED_FOR", 0.01)

    async def run(tell):
        async with _told() as (store, made, taken):
            tell(made)
            await asyncio.sleep(0.05)
            assert store.reads[1:] == [(10, 0.0)]
            store.answers.put_nowait(Success(Page([RECORD], 12)))
            await _settle()
            assert taken[1:] == [Page([RECORD], 12)]

    later = RECORD._replace(offset=11)
    asyncio.run(run(lambda made: made.apply_page(11, [later], 12, clock())))
    asyncio.run(run(lambda made: made.note_reader_offset(12, 0.0, clock())))


def test_a_host_reads_for_itself_when_no_reader_is_heard(monkeypatch):
    """
    A host serves an old configuration for good: both readers were killed, or woke from
    a freeze and said how far they were before it.
    """
    monkeypatch.setattr(feed, "READER_STATUS_TTL", 0.1)

    async def run():
        async with _told() as (store, made, _):
            assert len(store.reads) == 1
            made.note_reader_offset(10, 5.0, clock())
            await asyncio.sleep(0.15)
            assert len(store.reads) == 2

    asyncio.run(run())


def test_a_new_reader_reads_at_once():
    """
    A change is known seconds late, since the next host in order begins to read only
    when the last word of the lost readers is old.
    """

    async def run():
        async with _told() as (store, made, _):
            made.store_access.set_reader(True)
            made.wake()
            await _settle()
            assert len(store.reads) == 2

    asyncio.run(run())


def test_hosts_cease_to_ask_once_one_is_answered(monkeypatch):
    """
    The store comes back and meets calls of all hosts at once, again and again.

    The first host that is answered passes on what it reads, and the others cease.
    """
    monkeypatch.setattr(feed, "PAUSE_FIRST", 0.02)
    monkeypatch.setattr(feed, "PAUSE_MOST", 0.02)

    async def run():
        store, away = ScriptedStore(), []
        made, taken = _feed(store, away, is_reader=False)
        task = asyncio.ensure_future(made.run())
        await _settle()
        store.answers.put_nowait(Failure(StoreError.BUSY))
        await _settle()
        assert made.store_access.status(clock()) is StoreStatus.AWAY
        made.apply_page(10, [RECORD], 11, clock())
        await asyncio.sleep(0.1)
        assert taken[1:] == [Page([RECORD], 11)]
        assert away == ["away", "back"]
        assert store.listings == 1
        assert len(store.reads) == 1
        # It does not know of itself that the store is back, so it is no reader yet.
        assert made.store_access.status(clock()) is StoreStatus.AWAY
        assert made.store_access.recovered_at < clock() - 1000.0
        task.cancel()

    asyncio.run(run())


def test_a_read_that_was_under_way_does_not_take_records_twice():
    """
    A host takes a change twice, or an older state of a target after a newer one: its
    own read began before a reader told it the same.
    """

    async def run():
        store = ScriptedStore()
        made, taken = _feed(store)
        task = asyncio.ensure_future(made.run())
        await _settle()
        made.apply_page(10, [RECORD], 11, clock())
        newer = RECORD._replace(offset=11)
        store.answers.put_nowait(Success(Page([RECORD, newer], 12)))
        await _settle()
        assert taken[1:] == [Page([RECORD], 11), Page([newer], 12)]
        task.cancel()

    asyncio.run(run())


def test_a_host_that_starts_beside_readers_lists_and_reads_nothing(monkeypatch):
    """
    The store turns hosts away when all of them start at once.

    Each read both topics before it had heard that others do.
    """
    monkeypatch.setattr(feed, "FIRST_LISTING_TTL", 0.5)

    async def run():
        store = ScriptedStore()
        made, taken = _feed(store, is_reader=False)
        task = asyncio.ensure_future(made.run())
        await _settle()
        made.note_reader_offset(10, 0.0, clock())
        made.apply_page(10, [RECORD], 11, clock())
        await asyncio.sleep(0.1)
        assert (store.listings, store.reads) == (1, [])
        assert taken[1:] == [Page([RECORD], 11)]
        task.cancel()

    asyncio.run(run())


def test_what_is_passed_on_begins_where_it_was_read(monkeypatch):
    """
    Other hosts miss the removal of a target, and keep it for good.

    A reader's call failed, and it heard records from the other reader before the next
    call. It passed on what it read then as if it began where the failed call did.
    """
    monkeypatch.setattr(feed, "PAUSE_FIRST", 0.02)

    async def run():
        store, passed_on = ScriptedStore(), []
        made, _ = _feed(store)
        made.subscribe(lambda topic, page: passed_on.append(page))
        task = asyncio.ensure_future(made.run())
        await _settle()
        store.answers.put_nowait(Failure(StoreError.BUSY))
        await _settle()
        made.apply_page(10, [RECORD], 11, clock())
        later = RECORD._replace(offset=11)
        store.answers.put_nowait(Success(Page([later], 12)))
        await asyncio.sleep(0.05)
        assert store.reads[-1] == (11, 0.0)
        assert passed_on == [Page([later], 12)]
        task.cancel()

    asyncio.run(run())


def _seldom(store, start=0.2):
    gate = StoreAccess(lambda at: None, lambda at: None, lambda at: None)
    listed = []
    pace = feed.Pace(0.1, 0.2, 10.0, start)
    made = Feed(store, "t", gate, listed.append, listed.append, random.Random(1), pace)
    return made, gate, listed


def test_a_topic_that_readers_know_to_be_empty_is_not_listed():
    """
    Each start costs one call more for a topic in which hardly anything is ever written.
    """

    async def run():
        store = ScriptedStore()
        made, _, _ = _seldom(store)
        task = asyncio.ensure_future(made.run())
        await asyncio.sleep(0.05)
        made.note_reader_offset(0, 0.0, clock())
        await asyncio.sleep(0.4)
        assert store.listings == 0
        assert made.next_offset == 0
        # What is written from now on is taken as from the beginning.
        made.apply_page(0, [KeyedRecord(0, "a", b"1")], 1, clock())
        assert made.next_offset == 1
        task.cancel()

    asyncio.run(run())


@pytest.mark.parametrize("word", [None, 4])
def test_a_topic_of_which_more_may_be_known_is_listed_in_time(word):
    """
    A host that starts sends on what all others hold back.

    No reader is heard, or one says that something was written before the start.
    """

    async def run():
        store = ScriptedStore()
        made, _, listed = _seldom(store)
        task = asyncio.ensure_future(made.run())
        await asyncio.sleep(0.01)
        if word is not None:
            made.note_reader_offset(word, 0.0, clock())
        await asyncio.sleep(0.4 if word is None else 0.05)
        assert store.listings == 1
        assert len(listed) == 1
        task.cancel()

    asyncio.run(run())


def test_a_feed_ends_although_its_read_was_cancelled_before_it():
    """
    A host that was told to leave does not end, and is killed when its grace is over.

    At the end all tasks are cancelled at once. The feed took the end of its waiting
    read for a read that was cut short, and asked the store again and again.
    """

    async def run():
        store = ScriptedStore()
        made, _ = _feed(store)
        task = asyncio.ensure_future(made.run())
        await asyncio.sleep(0.05)
        made._read_task.cancel()
        task.cancel()
        done, _ = await asyncio.wait({task}, timeout=0.5)
        return bool(done), task

    has_ended, task = asyncio.run(run())
    assert has_ended
    assert task.cancelled()


def test_a_host_that_is_no_reader_any_more_gives_up_its_read():
    """
    A told host keeps a call to the store open for ten seconds.

    It was the first host up and read for the others, until one with a faster link came.
    Nothing is written to the topic, so the read that it had begun goes on waiting.
    """

    async def run():
        store = ScriptedStore()
        made, away, _ = _seldom(store)
        made.store_access.set_reader(True)
        task = asyncio.ensure_future(made.run())
        await asyncio.sleep(0.05)
        assert len(store.reads) == 1
        made.store_access.set_reader(False)
        made.note_reader_offset(made.next_offset, 0.0, clock())
        await asyncio.sleep(0.05)
        assert made._read_task is None
        assert len(store.reads) == 1
        # The store was not lost by this.
        assert made.store_access.status(clock()) is StoreStatus.TOLD
        task.cancel()

    asyncio.run(run())


def test_a_reader_passes_on_how_far_it_was_told_that_a_topic_goes():
    """
    Told hosts read a topic for themselves, since no reader says how far it goes.

    The reader of before had said that the topic is empty, so the new one had nothing to
    list, and its own read waits for ten seconds before the store says anything.
    """

    async def run():
        store = ScriptedStore()
        made, _, _ = _seldom(store)
        task = asyncio.ensure_future(made.run())
        await asyncio.sleep(0.01)
        at = clock()
        made.note_reader_offset(0, 1.0, at)
        await asyncio.sleep(0.01)
        assert made.answered_at is None
        assert made.confirmed_at == at - 1.0
        task.cancel()

    asyncio.run(run())
