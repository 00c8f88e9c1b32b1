"""
A stand-in for the platform's store, which speaks its published protocol.

It keeps topics in memory and serves appends, reads that wait, listings of keyed topics
and trims. `fault` switches what goes wrong: see `Fault`. A silent fault also holds on
to calls that are waiting already, as a dead connection does. `restore` replaces all
topics by an earlier copy and begins a new era; calls that are being served go on with
the former topics and answer in the former era.

As a process of its own it takes `PUT /control` with a JSON object of any of these:

    {"fault": a value of `Fault`, "delay": seconds before each answer,
     "keep": records to keep of each topic, "hosts": rows of the list of hosts,
     "copy": true to take a copy, "restore": true to come back from the last copy}

A row of hosts has `id`, `address`, `role` (`entry` or `target`) and `state`.
"""

import asyncio
import base64
import contextlib
import enum
import json
import struct
from typing import NamedTuple

import fire
from aiohttp import web

from plumsaddle_hosts.platform.store import HOSTS_TOPIC
from plumsaddle_hosts.platform.wire import TARGETS_TOPIC

FOREVER = 3600.0
# A piece of an answer without end, and the length that such an answer may state.
ENDLESS_PIECE = b"x" * 65536
ENDLESS_LENGTH = 10**10


class Fault(enum.Enum):
    """
    What the store does to each call.

    `OUT` answers nothing while it lasts and cuts the connections when it ends; `LOST`
    does what an append asks for and cuts the connection instead of answering.
    `ENDLESS` answers with bytes without end until the fault changes.
    """

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"
    OUT = "out"
    LOST = "lost"
    ENDLESS = "endless"


class Stored(NamedTuple):
    """A record of a topic."""

    offset: int
    data: bytes


class Topic:
    """One topic with a single partition."""

    def __init__(self):
        self.records = []
        self.end = 0
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()

    def copy(self):
        """Return a copy with the same records, for which nobody waits."""
        copied = Topic()
        copied.records, copied.end = list(self.records), self.end
        copied.newest = dict(self.newest)
        copied.producers = dict(self.producers)
        return copied

    @property
    def first(self):
        """The first retained offset."""
        return self.records[0].offset if self.records else self.end

    def append(self, data, is_keyed):
        """Add a record and return its offset."""
        offset = self.end
        self.records.append(Stored(offset, data))
        self.end += 1
        if is_keyed:
            key, value = split_record(data)
            if value:
                self.newest[key] = Stored(offset, value)
            else:
                self.newest.pop(key, None)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class StoreStandin:
    """
    The store's state.

    Args:
      calls_most: Calls that a second may have before 429, or None for any number.
      era: The first era, or None for a store that names none.
    """

    def __init__(self, calls_most=None, era=1):
        self.topics = {}
        self.era = era
        self._copies = {}
        # When a fault began or ended or the store was restored, on the loop's clock.
        self._disturbed_at = []
        self._written = {}
        self._fault = Fault.NONE
        self._changed = asyncio.Event()
        self.delay = 0.0
        # Whether an answer without end states a length.
        self.states_length = False
        self.keep = 0
        self.appends = 0
        self.calls = []
        self.calls_most = calls_most

    @property
    def fault(self):
        """The `Fault` that is on."""
        return self._fault

    @fault.setter
    def fault(self, fault):
        self._note_disturbance()
        self._fault = fault
        self._changed.set()
        self._changed = asyncio.Event()

    def _note_disturbance(self):
        self._disturbed_at.append(asyncio.get_running_loop().time())

    def was_disturbed(self, since, until):
        """Return whether there was a fault or a restoration between two times."""
        has_changed = any(since <= at <= until for at in self._disturbed_at)
        return has_changed or self._fault is not Fault.NONE

    def topic(self, name):
        """Return a topic, which is created on first use."""
        if name not in self.topics:
            self.topics[name] = Topic()
        return self.topics[name]

    def put(self, topic, key, value):
        """Write a key of a keyed topic, as the operator and the targets do."""
        self._written[topic, key] = value
        return self.topic(topic).append(join_record(key, value), True)

    def take_copy(self):
        """Copy all topics, for `restore`."""
        self._copies = {name: topic.copy() for name, topic in self.topics.items()}

    def restore(self):
        """Come back from the last copy: what was written since is gone."""
        self.topics = {name: topic.copy() for name, topic in self._copies.items()}
        self._note_disturbance()
        if self.era is not None:
            self.era += 1

    def rewrite(self):
        """Write again what the operator and the targets wrote and a copy lacks."""
        for (topic, key), value in list(self._written.items()):
            newest = self.topic(topic).newest.get(key)
            if (newest.data if newest is not None else b"") != value:
                self.put(topic, key, value)

    def compact(self, topic):
        """Delete all records of a topic; the newest of each key stay listed."""
        self.topic(topic).records.clear()

    def trim(self):
        """Delete all but the last records of each topic, if a bound is set."""
        for topic in self.topics.values():
            if self.keep:
                del topic.records[: -self.keep]

    def app(self):
        """Return the store's application."""
        app = web.Application(client_max_size=2**24)
        app.router.add_put("/control", self._control)
        app.router.add_get("/control", self._look)
        app.router.add_post("/log-append", self._guard(self._append))
        app.router.add_get("/log-read", self._guard(self._read))
        app.router.add_get("/log-newest", self._guard(self._list))
        app.router.add_post("/log-trim", self._guard(self._trim))
        return app

    def _guard(self, serve):
        async def guarded(request):
            loop = asyncio.get_running_loop()
            self.calls.append((loop.time(), request.path, dict(request.query)))
            if self._is_over(loop.time()):
                return self._in_era(web.Response(status=429), self.era)
            if self.delay:
                await asyncio.sleep(self.delay)
            refusal = await self._fail(request)
            if refusal is not None:
                return self._in_era(refusal, self.era)
            era = self.era
            resp = self._in_era(await serve(request), era)
            if self.fault is Fault.SILENT:
                await asyncio.sleep(FOREVER)
            if self.fault is Fault.OUT:
                await self._hold(request)
            if self.fault is Fault.LOST and request.method == "POST":
                request.transport.abort()
            return resp

        return guarded

    def _in_era(self, resp, era):
        """Add the era to a response, and return it."""
        if era is not None:
            resp.headers["Store-Era"] = str(era)
        return resp

    def _is_over(self, at):
        if self.calls_most is None:
            return False
        return sum(1 for when, _, _ in self.calls if when > at - 1) > self.calls_most

    async def _fail(self, request):
        """Return what a fault makes of a call before it is served, or None."""
        if self.fault is Fault.BUSY:
            return web.Response(status=503)
        if self.fault is Fault.MANY:
            return web.Response(status=429)
        if self.fault is Fault.RESET:
            request.transport.abort()
            return web.Response()
        if self.fault is Fault.SILENT:
            await asyncio.sleep(FOREVER)
        if self.fault is Fault.OUT:
            return await self._hold(request)
        if self.fault is Fault.ENDLESS:
            return await self._write_without_end(request)
        return None

    async def _write_without_end(self, request):
        """Write bytes until the fault changes, then cut the connection."""
        resp = self._in_era(web.StreamResponse(), self.era)
        if self.states_length:
            resp.content_length = ENDLESS_LENGTH
        await resp.prepare(request)
        with contextlib.suppress(ConnectionError):
            while self.fault is Fault.ENDLESS:
                await resp.write(ENDLESS_PIECE)
                # The other answers go on between two pieces.
                await asyncio.sleep(0)
        if request.transport is not None:
            request.transport.abort()
        return resp

    async def _hold(self, request):
        """Answer nothing until the fault changes, then cut the connection."""
        await self._changed.wait()
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    async def _control(self, request):
        change = await request.json()
        if "fault" in change:
            self.fault = Fault(change["fault"])
        self.delay = change.get("delay", self.delay)
        self.keep = change.get("keep", self.keep)
        if change.get("copy"):
            self.take_copy()
        if change.get("restore"):
            self.restore()
        for row in change.get("hosts", []):
            self._put_host(row)
        self.trim()
        return await self._look(request)

    async def _look(self, request):
        first = {name: topic.first for name, topic in self.topics.items()}
        return web.json_response(
            {"appends": self.appends, "fault": self.fault.value, "first": first}
        )

    def _put_host(self, row):
        """Write a row of the list of hosts, in the form of a target's entry."""
        topic = TARGETS_TOPIC if row["role"] == "target" else HOSTS_TOPIC
        entry = {
            "service": "",
            "address": row["address"],
            "zone": "",
            "version": "",
            "slots": 1,
            "warmup_left_ms": 0,
            "sequence": self.topic(topic).end + 1,
            "state": "draining" if row["state"] == "leaving" else "ready",
        }
        self.put(topic, row["id"], json.dumps(entry).encode())

    async def _append(self, request):
        name = request.query["topic"]
        topic = self.topic(name)
        at = request.query.get("at")
        if at is not None and int(at) != topic.end:
            return web.json_response({"end": topic.end}, status=412)
        refusal = _fence(topic, request.query)
        if refusal is not None:
            return refusal
        offset = topic.end
        for data in split_records(await request.read()):
            topic.append(data, name.startswith("keyed."))
            self.appends += 1
        self.trim()
        return web.json_response({"offset": offset, "end": topic.end})

    async def _read(self, request):
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        if not topic.first <= start <= topic.end:
            return web.json_response({"first": topic.first}, status=410)
        wait = int(request.query.get("wait_ms", "0")) / 1000
        end_at = asyncio.get_running_loop().time() + wait
        while topic.end <= start:
            left = end_at - asyncio.get_running_loop().time()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(topic.grown.wait(), left)
            except TimeoutError:
                break
        if start < topic.first:
            return web.json_response({"first": topic.first}, status=410)
        body = struct.pack(">QQ", topic.end, topic.first)
        for record in topic.records:
            if record.offset >= start:
                body += struct.pack(">I", len(record.data)) + record.data
        return web.Response(body=body)

    async def _list(self, request):
        topic = self.topic(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        most = 500
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key].data).decode(),
                "offset": topic.newest[key].offset,
            }
            for key in keys[:most]
        ]
        return web.json_response(
            {"items": items, "has_more": len(keys) > most, "end": topic.end}
        )

    async def _trim(self, request):
        topic = self.topic(request.query["topic"])
        before = int(request.query["before"])
        topic.records = [r for r in topic.records if r.offset >= before]
        return web.json_response({})


def _fence(topic, query):
    """Return a refusal for an old epoch or a wrong sequence, or None."""
    if "producer" not in query:
        return None
    producer = query["producer"]
    epoch, sequence = int(query["epoch"]), int(query["sequence"])
    known_epoch, known_sequence = topic.producers.get(producer, (-1, -1))
    if epoch < known_epoch:
        return web.json_response({"why": "fenced"}, status=409)
    if epoch == known_epoch and sequence != known_sequence + 1:
        body = {"why": "seq", "sequence": known_sequence + 1}
        return web.json_response(body, status=409)
    topic.producers[producer] = (epoch, sequence)
    return None


def join_record(key, value):
    """Return the bytes of a keyed record; an empty value drops the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def split_record(data):
    """Return the key and the value of a keyed record."""
    size = data[0]
    return data[1 : 1 + size].decode(), data[1 + size :]


def split_records(data):
    """Return the records of an append's body."""
    records = []
    at = 0
    while at < len(data):
        (length,) = struct.unpack_from(">I", data, at)
        records.append(data[at + 4 : at + 4 + length])
        at += 4 + length
    return records


def run(port):
    """Run the stand-in store on a port of the loopback."""

    async def make_app():
        return StoreStandin().app()

    web.run_app(make_app(), host="127.0.0.1", port=port, print=None, access_log=None)


if __name__ == "__main__":
    fire.Fire(run)
