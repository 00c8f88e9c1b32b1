"""
The bytes that a connection has not delivered, and those that were not read from it.

The kernel tells both for TCP sockets on Linux. Where it does not, they count as 0.
"""

import fcntl
import logging
import struct
import termios

log = logging.getLogger("front")
COUNT = struct.Struct("i")


def undelivered_bytes(transport):
    """Return the bytes written to a transport that the peer has not acknowledged."""
    unsent = transport.get_write_buffer_size()
    return unsent + _ask_kernel(transport, termios.TIOCOUTQ)


def unread_bytes(transport):
    """Return the bytes that have arrived and were not read."""
    return _ask_kernel(transport, termios.FIONREAD)


def _ask_kernel(transport, request):
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), request, bytes(COUNT.size))
    except OSError as exc:
        log.debug("the kernel does not tell what a socket holds: %s", exc)
        return 0
    return COUNT.unpack(answer)[0]
