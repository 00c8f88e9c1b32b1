"""
Tests of the codec of events.
"""

from ..ops.orders import Ping
from .codec import UnreadableEvent, decode_events, encode_events


def test_a_deeply_nested_record_is_an_unreadable_event():
    """An odd record of another writer ended the reader of a stream."""
    assert decode_events(encode_events([Ping("h", 1)])) == (Ping("h", 1),)
    (event,) = decode_events(b"\x91" * 200_000 + b"\xc0")
    assert isinstance(event, UnreadableEvent)
