"""
Tests of the targets that hosts keep to, for a service of 240 and 45 hosts.
"""

from collections import Counter

from ..core.traffic import Target, TargetState
from .subset import AWAY_MOST, NEAR_MOST, draw_subset

CENTRES = ("x", "y", "z")
HOSTS = [f"host-{number}" for number in range(45)]


def _target(number):
    centre = CENTRES[number % 3]
    return Target(f"t{number}", "act", "a", centre, 2, TargetState.READY, 0.0, 0.0)


TARGETS = [_target(number) for number in range(240)]


def test_a_small_service_is_used_whole():
    assert draw_subset(TARGETS[:40], "h", "x") == TARGETS[:40]


def test_every_target_has_its_hosts():
    """
    Some targets stand idle for ever, since no host has drawn them.

    The hosts of each data centre draw, and together they must reach all targets.
    """
    used = Counter()
    for host in HOSTS:
        for centre in CENTRES:
            subset = draw_subset(TARGETS, f"{centre}-{host}", centre)
            assert len(subset) == NEAR_MOST + AWAY_MOST
            used.update(target.id for target in subset)
    assert len(used) == len(TARGETS)
    mean = sum(used.values()) / len(used)
    assert min(used.values()) > mean / 2
    assert max(used.values()) < mean * 2


def test_a_target_that_leaves_moves_one_place():
    """Hosts would open all their connections anew at each change of the list."""
    before = {t.id for t in draw_subset(TARGETS, "h", "x")}
    after = {t.id for t in draw_subset(TARGETS[1:], "h", "x")}
    assert len(before - after) <= 1
    assert len(after - before) <= 1
