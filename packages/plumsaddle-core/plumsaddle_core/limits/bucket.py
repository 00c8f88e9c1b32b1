"""
A token bucket whose rate may change.
"""


class TokenBucket:
    """
    Tokens that accrue at a rate, up to a capacity.

    It starts empty: a host that takes over a part of a rate limit does not know what
    the former holder has just sent.

    Args:
      rate: Tokens a second.
      capacity: The most tokens that it holds.
      now: The present, in seconds.
    """

    __slots__ = ("_tokens", "_updated_at", "capacity", "rate")

    def __init__(self, rate, capacity, now):
        self.rate = rate
        self.capacity = capacity
        self._tokens = 0.0
        self._updated_at = now

    def tokens(self, now):
        """Return how many tokens there are."""
        accrued = self.rate * max(0.0, now - self._updated_at)
        return min(self.capacity, self._tokens + accrued)

    def set_rate(self, rate, capacity, now):
        """Change the rate and the capacity; tokens that fit are kept."""
        self._tokens = min(capacity, self.tokens(now))
        self._updated_at = now
        self.rate = rate
        self.capacity = capacity

    def acquire(self, now):
        """Take a token, or reserve the next one that accrues."""
        self._tokens = self.tokens(now) - 1.0
        self._updated_at = now

    def release(self, now):
        """Put back a token that was not used."""
        self._tokens = min(self.capacity, self.tokens(now) + 1.0)
        self._updated_at = now

    def wait(self, now):
        """Return the seconds until there is a token that is not reserved."""
        return max(0.0, 1.0 - self.tokens(now)) / self.rate
