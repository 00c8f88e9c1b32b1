"""
Long responses that arrive slowly, on real sockets.
"""

import asyncio

import aiohttp
import pytest

from plumsaddle_hosts.edge.clock import now

from .trial import DOWNLOADS, KINDS, OPERATOR, Trial, configuration, in_loop, until
from .worker import SLOTS, Mode

PART = b"x" * 80000
# Seconds between two parts.
PART_TIME = 0.1
# Seconds of the routes' timeout.
TIMEOUT = 2.0


def _send_slowly(worker, parts, work=0.0):
    head = (
        "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST-ID\r\n"
        f"Response-Signature: {worker.id}.1\r\n"
        f"Content-Length: {parts * len(PART)}\r\n\r\n"
    )
    worker.mode, worker.work = Mode.PARTS, work
    worker.endless, worker.endless_pause = (head.encode(), PART), PART_TIME
    worker.parts = parts


@pytest.mark.parametrize("work", [0.0, 1.8])
@pytest.mark.parametrize("path, method", [("/look/a", "GET"), ("/act/a", "POST")])
@in_loop
async def test_an_arriving_response_outlasts_the_timeout(path, method, work):
    """Guards against cutting a response that its caller would have received."""
    async with Trial(services=(path.split("/")[1],), targets=1) as trial:
        worker = next(iter(trial.workers.values()))
        _send_slowly(worker, int((2.8 - work) / PART_TIME), work)
        began = now()
        status, _, body = await trial.ask(path, "id-1", method, left=6000)
        assert now() - began > TIMEOUT + 0.5
        assert (status, len(body)) == (200, worker.parts * len(PART))


@in_loop
async def test_an_arriving_download_outlasts_the_timeout():
    """Guards against cutting a download that its caller would have received."""
    async with Trial(services=("file",), targets=1) as trial:
        routes = {**KINDS, **DOWNLOADS}
        trial.store.put(OPERATOR, "config", configuration(2, TIMEOUT, routes))
        await until(lambda: trial.hosts[0].knowledge.cfg.version == 2)
        worker = trial.of("file")[0]
        _send_slowly(worker, 28)
        status, _, body = await trial.ask("/file/a", "id-1", left=6000)
        assert (status, len(body)) == (200, worker.parts * len(PART))
        assert trial.hosts[0].knowledge.downloads.budget.held == 0


@in_loop
async def test_a_response_that_would_end_too_late_is_cut_at_the_timeout():
    """Guards against slots that are kept for responses which nobody can receive."""
    async with Trial(services=("look",), targets=1) as trial:
        _send_slowly(trial.of("look")[0], 40)
        began = now()
        with pytest.raises(aiohttp.ClientError):
            await trial.ask("/look/a", "id-1", left=3000)
        assert TIMEOUT - 0.1 < now() - began < TIMEOUT + 0.5


@in_loop
async def test_a_target_is_busy_until_its_response_has_arrived():
    """Guards against herds at one target whose slots only looked free."""
    async with Trial(services=("act",), targets=2) as trial:
        for worker in trial.of("act"):
            _send_slowly(worker, 10)
        asking = []
        for number in range(SLOTS):
            asking.append(
                asyncio.ensure_future(
                    trial.ask("/act/a", f"id-{number}", "POST", left=6000)
                )
            )
            await asyncio.sleep(0.15)
        assert sorted(len(worker.seen) for worker in trial.of("act")) == [2, 2]
        shared = trial.hosts[0].knowledge.shared
        assert sum(shared.own_in_flight().values()) == SLOTS
        assert {status for status, _, _ in await asyncio.gather(*asking)} == {200}
        await until(lambda: not shared.own_in_flight())


@in_loop
async def test_the_duration_of_a_response_includes_its_parts():
    """Guards against admitting requests whose responses can't end in time."""
    async with Trial(services=("act",), targets=2) as trial:
        for worker in trial.of("act"):
            _send_slowly(worker, 6)
        for number in range(5):
            status, _, _ = await trial.ask("/act/a", f"id-{number}", "POST")
            assert status == 200
        times = trial.hosts[0].knowledge.shared.times
        assert 0.5 < times.typical_duration("act", "/act/") < 1.0
