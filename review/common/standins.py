"""
Stand-ins for the platform's store and for workers, and the start of a host.

They use the standard library only and follow the users' pages: `PROTOCOL.md` for what
is spoken, `DEPLOY.md` for how a host is started and which settings it gets.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
RUN_COMMAND = ["python3", "-S", "-m", "plumsaddle_hosts.edge"]
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
CONTACT_TIME = 3.0
FIRST_PORT, LAST_PORT = 20000, 30000
MAX_PORT_TRIES = 100
_given_ports = set()
# Seconds for which a case may run.
MAX_RUN_TIME = 110.0
EXIT_NOT_RUN = 2
SETTINGS = """
id = "edge-a-1"
data_centre = "zone-a"
data_centres = ["zone-a", "zone-b", "zone-c"]
seeds = ["{hosts}"]
store = "{store}"
link_mbps = 1000.0
memory_mb = 300

[listen]
callers = "{callers}"
ready = "{ready}"
hosts = "{hosts}"

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
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def free_address():
    """
    Return a free loopback address.

    Its port is below those that the kernel gives to outgoing connections, one of which
    could take it before a host listens there.
    """
    for _ in range(MAX_PORT_TRIES):
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _given_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return f"127.0.0.1:{port}"
    raise RuntimeError("no free port")


class Message(NamedTuple):
    """A request or a response as it was read; the body may be incomplete."""

    start: str
    headers: dict
    body: bytes
    is_whole: bool


async def read_head(reader):
    """Return the first line and the headers, or None at the end of a connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    """Return the body and whether it is whole."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return await _read_chunks(reader)
    length = int(headers.get("content-length", 0))
    try:
        return await reader.readexactly(length), True
    except asyncio.IncompleteReadError as exc:
        return exc.partial, False
    except ConnectionError:
        return b"", False


async def _read_chunks(reader):
    body = b""
    try:
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False
    return body, True


async def read_message(reader):
    """Return a `Message`, or None if the connection ended before its head."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(*head, *await read_body(reader, head[1]))


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self._start = time.monotonic()

    def note(self, text):
        """Write a line."""
        line = f"{time.monotonic() - self._start:8.3f} s  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


class StoreStandIn:
    """The platform's store: keyed topics whose records are kept for good."""

    def __init__(self):
        self._logs = {}
        self._changed = asyncio.Event()
        self._server = None
        self.address = None

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, topic, key, value):
        """Write a record as an operator or a worker does; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append(topic, bytes([len(key)]) + key.encode() + data)

    def _append(self, topic, data):
        log = self._logs.setdefault(topic, [])
        log.append(data)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(log) - 1

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message.start.split(" ")
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                body = await self._answer(method, url.path, query, message.body)
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body):
        topic = query.get("topic")
        if path == "/log-newest":
            return self._newest(topic)
        if path == "/log-read":
            return await self._read(topic, query)
        offset = None
        while body:
            (size,) = struct.unpack_from(">I", body)
            added = self._append(topic, body[4 : 4 + size])
            offset = added if offset is None else offset
            body = body[4 + size :]
        end = len(self._logs.get(topic, []))
        return json.dumps({"offset": offset or 0, "end": end}).encode()

    def _newest(self, topic):
        log = self._logs.get(topic, [])
        newest = {}
        for offset, data in enumerate(log):
            key = data[1 : 1 + data[0]].decode()
            newest.pop(key, None)
            if data[1 + data[0] :]:
                value = base64.b64encode(data[1 + data[0] :]).decode()
                newest[key] = {"key": key, "value": value, "offset": offset}
        items = sorted(newest.values(), key=lambda item: item["key"])
        page = {"items": items, "has_more": False, "end": len(log)}
        return json.dumps(page).encode()

    async def _read(self, topic, query):
        offset = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(self._logs.get(topic, [])) <= offset:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        log = self._logs.get(topic, [])
        rows = (struct.pack(">I", len(data)) + data for data in log[offset:])
        return struct.pack(">QQ", len(log), 0) + b"".join(rows)


def put_configuration(store, version, routes, services):
    """
    Write a configuration as the operator does.

    Args:
      store: The `StoreStandIn`.
      version: The version.
      routes: The specs of the routes by name.
      services: The names of the services.
    """
    resources = [
        {"entry_kind": "routes", "metadata": {"name": name}, "spec": spec}
        for name, spec in routes.items()
    ]
    service = {"health_path": "/healthz", "max_conns": 330}
    resources += [
        {"entry_kind": "services", "metadata": {"name": name}, "spec": service}
        for name in services
    ]
    resources.append({"entry_kind": "limits", "metadata": {}, "spec": LIMITS})
    store.put("keyed.op", "config", {"version": version, "resources": resources})


class WorkerStandIn:
    """
    A sound worker.

    Args:
      store: The `StoreStandIn` in which it registers.
      record: The `Record`.
      service: The name of its service.
      worker_id: Its id.
      work: A coroutine function that does the work of a `Message` and returns the
        body of its answer.
    """

    def __init__(self, store, record, service, worker_id, work):
        self._store = store
        self._record = record
        self._service = service
        self.id = worker_id
        self._work = work
        self._sequence = 0
        self._server = None
        self.address = None
        # How often each request has run, by its id.
        self.runs = {}

    async def start(self):
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.beat()

    def beat(self, address=None):
        """Write the entry, with another address if a proxy stands before the worker."""
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": address or self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": self._sequence,
        }
        self._store.put("keyed.servers", self.id, entry)

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if not message.is_whole:
                    break
                await self._answer(message, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message, writer):
        headers = message.headers
        if headers.get("target-instance", self.id) != self.id:
            head = f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.id}\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        request_id = headers.get("request-id", "")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._record.note(f"{self.id} runs {request_id}, {len(message.body)} bytes")
        body = await self._work(message)
        self._record.note(f"{self.id} answers {request_id} with 200")
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Signature: {SIGNATURE}\r\nKeep-Alive: timeout=10\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()


class EdgeHost:
    """
    A host that runs as its own process, with the command of the deploy file.

    Args:
      store: The address of the store.
    """

    def __init__(self, store):
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.callers, self.ready = free_address(), free_address()
        self.hosts = free_address()
        self.settings = self._folder / "host.toml"
        text = SETTINGS.format(
            store=store, callers=self.callers, ready=self.ready, hosts=self.hosts
        )
        self.settings.write_text(text, encoding="utf-8")
        self.process = None
        self._log = None

    async def start(self):
        """Start the process and wait until it is ready."""
        self._log = (self._folder / "log.txt").open("wb")
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PLUMSADDLE_CONFIG": str(self.settings),
            "SSL_CERT_FILE": "/dev/null",
        }
        self.process = await asyncio.create_subprocess_exec(
            *RUN_COMMAND, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )
        for _ in range(200):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the host is not ready 20 s after its start")

    async def is_ready(self):
        """Ask as the platform does."""
        try:
            reader, writer = await connect(self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n")
            async with asyncio.timeout(1.0):
                message = await read_message(reader)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return message is not None and " 200 " in message.start + " "

    def send_signal(self, number):
        """Send the process a signal."""
        self.process.send_signal(number)

    async def close(self):
        """End the process and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self._log is not None:
            self._log.close()
        shutil.rmtree(self._folder, ignore_errors=True)


async def connect(address):
    """Return the reader and the writer of a new connection."""
    ip, _, port = address.rpartition(":")
    return await asyncio.open_connection(ip, int(port), limit=2**20)


def run_case(main):
    """
    Run a case and exit with its code, or with 2 if it couldn't run.

    Args:
      main: A coroutine function that returns 1 if the rule was broken, 0 if it held,
        and 2 if the case can't tell.
    """

    async def run():
        async with asyncio.timeout(MAX_RUN_TIME):
            return await main()

    try:
        code = asyncio.run(run())
    except Exception as exc:
        print(f"could not run: {exc!r}")
        code = EXIT_NOT_RUN
    sys.exit(code)
