"""
Tests of listing and releasing requests that are held back.
"""

import pytest
from returns.result import Failure, Success

from ..edge.stored import TOPIC
from ..platform.store import KeyedRecord, Page, StoreError
from . import held as module
from .common import DONE, NO_ANSWER, NOT_KNOWN

VALUE = b'{"ended":["a","b","c"],"answered":[],"at":0}'


class ScriptedStore:
    """A store with one topic; `answer` is what it says to a write."""

    def __init__(self, answer):
        self.answer = answer
        self.written = []

    async def list_newest(self, topic):
        assert topic == TOPIC
        rows = [KeyedRecord(1, "k1", VALUE), KeyedRecord(2, "k2", b"no record")]
        return Success(Page(rows, 3))

    async def put(self, topic, values):
        self.written.append((topic, values))
        return self.answer


@pytest.fixture
def store(monkeypatch):
    """The store that the commands talk to."""
    made = ScriptedStore(Success(b""))

    def keep_code(settings, work):
        try:
            work(None, made, None).send(None)
        except StopIteration as stop:
            made.code = stop.value

    monkeypatch.setattr(module, "run_with", keep_code)
    return made


def test_held_lists_what_the_store_knows(store, capsys):
    module.held()
    lines = capsys.readouterr().out.splitlines()
    assert store.code == DONE
    assert lines[0].startswith("k1  enough to be held back: 3 targets ended")
    assert lines[1].startswith("k2  unusable")


def test_release_drops_the_key(store):
    module.release("k1")
    assert store.code == DONE
    assert store.written == [(TOPIC, {"k1": b""})]


def test_release_of_an_unknown_key_writes_nothing(store):
    module.release("k9")
    assert store.code == NOT_KNOWN
    assert store.written == []


def test_release_says_when_it_is_not_known_whether_it_was_done(store, capsys):
    store.answer = Failure(StoreError.UNAVAILABLE)
    module.release("k1")
    assert store.code == NO_ANSWER
    assert "Not known" in capsys.readouterr().out
