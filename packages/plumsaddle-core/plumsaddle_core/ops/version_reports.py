"""
The versions of the configuration that other hosts have in force.

A host that lacks a version that others run gets it from one of them: the store may be
out of its reach, or may have come back from an older copy that lacks it. One host is
enough as the source, since the store accepted each version before any host had it, and
versions only grow.

A starting host knows nothing of the fleet. It applies the version that it found in the
store only if that is not older than what the others have in force.
"""

import math
from typing import NamedTuple

# Seconds after a first report of a version in which it usually arrives by itself.
ARRIVAL_GRACE = 0.3
# Seconds after which a report expires. Hosts report once a second.
REPORT_TTL = 3.5
# Seconds that a starting host waits for a report, and for a version that others have.
# Other hosts answer its first message within some milliseconds.
FIRST_REPORT_WAIT = 0.05
FIRST_VERSION_WAIT = 1.0


class Report(NamedTuple):
    """What a host has in force, 0 if nothing yet, and when that was received."""

    version: int
    at: float


class VersionReports:
    """
    The reports of other hosts, by address.

    Args:
      rng: A `random.Random`, which chooses among sources.
    """

    def __init__(self, rng):
        self._rng = rng
        self._reports = {}
        # When the newest version was reported first.
        self._newest = 0
        self._newest_since = -math.inf

    def note(self, address, version, now):
        """Note a host's report."""
        self._reports[address] = Report(version, now)
        if version > self._newest:
            self._newest, self._newest_since = version, now

    def evict(self, now):
        """Evict expired reports."""
        self._reports = {
            address: report
            for address, report in self._reports.items()
            if now - report.at < REPORT_TTL
        }

    def newest(self):
        """Return the newest version that a host has reported, or 0."""
        return max((r.version for r in self._reports.values()), default=0)

    def choose_source(self, version, now):
        """
        Return the address of a host to get the newest version from, or None.

        Args:
          version: The version in force here, or 0 if none is.
          now: The current time in seconds.
        """
        newest = self.newest()
        is_awaited = version and now - self._newest_since < ARRIVAL_GRACE
        if newest <= version or is_awaited:
            return None
        sources = [a for a, r in self._reports.items() if r.version == newest]
        return self._rng.choice(sources)

    def may_begin_with(self, version, listed_at, now):
        """
        Return whether a starting host may apply the version that it found in the store.

        Args:
          version: That version.
          listed_at: When it was found, in seconds.
          now: The current time in seconds.
        """
        newest = self.newest()
        if newest:
            return version >= newest or now - listed_at >= FIRST_VERSION_WAIT
        # Hosts without a version are starting as well, and would wait for each other.
        return bool(self._reports) or now - listed_at >= FIRST_REPORT_WAIT
