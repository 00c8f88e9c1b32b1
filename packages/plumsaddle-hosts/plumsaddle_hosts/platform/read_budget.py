"""
A bound on the bytes of responses that a process reads whole, at the same time.

It is used for the store, which all processes of a fleet read: without a bound, one
response without end would end all of them. No response may take more than half of the
bound, so that sound ones are read on.
"""

DEFAULT_LIMIT = 128_000_000
# The lowest limit, in bytes; a page of a listing has up to 2 MB.
MIN_LIMIT = 8_000_000
MEMORY_DIVISOR = 8
RESPONSE_DIVISOR = 2


def compute_limit(memory_limit):
    """
    Return the bytes that responses of the store may take.

    Args:
      memory_limit: The bytes that the process may take, or None if unknown.
    """
    if memory_limit is None:
        return DEFAULT_LIMIT
    return max(MIN_LIMIT, memory_limit // MEMORY_DIVISOR)


class ReadBudget:
    """
    The bytes that all reads of one process hold.

    Args:
      limit: The maximum number of bytes.
    """

    def __init__(self, limit=DEFAULT_LIMIT):
        self.limit = limit
        self.held = 0

    @property
    def response_limit(self):
        """The most bytes of one response."""
        return self.limit // RESPONSE_DIVISOR

    def open(self):
        """Return a `Holding`, for use in a `with` statement."""
        return Holding(self)


class Holding:
    """The bytes that one read holds; they are released at the end of its context."""

    def __init__(self, budget):
        self._budget = budget
        self.size = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._budget.held -= self.size

    def add(self, size):
        """Hold more bytes, and return whether there is room for them."""
        if self._budget.held + size > self._budget.limit:
            return False
        self._budget.held += size
        self.size += size
        return True
