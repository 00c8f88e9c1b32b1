"""
Answers on their way to slow readers while their host is stopped.

Six clients ask for closure notes: each sends a request, and nine further ones behind
it, one every 0.1 s. The first answer has 30 KB and the others have 5 KB. Each client
reads 40 KB a second. Just before, the host gets SIGTERM.
"""

import asyncio
import os
import signal
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import standins  # noqa: E402

# With TROUBLE=0 the host gets no SIGTERM, and the case must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 6
REQUESTS = 10
EVERY_SECONDS = 0.1
FIRST_AT, APART = 0.3, 0.2
FIRST_BYTES, OTHER_BYTES = 30_000, 5_000
RECEIVE_BUFFER = 4096
PIECE = 4000
BYTES_PER_SECOND = 40_000
WORK_SECONDS = 0.11
TIMEOUT_MS = 2000
DEADLINE_MS = 4000
ROUTES = {
    "notes": {
        "host": "notes.example",
        "path_prefix": "/notes/",
        "route_type": "safe",
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 800,
        "priority": 1,
        "service": "roadwatch",
        "max_attempts": 2,
    }
}


class Client:
    """One client with its open connection, and what it has received."""

    def __init__(self, number, host, record):
        self.name = f"client-{number}"
        self._record = record
        ip, _, port = host.callers.rpartition(":")
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self._socket.connect((ip, int(port)))
        self._socket.settimeout(DEADLINE_MS / 1000)
        self.received = bytearray()
        self.sent = []
        self._sent_at = {}
        self._ended_at = 0.0
        self.answered = []
        # Whether an answer of which the head was read says that the connection ends.
        self.is_announced = False
        self.end = "not begun"

    def warm_up(self):
        """Send one request and read its answer."""
        self._send("first")
        while not self._take_answers():
            self.received += self._socket.recv(PIECE)
        self.sent.clear()
        self.answered.clear()

    def _send(self, name):
        request_id = f"{self.name}-{name}"
        self._socket.sendall(
            b"GET /notes/all HTTP/1.1\r\nHost: notes.example\r\n"
            b"Request-Id: %b\r\nDeadline-Ms: %d\r\n\r\n"
            % (request_id.encode(), DEADLINE_MS)
        )
        self.sent.append(request_id)
        self._sent_at[request_id] = time.monotonic()

    def _take_answers(self):
        """Take complete answers from what was received, and return how many."""
        count = 0
        while (end := self.received.find(b"\r\n\r\n")) >= 0:
            lines = self.received[:end].decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in lines[1:])
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            if headers.get("connection", "").lower() == "close":
                self.is_announced = True
            size = end + 4 + int(headers["content-length"])
            if len(self.received) < size:
                break
            del self.received[:size]
            self.answered.append(headers["request-id"])
            count += 1
        return count

    def ask(self, start):
        """Send all requests from a time on, and read until the connection ends."""
        time.sleep(max(0.0, start - time.monotonic()))
        sender = threading.Thread(target=self._send_all, args=(time.monotonic(),))
        sender.start()
        self.end = self._read(time.monotonic() + DEADLINE_MS / 1000)
        self._ended_at = time.monotonic()
        sender.join()
        self._socket.close()
        left = len(self.received)
        self._record.note(
            f"{self.name}: {len(self.sent)} sent, {len(self.answered)} answered,"
            f" {left} bytes of the next answer, then {self.end};"
            f" the end was {'' if self.is_announced else 'not '}announced"
        )

    def _send_all(self, start):
        for number in range(REQUESTS):
            time.sleep(max(0.0, start + number * EVERY_SECONDS - time.monotonic()))
            try:
                self._send(number)
            except OSError as exc:
                self._record.note(f"{self.name}-{number} unsent: {exc!r}")
                return

    def _read(self, deadline):
        while time.monotonic() < deadline:
            try:
                data = self._socket.recv(PIECE)
            except OSError as exc:
                return repr(exc)
            if not data:
                return "closed"
            self.received += data
            self._take_answers()
            if len(self.answered) == REQUESTS:
                return "all answered"
            time.sleep(len(data) / BYTES_PER_SECOND)
        return "left at its deadline"

    def lost(self, ran):
        """
        Return the requests that the rule counts, of those that a worker has run.

        Their connection ended without the whole answer, before the client left and
        before the route's timeout.
        """
        if self.end in ("all answered", "left at its deadline"):
            return []
        return [
            request_id
            for request_id in self.sent
            if request_id in ran
            and request_id not in self.answered
            and self._ended_at - self._sent_at[request_id] < TIMEOUT_MS / 1000
        ]


async def play(record):
    """Play the case, and return the clients and the ids of all requests that ran."""
    store = standins.StoreStandIn()
    await store.start()
    standins.put_configuration(store, 7, ROUTES, ["roadwatch"])

    async def work(message):
        await asyncio.sleep(WORK_SECONDS)
        is_first = message.headers["request-id"].endswith("-0")
        return bytes(FIRST_BYTES if is_first else OTHER_BYTES)

    workers = [
        standins.WorkerStandIn(store, record, "roadwatch", f"i-{number}", work)
        for number in range(7)
    ]
    for worker in workers:
        await worker.start()
    host = standins.EdgeHost(store.address)
    try:
        await host.start()
        await asyncio.sleep(standins.CONTACT_TIME)
        clients = [Client(number, host, record) for number in range(CLIENTS)]
        await asyncio.gather(*(asyncio.to_thread(c.warm_up) for c in clients))
        await asyncio.sleep(standins.CONTACT_TIME)
        stopped_at = time.monotonic()
        if HAS_TROUBLE:
            host.send_signal(signal.SIGTERM)
            record.note("the host gets SIGTERM")
        await asyncio.gather(
            *(
                asyncio.to_thread(c.ask, stopped_at + FIRST_AT + APART * number)
                for number, c in enumerate(clients)
            )
        )
        return clients, {run for worker in workers for run in worker.runs}
    finally:
        await host.close()


async def main():
    """Return the exit code."""
    record = standins.Record(FOLDER / "record.txt")
    clients, ran = await play(record)
    lost = [request_id for client in clients for request_id in client.lost(ran)]
    sent = sum(len(client.sent) for client in clients)
    answered = sum(len(client.answered) for client in clients)
    record.note(
        f"{sent} requests sent, {answered} answered whole, {len(lost)} run by a worker"
        f" whose connection ended without the whole answer: {' '.join(lost)}"
    )
    if not HAS_TROUBLE and answered < CLIENTS * REQUESTS:
        return standins.EXIT_NOT_RUN
    return 1 if lost else 0


if __name__ == "__main__":
    standins.run_case(main)
