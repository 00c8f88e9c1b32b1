"""
Tracks which targets are draining.

A mark comes from the platform's list or from the target itself, and hosts exchange
marks with their remaining lifetimes. Only the source of a mark extends its lifetime, so
it expires once the source no longer reports it.
"""

from typing import NamedTuple

from ..core.ids import TargetKey

# Lifetimes of marks by source, in seconds.
SELF_REPORT_TTL = 300.0
LISTED_TTL = 60.0


class Mark(NamedTuple):
    """A draining target, and the remaining lifetime of the mark in seconds."""

    target: TargetKey
    ttl: float


class DrainMarks:
    """The draining targets known to one host."""

    def __init__(self):
        self._expires_at = {}

    def add(self, target, seconds, now):
        """Add a mark; the latest expiry of a target applies."""
        expires_at = now + seconds
        if expires_at > self._expires_at.get(target, 0.0):
            self._expires_at[target] = expires_at

    def merge(self, marks, now):
        """
        Merge the marks of another host.

        Args:
          marks: A list of `Mark`.
          now: The current time in seconds.
        Returns:
          Whether any of the targets was not marked before.
        """
        current = self.targets(now)
        for mark in marks:
            self.add(mark.target, min(mark.ttl, SELF_REPORT_TTL), now)
        return any(mark.target not in current for mark in marks)

    def targets(self, now):
        """Drop expired marks, and return the keys of the draining targets."""
        self._expires_at = {key: at for key, at in self._expires_at.items() if at > now}
        return set(self._expires_at)

    def marks_to_send(self, now, max_marks):
        """Return the marks to send to another host, the latest expiry first."""
        marks = [
            Mark(key, at - now) for key, at in self._expires_at.items() if at > now
        ]
        return sorted(marks, key=lambda mark: -mark.ttl)[:max_marks]
