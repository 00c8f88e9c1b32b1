"""
Tests of the model of requests that reach a draining host.
"""

import pytest

from .drain_start_model import ROUTES, compare


@pytest.mark.parametrize("samples", [0, 8])
@pytest.mark.parametrize("grace", [2.0, 3.0, 4.0, 6.0])
def test_requests_are_begun_that_end_in_time(grace, samples):
    """Guards against orders that are cut, and requests that are late by a move."""
    for route in ROUTES.values():
        rows = compare(1, route, grace, samples)
        kept, former = rows["by_latest_send"], rows["by_typical_duration"]
        assert kept["cut"] <= max(0.01, 0.4 * former["cut"])
        in_time = [row["served"] + row["moved"] for row in (kept, former)]
        # Some refuse all, and lose nothing but the callers' time.
        assert in_time[0] >= in_time[1] - 0.01
