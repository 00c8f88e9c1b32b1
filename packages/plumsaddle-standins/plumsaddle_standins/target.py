"""
A stand-in for a target, with gray failures that are switched while it runs.

It has slots and sheds with 429 when they are full, works for a random time, honours
deadlines and cancellation, and counts how often it ran each order key, so that
doubled orders are seen from outside. `PUT /control` takes a JSON object with any of

    {"mode": MODE, "factor": slowness, "period": seconds of flapping,
     "state": "live" | "draining", "mean": mean seconds of work,
     "fixed": whether each piece of work takes just the mean}

where MODE is `good`, `errors`, `slow`, `stall` (half an answer, then nothing),
`silent`, `half` (cut half way), `unframed` (cut, without a length), `late` (a second
answer after the first one), `endless` (chunks without end) or `flap` (good and failing
in turn). Health stays good in all of them. A target is cold, ten times slower, for its
first `cold` seconds.
"""

import asyncio
import contextlib
import hashlib
import json
import random
import time
from collections import Counter

import fire
from aiohttp import web

HANG = 3600.0
FOREVER = 10 * 365 * 86400.0
COLD_FACTOR = 10
LATE_BY = 0.05
PIECE = b"x" * 65536


class TargetStandin:
    """The state of one stand-in target."""

    def __init__(self, name, slots, connections, mean, cold=0.0):
        self.name = name
        self.slots = slots
        self.connections = connections
        self.busy = 0
        self.open = 0
        self.most_open = 0
        self.started = time.monotonic()
        self.cold = cold
        self.control = {
            "mode": "good",
            "factor": 10.0,
            "period": 4.0,
            "state": "live",
            "mean": mean,
            "fixed": False,
        }
        self.runs = Counter()
        self.served = 0
        self.shed = 0
        self.cancelled = 0
        self.rng = random.Random(name)

    def mode(self):
        """Return the mode that shows now."""
        mode = self.control["mode"]
        if mode != "flap":
            return mode
        period = self.control["period"]
        is_bad = (time.monotonic() - self.started) % (2 * period) < period
        return "errors" if is_bad else "good"

    def work_time(self):
        """Return the seconds that the next request takes."""
        seconds = self.control["mean"]
        if not self.control["fixed"]:
            seconds *= self.rng.expovariate(1.0)
        if self.mode() == "slow":
            seconds *= self.control["factor"]
        if time.monotonic() - self.started < self.cold:
            seconds *= COLD_FACTOR
        return seconds


def make_app(state):
    """Return the stand-in's application."""

    async def work(req):
        if state.open > state.connections:
            req.transport.abort()
        if state.busy >= state.slots:
            state.shed += 1
            return web.json_response({"shed": state.name}, status=429)
        state.busy += 1
        state.open += 1
        state.most_open = max(state.most_open, state.open)
        try:
            return await _work(state, req)
        except asyncio.CancelledError:
            state.cancelled += 1
            raise
        finally:
            state.busy -= 1
            state.open -= 1

    async def health(req):
        return web.json_response({"healthy": True, "load": 0.0})

    async def control(req):
        state.control.update(await req.json())
        return web.json_response(state.control)

    async def look(req):
        return web.json_response(
            {
                "busy": state.busy,
                "runs": state.runs,
                "served": state.served,
                "shed": state.shed,
                "cancelled": state.cancelled,
            }
        )

    app = web.Application()
    app.router.add_get("/health", health)
    app.router.add_put("/control", control)
    app.router.add_get("/control", look)
    app.router.add_route("*", "/{path:.*}", work)
    return app


async def _work(state, req):
    """Take the body, do the work, and answer as the mode says."""
    key = req.headers.get("Idempotency-Key")
    digest = hashlib.sha256()
    size = 0
    async for chunk in req.content.iter_chunked(65536):
        digest.update(chunk)
        size += len(chunk)
    if key:
        state.runs[key] += 1
    mode = state.mode()
    if mode == "silent":
        await asyncio.sleep(HANG)
    limit = float(req.headers.get("X-Request-Timeout-Ms", HANG * 1000)) / 1000
    try:
        async with asyncio.timeout(limit):
            await asyncio.sleep(state.work_time())
    except TimeoutError:
        return web.json_response({"late": state.name}, status=504)
    state.served += 1
    body = json.dumps(
        {
            "target": state.name,
            "method": req.method,
            "path": req.path_qs,
            "echo": req.headers.get("X-Request-Id", ""),
            "key": key,
            "size": size,
            "sha256": digest.hexdigest(),
            "padding": "x" * int(req.query.get("padding", 0)),
        }
    ).encode()
    if mode == "endless":
        return await _answer_without_end(req)
    if mode in ("half", "stall", "unframed", "late"):
        return await _misanswer(req, mode, body)
    status = 500 if mode == "errors" else 200
    headers = {"X-Target-State": state.control["state"]}
    return web.Response(
        status=status, body=body, headers=headers, content_type="application/json"
    )


async def _answer_without_end(req):
    """Write chunks until the caller closes."""
    resp = web.StreamResponse()
    await resp.prepare(req)
    while True:
        await resp.write(PIECE)


async def _misanswer(req, mode, body):
    """Write an answer that no library would."""
    length = "" if mode == "unframed" else f"Content-Length: {len(body)}\r\n"
    head = f"HTTP/1.1 200 OK\r\n{length}Content-Type: application/json\r\n\r\n".encode()
    transport = req.transport
    if mode == "late":
        transport.write(head + body)
        await asyncio.sleep(LATE_BY)
        transport.write(head + body.replace(b'"echo"', b'"late"'))
        await asyncio.sleep(HANG)
    transport.write(head + body[: len(body) // 2])
    if mode == "stall":
        await asyncio.sleep(HANG)
    await asyncio.sleep(0.01)
    transport.close()
    await asyncio.sleep(HANG)


async def serve(ports, names, slots, connections, mean, cold):
    """
    Serve one stand-in target on each port until cancelled.

    Args:
      ports: Ports of the loopback.
      names: A name for each port.
      slots: The requests that a target takes at a time.
      connections: The connections that it takes at a time.
      mean: The mean seconds of work.
      cold: The seconds for which it starts slowly.
    """
    runners = []
    for port, name in zip(ports, names, strict=True):
        state = TargetStandin(name, slots, connections, mean, cold)
        runner = web.AppRunner(
            make_app(state),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        runners.append(runner)
    try:
        await asyncio.sleep(FOREVER)
    finally:
        for runner in runners:
            await runner.cleanup()


def run(ports, names, slots=4, connections=330, mean=0.02, cold=0.0):
    """Run stand-in targets; ports and names are lists, such as [7001,7002]."""
    work = serve(list(ports), list(names), slots, connections, mean, cold)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(work)


if __name__ == "__main__":
    fire.Fire(run)
