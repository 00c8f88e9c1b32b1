"""
What targets have said of their own availability to one host.

A target that announces that it is draining gets no more requests in this incarnation.
For a short grace period it still serves those for which there is no other target. A
target that rejects a request may ask this host to back off for some seconds. Both
hold whatever the registry lists, which is late while the platform's store is
unavailable.

Draining is final, so hosts gossip it as a grow-only set. A backoff is between one
target and one host: shared among hosts it would empty the target and fill its
neighbours.
"""

import math

from ..utils.pending import PendingKeys, sample_keys

# Seconds after which the state of an incarnation that is no longer listed is dropped.
# Entries of live targets may lapse while the store is unavailable.
UNLISTED_TIMEOUT = 600.0
# The longest backoff in seconds, so that no mistake of a target shuts it out for good.
MAX_BACKOFF = 600.0


class Availability:
    """
    The targets that have closed themselves, as known to one host, by incarnation.

    Args:
      drain_grace: Seconds for which a draining target may still be sent requests.
    """

    def __init__(self, drain_grace):
        self._drain_grace = drain_grace
        # When each draining target's announcement became known.
        self._draining = {}
        self._backoff_until = {}
        self._local_pending = PendingKeys()
        self._remote_pending = PendingKeys()
        # Since when incarnations with an entry have been unlisted.
        self._unlisted_since = {}

    @property
    def has_any(self):
        """Whether any target may have closed itself."""
        return bool(self._draining or self._backoff_until)

    @property
    def draining_count(self):
        """How many targets have announced that they are draining."""
        return len(self._draining)

    def note_draining(self, incarnation, now):
        """Record a target's own announcement, and return whether it is new."""
        return self.merge_draining(incarnation, True, now, is_own=True)

    def merge_draining(self, incarnation, is_local, now, is_own=False):
        """
        Record an announcement that another host received.

        Args:
          incarnation: The draining target's incarnation.
          is_local: Whether a host of this data centre reported it; then this data
            centre forwards it to the others.
          now: The current time in seconds.
          is_own: Whether this host received it, and so has to report it.
        Returns:
          Whether it is new.
        """
        if incarnation in self._draining:
            return False
        self._draining[incarnation] = now
        if is_own:
            self._local_pending.add(incarnation)
        if is_local:
            self._remote_pending.add(incarnation)
        return True

    def note_backoff(self, incarnation, seconds, now):
        """
        Record that a target wants no requests from this host for some seconds.

        Returns:
          Whether it is longer than was known.
        """
        until = now + min(MAX_BACKOFF, seconds)
        if until <= max(now, self._backoff_until.get(incarnation, 0.0)):
            return False
        self._backoff_until[incarnation] = until
        return True

    def is_draining(self, incarnation):
        """Return whether a target has announced that it is draining."""
        return incarnation in self._draining

    def is_open(self, incarnation, now):
        """Return whether a target neither drains nor has asked for a backoff."""
        return not (self.is_draining(incarnation) or self.backoff(incarnation, now))

    def may_send(self, incarnation, now):
        """Return the same as `is_open`, but True in the grace period of draining."""
        closes_at = self._draining.get(incarnation, math.inf) + self._drain_grace
        return now < closes_at and not self.backoff(incarnation, now)

    def backoff(self, incarnation, now):
        """Return the seconds for which a target still wants no requests."""
        return max(0.0, self._backoff_until.get(incarnation, 0.0) - now)

    @property
    def has_remote_pending(self):
        """Whether announcements remain to be sent to other data centres."""
        return bool(self._remote_pending)

    def local_rows(self):
        """Return the incarnations for a message to the hosts of the data centre."""
        return self._local_pending.take()

    def repeat_local(self, incarnations):
        """Send announcements to the data centre again whose message may be lost."""
        self._local_pending.repeat(self._draining.keys() & set(incarnations))

    def remote_rows(self):
        """Return the incarnations for a message to other data centres."""
        return self._remote_pending.take()

    def anti_entropy_rows(self, max_rows, rng):
        """
        Return a random sample of at most `max_rows` listed incarnations that drain.

        Unlisted ones are not repeated: hosts drop them at different times, and would
        send them back to each other without end.
        """
        listed = self._draining.keys() - self._unlisted_since.keys()
        return sample_keys(sorted(listed), max_rows, rng)

    def end_backoffs(self, now):
        """Drop the backoffs that have ended, and return their incarnations."""
        ended = [key for key, until in self._backoff_until.items() if until <= now]
        for key in ended:
            del self._backoff_until[key]
        return ended

    def evict(self, listed, now):
        """Drop the state of incarnations that have been unlisted for a while."""
        unlisted = (self._draining.keys() | self._backoff_until.keys()) - listed
        since = {key: self._unlisted_since.get(key, now) for key in unlisted}
        expired = {key for key, at in since.items() if now - at >= UNLISTED_TIMEOUT}
        for key in expired:
            del since[key]
            self._draining.pop(key, None)
            self._local_pending.discard(key)
            self._remote_pending.discard(key)
            self._backoff_until.pop(key, None)
        self._unlisted_since = since
