"""
Tests of subsetting, with 240 targets and 45 hosts per data centre.
"""

from collections import Counter

import pytest

from ..core.traffic import Target, TargetState
from .subset import (
    MAX_LOCAL_TARGETS,
    MIN_LOCAL_TARGETS,
    EventRate,
    order_targets,
    subset_size,
)

CENTRES = ("x", "y", "z")
HOSTS = [f"host-{number}" for number in range(45)]


def _target(number):
    data_centre = CENTRES[number % 3]
    return Target(f"t{number}", "act", "a", data_centre, 2, TargetState.READY, 0.0, 0.0)


TARGETS = [_target(number) for number in range(240)]


def test_every_target_is_in_some_hosts_subset():
    """Targets outside of all subsets would stay idle, also at a low request rate."""
    used = Counter()
    count = subset_size(80, len(HOSTS), 0.5)
    for host in HOSTS:
        for data_centre in CENTRES:
            ordered = order_targets(TARGETS, f"{data_centre}-{host}", data_centre)
            subset = ordered.subset(count)
            assert len(subset) <= 1.5 * count + 1
            used.update(target.id for target in subset)
    assert len(used) == len(TARGETS)
    mean = sum(used.values()) / len(used)
    assert min(used.values()) > mean / 4
    assert max(used.values()) < mean * 2.5


def test_a_removed_target_changes_one_place():
    """Otherwise hosts would reopen their connections at each change of the list."""
    before = {t.id for t in order_targets(TARGETS, "h", "x").subset(12)}
    after = {t.id for t in order_targets(TARGETS[1:], "h", "x").subset(12)}
    assert len(before - after) <= 1
    assert len(after - before) <= 1


@pytest.mark.parametrize(
    ("local", "hosts", "rate", "size"),
    [
        (40, 43, 1.6, 6),
        (72, 59, 1.4, 8),
        (80, 45, 10.0, 30),
        (80, 1, 1.0, MAX_LOCAL_TARGETS),
        (6, 59, 0.2, MIN_LOCAL_TARGETS),
    ],
)
def test_the_subset_size_follows_the_hosts_request_rate(local, hosts, rate, size):
    """With a subset too large for its rate, a host would rarely reuse a connection."""
    assert subset_size(local, hosts, rate) == size


def test_the_event_rate_follows_the_events():
    rate = EventRate()
    for step in range(200):
        known = rate.note_event(step * 0.25)
    assert known == pytest.approx(4.0, rel=0.1)
    assert rate.note_event(1000.0) < 0.3
