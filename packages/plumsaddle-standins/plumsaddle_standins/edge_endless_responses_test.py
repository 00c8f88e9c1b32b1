"""
Targets that send bytes without end, which are no answer.
"""

import asyncio

import aiohttp
import pytest

from plumsaddle_hosts.edge.clock import now

from .trial import DOWNLOADS, KINDS, OPERATOR, Trial, configuration, in_loop, until
from .worker import BODY, Mode

SIGNED = b"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST-ID\r\nResponse-Signature: s\r\n"
CHUNKED = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
# Seconds of the routes' timeout.
TIMEOUT = 2.0


def _flood(trial, service, begin, piece):
    trial.set_mode(service, Mode.ENDLESS)
    for worker in trial.workers.values():
        worker.endless = begin, piece


@pytest.mark.parametrize(
    "begin, piece",
    [
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 10_000),
        (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 1000),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500),
        (CHUNKED + b"5\r\nwhole\r\n0\r\n", b"X: y\r\n" * 1000),
    ],
)
@in_loop
async def test_an_order_is_not_held_by_a_head_without_end(begin, piece):
    """Callers waited for their deadline although no answer could come any more."""
    async with Trial(services=("act",)) as trial:
        _flood(trial, "act", begin, piece)
        began = now()
        status, _, _ = await trial.ask("/act/a", "id-1", "POST", left=9000)
        assert status == 502
        assert now() - began < TIMEOUT - 0.5
        await until(lambda: not any(w.busy for w in trial.workers.values()), 0.5)


@pytest.mark.parametrize(
    "begin, piece",
    [
        (SIGNED + b"\r\n", b"x" * 10_000),
        (CHUNKED, b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
        (SIGNED + b"Content-Length: 99999999999\r\n\r\n", b"x" * 10_000),
    ],
)
@pytest.mark.parametrize("path, method", [("/look/a", "GET"), ("/act/a", "POST")])
@in_loop
async def test_a_body_without_end_ends_by_the_deadline(path, method, begin, piece):
    """Such a body kept its caller and its target's slot for ever."""
    service = path.split("/")[1]
    async with Trial(services=(service,)) as trial:
        _flood(trial, service, begin, piece)
        began = now()
        with pytest.raises(aiohttp.ClientError):
            await asyncio.wait_for(trial.ask(path, "id-1", method, left=9000), 5.0)
        assert TIMEOUT - 0.1 < now() - began < TIMEOUT + 0.5
        await until(lambda: not any(w.busy for w in trial.workers.values()), 0.5)


@in_loop
async def test_a_kept_connection_is_not_reused_after_a_head_without_end():
    """Callers waited for their deadline, or got bytes of an earlier response."""
    async with Trial(services=("act",), targets=1) as trial:
        assert (await trial.ask("/act/a", "id-1", "POST"))[0] == 200
        _flood(trial, "act", b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 1000)
        assert (await trial.ask("/act/a", "id-2", "POST"))[0] == 502
        trial.set_mode("act", Mode.GOOD)
        status, _, body = await trial.ask("/act/a", "id-3", "POST")
        assert (status, body) == (200, BODY)


@in_loop
async def test_a_look_up_goes_on_to_a_sound_target():
    """A look-up was lost to a target whose response has no end, with others idle."""
    async with Trial(services=("look",)) as trial:
        flooding = trial.of("look")[0]
        flooding.mode = Mode.ENDLESS
        flooding.endless = b"HTTP/1.1 200 OK\r\nX: ", b"x" * 10_000
        answers = [await trial.ask("/look/a", f"id-{n}", left=9000) for n in range(8)]
        assert {(status, body) for status, _, body in answers} == {(200, BODY)}


@pytest.mark.parametrize(
    "begin, piece, is_head",
    [
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 10_000, True),
        (SIGNED + b"\r\n", b"x" * 10_000, False),
        (CHUNKED, b"3e8\r\n" + b"x" * 1000 + b"\r\n", False),
        (SIGNED + b"Content-Length: 99999999999\r\n\r\n", b"x" * 10_000, False),
    ],
)
@in_loop
async def test_a_download_without_end_ends_by_the_deadline(begin, piece, is_head):
    """Such a download kept its caller and its target's slot for ever."""
    async with Trial(services=("file",)) as trial:
        routes = {**KINDS, **DOWNLOADS}
        trial.store.put(OPERATOR, "config", configuration(2, TIMEOUT, routes))
        await until(lambda: trial.hosts[0].knowledge.cfg.version == 2)
        _flood(trial, "file", begin, piece)
        began = now()
        try:
            asked = trial.ask("/file/a", "id-1", left=9000)
            status, _, _ = await asyncio.wait_for(asked, 5.0)
            assert is_head and status in (502, 504)
        except aiohttp.ClientError:
            assert not is_head
        assert now() - began < TIMEOUT + 0.5
        await until(lambda: not any(w.busy for w in trial.workers.values()), 0.5)
