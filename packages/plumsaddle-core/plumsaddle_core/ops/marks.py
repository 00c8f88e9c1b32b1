"""
Which targets are known to leave, by whatever was first to say so.

The configuration, the platform's list and the target's own word can each say it.
Hosts tell each other, with the seconds that a mark is still good for; passing on
does not renew it, only its source does, so a mark goes when its source goes silent.
"""

from typing import NamedTuple

from ..core.ids import TargetKey

SELF_REPORT_TTL = 300.0
LISTED_TTL = 60.0


class Mark(NamedTuple):
    """A target that is leaving, and for how many more seconds that is good."""

    target: TargetKey
    seconds: float


class DrainMarks:
    """The leaving targets known to one host."""

    def __init__(self):
        self._until = {}

    def add(self, target, seconds, now):
        """Take a mark, which lasts as long as the longest word on it."""
        until = now + seconds
        if until > self._until.get(target, 0.0):
            self._until[target] = until

    def merge(self, marks, now):
        """
        Take the marks that another host told of.

        Args:
          marks: A list of `Mark`.
          now: The present, in seconds.
        Returns:
          Whether one of them was news.
        """
        current = self.targets(now)
        for mark in marks:
            self.add(mark.target, min(mark.seconds, SELF_REPORT_TTL), now)
        return any(mark.target not in current for mark in marks)

    def targets(self, now):
        """Return the keys of the targets that are leaving."""
        self._until = {key: at for key, at in self._until.items() if at > now}
        return set(self._until)

    def marks_to_send(self, now, most):
        """Return the marks to pass on, the longest-lasting first."""
        marks = [Mark(key, at - now) for key, at in self._until.items() if at > now]
        return sorted(marks, key=lambda mark: -mark.seconds)[:most]
