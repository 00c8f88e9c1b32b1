"""
Tests of the store's client.
"""

import asyncio
import json

from returns.result import Success

from .store import Response, Store
from .wire import decode_era


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
