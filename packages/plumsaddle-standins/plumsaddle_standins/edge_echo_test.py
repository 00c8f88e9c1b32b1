"""
A target that answers while it still reads the request.
"""

import asyncio
import socket

import pytest

from plumsaddle_hosts.edge.target_connection import TargetConnection
from plumsaddle_hosts.utils.addresses import split_address

from .trial import Trial, in_loop
from .worker import WorkerStandin

PIECE = 16384
HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s\r\n"
    "Content-Length: {}\r\n\r\n"
)


class EchoStandin(WorkerStandin):
    """A target with a small receive buffer that sends each piece of a body back."""

    async def start(self, port=0):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE)
        sock.bind(("127.0.0.1", port))
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=PIECE)

    async def _serve(self, reader, writer):
        try:
            while True:
                await self._echo(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def _echo(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n") if ": " in line
        )
        left = int(fields["content-length"])
        writer.write(HEAD.format(fields["request-id"], left).encode())
        while left:
            part = await reader.read(PIECE)
            if not part:
                raise ConnectionError
            left -= len(part)
            writer.write(part)
            await writer.drain()


@pytest.mark.parametrize("size", [50_000, 100_000, 300_000, 500_000, 1_500_000])
@in_loop
async def test_a_response_that_needs_the_rest_of_the_body_is_whole(size):
    """Guards against a body that is not sent on once its response begins."""
    connection_made = TargetConnection.connection_made

    def with_small_buffer(self, transport):
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, PIECE)
        connection_made(self, transport)

    TargetConnection.connection_made = with_small_buffer
    try:
        async with Trial(services=("act",), targets=1) as trial:
            former = trial.of("act")[0]
            former.stop()
            echo = EchoStandin(former.id, "act")
            await echo.start(split_address(former.address)[1])
            trial.workers[former.id] = echo
            body = bytes(range(250)) * (size // 250)
            status, _, answer = await trial.ask("/act/a", "id-1", "POST", body)
            assert (status, answer) == (200, body)
    finally:
        TargetConnection.connection_made = connection_made
