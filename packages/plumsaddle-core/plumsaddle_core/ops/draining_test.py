"""
Tests of what a host that shuts down may still begin.
"""

import pytest

from .draining import (
    BodyProgress,
    Durations,
    latest_send,
    latest_start,
    may_stream,
)


def test_a_request_needs_a_multiple_of_its_typical_duration():
    assert latest_start(10.0, 0.4) == pytest.approx(9.2)
    assert latest_start(10.0, 0.01) == pytest.approx(9.5)


@pytest.mark.parametrize(
    ("progress", "expected"),
    [
        (BodyProgress(100_000, 300_000, 1.0), 2.0),
        (BodyProgress(300_000, 300_000, 1.0), 0.0),
        (BodyProgress(100_000, None, 1.0), 1.0),
        (BodyProgress(0, 300_000, 1.0), 0.0),
    ],
)
def test_the_pace_of_a_body_tells_when_it_has_arrived(progress, expected):
    assert progress.time_left() == pytest.approx(expected)


def test_a_body_that_would_arrive_too_late_is_not_streamed():
    assert may_stream(BodyProgress(500_000, 1_000_000, 1.0), 5.0, 3.9)
    assert not may_stream(BodyProgress(500_000, 1_000_000, 1.0), 5.0, 4.1)
    assert not may_stream(BodyProgress(500_000, None, 1.0), 5.0, 4.1)
    assert not may_stream(BodyProgress(300_000, 300_000, 0.1), 5.0, 5.1)


@pytest.mark.parametrize(
    ("durations", "deadline", "expected"),
    [
        # Nearly all end within the longest recent duration, and some more.
        (Durations(1.0, 2.0, True), 20.0, 7.6),
        (Durations(0.1, 0.1, True), 20.0, 9.5),
        # The deadline comes before the end.
        (Durations(1.0, 8.0, True), 9.9, 9.5),
        # Without enough samples a request may take most of its time.
        (Durations(0.3, 0.0, False), 11.0, 7.67),
        (Durations(0.3, 2.0, False), 10.5, 7.6),
        (Durations(1.5, 0.0, False), 10.5, 7.0),
    ],
)
def test_a_request_is_sent_if_it_ends_in_time(durations, deadline, expected):
    """Guards against orders of unknown duration that are cut at the end."""
    assert latest_send(10.0, deadline, durations) == pytest.approx(expected, abs=0.01)


def test_a_request_to_a_busy_target_needs_more_time():
    assert latest_send(10.0, 20.0, Durations(1.0, 2.0, True), 2.0) == pytest.approx(5.2)
