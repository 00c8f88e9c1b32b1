"""
Tests of the rules for large responses.
"""

from .download_rules import STALL_TIME, hold_time, may_send_twice

SLOW, FAST = 5 * 125_000.0, 100 * 125_000.0


def test_a_response_that_has_begun_is_not_requested_twice_unless_it_stalls():
    """Guards against a second copy of bytes that are already on their way."""
    assert not may_send_twice(90_000, 0, FAST, 3.0, 0.1)
    assert may_send_twice(90_000, 0, FAST, 3.0, STALL_TIME)
    assert may_send_twice(90_000, 0, FAST, 3.0, None)


def test_a_second_send_is_weighed_against_the_link():
    """Guards against slow links that carry each large response twice."""
    assert may_send_twice(90_000, 0, SLOW, 3.0, None)
    assert not may_send_twice(540_000, 0, SLOW, 3.0, None)
    assert not may_send_twice(90_000, 6, SLOW, 3.0, None)
    assert not may_send_twice(90_000, 0, SLOW, 0.5, None)
    assert may_send_twice(540_000, 6, FAST, 3.0, None)
    assert may_send_twice(540_000, 6, None, 3.0, None)


def test_a_response_is_held_back_only_while_it_can_still_be_sent_in_time():
    """Guards against responses that are late because they were complete first."""
    assert hold_time(3.0, 90_000, None) == 1.5
    assert hold_time(1.0, 540_000, SLOW) < 0.1
    assert hold_time(-1.0, 90_000, FAST) == 0.0
