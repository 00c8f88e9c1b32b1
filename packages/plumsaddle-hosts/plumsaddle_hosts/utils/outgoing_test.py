"""
Tests of the local ports of outgoing connections.
"""

import asyncio
import socket
from pathlib import Path

import pytest

from ..edge.target_connection import TargetConnection, connect
from ..edge.tunnel import TunnelRequest, open_tunnel
from ..platform.store import make_session

ATTEMPTS = 20
GREETING = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def _connect_to_target(address):
    conn = await connect(
        address, 1.0, lambda: TargetConnection(lambda *_: None, lambda *_: None)
    )
    return conn.close


async def _connect_to_store(address):
    session = make_session()
    await (await session.get(f"http://{address}/")).read()
    return session.close


async def _connect_to_gateway(address):
    request = TunnelRequest("host-1", "up-1", address)
    opening = asyncio.ensure_future(open_tunnel(address, request, 0.5, None))

    async def close():
        await opening

    return close


@pytest.mark.parametrize(
    "open_one", [_connect_to_target, _connect_to_store, _connect_to_gateway]
)
def test_a_listener_may_have_the_local_port_of_an_outgoing_connection(open_one):
    """Guards against hosts that wait for the port of another one's connection."""

    async def run():
        ports = []

        async def serve(reader, writer):
            ports.append(writer.get_extra_info("peername")[1])
            if await reader.read(1) == b"G":
                writer.write(GREETING)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        for _ in range(ATTEMPTS):
            others = _ports_in_use()
            close = await open_one(f"{ip}:{port}")
            while not ports:
                await asyncio.sleep(0.01)
            # The system may give one port to connections of several processes.
            if ports[-1] not in others:
                break
            ports.clear()
        _listen(ports[0])
        closing = close()
        if closing is not None:
            await closing
        await asyncio.sleep(0.1)
        # The connection is in TIME_WAIT now.
        _listen(ports[0])
        server.close()

    asyncio.run(run())


def _ports_in_use():
    """Return the local ports of all connections of the machine."""
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    return {int(line.split()[1].rpartition(":")[2], 16) for line in lines}


def _listen(port):
    socket.create_server(("127.0.0.1", port)).close()
