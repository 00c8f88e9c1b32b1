"""
Callers that stay inside no limit: long heads, endless bytes, bodies that never end.

Each `Form` is one way to send. A caller goes on until it is cancelled; if its host
closes the connection, it opens the next one.
"""

import asyncio
import contextlib
import enum
from typing import NamedTuple

FIELD_BYTES = 100_000
PIECE = 65536
# Seconds before a caller whose connection was closed or refused opens the next one.
PAUSE = 0.05
# Seconds after which a caller that sends nothing more looks whether it is connected.
STALL = 3600.0


class Form(enum.Enum):
    """What hostile callers send."""

    SILENT = "silent"
    HALF_HEAD = "half-head"
    ENDLESS_LINE = "endless-line"
    ENDLESS_FIELD = "endless-field"
    LONG_FIELDS = "long-fields"
    SHORT_FIELDS = "short-fields"
    EMPTY_LINES = "empty-lines"
    LARGE_CHUNKS = "large-chunks"
    SMALL_CHUNKS = "small-chunks"
    EMPTY_CHUNK_LINES = "chunk-extension"
    TRAILERS = "trailers"
    STATED_LENGTH = "stated-length"
    UNREAD = "unread"


class Way(NamedTuple):
    """
    What a caller sends on a connection: `begin`, then `piece` again and again.

    `count` is how often, or None for no end. After that the connection stays open.
    """

    begin: bytes
    piece: bytes
    count: int | None


def make_way(form, path, host, method="POST", body_bytes=3_900_000):
    """
    Return the `Way` of a form.

    Args:
      form: The `Form`.
      path: The path of its requests.
      host: The text of their `Host`.
      method: Their method, where they have a body.
      body_bytes: The bytes of its bodies, which stop short of their end.
    """
    fields = f"HTTP/1.1\r\nHost: {host}\r\nRequest-Id: hostile\r\n"
    get = f"GET {path} {fields}".encode()
    post = f"{method} {path} {fields}Deadline-Ms: 9000\r\n".encode()
    chunked = post + b"Transfer-Encoding: chunked\r\n\r\n"
    long_field = b"X-Long: " + b"x" * FIELD_BYTES + b"\r\n"
    small = 300_000
    ways = {
        Form.SILENT: Way(b"", b"", 0),
        Form.HALF_HEAD: Way(get, b"", 0),
        Form.ENDLESS_LINE: Way(b"GET /", b"x" * PIECE, None),
        Form.ENDLESS_FIELD: Way(get + b"X: ", b"x" * PIECE, None),
        Form.LONG_FIELDS: Way(get, long_field, 120),
        Form.SHORT_FIELDS: Way(get, b"X: y\r\n" * 10_000, None),
        Form.EMPTY_LINES: Way(b"", b"\r\n" * (PIECE // 2), None),
        Form.LARGE_CHUNKS: Way(
            chunked, b"10000\r\n" + b"x" * PIECE + b"\r\n", body_bytes // PIECE
        ),
        Form.SMALL_CHUNKS: Way(chunked, b"1\r\nx\r\n" * 10_000, small // 10_000),
        Form.EMPTY_CHUNK_LINES: Way(chunked + b"1;", b"x" * PIECE, None),
        Form.TRAILERS: Way(chunked + b"1\r\nx\r\n0\r\n", long_field, 120),
        Form.STATED_LENGTH: Way(
            post + f"Content-Length: {body_bytes + 1}\r\n\r\n".encode(),
            b"x" * PIECE,
            body_bytes // PIECE,
        ),
        Form.UNREAD: Way(b"", get + b"\r\n", None),
    }
    return ways[form]


async def be_hostile(port, way):
    """Send in a `Way` to a port of the loopback until cancelled."""
    while True:
        writer = None
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                await _send(reader, writer, way)
            finally:
                writer.transport.abort()
        await asyncio.sleep(PAUSE)


async def _send(reader, writer, way):
    writer.write(way.begin)
    left = way.count
    while left is None or left > 0:
        writer.write(way.piece)
        await writer.drain()
        # Other callers send between two pieces.
        await asyncio.sleep(0)
        left = None if left is None else left - 1
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(STALL):
            while await reader.read(PIECE):
                pass


@contextlib.asynccontextmanager
async def hostile_crowd(port, way, count):
    """Let `count` callers be hostile for as long as the context is open."""
    tasks = [asyncio.ensure_future(be_hostile(port, way)) for _ in range(count)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
