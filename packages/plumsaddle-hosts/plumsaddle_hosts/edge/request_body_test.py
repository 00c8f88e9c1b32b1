"""
Tests of bodies that are streamed.
"""

import asyncio

import pytest
from aiohttp import web

from .request_body import BodyStream


class Content:
    """A stream of some parts."""

    def __init__(self, *parts):
        self._parts = [*parts, b""]

    async def readany(self):
        """Return the next part, b"" at the end."""
        return self._parts.pop(0)


async def _join(parts):
    return b"".join([part async for part in parts])


def test_a_streamed_body_is_taken_once():
    """Guards against a second request with the parts that the first one left."""
    stream = BodyStream(Content(b"ab", b"c"), 3)
    assert not stream.is_taken
    parts = stream.take()
    # It counts from the first send on, not only once its bytes are read.
    assert stream.is_taken
    with pytest.raises(AssertionError):
        stream.take()
    assert asyncio.run(_join(parts)) == b"abc"


def test_a_streamed_body_is_limited():
    parts = BodyStream(Content(b"ab", b"c"), 2).take()
    with pytest.raises(web.RequestPayloadError):
        asyncio.run(_join(parts))
