"""
Tests of how the bytes of a tunnel are framed.
"""

import asyncio

import pytest

from plumsaddle_core.core.traffic import SendOutcome

from .tunnel import TunnelledConnection, encode_frame

RESPONSE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: t.r-1\r\n\r\nbody"
)


class _Transport:
    def write(self, data):
        pass

    def close(self):
        self.is_closed = True

    abort = close

    def is_closing(self):
        return False

    def pause_reading(self):
        pass

    resume_reading = pause_reading


def _receive(data, step, is_ended):
    """Return the exchange after data came in parts of some bytes."""

    async def run():
        connection = TunnelledConnection("10.0.0.1:7000", 0.0, lambda *args: None)
        connection.connection_made(_Transport())
        exchange = connection.start_exchange(b"", b"r-1")
        for start in range(0, len(data), step):
            connection.data_received(memoryview(data)[start : start + step])
        if is_ended:
            connection.eof_received()
            connection.connection_lost(None)
        return exchange

    return asyncio.run(run())


def _frames(size):
    parts = [RESPONSE[n : n + size] for n in range(0, len(RESPONSE), size)]
    return b"".join(b"".join(encode_frame(part)) for part in parts)


@pytest.mark.parametrize("step", [1, 3, 1000])
@pytest.mark.parametrize("size", [1, 7, 1000])
def test_frames_may_arrive_in_any_parts(size, step):
    """Guards against lengths of frames that reach the response."""
    data = _frames(size) + b"".join(encode_frame(b""))
    exchange = _receive(data, step, is_ended=False)
    assert exchange.outcome is SendOutcome.SUCCEEDED
    assert bytes(exchange.body) == b"body"


def test_a_tunnel_that_ends_without_a_last_frame_is_broken():
    """Guards against a lost gateway that completes a response without a length."""
    exchange = _receive(_frames(7), 5, is_ended=True)
    assert exchange.outcome is SendOutcome.BROKEN
