"""
Fold a stream of the platform's log whose head may be trimmed away.

The log keeps records for a limited time only, so a host may find a stream whose
first records are gone. It may then start from a checkpoint: the whole state as it
stood after a stated offset, written by a host that had folded up to there. The fold
is deterministic, so every checkpoint of one stream leads to the same state at the
tail, and which of them a host starts from does not matter. A checkpoint never
changes a state that is already complete: a copy written by a host that was frozen
for hours cannot take anything back.

A `Fold` is fed with the records in offset order and calls `apply(state, event,
offset)` for each event. While it cannot know the state it is incomplete, and keeps
the records until a usable checkpoint has come whole.
"""

from typing import Any, NamedTuple

from ..core.ids import Offset


class Record(NamedTuple):
    """One record of a stream: its offset, and its decoded events."""

    offset: Offset
    events: tuple


class Checkpoint(NamedTuple):
    """A part of a state as it stood after the record at the offset `as_of`."""

    id: str
    as_of: int
    part: int
    parts: int
    items: Any


class Fold:
    """
    The state of one stream, folded from its records in the order of the log.

    Args:
      new_state: A function that returns an empty state.
      apply: A function that takes the state, an event and its offset.
      restore: A function that takes the items of all parts of a checkpoint and
        returns the state.
    """

    def __init__(self, new_state, apply, restore):
        self.state = new_state()
        self.complete = False
        self.next_offset = Offset(0)
        self.newest_checkpoint = -1
        self._started = False
        self._new_state = new_state
        self._apply = apply
        self._restore = restore
        self._kept = []
        self._parts = {}

    def begin_read(self, first):
        """
        Take note of the first offset that the log still has.

        A host that was away while records came and were trimmed has a hole: it
        cannot know what they held, so what it holds is no longer the state of the
        log. It starts again as a newcomer would.

        Args:
          first: The first offset that can still be read.
        Returns:
          Whether records were missed.
        """
        if not self._started:
            self._started = True
            self.complete = first == 0
            self.next_offset = Offset(first)
            return False
        if first <= self.next_offset:
            return False
        self.complete = False
        self.state = self._new_state()
        self._kept = []
        self._parts = {}
        self.next_offset = Offset(first)
        return True

    def feed(self, record):
        """
        Fold one record; records from before `next_offset` are doubles.

        Args:
          record: A `Record`.
        """
        if record.offset < self.next_offset:
            return
        assert record.offset == self.next_offset, "records were skipped"
        self.next_offset = Offset(record.offset + 1)
        if not self.complete:
            self._kept.append(record)
        for event in record.events:
            if isinstance(event, Checkpoint):
                self._take_part(event)
            elif self.complete:
                self._apply(self.state, event, record.offset)

    def adopt(self, items, as_of):
        """
        Start from a state that another host told of.

        Args:
          items: The items of the state, as in a checkpoint.
          as_of: The offset of the last record that the state has in it.
        Returns:
          Whether it could be used: it must be newer than the own state, or, where
          there is none, have no hole behind it.
        """
        if self.complete and as_of < self.next_offset:
            return False
        if self._started and as_of < self._first_kept() - 1:
            return False
        self._started = True
        self.next_offset = Offset(max(self.next_offset, as_of + 1))
        self._start_from(items, as_of)
        return True

    def _first_kept(self):
        if self._kept:
            return self._kept[0].offset
        return self.next_offset

    def _take_part(self, checkpoint):
        """Keep a part, and start from its checkpoint once it is whole and usable."""
        self.newest_checkpoint = max(self.newest_checkpoint, checkpoint.as_of)
        if self.complete or checkpoint.as_of < self._first_kept() - 1:
            return
        parts = self._parts.setdefault(checkpoint.id, {})
        parts[checkpoint.part] = checkpoint.items
        if len(parts) == checkpoint.parts:
            items = [item for part in sorted(parts) for item in parts[part]]
            self._start_from(items, checkpoint.as_of)

    def _start_from(self, items, as_of):
        """Take the state after `as_of`, then fold what came behind it."""
        self.state = self._restore(items)
        self.complete = True
        kept, self._kept, self._parts = self._kept, [], {}
        for record in kept:
            if record.offset > as_of:
                for event in record.events:
                    if not isinstance(event, Checkpoint):
                        self._apply(self.state, event, record.offset)
