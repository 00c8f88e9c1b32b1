"""
Fleets in which some requests end their targets, under other troubles drawn by a seed.
"""

import pytest

from plumsaddle_core.core.features import Feature

from .crashes import RETRIES_MOST, play


@pytest.mark.parametrize(
    ("hosts", "seed", "seconds"), [(40, 1, 9.0), (12, 3, 15.0), (130, 5000, 15.0)]
)
def test_requests_that_end_their_targets_are_held_back_and_no_others(
    hosts, seed, seconds
):
    """
    A service is lost to one caller's request, or callers who did nothing are refused.

    Requests end each target that runs them while targets crash by themselves, releases
    go without a drain, hosts and hubs are lost, datagrams too, data centres are cut
    from each other and the store is away. In the second run a page that many ask for
    was held back: two such requests and a crash had each cut it short.
    """
    tally = play(hosts, seed, seconds)
    assert max(tally.late.values()) <= RETRIES_MOST
    assert tally.held_back == []
    assert max(tally.ended.values()) >= RETRIES_MOST


def test_without_holding_back_such_a_request_goes_on():
    """The run above finds the fault that it was made for."""
    tally = play(hosts=12, seed=3, seconds=15.0, off=frozenset({Feature.SUSPECT_HOLDS}))
    assert max(tally.late.values()) > RETRIES_MOST
