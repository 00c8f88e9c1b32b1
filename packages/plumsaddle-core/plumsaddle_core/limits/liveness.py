"""
Failure detection for rate limits that hosts enforce together.

An unreachable host may have crashed or may be partitioned and still serving. A host
that receives no messages at all is isolated itself, or has lost its hub. Other data
centres are observed through the reports of their hubs, which include the numbers of
reachable and unreachable hosts.
"""

import math
from typing import NamedTuple

from .sums import ReceivedSums

# Seconds without a message after which a source is unreachable. Hosts send a heartbeat
# once a second, which a hub forwards within 0.1 s; hubs exchange messages five times a
# second.
MAX_UNREACHABLE_TIMEOUT = 1.6
# A source that sends more often is unreachable after this many of its mean intervals,
# but not before the minimum in seconds.
UNREACHABLE_INTERVALS = 8.0
MIN_UNREACHABLE_TIMEOUT = 0.6
# The weight of a new interval in the moving average.
INTERVAL_WEIGHT = 0.1
# Seconds between two checks for unreachable sources.
CHECK_INTERVAL = 0.2
# Seconds without any message after which a host is isolated or has lost its hub, which
# sends five times a second.
ISOLATION_TIMEOUT = 0.35
# Seconds without a message after which a source is evicted.
EVICTION_TIMEOUT = 60.0


class HostCount(NamedTuple):
    """The numbers of reachable and unreachable hosts of a data centre."""

    reachable: int
    unreachable: int = 0


class Source:
    """Another host of the data centre, or another data centre."""

    __slots__ = (
        "counted_since",
        "hosts",
        "incarnation",
        "is_unreachable",
        "last_message_at",
        "mean_interval",
        "received",
        "recovered_at",
    )

    def __init__(self, incarnation, hosts, now):
        self.incarnation = incarnation
        self.hosts = hosts
        # Since when its requests are counted. All requests of a host that has been seen
        # to restart are new.
        self.counted_since = -math.inf
        self.last_message_at = now
        # The moving average of the seconds between two messages.
        self.mean_interval = MAX_UNREACHABLE_TIMEOUT / UNREACHABLE_INTERVALS
        self.is_unreachable = False
        # When it was last reachable again.
        self.recovered_at = -math.inf
        self.received = ReceivedSums()

    def note_message(self, now):
        """Note a message of a reachable source."""
        gap = min(MAX_UNREACHABLE_TIMEOUT, now - self.last_message_at)
        self.mean_interval += INTERVAL_WEIGHT * (gap - self.mean_interval)
        self.last_message_at = now

    @property
    def unreachable_timeout(self):
        """The seconds without a message after which the source is unreachable."""
        after = UNREACHABLE_INTERVALS * self.mean_interval
        return min(MAX_UNREACHABLE_TIMEOUT, max(MIN_UNREACHABLE_TIMEOUT, after))


class Liveness:
    """
    The reachability of other hosts and data centres, as seen by one host.

    `revision` counts the changes; each one changes the hosts' shares of the limits.
    """

    def __init__(self):
        self.revision = 0
        # Since when the requests of sources are counted that report for the first time.
        self.counted_since = -math.inf
        self.is_isolated = True
        # How long the last source to become unreachable had been silent by then.
        self.detection_delay = MAX_UNREACHABLE_TIMEOUT
        self.last_message_at = -math.inf
        self._checked_at = -math.inf
        self._local = {}
        self._remote = {}
        self._unreachable = {}
        self._remote_unreachable = 0

    # Receiving.

    def note_host_message(self, host, incarnation, now):
        """Note a message of a host of this data centre, and return its `Source`."""
        return self._note_message(self._local, host, incarnation, HostCount(1), now)

    def note_data_centre_report(self, data_centre, hosts, now):
        """Note a report for another data centre, and return its `Source`."""
        source = self._remote.get(data_centre)
        previous = source.hosts.unreachable if source is not None else 0
        if previous != hosts.unreachable:
            self._remote_unreachable += hosts.unreachable - previous
            self.revision += 1
        return self._note_message(self._remote, data_centre, 0, hosts, now)

    def _note_message(self, sources, name, incarnation, hosts, now):
        source = sources.get(name)
        if source is None or source.incarnation != incarnation:
            # The requests admitted by its previous incarnation are already counted.
            is_restarted = source is not None
            source = sources[name] = Source(incarnation, hosts, now)
            if not is_restarted:
                source.counted_since = self.counted_since
            self._mark_reachable(name)
        elif source.is_unreachable:
            source.is_unreachable = False
            source.last_message_at = source.recovered_at = now
            self._mark_reachable(name)
        else:
            source.note_message(now)
        source.hosts = hosts
        self.note_any_message(now)
        return source

    def note_any_message(self, now):
        """Note any message, even if only the hub's heartbeat."""
        self.last_message_at = now
        if self.is_isolated:
            self.is_isolated = False
            for source in self.sources():
                source.recovered_at = now
            self.revision += 1

    def _mark_reachable(self, name):
        if self._unreachable.pop(name, None) is not None:
            self.revision += 1

    # Detection.

    def check(self, now):
        """Detect unreachable sources; return whether this host is isolated."""
        if not self.is_isolated and now - self.last_message_at > ISOLATION_TIMEOUT:
            self.is_isolated = True
            self.revision += 1
        if now - self._checked_at >= CHECK_INTERVAL:
            self._checked_at = now
            self._mark_unreachable(now)
        return self.is_isolated

    def _mark_unreachable(self, now):
        for sources in (self._local, self._remote):
            for name, source in sources.items():
                silence = now - source.last_message_at
                if silence > source.unreachable_timeout and not source.is_unreachable:
                    source.is_unreachable = True
                    self._unreachable[name] = source
                    self.detection_delay = silence
                    self.revision += 1

    def tick(self, now):
        """Run a check, and evict sources that have long been silent."""
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
        """Return all tracked sources."""
        return [*self._local.values(), *self._remote.values()]

    def local_sources(self):
        """Return the tracked hosts of this data centre."""
        return self._local.values()

    def unreachable(self):
        """Return the unreachable sources; all if this host is isolated."""
        return self.sources() if self.is_isolated else list(self._unreachable.values())

    @property
    def is_fully_reachable(self):
        """Whether all tracked hosts are reachable."""
        return not (self.is_isolated or self._unreachable or self._remote_unreachable)

    @property
    def remote_unreachable(self):
        """The number of unreachable hosts that other data centres report."""
        return self._remote_unreachable

    def local_hosts(self):
        """Return the `HostCount` of this host's data centre."""
        unreachable = sum(1 for source in self._local.values() if source.is_unreachable)
        return HostCount(1 + len(self._local) - unreachable, unreachable)

    def host_count(self):
        """Return the number of tracked hosts, including this one."""
        return 1 + sum(sum(source.hosts) for source in self.sources())

    def unreachable_host_count(self):
        """Return the number of unreachable tracked hosts."""
        unreachable = self.unreachable()
        remote = sum(
            source.hosts.unreachable
            for source in self.sources()
            if source not in unreachable
        )
        return remote + sum(sum(source.hosts) for source in unreachable)
