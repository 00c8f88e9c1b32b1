"""
Callers that come at once, in herds larger than the slots of their targets.

Each asks for a long response that arrives in parts, and stays until its own time is up.
A host may refuse it, but once the response has begun it must not break it off.
"""

import asyncio
import contextlib
import time
from typing import NamedTuple

import httptools

from .callers import ASKERS, Ended
from .pipelining import request_bytes
from .worker import Mode

ROUTES = {"/look/herd/": ("safe", "long"), "/act/herd/": ("unsafe", "long")}
REQUESTS = (("/look/herd/a", "GET"), ("/act/herd/a", "POST"))
PART = b"turn left at the mill. " * 3000
PARTS = 8
# Seconds between two parts, and milliseconds that a caller states.
PART_TIME = 0.15
TIME_LEFT_MS = 9000
# Callers of a herd, and seconds between two herds.
SIZE, PAUSE = 40, 3.0
# The most responses that may be broken off, as the rule of lost answers says.
MAX_CUT = 3


class Result(NamedTuple):
    """What a caller of a herd got; times are on the loop's clock."""

    id: str
    path: str
    host: object
    sent_at: float
    ended_at: float
    status: int | None
    is_whole: bool


def send_in_parts(workers):
    """Let targets answer in parts from now on."""
    for worker in workers:
        head = (
            "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST-ID\r\n"
            f"Response-Signature: {worker.id}.1\r\n"
            f"Content-Length: {PARTS * len(PART)}\r\n\r\n"
        )
        worker.mode, worker.work, worker.parts = Mode.PARTS, 0.0, PARTS
        worker.endless, worker.endless_pause = (head.encode(), PART), PART_TIME


class Herds:
    """
    Herds on any of some hosts; `results` has what their callers got.

    Args:
      hosts: The `HostProcess` objects.
      rng: A `random.Random`.
    """

    def __init__(self, hosts, rng):
        self._hosts = hosts
        self._rng = rng
        self.results = []

    async def run(self, seconds):
        """Send herds for some seconds, and wait for the last answers."""
        end = time.monotonic() + seconds
        asking = []
        while time.monotonic() < end:
            host = self._rng.choice(self._hosts)
            path, method = self._rng.choice(REQUESTS)
            for _ in range(SIZE):
                request_id = f"h-{len(asking)}"
                work = self._ask(host, path, method, request_id)
                asking.append(asyncio.ensure_future(work))
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * PAUSE)
        await asyncio.gather(*asking)

    async def _ask(self, host, path, method, request_id):
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        response = _Response()
        with contextlib.suppress(OSError, TimeoutError, httptools.HttpParserError):
            async with asyncio.timeout(TIME_LEFT_MS / 1000 + 2):
                await _exchange(host, path, method, request_id, response)
        result = Result(
            request_id,
            path,
            host,
            sent_at,
            loop.time(),
            response.status,
            response.is_complete,
        )
        self.results.append(result)

    @property
    def ended(self):
        """The requests as `Ended`; a response that was broken off is none."""
        return [
            Ended(
                result.id,
                result.path,
                result.sent_at,
                result.ended_at - result.sent_at,
                result.status if result.is_whole else None,
                result.is_whole,
                ASKERS[0].name,
            )
            for result in self.results
        ]

    def find_broken(self):
        """Return, as texts, that undisturbed hosts have broken off responses."""
        cut = [
            result
            for result in self.results
            if result.status == 200
            and not result.is_whole
            and not _is_disturbed(result)
        ]
        if len(cut) <= MAX_CUT:
            return []
        return [
            f"{result.id}: broken off by {result.host.name} after "
            f"{result.ended_at - result.sent_at:.2f} s"
            for result in cut
        ]

    def tell(self):
        """Return the counts as a text."""
        whole = sum(result.status == 200 and result.is_whole for result in self.results)
        refused = sum(result.status in (429, 503) for result in self.results)
        return f"herds: {len(self.results)} requests, {whole} whole, {refused} refused"


def _is_disturbed(result):
    """Return whether the host was signalled, started or killed meanwhile."""
    host, since, until = result.host, result.sent_at, result.ended_at
    is_killed = any(since <= at <= until for at in host.killed_at)
    return is_killed or host.was_disturbed(since, until)


class _Response:
    """A response as it arrives."""

    def __init__(self):
        self.status = None
        self.is_complete = False
        self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self):
        self.status = self.parser.get_status_code()

    def on_message_complete(self):
        self.is_complete = True


async def _exchange(host, path, method, request_id, response):
    reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
    key = [f"Authorization: Bearer {ASKERS[0].key}"]
    writer.write(request_bytes(path, request_id, method, b"", TIME_LEFT_MS, key))
    try:
        while not response.is_complete and (data := await reader.read(65536)):
            response.parser.feed_data(data)
    finally:
        writer.close()
