"""
An old check-in of a worker's former start ends what its new start is at work on.

Two of ten workers are partitioned from the store for 6.5 seconds. Check-ins that they
sent meanwhile are held up. Behind the partition the workers start again under the ids
that they had. When it has healed, they check in; six seconds later TCP delivers the
check-ins of the former starts. A host must not close the connections of clients whose
requests a sound worker is answering.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import lab  # noqa: E402

# With TROUBLE=0 no worker is partitioned, and the case must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTES = {"/lists/": ("safe", "guidance", 4000)}
WORKERS = 10
# Workers that are partitioned and start again: a fifth.
RESTARTED = 2
# Clients of one host, each with a connection that it keeps.
CLIENTS = 56
# A worker sends its answers in parts, as it has them.
PARTS = 8
PART = b"turn left at the mill. " * 3000
PART_TIME = 0.2
BODY = PART * PARTS
CALM = 4.0
# The partition, and when in it the check-in is sent and the worker starts again.
CUT_TIME = 6.5
SENT_AFTER = 0.1
RESTARTS_AFTER = 1.0
DOWN_TIME = 0.3
# Silence after which the store removes an entry: three check-in intervals.
EXPIRY = 3 * lab.HEARTBEAT
# Seconds from heal to the end of the case.
OBSERVED = 11.0
# Seconds that a worker has been without any disturbance when it counts as sound: twice
# `contact_ms`.
SOUND_AFTER = 6.0
# More closed connections than this break the rule.
MAX_CLOSED = 3


class SteadyWorker(lab.Worker):
    """A worker that sends its answers in parts."""

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await lab.read_head(reader)
                await lab.read_body(reader, headers)
                await self._stream(first, headers, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(self, first, headers, writer):
        request_id = headers.get("request-id", "")
        if headers.get("target-instance", self.id) != self.id:
            writer.write(lab.make_answer(421, request_id, b""))
            return
        arrival = lab.Arrival(request_id, self._record.now(), b"")
        self.arrivals.append(arrival)
        self._record.add(f"{self.id} gets {request_id} ({first})")
        async with self._slots:
            arrival.has_run = True
            head = (
                f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                f"Response-Signature: {self.id}.{request_id}\r\n"
                f"Content-Length: {len(BODY)}\r\n\r\n"
            )
            writer.write(head.encode())
            for _ in range(PARTS):
                await asyncio.sleep(PART_TIME)
                if writer.transport.is_closing():
                    self._record.add(f"{self.id} is cut off while it runs {request_id}")
                    return
                writer.write(PART)
                await writer.drain()
        arrival.is_done = True


class Client:
    """A client that sends one request after the other on a connection that it keeps."""

    def __init__(self, name, record, host):
        self._name = name
        self._record = record
        self._host = host
        self.count = 0
        # When a connection ended before the answer was whole, and the request's id.
        self.cut = []

    async def run(self):
        """Send until cancelled."""
        number = 0
        while True:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._host.callers
            )
            try:
                while True:
                    number += 1
                    await self._ask(f"{self._name}-{number}", reader, writer)
                    await asyncio.sleep(0.05)
            except (OSError, asyncio.IncompleteReadError):
                request_id = f"{self._name}-{number}"
                self.cut.append((self._record.now(), request_id))
                self._record.add(f"the connection ends in the answer to {request_id}")
            finally:
                writer.close()

    async def _ask(self, request_id, reader, writer):
        self._record.add(f"client sends {request_id} to {self._host.name}")
        writer.write(lab.make_request("/lists/a", request_id, "GET", left=8485))
        first, headers = await lab.read_head(reader)
        body = await lab.read_body(reader, headers)
        self.count += 1
        self._record.add(f"client gets {first.split(' ')[1]} for {request_id}")
        if " 200 " in first and body != BODY:
            raise lab.NotRunError("a success with another body")


async def _check_in_others(deployment, workers):
    while True:
        await asyncio.sleep(lab.HEARTBEAT)
        for worker in workers:
            deployment.check_in(worker)


async def _check_in(link, record, worker):
    while True:
        if not link.is_cut:
            await lab.write_entry(link, record, worker)
        await asyncio.sleep(lab.HEARTBEAT)


async def _start_again(deployment, worker):
    """Let a worker start again under its id, at its address and with nothing kept."""
    worker.stop()
    deployment.record.add(f"{worker.id} ends")
    await asyncio.sleep(DOWN_TIME)
    worker.born = int(time.time() * 1000)
    worker.sequence = 0
    await worker.start(int(worker.address.split(":")[1]))
    deployment.record.add(f"{worker.id} has started again")


async def _disturb(deployment, worker):
    """Partition a worker, let it start again, and return when the partition healed."""
    record = deployment.record
    link = lab.Link(record, deployment.store)
    await link.start()
    checking_in = deployment.spawn(_check_in(link, record, worker))
    await asyncio.sleep(CALM)
    checking_in.cancel()
    link.is_cut = HAS_TROUBLE
    cut_at = record.now()
    record.add(f"{worker.id} is partitioned from the store: {link.is_cut}")
    await asyncio.sleep(SENT_AFTER)
    deployment.spawn(lab.write_entry(link, record, worker))
    await asyncio.sleep(RESTARTS_AFTER - SENT_AFTER)
    await _start_again(deployment, worker)
    if not link.is_cut:
        deployment.spawn(_check_in(link, record, worker))
    await asyncio.sleep(cut_at + SENT_AFTER - lab.HEARTBEAT + EXPIRY - record.now())
    if link.is_cut:
        deployment.store.put(lab.WORKERS, worker.id, b"")
        record.add(f"the store removes the entry of {worker.id}")
    await asyncio.sleep(cut_at + CUT_TIME - record.now())
    if link.is_cut:
        link.is_cut = False
        record.add(f"the partition of {worker.id} heals")
        deployment.spawn(_check_in(link, record, worker))
    return record.now()


async def play(record):
    """Play the case, and return whether the rule was kept."""
    async with lab.Deployment(record, ROUTES) as deployment:
        workers = []
        for number in range(WORKERS):
            worker = SteadyWorker(f"i-{number}", "guidance", record, 0.0)
            worker.born = int(time.time() * 1000)
            workers.append(await deployment.add_worker(worker))
        chosen, others = workers[:RESTARTED], workers[RESTARTED:]
        for number in range(2):
            await deployment.add_host(f"edge-{number}")
        await deployment.wait_ready()
        deployment.spawn(_check_in_others(deployment, others))
        clients = [
            Client(f"c{number}", record, deployment.hosts[0])
            for number in range(CLIENTS)
        ]
        for client in clients:
            deployment.spawn(client.run())
        healed_at = await asyncio.gather(
            *(_disturb(deployment, worker) for worker in chosen)
        )
        await asyncio.sleep(OBSERVED)
        return _judge(record, clients, chosen, max(healed_at))


def _judge(record, clients, chosen, healed_at):
    """Tell what was seen, and return whether the rule was kept."""
    count = sum(client.count for client in clients)
    ids = {arrival.id for worker in chosen for arrival in worker.arrivals}
    cuts = [cut for client in clients for cut in client.cut]
    sound = [
        request_id
        for at, request_id in cuts
        if at > healed_at + SOUND_AFTER and request_id in ids
    ]
    summary = (
        f"{count} whole answers; {len(cuts)} connections ended in an answer, "
        f"{len(sound)} of them while a sound restarted worker was at work on it"
    )
    record.add(summary)
    print(summary)
    if count < 50 or len(ids) < 10:
        raise lab.NotRunError("too few requests")
    return len(sound) <= MAX_CLOSED


if __name__ == "__main__":
    lab.run_case(play, Path(__file__).parent)
