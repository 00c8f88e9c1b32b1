"""
What a machine may do to the start of a host: its port is taken for a moment, or its
settings are still being written.
"""

import asyncio
import contextlib
import socket
import struct

SHARES = (None, 0.0, 0.3, 0.8)


@contextlib.contextmanager
def occupied(host, name, far_end):
    """
    Occupy a port of a host that does not run.

    Args:
      host: The `HostProcess`.
      name: `callers` or `ready` for the local port of an outgoing connection, `hosts`
        for a datagram socket.
      far_end: The address to which the connection leads, as a pair.
    """
    port = {
        "callers": host.callers,
        "ready": host.ready,
        "hosts": int(host.peers.rpartition(":")[2]),
    }[name]
    kind = socket.SOCK_DGRAM if name == "hosts" else socket.SOCK_STREAM
    with socket.socket(type=kind) as sock:
        if kind is socket.SOCK_STREAM:
            # Connections of the process before may be left in TIME_WAIT.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        if kind is socket.SOCK_STREAM:
            sock.connect(far_end)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
            # Without TIME_WAIT, which would keep the port for a minute.
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        yield


async def occupy(host, name, far_end, seconds):
    """Occupy a port of a host for some seconds; return whether it was free."""
    try:
        with occupied(host, name, far_end):
            await asyncio.sleep(seconds)
    except OSError:
        return False
    return True


async def withhold_settings(host, share, seconds):
    """
    Write the settings of a host only some seconds later.

    Args:
      host: The `HostProcess`.
      share: The share of the text that is there before, None if there is no file.
      seconds: How long.
    """
    if share is None:
        host.path.unlink(missing_ok=True)
    else:
        host.path.write_text(host.text[: int(len(host.text) * share)], "utf-8")
    await asyncio.sleep(seconds)
    host.path.write_text(host.text, "utf-8")
