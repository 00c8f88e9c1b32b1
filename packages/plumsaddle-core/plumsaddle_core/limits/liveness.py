"""
Failure detection for limits that all hosts keep together.

An unreachable host may have crashed or may be partitioned and still serving. A host
that hears nobody at all is isolated itself, or has lost its hub. Hosts of other data
centres are heard through what hubs report for these, with how many hosts are missing.
"""

import math
from typing import NamedTuple

from .sums import ReceivedSums

# Hosts send a heartbeat once a second, and a hub passes it on within a tenth of one;
# hubs speak to each other five times a second. Seconds without a message before a
# source is unreachable.
MAX_UNREACHABLE_TIMEOUT = 1.6
# A source that sends more often is unreachable after so many of its usual intervals,
# but not before this many seconds.
UNREACHABLE_INTERVALS = 8.0
MIN_UNREACHABLE_TIMEOUT = 0.6
# The part by which each interval moves the usual one.
INTERVAL_WEIGHT = 0.1
# Seconds between two checks for unreachable sources.
CHECK_INTERVAL = 0.2
# Seconds without any message before a host is isolated, or has lost its hub, which
# speaks five times a second.
ISOLATION_TIMEOUT = 0.35
# Seconds without a message before a source is evicted.
EVICTION_TIMEOUT = 60.0


class HostCount(NamedTuple):
    """How many hosts of a data centre are reachable there, and how many are not."""

    reachable: int
    unreachable: int = 0


class Source:
    """One other host of the data centre, or one other data centre."""

    __slots__ = (
        "hosts",
        "is_unreachable",
        "last_message_at",
        "life",
        "mean_interval",
        "received",
        "recovered_at",
    )

    def __init__(self, life, hosts, now):
        self.life = life
        self.hosts = hosts
        self.last_message_at = now
        # The usual seconds between two messages.
        self.mean_interval = MAX_UNREACHABLE_TIMEOUT / UNREACHABLE_INTERVALS
        self.is_unreachable = False
        # When it was last reachable again.
        self.recovered_at = -math.inf
        self.received = ReceivedSums()

    def note_message(self, now):
        """Note a message of a source that was reachable."""
        gap = min(MAX_UNREACHABLE_TIMEOUT, now - self.last_message_at)
        self.mean_interval += INTERVAL_WEIGHT * (gap - self.mean_interval)
        self.last_message_at = now

    @property
    def unreachable_timeout(self):
        """The seconds without a message after which it is unreachable."""
        after = UNREACHABLE_INTERVALS * self.mean_interval
        return min(MAX_UNREACHABLE_TIMEOUT, max(MIN_UNREACHABLE_TIMEOUT, after))


class Liveness:
    """
    Which other hosts and data centres one host can hear.

    `revision` counts the changes, with which everybody's share of a limit changes.
    """

    def __init__(self):
        self.revision = 0
        self.is_isolated = True
        # For how long the last source had sent nothing when it was found unreachable.
        self.detection_delay = MAX_UNREACHABLE_TIMEOUT
        self._last_message_at = -math.inf
        self._checked_at = -math.inf
        self._local = {}
        self._remote = {}
        self._unreachable = {}
        self._remote_unreachable = 0

    # What is heard.

    def note_host(self, host, life, now):
        """Note a message of a host of this data centre, and return its `Source`."""
        return self._note_message(self._local, host, life, HostCount(1), now)

    def note_centre(self, centre, hosts, now):
        """Note a report for another data centre, and return its `Source`."""
        source = self._remote.get(centre)
        former = source.hosts.unreachable if source is not None else 0
        if former != hosts.unreachable:
            self._remote_unreachable += hosts.unreachable - former
            self.revision += 1
        return self._note_message(self._remote, centre, 0, hosts, now)

    def _note_message(self, sources, name, life, hosts, now):
        source = sources.get(name)
        if source is None or source.life != life:
            # What its former incarnation admitted has been counted.
            source = sources[name] = Source(life, hosts, now)
            self._mark_reachable(name)
        elif source.is_unreachable:
            source.is_unreachable = False
            source.last_message_at = source.recovered_at = now
            self._mark_reachable(name)
        else:
            source.note_message(now)
        source.hosts = hosts
        self.note_hub(now)
        return source

    def note_hub(self, now):
        """Note any message, if only the hub's heartbeat."""
        self._last_message_at = now
        if self.is_isolated:
            self.is_isolated = False
            for source in self.sources():
                source.recovered_at = now
            self.revision += 1

    def _mark_reachable(self, name):
        if self._unreachable.pop(name, None) is not None:
            self.revision += 1

    # What follows.

    def check(self, now):
        """Find what has become unreachable; return whether this host is isolated."""
        if not self.is_isolated and now - self._last_message_at > ISOLATION_TIMEOUT:
            self.is_isolated = True
            self.revision += 1
        if now - self._checked_at >= CHECK_INTERVAL:
            self._checked_at = now
            self._mark_unreachable(now)
        return self.is_isolated

    def _mark_unreachable(self, now):
        for sources in (self._local, self._remote):
            for name, source in sources.items():
                age = now - source.last_message_at
                if age > source.unreachable_timeout and not source.is_unreachable:
                    source.is_unreachable = True
                    self._unreachable[name] = source
                    self.detection_delay = age
                    self.revision += 1

    def tick(self, now):
        """Check, and evict sources that are gone."""
        self.check(now)
        for sources in (self._local, self._remote):
            for name, source in list(sources.items()):
                if now - source.last_message_at > EVICTION_TIMEOUT:
                    del sources[name]
                    self._mark_reachable(name)
        self._remote_unreachable = sum(
            s.hosts.unreachable for s in self._remote.values()
        )

    def sources(self):
        """Return all sources that are tracked."""
        return [*self._local.values(), *self._remote.values()]

    def unreachable(self):
        """Return the sources that are tracked and unreachable."""
        return self.sources() if self.is_isolated else list(self._unreachable.values())

    @property
    def is_fully_reachable(self):
        """Whether all tracked hosts are reachable."""
        return not (self.is_isolated or self._unreachable or self._remote_unreachable)

    @property
    def remote_unreachable(self):
        """How many hosts are unreachable in the data centres that are heard."""
        return self._remote_unreachable

    def local_hosts(self):
        """Return the `HostCount` of this host's data centre."""
        missing = sum(1 for source in self._local.values() if source.is_unreachable)
        return HostCount(1 + len(self._local) - missing, missing)

    def host_count(self):
        """Return how many hosts are tracked, this one included."""
        return 1 + sum(sum(source.hosts) for source in self.sources())

    def unreachable_host_count(self):
        """Return how many tracked hosts are unreachable."""
        unreachable = self.unreachable()
        elsewhere = sum(
            source.hosts.unreachable
            for source in self.sources()
            if source not in unreachable
        )
        return elsewhere + sum(sum(source.hosts) for source in unreachable)
