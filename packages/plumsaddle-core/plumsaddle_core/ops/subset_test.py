"""
Tests of the targets that hosts keep to, for a service of 240 and 45 hosts.
"""

from collections import Counter

import pytest

from ..core.traffic import Target, TargetState
from .subset import NEAR_LEAST, NEAR_MOST, EventRate, order_targets, subset_size

CENTRES = ("x", "y", "z")
HOSTS = [f"host-{number}" for number in range(45)]


def _target(number):
    centre = CENTRES[number % 3]
    return Target(f"t{number}", "act", "a", centre, 2, TargetState.READY, 0.0, 0.0)


TARGETS = [_target(number) for number in range(240)]


def test_every_target_has_its_hosts():
    """
    Some targets stand idle for ever, since no host has drawn them.

    The hosts of each data centre draw, and together they must reach all targets, also
    when each sends so little that it could do with a few.
    """
    used = Counter()
    count = subset_size(80, len(HOSTS), 0.5)
    for host in HOSTS:
        for centre in CENTRES:
            ranked = order_targets(TARGETS, f"{centre}-{host}", centre)
            subset = ranked.subset(count)
            assert len(subset) <= 1.5 * count + 1
            used.update(target.id for target in subset)
    assert len(used) == len(TARGETS)
    mean = sum(used.values()) / len(used)
    assert min(used.values()) > mean / 4
    assert max(used.values()) < mean * 2.5


def test_a_target_that_leaves_moves_one_place():
    """Hosts would open all their connections anew at each change of the list."""
    before = {t.id for t in order_targets(TARGETS, "h", "x").subset(12)}
    after = {t.id for t in order_targets(TARGETS[1:], "h", "x").subset(12)}
    assert len(before - after) <= 1
    assert len(after - before) <= 1


@pytest.mark.parametrize(
    ("near", "hosts", "rate", "size"),
    [
        (40, 43, 1.6, 6),
        (72, 59, 1.4, 8),
        (80, 45, 10.0, 30),
        (80, 1, 1.0, NEAR_MOST),
        (6, 59, 0.2, NEAR_LEAST),
    ],
)
def test_a_subset_is_as_large_as_a_hosts_load(near, hosts, rate, size):
    """
    Half of all sends open a connection.

    A host that sends one or two requests a second kept to 48 targets, and came back to
    each after half a minute.
    """
    assert subset_size(near, hosts, rate) == size


def test_a_rate_follows_what_happens():
    rate = EventRate()
    for step in range(200):
        known = rate.note(step * 0.25)
    assert known == pytest.approx(4.0, rel=0.1)
    assert rate.note(1000.0) < 0.3
