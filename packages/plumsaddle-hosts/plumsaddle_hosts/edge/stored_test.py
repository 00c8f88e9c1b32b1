"""
Tests of what the platform's store says of requests that are held back.
"""

import asyncio
import time

import msgspec
from returns.result import Failure, Success

from plumsaddle_core.ops.suspects import MIN_HOLD, RunRecord, SuspectRequests

from ..platform.store import KeyedRecord, Page, StoreError
from .clock import now
from .gate import StoreAccess
from .stored import TOPIC, Record, StoredSuspects


class ScriptedStore:
    """A store that answers writes as the test says."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.written = []

    async def put(self, topic, values):
        self.written.append((topic, values))
        return self.answers.pop(0)


def _make(*answers, is_reader=False):
    suspects, store = SuspectRequests(), ScriptedStore(*answers)
    gate = StoreAccess(lambda at: None, lambda at: None, lambda at: None)
    gate.set_reader(is_reader)
    return StoredSuspects(store, suspects, gate), suspects, store


def _record(*ended, at=None, offset=1):
    value = msgspec.json.encode(
        Record(list(ended), [], time.time() if at is None else at)
    )
    return KeyedRecord(offset, "k", value)


def test_a_clock_that_is_off_lets_nothing_through():
    """
    A request goes on to further targets at all hosts that read of it in the store.

    The host that wrote it down had a time of day an hour behind.
    """
    stored, suspects, _ = _make()
    stored.take(Page([_record("a", "b", "c", at=time.time() - 7200.0)], 2))
    assert suspects.hold_remaining("k", now()) > MIN_HOLD - 1.0


def test_a_record_that_cannot_be_read_hides_no_other():
    stored, suspects, _ = _make()
    broken = KeyedRecord(1, "x", b"\xff no record")
    stored.take(Page([broken, _record("a", "b", "c", offset=2)], 3))
    assert suspects.crash_count("k") == 3
    stored.take(Page([KeyedRecord(3, "k", None)], 4))
    assert suspects.crash_count("k") == 0


def test_a_write_that_failed_is_made_again():
    """
    A host that starts later does not know of a request that is held back.

    The store did not answer when it was written down.
    """

    async def run():
        stored, suspects, store = _make(Failure(StoreError.AWAY), Success(b""))
        for life in ("a", "b"):
            suspects.add(RunRecord("k", life, True), now(), is_own=True)
        for _ in range(4):
            stored.write_soon()
            await asyncio.sleep(0.01)
        return store

    store = asyncio.run(run())
    assert [topic for topic, _ in store.written] == [TOPIC, TOPIC]
    value = msgspec.json.decode(store.written[-1][1]["k"])
    assert value["ended"] == ["a", "b"]


def test_only_readers_clear_the_store_of_what_is_forgotten():
    async def run(is_reader):
        stored, _, store = _make(Success(b""), is_reader=is_reader)
        stored.take(Page([_record("a")], 2))
        stored.forget_old(now() + 2 * MIN_HOLD)
        await asyncio.sleep(0.01)
        return store.written

    assert asyncio.run(run(True)) == [(TOPIC, {"k": b""})]
    assert asyncio.run(run(False)) == []
