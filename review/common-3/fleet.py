"""
Stand-ins for the scripts of a review: the platform's store, servers, clients and hosts.

They need only the standard library. The store, the servers and the clients run in the
script's own process; each host is a process of its own, started with the command of
`deploy/system.toml` on loopback addresses and the real clock.
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

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Ports that this script has chosen already.
_taken = set()
HEAD_END = b"\r\n\r\n"
SETTINGS = """
id = "{name}"
data_centre = "{zone}"
data_centres = {zones}
seeds = {seeds}
store = "{store}"
link_mbps = 1000.0
memory_mb = 300

[listen]
callers = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
hosts = "127.0.0.1:{peers}"

[bounds]
{bounds}
"""
# The bounds of the site's page, under the names of `deploy/host.toml.in`.
BOUNDS = {
    "leaving_ms": 2000,
    "grace_s": 6,
    "contact_ms": 3000,
    "apply_ms": 2000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_extra": 58,
    "floor_share": 0.7,
}


def now():
    """Return the steady clock in seconds."""
    return time.monotonic()


def free_ports(count):
    """
    Return ports on which nothing listens, for TCP and UDP.

    They lie below those that the kernel gives to clients, so that a host that starts
    again finds its ports free.
    """
    found = []
    while len(found) < count:
        port = random.randrange(11_000, 32_000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _taken:
            _taken.add(port)
            found.append(port)
    return found


class Record:
    """The file in which a script tells what it saw."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._began = now()

    def say(self, text):
        """Write a line with the seconds since the start."""
        line = f"{now() - self._began:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)

    def note(self, text):
        """Write a line to the file alone."""
        self._file.write(f"{now() - self._began:8.3f} s  {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


class Store:
    """The platform's store: keyed topics that are listed, and read with long polls."""

    def __init__(self):
        self.topics = {}
        self.port = None
        self._grown = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """The address of the store."""
        return f"127.0.0.1:{self.port}"

    def put(self, topic, key, value):
        """Append a record of a key; an empty value drops the key."""
        name = key.encode()
        self._topic(topic).append(bytes([len(name)]) + name + value)
        self._grown.set()
        self._grown = asyncio.Event()

    def _topic(self, name):
        return self.topics.setdefault(name, [])

    def _newest(self, name):
        newest = {}
        for offset, data in enumerate(self._topic(name)):
            key, value = data[1 : 1 + data[0]].decode(), data[1 + data[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        return newest

    async def _serve(self, reader, writer):
        try:
            while True:
                method, path, _, body = await read_request(reader)
                status, data = await self._answer(method, path, body)
                head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(data)}"
                writer.write(head.encode() + HEAD_END + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, body):
        path, _, query = path.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if part)
        topic = self._topic(fields.get("topic", ""))
        if path == "/log-newest":
            newest = sorted(self._newest(fields["topic"]).items())
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in newest
            ]
            answer = {"items": items, "has_more": False, "end": len(topic)}
            return 200, json.dumps(answer).encode()
        if path == "/log-read":
            return 200, await self._read(fields, topic)
        if path == "/log-append" and method == "POST":
            offset, at = len(topic), 0
            while at < len(body):
                (length,) = struct.unpack_from(">I", body, at)
                topic.append(body[at + 4 : at + 4 + length])
                at += 4 + length
            self._grown.set()
            self._grown = asyncio.Event()
            return 200, json.dumps({"offset": offset, "end": len(topic)}).encode()
        return 404, b""

    async def _read(self, fields, topic):
        start = int(fields["from"])
        end_at = now() + int(fields.get("wait_ms", 0)) / 1000
        while len(topic) <= start and now() < end_at:
            try:
                await asyncio.wait_for(self._grown.wait(), end_at - now())
            except (TimeoutError, asyncio.CancelledError):
                break
        data = struct.pack(">QQ", len(topic), 0)
        for record in topic[start:]:
            data += struct.pack(">I", len(record)) + record
        return data


class Server:
    """
    A server of the platform: it works on `slots` requests at once.

    `work` returns the seconds of a request, and `answer` its status and body.
    """

    def __init__(self, name, service, zone, slots=4, work=lambda request: 0.02):
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.answer = lambda request: (200, b"the whole body of " + request.id.encode())
        self.runs = []
        self.port = None
        self._room = asyncio.Semaphore(slots)
        self._server = None

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        """Return the entry with which it registers itself."""
        return json.dumps(
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "warmup_left_ms": 0,
                "sequence": 1,
            }
        ).encode()

    async def _serve(self, reader, writer):
        try:
            while True:
                method, path, headers, body = await read_request(reader)
                request = Arrived(method, path, headers, body)
                if headers.get("target-instance", self.id) != self.id:
                    writer.write(make_answer(421, b"", request.id))
                    continue
                async with self._room:
                    self.runs.append(request)
                    await asyncio.sleep(self.work(request))
                status, data = self.answer(request)
                signature = f"{self.id}.{request.id}"
                writer.write(make_answer(status, data, request.id, signature))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Arrived:
    """A request that a server runs."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.id = headers.get("request-id", "")
        self.at = now()


def make_answer(status, body, request_id, signature=None):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Status", f"Request-Id: {request_id}"]
    lines.append(f"Content-Length: {len(body)}")
    lines.append("Keep-Alive: timeout=10")
    if signature is not None:
        lines.append(f"Response-Signature: {signature}")
    if status == 421:
        lines.append("Not-Executed: 1")
    return "\r\n".join(lines).encode() + HEAD_END + body


async def read_request(reader):
    """Return the method, the path, the headers and the body of a request."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    method, path, _ = first.split(" ")
    headers = {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in lines)}
    return method, path, headers, await read_body(reader, headers)


async def read_body(reader, headers):
    """Return the whole body of a message."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


async def read_answer(reader):
    """Return the status, the headers and the body of an answer."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    headers = {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in lines)}
    return int(first.split(" ")[1]), headers, await read_body(reader, headers)


class Host:
    """A host, as a process that the platform starts."""

    def __init__(self, folder, name, store, zone="zone-a", zones=("zone-a",), **bounds):
        self.name = name
        self.callers, self.ready, self.peers = free_ports(3)
        self.path = Path(folder) / f"{name}.toml"
        self._log = Path(folder) / f"{name}.log"
        self._fields = {
            "name": name,
            "zone": zone,
            "zones": json.dumps(list(zones)),
            "store": store,
            "callers": self.callers,
            "ready": self.ready,
            "peers": self.peers,
            "bounds": "\n".join(f"{k} = {v}" for k, v in {**BOUNDS, **bounds}.items()),
        }
        self.process = None

    @property
    def seed(self):
        """The address under which the settings of others name this host."""
        return f"127.0.0.1:{self.peers}"

    def write_settings(self, seeds):
        """Write the settings file, as the platform does."""
        text = SETTINGS.format(seeds=json.dumps(list(seeds)), **self._fields)
        new = self.path.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(self.path)

    async def start(self):
        """Start the process with the command of the deploy file."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(DEPS),
            "PLUMSADDLE_CONFIG": str(self.path),
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

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process, and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def end(self):
        """End the process, also if it is stopped."""
        self.send_signal(signal.SIGCONT)
        await self.kill()

    async def is_ready(self):
        """Return whether the host says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            status, _, _ = await asyncio.wait_for(read_answer(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_until_ready(self, seconds=15.0):
        """Wait until the host is ready, and return whether it is."""
        end = now() + seconds
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def log_text(self):
        """Return what the process has written."""
        return self._log.read_text(encoding="utf-8") if self._log.exists() else ""


def route(name, host, prefix, kind, service, timeout_ms=4400, **more):
    """Return an entry of a configuration for a route."""
    spec = {
        "host": host,
        "path_prefix": prefix,
        "route_type": kind,
        "service": service,
        "max_attempts": 2,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1200,
        "priority": 1,
        **more,
    }
    return {"entry_kind": "routes", "metadata": {"name": name}, "spec": spec}


def configuration(version, entries, **limits):
    """Return the bytes of a configuration."""
    spec = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4_000_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 5000,
        **limits,
    }
    limits = {"entry_kind": "limits", "metadata": {"name": "limits"}, "spec": spec}
    return json.dumps({"version": version, "resources": [*entries, limits]}).encode()


def make_request(method, path, host, request_id, deadline_ms=4000, body=b"", more=()):
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        *more,
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEAD_END + body


def run(main, folder):
    """Run a script's coroutine function with a `Record` and a temporary folder."""
    if not (DEPS / "plumsaddle_hosts").is_dir():
        print("the build of deploy/system.toml is missing: no target/deps")
        sys.exit(NOT_RUN)
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix="review-")
    try:
        code = asyncio.run(main(record, scratch))
    except (Exception, asyncio.CancelledError) as exc:
        record.say(f"could not run: {exc!r}")
        code = NOT_RUN
    finally:
        if os.environ.get("KEEP"):
            print("logs in", scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.say(f"exit {code}")
    record.close()
    sys.exit(code)
