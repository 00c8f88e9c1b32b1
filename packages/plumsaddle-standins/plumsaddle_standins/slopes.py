"""
What one more of each thing costs: slopes, each from two sizes on this machine.

Bytes of memory are counted by tracemalloc, processor time by the process's own
clock, and the cost of a request by the clock of a real host process under load. The
page docs/CAPACITY.md is worked out from this script's output.
"""

import asyncio
import os
import random
import tempfile
import time
import tracemalloc
import urllib.request
from pathlib import Path

import aiohttp
from returns.result import Success

from plumsaddle_core.core.data import DetectionTradeoff, HealthSignal
from plumsaddle_core.ops.evidence import Evidence, Row
from plumsaddle_core.ops.fold import Checkpoint, Record
from plumsaddle_core.ops.members import Member, Members
from plumsaddle_core.ops.orders import Claim, Done, dump_orders, new_order_fold
from plumsaddle_core.ops.versions import Proposal
from plumsaddle_core.parser.configuration import check_configuration
from plumsaddle_core.utils.codec import decode_events, encode_events
from plumsaddle_hosts.daemon.shards import SHARDS
from plumsaddle_hosts.peers.messages import News, from_digest, to_digest
from plumsaddle_hosts.platform.batch import Batcher

from .demo import make_key
from .fleet import TRIAL, Fleet, call, wait_for
from .workspace_slopes import show_workspaces

TICKS = os.sysconf("SC_CLK_TCK")


def show(name, unit, small, large, sizes):
    """Print a slope from two sizes."""
    slope = (large - small) / (sizes[1] - sizes[0])
    print(f"| {name} | {slope:.2f} | {unit} | {small:.0f}, {large:.0f} | {sizes} |")


def cost(work, size):
    """Return the microseconds and the bytes that some work at a size takes."""
    began = time.process_time()
    kept = work(size)
    micros = (time.process_time() - began) * 1e6
    del kept
    tracemalloc.start()
    kept = work(size)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return micros, held


def slope_of(name, work, sizes):
    """Print the slopes of time and memory of some work."""
    (micros_a, bytes_a), (micros_b, bytes_b) = (cost(work, size) for size in sizes)
    show(name, "us", micros_a, micros_b, sizes)
    show(name, "B kept", bytes_a, bytes_b, sizes)


def make_text(targets=10, routes=1):
    """Return a configuration with so many targets and routes."""
    rows = "\n".join(
        f'    {{ id = "t-{n}", address = "10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80", '
        'data_centre = "x" },'
        for n in range(targets)
    )
    table = "".join(
        f'[[route]]\nprefix = "/p{n}"\nservice = "s"\nkind = "idempotent"\n'
        'methods = ["GET"]\n'
        for n in range(routes)
    )
    return (
        'deployment = "d"\n[[service]]\nname = "s"\nfloor = 1\nslots = 4\n'
        f"connections = 330\ntargets = [\n{rows}\n]\n{table}"
    )


def fold_orders(count):
    """Fold claims and outcomes of so many orders."""
    fold = new_order_fold()
    fold.begin_read(0)
    for number in range(count):
        key = f"{number:032x}"
        claim = Claim(key, number + 1, "f" * 32, f"{number:032x}", "host-1@1", key)
        done = Done(key, claim.claim_id, 200, "application/json", b"x" * 200)
        data = encode_events([claim]), encode_events([done])
        for part, raw in enumerate(data):
            fold.feed(Record(2 * number + part, decode_events(raw)))
    return fold


def make_evidence(targets):
    """Keep the signs of so many targets from forty reporters."""
    evidence = Evidence(
        "me@1", DetectionTradeoff.FALSE_EJECTIONS, lambda host: host[-3]
    )
    for number in range(targets):
        evidence.note_signal(f"t-{number}", HealthSignal.GOOD, 1.0)
        rows = [Row(f"host-{h}@1", f"t-{number}", 5, 0, 0) for h in range(40)]
        evidence.merge(rows, 1.0)
    return evidence


def make_members(count):
    """Keep so many hosts."""
    own = Member("me", "me@1", 0, "10.0.0.1:1", "x", 1, False)
    members = Members(own, 0.0)
    rows = [
        Member(
            f"host-{n}", f"host-{n}@{n:012x}-{n:08x}", n, "10.1.2.3:7103", "x", 1, False
        )
        for n in range(count)
    ]
    members.merge(rows, 1.0)
    return members


def show_wire():
    """Print the bytes and the time of digests."""

    def digest_of(rows, members):
        news = News(
            list(make_members(members).rows.values()),
            [
                Row(f"host-{n % 40}@0193b5a0c1d2-{n % 40:08x}", f"t-{n // 40}", 9, 1, 1)
                for n in range(rows)
            ],
            [],
        )
        return to_digest(news).SerializeToString()

    def timed(rows, members):
        data = digest_of(rows, members)
        began = time.process_time()
        for _ in range(200):
            from_digest(type(to_digest(News([], [], []))).FromString(data))
        return (time.process_time() - began) * 1e6 / 200

    show(
        "row in a digest", "B", len(digest_of(40, 0)), len(digest_of(200, 0)), (40, 200)
    )
    show(
        "member in a digest", "B", len(digest_of(0, 4)), len(digest_of(0, 16)), (4, 16)
    )
    show("row in a digest, read", "us", timed(40, 0), timed(200, 0), (40, 200))
    show("member in a digest, read", "us", timed(0, 4), timed(0, 16), (4, 16))


def cpu_seconds(pid):
    """Return the processor seconds of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident(pid):
    """Return the resident bytes of a process and its peak."""
    text = Path(f"/proc/{pid}/status").read_text()
    words = dict(line.partition(":")[::2] for line in text.splitlines())
    held, peak = (int(words[name].split()[0]) for name in ("VmRSS", "VmHWM"))
    return held * 1024, peak * 1024


async def ask_many(url, count, make_headers, method="GET", body=None, at_once=4):
    """Send requests and return their latencies in milliseconds."""
    latencies = []
    left = iter(range(count))

    async def work(session):
        for _ in left:
            began = time.perf_counter()
            async with session.request(
                method, url, headers=make_headers(), data=body
            ) as resp:
                await resp.read()
                assert resp.status == 200, resp.status
            latencies.append((time.perf_counter() - began) * 1000)

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(work(session) for _ in range(at_once)))
    return sorted(latencies)


def percentile(values, share):
    """Return a percentile of sorted values."""
    return values[min(len(values) - 1, int(len(values) * share))]


def show_requests(fleet):
    """Print what a request costs a host, and what it adds to its latency."""
    rng = random.Random(1)
    entry = fleet.entries[0]
    pid = entry.process.pid

    def keyed():
        return {"Idempotency-Key": make_key(rng)}

    ways = [
        ("look-up", "/look/x", "GET", None, dict),
        ("order", "/act/x", "POST", b"x" * 200, keyed),
    ]
    for name, path, method, body, headers in ways:
        spent = []
        for count in (500, 2500):
            before = cpu_seconds(pid)
            work = ask_many(entry.callers + path, count, headers, method, body, 2)
            latencies = asyncio.run(work)
            spent.append((cpu_seconds(pid) - before) * 1e6)
        show(f"{name} through a host", "us", *spent, (500, 2500))
        print(
            f"| {name}, latency at 2 at a time | {percentile(latencies, 0.5):.2f} | "
            f"ms median | {percentile(latencies, 0.99):.2f} ms at 99% | |"
        )
    direct = fleet.targets["look-1"] + "/x"
    latencies = asyncio.run(ask_many(direct, 2500, dict, "GET", None, 2))
    print(
        f"| no host, latency at 2 at a time | {percentile(latencies, 0.5):.2f} | "
        f"ms median | {percentile(latencies, 0.99):.2f} ms at 99% | |"
    )


def show_control(fleet):
    """Print what control costs an idle host."""
    pid = fleet.entries[0].process.pid
    before, began = cpu_seconds(pid), time.monotonic()
    time.sleep(10.0)
    share = (cpu_seconds(pid) - before) / (time.monotonic() - began)
    print(f"| control of an idle host among 3 | {100 * share:.2f} | % of a core | | |")


def show_upload(fleet):
    """Print the memory that uploads of two sizes take."""
    entry = fleet.entries[0]

    async def upload(size):
        async def body():
            for _ in range(size // 65536):
                yield b"u" * 65536

        async with (
            aiohttp.ClientSession() as session,
            session.put(entry.callers + "/load/x", data=body()) as resp,
        ):
            assert (await resp.json())["size"] == size

    for size in (20 * 65536, 3200 * 65536):
        asyncio.run(upload(size))
        held, peak = resident(entry.process.pid)
        print(
            f"| upload of {size / 1e6:.0f} MB | {peak / 1e6:.1f} | MB peak of the host "
            f"| {held / 1e6:.1f} MB after | |"
        )


async def count_appends(hosts, latency, orders_a_second, seconds=2.0):
    """Return the appends and bytes an order of hosts that share a rate of orders."""
    sent = {"appends": 0, "bytes": 0}
    rng = random.Random(1)

    async def append(stream, data):
        sent["appends"] += 1
        sent["bytes"] += len(data)
        await asyncio.sleep(latency)
        return Success(sent["appends"])

    batchers = [
        [Batcher(append, f"s{n}", f"host-{h}@1", rng) for n in range(SHARDS)]
        for h in range(hosts)
    ]
    count = int(orders_a_second * seconds)
    for number in range(count):
        batcher = rng.choice(rng.choice(batchers))
        key = f"{number:032x}"
        claim = Claim(key, number, "f" * 32, key, batcher.host, key)
        batcher.submit([claim])
        done = Done(key, key, 200, "application/json", b"x" * 200)
        delay = latency + 0.1
        asyncio.get_running_loop().call_later(delay, batcher.deliver, [done])
        await asyncio.sleep(1 / orders_a_second)
    await asyncio.sleep(2 * latency + 0.2)
    return sent["appends"] / count, sent["bytes"] / count


def show_appends():
    """Print appends and bytes an order at 150 orders a second."""
    for hosts in (1, 10, 40):
        for latency in (0.005, 0.05, 0.2):
            appends, size = asyncio.run(count_appends(hosts, latency, 150))
            print(
                f"| appends an order, {hosts} hosts, log {latency * 1000:.0f} ms, "
                f"150 orders/s | {appends:.2f} | appends | {size:.0f} B | |"
            )


def show_publishing(fleet):
    """Print how long after its acceptance a version is in force on every host."""
    spent = []
    for number in range(10):
        text = fleet.text.replace("deadline = 10.0", f"deadline = {11 + number}.0")
        version = call(f"{fleet.entries[0].operators}/status")["version"]
        proposal = Proposal(f"slope-{number}", version, text, "slopes")
        url = f"{fleet.platform}/log-append?topic=config&part=0"
        record = encode_events([proposal])
        body = len(record).to_bytes(4, "big") + record
        req = urllib.request.Request(url, body, method="POST")
        urllib.request.urlopen(req).close()
        began = time.monotonic()
        for entry in fleet.entries:
            status = f"{entry.operators}/status"
            while call(status)["version"] <= version:
                time.sleep(0.001)
        spent.append((time.monotonic() - began) * 1000)
    spent.sort()
    print(
        f"| append answered to in force on 3 hosts | {percentile(spent, 0.5):.1f} "
        f"| ms median | {spent[-1]:.1f} ms worst of 10 | |"
    )


def main():
    """Print all slopes as a table."""
    print("| what | slope or value | unit | measured | sizes |")
    print("| --- | --- | --- | --- | --- |")
    sizes = (500, 2000)
    slope_of(
        "target in a configuration",
        lambda n: check_configuration(make_text(n), "x"),
        sizes,
    )
    slope_of(
        "route in a configuration",
        lambda n: check_configuration(make_text(10, n), "x"),
        sizes,
    )
    text = [len(make_text(n)) for n in sizes]
    show("target in a configuration", "B of text", *text, sizes)
    text = [len(make_text(10, n)) for n in sizes]
    show("route in a configuration", "B of text", *text, sizes)
    slope_of("order folded, 200 B answer kept", fold_orders, (2000, 10000))
    sized = [
        len(
            encode_events([Checkpoint("x", 1, 0, 1, dump_orders(fold_orders(n).state))])
        )
        for n in (200, 400)
    ]
    show("order in a checkpoint", "B", *sized, (200, 400))
    slope_of("target seen by 41 hosts", make_evidence, (50, 200))
    slope_of("host known", make_members, (200, 1200))
    show_workspaces(slope_of, show)
    show_wire()
    show_appends()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, TRIAL, {"look": 0.0, "act": 0.0, "load": 0.0})
        try:
            fleet.start(hosts=3)
            for target in fleet.targets:
                fleet.control(target, mean=0.0001)
            show_control(fleet)
            show_publishing(fleet)
            show_requests(fleet)
            show_upload(fleet)
            url = f"{fleet.entries[0].operators}/status"
            status = wait_for(lambda: call(url), "status")
            print(
                f"| appends, 3,000 orders, 2 at a time | {status['appends']} | appends "
                f"| {status['append_bytes']} B | |"
            )
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
