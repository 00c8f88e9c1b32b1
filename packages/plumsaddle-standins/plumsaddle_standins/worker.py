"""
A stand-in for a target that speaks the platform's published protocol, with its faults.

It is written on bare sockets, so that each byte of a fault is as it should be: answers
that break off, that come twice, that have no length, or that come before a long request
has been read. `mode` switches what it does to the next requests; `runs` counts what it
ran, by request id, and `seen` what reached it. A request with one of the paths in
`deadly` ends the whole stand-in some time after it has begun to run.
"""

import asyncio
import contextlib
import enum
import json
import random
import socket
import struct
from collections import Counter
from typing import NamedTuple

BODY = b"the target's own bytes"
LONG_BODY = BODY * 40000


class Mode(enum.Enum):
    """What a stand-in does to the next requests."""

    GOOD = "good"
    ERRORS = "errors"
    HANG = "hang"
    RESET = "reset"
    SHED = "shed"
    UNSIGNED = "unsigned"
    LONG = "long"
    LONG_UNSIGNED = "long-unsigned"
    LONG_CUT = "long-cut"
    LONG_STALL = "long-stall"
    CUT = "cut"
    GARBAGE = "garbage"
    TWICE = "twice"
    LATE_SECOND = "late-second"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed-reset"
    EARLY = "early"
    CLOSE_IDLE = "close-idle"
    FALSE_BUSY = "false-busy"
    HEAD_ONLY = "head-only"
    ENDLESS = "endless"
    PARTS = "parts"


# Requests that a stand-in works on at once.
SLOTS = 4
FOR_EVER = 3600.0
# Seconds after which a long answer is cut that nobody reads.
UNREAD_LIMIT = 2.0
# Seconds after which an answer without end is given up, if its caller stays.
ENDLESS_LIMIT = 10.0
# Bytes that the kernel takes of an answer that nobody reads.
SEND_BUFFER = 131072
# Seconds for which a request runs that ends its target.
CRASH_AFTER = 0.02
LONG_MODES = {Mode.LONG, Mode.LONG_UNSIGNED, Mode.LONG_CUT, Mode.LONG_STALL}


class Deadly(NamedTuple):
    """A request that ends its target `after` seconds, with some probability."""

    after: float = CRASH_AFTER
    chance: float = 1.0


class Seen(NamedTuple):
    """A request that reached the stand-in."""

    id: str
    method: str
    path: str
    headers: dict
    body: bytes
    at: float


class Notice(NamedTuple):
    """
    What an answer said of the stand-in itself.

    `backoff` is the seconds for which it wants nothing from the host that it answered;
    None if the answer says that it is draining.
    """

    at: float
    request_id: str
    backoff: float | None


class Record(NamedTuple):
    """What an incarnation of a stand-in received and said of itself."""

    id: str
    notices: list
    seen: list


class WorkerStandin:
    """
    One stand-in target.

    Args:
      target_id: Its id in the registry.
      service: Its service.
      centre: Its data centre.
      work: Seconds that a request takes.
    """

    def __init__(self, target_id, service, centre="x", work=0.01):
        self.id = target_id
        self.service = service
        self.centre = centre
        self.work = work
        self._slots = asyncio.Semaphore(SLOTS)
        self.mode = Mode.GOOD
        # The body of its good answers.
        self.body = BODY
        # How an answer without end begins, the bytes that it repeats, and the seconds
        # between two of them.
        self.endless = b"", b""
        self.endless_pause = 0.0
        # How often the bytes are repeated in `Mode.PARTS`.
        self.parts = 0
        # Requests that were answered without end.
        self.flooded = set()
        self.idle_limit = 5
        # Requests that hold a slot, and long answers that were cut since unread.
        self.busy = 0
        self.unread = 0
        # The start of this incarnation as a Unix time in milliseconds, and the number
        # of entries that it has written.
        self.born = 1796256000000
        self.sequence = 0
        # The text of `Server-Limit` in each answer, None for no such header.
        self.rate_limit = None
        # Whether each answer says that it is draining, and the text of `Retry-After`
        # in each rejection, None for no such header.
        self.is_draining = False
        self.backoff = None
        self.notices = []
        # When each request arrived, whatever became of it.
        self.arrivals = []
        self.deadly = {}
        self.on_crash = None
        self.runs = Counter()
        self.done = Counter()
        self.cancelled = Counter()
        self.seen = []
        self.connections = 0
        self.address = None
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{bound_port}"

    def stop(self):
        """Stop listening and cut all connections, as a crash does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def start_again(self):
        """Begin a new start under the same id; open connections are kept."""
        self.born += 1000
        self.sequence = 0

    def take_record(self):
        """Return what was received and said, as a `Record`, and forget it."""
        record = Record(self.id, self.notices, self.seen)
        self.notices, self.seen = [], []
        return record

    def entry(self, state="ready", warm_up=0, born=None):
        """Return the bytes of the next entry in the registry."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.centre,
                "version": "v1",
                "slots": SLOTS,
                "state": state,
                "warmup_left_ms": warm_up,
                "sequence": self.sequence,
                "born": self.born if born is None else born,
            }
        ).encode()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        writer.transport.set_write_buffer_limits(high=0)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        """Serve one request and return whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip().split("\r\n")
        method, path, _ = first.split(" ")
        headers = {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in lines)}
        request_id = headers.get("request-id", "")
        if self.mode is Mode.EARLY:
            self.runs[request_id] += 1
            writer.write(self._answer(request_id, 200, BODY))
            # It reads on later; whatever comes is the rest of the body to it.
            await _read_body(reader, headers)
            return True
        body = await _read_body(reader, headers)
        at = asyncio.get_running_loop().time()
        self.seen.append(Seen(request_id, method, path, headers, body, at))
        self.arrivals.append(at)
        if headers.get("target-instance", self.id) != self.id:
            writer.write(self._answer(request_id, 421, b"", "Instance-Id: other\r\n"))
            return True
        deadly = self.deadly.get(path)
        if deadly is not None and random.random() < deadly.chance:
            return await self._crash(path, deadly.after)
        return await self._work(request_id, reader, writer)

    async def _crash(self, path, after):
        """Begin to run a request that ends the process."""
        async with self._slots:
            await asyncio.sleep(after)
        if self._server.is_serving():
            self.stop()
            self.on_crash(self, path)
        return False

    async def _work(self, request_id, reader, writer):
        mode = self.mode
        if mode is Mode.SHED:
            return await self._reject(request_id, writer)
        self.runs[request_id] += 1
        if mode is Mode.ERRORS:
            writer.write(self._answer(request_id, 500, b"failed"))
            return True
        if mode is Mode.FALSE_BUSY:
            more = self._retry_after_header(request_id)
            writer.write(self._answer(request_id, 503, b"busy, after it ran", more))
            return True
        if mode is Mode.RESET:
            _reset(writer)
            return False
        if mode is Mode.HANG:
            return await self._take_time(request_id, reader, FOR_EVER)
        # As many requests as it has slots are worked on at once; the others wait.
        async with self._slots:
            self.busy += 1
            try:
                if not await self._take_time(request_id, reader, self.work):
                    return False
                self.done[request_id] += 1
                goes_on = await self._reply(request_id, writer, mode)
                if mode is Mode.LONG_STALL:
                    return await self._take_time(request_id, reader, FOR_EVER)
                if mode in LONG_MODES:
                    goes_on = await self._wait_until_read(writer) and goes_on
                return goes_on
            finally:
                self.busy -= 1

    async def _wait_until_read(self, writer):
        """Keep the slot until an answer was read, and return whether it was in time."""
        try:
            async with asyncio.timeout(UNREAD_LIMIT):
                await writer.drain()
                return True
        except TimeoutError:
            self.unread += 1
            _reset(writer)
            return False

    async def _reject(self, request_id, writer):
        """Reject a request, and return whether the connection goes on."""
        more = "Not-Executed: 1\r\n" + self._retry_after_header(request_id)
        writer.write(self._answer(request_id, 503, b"", more))
        return True

    def _retry_after_header(self, request_id):
        if self.backoff is None:
            return ""
        self._note(request_id, self.backoff)
        return f"Retry-After: {self.backoff}\r\n"

    def _note(self, request_id, backoff):
        at = asyncio.get_running_loop().time()
        with contextlib.suppress(ValueError):
            backoff = backoff if backoff is None else float(backoff)
            self.notices.append(Notice(at, request_id, backoff))

    async def _take_time(self, request_id, reader, seconds):
        """Work, and return whether the caller was still there at the end."""
        gone = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({gone}, timeout=seconds)
        if done:
            self.cancelled[request_id] += 1
            return False
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        return True

    async def _reply(self, request_id, writer, mode):
        """Write the answer in the way of a mode."""
        whole = self._answer(request_id, 200, self.body)
        if mode is Mode.UNSIGNED:
            whole = self._answer(request_id, 200, BODY, is_signed=False)
        if mode in LONG_MODES:
            is_signed = mode is not Mode.LONG_UNSIGNED
            whole = self._answer(request_id, 200, LONG_BODY, is_signed=is_signed)
        if mode in (Mode.LONG_CUT, Mode.LONG_STALL):
            writer.write(whole[:-100000])
            return False
        if mode is Mode.HEAD_ONLY:
            writer.write(whole[: -len(BODY)])
            await writer.drain()
            await asyncio.sleep(FOR_EVER)
        if mode is Mode.ENDLESS:
            return await self._write_without_end(request_id, writer)
        if mode is Mode.PARTS:
            return await self._write_in_parts(request_id, writer)
        if mode is Mode.CUT:
            writer.write(whole[:-5])
            return False
        if mode is Mode.GARBAGE:
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            return False
        if mode in (Mode.UNFRAMED, Mode.UNFRAMED_RESET):
            writer.write(self._answer(request_id, 200, BODY, is_framed=False)[:-5])
            await writer.drain()
            if mode is Mode.UNFRAMED_RESET:
                await asyncio.sleep(0.05)
                _reset(writer)
            else:
                writer.write(BODY[-5:])
            return False
        writer.write(whole)
        if mode is Mode.TWICE:
            writer.write(self._answer(request_id, 200, b"a second answer"))
        if mode is Mode.LATE_SECOND:
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.write(self._answer(request_id, 200, b"a late second answer"))
        return mode is not Mode.CLOSE_IDLE

    async def _write_without_end(self, request_id, writer):
        """Write bytes until the caller closes, and return whether it stayed."""
        self.flooded.add(request_id)
        begin, piece = self.endless
        writer.write(begin.replace(b"REQUEST-ID", request_id.encode()))
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(ENDLESS_LIMIT):
                while True:
                    writer.write(piece)
                    await writer.drain()
                    # Other tasks of the test run between two pieces.
                    await asyncio.sleep(self.endless_pause)
        return False

    async def _write_in_parts(self, request_id, writer):
        """Write an answer in parts, and return whether the connection goes on."""
        begin, piece = self.endless
        writer.write(begin.replace(b"REQUEST-ID", request_id.encode()))
        for _ in range(self.parts):
            await asyncio.sleep(self.endless_pause)
            writer.write(piece)
            await writer.drain()
        return True

    def _answer(
        self, request_id, status, body, more="", is_signed=True, is_framed=True
    ):
        lines = [f"HTTP/1.1 {status} Status", f"Request-Id: {request_id}"]
        if is_signed:
            lines.append(f"Response-Signature: {self.id}.{request_id}")
        if is_framed:
            lines.append(f"Content-Length: {len(body)}")
            lines.append(f"Keep-Alive: timeout={self.idle_limit}")
        if self.rate_limit is not None:
            lines.append(f"Server-Limit: {self.rate_limit}")
        if self.is_draining:
            lines.append("Server-Leaving: 1")
            self._note(request_id, None)
        return ("\r\n".join(lines) + "\r\n" + more + "\r\n").encode() + body


def _reset(writer):
    """Reset a connection; closing it would look like an ordinary end."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _read_body(reader, headers):
    """Return a request's whole body."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))
