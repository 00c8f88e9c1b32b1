"""
Tests of the decoder of chunked bodies.
"""

import random

import pytest

from .chunks import MAX_LINE_BYTES, MAX_TRAILER_BYTES, ChunkDecoder, ChunkError


def _decode(data, pieces):
    """Feed data in pieces of some sizes, and return the body and what is left."""
    decoder, body, at = ChunkDecoder(), b"", 0
    rest = b""
    for size in pieces:
        rest += data[at : at + size]
        at += size
        before = None
        while rest and not decoder.is_done and rest != before:
            before = rest
            part, rest = decoder.feed(rest)
            body += part
    return body, rest + data[at:], decoder


@pytest.mark.parametrize("seed", range(40))
def test_bodies_are_the_same_in_whatever_pieces_they_arrive(seed):
    """Guards against orders that reach a target with another body."""
    rng = random.Random(seed)
    body = bytes(rng.randrange(256) for _ in range(rng.randrange(3000)))
    wire, at = b"", 0
    while at < len(body):
        size = rng.choice([1, 1, 2, 16, 700])
        part = body[at : at + size]
        extension = rng.choice([b"", b"", b";a=b", b" ;x", b";"])
        wire += b"%x%b\r\n%b\r\n" % (len(part), extension, part)
        at += size
    wire += b"0\r\n" + rng.choice([b"", b"X: y\r\n" * 3]) + b"\r\n"
    pieces = [rng.choice([1, 2, 3, 50, 100_000]) for _ in range(len(wire))]
    decoded, rest, decoder = _decode(wire + b"GET /next", pieces)
    assert decoder.is_done
    assert (decoded, rest) == (body, b"GET /next")


@pytest.mark.parametrize(
    "wire",
    [
        b"g\r\n",
        b"-1\r\n",
        b"+1\r\nx\r\n",
        b"0x1\r\nx\r\n",
        b"1_0\r\n",
        b" 1\r\nx\r\n",
        b"\r\n",
        b"1\nx\n0\n\n\r\n",
        b"1\r\nxx\r\n",
        b"1\r\nx0\r\n\r\n",
        b"1" * 16 + b"\r\n",
        b"1;" + b"x" * MAX_LINE_BYTES,
        b"1;a\rb\r\n",
        b"0\r\nX: " + b"y" * MAX_TRAILER_BYTES,
        b"0\r\n" + b"X: y\r\n" * MAX_TRAILER_BYTES,
    ],
)
@pytest.mark.parametrize("size", [1, 100_000])
def test_what_is_no_chunked_body_is_refused(wire, size):
    """Guards against bodies that hide a request, and lines or trailers without end."""
    with pytest.raises(ChunkError):
        _decode(wire, [size] * len(wire))


def test_nothing_but_a_line_is_held():
    """Guards against a host that outgrows its memory for chunks of a byte."""
    decoder = ChunkDecoder()
    body, rest = decoder.feed(b"1\r\nx\r\n" * 10_000)
    assert 0 < len(body) < 1000
    assert len(rest) > 50_000
    assert len(decoder._held) < MAX_LINE_BYTES
