"""
Keys of changed entries that remain to be gossiped.
"""

# Messages in which a changed entry is sent, since datagrams may be lost.
SENDS_PER_CHANGE = 2
# Maximum entries per message; the others are sent with the next one.
MAX_ROWS = 40


class PendingKeys:
    """The keys to send, with the number of messages in which each is still to be."""

    def __init__(self):
        self._sends_left = {}

    def __bool__(self):
        return bool(self._sends_left)

    def add(self, key):
        """Send a key in the next messages."""
        self._sends_left[key] = SENDS_PER_CHANGE

    def discard(self, key):
        """Send a key no more."""
        self._sends_left.pop(key, None)

    def repeat(self, keys):
        """Send keys in at least one more message."""
        for key in keys:
            self._sends_left.setdefault(key, 1)

    def take(self):
        """Return the keys for one message, the oldest first."""
        keys = list(self._sends_left)[:MAX_ROWS]
        for key in keys:
            self._sends_left[key] -= 1
            if not self._sends_left[key]:
                del self._sends_left[key]
        return keys


def sample_keys(keys, max_keys, rng):
    """
    Return a random sample of all keys, for anti-entropy.

    It brings hosts up to date that have just started or missed messages.

    Args:
      keys: All keys.
      max_keys: The maximum number of keys.
      rng: A `random.Random`.
    """
    keys = list(keys)
    return rng.sample(keys, max_keys) if len(keys) > max_keys else keys
