"""
Stand-ins for the store, the workers and the clients, and hosts as processes.

A script builds a small deployment with these: the hosts run as `deploy/system.toml`
says, everything else runs in the event loop of the script. All addresses are loopback
addresses. The stand-ins do what the users' pages say and nothing else, apart from the
one disruption that a case adds by itself.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
HOST_NAME = "records.example"
OPERATOR = "keyed.op"
WORKERS = "keyed.servers"
HEARTBEAT = 1.5
DRAIN = 2.0
GRACE = 6.0
# TCP's retransmissions: the first after 0.2 s, each further one after twice the time.
FIRST_RETRANSMISSION = 0.2
# Seconds after which a worker gives up a call to the store.
CALL_TIMEOUT = 1.0
PORT_RANGE = range(21000, 31000)
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
SETTINGS = """
id = "{name}"
data_centre = "{centre}"
data_centres = ["depot-heverlee", "depot-kessel"]
seeds = [{seeds}]
store = "{store}"
link_mbps = {link_mbps}
memory_mb = 300

[listen]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
hosts = "127.0.0.1:{peers}"

[bounds]
leaving_ms = 2000
grace_s = 6
contact_ms = 3000
apply_ms = 2000
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 58
floor_share = 0.7
"""


class NotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


_given = set()


def free_port():
    """Return a port below the ephemeral range that nothing uses for TCP or UDP."""
    while True:
        port = PORT_RANGE[int.from_bytes(os.urandom(2), "big") % len(PORT_RANGE)]
        if port in _given:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        _given.add(port)
        return port


class Record:
    """The record of a run: lines with the time since the start of the script."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text):
        """Add a line."""
        self._file.write(f"{self.now():9.3f}  {text}\n")

    def close(self):
        """Write what is left."""
        self._file.close()


async def read_head(reader):
    """Return the first line and the headers of a message, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers):
    """Return the body of a message that has a length or is sent in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Topic:
    """One topic of the store, with a single partition."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, data, is_keyed):
        """Add a record and wake those that wait for it."""
        self.records.append(data)
        if is_keyed:
            size = data[0]
            key, value = data[1 : 1 + size], data[1 + size :]
            if value:
                self.newest[key] = (len(self.records) - 1, value)
            else:
                self.newest.pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Store:
    """The platform's store, as far as hosts call it; nothing expires."""

    def __init__(self):
        self.topics = {}
        self.address = None
        self.connections = set()
        self._server = None

    async def start(self):
        """Listen."""
        port = free_port()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def stop(self):
        """Stop listening and cut all connections."""
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def topic(self, name):
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write a key of a keyed topic; an empty value drops it."""
        name = key.encode()
        self.topic(topic).append(bytes([len(name)]) + name + value, True)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(part.split("=", 1) for part in query.split("&") if part)
                status, data = await self._answer(method, path, fields, body)
                head = (
                    f"HTTP/1.1 {status} Status\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, method, path, fields, body):
        if (method, path) == ("GET", "/log-read"):
            return await self._read(fields)
        if (method, path) == ("GET", "/log-newest"):
            return self._list(fields)
        if (method, path) == ("POST", "/log-append"):
            return self._append(fields, body)
        return 404, b""

    async def _read(self, fields):
        topic, start = self.topic(fields["topic"]), int(fields["from"])
        wait = int(fields.get("wait_ms", 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                while len(topic.records) <= start:
                    await topic.changed.wait()
        data = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[start:]:
            data += struct.pack(">I", len(record)) + record
        return 200, data

    def _list(self, fields):
        topic = self.topic(fields["topic"])
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        page = {"items": items, "has_more": False, "end": len(topic.records)}
        return 200, json.dumps(page).encode()

    def _append(self, fields, body):
        topic, at = self.topic(fields["topic"]), 0
        offset = len(topic.records)
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            is_keyed = fields["topic"].startswith("keyed.")
            topic.append(body[at + 4 : at + 4 + size], is_keyed)
            at += 4 + size
        return 200, json.dumps({"offset": offset, "end": len(topic.records)}).encode()


def make_config(version, routes, limits=None):
    """
    Return the bytes of a configuration.

    Args:
      version: Its number.
      routes: By prefix the kind, the service and the timeout in milliseconds.
      limits: What differs from the usual limits.
    """
    resources = [
        {
            "entry_kind": "routes",
            "metadata": {"name": f"r{prefix.strip('/')}"},
            "spec": {
                "host": HOST_NAME,
                "path_prefix": prefix,
                "route_type": kind,
                "timeout_ms": timeout,
                "target_latency_ms": 1200,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
            },
        }
        for prefix, (kind, service, timeout) in routes.items()
    ]
    for service in sorted({service for _, service, _ in routes.values()}):
        spec = {"health_path": "/healthz", "max_conns": 330, "protocol": "h1"}
        resources.append(
            {"entry_kind": "services", "metadata": {"name": service}, "spec": spec}
        )
    spec = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        **(limits or {}),
    }
    resources.append({"entry_kind": "limits", "metadata": {}, "spec": spec})
    return json.dumps({"version": version, "resources": resources}).encode()


class Arrival:
    """A request that reached a worker; `status` is None until it was answered."""

    def __init__(self, request_id, at, body):
        self.id = request_id
        self.at = at
        self.body = body
        self.has_run = False
        self.is_done = False


class Worker:
    """
    One worker. It runs `slots` requests at once; the others wait.

    Args:
      worker_id: Its id.
      service: Its service.
      record: The `Record`.
      work: The seconds that a request takes.
      centre: Its zone.
    """

    def __init__(self, worker_id, service, record, work, centre="depot-heverlee"):
        self.id = worker_id
        # The start of this incarnation in Unix milliseconds; None on a site whose
        # workers don't tell it.
        self.born = None
        self.service = service
        self.work = work
        self.centre = centre
        self.sequence = 0
        self.state = "ready"
        self.address = None
        self.arrivals = []
        self._record = record
        self._slots = asyncio.Semaphore(4)
        self._server = None
        self._writers = set()

    async def start(self, port=None):
        """Listen, at a free port unless one is given."""
        port = port or free_port()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def stop(self):
        """End, as an exit of the process does: all connections are cut."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        """Return the next entry, whose sequence is one more than the last one's."""
        self.sequence += 1
        born = {} if self.born is None else {"born": self.born}
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.centre,
                "version": "v1",
                "slots": 4,
                "state": self.state,
                "warmup_left_ms": 0,
                "sequence": self.sequence,
                **born,
            }
        ).encode()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                writer.write(await self._answer(first, headers, body))
                await writer.drain()
                self._note_sent()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _note_sent(self):
        """Note that the kernel has taken an answer."""

    async def _answer(self, first, headers, body):
        request_id = headers.get("request-id", "")
        if headers.get("target-instance", self.id) != self.id:
            return make_answer(421, request_id, b"", f"Instance-Id: {self.id}\r\n")
        arrival = Arrival(request_id, self._record.now(), body)
        self.arrivals.append(arrival)
        self._record.add(f"{self.id} gets {request_id} ({first})")
        async with self._slots:
            arrival.has_run = True
            await asyncio.sleep(self.work)
        arrival.is_done = True
        signature = f"Response-Signature: {self.id}.{request_id}\r\n"
        return make_answer(200, request_id, b"done by " + self.id.encode(), signature)


class Link:
    """A proxy between one worker and the store, which can be cut."""

    def __init__(self, record, store):
        self.is_cut = False
        self.address = None
        self._record = record
        self._store = store
        self._tasks = set()

    async def start(self):
        """Listen."""
        port = free_port()
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "127.0.0.1", port

    async def _serve(self, reader, writer):
        ip, port = self._store.address.split(":")
        store_reader, store_writer = await asyncio.open_connection(ip, int(port))
        back = asyncio.create_task(self._copy(store_reader, writer))
        self._tasks.add(back)
        await self._copy(reader, store_writer)
        store_writer.close()

    async def _copy(self, reader, writer):
        while data := await reader.read(65536):
            await self._pass_link()
            writer.write(data)

    async def _pass_link(self):
        """Wait until a transmission of a packet is not lost."""
        pause = FIRST_RETRANSMISSION
        was_held = self.is_cut
        while self.is_cut:
            await asyncio.sleep(pause)
            pause *= 2
        if was_held:
            self._record.add("bytes that the partition had held up are delivered")


async def write_entry(link, record, worker):
    """Write a worker's entry to the store through its link."""
    entry = worker.entry()
    name = worker.id.encode()
    data = bytes([len(name)]) + name + entry
    body = struct.pack(">I", len(data)) + data
    head = (
        f"POST /log-append?topic={WORKERS}&part=0 HTTP/1.1\r\nHost: store\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    what = f"{worker.id}: {worker.state}, sequence {worker.sequence}"
    writer = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT):
            reader, writer = await asyncio.open_connection(*link.address)
            writer.write(head.encode() + body)
            await read_head(reader)
            record.add(f"the store acknowledges {what}")
            return record.now()
    except TimeoutError:
        record.add(f"no answer to {what}")
        return None
    finally:
        if writer is not None:
            writer.close()


def make_answer(status, request_id, body, more=""):
    """Return the bytes of a worker's answer."""
    head = f"HTTP/1.1 {status} Status\r\nRequest-Id: {request_id}\r\n{more}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Host:
    """
    A host that runs as a process.

    Args:
      name: Its name.
      folder: The folder of its settings and its log.
      store: The store's address.
      seeds: The addresses of other hosts that it asks for more.
      centre: Its zone.
      link_mbps: The capacity of its link.
    """

    def __init__(
        self, name, folder, store, seeds=(), centre="depot-heverlee", link_mbps=1000.0
    ):
        self.name = name
        self.callers, self.ready, self.peers = (free_port() for _ in range(3))
        self.process = None
        self._path = Path(folder) / f"{name}.toml"
        self._log = Path(folder) / f"{name}.log"
        text = SETTINGS.format(
            name=name,
            centre=centre,
            seeds=", ".join(f'"{seed}"' for seed in seeds),
            store=store,
            callers=self.callers,
            ready=self.ready,
            peers=self.peers,
            link_mbps=link_mbps,
        )
        self._path.write_text(text, encoding="utf-8")

    @property
    def address(self):
        """The address at which other hosts reach it."""
        return f"127.0.0.1:{self.peers}"

    async def start(self):
        """Start the process with the command and the environment of the deploy file."""
        passed = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in passed if name in os.environ}
        env |= {
            "PYTHONPATH": str(DEPS),
            "PLUMSADDLE_CONFIG": str(self._path),
            "SSL_CERT_FILE": "/dev/null",
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                "plumsaddle_hosts.edge",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send the process a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the host says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return " 200 " in f"{first} "

    async def end(self):
        """End the process, also if it is stopped."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Outcome:
    """What a client got for one request; `status` is None without a whole answer."""

    def __init__(self, request_id, sent_at):
        self.id = request_id
        self.sent_at = sent_at
        self.ended_at = None
        self.status = None
        self.headers = {}
        self.body = b""


def make_request(path, request_id, method="POST", body=b"", left=4000):
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {left}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def ask(record, host, path, request_id, method="POST", body=b"", left=4000):
    """Send a request on a new connection, and return its `Outcome`."""
    outcome = Outcome(request_id, record.now())
    record.add(f"client sends {request_id} to {host.name}")
    writer = None
    try:
        async with asyncio.timeout(left / 1000):
            reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
            writer.write(make_request(path, request_id, method, body, left))
            first, headers = await read_head(reader)
            outcome.body = await read_body(reader, headers)
            outcome.headers = headers
            outcome.status = int(first.split(" ")[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        record.add(f"client has no answer to {request_id}: {type(exc).__name__}")
    finally:
        if writer is not None:
            writer.close()
    outcome.ended_at = record.now()
    record.add(f"client gets {outcome.status} for {request_id}")
    return outcome


class Deployment:
    """
    A store, workers and hosts in a temporary folder; use it with `async with`.

    Args:
      record: The `Record`.
      routes: As for `make_config`.
    """

    def __init__(self, record, routes):
        self.record = record
        self.store = Store()
        self.workers = []
        self.hosts = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        self._routes = routes
        self._tasks = set()

    async def __aenter__(self):
        if not DEPS.is_dir():
            raise NotRunError(f"{DEPS.name} is missing: run the build of deploy first")
        await self.store.start()
        self.publish(1)
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            await host.end()
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def publish(self, version, routes=None):
        """Write a version of the configuration; the store has accepted it then."""
        routes = routes or self._routes
        self.store.put(OPERATOR, "config", make_config(version, routes))
        self.record.add(f"the store acknowledges version {version}")

    def spawn(self, coroutine):
        """Run something until the end of the case, and return its task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        return task

    async def add_worker(self, worker):
        """Start a worker and register it."""
        await worker.start()
        self.workers.append(worker)
        self.check_in(worker)
        return worker

    def check_in(self, worker):
        """Write a worker's entry; the store has accepted it then."""
        self.store.put(WORKERS, worker.id, worker.entry())
        self.record.add(
            f"the store acknowledges {worker.id}: {worker.state}, "
            f"sequence {worker.sequence}"
        )

    async def add_host(self, name, centre="depot-heverlee", link_mbps=1000.0):
        """Start a host."""
        seeds = [host.address for host in self.hosts[:3]]
        host = Host(name, self.folder, self.store.address, seeds, centre, link_mbps)
        self.hosts.append(host)
        await host.start()
        return host

    async def wait_ready(self, seconds=20.0):
        """Wait until all hosts are ready."""
        try:
            async with asyncio.timeout(seconds):
                while not all([await host.is_ready() for host in self.hosts]):
                    await asyncio.sleep(0.05)
        except TimeoutError as exc:
            raise NotRunError("a host does not become ready") from exc


def run_case(play, folder):
    """
    Run a case and exit with its result.

    Args:
      play: A coroutine function that takes the `Record` and returns whether the rule
        was kept.
      folder: The folder of the case, in which the record is written.
    """
    record = Record(Path(folder) / "record.txt")
    try:
        is_kept = asyncio.run(play(record))
    except NotRunError as exc:
        record.add(f"the case could not run: {exc}")
        print(f"the case could not run: {exc}")
        sys.exit(EXIT_NOT_RUN)
    finally:
        record.close()
    sys.exit(EXIT_HELD if is_kept else EXIT_BROKEN)
