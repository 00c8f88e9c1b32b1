"""
Requests whose bodies are too long to be kept, beside slow and failing targets.
"""

import asyncio
import logging

import pytest

from plumsaddle_hosts.utils.addresses import split_address

from .pacing import send_in_pieces, upload_head
from .pipelining import Pipe
from .trial import Trial, in_loop
from .worker import Mode

LONG_BODY = bytes(range(250)) * 4000


async def _look_up(trial, request_id, seconds, is_chunked):
    """Send a lookup with a long body in pieces, and return the response."""
    pipe = await Pipe.open(*split_address(trial.hosts[0].settings.caller_address))
    length = None if is_chunked else len(LONG_BODY)
    pipe.send(upload_head("/look/a", request_id, length))
    sending = asyncio.ensure_future(
        send_in_pieces(pipe, LONG_BODY, seconds, is_chunked)
    )
    answer = await asyncio.wait_for(pipe.receive(), 5.0)
    sending.cancel()
    pipe.close()
    return answer


async def _warm_up(trial):
    """Let the host learn how long lookups take."""
    for number in range(12):
        await trial.ask("/look/a", f"warm-{number}")


def _long_bodies(trial):
    """Return of each long request that reached a target whether its body was whole."""
    seen = [seen for worker in trial.workers.values() for seen in worker.seen]
    return [s.body == LONG_BODY for s in seen if not s.id.startswith("warm")]


def _sends(records):
    return [r for r in records if r.message == "sent" and r.request == "id-1"]


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("seconds", [0.0, 0.6])
@in_loop
async def test_a_streamed_request_is_not_hedged(caplog, is_chunked, seconds):
    """Guards against a second target that runs a request with a part of its body."""
    caplog.set_level(logging.INFO)
    async with Trial(services=("look",), targets=4) as trial:
        await _warm_up(trial)
        for worker in trial.workers.values():
            worker.work = 1.0
        answer = await _look_up(trial, "id-1", seconds, is_chunked)
        assert answer.status == 200
        assert _long_bodies(trial) == [True]
        # With a length, a second target would wait for bytes that never come.
        assert len(_sends(caplog.records)) == 1


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("mode", [Mode.RESET, Mode.ERRORS, Mode.SHED, Mode.HANG])
@in_loop
async def test_a_streamed_request_is_not_repeated(caplog, is_chunked, mode):
    """Guards against a retry with the parts of a body that a failed send has left."""
    caplog.set_level(logging.INFO)
    async with Trial(services=("look",), targets=4) as trial:
        await _warm_up(trial)
        trial.set_mode("look", mode)
        answer = await _look_up(trial, "id-1", 0.1, is_chunked)
        assert answer.status in (500, 502, 503, 504)
        assert _long_bodies(trial) == [True]
        assert len(_sends(caplog.records)) == 1


@pytest.mark.parametrize("is_chunked", [False, True])
@in_loop
async def test_a_streamed_request_goes_on_to_a_target_that_can_be_reached(is_chunked):
    """Guards against refusing a long request of which no byte was sent."""
    async with Trial(services=("look",), targets=3) as trial:
        gone, *_ = trial.of("look")
        gone.stop()
        for number in range(4):
            answer = await _look_up(trial, f"id-{number}", 0.05, is_chunked)
            assert answer.status == 200
        assert _long_bodies(trial) == [True] * 4


@pytest.mark.parametrize("path, size", [("/look/a", 4000), ("/up/a", 1_000_000)])
@in_loop
async def test_a_caller_that_waits_to_send_its_body_is_told_to(path, size):
    """Guards against a request that waits for its body until its time is up."""
    async with Trial() as trial:
        address = trial.hosts[0].settings.caller_address
        pipe = await Pipe.open(*split_address(address))
        expect = ["Expect: 100-continue"]
        pipe.send(upload_head(path, "id-1", size, more=expect))
        interim = await asyncio.wait_for(pipe.reader.readuntil(b"\r\n\r\n"), 1.0)
        assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
        pipe.send(LONG_BODY[:size])
        assert (await asyncio.wait_for(pipe.receive(), 2.0)).status == 200
        # A refusal needs no body.
        pipe.send(upload_head("/none/a", "id-2", size, more=expect))
        assert (await asyncio.wait_for(pipe.receive(), 1.0)).status == 404
        pipe.close()
