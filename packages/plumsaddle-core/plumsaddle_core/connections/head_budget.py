"""
Bounds on the heads of requests that are still arriving.

One head is bounded by itself, and all that are longer than usual share a budget, since
a parser holds what has arrived of a head until it is complete.
"""

# Bytes of an incomplete head that are not charged to the budget. Most heads are
# shorter, so a full budget doesn't affect them.
FREE_BYTES = 8192
# Bytes of a head besides its fields: the request line, and white space.
LINE_BYTES = 65536
DEFAULT_MAX_FIELD_BYTES = 65536
DEFAULT_BUDGET = 8 * 1024 * 1024
MEMORY_DIVISOR = 32
MIN_BUDGET = 1024 * 1024


def compute_budget(memory_limit):
    """
    Return the bytes that incomplete heads may take.

    Args:
      memory_limit: The bytes that the process may take, or None if unknown.
    """
    if memory_limit is None:
        return DEFAULT_BUDGET
    return max(MIN_BUDGET, memory_limit // MEMORY_DIVISOR)


class HeadBudget:
    """
    The bytes of all incomplete heads of one host.

    Args:
      limit: Returns the maximum number of bytes of all heads.
      max_field_bytes: Returns the maximum number of bytes of the fields of one head.
    """

    def __init__(
        self,
        limit=lambda: DEFAULT_BUDGET,
        max_field_bytes=lambda: DEFAULT_MAX_FIELD_BYTES,
    ):
        self.held = 0
        self._limit = limit
        self._max_field_bytes = max_field_bytes


class HeadHolding:
    """
    What the head that arrives on one connection takes of a `HeadBudget`.

    `size` is its bytes so far.
    """

    __slots__ = ("_budget", "_charged", "size")

    def __init__(self, budget):
        self._budget = budget
        self._charged = 0
        self.size = 0

    def add(self, count):
        """Count further bytes of the head, and return whether it may go on."""
        budget = self._budget
        self.size += count
        if self.size <= FREE_BYTES:
            return True
        if self.size > budget._max_field_bytes() + LINE_BYTES:
            return False
        if budget.held + self.size - self._charged > budget._limit():
            return False
        budget.held += self.size - self._charged
        self._charged = self.size
        return True

    def clear(self):
        """Release all bytes, as the head is complete or its connection is lost."""
        self._budget.held -= self._charged
        self._charged = self.size = 0
