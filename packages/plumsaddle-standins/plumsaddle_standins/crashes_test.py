"""
Fleets in which some requests end their targets, under other troubles drawn by a seed.
"""

import pytest

from plumsaddle_core.core.parts import Part

from .crashes import RETRIES_MOST, play


@pytest.mark.parametrize("seed", [1, 3])
def test_requests_that_end_their_targets_are_held_back_and_no_others(seed):
    """
    A service is lost to one caller's request, or callers who did nothing are refused.

    Requests end each target that runs them while targets crash by themselves, releases
    go without a drain, hosts and hubs are lost, datagrams too, data centres are cut
    from each other and the store is away.
    """
    tally = play(hosts=40, seed=seed, seconds=9.0)
    assert max(tally.late.values()) <= RETRIES_MOST
    assert tally.held_back == 0
    assert max(tally.ended.values()) >= RETRIES_MOST


def test_without_holding_back_such_a_request_goes_on():
    """The run above finds the fault that it was made for."""
    tally = play(hosts=12, seed=3, seconds=15.0, off=frozenset({Part.HOLDING_BACK}))
    assert max(tally.late.values()) > RETRIES_MOST
