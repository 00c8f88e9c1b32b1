"""
How a response arrives that is not complete when its route's timeout has passed.

Its target has done most of the work by then, and a cut would waste it and the caller's
wait. So the response goes on if it states its length and is complete in time at its
pace so far.
"""

# Seconds without a byte after which a response that goes on is cut.
MAX_GAP = 1.0
# The multiple of its route's timeout for which a request takes no longer in any case.
MAX_TIMEOUT_FACTOR = 2.0


def latest_end(started_at, stated, timeout):
    """
    Return the time by which an arriving response must be complete, in seconds.

    Args:
      started_at: When the request arrived.
      stated: The seconds that its caller waits, or None if it doesn't say.
      timeout: The route's timeout, in seconds.
    """
    if stated is None:
        return started_at + timeout
    return started_at + min(stated, MAX_TIMEOUT_FACTOR * timeout)


class Arrival:
    """
    The pace of a response.

    Args:
      length: The bytes of the response, or None if it states no length.
      count: The bytes that have arrived.
      now: The current time in seconds.
    """

    def __init__(self, length, count, now):
        self._left = None if length is None else length - count
        self._count = 0
        self._began_at = now

    def note(self, count):
        """Note that more bytes have arrived."""
        self._count += count
        if self._left is not None:
            self._left -= count

    def is_complete_by(self, end, now):
        """
        Return whether a response at this pace is complete by a time.

        One of which too little has arrived to tell may be.
        """
        if self._left is None or now >= end:
            return False
        return self._left * (now - self._began_at) <= (end - now) * self._count or (
            not self._count
        )
