"""
Long idempotent requests while a worker is slow.

Clients send lookups with a body of 1 MB in chunks, on a safe route. Then two workers of
fifteen, those that have run most, work five times as long for 6.5 s. Each worker
answers with the length and the digest of the body that it ran.
"""

import asyncio
import hashlib
import os
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

# With TROUBLE=0 no worker is slow, and the case must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 15
SLOW_WORKERS = 2
BODY_BYTES = 1_000_000
PIECE = 50_000
TIMEOUT_MS = 1500
DEADLINE_MS = 4000
WORK_SECONDS = 0.41
SLOWNESS = 5.0
SLOW_SECONDS = 6.5
PER_SECOND = 20
WARM_UP_SECONDS = 5.0
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


def summary_of(body):
    """Return what tells one body from another."""
    return f"{len(body)} bytes {hashlib.sha256(body).hexdigest()[:12]}"


class Lookups:
    """The requests of the clients, and what became of them."""

    def __init__(self, host, record):
        self._host, self._record = host, record
        self.sent = {}
        self.answers = {}

    async def send(self, request_id):
        """Send a request on a new connection and read its answer."""
        body = os.urandom(BODY_BYTES)
        self.sent[request_id] = summary_of(body)
        self._record.note(f"{request_id} is sent: {self.sent[request_id]}")
        reader, writer = await standins.connect(self._host.callers)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                await _write(writer, request_id, body)
                message = await standins.read_message(reader)
        except (ConnectionError, TimeoutError) as exc:
            self._record.note(f"{request_id} has no answer: {type(exc).__name__}")
            return
        finally:
            writer.close()
        status = "none" if message is None else message.start.split(" ")[1]
        text = b"" if message is None else message.body
        self.answers[request_id] = status, text.decode("latin-1")
        self._record.note(f"{request_id} is answered: {status}, {text!r}")

    async def send_for(self, seconds, name):
        """Send requests at a steady rate, and wait for their answers."""
        began = time.monotonic()
        tasks = []
        for number in range(int(seconds * PER_SECOND)):
            await asyncio.sleep(began + number / PER_SECOND - time.monotonic())
            tasks.append(asyncio.create_task(self.send(f"{name}-{number}")))
        await asyncio.gather(*tasks)


async def _write(writer, request_id, body):
    head = (
        "POST /files/many HTTP/1.1\r\nHost: lookup.example\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode())
    for start in range(0, len(body), PIECE):
        piece = body[start : start + PIECE]
        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


class Work:
    """The work of all workers, of which some may be slow."""

    def __init__(self, record):
        self._record = record
        self.slow_workers = set()
        self.ran = []

    def busiest(self, count):
        """Return the workers that have run most."""
        runs = Counter(worker_id for _, worker_id, _ in self.ran)
        return {worker_id for worker_id, _ in runs.most_common(count)}

    def of(self, worker_id):
        """Return the work of one worker."""

        async def work(message):
            request_id = message.headers["request-id"]
            body = summary_of(message.body)
            self.ran.append((request_id, worker_id, body))
            is_slow = worker_id in self.slow_workers
            await asyncio.sleep(WORK_SECONDS * (SLOWNESS if is_slow else 1.0))
            return body.encode()

        return work


async def play(record):
    """Play the case, and return the lookups and the work."""
    store = standins.StoreStandIn()
    await store.start()
    standins.put_configuration(store, 7, ROUTES, ["records"])
    work = Work(record)
    for number in range(WORKERS):
        worker_id = f"i-{number}"
        worker = standins.WorkerStandIn(
            store, record, "records", worker_id, work.of(worker_id)
        )
        await worker.start()
    host = standins.EdgeHost(store.address)
    try:
        await host.start()
        await asyncio.sleep(standins.CONTACT_TIME)
        lookups = Lookups(host, record)
        await lookups.send_for(WARM_UP_SECONDS, "first")
        if HAS_TROUBLE:
            work.slow_workers = work.busiest(SLOW_WORKERS)
            names = ", ".join(sorted(work.slow_workers))
            record.note(f"{names} work {SLOWNESS} times as long for {SLOW_SECONDS} s")
        await lookups.send_for(SLOW_SECONDS, "then")
        return lookups, work
    finally:
        await host.close()


async def main():
    """Return the exit code."""
    record = standins.Record(FOLDER / "record.txt")
    lookups, work = await play(record)
    changed = [run for run in work.ran if lookups.sent.get(run[0]) != run[2]]
    for request_id, worker_id, body in changed:
        sent = lookups.sent.get(request_id)
        record.note(f"{worker_id} ran {request_id} with {body}, sent were {sent}")
    served = [r for r, (status, _) in lookups.answers.items() if status == "200"]
    wrong = [r for r in served if lookups.answers[r][1] != lookups.sent[r]]
    record.note(
        f"{len(lookups.sent)} requests: {len(served)} served, {len(changed)} run with"
        f" a changed body, {len(wrong)} answered 200 for a changed body"
    )
    if not HAS_TROUBLE and len(served) < len(lookups.sent):
        return standins.EXIT_NOT_RUN
    return 1 if changed else 0


if __name__ == "__main__":
    standins.run_case(main)
