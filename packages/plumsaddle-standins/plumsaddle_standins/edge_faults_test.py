"""
Faults in the middle of many requests: uploads, suspended hosts, hosts born alone.
"""

import asyncio
import time
from collections import Counter

import aiohttp
import pytest

from plumsaddle_hosts.utils.addresses import split_address

from .store import Fault
from .trial import HOST_NAME, OPERATOR, Trial, configuration, free_port, in_loop, until
from .worker import Mode

SCAN = bytes(range(256)) * 4000
UPLOADS = 20
PROMISES = (408, 421, 429, 503)


async def _upload(trial, number):
    """Send one scan in parts, so that a fault finds it half way, or has it cut."""

    async def parts():
        for start in range(0, len(SCAN), 64000):
            yield SCAN[start : start + 64000]
            await asyncio.sleep(0.01)

    request_id = f"id-{number}"
    body = SCAN if number % 2 else parts()
    try:
        status, _, _ = await trial.ask("/up/a", request_id, "POST", body)
    except aiohttp.ClientError:
        status = None
    return request_id, status


def _fail_store(fault):
    async def happen(trial):
        trial.store.fault = fault

    return happen


def _switch(mode):
    async def happen(trial):
        trial.set_mode("up", mode)

    return happen


async def _crash_target(trial):
    trial.workers["up-0"].stop()


async def _reuse_address(trial):
    trial.workers["up-0"].id = "stranger"


async def _let_target_leave(trial):
    trial.register(trial.workers["up-0"], "draining")


async def _forget_target(trial):
    trial.unregister(trial.workers["up-0"])


async def _publish(trial):
    for version in (2, 3, 4):
        trial.store.put(OPERATOR, "config", configuration(version))


async def _compact(trial):
    trial.store.put(OPERATOR, "config", configuration(2))
    trial.store.compact(OPERATOR)


async def _drop_route(trial):
    trial.store.put(OPERATOR, "config", configuration(2, routes={}))


async def _leave(trial):
    leaving = asyncio.ensure_future(trial.hosts[0].drain())
    trial.at_end(leaving)


# Each fault, and whether every upload must be served whole nevertheless.
FAULTS = {
    "store busy": (_fail_store(Fault.BUSY), True),
    "store resets": (_fail_store(Fault.RESET), True),
    "store silent": (_fail_store(Fault.SILENT), True),
    "store answers lost": (_fail_store(Fault.LOST), True),
    "history gone": (_compact, True),
    "versions in a row": (_publish, True),
    "route dropped": (_drop_route, True),
    "target leaves": (_let_target_leave, True),
    "target unlisted": (_forget_target, True),
    "host leaves": (_leave, True),
    "target crashes": (_crash_target, False),
    "address reused": (_reuse_address, False),
    "targets shed": (_switch(Mode.SHED), False),
    "targets fail": (_switch(Mode.ERRORS), False),
    "targets break off": (_switch(Mode.RESET), False),
    "targets answer early": (_switch(Mode.EARLY), False),
    "targets hang": (_switch(Mode.HANG), False),
}


@pytest.mark.parametrize("name", FAULTS)
@in_loop
async def test_twenty_uploads_through_a_fault(name):
    """
    A day's scanning is redone, or a scan is stored twice.

    Twenty uploads are half way when something fails, leaves or changes. None may run
    twice, none that was told not to have run may have run, and where nothing fails but
    the store, or work is planned, none may be lost.
    """
    happen, must_serve = FAULTS[name]
    async with Trial(services=("up",), targets=3) as trial:
        for worker in trial.of("up"):
            worker.work = 0.05
        asked = [asyncio.ensure_future(_upload(trial, n)) for n in range(UPLOADS)]
        await asyncio.sleep(0.08)
        await happen(trial)
        ends = await asyncio.wait_for(asyncio.gather(*asked), 8.0)
        runs = Counter()
        for worker in trial.workers.values():
            runs.update(worker.runs)
        assert all(runs[request_id] <= 1 for request_id, _ in ends)
        assert not [i for i, status in ends if status in PROMISES and runs[i]]
        assert not [i for i, status in ends if status == 200 and not runs[i]]
        if must_serve:
            assert Counter(status for _, status in ends) == {200: UPLOADS}


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that lets the host's clock jump by some seconds."""
    slept = []
    read = time.clock_gettime
    monkeypatch.setattr(time, "clock_gettime", lambda clock: read(clock) + sum(slept))
    return slept.append


@in_loop
async def test_a_host_that_wakes_sends_nothing_for_callers_of_yesterday(
    suspend, monkeypatch
):
    """
    An order runs for a caller that has long given up.

    A host is suspended for ten seconds while it opens a connection for an order. The
    steady clock does not count them, so the order still looks young.
    """
    async with Trial(services=("act",), targets=1) as trial:
        links = trial.hosts[0].pool
        opened = links.open

        async def open_over_the_suspension(target):
            link = await opened(target)
            suspend(10.0)
            return link

        monkeypatch.setattr(links, "open", open_over_the_suspension)
        status, headers, _ = await trial.ask("/act/a", "id-1", "POST")
        assert status == 503
        assert "Retry-After" in headers
        assert not trial.workers["act-0"].seen
        # It serves on, and does not take its targets for gone.
        monkeypatch.setattr(links, "open", opened)
        assert (await trial.ask("/act/a", "id-2", "POST"))[0] == 200


@in_loop
async def test_a_host_that_wakes_sends_no_second_time(suspend):
    """
    A look-up is sent once more for a caller that has long given up.

    It hangs at its target while the host is suspended for ten seconds. The moment of
    its second send comes after that, by timers that do not know of the suspension.
    """
    async with Trial(services=("look",), targets=2) as trial:
        trial.set_mode("look", Mode.HANG)
        asked = asyncio.ensure_future(trial.ask("/look/a", "id-1"))
        await until(lambda: any(worker.seen for worker in trial.of("look")))
        suspend(10.0)
        status, _, _ = await asyncio.wait_for(asked, 2.5)
        assert status == 504
        assert sum(len(worker.seen) for worker in trial.of("look")) == 1


@in_loop
async def test_a_host_whose_seeds_are_dead_serves_and_finds_the_others_later():
    """
    A host that was born while its seeds were down stays alone for ever.

    Alone it sees a few requests only, learns slowly, and takes a share of the retries
    that belongs to all. It must ask until a seed is back.
    """
    async with Trial(services=("act",), targets=2, hosts=1) as trial:
        alone = trial.hosts[0]
        later = free_port()
        alone.peers.apply_settings(
            alone.settings._replace(seeds=(f"127.0.0.1:{later}", "127.0.0.1:1"))
        )
        assert (await trial.ask("/act/a", "id-1", "POST"))[0] == 200
        await asyncio.sleep(1.2)
        assert alone.knowledge.shared.live_host_count() == 1
        await trial.add_host(1, peers_port=later, seeds=())
        both = trial.hosts
        await until(
            lambda: all(h.knowledge.shared.live_host_count() == 2 for h in both)
        )


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 4\r\nContent-Length: 40\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Content-Length: -4\r\n",
        b"Content-Length : 4\r\n",
    ],
)
@in_loop
async def test_a_request_with_two_readings_is_refused(framing):
    """
    An order that nobody sent is run.

    A request's head says twice, or wrongly, how long its body is. The host takes one
    reading and the target the other, to which the rest of the body is a request.
    """
    hidden = (
        b"POST /act/hidden HTTP/1.1\r\nHost: %s\r\nRequest-Id: hidden\r\n"
        b"Content-Length: 0\r\n\r\n" % HOST_NAME.encode()
    )
    async with Trial(services=("act",)) as trial:
        ip, port = split_address(trial.hosts[0].settings.caller_address)
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(
            b"POST /act/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: id-1\r\n%s\r\n0\r\n\r\n%s"
            % (HOST_NAME.encode(), framing, hidden)
        )
        answer = await asyncio.wait_for(reader.read(4096), 3.0)
        writer.close()
        assert answer.split(b" ")[1] == b"400"
        await asyncio.sleep(0.1)
        assert not [seen for worker in trial.of("act") for seen in worker.seen]


@pytest.mark.parametrize(
    "path, method", [("/act/a", "POST"), ("/up/a", "POST"), ("/look/a", "GET")]
)
@in_loop
async def test_a_new_connection_that_is_lost_at_once_costs_no_time(path, method):
    """Guards against waiting for the response to a request that was never sent."""
    async with Trial(targets=2) as trial:
        pool = trial.hosts[0].pool
        real_open = pool.open
        lost = []

        async def open_and_lose(target):
            connection = await real_open(target)
            if not lost:
                lost.append(target.id)
                connection.transport.abort()
                await asyncio.sleep(0.05)
            return connection

        pool.open = open_and_lose
        blamed = []
        # A connection that was opened and reset may also be the fault of the path.
        prober = trial.hosts[0]._prober
        prober.blame_if_unreached = lambda target, note: blamed.append(target.id)
        prober.blame_if_reached = prober.blame_if_unreached
        began = time.monotonic()
        status, _, _ = await trial.ask(path, "id-1", method)
        assert (status, len(lost)) == (200, 1)
        assert time.monotonic() - began < 0.5
        assert not blamed
        assert sum(worker.runs["id-1"] for worker in trial.workers.values()) == 1
