"""
Tests of parts that end by an exception.
"""

import asyncio
import logging

import pytest

from . import supervision
from .supervision import keep_running


def test_a_part_that_fails_is_started_again(caplog, monkeypatch):
    """Guards against a process that runs on for good without one of its parts."""
    monkeypatch.setattr(supervision, "RESTART_DELAY", 0.0)
    runs = []

    async def run():
        runs.append(1)
        if len(runs) < 4:
            raise ValueError("odd record")
        return "ended"

    with caplog.at_level(logging.ERROR):
        assert asyncio.run(keep_running("feed", run)) == "ended"
    assert [record.part for record in caplog.records] == ["feed"] * 3


def test_a_part_is_cancelled_as_usual():
    async def play():
        task = asyncio.ensure_future(keep_running("feed", asyncio.Event().wait))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(play())
