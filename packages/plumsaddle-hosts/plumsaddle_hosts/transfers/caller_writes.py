"""
How the connection of a caller is written to while a large response goes out.
"""

import contextlib
import socket


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
