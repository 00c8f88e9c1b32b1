"""
Tests of the durations of sends.
"""

import asyncio

import pytest

from plumsaddle_core.core.traffic import RequestKind

from . import send_timing
from .send_timing import SendTiming

OVERDUE_AFTER = 1.0


@pytest.mark.parametrize(
    ("kind", "head_at", "end_at", "waited", "is_overdue"),
    [
        (RequestKind.DOWNLOAD, 0.2, 3.0, 0.2, False),
        (RequestKind.DOWNLOAD, 1.5, 3.0, 1.5, True),
        (RequestKind.DOWNLOAD, None, 0.5, 0.5, False),
        (RequestKind.IDEMPOTENT, 0.2, 3.0, 3.0, True),
        (RequestKind.IDEMPOTENT, 0.2, 0.5, 0.5, False),
    ],
)
def test_a_large_response_that_has_begun_is_not_overdue(
    monkeypatch, kind, head_at, end_at, waited, is_overdue
):
    """Guards against targets that look slow since their responses are large."""
    at = 0.0
    monkeypatch.setattr(send_timing, "now", lambda: at)
    loop = asyncio.new_event_loop()
    timer = loop.call_at(OVERDUE_AFTER, lambda: None)
    timing = SendTiming(kind, timer, lambda: at)
    if head_at is not None:
        at = head_at
        timing.note_head()
    at = end_at
    timing.stop()
    assert (timing.seconds, timing.waited) == (end_at, waited)
    assert timing.is_overdue is is_overdue
    assert timer.cancelled()
    loop.close()
