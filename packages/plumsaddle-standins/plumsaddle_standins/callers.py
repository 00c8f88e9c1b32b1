"""
Callers of a fleet of hosts: steady requests of three kinds, and what became of each.
"""

import asyncio
import time
from collections import Counter
from typing import NamedTuple

import aiohttp
import httptools

from .pipelining import Pipe, request_bytes
from .trial import HOST_NAME
from .worker import BODY

# The shares of look-ups, orders and uploads, as at a records gateway.
KINDS = (("/look/a", "GET", 0.3), ("/act/a", "POST", 0.6), ("/up/a", "POST", 0.1))
UPLOAD = bytes(range(256)) * 1200
TIME_LEFT_MS = 2000
# What a caller waits beyond the time that it tells, in seconds.
PATIENCE = 1.0
# The most requests that a caller sends at once on one connection.
MAX_PIPELINED = 8
# Statuses that say that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
READY_EVERY = 0.25


class Asker(NamedTuple):
    """A workspace as its callers know it, and its share of the requests."""

    name: str
    key: str
    share: float


ASKERS = (Asker("archive", "key-archive", 0.7), Asker("field", "key-field", 0.3))
# The one that asks ten times as much while it is hot, and its limit a second.
HOT = ASKERS[1]
HOT_LIMIT = 30
WORKSPACES = {
    "archive": {"api_keys": ["key-archive"], "priority": 0},
    "field": {
        "api_keys": ["key-field"],
        "priority": 1,
        "rate_per_s": HOT_LIMIT,
        "burst": HOT_LIMIT,
    },
}


class Ended(NamedTuple):
    """
    A request that ended. Times are in seconds from the start of the load.

    `status` is None where the connection ended without an answer. `is_unread` tells
    that it was sent behind a response that closed the connection.
    """

    id: str
    path: str
    started: float
    seconds: float
    status: int | None
    is_whole: bool
    workspace: str | None = None
    is_unread: bool = False


class Callers:
    """
    Callers that send requests at a rate, each on any ready host.

    Args:
      hosts: The `HostProcess` objects; as a balancer does, hosts that say that they are
        not ready get no new requests.
      rate: Requests a second.
      rng: A `random.Random`.
      pipelining: The share of callers that send several requests at once on one
        connection.
    """

    def __init__(self, hosts, rate, rng, pipelining=0.0):
        self._hosts = hosts
        self._rate = rate
        self._rng = rng
        self._pipelining = pipelining
        self._ready = list(hosts)
        self._began = 0.0
        # Requests a second of the hot workspace on top.
        self.more = 0.0
        self.ended = []
        # By request id, the host's name that it was sent to, and the target's id that
        # answered it.
        self.sent_to = {}
        self.answered_by = {}

    async def run(self, seconds):
        """Send for some seconds, and wait for the last answers."""
        self._began = time.monotonic()
        async with aiohttp.ClientSession() as session:
            looking = asyncio.create_task(self._look(session))
            asked = []
            count = 0
            while self._at() < seconds:
                await asyncio.sleep(self._rng.expovariate(self._rate + self.more))
                if self._pipelining and self._rng.random() < self._pipelining:
                    numbers = range(count, count + self._rng.randint(2, MAX_PIPELINED))
                    work = self._ask_at_once(numbers)
                    await asyncio.sleep(len(numbers) / self._rate)
                else:
                    numbers = range(count, count + 1)
                    work = self._ask(session, count)
                count = numbers.stop
                asked.append(asyncio.create_task(work))
            await asyncio.gather(*asked)
            looking.cancel()

    def _at(self):
        return time.monotonic() - self._began

    async def _look(self, session):
        """Ask all hosts whether they are ready, again and again."""
        while True:
            answers = await asyncio.gather(*(h.is_ready(session) for h in self._hosts))
            ready = [h for h, is_it in zip(self._hosts, answers, strict=True) if is_it]
            self._ready = ready or self._hosts
            await asyncio.sleep(READY_EVERY)

    def _draw_asker(self):
        if self._rng.random() * (self._rate + self.more) < self.more:
            return HOT
        return self._rng.choices(ASKERS, [asker.share for asker in ASKERS])[0]

    async def _ask(self, session, number):
        asker = self._draw_asker()
        path, method, _ = self._rng.choices(KINDS, [kind[2] for kind in KINDS])[0]
        host = self._rng.choice(self._ready)
        request_id = f"r-{number}"
        self.sent_to[request_id] = host.name
        started = self._at()
        status, is_whole = None, False
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(TIME_LEFT_MS),
            "Authorization": f"Bearer {asker.key}",
        }
        try:
            async with session.request(
                method,
                f"http://127.0.0.1:{host.callers}{path}",
                headers=headers,
                data=UPLOAD if path.startswith("/up/") else None,
                timeout=aiohttp.ClientTimeout(TIME_LEFT_MS / 1000 + PATIENCE),
            ) as resp:
                status = resp.status
                signature = resp.headers.get("Response-Signature", "")
                is_whole = _is_whole(status, signature, await resp.read(), request_id)
                self.answered_by[request_id] = signature.rpartition(".")[0]
        except (aiohttp.ClientError, TimeoutError):
            # The request's end is unknown to its caller, and counts as that.
            pass
        self._note(request_id, path, started, status, is_whole, asker)

    async def _ask_at_once(self, numbers):
        """Send several requests on one connection, and note what became of each."""
        asker = self._draw_asker()
        host = self._rng.choice(self._ready)
        started = self._at()
        kinds = self._rng.choices(KINDS, [kind[2] for kind in KINDS], k=len(numbers))
        sent = {
            f"r-{number}": kind for number, kind in zip(numbers, kinds, strict=True)
        }
        self.sent_to.update(dict.fromkeys(sent, host.name))
        requests = [
            request_bytes(
                path,
                request_id,
                method,
                UPLOAD if path.startswith("/up/") else b"",
                TIME_LEFT_MS,
                [f"Authorization: Bearer {asker.key}"],
            )
            for request_id, (path, method, _) in sent.items()
        ]
        is_closed = False
        left = dict(sent)
        try:
            async with asyncio.timeout(TIME_LEFT_MS / 1000 + PATIENCE):
                pipe = await Pipe.open("127.0.0.1", host.callers)
                pipe.send(*requests)
                while left and not is_closed:
                    answer = await pipe.receive()
                    if answer is None:
                        break
                    request_id = next(iter(left))
                    path = left.pop(request_id)[0]
                    is_closed = answer.headers.get("connection") == "close"
                    signature = answer.headers.get("response-signature", "")
                    self.answered_by[request_id] = signature.rpartition(".")[0]
                    is_whole = _is_whole(
                        answer.status, signature, answer.body, request_id
                    )
                    self._note(
                        request_id, path, started, answer.status, is_whole, asker
                    )
                pipe.close()
        except (OSError, TimeoutError, httptools.HttpParserError):
            # What is left is unknown to its caller, and counts as that.
            pass
        for request_id, (path, _, _) in left.items():
            self._note(request_id, path, started, None, False, asker, is_closed)

    def _note(
        self, request_id, path, started, status, is_whole, asker, is_unread=False
    ):
        seconds = self._at() - started
        self.ended.append(
            Ended(
                request_id,
                path,
                started,
                seconds,
                status,
                is_whole,
                asker.name,
                is_unread,
            )
        )


def _is_whole(status, signature, body, request_id):
    """Return whether a success is the target's whole answer to this very request."""
    return status == 200 and body == BODY and signature.endswith("." + request_id)


def find_broken(ended, workers, closed=()):
    """
    Return what breaks a promise, as texts.

    Args:
      ended: A list of `Ended`.
      workers: The `WorkerStandin` objects, which counted what they ran.
      closed: The `Record`s of incarnations that ended before.
    """
    runs = Counter()
    for worker in workers:
        runs.update(worker.runs)
    sent = {end.id for end in ended}
    broken = [
        f"{request_id}: run, and nobody sent it" for request_id in set(runs) - sent
    ]
    for end in ended:
        if runs[end.id] > 1 and not end.path.startswith(("/look/", "/file/")):
            broken.append(f"{end.id}: {end.path} ran {runs[end.id]} times")
        if end.status in PROMISES and runs[end.id]:
            broken.append(f"{end.id}: answered {end.status}, and has run")
        if end.is_unread and runs[end.id] and not end.path.startswith("/look/"):
            broken.append(f"{end.id}: ran behind a response that closed")
        if end.status == 200 and not end.is_whole:
            broken.append(f"{end.id}: a success that is not its target's whole answer")
    return broken + _find_misnamed(ended, (*workers, *closed))


def _find_misnamed(ended, workers):
    """Return requests that targets took for another workspace's, or got the key of."""
    workspaces = {end.id: end.workspace for end in ended}
    broken = []
    for seen in (seen for worker in workers for seen in worker.seen):
        name = seen.headers.get("tenant")
        if seen.id in workspaces and name != workspaces[seen.id]:
            broken.append(f"{seen.id}: shown as of {name}, not {workspaces[seen.id]}")
        if "authorization" in seen.headers:
            broken.append(f"{seen.id}: the key was passed on")
    return broken
