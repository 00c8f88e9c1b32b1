"""
A stand-in for the network between one host and all targets, which can be cut.

The host's connections to targets run through a forwarder on loopback. A connection
begins with the target's address, and the forwarder confirms it with one byte once the
target has accepted. `cut` drops, resets or keeps the connections that are open, and
lets new ones hang or refuses them.
"""

import asyncio
import enum
import socket
import struct
from typing import NamedTuple

PREAMBLE = struct.Struct(">4sH")
ACCEPTED = b"\x01"
READ_SIZE = 65536


class Existing(enum.Enum):
    """What a cut does to connections that are open."""

    HANG = "hang"
    RESET = "reset"
    LIVE = "live"


class Opening(enum.Enum):
    """What a cut does to new connections."""

    HANG = "hang"
    REFUSED = "refused"


class Cut(NamedTuple):
    """A form of a cut."""

    existing: Existing
    opening: Opening


CUTS = {
    "hang": Cut(Existing.HANG, Opening.HANG),
    "reset": Cut(Existing.RESET, Opening.HANG),
    "reset and refused": Cut(Existing.RESET, Opening.REFUSED),
    "refused": Cut(Existing.HANG, Opening.REFUSED),
    "live and hang": Cut(Existing.LIVE, Opening.HANG),
    "live and refused": Cut(Existing.LIVE, Opening.REFUSED),
}


class HostLink:
    """
    The connections of one host to targets.

    `is_cut_off` says which addresses of targets are concerned while there is a cut.
    """

    def __init__(self):
        self.address = None
        self.is_cut_off = lambda address: True
        self._cut = None
        self._healed = asyncio.Event()
        self._healed.set()
        self._pairs = {}
        self._server = None

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self):
        """Stop listening, and reset all connections."""
        self._server.close()
        self._reset()

    def cut(self, form):
        """Begin a `Cut`."""
        self._cut = form
        self._healed.clear()
        if form.existing is Existing.RESET:
            self._reset()

    def heal(self):
        """End the cut; what connections that hang still hold is delivered."""
        self._cut = None
        self._healed.set()

    def _concerns(self, address):
        return self._cut is not None and self.is_cut_off(address)

    def _reset(self):
        for writers, address in list(self._pairs.items()):
            if self._cut is None or self.is_cut_off(address):
                for writer in writers:
                    reset(writer)

    async def _serve(self, reader, writer):
        try:
            ip, port = PREAMBLE.unpack(await reader.readexactly(PREAMBLE.size))
            address = f"{socket.inet_ntoa(ip)}:{port}"
            while self._concerns(address):
                if self._cut.opening is Opening.REFUSED:
                    return
                await self._healed.wait()
            target = await asyncio.open_connection(socket.inet_ntoa(ip), port)
            pair = (writer, target[1])
            self._pairs[pair] = address
            try:
                writer.write(ACCEPTED)
                await asyncio.gather(
                    self._copy(address, reader, target[1]),
                    self._copy(address, target[0], writer),
                )
            finally:
                del self._pairs[pair]
                target[1].close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _copy(self, address, reader, writer):
        try:
            while data := await reader.read(READ_SIZE):
                await self._wait_while_hanging(address)
                writer.write(data)
                await writer.drain()
            await self._wait_while_hanging(address)
            # A host that closes a connection closes it in both directions.
            writer.close()
        except ConnectionError:
            await self._wait_while_hanging(address)
            reset(writer)

    async def _wait_while_hanging(self, address):
        while self._concerns(address) and self._cut.existing is Existing.HANG:
            await self._healed.wait()


def reset(writer):
    """Reset a connection; closing it would look like an ordinary end."""
    if writer.transport.is_closing():
        writer.transport.abort()
        return
    option = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    writer.transport.abort()


def connect_through(link_address):
    """Return a function as the loop's `create_connection` that goes through a link."""
    link_ip, _, link_port = link_address.rpartition(":")

    async def create_connection(factory, ip, port, **_):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(sock, (link_ip, int(link_port)))
            await loop.sock_sendall(sock, PREAMBLE.pack(socket.inet_aton(ip), port))
            if await loop.sock_recv(sock, 1) != ACCEPTED:
                raise ConnectionRefusedError
        except BaseException:
            sock.close()
            raise
        return await loop.create_connection(factory, sock=sock)

    return create_connection
