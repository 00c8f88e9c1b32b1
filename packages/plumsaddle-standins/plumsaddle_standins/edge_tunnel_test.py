"""
Connections to targets through another host: its failures, and who may ask for them.
"""

import asyncio
import struct
import time

import pytest

from plumsaddle_core.ops.paths import PathState
from plumsaddle_hosts.edge.tunnel import TunnelRequest, TunnelStatus, encode_request
from plumsaddle_hosts.utils.addresses import split_address

from .partition import Partition
from .trial import in_loop, until
from .worker import BODY, LONG_BODY, Mode

CALLER = 0
GATEWAY = 1


def _two_hosts(**options):
    return Partition(hosts=2, centres=("x",), targets=2, **options)


async def _partition_caller(partition, form="hang"):
    """Partition the host that callers ask, and wait until it knows."""
    hosts = partition.trial.hosts
    await until(lambda: hosts[CALLER].peers.gateways.choose(0.0))
    partition.cut(form, [CALLER])
    paths = hosts[CALLER].knowledge.paths
    number = 0
    while paths.state is not PathState.PARTITIONED:
        number += 1
        await partition.trial.ask(f"/look/{number}", f"warm-{number}", left=1000)


async def _ask(partition, path, request_id, *args):
    return await partition.trial.ask(path, request_id, *args, host=CALLER)


@in_loop
async def test_large_bodies_pass_whole_both_ways():
    """Guards against bytes that are lost or held back without bound on the way."""
    scan = bytes(range(256)) * 8000
    async with _two_hosts() as partition:
        await _partition_caller(partition)
        partition.trial.set_mode("look", Mode.LONG)
        status, _, body = await _ask(partition, "/look/a", "id-1")
        assert (status, body) == (200, LONG_BODY)
        status, _, _ = await _ask(partition, "/up/a", "id-2", "POST", scan)
        assert status == 200
        seen = [s for w in partition.trial.of("up") for s in w.seen if s.id == "id-2"]
        assert [s.body for s in seen] == [scan]


@in_loop
async def test_a_response_may_end_with_its_connection():
    """Guards against a response without a length that is taken for a broken one."""
    async with _two_hosts() as partition:
        await _partition_caller(partition)
        partition.trial.set_mode("act", Mode.UNFRAMED)
        status, _, body = await _ask(partition, "/act/a", "id-1", "POST")
        assert (status, body) == (200, BODY)


@pytest.mark.parametrize("mode", [Mode.HANG, Mode.HEAD_ONLY])
@in_loop
async def test_the_loss_of_a_gateway_does_not_complete_a_response(mode):
    """Guards against the end of a tunnel that looks like the end of a response."""
    async with _two_hosts() as partition:
        await _partition_caller(partition)
        gateway = partition.trial.hosts[GATEWAY].gateway
        partition.trial.set_mode("act", mode)
        asked = asyncio.ensure_future(_ask(partition, "/act/a", "id-1", "POST"))
        await until(lambda: any(w.seen for w in partition.trial.of("act")))
        await asyncio.sleep(0.1)
        gateway.close()
        status, _, _ = await asked
        assert status == 502
        assert partition.runs("id-1") == 1


@in_loop
async def test_a_target_that_resets_does_not_complete_a_response():
    """Guards against a reset that a gateway passes on as an ordinary end."""
    async with _two_hosts() as partition:
        await _partition_caller(partition)
        partition.trial.set_mode("act", Mode.UNFRAMED_RESET)
        status, _, _ = await _ask(partition, "/act/a", "id-1", "POST")
        assert status == 502


@in_loop
async def test_a_caller_that_leaves_is_noticed_at_the_target():
    """Guards against work for nobody behind a gateway."""
    async with _two_hosts() as partition:
        await _partition_caller(partition)
        partition.trial.set_mode("look", Mode.HANG)
        asked = asyncio.ensure_future(_ask(partition, "/look/a", "id-1"))
        workers = partition.trial.of("look")
        await until(lambda: any(w.runs["id-1"] for w in workers))
        asked.cancel()
        await until(lambda: any(w.cancelled["id-1"] for w in workers), 0.5)


@in_loop
async def test_a_gateway_that_shuts_down_loses_no_request():
    """Guards against a planned stop of a gateway that cuts orders of other hosts."""
    async with Partition(hosts=3, centres=("x",), targets=2) as partition:
        await _partition_caller(partition)
        for worker in partition.trial.workers.values():
            worker.work = 0.4
        asked = []
        leaving = None
        for number in range(40):
            request = _ask(partition, f"/act/{number}", f"id-{number}", "POST")
            asked.append(asyncio.ensure_future(request))
            await asyncio.sleep(0.1)
            if number == 10:
                draining = partition.trial.hosts[GATEWAY].drain()
                leaving = asyncio.ensure_future(draining)
        statuses = [status for status, _, _ in await asyncio.gather(*asked)]
        assert statuses == [200] * len(asked)
        await leaving


@in_loop
async def test_connections_are_direct_again_after_a_partition():
    """Guards against hosts that stay dependent on others, and tunnels that are kept."""
    async with _two_hosts() as partition:
        await _partition_caller(partition)
        hosts = partition.trial.hosts
        await partition.load(0.5)
        assert hosts[GATEWAY].gateway.tunnel_count
        partition.links[CALLER].heal()
        await partition.load(2.0)
        assert hosts[CALLER].knowledge.paths.state is PathState.CONNECTED
        results = await partition.load(3.0)
        assert {status for _, _, status in results} == {200}
        assert not hosts[GATEWAY].gateway.tunnel_count


@in_loop
async def test_requests_are_refused_at_once_when_no_host_reaches_targets():
    """Guards against requests that wait for connections that nobody can open."""
    async with _two_hosts() as partition:
        await partition.load(0.5)
        partition.cut("reset", [CALLER, GATEWAY])
        await partition.load(1.5)
        started_at = time.monotonic()
        status, headers, _ = await _ask(partition, "/act/a", "id-1", "POST")
        assert time.monotonic() - started_at < 0.1
        assert status == 503
        assert 0.5 <= float(headers["Retry-After"]) <= 1.0


@in_loop
async def test_a_service_that_is_down_is_no_partition():
    """Guards against refusing or handing on requests to services that are well."""
    async with _two_hosts() as partition:
        for worker in partition.trial.of("look"):
            worker.stop()
        results = await partition.load(2.0)
        hosts = partition.trial.hosts
        assert all(h.knowledge.paths.state is PathState.CONNECTED for h in hosts)
        assert sum(status == 200 for _, _, status in results) > 0.5 * len(results)
        assert not any(h.gateway.tunnel_count for h in hosts)


@in_loop
async def test_a_host_that_lost_some_targets_is_served_by_all():
    """Guards against the loss of a part of the targets, which is no partition."""
    async with _two_hosts() as partition:
        await partition.load(0.5)
        lost = {w.address for w in partition.trial.of("act")}
        partition.links[CALLER].is_cut_off = lost.__contains__
        partition.cut("reset", [CALLER])
        await partition.load(1.0)
        results = await partition.load(2.0)
        failed = [status for _, _, status in results if status != 200]
        assert len(failed) <= 1
        state = partition.trial.hosts[CALLER].knowledge.paths.state
        assert state is PathState.CONNECTED


def _request(partition, **changes):
    """Return the bytes of a request for a tunnel to a target."""
    worker = partition.trial.of("act")[0]
    fields = {"host": "host-0", "target": worker.id, "address": worker.address}
    return encode_request(TunnelRequest(**{**fields, **changes}))


INVALID_REQUESTS = {
    "unknown target": lambda p: _request(p, target="act-9"),
    "other address": lambda p: _request(p, address=p.trial.store_address),
    "too long": lambda p: _request(p, host="h" * 2000),
    "garbage": lambda p: struct.pack(">H", 4) + b"GET ",
    "http": lambda p: b"GET / HTTP/1.1\r\n\r\n",
    "truncated": lambda p: _request(p)[:-1],
}


@pytest.mark.parametrize("name", INVALID_REQUESTS)
@in_loop
async def test_a_gateway_connects_to_listed_targets_only(name):
    """Guards against strangers who use a gateway to reach other addresses."""
    async with _two_hosts() as partition:
        gateway = partition.trial.hosts[GATEWAY]
        ip, port = split_address(gateway.settings.peer_address)
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(INVALID_REQUESTS[name](partition))
        answer = await asyncio.wait_for(reader.read(100), 2.0)
        writer.close()
        assert answer in (b"", bytes([TunnelStatus.UNAVAILABLE.value]))
        assert not gateway.gateway.tunnel_count


@in_loop
async def test_a_partitioned_gateway_asks_no_third_host():
    """Guards against requests for connections that travel in a circle."""
    async with Partition(hosts=3, centres=("x",), targets=2) as partition:
        await _partition_caller(partition)
        caller = partition.trial.hosts[CALLER]
        ip, port = split_address(caller.settings.peer_address)
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(_request(partition))
        answer = await asyncio.wait_for(reader.read(100), 2.0)
        writer.close()
        assert answer == bytes([TunnelStatus.UNAVAILABLE.value])


@in_loop
async def test_hosts_of_the_former_release_are_not_asked():
    """Guards against a fleet of two releases that waits for gateways it hasn't."""
    async with _two_hosts() as partition:
        hosts = partition.trial.hosts
        hosts[GATEWAY].peers.is_gateway = lambda: False
        hosts[GATEWAY].peers.announce_paths()
        await until(lambda: not hosts[CALLER].peers.gateways.choose(0.0))
        partition.cut("reset", [CALLER])
        await partition.load(1.5)
        assert not hosts[GATEWAY].gateway.tunnel_count
