"""
Closes the connection of a caller without losing responses.

A connection that is closed while its peer still sends is reset, and a reset discards
what the peer has not received or read yet. So a connection is closed in two steps: for
writing at first, and completely once its caller has closed it too. What arrives between
them is read and dropped (RFC 9112, section 9.6).
"""

import asyncio
import logging

from ..utils.socket_state import undelivered_bytes

log = logging.getLogger("front")
# Seconds between two checks of a connection that lingers.
LINGER_INTERVAL = 0.1
# Seconds for which a connection lingers once its caller has received everything and
# sends nothing more, and the longest time if it goes on sending.
LINGER_TIME = 2.0
MAX_LINGER_TIME = 30.0
# Bytes that are dropped of a caller that has exceeded a limit before it is cut.
MAX_DROPPED_BYTES = 1_000_000


class CallerTransport:
    """
    A transport whose `close` is graceful; all else is as in asyncio's.

    Args:
      transport: The transport of asyncio.
      must_linger: Called with the bytes that the caller has not acknowledged. Returns
        whether closing at once could take back a response.
      stall_time: Seconds without an acknowledgement of the caller after which the
        connection is aborted.
    """

    def __init__(self, transport, must_linger, stall_time):
        self._transport = transport
        self._must_linger = must_linger
        self._stall_time = stall_time
        # Whether its caller has sent what no host has to read.
        self.is_refused = False
        self._dropped_bytes = 0
        self._is_lingering = False
        self._timer = None
        self._undelivered = 0
        self._progress_at = self._linger_until = 0.0
        # Bound once, since each response uses them.
        self.write = transport.write
        self.writelines = transport.writelines

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def is_closing(self):
        """Return whether the connection is closed, at least for writing."""
        return self._is_lingering or self._transport.is_closing()

    def close(self):
        """Close the connection once its caller has received what was written."""
        if self.is_closing():
            return
        self._undelivered = undelivered_bytes(self._transport)
        if not self._must_linger(self._undelivered):
            self._transport.close()
            return
        self._is_lingering = True
        try:
            self._transport.write_eof()
        except OSError as exc:
            log.debug("a caller has reset its connection: %s", exc)
            self._transport.abort()
            return
        self._transport.resume_reading()
        loop = asyncio.get_running_loop()
        self._progress_at = loop.time()
        self._linger_until = self._progress_at + MAX_LINGER_TIME
        self._timer = loop.call_later(LINGER_INTERVAL, self._check)

    def note_ignored(self, count):
        """Note that the caller has sent some bytes that were dropped."""
        self._dropped_bytes += count
        if self.is_refused and self._dropped_bytes > MAX_DROPPED_BYTES:
            self._transport.abort()
        if not self._undelivered:
            self._progress_at = asyncio.get_running_loop().time()

    def note_lost(self):
        """Note that the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self):
        """Close a connection that has lingered long enough."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        left = undelivered_bytes(self._transport)
        if left < self._undelivered:
            self._undelivered, self._progress_at = left, at
        end = self._progress_at + (self._stall_time if left else LINGER_TIME)
        if at < (end if left else min(end, self._linger_until)):
            self._timer = loop.call_later(LINGER_INTERVAL, self._check)
        else:
            self._transport.abort()
