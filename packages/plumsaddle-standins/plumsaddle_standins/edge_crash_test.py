"""
A request that ends each target that runs it, and comes again.
"""

import asyncio
import random

import pytest

from .trial import Trial, in_loop, until
from .worker import Deadly

TARGETS = 8
HOSTS = 4
# Seconds after a target's end for which hosts may not know of it yet.
KNOWN_AFTER = 3.0
# What may still reach targets once three have ended and all hosts can know of it.
RETRIES_MOST = 3
RATE = 25.0


async def _send_often(trial, path, method, seconds, seen):
    """
    Let one caller send the same request again and again, to any host.

    It comes by way of other gateways, so each time from another address.
    """
    rng = random.Random(1)
    loop = asyncio.get_running_loop()
    until_at = loop.time() + seconds
    number = 0
    while loop.time() < until_at:
        number += 1
        host = rng.randrange(len(trial.hosts))
        gateway = f"127.0.{rng.randrange(1, 250)}.{rng.randrange(1, 250)}"
        asking = trial.ask_from(
            gateway, path, f"bad-{number}", method, host=host, left=1000
        )
        task = asyncio.ensure_future(asking)
        task.add_done_callback(lambda done: seen.append(done.result()))
        trial.at_end(task)
        await asyncio.sleep(1 / RATE)


def _after(trial, path):
    """Return how many targets a request ended after all hosts could know it."""
    moments = [crash.at for crash in trial.crashes if crash.path == path]
    if len(moments) < 3:
        return 0
    return sum(1 for at in moments if at > moments[2] + KNOWN_AFTER)


@pytest.mark.parametrize(
    ("service", "method"), [("look", "GET"), ("act", "POST")], ids=["look", "act"]
)
@in_loop
async def test_a_request_that_ends_its_targets_is_not_sent_on_and_on(service, method):
    """
    A service loses half of its targets for as long as one caller keeps asking.

    A request ends each target that begins to run it. Its caller sends it again under a
    new id, to any host. Each host takes it for a first request that met a failing
    target, since what hosts remember is kept by target: it goes to one target after
    the other, and everything else that those were at work on is lost with them.
    """
    path = f"/{service}/bad"
    async with Trial((service,), targets=TARGETS, hosts=HOSTS) as trial:
        trial.make_deadly(service, {path: Deadly()})
        seen = []
        await _send_often(trial, path, method, KNOWN_AFTER + 2.0, seen)
        assert len(trial.crashes) >= 3
        assert _after(trial, path) <= RETRIES_MOST
        # The service has all of its targets back, and serves everybody else.
        hosts = [host.knowledge.registry for host in trial.hosts]
        await until(lambda: all(len(r.usable(service)) == TARGETS for r in hosts))
        for number in range(20):
            status, _, _ = await trial.ask(
                f"/{service}/good", f"good-{number}", method, host=number % HOSTS
            )
            assert status == 200


async def _ask_until_held(trial, path, host, most=10):
    """Send a request to a host until it is held back; return how often it was not."""
    for number in range(most):
        status, headers, _ = await trial.ask(path, f"{host}-{number}", host=host)
        if status == 503 and float(headers["Retry-After"]) > 60.0:
            return number
    return most


@in_loop
async def test_a_host_that_starts_when_all_others_are_lost_knows_from_the_store():
    """
    A request that was held back ends three more targets after a loss of all hosts.

    What hosts tell each other is gone with them; the store keeps it.
    """
    async with Trial(("look",), targets=TARGETS, hosts=2) as trial:
        trial.make_deadly("look", {"/look/bad": Deadly()}, down_for=30.0)
        assert await _ask_until_held(trial, "/look/bad", 0) < TARGETS
        ended = len(trial.crashes)
        assert ended == 3
        await until(lambda: trial.store.topic("keyed.suspects").newest)
        for host in trial.hosts:
            await host.close()
        late = await trial.add_host(2, seeds=[])
        suspects = late.knowledge.shared.suspects
        await until(lambda: len(suspects), KNOWN_AFTER)
        assert await _ask_until_held(trial, "/look/bad", 2) == 0
        assert len(trial.crashes) == ended


@in_loop
async def test_hosts_that_hear_nothing_of_each_other_know_from_the_store():
    """
    Two data centres that are cut off from each other each lose three targets.

    Each reaches the store, and what one writes there at its second end counts for the
    other.
    """
    async with Trial(("look",), targets=TARGETS, hosts=2, centres=("x", "y")) as trial:
        trial.make_deadly("look", {"/look/bad": Deadly()}, down_for=30.0)
        for host in trial.hosts:
            host.peers._send = lambda data, *addresses: None
        for host in (0, 1):
            # The route allows two targets, so one request ends two of them.
            await trial.ask("/look/bad", f"first-{host}", host=host)
            await asyncio.sleep(0.5)
        assert len(trial.crashes) <= 4
        for host in (0, 1):
            assert await _ask_until_held(trial, "/look/bad", host) == 0
        assert len(trial.crashes) <= 4


@in_loop
async def test_an_operator_lets_a_request_through_again():
    """
    A caller waits for ten minutes although its request can be served by now.

    The targets got a release that can take it, and the operator says so.
    """
    async with Trial(("look",), targets=TARGETS, hosts=2) as trial:
        trial.make_deadly("look", {"/look/bad": Deadly()})
        assert await _ask_until_held(trial, "/look/bad", 0) < TARGETS
        topic = trial.store.topic("keyed.suspects")
        await until(lambda: topic.newest)
        for worker in trial.workers.values():
            worker.deadly = {}
        key = next(iter(topic.newest))
        trial.store.put("keyed.suspects", key, b"")
        known = [host.knowledge.shared.suspects for host in trial.hosts]
        await until(lambda: not any(suspects.crash_count(key) for suspects in known))
        for host in (0, 1):
            status, _, _ = await trial.ask("/look/bad", f"again-{host}", host=host)
            assert status == 200
