"""
Tests of writing to callers that read slowly or not at all.
"""

import asyncio
from types import SimpleNamespace

import pytest

from .caller_writes import write_while_taken

STALL_TIME = 0.02


def _write(sizes):
    """
    Write 100 bytes to a caller, and return whether that was completed.

    Args:
      sizes: What the caller has not acknowledged before the write and at each check;
        the write ends with the last one.
    """
    left = list(sizes)
    transport = SimpleNamespace(
        get_write_buffer_size=lambda: left.pop(0), get_extra_info=lambda name: None
    )

    async def write(part):
        while left:
            await asyncio.sleep(STALL_TIME / 10)

    request = SimpleNamespace(transport=transport)
    response = SimpleNamespace(write=write)
    return asyncio.run(write_while_taken(request, response, b"x" * 100, STALL_TIME))


@pytest.mark.parametrize(
    ("sizes", "is_written"),
    [
        ([0], True),
        ([0, 90, 50, 1], True),
        ([0, 100, 0], False),
        ([9, 50, 50, 0], False),
    ],
)
def test_a_caller_is_given_up_only_if_it_takes_nothing(sizes, is_written):
    """Guards against cutting slow callers, and against waiting for stalled ones."""
    assert _write(sizes) is is_written


def test_nothing_is_written_to_a_caller_that_has_left():
    request = SimpleNamespace(transport=None)
    assert not asyncio.run(write_while_taken(request, None, b"x", STALL_TIME))
