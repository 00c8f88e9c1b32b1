"""
Pacing of long responses on a host's network link.

Load: long responses on a host with a slow link. All connections of a host share the
link, and what is written waits behind what was written before. So a long response is
written in chunks, in turn with other long ones, and only while little is queued ahead
of it. A short response is written at once and finds a link that is nearly idle.
"""

# Seconds of the link's capacity that may be queued. It bounds what a short response
# waits for long ones, and covers late timers, which would leave the link idle.
MAX_BACKLOG = 0.02
# Seconds of the link's capacity in one chunk, and bounds on a chunk in bytes: smaller
# ones are mostly headers, larger ones gain nothing.
CHUNK_TIME = 0.01
MIN_CHUNK = 4096
MAX_CHUNK = 65536
# Seconds of the link's capacity that the kernel may hold for one connection, and bounds
# on it in bytes. Otherwise it takes megabytes of a response that nobody reads.
SEND_BUFFER_TIME = 0.05
MIN_SEND_BUFFER = 16384
MAX_SEND_BUFFER = 131072
# Bytes on the link for each byte that is written: packet headers and the host's own
# messages, which are not counted otherwise.
OVERHEAD = 1.1


def chunk_size(link_rate):
    """
    Return the size of the chunks of long responses, in bytes.

    Args:
      link_rate: The capacity of the link in bytes per second, or None if unknown.
    """
    if link_rate is None:
        return MAX_CHUNK
    return int(min(MAX_CHUNK, max(MIN_CHUNK, link_rate * CHUNK_TIME)))


def send_buffer_size(link_rate):
    """Return the bytes of a long response that the kernel may hold, as `chunk_size`."""
    if link_rate is None:
        return MAX_SEND_BUFFER
    size = link_rate * SEND_BUFFER_TIME
    return int(min(MAX_SEND_BUFFER, max(MIN_SEND_BUFFER, size)))


class LinkShare:
    """The estimated backlog of a host's link, counted from what is written."""

    def __init__(self):
        self._idle_at = 0.0

    def reserve(self, size, link_rate, now):
        """
        Count bytes that are to be written, and return the seconds to wait before.

        Short responses are counted, and do not wait.

        Args:
          size: The number of bytes.
          link_rate: As for `chunk_size`.
          now: The current time, in seconds.
        """
        if link_rate is None:
            return 0.0
        starts_at = max(self._idle_at, now)
        self._idle_at = starts_at + OVERHEAD * size / link_rate
        return max(0.0, starts_at - MAX_BACKLOG - now)
