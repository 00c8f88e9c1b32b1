"""
Exponentially decaying sums with which hosts report the requests of workspaces.

Messages carry absolute sums, and the receiver counts the difference to the previous sum
of the same source. So a lost message is made up for by the next one, a duplicate has no
effect, and the host that reports for a data centre may change.
"""

import functools
import math
import zlib
from typing import NamedTuple

# The time constant of the decay, in seconds. It is long compared to the delay of a
# message, since a sum decays on its way.
DECAY_TIME = 5.0
# Sums are sent in hundredths.
SCALE = 100


class QuotaRow(NamedTuple):
    """
    The decaying sums of a workspace's requests, all and admitted, in hundredths.

    `tag` is the `workspace_tag`.
    """

    tag: int
    requested: int
    admitted: int


@functools.lru_cache(maxsize=65536)
def workspace_tag(name):
    """
    Return the 40-bit hash of a workspace's name that messages carry.

    Workspaces whose names collide share a limit.
    """
    data = name.encode()
    return zlib.crc32(data) << 8 | zlib.adler32(data) & 0xFF


def decay(value, seconds):
    """Return the value of a sum after it has decayed for some seconds."""
    return value * math.exp(-max(0.0, seconds) / DECAY_TIME)


class DecayingCounts:
    """The decaying sums of a workspace's requests, all and admitted."""

    __slots__ = ("_admitted", "_requested", "_updated_at")

    def __init__(self):
        self._requested = self._admitted = self._updated_at = 0.0

    def add(self, requested, admitted, now):
        """Count requests, and how many of them were admitted."""
        factor = decay(1.0, now - self._updated_at)
        self._requested = self._requested * factor + requested
        self._admitted = self._admitted * factor + admitted
        self._updated_at = now

    def requested(self, now):
        """Return the decayed sum of all requests."""
        return decay(self._requested, now - self._updated_at)

    def row(self, tag, now):
        """Return both sums as a `QuotaRow`."""
        factor = SCALE * decay(1.0, now - self._updated_at)
        requested, admitted = (
            round(factor * self._requested),
            round(factor * self._admitted),
        )
        return QuotaRow(tag, max(0, requested), max(0, admitted))


class ReceivedSums:
    """The sums last received from one source, by workspace tag."""

    def __init__(self):
        self._rows = {}

    def merge(self, row, recovered_at, now, is_partial=False):
        """
        Store a row, and return the requests since the source's previous row.

        If two hosts report for a data centre, one may know less than the other. Sums
        are then never lowered, or the difference would be counted at each turn.

        Args:
          row: The fields of a `QuotaRow`.
          recovered_at: When the source became reachable again, in seconds. Requests
            that it admitted before were estimated and are not counted again.
          now: The current time in seconds.
          is_partial: Whether two hosts may report for the source.
        Returns:
          The numbers of all and of admitted requests.
        """
        tag, requested, admitted = row[0], row[1] / SCALE, row[2] / SCALE
        previous = self._rows.get(tag, (0.0, 0.0, -math.inf))
        previous_requested, previous_admitted, at = previous
        if at < recovered_at and now - recovered_at < DECAY_TIME:
            self._rows[tag] = (requested, admitted, now)
            return 0.0, 0.0
        previous_requested = decay(previous_requested, now - at)
        previous_admitted = decay(previous_admitted, now - at)
        if is_partial:
            requested, admitted = (
                max(requested, previous_requested),
                max(admitted, previous_admitted),
            )
        self._rows[tag] = (requested, admitted, now)
        return max(0.0, requested - previous_requested), admitted - previous_admitted

    def requested(self, tag, now):
        """Return the source's decayed sum of all requests at a time."""
        requested, _, at = self._rows.get(tag, (0.0, 0.0, now))
        return decay(requested, now - at)

    def evict(self, tag):
        """Drop the sums of a workspace."""
        self._rows.pop(tag, None)

    def __contains__(self, tag):
        return tag in self._rows

    def __len__(self):
        return len(self._rows)
