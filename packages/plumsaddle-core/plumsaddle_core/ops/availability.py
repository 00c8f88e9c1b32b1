"""
What targets have said of their own availability to one host.

A target that announces that it is draining never takes new requests again in this
incarnation. A target that rejects a request may ask this host to send nothing for some
seconds. Both hold whatever the registry lists, which is late while the platform's store
is unavailable.
"""

# Seconds after which the state of an incarnation that is no longer listed is dropped.
# Entries of live targets may lapse while the store is unavailable.
UNLISTED_TIMEOUT = 60.0


class Availability:
    """The targets that have closed themselves to one host, by incarnation."""

    def __init__(self):
        self._draining = set()
        self._rests_until = {}
        # Since when incarnations with an entry have been unlisted.
        self._unlisted_since = {}

    def note_draining(self, incarnation):
        """Record that a target is draining, and return whether that is new."""
        if incarnation in self._draining:
            return False
        self._draining.add(incarnation)
        return True

    def note_rest(self, incarnation, seconds, now):
        """
        Record that a target wants no requests from this host for some seconds.

        Returns:
          Whether it rests longer than was known.
        """
        until = now + seconds
        if until <= max(now, self._rests_until.get(incarnation, 0.0)):
            return False
        self._rests_until[incarnation] = until
        return True

    def is_draining(self, incarnation):
        """Return whether a target has announced that it is draining."""
        return incarnation in self._draining

    def rest(self, incarnation, now):
        """Return the seconds for which a target still wants no requests."""
        return max(0.0, self._rests_until.get(incarnation, 0.0) - now)

    def evict(self, listed, now):
        """Drop ended rests, and the state of incarnations unlisted for a while."""
        rests = self._rests_until.items()
        self._rests_until = {key: until for key, until in rests if until > now}
        unlisted = (self._draining | self._rests_until.keys()) - listed
        since = {key: self._unlisted_since.get(key, now) for key in unlisted}
        expired = {key for key, at in since.items() if now - at >= UNLISTED_TIMEOUT}
        self._draining -= expired
        for key in expired:
            del since[key]
            self._rests_until.pop(key, None)
        self._unlisted_since = since
