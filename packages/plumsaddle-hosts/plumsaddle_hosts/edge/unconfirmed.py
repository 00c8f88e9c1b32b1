"""
Updates that a host has sent to its hub and that the hub has not sent back.

A hub's bundles hold its clients' updates, so an update that comes back has reached the
other hosts as well. What a lost hub has not sent back is sent again to the next one.
"""

from typing import NamedTuple

from .messages import HostUpdate

# Updates that are kept. A host sends some ten per second.
MAX_UPDATES = 64


class SentUpdate(NamedTuple):
    """A `HostUpdate`, and when it was sent, in seconds."""

    at: float
    update: HostUpdate


class UnconfirmedUpdates:
    """The latest updates to the hub by number, without those that came back."""

    def __init__(self):
        self._sent = {}

    def add(self, update, now):
        """Record that a `HostUpdate` is sent to the hub."""
        self._sent[update.number] = SentUpdate(now, update)
        self._sent.pop(update.number - MAX_UPDATES, None)

    def confirm(self, number):
        """Remove an update that came back, and return when it was sent, or None."""
        sent = self._sent.pop(number, None)
        return sent.at if sent is not None else None

    def take(self):
        """Remove and return all updates, the oldest first."""
        updates = [sent.update for sent in self._sent.values()]
        self._sent.clear()
        return updates
