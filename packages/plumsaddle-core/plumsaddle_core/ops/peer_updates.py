"""
What hosts tell each other of their work, as typed messages.

Hosts of one data centre tell each other all: work in flight, outcomes, counts. Bytes
between data centres are paid for, so hosts of other data centres are told only the
outcomes that change what is believed of a target, which targets got work, and the
sums of work in flight.
"""

import enum
import functools
import zlib
from collections import deque
from typing import NamedTuple

from ..core.ids import DataCentre, HostId, ServiceName, TargetIncarnation

# Notes kept for telling. A host whose allowance is used up tells some tens of
# outcomes together; what is older than these is not worth telling any more.
MAX_PENDING = 48


class HealthSignal(enum.Enum):
    """
    What one send says about its target.

    A send that was told as stuck may be answered whole after all. That is late: it
    teaches how long the route takes, and does not undo what was told.
    """

    SUCCEEDED = 0
    FAILED = 1
    UNREACHABLE = 2
    STUCK = 3
    LATE = 4
    SHED = 5


# Outcomes that can wait to be told: they make no target look worse.
DEFERRABLE_OUTCOMES = {HealthSignal.SUCCEEDED, HealthSignal.LATE}


class OutcomeRecord(NamedTuple):
    """One outcome: its number at the host that saw it, and what it saw."""

    number: int
    target: TargetIncarnation
    service: ServiceName
    route: str
    signal: HealthSignal
    seconds: float


class Evidence(NamedTuple):
    """
    What an outcome says of a target to hosts elsewhere.

    `ratio` is how much likelier the outcome is of a failing target than of a sound one.
    """

    number: int
    target: TargetIncarnation
    ratio: float


class Counts(NamedTuple):
    """What a host has done for a service since it started."""

    requests: int = 0
    retries: int = 0
    ended: int = 0
    unserved: int = 0

    def plus(self, more):
        """Return the sum with other counts."""
        return Counts(*(a + b for a, b in zip(self, more, strict=True)))

    def minus(self, less):
        """Return the difference to other counts."""
        return Counts(*(a - b for a, b in zip(self, less, strict=True)))


class PeerUpdate(NamedTuple):
    """
    A message to the hosts of the data centre: work in flight and the last outcomes.

    `in_flight` is by `tag_of` the life of a target.
    `life` is drawn anew at each start of the host, and `number` counts its messages.
    `counts` are what it has done for each service since it started; a message without
    them says nothing of it.
    """

    host: HostId
    incarnation: int
    number: int
    in_flight: dict[int, int]
    outcomes: tuple[OutcomeRecord, ...]
    counts: dict[ServiceName, Counts]


class RemoteUpdate(NamedTuple):
    """
    A message to other data centres: evidence, and targets that got work lately.

    `used` are tags as `tag_of` gives them.
    """

    host: HostId
    incarnation: int
    evidence: tuple[Evidence, ...]
    used: tuple[int, ...]


class RemoteLoad(NamedTuple):
    """
    A message to other data centres: all work in flight from the hosts of one.

    `counts` are by `tag_of` the life of a target. `number` counts a host's messages.
    """

    centre: DataCentre
    host: HostId
    incarnation: int
    number: int
    counts: dict[int, int]


class RemoteLoadTotal(NamedTuple):
    """Work in flight from several data centres together, by tag of target."""

    centres: tuple[DataCentre, ...]
    counts: dict[int, int]


@functools.lru_cache(maxsize=65536)
def tag_of(target):
    """
    Return a short name of a target's life, for messages that name many of them.

    It takes five bytes for sixteen. Of ten thousand targets one pair in a hundred such
    fleets shares a tag, and then counts as busy as both together.
    """
    return zlib.crc32(target.encode())


class Outbox:
    """
    Numbered notes that are told in two messages each.

    Datagrams are lost now and then. Each receiver takes a number once, so telling
    twice costs some bytes and makes a loss of one note in ten thousand out of one in
    a hundred.
    """

    def __init__(self):
        self.count = 0
        self._records = deque(maxlen=MAX_PENDING)
        self._sent_once = 0
        self._sent_twice = 0

    def add(self, record):
        """Keep a note, whose number must be `count`."""
        self._records.append(record)
        self.count += 1

    @property
    def has_unsent(self):
        """Whether a note has not been told at all."""
        return self._sent_once < self.count

    def next_batch(self):
        """Return the notes for the next message."""
        since = self._sent_twice
        self._sent_twice, self._sent_once = self._sent_once, self.count
        return tuple(record for record in self._records if record.number >= since)

    def recent(self):
        """Return all notes that are kept."""
        return tuple(self._records)


class Inbox:
    """
    The numbers of one sender's notes, and its lives, so that each note counts once.

    A sender that starts again draws another life. Lives have no order that a host
    could keep without a disk, and the time of day jumps; so the lives that were
    followed by another one are remembered, and their messages are dropped.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self._past = deque(maxlen=8)
        self._seen = deque(maxlen=MAX_PENDING)

    def is_past(self, incarnation):
        """Return whether a life has ended, so that its messages come late."""
        return incarnation in self._past

    def reset(self, incarnation):
        """Begin a new life of the sender."""
        self._past.append(self.incarnation)
        self.incarnation = incarnation
        self._seen.clear()

    def unseen(self, records):
        """
        Return the notes that have not come before.

        Notes from another data centre come by way of different hosts, so a later one
        may arrive first; only the numbers themselves tell what has come.
        """
        update = [record for record in records if record.number not in self._seen]
        self._seen.extend(record.number for record in update)
        return update
