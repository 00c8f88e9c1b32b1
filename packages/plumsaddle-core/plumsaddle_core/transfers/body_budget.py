"""
A bound on what a host's process holds of requests' bodies.

A body is charged with what was read of it, what its connection has read ahead, and what
is being written to a target. Requests beyond the bound are refused at once. The retry
delay follows from how fast bytes were released of late, and later refusals get later
times, so that callers do not return together.
"""

DEFAULT_LIMIT = 64 * 1024 * 1024
MEMORY_DIVISOR = 4
# Room for some of the longest bodies that are held.
MIN_LIMIT = 4 * 1024 * 1024
# Bytes that a connection reads ahead of a longer body, and that are being written.
IN_TRANSIT = 262144
# Bounds of the retry delay, in seconds.
MIN_RETRY_AFTER = 0.05
MAX_RETRY_AFTER = 2.0
# Seconds for which bodies are held, until some have been released.
INITIAL_HOLD_TIME = 0.5
HOLD_TIME_WEIGHT = 0.1


def compute_limit(memory_limit):
    """
    Return the bytes that bodies of requests may take.

    Args:
      memory_limit: The bytes that the process may take, or None if unknown.
    """
    if memory_limit is None:
        return DEFAULT_LIMIT
    return max(MIN_LIMIT, memory_limit // MEMORY_DIVISOR)


def body_cost(size):
    """Return the bytes of memory that a body takes of which `size` bytes are held."""
    return size + min(size, IN_TRANSIT)


class BodyBudget:
    """
    The bytes that all bodies of one host take.

    Args:
      limit: The maximum number of bytes.
    """

    def __init__(self, limit):
        self.limit = limit
        self.held = 0
        self._hold_time = INITIAL_HOLD_TIME
        # When there is room for all that were refused, by the current pace.
        self._free_at = 0.0

    def open(self, at):
        """Return the `BodyHolding` of a request that arrives at a time in seconds."""
        return BodyHolding(self, at)

    def has_room(self, size):
        """Return whether `size` bytes of a body could be held now."""
        return self.held + body_cost(size) <= self.limit

    def note_held(self, seconds):
        """Note for how long a body was held."""
        self._hold_time += HOLD_TIME_WEIGHT * (seconds - self._hold_time)

    def retry_after(self, size, at):
        """
        Return the seconds after which there is room for a body.

        Args:
          size: The bytes of it that will be held.
          at: The current time, in seconds.
        """
        seconds = body_cost(size) * self._hold_time / max(1, self.held)
        self._free_at = min(max(self._free_at, at) + seconds, at + MAX_RETRY_AFTER)
        return max(MIN_RETRY_AFTER, self._free_at - at)


class BodyHolding:
    """
    What one request's body takes of a `BodyBudget`.

    Args:
      budget: The `BodyBudget`.
      at: When the request arrived, in seconds.
    """

    __slots__ = ("_budget", "_cost", "_since")

    def __init__(self, budget, at):
        self._budget = budget
        self._since = at
        self._cost = 0

    def resize(self, size):
        """
        Hold `size` bytes of the body from now on, if there is room.

        Returns:
          Whether there is; otherwise what was held before is kept.
        """
        cost = body_cost(size)
        if self._budget.held + cost - self._cost > self._budget.limit:
            return cost <= self._cost
        self._budget.held += cost - self._cost
        self._cost = cost
        return True

    def close(self, at):
        """Release all bytes at a time in seconds."""
        if self._cost:
            self._budget.note_held(at - self._since)
        self._budget.held -= self._cost
        self._cost = 0
