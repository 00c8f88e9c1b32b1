"""
Tests of the targets that a host considers while room is scarce.
"""

import random
from collections import Counter

from .view import TargetLoad, crowded_targets, make_view

LOADS = [TargetLoad(f"t{n}", 2, 1, 0.05) for n in range(8)]
FAILING = TargetLoad("failing", 2, 0, 0.7)
FULL = TargetLoad("full", 2, 5, 0.05)
ALL = [*LOADS, FAILING, FULL]


def _crowded(demand, urgency=0.0, tried=(), seed=1):
    view = make_view(ALL, 1, demand)
    return crowded_targets(view, tried, urgency, random.Random(seed))


def test_only_full_targets_are_crowded_while_there_is_room():
    assert _crowded(demand=10.0) == {"full"}
    assert _crowded(demand=10.0, urgency=1.0) == set()


def test_hosts_choose_different_targets_while_room_is_scarce():
    """Guards against a herd of hosts that all send to the same free slots."""
    names = {load.id for load in ALL}
    kept = Counter(
        name for seed in range(400) for name in names - _crowded(300.0, seed=seed)
    )
    assert set(kept) == {load.id for load in LOADS}
    assert max(kept.values()) < 2 * min(kept.values())


def test_tried_targets_do_not_use_up_the_choices():
    """Guards against a retry that has no target although some have room."""
    tried = {"t0", "t1", "t2", "t3"}
    for seed in range(50):
        assert {load.id for load in LOADS} - tried - _crowded(300.0, 0.0, tried, seed)


def test_view_without_sound_targets_promises_nothing():
    view = make_view([FAILING], 3, 10.0)
    assert view.outlook.slots == 0
    assert view.is_scarce
    assert crowded_targets(view, (), 1.0, random.Random(1)) == set()
