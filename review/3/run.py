"""
Answers that stop half-way.

Two workers of fifteen fail 45 % of their requests for 6.5 s, and 6 s later two others:
they send 100 KB of an answer of 150 KB and then nothing more, and keep the connection
open. The route's timeout is 1.5 s, and the clients wait for 4 s.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

WORKERS = 15
GREY_SPELLS = [{"i-0", "i-1"}, {"i-2", "i-3"}]
GREY_FRACTION = 0.45
GREY_SECONDS = 6.5
PAUSE_SECONDS = 6.0
SLOTS = 4
ANSWER_BYTES = 150_000
HALF_BYTES = 100_000
WORK_SECONDS = 0.31
TIMEOUT_MS = 1500
DEADLINE_MS = 4000
PER_SECOND = 40
WARM_UP_SECONDS = 5.0
# Seconds after the timeout within which the rule wants an answer.
SLACK = 0.5
# The rule counts from so many requests, and so large a part of those that last longer.
LEAST_COUNT = 8
LEAST_FRACTION = 0.25
SEED = 1
ROUTES = {
    "lookup": {
        "host": "lookup.example",
        "path_prefix": "/files/",
        "route_type": "safe",
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 1200,
        "priority": 2,
        "service": "records",
        "max_attempts": 2,
    }
}


class Grey:
    """The workers that fail part of their requests now."""

    def __init__(self):
        self.workers = set()
        self._rng = random.Random(SEED)

    def fails(self, worker_id):
        """Return whether a worker stops half-way in its next answer."""
        return worker_id in self.workers and self._rng.random() < GREY_FRACTION


class HalfAnsweringWorker(standins.WorkerStandIn):
    """A worker with slots that stops half-way in some of its answers."""

    def __init__(self, store, record, worker_id, grey):
        super().__init__(store, record, "records", worker_id, self._answer_bytes)
        self._grey = grey
        self._slots = asyncio.Semaphore(SLOTS)

    async def _answer_bytes(self, message):
        await asyncio.sleep(WORK_SECONDS)
        return bytes(ANSWER_BYTES)

    async def _answer(self, message, writer):
        async with self._slots:
            if not self._grey.fails(self.id):
                await super()._answer(message, writer)
                return
            request_id = message.headers.get("request-id", "")
            await asyncio.sleep(WORK_SECONDS)
            head = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Response-Signature: {standins.SIGNATURE}\r\n"
                f"Content-Length: {ANSWER_BYTES}\r\n\r\n"
            )
            writer.write(head.encode() + bytes(HALF_BYTES))
            self._record.note(f"{self.id} stops half-way in {request_id}")
            while not writer.transport.is_closing():
                await asyncio.sleep(0.05)
        raise ConnectionError("the caller has left")


class Lookup:
    """One request, and how long it took to its answer or the end of its connection."""

    def __init__(self, request_id, host, record):
        self.id, self._host, self._record = request_id, host, record
        self.seconds = 0.0
        self.end = None

    async def send(self):
        """Send the request on a new connection, and read until it has ended."""
        reader, writer = await standins.connect(self._host.callers)
        sent_at = time.monotonic()
        writer.write(
            "GET /files/7 HTTP/1.1\r\nHost: lookup.example\r\n"
            f"Request-Id: {self.id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                message = await standins.read_message(reader)
            is_whole = message is not None and message.is_whole
            self.end = message.start.split(" ")[1] if is_whole else "cut"
        except TimeoutError:
            self.end = "open until the client left"
        finally:
            writer.close()
        self.seconds = time.monotonic() - sent_at
        if self.end != "200" or self.seconds > TIMEOUT_MS / 1000:
            self._record.note(f"{self.id}: {self.end}, {self.seconds:.2f} s")


async def send_for(seconds, name, host, record):
    """Send requests at a steady rate, and return them when all have ended."""
    began = time.monotonic()
    lookups, tasks = [], []
    for number in range(int(seconds * PER_SECOND)):
        await asyncio.sleep(began + number / PER_SECOND - time.monotonic())
        lookups.append(Lookup(f"{name}-{number}", host, record))
        tasks.append(asyncio.create_task(lookups[-1].send()))
    await asyncio.gather(*tasks)
    return lookups


async def play(record):
    """Play the case, and return the lookups."""
    store = standins.StoreStandIn()
    await store.start()
    standins.put_configuration(store, 7, ROUTES, ["records"])
    grey = Grey()
    for number in range(WORKERS):
        worker = HalfAnsweringWorker(store, record, f"i-{number}", grey)
        await worker.start()
    host = standins.EdgeHost(store.address)
    try:
        await host.start()
        await asyncio.sleep(standins.CONTACT_TIME)
        lookups = await send_for(WARM_UP_SECONDS, "first", host, record)
        for number, workers in enumerate(GREY_SPELLS):
            if standins.has_trouble():
                grey.workers = workers
                record.note(f"{sorted(workers)} stop half-way for {GREY_SECONDS} s")
            lookups += await send_for(GREY_SECONDS, f"spell-{number}", host, record)
            grey.workers = set()
            lookups += await send_for(PAUSE_SECONDS, f"pause-{number}", host, record)
        return lookups
    finally:
        await host.close()


async def main():
    """Return the exit code."""
    record = standins.Record(FOLDER / "record.txt")
    lookups = await play(record)
    timeout = TIMEOUT_MS / 1000
    long = [lookup for lookup in lookups if lookup.seconds > timeout]
    late = [lookup for lookup in long if lookup.seconds > timeout + SLACK]
    served = sum(lookup.end == "200" for lookup in lookups)
    record.note(
        f"{len(lookups)} requests: {served} served, {len(long)} longer than the"
        f" timeout, {len(late)} of these without a final answer {SLACK} s after it"
    )
    if not standins.has_trouble() and served < len(lookups):
        return standins.EXIT_NOT_RUN
    is_broken = len(late) >= LEAST_COUNT and len(late) > LEAST_FRACTION * len(long)
    return 1 if is_broken else 0


if __name__ == "__main__":
    standins.run_case(main)
