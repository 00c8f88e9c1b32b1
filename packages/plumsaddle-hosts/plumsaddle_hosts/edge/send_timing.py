"""
The duration of one send, as it is compared between targets.

The target of a large response keeps its slot until the response is received, so the
duration ends there. It does not depend on the caller: a download for which there is no
room goes to its caller at once, and the rest of it is not counted; of other responses,
the time for which a slow caller kept them from being read is not. Whether a send of a
download is overdue is decided at the first byte, since the rest depends on the size.
"""

from plumsaddle_core.core.traffic import RequestKind

from .clock import now

# Seconds by which a timer may be late while the host runs. A busy processor delays it
# by some tens of milliseconds.
MAX_TIMER_DELAY = 0.1


class SendTiming:
    """
    The times of one send, which starts now.

    `seconds` is its duration, and `waited` the seconds until the target began to
    respond, both set by `stop`. `is_overdue` tells whether it began too late.
    `connection` is the `TargetConnection`, once there is one, and `due_at` when the
    response to the request on it is expected. `has_head` tells whether the head of a
    response has arrived.

    Args:
      kind: The `RequestKind`.
      overdue_timer: The `TimerHandle` of when the send is overdue.
      loop_time: The clock of the timer.
      expected_duration: The expected seconds until the response.
    """

    def __init__(self, kind, overdue_timer, loop_time, expected_duration=0.0):
        self.seconds = 0.0
        self.waited = None
        self.is_overdue = False
        self.connection = None
        self.due_at = 0.0
        self._expected_duration = expected_duration
        self.has_head = False
        self._is_download = kind is RequestKind.DOWNLOAD
        self._overdue_timer = overdue_timer
        self._loop_time = loop_time
        self._started_at = now()

    @property
    def is_timer_late(self):
        """
        Whether the timer is run so late that this host has not run meanwhile.

        Its response may then wait to be read, and its time tells nothing of the target.
        """
        return self._loop_time() - self._overdue_timer.when() > MAX_TIMER_DELAY

    def restart(self, overdue_timer):
        """Replace the timer by one that has just been started."""
        self._overdue_timer = overdue_timer

    def note_connected(self, connection):
        """Note the connection on which the request is about to be sent."""
        self.connection = connection
        self.due_at = now() + self._expected_duration

    @property
    def is_direct(self):
        """Whether the request was sent on a connection without a gateway."""
        return self.connection is not None and self.connection.gateway is None

    @property
    def is_tunnelled(self):
        """Whether the request was sent through a gateway."""
        return self.connection is not None and self.connection.gateway is not None

    def note_head(self):
        """Note that the head of the response has arrived."""
        self.has_head = True
        if self._is_download:
            self._note_begun()

    def stop(self):
        """Note that the send has ended."""
        self._note_begun()
        self.seconds = now() - self._started_at

    def note_received(self, unread_time):
        """Note that the rest was received; `unread_time` is not counted."""
        self.seconds = now() - self._started_at - unread_time

    def _note_begun(self):
        if self.waited is None:
            self.waited = now() - self._started_at
            self.is_overdue = self._overdue_timer.when() <= self._loop_time()
            self._overdue_timer.cancel()
