"""
Tests of what a connection accepts as a response, without sockets.
"""

import pytest

from plumsaddle_core.core.traffic import SendOutcome

from .target_connection import TargetConnection

HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"5\r\nwhole\r\n"
# Forms of bytes without end: how they begin, and what is repeated.
ENDLESS = {
    "header value": (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 1000),
    "header name": (b"HTTP/1.1 200 OK\r\n", b"x" * 1000),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 150),
    "reason": (b"HTTP/1.1 200 ", b"x" * 1000),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 30),
    "responses to others": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: o\r\nContent-Length: 2\r\n\r\nno" * 15,
    ),
    "body of another response": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n",
        b"x" * 1000,
    ),
    "trailer lines": (HEAD + CHUNK + b"0\r\n", b"X: y\r\n" * 150),
    "trailer value": (HEAD + CHUNK + b"0\r\nX: ", b"x" * 1000),
    "chunk extension": (HEAD + b"5;x=", b"x" * 1000),
}
MAX_BYTES = 5_000_000


class _Transport:
    """A transport that accepts everything."""

    def __init__(self):
        self.is_aborted = False

    def write(self, data):
        pass

    def pause_reading(self):
        pass

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True


def _begin_exchange():
    connection = TargetConnection(lambda connection, exc: None)
    connection.connection_made(_Transport())
    return connection, connection.start_exchange(b"", b"id-1")


@pytest.mark.parametrize("form", ENDLESS)
def test_bytes_without_end_are_no_response(form):
    """A target sent bytes that were no answer, until the host had no memory left."""
    begin, piece = ENDLESS[form]
    connection, exchange = _begin_exchange()
    connection.data_received(begin)
    count = 0
    while exchange.outcome is None and count < MAX_BYTES:
        connection.data_received(piece)
        count += len(piece)
    assert exchange.outcome is SendOutcome.BROKEN
    assert sum(len(n) + len(v) for n, v in connection._headers) < 100_000
    connection.end_exchange()
    assert connection.is_closed


@pytest.mark.parametrize("size", [1, 7, 1000, 100_000])
def test_long_responses_with_many_parts_are_received(size):
    """Guards against limits that end a response because it is long."""
    connection, exchange = _begin_exchange()
    interim = b"HTTP/1.1 103 Early Hints\r\nX: " + b"y" * 1000 + b"\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (size, b"z" * size)
    trailer = b"0\r\nX: " + b"y" * 1000 + b"\r\n\r\n"
    data = interim * 5 + HEAD + chunk * (2_000_000 // size) + trailer
    for start in range(0, len(data), 10_000):
        connection.data_received(data[start : start + 10_000])
    assert exchange.outcome is SendOutcome.SUCCEEDED
    assert len(exchange.body) == 2_000_000 // size * size


@pytest.mark.parametrize("more", [b"", b"Content-Length: 0\r\n", b"Transfer-"])
def test_a_head_that_breaks_off_is_no_response(more):
    """A target closed in the middle of its head, and callers got a whole response."""
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nResponse-Signature: s\r\n" + more
    for end in range(len(head) + 1):
        connection, exchange = _begin_exchange()
        connection.data_received(head[:end])
        connection.eof_received()
        connection.connection_lost(None)
        assert exchange.outcome is SendOutcome.BROKEN, head[:end]
        assert not exchange.has_head
