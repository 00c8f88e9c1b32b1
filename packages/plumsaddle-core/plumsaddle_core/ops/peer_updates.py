"""
Typed messages by which hosts share requests in flight, outcomes and counts.

Hosts of one data centre exchange all of them. Traffic between data centres is charged
for, so only outcomes that change a failure estimate, the targets in use, and totals of
requests in flight are sent to other data centres.
"""

import enum
import functools
import zlib
from collections import deque
from typing import NamedTuple

from ..core.ids import DataCentre, HostId, ServiceName, TargetIncarnation

# Records kept for sending; older ones are dropped.
MAX_PENDING = 48


class HealthSignal(enum.Enum):
    """
    What the outcome of one send says about its target.

    A send reported as OVERDUE may still succeed. It is then reported as LATE, which
    updates the route's durations but doesn't take back the first report.
    """

    SUCCEEDED = 0
    FAILED = 1
    UNREACHABLE = 2
    OVERDUE = 3
    LATE = 4
    SHED = 5


# Signals whose sending may be delayed, since they raise no failure estimate.
DEFERRABLE_SIGNALS = {HealthSignal.SUCCEEDED, HealthSignal.LATE}


class OutcomeRecord(NamedTuple):
    """The outcome of one send, numbered by the host that observed it."""

    number: int
    target: TargetIncarnation
    service: ServiceName
    route: str
    signal: HealthSignal
    seconds: float


class Evidence(NamedTuple):
    """
    The evidence of an outcome about a target, for other data centres.

    `ratio` is the likelihood ratio of the outcome: failing to healthy target.
    """

    number: int
    target: TargetIncarnation
    ratio: float


class Counts(NamedTuple):
    """Cumulative counts of a host for a service since the host started."""

    requests: int = 0
    retries: int = 0
    ended: int = 0
    unserved: int = 0

    def plus(self, more):
        """Return the sum of both counts."""
        return Counts(*(a + b for a, b in zip(self, more, strict=True)))

    def minus(self, less):
        """Return the difference of both counts."""
        return Counts(*(a - b for a, b in zip(self, less, strict=True)))


class PeerUpdate(NamedTuple):
    """
    A message within a data centre: requests in flight and the latest outcomes.

    `in_flight` is keyed by target tag. `incarnation` is drawn at random at each start
    of the host, and `number` is the sequence number of the message. `counts` are
    cumulative per service, and empty if the message doesn't report them.
    """

    host: HostId
    incarnation: int
    number: int
    in_flight: dict[int, int]
    outcomes: tuple[OutcomeRecord, ...]
    counts: dict[ServiceName, Counts]


class RemoteUpdate(NamedTuple):
    """
    A message to other data centres: evidence, and the targets in use.

    `used` holds pairs of a target's tag and the seconds since its last use.
    """

    host: HostId
    incarnation: int
    evidence: tuple[Evidence, ...]
    used: tuple[tuple[int, float], ...]


class RemoteLoad(NamedTuple):
    """
    A message to other data centres: the requests in flight from all hosts of one.

    `counts` is keyed by target tag. `number` is the sequence number of the message.
    """

    data_centre: DataCentre
    host: HostId
    incarnation: int
    number: int
    counts: dict[int, int]


class RemoteLoadTotal(NamedTuple):
    """Requests in flight from several data centres together, by target tag."""

    data_centres: tuple[DataCentre, ...]
    counts: dict[int, int]


@functools.lru_cache(maxsize=65536)
def target_tag(target):
    """
    Return the tag of a target's incarnation: a 32-bit checksum that shortens messages.

    Targets whose tags collide are counted as one.
    """
    return zlib.crc32(target.encode())


class Outbox:
    """
    Numbered records, each sent in two messages to tolerate lost datagrams.

    Receivers drop duplicates by number.
    """

    def __init__(self):
        self.next_number = 0
        self._records = deque(maxlen=MAX_PENDING)
        self._sent_once = 0
        self._sent_twice = 0

    def add(self, record):
        """Append a record, whose number must be `next_number`."""
        self._records.append(record)
        self.next_number += 1

    @property
    def has_unsent(self):
        """Whether a record has not been sent yet."""
        return self._sent_once < self.next_number

    def next_batch(self):
        """Return the records for the next message."""
        since = self._sent_twice
        self._sent_twice, self._sent_once = self._sent_once, self.next_number
        return tuple(record for record in self._records if record.number >= since)

    def repeat_from(self, number):
        """Send the records again from a number on, as their message may be lost."""
        self._sent_twice = min(self._sent_twice, number)

    def recent(self):
        """Return all records that are kept."""
        return tuple(self._records)


class Inbox:
    """
    Drops duplicate records of one sender, and messages of its past incarnations.

    Incarnations are random and have no order, so those that have been replaced are
    remembered.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self._past = deque(maxlen=8)
        self._seen = deque(maxlen=MAX_PENDING)

    def is_past(self, incarnation):
        """Return whether an incarnation has been replaced by a later one."""
        return incarnation in self._past

    def reset(self, incarnation):
        """Start a new incarnation of the sender."""
        self._past.append(self.incarnation)
        self.incarnation = incarnation
        self._seen.clear()

    def unseen(self, records):
        """
        Return the records that have not been received before.

        Records from another data centre arrive through different hosts and thus out of
        order, so all recent numbers are compared and not only the highest.
        """
        unseen = [record for record in records if record.number not in self._seen]
        self._seen.extend(record.number for record in unseen)
        return unseen
