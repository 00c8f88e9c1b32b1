"""
Callers that leave while their request runs.
"""

import asyncio

import pytest

from plumsaddle_hosts.utils.addresses import split_address

from .pipelining import Pipe, request_bytes
from .trial import Trial, in_loop, until
from .worker import Mode


@pytest.mark.parametrize("leaves_after", [0.1, 0.5])
@in_loop
async def test_a_long_response_is_dropped_when_its_caller_has_left(leaves_after):
    """Guards against connections to targets that stay open for callers that left."""
    async with Trial(services=("act",), targets=1) as trial:
        worker = trial.workers["act-0"]
        worker.work = 0.3
        trial.set_mode("act", Mode.LONG)
        address = trial.hosts[0].settings.caller_address
        pipe = await Pipe.open(*split_address(address))
        pipe.send(request_bytes("/act/a", "id-1", "POST", b"order"))
        await asyncio.sleep(leaves_after)
        pipe.writer.transport.abort()
        await until(lambda: worker.done["id-1"])
        # Less than a target waits for a reader.
        await until(lambda: not worker.busy, 0.5)
        assert worker.runs["id-1"] == 1
        assert worker.unread == 0
