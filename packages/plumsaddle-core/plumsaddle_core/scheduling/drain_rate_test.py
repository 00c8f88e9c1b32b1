"""
Tests of the expected wait in a queue.
"""

from .drain_rate import MIN_AHEAD, DrainRate


def _served(count, busy_for=2.0):
    rate = DrainRate()
    rate.note_length(1, 10.0 - busy_for)
    for number in range(count):
        rate.note_served(9.0 + (number + 1) / count)
    return rate


def test_clump_is_expected_to_be_served_at_capacity():
    """Guards against refusing most of a clump that targets can serve in time."""
    assert not _served(0, busy_for=0.1).is_hopeless(30, 50.0, 1.0, 10.0)
    assert _served(0, busy_for=0.1).is_hopeless(80, 50.0, 1.0, 10.0)


def test_lasting_overload_refuses_what_cannot_be_in_time():
    """Guards against a demand at twice the room that makes all requests late."""
    assert _served(10).is_hopeless(15, 50.0, 1.0, 10.0)
    assert not _served(10).is_hopeless(5, 50.0, 1.0, 10.0)


def test_short_queue_refuses_nobody():
    """Guards against refusals because of an uncertain rate."""
    assert not _served(0).is_hopeless(MIN_AHEAD - 1, 50.0, 0.1, 10.0)
