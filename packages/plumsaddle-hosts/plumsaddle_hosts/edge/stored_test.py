"""
Tests of the records of suspect requests in the platform's store.
"""

import asyncio
import time

import msgspec
from returns.result import Failure, Success

from plumsaddle_core.ops.suspects import MIN_HOLD, RunRecord, SuspectRequests

from ..platform.store import Appended, KeyedRecord, Page, StoreError
from .clock import now
from .store_access import StoreAccess
from .stored import TOPIC, StoredSuspects, SuspectRecord


class ScriptedStore:
    """A store with scripted answers to writes."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.written = []

    async def put(self, topic, values):
        self.written.append((topic, values))
        return self.answers.pop(0)


def _make(*answers, is_reader=False):
    suspects, store = SuspectRequests(), ScriptedStore(*answers)
    store_access = StoreAccess(lambda at: None, lambda at: None, lambda at: None)
    store_access.set_reader(is_reader)
    return StoredSuspects(store, suspects, store_access), suspects, store


def _make_record(*crashed, at=None, offset=1):
    value = msgspec.json.encode(
        SuspectRecord(list(crashed), [], time.time() if at is None else at)
    )
    return KeyedRecord(offset, "k", value)


def test_a_wrong_wall_clock_does_not_shorten_a_hold():
    """Guards against releasing a request that a host with a slow clock recorded."""
    stored, suspects, _ = _make()
    stored.apply_page(Page([_make_record("a", "b", "c", at=time.time() - 7200.0)], 2))
    assert suspects.hold_remaining("k", now()) > MIN_HOLD - 1.0


def test_a_deeply_nested_record_does_not_hide_others():
    """An odd record of another writer ended the feed of suspect requests."""
    stored, suspects, _ = _make()
    value = _make_record("a").value[:-1] + b', "more": ' + b"[" * 100_000 + b"1"
    broken = KeyedRecord(1, "x", value + b"]" * 100_000 + b"}")
    stored.apply_page(Page([broken, _make_record("a", "b", "c", offset=2)], 3))
    assert suspects.crash_count("k") == 3


def test_an_unreadable_record_does_not_hide_others():
    stored, suspects, _ = _make()
    broken = KeyedRecord(1, "x", b"\xff no record")
    stored.apply_page(Page([broken, _make_record("a", "b", "c", offset=2)], 3))
    assert suspects.crash_count("k") == 3
    stored.apply_page(Page([KeyedRecord(3, "k", None)], 4))
    assert suspects.crash_count("k") == 0


def test_a_failed_write_is_retried():
    """Guards against records that are lost while the store is unavailable."""

    async def run():
        stored, suspects, store = _make(
            Failure(StoreError.UNAVAILABLE), Success(Appended(0))
        )
        for incarnation in ("a", "b"):
            suspects.add(RunRecord("k", incarnation, True), now(), is_own=True)
        for _ in range(4):
            stored.schedule_write()
            await asyncio.sleep(0.01)
        return store

    store = asyncio.run(run())
    assert [topic for topic, _ in store.written] == [TOPIC, TOPIC]
    value = msgspec.json.decode(store.written[-1][1]["k"])
    assert value["ended"] == ["a", "b"]


def test_only_readers_remove_expired_records_from_the_store():
    async def run(is_reader):
        stored, _, store = _make(Success(Appended(0)), is_reader=is_reader)
        stored.apply_page(Page([_make_record("a")], 2))
        stored.evict_expired(now() + 2 * MIN_HOLD)
        await asyncio.sleep(0.01)
        return store.written

    assert asyncio.run(run(True)) == [(TOPIC, {"k": b""})]
    assert asyncio.run(run(False)) == []


def _make_known(*answers, is_reader=True):
    """Return the state of a host that has listed a request which others recorded."""
    stored, suspects, store = _make(*answers, is_reader=is_reader)
    stored.apply_listing(Page([_make_record("a", "b", "c")], 2, 1))
    return stored, suspects, store


def test_records_that_a_restored_store_has_lost_are_written_again():
    """Guards against starting hosts that don't know which requests crash targets."""

    async def run(is_reader):
        stored, suspects, store = _make_known(Success(Appended(0)), is_reader=is_reader)
        stored.schedule_write()
        assert not store.written
        stored.apply_listing(Page([], 0, 2))
        assert suspects.hold_remaining("k", now()) > 0.0
        stored.schedule_write()
        await asyncio.sleep(0.01)
        return [list(values) for _, values in store.written]

    assert asyncio.run(run(True)) == [["k"]]
    # Two readers in each data centre are enough.
    assert asyncio.run(run(False)) == []


def test_records_of_a_host_that_never_listed_the_topic_are_written_again():
    """Guards against losing a record in a topic that was reported as empty before."""

    async def run():
        stored, suspects, store = _make(
            Success(Appended(0, 1)), Success(Appended(0, 2))
        )
        for incarnation in ("a", "b"):
            suspects.add(RunRecord("k", incarnation, True), now(), is_own=True)
        stored.schedule_write()
        await asyncio.sleep(0.01)
        stored._store_access.note_era(now(), 2)
        stored.apply_listing(Page([], 0, 2))
        stored.schedule_write()
        await asyncio.sleep(0.01)
        return len(store.written)

    assert asyncio.run(run()) == 2


def test_a_write_that_was_accepted_before_a_restoration_is_repeated():
    """Guards against taking a record for stored that the store has lost."""

    async def run():
        accepted = Success(Appended(7, 1)), Success(Appended(0, 2))
        stored, suspects, store = _make(*accepted)
        stored._store_access.note_era(now(), 1)
        for incarnation in ("a", "b"):
            suspects.add(RunRecord("k", incarnation, True), now(), is_own=True)
        stored.schedule_write()
        stored._store_access.note_era(now(), 2)
        await asyncio.sleep(0.01)
        stored.schedule_write()
        await asyncio.sleep(0.01)
        stored.schedule_write()
        return len(store.written)

    assert asyncio.run(run()) == 2


def test_a_release_that_a_restored_store_has_lost_is_repeated():
    """Guards against holding a request back that an operator has released."""

    async def run():
        stored, suspects, store = _make_known(Success(Appended(0)))
        stored.apply_page(Page([KeyedRecord(2, "k", None)], 3, 1))
        stored.apply_listing(Page([_make_record("a", "b", "c")], 2, 2))
        assert suspects.hold_remaining("k", now()) == 0.0
        stored.evict_expired(now())
        await asyncio.sleep(0.01)
        return store.written

    assert asyncio.run(run()) == [(TOPIC, {"k": b""})]


def test_an_expired_record_that_a_restored_store_lists_does_not_begin_again():
    """Guards against holding a request back once more after its time is over."""
    stored, suspects, _ = _make_known(is_reader=False)
    suspects.evict_expired(now() + 2 * MIN_HOLD)
    stored.apply_listing(Page([_make_record("a", "b", "c")], 2, 2))
    assert suspects.hold_remaining("k", now()) == 0.0
