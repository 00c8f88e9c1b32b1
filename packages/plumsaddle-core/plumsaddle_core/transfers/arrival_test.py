"""
Tests of which responses go on when their routes' timeouts have passed.
"""

import pytest

from .arrival import Arrival, latest_end


@pytest.mark.parametrize(
    "length, count, seconds, is_complete",
    [
        (1000, 500, 4.0, True),
        (1000, 400, 4.0, False),
        (1000, 0, 4.0, True),
        (100_000_000_000, 900_000_000, 4.0, False),
        (None, 500, 4.0, False),
        (1000, 990, 8.0, False),
    ],
)
def test_responses_go_on_if_they_end_in_time(length, count, seconds, is_complete):
    """Guards against cutting a response whose caller would have received it."""
    arrival = Arrival(length, 0, 0.0)
    arrival.note(count)
    assert arrival.is_complete_by(8.0, seconds) is is_complete


@pytest.mark.parametrize(
    "stated, end", [(None, 14.0), (3.0, 13.0), (6.0, 16.0), (1e6, 18.0)]
)
def test_no_response_goes_on_beyond_its_callers_time(stated, end):
    """Guards against slots that are kept for as long as a caller states."""
    assert latest_end(10.0, stated, 4.0) == end
