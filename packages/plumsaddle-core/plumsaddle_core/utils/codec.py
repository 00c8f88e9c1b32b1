"""
Serialisation of events with msgpack.

A log record is a list of events, each a list of its tag and its fields. Tags are part
of the stored format and never change their meaning. An unknown tag was written by a
newer release; its event is ignored by whatever folds the log.
"""

from typing import Any, NamedTuple

import msgspec

from ..ops.fold import Checkpoint
from ..ops.orders import (
    Claim,
    Done,
    EraStarted,
    Horizon,
    Ping,
    Released,
    RestoredEntry,
    Settled,
    Unknown,
)
from ..ops.versions import Proposal, RestoredVersion

EVENT_TYPES = {
    "proposal": Proposal,
    "checkpoint": Checkpoint,
    "claim": Claim,
    "done": Done,
    "unknown": Unknown,
    "released": Released,
    "settled": Settled,
    "horizon": Horizon,
    "ping": Ping,
    "era-started": EraStarted,
    "restored-entry": RestoredEntry,
    "restored-version": RestoredVersion,
}
EVENT_TAGS = {event_type: tag for tag, event_type in EVENT_TYPES.items()}


class UnreadableEvent(NamedTuple):
    """An event that this release cannot decode."""

    tag: str
    fields: Any


def encode_events(events):
    """Encode events as the bytes of one record."""
    return msgspec.msgpack.encode(
        [[EVENT_TAGS[type(event)], *event] for event in events]
    )


def decode_events(data):
    """
    Decode the events of a record.

    Args:
      data: The bytes of a record.
    Returns:
      A tuple of events, with an `UnreadableEvent` for each that cannot be decoded.
    """
    try:
        items = msgspec.msgpack.decode(data)
        return tuple(_decode_event(item) for item in items)
    except (msgspec.DecodeError, IndexError, RecursionError, TypeError, ValueError):
        return (UnreadableEvent("record", None),)


def _decode_event(item):
    tag, *fields = item
    event_type = EVENT_TYPES.get(tag)
    if event_type is None:
        return UnreadableEvent(tag, fields)
    if not event_type._field_defaults and len(fields) != len(event_type._fields):
        return UnreadableEvent(tag, fields)
    try:
        return msgspec.convert(fields, event_type)
    except msgspec.ValidationError:
        return UnreadableEvent(tag, fields)
