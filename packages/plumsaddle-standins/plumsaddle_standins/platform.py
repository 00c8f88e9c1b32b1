"""
A stand-in for the platform: a log of streams and a lagging list of hosts.

It runs as its own process and keeps everything in memory. `PUT /control` switches
it while it runs, with a JSON object of any of these:

    {"mode": "up" | "out" | "slow" | "lossy", "delay": seconds,
     "keep": records to keep of each stream, "hosts": the list, "hosts_lag": seconds}

`out` answers nothing until the mode changes, `slow` waits for `delay` first, and
`lossy` lets an append take effect and then cuts the connection.
"""

import asyncio
import base64
import time

import fire
from aiohttp import web

PAGE = 500


class Stream:
    """The records of one stream, and the offset of the first one kept."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.grown = asyncio.Event()

    def append(self, data):
        """Add a record and return its offset."""
        self.records.append((time.time(), data))
        self.grown.set()
        self.grown = asyncio.Event()
        return self.first + len(self.records) - 1

    def trim(self, keep):
        """Forget all but the last records."""
        extra = len(self.records) - keep
        if extra > 0:
            del self.records[:extra]
            self.first += extra


class PlatformStandin:
    """The state of the stand-in platform."""

    def __init__(self):
        self.streams = {}
        self.control = {"mode": "up", "delay": 0.0, "keep": 0, "hosts_lag": 0.0}
        self.changed = asyncio.Event()
        self.hosts = []
        self.appends = 0

    def stream(self, name):
        """Return a stream, which begins empty."""
        return self.streams.setdefault(name, Stream())


def make_app(state):
    """Return the stand-in's application."""

    async def misbehave(req):
        if state.control["mode"] == "out":
            await state.changed.wait()
            req.transport.abort()
        if state.control["delay"]:
            await asyncio.sleep(state.control["delay"])

    async def append(req):
        data = await req.read()
        await misbehave(req)
        stream = state.stream(req.match_info["stream"])
        offset = stream.append(data)
        state.appends += 1
        if state.control["keep"]:
            stream.trim(state.control["keep"])
        if state.control["mode"] == "lossy":
            req.transport.abort()
        return web.json_response({"offset": offset}, status=201)

    async def read(req):
        await misbehave(req)
        stream = state.stream(req.match_info["stream"])
        start = int(req.query["from"])
        if start >= stream.first + len(stream.records):
            await _wait(stream, float(req.query["wait"]))
        await misbehave(req)
        return web.json_response(_page(stream, start))

    async def hosts(req):
        await misbehave(req)
        lag = state.control["hosts_lag"]
        rows = [row for at, row in state.hosts if time.monotonic() - at >= lag]
        latest = {(row["id"], row["address"]): row for row in rows}
        return web.json_response(list(latest.values()))

    async def control(req):
        change = await req.json()
        for row in change.pop("hosts", []):
            state.hosts.append((time.monotonic(), row))
        state.control.update(change)
        state.changed.set()
        state.changed = asyncio.Event()
        for stream in state.streams.values():
            if state.control["keep"]:
                stream.trim(state.control["keep"])
        return web.json_response(state.control)

    async def look(req):
        return web.json_response({"appends": state.appends, **state.control})

    app = web.Application(client_max_size=2**24)
    app.router.add_post("/streams/{stream}/records", append)
    app.router.add_get("/streams/{stream}/records", read)
    app.router.add_get("/hosts", hosts)
    app.router.add_put("/control", control)
    app.router.add_get("/control", look)
    return app


async def _wait(stream, seconds):
    try:
        async with asyncio.timeout(seconds):
            await stream.grown.wait()
    except TimeoutError:
        pass


def _page(stream, start):
    start = max(start, stream.first)
    rows = stream.records[start - stream.first :][:PAGE]
    return {
        "first": stream.first,
        "next": stream.first + len(stream.records),
        "records": [
            {
                "offset": start + number,
                "time": at,
                "data": base64.b64encode(data).decode(),
            }
            for number, (at, data) in enumerate(rows)
        ],
    }


def run(port):
    """Run the stand-in platform on a port of the loopback."""
    app = make_app(PlatformStandin())
    web.run_app(app, host="127.0.0.1", port=port, print=None, access_log=None)


if __name__ == "__main__":
    fire.Fire(run)
