"""
Responses too long to be kept whole, of routes that are no downloads.
"""

import asyncio

import aiohttp
import pytest

from plumsaddle_hosts.edge import response_stream
from plumsaddle_hosts.edge.clock import now
from plumsaddle_hosts.utils.addresses import split_address

from .pacing import SlowPipe
from .pipelining import request_bytes
from .trial import Trial, in_loop, until
from .worker import LONG_BODY, Mode

# Seconds of the routes' timeout.
TIMEOUT = 2.0


@pytest.mark.parametrize(
    ("service", "path", "method"),
    [("look", "/look/a", "GET"), ("act", "/act/a", "POST")],
)
@in_loop
async def test_a_response_that_stops_ends_by_its_deadline(service, path, method):
    """Guards against callers that are held past the route's timeout."""
    async with Trial(services=(service,)) as trial:
        trial.set_mode(service, Mode.LONG_STALL)
        began = now()
        with pytest.raises(aiohttp.ClientError):
            await asyncio.wait_for(trial.ask(path, "id-1", method, left=9000), 5.0)
        assert TIMEOUT - 0.1 < now() - began < TIMEOUT + 0.4
        # The target is told as well.
        await until(lambda: not any(w.busy for w in trial.workers.values()), 0.5)


@in_loop
async def test_a_long_response_that_comes_is_delivered_late():
    """Guards against cutting a response that is there because its caller is slow."""
    async with Trial(services=("look",)) as trial:
        for worker in trial.workers.values():
            worker.body = LONG_BODY[:200_000]
        address = trial.hosts[0].settings.caller_address
        pipe = await SlowPipe.open(*split_address(address))
        pipe.bytes_per_second = 70_000
        pipe.send(request_bytes("/look/a", "id-1", left=4000))
        answer = await asyncio.wait_for(pipe.receive(), 6.0)
        assert answer.body == LONG_BODY[:200_000]
        pipe.close()


@in_loop
async def test_a_caller_that_reads_nothing_is_cut(monkeypatch):
    """Guards against targets and hosts that hold a response for good."""
    monkeypatch.setattr(response_stream, "STALL_TIME", 0.2)
    async with Trial(services=("look",)) as trial:
        for worker in trial.workers.values():
            worker.body = LONG_BODY * 10
        host = trial.hosts[0]
        pipe = await SlowPipe.open(*split_address(host.settings.caller_address))
        pipe.send(request_bytes("/look/a", "id-1", left=9000))
        await until(lambda: host.front.in_flight == 1)
        await until(lambda: not host.front.in_flight, 3.0)
        await until(lambda: not host._front_server.connections, 1.0)
        pipe.close()
