"""
Tests of large responses between a target and a caller, without a network.
"""

import asyncio
import functools
import types

import pytest

from plumsaddle_core.core.traffic import RequestKind, Route, SendOutcome

from ..transfers.response_buffer import ResponseBuffer
from .clock import now
from .downloads import DownloadRest, Downloads
from .receipt import when_received
from .target_connection import Exchange

LIMIT = 400_000
SIZE = 90_000
SIGNED = [(b"Response-Signature", b"s")]


def _in_loop(test):
    @functools.wraps(test)
    def run(*args, **options):
        asyncio.run(asyncio.wait_for(test(*args, **options), 5.0))

    return run


def _make_downloads(link_rate=None):
    settings = types.SimpleNamespace(buffered_bytes=LIMIT, link_rate=link_rate)
    return Downloads(lambda: settings, lambda route: SIZE)


def _make_request(kind=RequestKind.DOWNLOAD, objective=10.0):
    route = Route("r", "h", "/", kind, (), 2, 10.0, objective, 1)
    return types.SimpleNamespace(
        route=route, rest=None, caller=object(), started_at=now(), deadline=now() + 10.0
    )


def _start(downloads, request, status=200, headers=SIGNED):
    """Return an `Exchange` whose head has arrived, and the task that receives it."""
    buffer = downloads.open_buffer(
        request, types.SimpleNamespace(resume_reading=lambda: None)
    )
    exchange = Exchange(b"id", None, buffer)
    receiving = asyncio.create_task(downloads.receive(request, exchange, 65536))
    exchange.status, exchange.headers = status, headers
    return exchange, receiving


def _feed(exchange, size):
    """Let bytes arrive while the connection would read them."""
    while size and exchange.body.has_room:
        part = min(size, exchange.read_size)
        exchange.body += b"x" * part
        exchange.may_read_on()
        size -= part
    exchange.wake()
    return size


def test_other_kinds_have_no_buffer_and_may_be_hedged():
    downloads = _make_downloads()
    request = _make_request(RequestKind.IDEMPOTENT)
    assert downloads.open_buffer(request, None) is None
    assert downloads.may_send_twice(request)


@_in_loop
async def test_a_response_is_held_back_until_it_is_complete():
    """Guards against a cut response that could have been requested again."""
    downloads = _make_downloads()
    exchange, receiving = _start(downloads, _make_request())
    _feed(exchange, 20_000)
    await asyncio.sleep(0.01)
    assert not receiving.done()
    assert downloads.in_flight == 1
    exchange.finish(SendOutcome.SUCCEEDED)
    await receiving
    assert downloads.in_flight == 0


@_in_loop
async def test_a_response_is_forwarded_when_its_time_is_half_over():
    """Guards against late responses because a slow target is waited for."""
    downloads = _make_downloads()
    exchange, receiving = _start(downloads, _make_request(objective=0.1))
    _feed(exchange, 20_000)
    await receiving
    assert exchange.outcome is None


@pytest.mark.parametrize(("status", "headers"), [(200, SIGNED), (500, [])])
@_in_loop
async def test_a_response_without_room_is_not_waited_for(status, headers):
    """Guards against requests that wait for room until their deadline."""
    downloads = _make_downloads()
    other = ResponseBuffer(downloads.budget, lambda: None)
    other += b"x" * (LIMIT * 3 // 4)
    exchange, receiving = _start(downloads, _make_request(), status, headers)
    assert _feed(exchange, 60_000) > 0
    await receiving
    assert downloads.budget.held <= LIMIT


@_in_loop
async def test_a_response_that_has_begun_is_requested_again_only_if_it_stalls():
    """Guards against two copies of a large response on the host's link."""
    downloads = _make_downloads(link_rate=10 * 125_000.0)
    request = _make_request()
    assert downloads.may_send_twice(request)
    exchange, receiving = _start(downloads, request)
    await asyncio.sleep(0)
    _feed(exchange, 20_000)
    assert not downloads.may_send_twice(request)
    exchange.received_at -= 1.0
    assert downloads.may_send_twice(request)
    receiving.cancel()


@_in_loop
async def test_a_target_is_released_when_all_is_received_though_nothing_was_read():
    """Guards against slots that count as taken for as long as a caller reads."""
    downloads = _make_downloads()
    exchange, _ = _start(downloads, _make_request())
    events = []
    rest = DownloadRest(exchange, downloads, now(), lambda: events.append("released"))
    reply = types.SimpleNamespace(rest=rest)
    when_received(reply, lambda: events.append("received"))
    _feed(exchange, 20_000)
    assert events == []
    exchange.finish(SendOutcome.SUCCEEDED)
    await asyncio.sleep(0)
    assert events == ["released", "received"]
    size = 0
    while part := await rest.read():
        assert downloads.budget.held == 20_000 - size
        size += len(part)
        rest.note_sent(len(part))
    assert (size, part, downloads.budget.held) == (20_000, b"", 0)
    rest.close()
    assert events == ["released", "received"]


@_in_loop
async def test_a_cut_response_has_no_end():
    """Guards against a cut response that looks whole."""
    downloads = _make_downloads()
    exchange, _ = _start(downloads, _make_request())
    rest = DownloadRest(exchange, downloads, now(), lambda: None)
    _feed(exchange, 20_000)
    exchange.finish(SendOutcome.BROKEN)
    assert await rest.read() is None
    rest.close()
    assert downloads.budget.held == 0
