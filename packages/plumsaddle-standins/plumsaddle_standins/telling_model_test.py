"""
Tests of what telling each other costs hosts, at two sizes of a data centre.
"""

from .telling_model import play


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
