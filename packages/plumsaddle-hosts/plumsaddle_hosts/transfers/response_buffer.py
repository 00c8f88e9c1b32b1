"""
The bytes of one large response between its target and its caller.
"""

from collections import deque


class ResponseBuffer:
    """
    A queue of bytes that counts toward a `ByteBudget`.

    Bytes count from their arrival until `release` says that they have left the host,
    which is later than `take`: a caller that does not read leaves them in the write
    buffer of its connection.

    Args:
      budget: The `ByteBudget`.
      on_room: Called when there is room again after `wait_for_room`.
    """

    def __init__(self, budget, on_room):
        self._account = budget.open(on_room)
        self._parts = deque()
        self._size = 0

    def __len__(self):
        return self._size

    def __bytes__(self):
        return b"".join(self._parts)

    def __iadd__(self, data):
        if not self._account.is_closed:
            self._account.add(len(data))
            self._parts.append(bytes(data))
            self._size += len(data)
        return self

    @property
    def has_room(self):
        """Whether more may be read from the target."""
        return self._account.has_room

    @property
    def held(self):
        """The bytes that count now."""
        return self._account.held

    @property
    def peak(self):
        """The most bytes that counted at any time."""
        return self._account.peak

    def room(self):
        """Return how many more bytes may be appended."""
        return self._account.room()

    def wait_for_room(self):
        """Have `on_room` called once there is room."""
        self._account.wait_for_room()

    def take(self, max_bytes):
        """Remove and return up to `max_bytes`, which count until `release`."""
        part = self._parts.popleft()
        if len(part) > max_bytes:
            self._parts.appendleft(part[max_bytes:])
            part = part[:max_bytes]
        self._size -= len(part)
        return part

    def release(self, size):
        """Stop counting bytes that were taken."""
        self._account.release(size)

    def clear(self):
        """Drop all bytes that were not taken."""
        self._account.release(self._size)
        self._parts.clear()
        self._size = 0

    def close(self):
        """Drop everything for good."""
        self._parts.clear()
        self._size = 0
        self._account.close()
