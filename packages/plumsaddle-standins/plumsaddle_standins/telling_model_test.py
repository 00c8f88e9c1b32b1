"""
Tests of what telling each other costs hosts, at two sizes of a data centre.
"""

import pytest

from .telling_model import play, spread

# Seconds after which each host must know under which requests targets have ended.
KNOWN_WITHIN = 3.0


def test_a_hub_costs_a_host_little_at_any_size():
    """
    Hosts of a data centre of sixty spend more on telling each other than on requests,
    and days of 293 hosts use up the processor time that they may take.

    Each host told each other one, so what a host sends and takes grew with their
    number. With a hub a host takes fewer datagrams in a large data centre than in a
    small one, since more is told together.
    """
    small, large = play(12, True), play(40, True)
    assert large.taken < small.taken
    assert large.taken < play(40, False).taken / 5
    # Half of the targets have one request; what hosts do not know yet is a part of it.
    assert large.error < 0.2


@pytest.mark.parametrize("has_hub_lost", [False, True], ids=["hub", "hub-lost"])
@pytest.mark.parametrize("count", [12, 60])
def test_all_know_in_time_of_an_end_although_datagrams_are_lost(count, has_hub_lost):
    """
    A request goes on to further targets at hosts that did not hear of its ends.

    A fifth of all datagrams is lost, and the hub at the very moment. Three seconds
    after the third end each host must know.
    """
    assert spread(count, 0.2, has_hub_lost) < KNOWN_WITHIN
