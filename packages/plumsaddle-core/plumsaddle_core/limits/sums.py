"""
Sums that fade, in which hosts tell each other what workspaces ask.

A sum states all that still matters: a message that is lost is made up for by the next
one, one that comes twice counts once, and whoever speaks for others may change. Who
takes a sum knows the one that it was told before, and counts the difference.
"""

import functools
import math
import zlib
from typing import NamedTuple

# Seconds after which 1/e of a sum is left. What a message tells late is too small by
# the part that has faded meanwhile, so it is long against the time a message takes.
DECAY_TIME = 5.0
# Sums are told in hundredths.
SCALE = 100


class QuotaRow(NamedTuple):
    """
    What was asked and let through of a workspace, as sums that fade, in hundredths.

    `tag` is what `tag_of_workspace` gives.
    """

    tag: int
    requested: int
    admitted: int


@functools.lru_cache(maxsize=65536)
def workspace_tag(name):
    """
    Return a short number for a workspace's name, for messages.

    Of 120,000 workspaces, two share one once in 150 such fleets, and then a limit.
    """
    data = name.encode()
    return zlib.crc32(data) << 8 | zlib.adler32(data) & 0xFF


def decay(value, seconds):
    """Return what is left of a sum after some seconds."""
    return value * math.exp(-max(0.0, seconds) / DECAY_TIME)


class DecayingCounts:
    """What was asked and let through of a workspace."""

    __slots__ = ("_admitted", "_at", "_requested")

    def __init__(self):
        self._requested = self._admitted = self._at = 0.0

    def add(self, asked, admitted, now):
        """Count requests that were asked and let through."""
        kept = decay(1.0, now - self._at)
        self._requested = self._requested * kept + asked
        self._admitted = self._admitted * kept + admitted
        self._at = now

    def requested(self, now):
        """Return what is left of the sum of what was asked."""
        return decay(self._requested, now - self._at)

    def row(self, tag, now):
        """Return both sums as a `QuotaRow`."""
        kept = SCALE * decay(1.0, now - self._at)
        asked, admitted = round(kept * self._requested), round(kept * self._admitted)
        return QuotaRow(tag, max(0, asked), max(0, admitted))


class ReceivedSums:
    """What one source has told, by tag of workspace."""

    def __init__(self):
        self._rows = {}

    def merge(self, row, back_at, now, is_partial=False):
        """
        Return what was asked and let through since the source's last row.

        What one of two hosts says for a data centre may hold less than the other knows;
        then nothing is taken back, else each turn would count the difference again.

        Args:
          row: The fields of a `QuotaRow`.
          back_at: When the source was heard again after a silence, in seconds. What it
            let through in that time was presumed, and is not counted once more.
          now: The present, in seconds.
          is_partial: Whether two hosts may speak for the source.
        """
        tag, asked, admitted = row[0], row[1] / SCALE, row[2] / SCALE
        former = self._rows.get(tag, (0.0, 0.0, -math.inf))
        former_asked, former_admitted, at = former
        if at < back_at and now - back_at < DECAY_TIME:
            self._rows[tag] = (asked, admitted, now)
            return 0.0, 0.0
        former_asked = decay(former_asked, now - at)
        former_admitted = decay(former_admitted, now - at)
        if is_partial:
            asked, admitted = max(asked, former_asked), max(admitted, former_admitted)
        self._rows[tag] = (asked, admitted, now)
        return max(0.0, asked - former_asked), admitted - former_admitted

    def requested(self, tag, now):
        """Return the sum of what the source was asked, as of a moment."""
        asked, _, at = self._rows.get(tag, (0.0, 0.0, now))
        return decay(asked, now - at)

    def evict(self, tag):
        """Forget a workspace."""
        self._rows.pop(tag, None)

    def __contains__(self, tag):
        return tag in self._rows

    def __len__(self):
        return len(self._rows)
