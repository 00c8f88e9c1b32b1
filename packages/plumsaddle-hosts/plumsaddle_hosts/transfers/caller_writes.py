"""
How the connection of a caller is written to while a large response goes out.
"""

import asyncio
import contextlib
import socket

from ..utils.socket_state import undelivered_bytes


@contextlib.contextmanager
def counted_writes(transport, send_buffer):
    """
    Keep nothing in the write buffer of a connection once its writer has drained.

    Otherwise up to 64 KB of each response would be held without being counted, and
    megabytes by the kernel.

    Args:
      transport: The connection's transport.
      send_buffer: The bytes that the kernel may hold.
    """
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer
    )
    transport.set_write_buffer_limits(high=0)
    try:
        yield
    finally:
        transport.set_write_buffer_limits()


async def write_chunk(request, response, chunk):
    """Write a chunk of an aiohttp response, and wait until the kernel has taken it."""
    await response.write(chunk)
    await request.writer.drain()


async def write_while_taken(request, response, part, stall_time):
    """
    Write a part of an aiohttp response, however slowly its caller reads.

    Args:
      request: The aiohttp request.
      response: The prepared response.
      part: The bytes.
      stall_time: The seconds without an acknowledgement after which the caller is
        regarded as gone.
    Returns:
      Whether the part was written.
    """
    transport = request.transport
    if transport is None:
        return False
    left = undelivered_bytes(transport) + len(part)
    writing = asyncio.ensure_future(response.write(part))
    try:
        while not (await asyncio.wait({writing}, timeout=stall_time))[0]:
            undelivered = undelivered_bytes(transport)
            if undelivered >= left:
                return False
            left = undelivered
        await writing
        return True
    finally:
        writing.cancel()
