"""
The state of a stream of the platform's log, folded from its records.

The log expires its oldest records, so the first records of a stream may be gone when a
host reads it. The host then starts from a checkpoint: the whole state after a stated
offset, which another host wrote to the log. Folding is deterministic, so every
checkpoint of a stream leads to the same state, and any of them will do. A checkpoint
never replaces a complete state, so one written late by a frozen host reverts nothing.

The log may also come back from an older copy, and gives out offsets again. The fold is
then restarted, so that its state depends only on the log as it is now. What the former
state held and the log has lost is appended again as events.
"""

from typing import Any, NamedTuple

from ..core.ids import Offset

# An era of more digits is none; Python rejects numbers with thousands of digits.
MAX_ERA_DIGITS = 15


class Record(NamedTuple):
    """One record of a stream: its offset, and its decoded events."""

    offset: Offset
    events: tuple


class Checkpoint(NamedTuple):
    """
    One of the parts of the state after the record at the offset `as_of`.

    The id is that of `checkpoint_id`, which names the era of the offset.
    """

    id: str
    as_of: int
    part: int
    parts: int
    items: Any


def checkpoint_id(era, name):
    """Return the id of a checkpoint, with the era of its offset."""
    return f"{era}.{name}"


def _era_of(checkpoint):
    """Return the era of a checkpoint's offset, or -1 if it names none."""
    era, dot, _ = checkpoint.id.partition(".")
    is_era = dot and era.isdecimal() and len(era) <= MAX_ERA_DIGITS
    return int(era) if is_era else -1


class Fold:
    """
    The state of one stream.

    Until the state is known it is not `complete`, and records are buffered until all
    parts of a usable checkpoint have been read.

    Args:
      new_state: A function that returns an empty state.
      apply: A function that applies an event to the state, called with the state, the
        event and the offset of its record.
      restore: A function that returns the state, given the items of all parts of a
        checkpoint.
    """

    def __init__(self, new_state, apply, restore):
        self._new_state = new_state
        self._apply = apply
        self._restore = restore
        self._reset()

    def _reset(self):
        self.state = self._new_state()
        self.complete = False
        self.next_offset = Offset(0)
        self.newest_checkpoint = -1
        self._is_started = False
        self._buffered = []
        self._parts = {}
        # The latest era that has started in the log, as its records tell, or -1.
        self._started_era = -1

    def restart(self):
        """
        Start again from the log's first record.

        Returns:
          The former state, or None if it was not complete.
        """
        former = self.state if self.complete else None
        self._reset()
        return former

    def begin_read(self, first):
        """
        Check the first offset that the log still has.

        If records expired before they were read, the state is discarded, and the fold
        starts again from a checkpoint.

        Args:
          first: The first offset that can still be read.
        Returns:
          Whether records were missed.
        """
        if not self._is_started:
            self._is_started = True
            self.complete = first == 0
            self.next_offset = Offset(first)
            return False
        if first <= self.next_offset:
            return False
        self.complete = False
        self.state = self._new_state()
        self._buffered = []
        self._parts = {}
        self.next_offset = Offset(first)
        return True

    def feed(self, record):
        """
        Fold one record; a record before `next_offset` is a duplicate and ignored.

        Args:
          record: A `Record`.
        """
        if record.offset < self.next_offset:
            return
        assert record.offset == self.next_offset, "records were skipped"
        self.next_offset = Offset(record.offset + 1)
        if not self.complete:
            self._buffered.append(record)
        for event in record.events:
            self._started_era = max(self._started_era, getattr(event, "era", -1))
            if isinstance(event, Checkpoint):
                self._add_part(event, record.offset)
            elif self.complete:
                self._apply(self.state, event, record.offset)

    def adopt(self, items, as_of):
        """
        Start from a state that another host has sent.

        Args:
          items: The items of the state, as in a checkpoint.
          as_of: The offset of the last record that the state includes.
        Returns:
          Whether it was used: it must be newer than a complete state, or leave no gap
          to the records that were read.
        """
        if self.complete and as_of < self.next_offset:
            return False
        if self._is_started and as_of < self._first_buffered() - 1:
            return False
        self._is_started = True
        self.next_offset = Offset(max(self.next_offset, as_of + 1))
        self._start_from(items, as_of)
        return True

    def _first_buffered(self):
        if self._buffered:
            return self._buffered[0].offset
        return self.next_offset

    def _add_part(self, checkpoint, offset):
        """Add a part, and start from its checkpoint once all parts have been read."""
        if checkpoint.as_of >= offset or _era_of(checkpoint) < self._started_era:
            # It was written before the log came back from a copy, and appended after.
            return
        self.newest_checkpoint = max(self.newest_checkpoint, checkpoint.as_of)
        if self.complete or checkpoint.as_of < self._first_buffered() - 1:
            return
        parts = self._parts.setdefault(checkpoint.id, {})
        parts[checkpoint.part] = checkpoint.items
        if len(parts) == checkpoint.parts:
            items = [item for part in sorted(parts) for item in parts[part]]
            self._start_from(items, checkpoint.as_of)

    def _start_from(self, items, as_of):
        """Restore the state as of an offset and apply the buffered records after it."""
        self.state = self._restore(items)
        self.complete = True
        buffered, self._buffered, self._parts = self._buffered, [], {}
        for record in buffered:
            if record.offset > as_of:
                for event in record.events:
                    if not isinstance(event, Checkpoint):
                        self._apply(self.state, event, record.offset)
