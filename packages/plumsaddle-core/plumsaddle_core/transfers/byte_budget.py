"""
A bound on the bytes that a host holds for callers that read slower than targets send.

Load: many callers that read slowly or not at all. A target keeps a slot until its
response is taken, so bytes are taken as they come while there is room. Room is shared
with dynamic thresholds, as in a shared-memory switch: one response may hold a fixed
fraction of what is still free. Nobody is told how many others there are, and a part
stays free for the next response, however many readers have stalled.

The total never exceeds the limit. An eighth of it is reserved for responses of which
nothing is held: they are read on in small parts, so that a caller receives what it
reads although others fill the budget.
"""

import math

# The fraction of the free bytes that one response may hold. Bytes of a stalled reader
# cannot be taken back, so one response must leave most of the room to later ones.
THRESHOLD_DIVISOR = 8
# The fraction of the limit that is reserved for responses of which nothing is held.
RESERVE_DIVISOR = 8
# The fewest bytes for which reading is resumed. Smaller reads cost a system call for
# almost nothing.
MIN_READ = 4096


class ByteBudget:
    """
    The bytes that one host holds for all its callers.

    Args:
      limit: The maximum number of bytes, at least `MIN_READ`.
    """

    def __init__(self, limit):
        self.limit = limit
        self.held = 0
        self.pause_count = 0
        self._waiting = {}
        # The free bytes from which on any waiting account may be resumed.
        self._resume_at = math.inf

    @property
    def free(self):
        """The bytes that may still be held."""
        return max(0, self.limit - self.held)

    @property
    def reserve(self):
        """The bytes that are reserved for responses of which nothing is held."""
        return self.limit // RESERVE_DIVISOR

    def open(self, on_room):
        """
        Open the `Account` of one response.

        Args:
          on_room: Called when there is room again after `Account.wait_for_room`.
        """
        return Account(self, on_room)

    def charge(self, size):
        """Count bytes as held, or as no longer held if `size` is negative."""
        self.held += size
        if self.free >= self._resume_at:
            self._resume_waiting()

    def add_waiting(self, account):
        """Call the account's `on_room` as soon as it has room."""
        self._waiting[account] = None
        self._resume_at = min(self._resume_at, self._free_needed(account.held))

    def discard_waiting(self, account):
        """Stop waiting for room for an account."""
        self._waiting.pop(account, None)

    def _free_needed(self, held):
        """Return the free bytes from which on an account may be read on."""
        if not held:
            return MIN_READ
        share = (THRESHOLD_DIVISOR + 1) * MIN_READ + THRESHOLD_DIVISOR * held
        return self.reserve + share

    def _resume_waiting(self):
        resumed = [account for account in self._waiting if account.has_room]
        for account in resumed:
            del self._waiting[account]
        needed = (self._free_needed(account.held) for account in self._waiting)
        self._resume_at = min(needed, default=math.inf)
        for account in resumed:
            account.on_room()


class Account:
    """
    The bytes held for one response.

    Args:
      budget: The `ByteBudget`.
      on_room: As for `ByteBudget.open`.
    """

    __slots__ = ("_budget", "held", "is_closed", "on_room", "peak")

    def __init__(self, budget, on_room):
        self._budget = budget
        self.on_room = on_room
        self.held = 0
        self.peak = 0
        self.is_closed = False

    def room(self):
        """Return how many more bytes may be held for this response now."""
        free = self._budget.free
        shared = free - self._budget.reserve
        share = (shared - THRESHOLD_DIVISOR * self.held) // (THRESHOLD_DIVISOR + 1)
        return max(0, share, 0 if self.held else min(MIN_READ, free))

    @property
    def has_room(self):
        """Whether reading this response is worth its cost now."""
        return self.room() >= MIN_READ

    def add(self, size):
        """Hold more bytes."""
        if self.is_closed:
            return
        self.held += size
        self.peak = max(self.peak, self.held)
        self._budget.charge(size)

    def release(self, size):
        """Release bytes that were sent or dropped."""
        size = min(size, self.held)
        self.held -= size
        if size:
            self._budget.charge(-size)
        if self in self._budget._waiting and self.has_room:
            self._budget.discard_waiting(self)
            self.on_room()

    def wait_for_room(self):
        """Have `on_room` called once there is room."""
        if not self.is_closed:
            self._budget.pause_count += 1
            self._budget.add_waiting(self)

    def close(self):
        """Release all bytes for good; later ones are not counted."""
        if not self.is_closed:
            self.is_closed = True
            self._budget.discard_waiting(self)
            self.release(self.held)
