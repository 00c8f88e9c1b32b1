"""
Events as bytes, by msgpack.

A record of the log is a list of events, and each event is its tag followed by its
fields. Tags are part of the stored format and never change their meaning; a record
with an unknown tag was written by a newer release and its event is passed over by
the folds, which look at the types that they know.
"""

from typing import Any, NamedTuple

import msgspec

from ..ops.fold import Checkpoint
from ..ops.orders import Claim, Done, Horizon, Ping, Released, Settled, Unknown
from ..ops.versions import Proposal

TAGS = {
    "proposal": Proposal,
    "checkpoint": Checkpoint,
    "claim": Claim,
    "done": Done,
    "unknown": Unknown,
    "released": Released,
    "settled": Settled,
    "horizon": Horizon,
    "ping": Ping,
}
NAMES = {shape: tag for tag, shape in TAGS.items()}


class Unreadable(NamedTuple):
    """An event that this release cannot read."""

    tag: str
    fields: Any


def encode_events(events):
    """Return the bytes of a record that holds the events."""
    return msgspec.msgpack.encode([[NAMES[type(event)], *event] for event in events])


def decode_events(data):
    """
    Return the events that a record holds.

    Args:
      data: The bytes of a record.
    Returns:
      A tuple of events; whatever cannot be read becomes an `Unreadable`.
    """
    try:
        rows = msgspec.msgpack.decode(data)
        return tuple(_decode_row(row) for row in rows)
    except (msgspec.DecodeError, TypeError, IndexError):
        return (Unreadable("record", None),)


def _decode_row(row):
    tag, *fields = row
    shape = TAGS.get(tag)
    if shape is None:
        return Unreadable(tag, fields)
    if not shape._field_defaults and len(fields) != len(shape._fields):
        return Unreadable(tag, fields)
    try:
        return shape(*fields)
    except TypeError:
        return Unreadable(tag, fields)
