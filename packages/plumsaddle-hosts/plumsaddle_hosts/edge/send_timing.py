"""
The duration of one send, as it is compared between targets.

The duration of a large response depends on its size and its caller, so for these only
the time to the first byte counts, and a response that has begun is not overdue.
"""

from plumsaddle_core.core.traffic import RequestKind

from .clock import now


class SendTiming:
    """
    The times of one send, which starts now.

    Args:
      kind: The `RequestKind`.
      overdue_timer: The `TimerHandle` of when the send is overdue.
      loop_time: The clock of the timer.
    """

    def __init__(self, kind, overdue_timer, loop_time):
        self._ends_at_head = kind is RequestKind.DOWNLOAD
        self._overdue_timer = overdue_timer
        self._loop_time = loop_time
        self._started_at = now()
        self._seconds = None
        self._is_overdue = False

    def note_head(self):
        """Note that the head of the response has arrived."""
        if self._ends_at_head:
            self.stop()

    def stop(self):
        """Stop the clock, unless it has stopped, and cancel the timer."""
        if self._seconds is None:
            self._seconds = now() - self._started_at
            self._is_overdue = self._overdue_timer.when() <= self._loop_time()
            self._overdue_timer.cancel()

    @property
    def seconds(self):
        """The duration."""
        return self._seconds

    @property
    def is_overdue(self):
        """Whether the send was overdue within its duration."""
        return self._is_overdue
