"""
Tests of how the command line asks hosts.
"""

import asyncio
import contextlib

import aiohttp
import pytest

from . import hosts


@pytest.mark.parametrize("piece, expected", [(b"", [1]), (b" " * 65536, None)])
def test_an_answer_without_end_is_given_up(piece, expected, monkeypatch):
    """Guards against a command that is ended for its memory by one host."""
    monkeypatch.setattr(hosts, "MAX_ANSWER", 1_000_000)
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n[1]"
        writer.write(head)
        with contextlib.suppress(ConnectionError):
            while piece and sent < 50_000_000:
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with aiohttp.ClientSession() as session:
            value = await hosts.ask_host(session, address, "/status")
        server.close()
        return value

    assert asyncio.run(run()) == expected
    assert sent < 20_000_000
