"""
A small deployment with one tenant that asks for several times its limit, and the check
of the rule QUOTA on what clients sent and servers ran.
"""

import asyncio
import itertools
import random

from fleet import (
    Host,
    Server,
    Store,
    configuration,
    make_request,
    now,
    read_answer,
    route,
)

# The tenant's limit over all hosts, and the bounds of the rule.
RATE, BURST = 40, 20
WINDOW, OVERSHOOT, SLACK = 5.0, 0.1, 20
ALLOWED = (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK
TENANT = "acme"
KEY = "key-of-acme"
SITE_HOST = "records.example"
# Those of the site's orders.
DEADLINE_MS = 4422
SERVERS = 4
SEEDS = 3
# Seconds before the disruption from which on windows are counted.
LEAD = 2.0


class Deployment:
    """Hosts, servers and the store of a deployment, and the tenant's clients."""

    def __init__(
        self, record, scratch, host_count, server_count=SERVERS, route_type="safe"
    ):
        self.record = record
        self._route_type = route_type
        self.store = Store()
        self.servers = [
            Server(f"i-{n}", "look", "zone-a", slots=8) for n in range(server_count)
        ]
        self._scratch = scratch
        self._host_count = host_count
        self.hosts = []
        # When each request was sent, and how it ended.
        self.sent = {}
        self.ends = {}
        self.statuses = {}
        self._ids = itertools.count()
        self._clients = []
        self._requests = set()

    async def start(self):
        """Start everything, and return whether all hosts are ready."""
        await self.store.start()
        for server in self.servers:
            await server.start()
            self.store.put("keyed.servers", server.id, server.entry())
        tenant = {
            "entry_kind": "tenants",
            "metadata": {"name": TENANT},
            "spec": {"api_keys": [KEY], "rate_per_s": RATE, "burst": BURST},
        }
        look = route("look", SITE_HOST, "/look/", self._route_type, "look")
        self.store.put("keyed.op", "config", configuration(1, [look, tenant]))
        for number in range(self._host_count):
            host = Host(
                self._scratch,
                f"edge-{number}",
                self.store.address,
                quota_window_s=WINDOW,
                quota_overshoot=OVERSHOOT,
                quota_slack=SLACK,
            )
            self.hosts.append(host)
        for host in self.hosts:
            host.write_settings(other.seed for other in self.hosts[:SEEDS])
        await asyncio.gather(*(host.start() for host in self.hosts))
        ready = await asyncio.gather(*(host.wait_until_ready() for host in self.hosts))
        return all(ready)

    def send(self, per_second):
        """Let clients send the tenant's requests, so many a second to each host."""
        for task in self._clients:
            task.cancel()
        self._clients = [
            asyncio.create_task(self._send_to(host, per_second)) for host in self.hosts
        ]

    async def _send_to(self, host, per_second):
        due_at = now()
        while True:
            task = asyncio.create_task(self._ask(host))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)
            due_at += random.expovariate(per_second)
            await asyncio.sleep(max(0.0, due_at - now()))

    async def _ask(self, host):
        request_id = f"r{next(self._ids):07d}"
        is_safe = self._route_type == "safe"
        raw = make_request(
            "GET" if is_safe else "POST",
            "/look/a",
            SITE_HOST,
            request_id,
            DEADLINE_MS,
            b"" if is_safe else b"an order",
            [f"Authorization: Bearer {KEY}", "Connection: close"],
        )
        writer = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", host.callers
                )
                self.sent[request_id] = now()
                writer.write(raw)
                status, _, _ = await read_answer(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = "none"
        finally:
            if writer is not None:
                writer.close()
        self.ends[request_id] = status
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.note(f"{request_id} to {host.name}: {status}")

    async def stop(self):
        """End the clients, and then all processes."""
        for task in [*self._clients, *self._requests]:
            task.cancel()
        for host in self.hosts:
            await host.end()

    def check(self, since):
        """Tell the fullest window, and return whether the rule was broken."""
        runs = sorted(
            (self.sent[run.id], run.at)
            for server in self.servers
            for run in server.runs
            if run.headers.get("tenant") == TENANT
        )
        for sent, arrived in runs:
            times = f"sent at {sent - since:.3f}, run at {arrived - since:.3f}"
            self.record.note(times)
        most, start = most_in_window(runs, since - LEAD)
        self.record.say(f"answers by status: {self.statuses}")
        self.record.say(
            f"most runs sent and arrived within {WINDOW} s: {most}, from"
            f" {start - since:.2f} s after the disruption; allowed {ALLOWED:.0f}"
        )
        return most > ALLOWED


def most_in_window(runs, since):
    """
    Return the most runs in a window that begins after a time, and when it begins.

    A run is in a window if its request was sent and has arrived in it, as the rule
    says.
    """
    most, start = 0, since
    for begin in (sent for sent, _ in runs if sent >= since):
        count = sum(
            1 for sent, arrived in runs if begin <= sent and arrived <= begin + WINDOW
        )
        if count > most:
            most, start = count, begin
    return most, start
