"""
Tests of following a topic, with a store that answers when it is told to.
"""

import asyncio
import random

from returns.result import Failure, Success

from ..platform.store import Page, StoreError
from . import feed
from .feed import Feed, Gate


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


def _feed(store, away=None):
    log = [] if away is None else away
    gate = Gate(
        lambda at: log.append("away"), lambda at: log.append("back"), lambda at: None
    )
    gate.set_reader(True)
    taken = []
    made = Feed(store, "t", gate, taken.append, taken.append, random.Random(1))
    return made, taken


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
        made.note_reader(10, 0.0, 100.0)
        made.note_reader(12, 0.0, 101.0)
        made.note_reader(12, 0.0, 101.0 + feed.BEHIND_FOR / 2)
        await _settle()
        assert len(store.reads) == 1
        made.note_reader(12, 0.0, 101.1 + feed.BEHIND_FOR)
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
