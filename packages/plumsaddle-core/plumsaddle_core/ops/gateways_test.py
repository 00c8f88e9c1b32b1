"""
Tests of the choice of gateways.
"""

import random
from collections import Counter

from .gateways import FAILED_TTL, MAX_GATEWAYS_TO_ASK, REMOTE_TTL, Gateways

LOCAL = ["10.0.0.1:7000", "10.0.0.2:7000"]
REMOTE = ["10.1.0.1:7000", "10.2.0.1:7000"]


def _gateways(local=LOCAL, others=2):
    gateways = Gateways(lambda now: (local, others), random.Random(1))
    gateways.note_remote(REMOTE[:1], 0.0)
    gateways.note_remote(REMOTE[1:], 0.0)
    return gateways


def test_gateways_of_the_own_data_centre_come_first():
    choices = [_gateways().choose(0.0) for _ in range(20)]
    assert all(set(choice[:2]) == set(LOCAL) for choice in choices)
    assert all(len(choice) == MAX_GATEWAYS_TO_ASK for choice in choices)


def test_the_last_host_of_a_data_centre_does_not_carry_all_others():
    """Guards against a gateway that is overloaded, and whose callers suffer."""
    gateways = _gateways(LOCAL[:1], others=11)
    first = Counter(gateways.choose(0.0)[0] for _ in range(1000))
    assert 100 < first[LOCAL[0]] < 260
    assert min(first[address] for address in REMOTE) > 300


def test_a_data_centre_without_gateways_uses_those_of_others():
    gateways = _gateways([], others=11)
    assert set(gateways.choose(0.0)) == set(REMOTE)
    assert not gateways.choose(REMOTE_TTL)


def test_a_gateway_that_failed_is_not_asked_for_a_while():
    """Guards against requests that all wait for the same lost gateway."""
    gateways = _gateways()
    gateways.note_failed(LOCAL[0], 0.0)
    assert LOCAL[0] not in gateways.choose(FAILED_TTL - 0.1)
    assert LOCAL[0] in gateways.choose(FAILED_TTL)
    gateways.note_failed(LOCAL[0], 2.0)
    gateways.note_worked(LOCAL[0])
    assert LOCAL[0] in gateways.choose(2.1)


def test_a_remote_gateway_stays_known_between_two_namings():
    """Guards against tunnels that are dropped each second, as others are named."""
    gateways = Gateways(lambda now: ([], 0), random.Random(1))
    gateways.note_remote(REMOTE[:1], 0.0)
    gateways.note_remote(REMOTE[1:], 1.0)
    assert all(gateways.is_known(address, 1.0) for address in REMOTE)
    assert not gateways.is_known(REMOTE[0], REMOTE_TTL)
    assert gateways.is_known(REMOTE[1], REMOTE_TTL)
