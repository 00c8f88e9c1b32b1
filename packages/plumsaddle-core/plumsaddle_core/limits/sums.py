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
# Seconds that a row may be old, before this host's start, when it is received.
FIRST_ROW_AGE = 0.1
# A sum has been lost if it is lower than before by this fraction and number of
# requests, unless it was so in the last seconds.
RESET_FRACTION = 0.2
RESET_MIN = 3.0
RESET_INTERVAL = 2.0


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


def part_since(count, since, now):
    """
    Return how much of a source's first sum has probably been added since a time.

    Args:
      count: The sum.
      since: The time in seconds.
      now: The current time in seconds.
    """
    seconds = now - since + FIRST_ROW_AGE
    return max(min(count, 1.0), count * (1.0 - decay(1.0, seconds)))


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
        self._reset_at = {}

    def merge(self, row, recovered_at, now, is_partial=False):
        """
        Store a row, and return the requests since the source's previous row.

        If two hosts report for a data centre, one may know less than the other. Sums
        are then not lowered, or the difference would be counted at each turn. They are
        if a host that has restarted reports, whose sums take seconds to grow.

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
        if is_partial and self._is_reset(tag, requested, previous_requested, now):
            self._rows[tag] = (requested, admitted, now)
            self._reset_at[tag] = now
            return 0.0, 0.0
        if is_partial:
            requested, admitted = (
                max(requested, previous_requested),
                max(admitted, previous_admitted),
            )
        self._rows[tag] = (requested, admitted, now)
        return max(0.0, requested - previous_requested), admitted - previous_admitted

    def _is_reset(self, tag, requested, previous, now):
        """Whether a source's sum of requests has been lost, by a restart."""
        lost = previous - requested
        is_due = now - self._reset_at.get(tag, -math.inf) > RESET_INTERVAL
        return is_due and lost > max(RESET_MIN, RESET_FRACTION * previous)

    def requested(self, tag, now):
        """Return the source's decayed sum of all requests at a time."""
        requested, _, at = self._rows.get(tag, (0.0, 0.0, now))
        return decay(requested, now - at)

    def evict(self, tag):
        """Drop the sums of a workspace."""
        self._rows.pop(tag, None)
        self._reset_at.pop(tag, None)

    def __contains__(self, tag):
        return tag in self._rows

    def __len__(self):
        return len(self._rows)
