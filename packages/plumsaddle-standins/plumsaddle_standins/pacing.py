"""
A caller's connection that sends bodies in pieces and reads responses at a pace.
"""

import asyncio
import socket

from .pipelining import Pipe
from .trial import HOST_NAME

# Bytes that are read at once at a pace.
READ_SIZE = 4000


def upload_head(path, request_id, length, left=4000, more=()):
    """
    Return the head of a request with a body.

    Args:
      path: Its path.
      request_id: Its id.
      length: The bytes of its body, or None if that is sent in chunks.
      left: The milliseconds until its deadline.
      more: Further lines.
    """
    framing = "Transfer-Encoding: chunked"
    if length is not None:
        framing = f"Content-Length: {length}"
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {left}",
        framing,
        *more,
    ]
    return "\r\n".join([*lines, "\r\n"]).encode()


async def send_in_pieces(pipe, body, seconds, is_chunked=False, count=20):
    """Send a body in equal pieces that are spread over some seconds."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    size = -(-len(body) // count)
    for start in range(0, len(body), size):
        due = began + seconds * start / len(body)
        await asyncio.sleep(max(0.0, due - loop.time()))
        piece = body[start : start + size]
        pipe.writer.write(
            b"%x\r\n%b\r\n" % (len(piece), piece) if is_chunked else piece
        )
        await pipe.writer.drain()
    await asyncio.sleep(max(0.0, began + seconds - loop.time()))
    if is_chunked:
        pipe.writer.write(b"0\r\n\r\n")


class SlowPipe(Pipe):
    """
    A connection to a host that is read at a pace; `open` makes one.

    Its buffers are small, so what it has not read stays at the host.
    """

    bytes_per_second = 40_000

    @classmethod
    async def open(cls, ip, port, receive_buffer=4096):
        """Connect to a host."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (ip, port))
        # The stream stops reading from the socket with twice its limit.
        streams = await asyncio.open_connection(sock=sock, limit=READ_SIZE // 2)
        return cls(*streams)

    async def receive(self):
        """Return the next `Received`, or None if the connection ended before."""
        while not self._received:
            data = await self.reader.read(READ_SIZE)
            if not data:
                return None
            self._parser.feed_data(data)
            await asyncio.sleep(len(data) / self.bytes_per_second)
        return self._received.popleft()
