"""
The rate limits that targets name in their answers, replicated among hosts.

Each host observes some answers and the hosts gossip what changed. An entry carries a
Lamport version: a host that observes something else than it knows writes the next
version. Of two entries with the same version the stricter one wins, so all hosts
converge to the same limit in whichever order messages arrive.

A looser limit, or none, is believed only from an answer to a request that was sent
after the stricter one was known. The answer to an earlier request may have been given
before.
"""

import math
from typing import NamedTuple

from ..core.ids import TargetIncarnation

# The rate of an entry that says that a target names no limit any more.
NO_LIMIT = -1.0
# Messages in which a changed entry goes out: datagrams are lost now and then.
SENDS_PER_CHANGE = 2
# Entries of one message at most; the others follow with the next one.
MAX_ROWS = 40
# Seconds after which the entry of an incarnation that is no longer listed is dropped.
UNLISTED_TIMEOUT = 60.0


class LimitRow(NamedTuple):
    """
    An entry as hosts gossip it.

    `rate` is in requests a second over all hosts, or `NO_LIMIT`.
    """

    incarnation: TargetIncarnation
    version: int
    rate: float


class _Entry:
    """What is known of one incarnation of a target."""

    __slots__ = ("known_at", "rate", "since", "version")

    def __init__(self):
        self.version = 0
        self.rate = NO_LIMIT
        # When this host came to know the present rate, and since when there is a limit.
        self.known_at = self.since = -math.inf


class AdvertisedLimits:
    """
    The limits in force, as one host knows them.

    `revision` counts the changes.
    """

    def __init__(self):
        self.revision = 0
        self._entries = {}
        self._limited = {}
        self._local_pending = {}
        self._remote_pending = {}
        # Since when incarnations with an entry have not been listed.
        self._unlisted_since = {}

    def __len__(self):
        return len(self._limited)

    def rate(self, life):
        """Return the limit of a target in requests a second, or None."""
        return self._limited.get(life)

    def since(self, life):
        """Return when a target's limit became known, in seconds."""
        return self._entries[life].since

    def observe(self, life, rate, sent_at, now):
        """
        Take what an answer named.

        Args:
          life: The target's incarnation.
          rate: The limit in requests a second, or None if the answer names none.
          sent_at: When the request was sent, in seconds.
          now: The present, in seconds.
        Returns:
          Whether it is another limit than before.
        """
        named = NO_LIMIT if rate is None else rate
        entry = self._entries.get(life)
        known = NO_LIMIT if entry is None else entry.rate
        if named == known:
            return False
        if _is_stricter(known, named) and sent_at < entry.known_at:
            return False
        version = 1 if entry is None else entry.version + 1
        self._apply(LimitRow(life, version, named), now)
        self._local_pending[life] = self._remote_pending[life] = SENDS_PER_CHANGE
        return True

    def merge(self, row, is_local, now):
        """
        Take an entry that another host told.

        Args:
          row: The `LimitRow`.
          is_near: Whether a host of this data centre told it, so that this data centre
            tells it to the others.
          now: The present, in seconds.
        Returns:
          Whether it was newer than what was known.
        """
        entry = self._entries.get(row.incarnation)
        if entry is not None and row.version <= entry.version:
            is_same = row.version == entry.version
            if is_same and row.rate == entry.rate:
                return False
            if not is_same or _is_stricter(entry.rate, row.rate):
                # The sender has missed an entry: repair it.
                pending = self._local_pending if is_local else self._remote_pending
                pending[row.incarnation] = SENDS_PER_CHANGE
                return False
        self._apply(row, now)
        if is_local:
            self._remote_pending[row.incarnation] = SENDS_PER_CHANGE
        return True

    def _apply(self, row, now):
        entry = self._entries.get(row.incarnation)
        if entry is None:
            entry = self._entries[row.incarnation] = _Entry()
        if entry.rate == NO_LIMIT:
            entry.since = now
        entry.version, entry.rate, entry.known_at = row.version, row.rate, now
        self._limited.pop(row.incarnation, None)
        if row.rate != NO_LIMIT:
            self._limited[row.incarnation] = row.rate
        self.revision += 1

    # What is gossiped.

    @property
    def has_remote_pending(self):
        """Whether other data centres have not been told of some change."""
        return bool(self._remote_pending)

    def local_rows(self):
        """Return the `LimitRow`s for a message to the hosts of the data centre."""
        return self._take_pending(self._local_pending)

    def remote_rows(self):
        """Return the `LimitRow`s for a message to other data centres."""
        return self._take_pending(self._remote_pending)

    def anti_entropy_rows(self, max_rows, rng):
        """
        Return some of all entries, drawn anew each time.

        Hosts that have just started, or have missed a message, learn from these.

        Args:
          most: How many at most.
          rng: A `random.Random`.
        """
        lives = list(self._entries)
        if len(lives) > max_rows:
            lives = rng.sample(lives, max_rows)
        return [self._row(life) for life in lives]

    def _take_pending(self, pending):
        lives = list(pending)[:MAX_ROWS]
        for life in lives:
            pending[life] -= 1
            if not pending[life]:
                del pending[life]
        return [self._row(life) for life in lives if life in self._entries]

    def _row(self, life):
        entry = self._entries[life]
        return LimitRow(life, entry.version, entry.rate)

    def evict(self, listed, now):
        """
        Drop the entries of incarnations that have not been listed for a while.

        While the platform's store is away entries lapse of targets that are alive, and
        these still have their limits when they are listed again.
        """
        unlisted = self._entries.keys() - listed
        since = {life: self._unlisted_since.get(life, now) for life in unlisted}
        gone = [life for life, at in since.items() if now - at >= UNLISTED_TIMEOUT]
        for life in gone:
            del since[life]
            del self._entries[life]
            for kept in (self._limited, self._local_pending, self._remote_pending):
                kept.pop(life, None)
            self.revision += 1
        self._unlisted_since = since


def _is_stricter(rate, other):
    """Return whether a limit is stricter than another one."""
    return rate != NO_LIMIT and (other == NO_LIMIT or rate < other)
