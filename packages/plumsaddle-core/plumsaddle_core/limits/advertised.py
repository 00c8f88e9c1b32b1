"""
The rate limits that targets advertise in their answers, replicated among hosts.

Each host observes some answers, and the hosts gossip changed entries. An entry carries
a Lamport version: a host that observes another limit than its entry's writes the next
version. Of two entries with the same version the stricter one wins, so all hosts
converge to the same limit in whichever order messages arrive.

A looser limit, or none, is accepted only from an answer to a request that was sent
after the stricter one was known. An answer to an earlier request may be older than the
stricter limit.
"""

import math
from typing import NamedTuple

from ..core.ids import TargetIncarnation
from ..utils.pending import PendingKeys, sample_keys

# The rate of an entry whose target no longer advertises a limit.
NO_LIMIT = -1.0
# Seconds after which the entry of an incarnation that is no longer listed is dropped.
UNLISTED_TIMEOUT = 60.0


class LimitRow(NamedTuple):
    """
    An entry in a gossip message.

    `rate` is in requests per second over all hosts, or `NO_LIMIT`.
    """

    incarnation: TargetIncarnation
    version: int
    rate: float


class _Entry:
    """The limit of one incarnation of a target."""

    __slots__ = ("known_at", "rate", "since", "version")

    def __init__(self):
        self.version = 0
        self.rate = NO_LIMIT
        # When this host learned the current rate, and since when there is a limit.
        self.known_at = self.since = -math.inf


class AdvertisedLimits:
    """
    The advertised limits known to one host.

    `revision` counts the changes.
    """

    def __init__(self):
        self.revision = 0
        self._entries = {}
        self._limited = {}
        self._local_pending = PendingKeys()
        self._remote_pending = PendingKeys()
        # Since when incarnations with an entry have been unlisted.
        self._unlisted_since = {}

    def __len__(self):
        return len(self._limited)

    def rate(self, incarnation):
        """Return the limit of a target in requests per second, or None."""
        return self._limited.get(incarnation)

    def since(self, incarnation):
        """Return when a target's limit became known, in seconds."""
        return self._entries[incarnation].since

    def observe(self, incarnation, rate, sent_at, now):
        """
        Record the limit, if any, of an answer.

        Args:
          incarnation: The target's incarnation.
          rate: The limit in requests per second, or None if the answer has none.
          sent_at: When the request was sent, in seconds.
          now: The current time in seconds.
        Returns:
          Whether the limit has changed.
        """
        advertised = NO_LIMIT if rate is None else rate
        entry = self._entries.get(incarnation)
        current = NO_LIMIT if entry is None else entry.rate
        if advertised == current:
            return False
        if _is_stricter(current, advertised) and sent_at < entry.known_at:
            return False
        version = 1 if entry is None else entry.version + 1
        self._apply(LimitRow(incarnation, version, advertised), now)
        self._local_pending.add(incarnation)
        self._remote_pending.add(incarnation)
        return True

    def merge(self, row, is_local, now):
        """
        Merge an entry that another host sent.

        Args:
          row: The `LimitRow`.
          is_local: Whether a host of this data centre sent it; then this data centre
            forwards it to the others.
          now: The current time in seconds.
        Returns:
          Whether it was newer than this host's entry.
        """
        entry = self._entries.get(row.incarnation)
        if entry is not None and row.version <= entry.version:
            is_same = row.version == entry.version
            if is_same and row.rate == entry.rate:
                return False
            if not is_same or _is_stricter(entry.rate, row.rate):
                # The sender has missed an entry: repair it.
                pending = self._local_pending if is_local else self._remote_pending
                pending.add(row.incarnation)
                return False
        self._apply(row, now)
        if is_local:
            self._remote_pending.add(row.incarnation)
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

    # Sending.

    @property
    def has_remote_pending(self):
        """Whether changes remain to be sent to other data centres."""
        return bool(self._remote_pending)

    def local_rows(self):
        """Return the `LimitRow`s for a message to the hosts of the data centre."""
        return self._take_pending(self._local_pending)

    def repeat_local(self, rows):
        """Send entries to the data centre again whose message may be lost."""
        self._local_pending.repeat(self._entries.keys() & {row[0] for row in rows})

    def remote_rows(self):
        """Return the `LimitRow`s for a message to other data centres."""
        return self._take_pending(self._remote_pending)

    def anti_entropy_rows(self, max_rows, rng):
        """
        Return a random sample of at most `max_rows` entries of listed targets.

        Others are not repeated: hosts drop them at different times, and would send them
        back to each other without end.
        """
        listed = sorted(self._entries.keys() - self._unlisted_since.keys())
        return [self._row(key) for key in sample_keys(listed, max_rows, rng)]

    def _take_pending(self, pending):
        return [self._row(key) for key in pending.take() if key in self._entries]

    def _row(self, incarnation):
        entry = self._entries[incarnation]
        return LimitRow(incarnation, entry.version, entry.rate)

    def evict(self, listed, now):
        """
        Drop the entries of incarnations that have been unlisted for a while.

        While the platform's store is unavailable, listings of running targets expire;
        their limits are kept until they are listed again.
        """
        unlisted = self._entries.keys() - listed
        since = {
            incarnation: self._unlisted_since.get(incarnation, now)
            for incarnation in unlisted
        }
        expired = [
            incarnation
            for incarnation, at in since.items()
            if now - at >= UNLISTED_TIMEOUT
        ]
        for incarnation in expired:
            del since[incarnation]
            del self._entries[incarnation]
            self._limited.pop(incarnation, None)
            self._local_pending.discard(incarnation)
            self._remote_pending.discard(incarnation)
            self.revision += 1
        self._unlisted_since = since


def _is_stricter(rate, other):
    """Return whether a limit is stricter than another one."""
    return rate != NO_LIMIT and (other == NO_LIMIT or rate < other)
