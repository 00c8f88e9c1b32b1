"""
Callers that keep connections open, send bodies in pieces and read slowly.

Each keeps its connection until the host ends it, whatever happens to the host. What a
host must not do around a planned shutdown is checked by `find_lost`.
"""

import asyncio
import hashlib
from collections import Counter
from typing import NamedTuple

import httptools

from .callers import ASKERS, PROMISES, Ended
from .pacing import SlowPipe, send_in_pieces, upload_head
from .pipelining import Pipe, request_bytes
from .worker import BODY

NOTES = b"a note " * 3000
ROUTES = {"/note/": ("safe", "note")}
TIME_LEFT_MS = 3000
# Seconds of the routes' timeout and of the grace period.
TIMEOUT, GRACE = 2.0, 6.0
# Seconds after its last byte in which a request may end without having been read.
LOSS_SLACK = 0.2
# Seconds after SIGTERM until which a request may begin that outlasts its host.
EXCUSED_START = 3.0
# Seconds by which the clocks of a caller and of the rule may differ on a busy machine.
CLOCK_SLACK = 0.1
# Seconds without an unplanned disturbance of a host before a request.
CONTACT_TIME = 3.0
PAUSE = (0.0, 0.4)
SIZES = (300, 60_000, 300_000, 900_000)
SECONDS = (0.0, 0.2, 0.8, 1.6)
READ_RATES = (20_000, 60_000, 300_000)


class Exchanged(NamedTuple):
    """
    What became of a request; times are on the loop's clock.

    `sent_at` is None if its body was not sent to the end, `ended_at` the time of the
    response or of the connection's end. `is_behind` tells whether a request before it
    on its connection had no response, `has_left` whether the caller gave up.
    """

    id: str
    path: str
    host: str
    began_at: float
    sent_at: float | None
    ended_at: float
    status: int | None
    is_whole: bool
    digest: bytes
    is_behind: bool = False
    has_left: bool = False


def digest(body):
    """Return what tells one body from another."""
    return hashlib.blake2b(body, digest_size=8).digest()


class PacedCallers:
    """
    Callers with a connection each.

    Args:
      hosts: The `HostProcess` objects.
      rng: A `random.Random`.
      count: The number of callers.
      time_left: The milliseconds that they give a request.
    """

    def __init__(self, hosts, rng, count=24, time_left=TIME_LEFT_MS):
        self._hosts = hosts
        self._rng = rng
        self._count = count
        self._time_left = time_left
        self._numbers = iter(range(10**9))
        self._is_over = False
        self._began = 0.0
        self.exchanged = []

    async def run(self, seconds):
        """Send for some seconds, and wait for the last responses."""
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        kinds = (self._upload, self._upload, self._look_up_long, self._read_slowly)
        tasks = [
            asyncio.create_task(self._call(kinds[number % len(kinds)]))
            for number in range(self._count)
        ]
        await asyncio.sleep(seconds)
        self._is_over = True
        await asyncio.gather(*tasks)

    @property
    def ended(self):
        """All requests as `Ended`, with times from the start on."""
        return [
            Ended(
                e.id,
                e.path,
                e.began_at - self._began,
                e.ended_at - e.began_at,
                e.status,
                e.is_whole,
                ASKERS[0].name,
            )
            for e in self.exchanged
        ]

    async def _call(self, exchange):
        """Use one connection after the other until time is over."""
        kind = SlowPipe if exchange == self._read_slowly else Pipe
        while not self._is_over:
            host = self._rng.choice(self._hosts)
            try:
                pipe = await kind.open("127.0.0.1", host.callers)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            if kind is SlowPipe:
                pipe.bytes_per_second = self._rng.choice(READ_RATES)
            while not self._is_over and await exchange(pipe, host):
                await asyncio.sleep(self._rng.uniform(*PAUSE))
            pipe.close()

    async def order(self, host):
        """Send an order on a connection of its own, if the host accepts one."""
        try:
            pipe = await Pipe.open("127.0.0.1", host.callers)
        except OSError:
            return
        await self._send_body(pipe, host, "/act/a", SIZES[0])
        pipe.close()

    def _next_id(self):
        return f"p-{next(self._numbers)}"

    async def _upload(self, pipe, host):
        path = self._rng.choice(("/up/a", "/act/a"))
        return await self._send_body(pipe, host, path, self._rng.choice(SIZES))

    async def _look_up_long(self, pipe, host):
        return await self._send_body(pipe, host, "/note/a", 1_000_000)

    async def _send_body(self, pipe, host, path, size):
        """Send a request in pieces; return whether its connection goes on."""
        loop = asyncio.get_running_loop()
        request_id = self._next_id()
        body = self._rng.randbytes(64) * (size // 64)
        is_chunked = self._rng.random() < 0.5
        seconds = self._rng.choice(SECONDS)
        began_at = loop.time()
        sent_at = status = answer = None
        has_left = False
        length = None if is_chunked else len(body)
        key = f"Authorization: Bearer {ASKERS[0].key}"
        try:
            pipe.send(upload_head(path, request_id, length, self._time_left, [key]))
            sending = asyncio.create_task(
                send_in_pieces(pipe, body, seconds, is_chunked)
            )
            receiving = asyncio.create_task(pipe.receive())
            await asyncio.wait(
                {sending, receiving}, return_when=asyncio.FIRST_COMPLETED
            )
            if sending.done() and sending.exception() is None:
                sent_at = loop.time()
            sending.cancel()
            left = began_at + self._time_left / 1000 - loop.time()
            answer = await asyncio.wait_for(receiving, max(0.1, left))
        except TimeoutError:
            has_left = True
        except (OSError, httptools.HttpParserError):
            pass
        is_whole = False
        if answer is not None:
            status = answer.status
            expected = NOTES if path == "/note/a" else BODY
            is_whole = status == 200 and answer.body == expected
        self.exchanged.append(
            Exchanged(
                request_id,
                path,
                host.name,
                began_at,
                sent_at,
                loop.time(),
                status,
                is_whole,
                digest(body),
                has_left=has_left,
            )
        )
        is_closed = answer is None or answer.headers.get("connection") == "close"
        return sent_at is not None and not is_closed

    async def _read_slowly(self, pipe, host):
        """Send lookups without waiting and read slowly, as `_send_body` does."""
        loop = asyncio.get_running_loop()
        waiting = {}
        interval = self._rng.choice((0.0, 0.05, 0.2))
        key = f"Authorization: Bearer {ASKERS[0].key}"

        async def send(count):
            for _ in range(count):
                request_id = self._next_id()
                waiting[request_id] = (loop.time(), bool(waiting))
                left = self._time_left
                pipe.send(request_bytes("/note/a", request_id, "GET", b"", left, [key]))
                await asyncio.sleep(interval)

        sending = asyncio.create_task(send(self._rng.randint(1, 6)))
        is_closed = has_left = False
        try:
            async with asyncio.timeout(self._time_left / 1000):
                while waiting or not sending.done():
                    if not waiting:
                        await asyncio.sleep(0.01)
                        continue
                    answer = await pipe.receive()
                    if answer is None:
                        is_closed = True
                        break
                    request_id = next(iter(waiting))
                    self._note_read(request_id, host, *waiting.pop(request_id), answer)
                    if answer.headers.get("connection") == "close":
                        is_closed = True
                        break
        except TimeoutError:
            has_left = True
        except (OSError, httptools.HttpParserError):
            is_closed = True
        sending.cancel()
        for request_id, (at, is_behind) in waiting.items():
            self._note_read(request_id, host, at, is_behind, None, has_left)
        return not (is_closed or has_left)

    def _note_read(self, request_id, host, at, is_behind, answer, has_left=False):
        status = is_whole = None
        if answer is not None:
            status = answer.status
            is_own = answer.headers.get("request-id") == request_id
            is_whole = status == 200 and is_own and answer.body == NOTES
        self.exchanged.append(
            Exchanged(
                request_id,
                "/note/a",
                host.name,
                at,
                at,
                asyncio.get_running_loop().time(),
                status,
                bool(is_whole),
                digest(b""),
                is_behind,
                has_left,
            )
        )


def find_all_broken(exchanged, workers, hosts, timeout=TIMEOUT, graces=None):
    """Return what breaks a promise, as texts; arguments as for `find_lost`."""
    return [
        *find_changed(exchanged, workers),
        *find_broken_promises(exchanged, workers),
        *find_lost(exchanged, workers, hosts, timeout, graces),
    ]


def find_changed(exchanged, workers):
    """Return requests that ran with another body than was sent, as texts."""
    sent = {e.id: e for e in exchanged}
    lines = []
    for worker in workers:
        for seen in worker.seen:
            request = sent.get(seen.id)
            if request is not None and digest(seen.body) != request.digest:
                lines.append(f"{seen.id}: ran with {len(seen.body)} other bytes")
    return lines


def find_lost(exchanged, workers, hosts, timeout=TIMEOUT, graces=None):
    """
    Return requests that ended without a response around a planned shutdown, as texts.

    Args:
      exchanged: A list of `Exchanged`.
      workers: The `WorkerStandin` objects.
      hosts: The `HostProcess` objects.
      timeout: That of the routes, in seconds.
      graces: By host the grace periods at its shutdowns, `GRACE` if None.
    """
    runs, done, flooded = Counter(), Counter(), set()
    for worker in workers:
        runs.update(worker.runs)
        done.update(worker.done)
        flooded |= worker.flooded
    by_name = {host.name: host for host in hosts}
    lines = []
    for e in exchanged:
        host = by_name[e.host]
        stopped_at, grace = _find_shutdown(host, e.ended_at, graces)
        if stopped_at is None or e.ended_at > stopped_at + grace + 1.0:
            continue
        has_run = runs[e.id] > 0
        is_at_work = has_run and not done[e.id]
        is_outlasting = is_at_work and e.began_at <= stopped_at + EXCUSED_START
        if is_outlasting and e.ended_at >= stopped_at + grace * 5 / 6:
            continue
        # A response without end is cut by whoever ends first.
        if e.id in flooded:
            continue
        if _is_unanswered(e, host.killed_at, timeout, has_run):
            after = e.ended_at - stopped_at
            what = "run" if has_run else "not run"
            lines.append(f"{e.id}: {e.path} lost {after:.2f} s after SIGTERM, {what}")
    return lines


def _find_shutdown(host, until, graces):
    """Return when the last shutdown of a host began, and its grace period."""
    count = sum(1 for at in host.stopped_at if at <= until)
    if not count:
        return None, GRACE
    grace = GRACE if graces is None else graces[host.name][count - 1]
    return host.stopped_at[count - 1], grace


def count_cut_orders(exchanged, workers, hosts, timeout=TIMEOUT, graces=None):
    """
    Return how many orders hosts took after SIGTERM and cut while they ran.

    Arguments as for `find_lost`.
    """
    runs, ended = Counter(), set()
    for worker in workers:
        runs.update(worker.runs)
        ended |= worker.flooded | set(worker.done)
    by_name = {host.name: host for host in hosts}
    count = 0
    for e in exchanged:
        host = by_name[e.host]
        stopped_at, grace = _find_shutdown(host, e.began_at - CLOCK_SLACK, graces)
        if stopped_at is None or e.ended_at > stopped_at + grace + 1.0:
            continue
        has_time = e.ended_at - e.began_at < timeout - CLOCK_SLACK
        is_cut = e.status in (None, 502, 504) and not e.has_left
        is_killed = any(stopped_at <= at <= e.ended_at for at in host.killed_at)
        is_running = runs[e.id] > 0 and e.id not in ended
        is_order = not e.path.startswith("/note/")
        count += is_order and is_running and has_time and is_cut and not is_killed
    return count


def _is_unanswered(e, killed_at, timeout, has_run):
    """Return whether a request that was read had no response without an excuse."""
    if e.status is not None or e.has_left or e.sent_at is None:
        return False
    if e.ended_at - e.began_at >= timeout - CLOCK_SLACK:
        return False
    since = e.began_at - CONTACT_TIME
    if any(since <= at <= e.ended_at for at in killed_at):
        return False
    return has_run or not (e.is_behind or e.ended_at <= e.sent_at + LOSS_SLACK)


def find_broken_promises(exchanged, workers):
    """Return runs that callers were told not to have happened, and doubled runs."""
    runs = Counter()
    for worker in workers:
        runs.update(worker.runs)
    lines = []
    for e in exchanged:
        is_safe = e.path.startswith("/note/")
        if not is_safe and runs[e.id] > 1:
            lines.append(f"{e.id}: {e.path} ran {runs[e.id]} times")
        if not is_safe and e.status in PROMISES and runs[e.id]:
            lines.append(f"{e.id}: answered {e.status}, and has run")
        if e.status == 200 and not e.is_whole:
            lines.append(f"{e.id}: a success that is not its target's whole response")
    return lines
