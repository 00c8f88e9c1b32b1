"""
Tests of the headers that pass through a host.
"""

from multidict import CIMultiDict

from .headers import KEY, pass_headers


def test_a_connection_header_takes_away_its_options_only():
    """Guards against a target that gets an order without its key or host."""
    headers = CIMultiDict(
        [
            ("Host", "a.example"),
            (KEY, "k-1"),
            ("X-Mine", "1"),
            ("Connection", "close, host, idempotency-key, x-mine"),
        ]
    )
    assert dict(pass_headers(headers)) == {"Host": "a.example", KEY: "k-1"}
