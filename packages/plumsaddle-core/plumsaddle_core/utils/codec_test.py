"""
Tests of the codec of events.
"""

import msgspec
import pytest

from ..ops.orders import Ping
from .codec import UnreadableEvent, decode_events, encode_events


def test_a_deeply_nested_record_is_an_unreadable_event():
    """An odd record of another writer ended the reader of a stream."""
    assert decode_events(encode_events([Ping("h", 1)])) == (Ping("h", 1),)
    (event,) = decode_events(b"\x91" * 200_000 + b"\xc0")
    assert isinstance(event, UnreadableEvent)


@pytest.mark.parametrize(
    "fields",
    [
        ["checkpoint", 1, 4, 0, 1, []],
        ["checkpoint", "x", "4", 0, 1, []],
        ["claim", "k", 2**63, "f", "c", "h", ["l"]],
        ["horizon", "1"],
        ["era-started", 1],
        ["proposal", "i", 1],
    ],
)
def test_an_event_with_odd_fields_is_unreadable(fields):
    """An odd event of another writer ended the reader that applied it."""
    record = msgspec.msgpack.encode([fields, ["ping", "h", 1]])
    odd, ping = decode_events(record)
    assert isinstance(odd, UnreadableEvent)
    assert ping == Ping("h", 1)


def test_an_event_without_a_tag_is_unreadable():
    """Guards against a record that ends the readers of the log on all hosts."""
    assert decode_events(b"\x91\x90") == (UnreadableEvent("record", None),)
