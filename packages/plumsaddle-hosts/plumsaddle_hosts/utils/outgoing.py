"""
Opens outgoing connections whose local ports remain free for listeners.

The system picks a local port that some process may have to listen on. Unless its socket
allows reuse, nobody can until the connection has ended, and a minute more if this side
closed it.
"""

import asyncio
import socket

# Seconds without data before a keep-alive probe, and between two probes.
PROBE_INTERVAL = 1


def make_socket(addr_info):
    """Return a socket for an outgoing connection; the argument is as for aiohttp."""
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock


def keep_alive(sock, count):
    """
    Let a connection end once its peer doesn't know it any more, or is unreachable.

    Args:
      sock: The socket.
      count: The unanswered probes, one a second, after which the peer is unreachable.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, count)


async def create_connection(make_protocol, ip, port, **_):
    """Open a connection, as the event loop's method does for an IPv4 address."""
    loop = asyncio.get_running_loop()
    sock = make_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", None))
    try:
        sock.setblocking(False)
        await loop.sock_connect(sock, (ip, port))
        return await loop.create_connection(make_protocol, sock=sock)
    except BaseException:
        sock.close()
        raise
