"""
Tests of the requests that are forwarded.
"""

from types import SimpleNamespace

from .outgoing import Owner, make_head


def _head(*headers):
    fields = {"method": "GET", "path": "/a", "owner": Owner(), "length": 0}
    request = SimpleNamespace(headers=headers, body=b"", **fields)
    return make_head(request, SimpleNamespace(id="t-1"), 1.0).lower().split(b"\r\n")


def test_a_connection_header_does_not_take_away_what_targets_need():
    """Guards against a target that runs a request without its id or host."""
    lines = _head(
        (b"Host", b"a.example"),
        (b"Request-Id", b"id-1"),
        (b"Content-Type", b"text/plain"),
        (b"X-Mine", b"1"),
        (b"Connection", b"close, request-id, host, content-type, x-mine"),
    )
    assert b"host: a.example" in lines
    assert b"request-id: id-1" in lines
    assert b"content-type: text/plain" in lines
    assert not any(line.startswith((b"connection", b"x-mine")) for line in lines)
