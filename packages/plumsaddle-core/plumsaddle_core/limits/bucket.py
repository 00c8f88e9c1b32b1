"""
A token bucket with an adjustable rate.
"""


class TokenBucket:
    """
    A token bucket that refills at a rate, up to a capacity.

    It starts empty, since the previous holder of a share may have just used it up.

    Args:
      rate: Tokens per second.
      capacity: The maximum number of tokens.
      now: The current time in seconds.
    """

    __slots__ = ("_tokens", "_updated_at", "capacity", "rate")

    def __init__(self, rate, capacity, now):
        self.rate = rate
        self.capacity = capacity
        self._tokens = 0.0
        self._updated_at = now

    def tokens(self, now):
        """Return the number of tokens, negative if some are reserved."""
        accrued = self.rate * max(0.0, now - self._updated_at)
        return min(self.capacity, self._tokens + accrued)

    def set_rate(self, rate, capacity, now):
        """Change the rate and the capacity; excess tokens are dropped."""
        self._tokens = min(capacity, self.tokens(now))
        self._updated_at = now
        self.rate = rate
        self.capacity = capacity

    def acquire(self, now):
        """Take a token, or reserve the next one that accrues."""
        self._tokens = self.tokens(now) - 1.0
        self._updated_at = now

    def release(self, now):
        """Return an unused token."""
        self._tokens = min(self.capacity, self.tokens(now) + 1.0)
        self._updated_at = now

    def wait(self, now):
        """Return the seconds until an unreserved token is available."""
        return max(0.0, 1.0 - self.tokens(now)) / self.rate
