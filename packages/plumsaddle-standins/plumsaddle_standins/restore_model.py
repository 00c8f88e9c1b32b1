"""
Ways for hosts to follow a store that comes back from an older copy, in virtual time.

Two readers in each data centre wait for changes at the store, forward records and
report their position once a second; the other hosts follow them. An operator publishes
versions in a row. The store loses the last ones, gives out their offsets again, and
the operator writes the newest one again. Then further versions follow.

- offset: hosts compare offsets alone;
- expire: hosts ignore reports of another era, and ask the store when none is recent;
- at once: hosts list the topic as soon as a reader is in a later era;
- spread: the same, after a random time (`ops/topic_position.py`, `edge/feed.py`);
- forward: readers send their listing to the other hosts, which never ask.

With `exchange`, hosts also ask each other for a version that they lack
(`ops/version_reports.py`).
"""

import heapq
import itertools
import random
from typing import NamedTuple

from plumsaddle_core.ops.topic_position import Relation, TopicPosition
from plumsaddle_core.ops.version_reports import ARRIVAL_GRACE
from plumsaddle_hosts.edge.feed import (
    MAX_LISTING_DELAY,
    MAX_READ_WAIT,
    MIN_READ_WAIT,
    PAUSE_AFTER_PAGE,
    REORDER_GRACE,
)
from plumsaddle_hosts.edge.store_access import READER_STATUS_TTL

WAYS = ("offset", "expire", "at once", "spread", "forward")
RESTORED_AT = 12.0
END = 26.0
VERSION_INTERVAL = 1.3
REWRITTEN_AFTER = 0.3
READERS = 2
HEARTBEAT = 1.0
# Seconds within which each host must have a version.
KNOWN_WITHIN = 2.0
# Seconds that an answer of the store and a datagram take, and datagrams that are lost.
STORE_DELAY = 0.004
DATAGRAM_DELAY = (0.001, 0.02)
LOSS = 0.01
# Reads that the store answers in a second, and the wait after a refusal.
READ_LIMIT = 2000
RETRY_DELAY = (0.2, 0.8)
# Bytes of the topics' listing, compressed, and of a request and its answer without it.
LISTING_BYTES = 12_000
CALL_BYTES = 600


class Case(NamedTuple):
    """A fleet, the versions that are lost, and a second restoration a second later."""

    hosts: int
    centres: int
    lost: int
    is_twice: bool = False


class Outcome(NamedTuple):
    """
    What came of it.

    `worst` and `mean` are the seconds until a host had a version that was published
    after the restoration, `late` the share of hosts that were late for any of
    them. `calls` are those of the worst second, `kilobytes` what a data centre's
    hosts sent each other and read from the store because of the restoration.
    """

    worst: float
    mean: float
    late: float
    calls: float
    kilobytes: float


class _Store:
    def __init__(self):
        self.records = []
        self.era = 1
        self.copy = []

    def restore(self):
        self.records = list(self.copy)
        self.era += 1


class _Host:
    def __init__(self, number, centre, is_reader):
        self.number, self.centre, self.is_reader = number, centre, is_reader
        self.position = TopicPosition()
        self.position.accept_listing(1, 0)
        self.version = 0
        self.reported_at = 0.0
        self.behind_since = None
        self.is_asking = False


class RestoreModel:
    """
    One fleet.

    Args:
      case: The `Case`.
      way: One of `WAYS`.
      seed: The run's seed.
      has_exchange: Whether hosts ask each other for versions.
    """

    def __init__(self, case, way, seed=1, has_exchange=True):
        self.case, self.way, self.has_exchange = case, way, has_exchange
        self.rng = random.Random(seed)
        self.at = 0.0
        self.store = _Store()
        self.calls = []
        self.bytes = 0
        self.published = {}
        self.known = {}
        self._events = []
        self._order = itertools.count()
        self.hosts = [
            _Host(n, n % case.centres, n < READERS * case.centres)
            for n in range(case.hosts)
        ]
        self.by_centre = [
            [h for h in self.hosts if h.centre == c] for c in range(case.centres)
        ]
        for host in self.hosts:
            if host.is_reader:
                self._push(self.rng.random(), self._read, host)
            self._push(self.rng.random(), self._heartbeat, host)
        self._push(0.5, self._publish)
        self._push(RESTORED_AT, self._restore)
        if case.is_twice:
            self._push(RESTORED_AT + 1.0, self._restore)

    def run(self):
        """Play, and return the `Outcome`."""
        while self._events and self._events[0][0] < END:
            self.at, _, call, args = heapq.heappop(self._events)
            call(*args)
        delays, late = [], set()
        for version, published_at in self.published.items():
            if not RESTORED_AT < published_at < END - 5.0:
                continue
            for host in self.hosts:
                known_at = self.known.get((host.number, version), END)
                delays.append(known_at - published_at)
                if delays[-1] > KNOWN_WITHIN:
                    late.add(host.number)
        per_second = [
            sum(1 for at in self.calls if second <= at < second + 1)
            for second in range(int(RESTORED_AT) - 1, int(END))
        ]
        return Outcome(
            max(delays),
            sum(delays) / len(delays),
            len(late) / len(self.hosts),
            max(per_second),
            self.bytes / self.case.centres / 1000,
        )

    def _push(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._order), call, args))

    # The operator and the store.

    def _publish(self):
        version = len(self.published) + 1
        self.published[version] = self.at
        if self.at < RESTORED_AT <= self.at + (self.case.lost + 1) * VERSION_INTERVAL:
            self.store.copy = self.store.copy or list(self.store.records)
        self._append(version)
        self._push(self.at + VERSION_INTERVAL, self._publish)

    def _append(self, version):
        self.store.records.append(version)
        for host in self.hosts:
            if host.is_reader and host.is_asking:
                self._push(self.at + STORE_DELAY, self._answer, host)

    def _restore(self):
        self.store.restore()
        self._push(self.at + REWRITTEN_AFTER, lambda: self._append(len(self.published)))

    # Calls.

    def _read(self, host):
        """Let a host read, or list if it must; readers wait for changes."""
        if host.is_asking:
            return
        host.is_asking = True
        recent = sum(1 for at in self.calls[-READ_LIMIT:] if at > self.at - 1.0)
        self.calls.append(self.at)
        if self.at > RESTORED_AT and not host.is_reader:
            self.bytes += CALL_BYTES + LISTING_BYTES
        if recent >= READ_LIMIT:
            host.is_asking = False
            self._push(self.at + self.rng.uniform(*RETRY_DELAY), self._read, host)
            return
        has_news = host.position.must_list or self._is_elsewhere(host)
        wait = self.rng.uniform(MIN_READ_WAIT, MAX_READ_WAIT)
        if has_news or not host.is_reader:
            wait = 0.0
        self._push(self.at + wait + STORE_DELAY, self._answer, host)

    def _is_elsewhere(self, host):
        """Return whether the store has another end than the host."""
        return host.position.current != (self.store.era, len(self.store.records))

    def _answer(self, host):
        if not host.is_asking:
            return
        host.is_asking = False
        former = host.position.current
        records = self.store.records[former.offset :]
        is_listing = former.era != self.store.era or former.offset > len(
            self.store.records
        )
        if is_listing:
            records = self.store.records[-1:]
        host.position.begin_listing()
        host.position.accept_listing(self.store.era, len(self.store.records))
        host.behind_since = None
        host.reported_at = self.at
        self._learn(host, records)
        if not host.is_reader:
            return
        for other in self.by_centre[host.centre]:
            if other is not host:
                self._send(other, self._take_report, host, list(records), is_listing)
        if is_listing and self.way == "forward":
            self.bytes += LISTING_BYTES * len(self.by_centre[host.centre])
        pause = PAUSE_AFTER_PAGE if records and not is_listing else 0.0
        self._push(self.at + pause, self._read, host)

    def _learn(self, host, versions):
        for version in versions:
            host.version = max(host.version, version)
        for version in range(host.version, 0, -1):
            if (host.number, version) in self.known:
                break
            self.known[host.number, version] = self.at

    # Datagrams.

    def _send(self, host, call, *args):
        if self.rng.random() >= LOSS:
            delay = self.rng.uniform(*DATAGRAM_DELAY)
            self._push(self.at + delay, call, host, *args)

    def _take_report(self, host, reader, records, is_listing):
        """Apply what a reader has read, and its position."""
        if host.is_reader:
            return
        era, offset = reader.position.current
        if self.way == "offset":
            # A host that is ahead takes itself for up to date.
            era = host.position.current.era
        relation = host.position.compare(era, offset)
        if relation is Relation.UP_TO_DATE:
            host.reported_at = self.at
        elif relation is Relation.BEHIND:
            if offset - len(records) <= host.position.current.offset:
                host.position.advance(offset)
                host.behind_since, host.reported_at = None, self.at
                self._learn(host, records)
            elif host.behind_since is None:
                host.behind_since = self.at
                self._push(self.at + REORDER_GRACE, self._read_if_behind, host)
        elif relation is Relation.RESTORED:
            self._handle_restored(host, reader, records, is_listing)

    def _handle_restored(self, host, reader, records, is_listing):
        if self.way == "at once":
            self._read(host)
        elif self.way == "spread":
            self._learn(host, records)
            delay = self.rng.uniform(0.0, MAX_LISTING_DELAY)
            self._push(self.at + delay, self._list_if_due, host)
        elif self.way == "forward" and is_listing:
            host.position.begin_listing()
            host.position.accept_listing(*reader.position.current)
            host.reported_at = self.at
            self._learn(host, records)

    def _list_if_due(self, host):
        if host.position.must_list:
            self._read(host)

    def _read_if_behind(self, host):
        if host.behind_since is not None:
            self._read(host)

    def _heartbeat(self, host):
        self._push(self.at + HEARTBEAT, self._heartbeat, host)
        if host.is_reader:
            for other in self.by_centre[host.centre]:
                self._send(other, self._take_report, host, [], False)
        elif self.at - host.reported_at > READER_STATUS_TTL:
            self._read(host)
        if self.has_exchange:
            self._exchange(host)

    def _exchange(self, host):
        """Let a host get the version that another one has had for a while."""
        others = self.by_centre[host.centre]
        newest = max(other.version for other in others)
        known_at = min(self.known.get((other.number, newest), END) for other in others)
        if newest > host.version and self.at - known_at > ARRIVAL_GRACE:
            self._learn(host, [newest])


SIZES = {"40 hosts": (40, 3), "133 hosts": (133, 3), "293 hosts": (293, 5)}
LOSSES = {"3 lost": (3, False), "8 lost": (8, False), "twice": (3, True)}
SEEDS = range(1, 4)


def _format_mean(case, way, has_exchange):
    outcomes = [RestoreModel(case, way, s, has_exchange).run() for s in SEEDS]
    worst = max(outcome.worst for outcome in outcomes)
    means = [sum(values) / len(outcomes) for values in zip(*outcomes, strict=True)]
    return f"{worst:.1f}, " + ", ".join(f"{mean:.2f}" for mean in means[1:])


def main():
    """Print tables: the worst time over the seeds, and means of the rest."""
    for has_exchange in (False, True):
        print(f"exchange: {has_exchange}")
        print("worst, mean, late, calls of the worst second, kB of a data centre")
        print("| case | " + " | ".join(WAYS) + " |")
        for size, (hosts, centres) in SIZES.items():
            for name, (lost, is_twice) in LOSSES.items():
                case = Case(hosts, centres, lost, is_twice)
                cells = [_format_mean(case, way, has_exchange) for way in WAYS]
                print(f"| {size}, {name} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
