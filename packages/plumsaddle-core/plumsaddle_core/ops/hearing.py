"""
Which hosts are heard, for what all of them keep together.

A host that falls silent may be dead, or cut off and at work; one that hears nobody at
all is cut off itself, or has lost its hub. Hosts of other data centres are heard by
way of what is told for these, with how many hosts are missing there.
"""

import math
from typing import NamedTuple

from .sums import ToldSums

# Hosts beat once a second, and a hub passes that on within a tenth of one; hubs speak
# to each other five times a second. What is silent longer than this (seconds) may be
# cut off.
SILENT_AFTER = 1.6
# One that is heard more often is suspected after so many of its usual intervals, but
# not before this many seconds.
SILENT_INTERVALS = 8.0
SILENT_LEAST = 0.6
# The part by which each interval moves the usual one.
INTERVAL_PART = 0.1
# Seconds between two looks for sources that have fallen silent.
LOOK_EVERY = 0.2
# A host that hears nobody at all for this long (seconds) is cut off itself, or has lost
# its hub, which speaks five times a second.
ALONE_AFTER = 0.35
# Seconds after which a silent host is taken for gone.
GONE_AFTER = 60.0


class HostCount(NamedTuple):
    """How many hosts of a data centre are heard there, and how many are missing."""

    heard: int
    missing: int = 0


class Source:
    """One other host of the data centre, or one other data centre."""

    __slots__ = (
        "back_at",
        "heard_at",
        "hosts",
        "interval",
        "is_silent",
        "life",
        "told",
    )

    def __init__(self, life, hosts, now):
        self.life = life
        self.hosts = hosts
        self.heard_at = now
        # The usual seconds between two messages.
        self.interval = SILENT_AFTER / SILENT_INTERVALS
        self.is_silent = False
        # When it was heard again after a silence.
        self.back_at = -math.inf
        self.told = ToldSums()

    def hear(self, now):
        """Note that it was heard."""
        gap = min(SILENT_AFTER, now - self.heard_at)
        self.interval += INTERVAL_PART * (gap - self.interval)
        self.heard_at = now

    @property
    def silent_after(self):
        """The seconds without a message after which it counts as silent."""
        after = SILENT_INTERVALS * self.interval
        return min(SILENT_AFTER, max(SILENT_LEAST, after))


class Hearing:
    """
    Whom one host hears.

    `revision` counts the changes, with which everybody's part of a limit changes.
    """

    def __init__(self):
        self.revision = 0
        self.is_alone = True
        self._heard_at = -math.inf
        self._near = {}
        self._far = {}
        self._silent = {}
        self._far_missing = 0
        self._looked_at = -math.inf
        # For how long those that were missed last had been silent, in seconds.
        self.missed_for = SILENT_AFTER

    # What is heard.

    def hear_host(self, host, life, now):
        """Note that a host of this data centre was heard, and return its `Source`."""
        return self._hear(self._near, host, life, HostCount(1), now)

    def hear_centre(self, centre, hosts, now):
        """Note what was told for another data centre, and return its `Source`."""
        source = self._far.get(centre)
        former = source.hosts.missing if source is not None else 0
        if former != hosts.missing:
            self._far_missing += hosts.missing - former
            self.revision += 1
        return self._hear(self._far, centre, 0, hosts, now)

    def _hear(self, sources, name, life, hosts, now):
        source = sources.get(name)
        if source is None or source.life != life:
            # What its former life let through has been counted.
            source = sources[name] = Source(life, hosts, now)
            self._end_silence(name)
        elif source.is_silent:
            source.is_silent = False
            source.back_at = now
            self._end_silence(name)
        else:
            source.hear(now)
        source.heard_at = now
        source.hosts = hosts
        self.hear_hub(now)
        return source

    def hear_hub(self, now):
        """Note that something was heard, if only that the hub is there."""
        self._heard_at = now
        if self.is_alone:
            self.is_alone = False
            for source in self.sources():
                source.back_at = now
            self.revision += 1

    def _end_silence(self, name):
        if self._silent.pop(name, None) is not None:
            self.revision += 1

    # What follows.

    def look(self, now):
        """Look whether anything was heard lately, and return whether nothing was."""
        if not self.is_alone and now - self._heard_at > ALONE_AFTER:
            self.is_alone = True
            self.revision += 1
        if now - self._looked_at >= LOOK_EVERY:
            self._looked_at = now
            self._find_silent(now)
        return self.is_alone

    def _find_silent(self, now):
        """Find sources that have fallen silent since the last look."""
        for sources in (self._near, self._far):
            for name, source in sources.items():
                age = now - source.heard_at
                if age > source.silent_after and not source.is_silent:
                    source.is_silent = True
                    self._silent[name] = source
                    self.missed_for = age
                    self.revision += 1

    def tick(self, now):
        """Look for sources that have fallen silent or are gone."""
        self.look(now)
        for sources in (self._near, self._far):
            for name, source in list(sources.items()):
                age = now - source.heard_at
                if age > GONE_AFTER:
                    del sources[name]
                    self._end_silence(name)
        self._far_missing = sum(s.hosts.missing for s in self._far.values())

    def sources(self):
        """Return all sources that are known."""
        return [*self._near.values(), *self._far.values()]

    def silent(self):
        """Return the sources that are known and not heard."""
        return self.sources() if self.is_alone else list(self._silent.values())

    @property
    def is_whole(self):
        """Whether all hosts that are known are heard."""
        return not (self.is_alone or self._silent or self._far_missing)

    @property
    def far_missing(self):
        """How many hosts are missing in the data centres that are heard."""
        return self._far_missing

    def near_hosts(self):
        """Return the `HostCount` of this host's data centre."""
        missing = sum(1 for source in self._near.values() if source.is_silent)
        return HostCount(1 + len(self._near) - missing, missing)

    def count(self):
        """Return how many hosts are known, this one included."""
        return 1 + sum(sum(source.hosts) for source in self.sources())

    def count_missing(self):
        """Return how many hosts are known and not heard."""
        silent = self.silent()
        elsewhere = sum(s.hosts.missing for s in self.sources() if s not in silent)
        return elsewhere + sum(sum(source.hosts) for source in silent)
