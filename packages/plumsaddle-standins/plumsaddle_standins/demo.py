"""
The demo: both deployments behind three entry hosts, while things go wrong.

Look-ups, orders and uploads go through all three hosts. Meanwhile a target turns
gray, another one leaves, one host is stopped gracefully and one is killed. Every
order that was not certainly refused is sent again with its key, as a caller would.
The table at the end counts what callers saw and what the targets ran.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import aiohttp

from .fleet import Fleet

SECONDS = 20.0
CALLERS = 24
SEED = 7
EXAMPLES = Path(__file__).parents[3] / "examples"
ORDERS = {"/vernietiging", "/payouts", "/submissions"}
UPLOADS = {"/inname", "/intake"}
LOOKUPS = {"/raadpleging", "/ledger"}
WAYS = sorted(LOOKUPS) * 5 + sorted(ORDERS) * 2 + sorted(UPLOADS)
MEANS = {"inname": 0.1, "intake": 0.1}


class Seen(NamedTuple):
    """What a caller saw of one request."""

    word: str
    detail: str


def make_key(rng):
    """Return a UUIDv7 as a caller makes it."""
    millis = int(time.time() * 1000)
    value = (millis << 80) | (7 << 76) | rng.getrandbits(76)
    value = value & ~(3 << 62) | (2 << 62)
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def merge_texts():
    """Return both deployments as one configuration."""
    first = (EXAMPLES / "archiefpoort.toml").read_text()
    second = (EXAMPLES / "atlas-sonore.toml").read_text()
    body = second[second.index("[[service]]") :]
    return first.replace('"archiefpoort"', '"demo"', 1) + body


class Caller:
    """
    One caller, who sends one request after the other.

    Args:
      fleet: The running `Fleet`.
      number: The caller's number.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.rng = random.Random(SEED * 1000 + number)
        self.seen = Counter()
        self.by_path = Counter()
        self.reasons = Counter()
        self.keys = []
        self.gone = set()

    async def run(self, session, until):
        """Send requests until the time is over."""
        while time.monotonic() < until:
            path = self.rng.choice(WAYS)
            seen = await self._request(session, path)
            self.seen[seen.word] += 1
            self.by_path[path, seen.word] += 1
            if seen.word != "whole":
                self.reasons[seen.word, seen.detail] += 1
            await asyncio.sleep(self.rng.uniform(0, 0.02))

    async def _request(self, session, path):
        """Send one request as a patient caller does, and judge what came."""
        headers = {"X-Request-Id": f"{self.rng.getrandbits(64):x}"}
        body = None
        if path in ORDERS:
            headers["Idempotency-Key"] = make_key(self.rng)
            self.keys.append(headers["Idempotency-Key"])
            body = json.dumps({"order": headers["X-Request-Id"]}).encode()
        elif path in UPLOADS:
            body = self.rng.randbytes(self.rng.randint(1000, 200_000))
        method = "GET" if path in LOOKUPS else "POST"
        for _ in range(4):
            seen = await self._try(session, method, path, headers, body)
            if seen.word != "lost" or path in UPLOADS:
                break
        if seen.word == "lost":
            return Seen("unknown", "the connection was lost")
        return seen

    async def _try(self, session, method, path, headers, body):
        entries = [e for e in self.fleet.entries if e.id not in self.gone]
        entry = self.rng.choice(entries)
        url = f"{entry.callers}{path}/x?n={headers['X-Request-Id']}"
        try:
            async with session.request(method, url, headers=headers, data=body) as resp:
                return _judge(resp, await resp.read(), headers, body)
        except aiohttp.ClientConnectorError:
            self.gone.add(entry.id)  # The balancer would have noticed by now.
            return Seen("lost", "not connected")
        except (aiohttp.ClientError, OSError) as exc:
            return Seen("lost", type(exc).__name__)


def _judge(resp, data, headers, body):
    """Return whether an answer is whole and the caller's own."""
    reason = resp.headers.get("Plumsaddle-Reason")
    outcome = resp.headers.get("Plumsaddle-Outcome")
    if reason:
        word = {"not-run": "refused", "unknown": "unknown", "run": "whole"}[outcome]
        return Seen(word, reason)
    try:
        answer = json.loads(data)
    except ValueError:
        return Seen("broken", "no JSON")
    if answer.get("echo") != headers["X-Request-Id"]:
        return Seen("broken", "another's answer")
    if body is not None and answer["sha256"] != hashlib.sha256(body).hexdigest():
        return Seen("broken", "the body was changed")
    return Seen("whole", "")


async def make_trouble(fleet):
    """Let things go wrong, one after the other."""
    run = asyncio.to_thread
    await asyncio.sleep(SECONDS * 0.2)
    await run(fleet.control, "raadpleging-1", mode="errors")
    await run(fleet.control, "ledger-1", mode="half")
    await run(fleet.control, "release-1", mode="slow")
    await asyncio.sleep(SECONDS * 0.15)
    await run(fleet.control, "vernietiging-2", state="draining")
    await asyncio.sleep(SECONDS * 0.15)
    fleet.entries[0].process.terminate()
    await asyncio.sleep(SECONDS * 0.15)
    fleet.entries[1].process.kill()


async def run_callers(fleet):
    """Run all callers while trouble is made, and return them."""
    callers = [Caller(fleet, number) for number in range(CALLERS)]
    until = time.monotonic() + SECONDS
    timeout = aiohttp.ClientTimeout(total=40)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        trouble = asyncio.ensure_future(make_trouble(fleet))
        await asyncio.gather(*(caller.run(session, until) for caller in callers))
        await trouble
    return callers


def show(fleet, callers):
    """Print the table and return whether nothing is broken or doubled."""
    by_path = sum((caller.by_path for caller in callers), Counter())
    words = ["whole", "refused", "unknown", "broken"]
    print(f"{'path':<14}" + "".join(f"{word:>9}" for word in words))
    for path in sorted({path for path, _ in by_path}):
        print(f"{path:<14}" + "".join(f"{by_path[path, word]:>9}" for word in words))
    reasons = sum((caller.reasons for caller in callers), Counter())
    for (word, reason), count in sorted(reasons.items()):
        print(f"  {word}: {reason}: {count}")
    seen = sum((caller.seen for caller in callers), Counter())
    doubled = sum(count > 1 for count in fleet.runs().values())
    total = sum(seen.values())
    print(
        f"demo: {total} requests, {seen['whole']} whole answers, "
        f"{seen['refused']} refused (not run), {seen['unknown']} unknown, "
        f"{seen['broken']} broken, {doubled} doubled"
    )
    return seen["broken"] == 0 and doubled == 0 and total > 0


def main():
    """Run the demo and exit with 1 if anything was broken or doubled."""
    with contextlib.ExitStack() as stack:
        folder = os.environ.get("DEMO_FOLDER")
        folder = folder or stack.enter_context(tempfile.TemporaryDirectory())
        fleet = Fleet(folder, merge_texts(), MEANS)
        stack.callback(fleet.stop)
        fleet.start()
        print(fleet.command("status").stdout)
        callers = asyncio.run(run_callers(fleet))
        print(fleet.command("status").stdout)
        print(fleet.command("explain", "raadpleging-1").stdout)
        is_good = show(fleet, callers)
    sys.exit(0 if is_good else 1)


if __name__ == "__main__":
    main()
