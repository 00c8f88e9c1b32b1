"""
Tests of the ways to serve callers of partitioned hosts, in virtual time.
"""

import pytest

from .partition_model import Case, play


@pytest.mark.parametrize("hosts, centres", [(40, 3), (133, 3)])
@pytest.mark.parametrize("cut, is_whole", [(0.5, False), (None, True)])
def test_callers_of_partitioned_hosts_are_served_at_scale(
    hosts, centres, cut, is_whole
):
    """Guards against gateways that are not found, or carry more than they can."""
    outcome = play(Case(hosts, centres, cut or 1 / centres, is_whole), "shared", 1)
    assert outcome.served > 0.95
    assert outcome.served_at_others > 0.95
