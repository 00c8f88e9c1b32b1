"""
Tests of the store's client.
"""

import asyncio
import contextlib
import json

import pytest
from returns.result import Success

from .read_budget import ReadBudget, compute_limit
from .store import (
    MAX_RECORDS,
    Response,
    Store,
    StoreError,
    _decode_page,
    _decode_trimmed,
    make_session,
)
from .wire import decode_era

LIMIT = 1_000_000


class PagedStore(Store):
    """A client whose calls return the given pages of a listing, with their eras."""

    def __init__(self, pages):
        super().__init__(None, "http://127.0.0.1:1")
        self.queries = []
        self._pages = list(pages)

    async def _call(self, method, path, query, timeout, body=None):
        self.queries.append(query.get("after"))
        keys, has_more, era = self._pages.pop(0)
        items = [{"key": key, "value": "eA==", "offset": 1} for key in keys]
        page = {"items": items, "has_more": has_more, "end": 9}
        return Success(Response(json.dumps(page).encode(), era))


def _list(*pages):
    store = PagedStore(pages)
    page = asyncio.run(store.list_newest("t")).unwrap()
    return [record.key for record in page.records], page.era, store.queries


def test_a_listing_holds_pages_of_one_era_only():
    """Guards against a mixture of what a restored store has and had before."""
    keys, era, queries = _list(
        (["a", "b"], True, 1), (["c"], False, 2), (["a"], True, 2), (["d"], False, 2)
    )
    assert (keys, era) == (["a", "d"], 2)
    assert queries == [None, "b", None, "a"]


def test_eras_of_another_form_are_not_guessed():
    assert decode_era({"Store-Era": " 12 "}) == 12
    for text in ("", "-1", "1.5", "twelve", "1" * 30):
        assert decode_era({"Store-Era": text}) is None
    assert decode_era({}) is None


def test_a_response_without_an_era_is_of_the_latest_one():
    """Guards against ignoring all answers if some do not name the era."""
    store = PagedStore([])
    query = {"topic": "t"}
    assert store._note_era(None, "/log-read", query) == 0
    assert store._note_era(3, "/log-read", query) == 3
    assert store._note_era(None, "/log-read", query) == 3
    assert store._note_era(2, "/log-read", query) == 2
    assert store._note_era(None, "/log-read", query) == 3


@pytest.mark.parametrize(
    "call",
    [
        lambda store: store.append("t", b"x"),
        lambda store: store.read_log("t", 0, 0.0),
        lambda store: store.read("keyed.t", 0, 0.0),
        lambda store: store.list_newest("keyed.t"),
    ],
)
def test_a_response_is_read_up_to_its_limit(call):
    """Guards against a process that is ended for its memory by one response."""

    async def run():
        sent = 0

        async def serve(reader, writer):
            nonlocal sent
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            with contextlib.suppress(ConnectionError):
                while sent < 50 * LIMIT:
                    writer.write(bytes(65536))
                    sent += 65536
                    await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with make_session() as session:
            store = Store(session, url, budget=ReadBudget(LIMIT))
            assert (await call(store)).failure() is StoreError.OVERSIZED
            assert store.budget.held == 0
        server.close()
        return sent

    assert asyncio.run(run()) < 10 * LIMIT


def test_a_listing_without_end_is_given_up():
    """Guards against listing the same keys for ever, and keeping all of them."""
    pages = [(["a"] * 500, True, 0)] * 100
    store = PagedStore(pages)
    store.budget.limit = LIMIT
    result = asyncio.run(store.list_newest("t"))
    assert result.failure() is StoreError.OVERSIZED
    assert 1 < len(store.queries) < 10
    assert store.budget.held == 0


def test_a_listing_of_the_planned_size_has_room():
    """Guards against a bound that a large fleet's targets do not fit into."""
    keys = [f"i-{number:032x}" for number in range(500)]
    store = PagedStore([(keys, number < 23, 0) for number in range(24)])
    store.budget.limit = compute_limit(200_000_000)
    assert len(asyncio.run(store.list_newest("t")).unwrap().records) == 12_000


def test_a_read_of_very_many_records_is_unreadable():
    """Guards against records that take many times the bytes of their response."""
    with pytest.raises(ValueError):
        _decode_page(bytes(16 + 4 * (MAX_RECORDS + 1)), 0)
    assert len(_decode_page(bytes(16 + 4 * MAX_RECORDS), 0).records) == MAX_RECORDS


class _RawStore(Store):
    """A client whose calls all return the same bytes."""

    def __init__(self, data):
        super().__init__(None, "http://127.0.0.1:1")
        self._data = data

    async def _call(self, method, path, query, timeout, body=None):
        return Success(Response(self._data, 0))


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 200_000,
        b'{"items": ' + b"[" * 200_000,
        b'{"items": [], "has_more": false, "end": 1e308}',
        b'{"items": [], "has_more": false, "end": 1' + b"0" * 5000 + b"}",
        b'{"items": [{"key": ["a"], "value": "eA==", "offset": 1}], "end": 1}',
        b'{"items": [{"key": "a", "value": "x", "offset": 1}], "end": 1}',
        b"null",
    ],
)
def test_an_odd_response_is_unreadable(data):
    """Guards against one response that ends a reader of the store by an exception."""
    store = _RawStore(data)
    listing = asyncio.run(store.list_newest("t"))
    assert listing.failure() is StoreError.UNREADABLE
    appended = asyncio.run(store.append("t", b""))
    assert appended.failure() is StoreError.UNREADABLE
    assert _decode_trimmed(data) is StoreError.UNREADABLE
