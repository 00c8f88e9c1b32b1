"""
Uploads that are on their way while their host is stopped.

Six clients hold open connections. A host gets SIGTERM, and each client sends an upload
of 300 KB at 200 KB/s, between 2.0 and 2.7 s later. Its last byte leaves the client
before the host has been stopped for 4.3 s; the grace period is 6 s.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

# With TROUBLE=0 the host gets no SIGTERM, and the case must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 6
BODY_BYTES = 300_000
BYTES_PER_SECOND = 200_000
PIECE = 10_000
FIRST_AT, APART = 2.0, 0.14
DEADLINE_MS = 4000
WORK_SECONDS = 0.36
LOSS_SLACK = 0.2
GRACE = 6.0
ROUTES = {
    "scan": {
        "host": "scan.example",
        "path_prefix": "/scan/",
        "route_type": "upload",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 1200,
        "priority": 1,
        "service": "intake",
        "max_attempts": 1,
    }
}


def head_of(request_id, length):
    """Return the head of an upload."""
    return (
        f"POST /scan/ledger HTTP/1.1\r\nHost: scan.example\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


class Upload:
    """One client with its open connection, and what became of its upload."""

    def __init__(self, number, host, record):
        self.id = f"upload-{number}"
        self._host, self._record = host, record
        self._reader = self._writer = None
        self.last_byte_at = self.sent_at = self.ended_at = 0.0
        self.status = None
        self.end = "not sent"

    async def warm_up(self):
        """Open the connection with a small upload, which is answered."""
        self._reader, self._writer = await standins.connect(self._host.callers)
        self._writer.write(head_of(f"{self.id}-first", 100) + bytes(100))
        message = await standins.read_message(self._reader)
        self._record.note(f"{self.id}-first is answered: {message.start}")

    async def send(self, start):
        """Send the upload at a time, read the answer, and note how it ended."""
        await asyncio.sleep(start - time.monotonic())
        answer = asyncio.create_task(standins.read_message(self._reader))
        self.sent_at = time.monotonic()
        self._record.note(f"{self.id} is sent, {BODY_BYTES} bytes")
        try:
            await self._send_body()
        except ConnectionError as exc:
            self._record.note(f"{self.id} can't be sent: {type(exc).__name__}")
        message = None
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + self.sent_at
                + DEADLINE_MS / 1000
                - time.monotonic()
            ):
                message = await answer
            how = "reset" if self._reader.exception() else "closed"
            self.end = f"{how} without an answer"
        except TimeoutError:
            self.end = "no answer by the client's deadline"
        self.ended_at = time.monotonic()
        if message is not None:
            self.status = message.start.split(" ")[1]
            self.end = f"answered: {message.start}, whole: {message.is_whole}"
        after = self.ended_at - self.last_byte_at
        self._record.note(f"{self.id} {self.end}, {after:.2f} s after its last byte")
        self._writer.close()

    async def _send_body(self):
        self._writer.write(head_of(self.id, BODY_BYTES))
        began = time.monotonic()
        for sent in range(0, BODY_BYTES, PIECE):
            self._writer.write(bytes(PIECE))
            await self._writer.drain()
            due = began + (sent + PIECE) / BYTES_PER_SECOND
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        self.last_byte_at = time.monotonic()
        self._record.note(f"{self.id} has sent its last byte")

    @property
    def is_lost(self):
        """Whether the connection ended without an answer after the whole request."""
        is_unanswered = self.end.endswith("without an answer")
        return is_unanswered and self.ended_at > self.last_byte_at + LOSS_SLACK


async def play(record):
    """Play the case, and return the uploads."""
    store = standins.StoreStandIn()
    await store.start()

    async def work(message):
        await asyncio.sleep(WORK_SECONDS)
        return b"stored"

    standins.put_configuration(store, 7, ROUTES, ["intake"])
    workers = [
        standins.WorkerStandIn(store, record, "intake", f"i-{number}", work)
        for number in range(3)
    ]
    for worker in workers:
        await worker.start()
    host = standins.EdgeHost(store.address)
    try:
        await host.start()
        await asyncio.sleep(standins.CONTACT_TIME)
        uploads = [Upload(number, host, record) for number in range(CLIENTS)]
        for upload in uploads:
            await upload.warm_up()
        await asyncio.sleep(standins.CONTACT_TIME)
        stopped_at = time.monotonic()
        if HAS_TROUBLE:
            host.send_signal(signal.SIGTERM)
            record.note("the host gets SIGTERM")
        await asyncio.gather(
            *(
                upload.send(stopped_at + FIRST_AT + APART * number)
                for number, upload in enumerate(uploads)
            )
        )
        if HAS_TROUBLE:
            left = stopped_at + GRACE - time.monotonic()
            code = await asyncio.wait_for(host.process.wait(), max(0.5, left))
            record.note(f"the host has ended with code {code}")
        return uploads, workers
    finally:
        await host.close()


async def main():
    """Return the exit code."""
    record = standins.Record(FOLDER / "record.txt")
    uploads, workers = await play(record)
    runs = sum(
        worker.runs.get(upload.id, 0) for worker in workers for upload in uploads
    )
    lost = [upload for upload in uploads if upload.is_lost]
    served = sum(upload.status == "200" for upload in uploads)
    record.note(
        f"{len(uploads)} uploads: {served} served, {runs} run, {len(lost)} lost"
    )
    if not HAS_TROUBLE and served < len(uploads):
        return standins.EXIT_NOT_RUN
    return 1 if lost else 0


if __name__ == "__main__":
    standins.run_case(main)
