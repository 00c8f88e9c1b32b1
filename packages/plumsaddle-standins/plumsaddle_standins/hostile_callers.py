"""
Callers that stay inside no limit: long heads, endless bytes, bodies that never end.

Each `Form` is one way to send. A caller goes on until it is cancelled; if its host
closes the connection, it opens the next one.
"""

import asyncio
import contextlib
import enum
from collections import Counter
from typing import NamedTuple

from .callers import ASKERS, Ended
from .trial import HOST_NAME

FIELD_BYTES = 100_000
PIECE = 65536
# Seconds before a caller whose connection was closed or refused opens the next one.
PAUSE = 0.05
# Seconds after which a caller that sends nothing more looks whether it is connected.
STALL = 3600.0
HOSTILE_ID = "hostile"
UNREAD_PATH = "/look/a"
# Crowds that are drawn: mean seconds between two, their seconds and their callers.
CROWD_PAUSE, CROWD_SECONDS, CROWD_SIZE = 1.0, (0.5, 3.0), (5, 25)


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


def make_way(form, path, host, method="POST", body_bytes=3_900_000, more=""):
    """
    Return the `Way` of a form.

    Args:
      form: The `Form`.
      path: The path of its requests.
      host: The text of their `Host`.
      method: Their method, where they have a body.
      body_bytes: The bytes of its bodies, which stop short of their end.
      more: Further lines of its heads.
    """
    fields = f"HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {HOSTILE_ID}\r\n{more}"
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


class HostileCallers:
    """
    Crowds of hostile callers, on one host after the other.

    Args:
      hosts: The `HostProcess` objects.
      rng: A `random.Random`.
    """

    def __init__(self, hosts, rng):
        self._hosts = hosts
        self._rng = rng
        self._drawn = Counter()

    async def run(self, seconds):
        """Press for some seconds, with crowds that overlap."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        crowds = []
        while loop.time() < end:
            crowds.append(asyncio.ensure_future(self._press(end)))
            await asyncio.sleep(self._rng.expovariate(1 / CROWD_PAUSE))
        await asyncio.gather(*crowds)

    async def _press(self, end):
        rng, loop = self._rng, asyncio.get_running_loop()
        form = rng.choice(list(Form))
        self._drawn[form.value] += 1
        path = rng.choice(("/act/a", "/up/a"))
        if form is Form.UNREAD:
            # Its requests are whole, and the same again and again.
            path = UNREAD_PATH
        key = f"Authorization: Bearer {ASKERS[0].key}\r\n"
        way = make_way(form, path, HOST_NAME, more=rng.choice((key, "")))
        seconds = min(rng.uniform(*CROWD_SECONDS), end - loop.time())
        port = rng.choice(self._hosts).callers
        async with hostile_crowd(port, way, rng.randint(*CROWD_SIZE)):
            await asyncio.sleep(max(0.0, seconds))

    @property
    def ended(self):
        """What was sent whole, as `Ended`."""
        return [Ended(HOSTILE_ID, UNREAD_PATH, 0.0, 0.0, None, False)]

    def tell(self):
        """Return the counts as a text."""
        return f"hostile crowds: {dict(sorted(self._drawn.items()))}"
