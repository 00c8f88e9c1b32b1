"""
Tests of how a host chooses among the targets of a large service, without sockets.
"""

import random

import pytest

from plumsaddle_core.core.parts import Feature
from plumsaddle_core.core.traffic import (
    Bounds,
    HostSettings,
    RequestKind,
    Target,
    TargetState,
)
from plumsaddle_core.ops.choice import ChoiceRule, RequestProfile
from plumsaddle_core.ops.news import HealthSignal

from .clock import now
from .knowledge import HostState

DEMAND = RequestProfile(RequestKind.ORDER, 0.2, 0.6, 1.5, 1.0)


def _knowledge(count, off=frozenset({Feature.FLOOR_TRIALS})):
    settings = HostSettings(
        "h", "x", ("x", "y"), "", "", "", (), "", Bounds(), None, off
    )
    knowledge = HostState(settings, random.Random(1))
    for number in range(count):
        centre = "x" if number % 2 else "y"
        target = Target(f"t{number}", "act", "", centre, 2, TargetState.READY, 0.0, 0.0)
        knowledge.registry.put(target, number, 0.0)
    return knowledge


def _choose(knowledge, excluded=frozenset()):
    choice = knowledge.choose("act", DEMAND, excluded, lambda life: False, now())
    return choice.candidate.target.id, choice.rule


def test_a_host_keeps_to_its_subset_while_that_is_good():
    """
    A host opens a new connection for each request.

    With 200 targets and ten requests a second it meets each of them once in twenty
    seconds, and targets close idle connections after ten.
    """
    knowledge = _knowledge(200)
    knowledge.shared.live_host_count = lambda: 45
    knowledge._rates["act"] = _SteadyRate()
    assert len({_choose(knowledge)[0] for _ in range(300)}) <= 48


def test_a_host_looks_further_when_its_subset_is_bad():
    """
    A host refuses or loses requests although most targets of the service are idle.

    All that it keeps to are full or fail.
    """
    knowledge = _knowledge(200)
    kept_to = {target.id for target in knowledge._subset("act", _usable(knowledge), 1)}
    for target_id in kept_to:
        knowledge.shared.note_outcome(
            target_id, "act", "r", HealthSignal.FAILED, 0.0, now()
        )
    assert _choose(knowledge)[0] not in kept_to


def test_a_subset_follows_the_list_of_targets():
    knowledge = _knowledge(200)
    first = _choose(knowledge)[0]
    knowledge.registry.drop({first: 1000}, now())
    assert first not in {_choose(knowledge)[0] for _ in range(100)}


class _SteadyRate:
    """Ten sends a second."""

    def note(self, at):
        return 10.0


def _usable(knowledge):
    return knowledge.registry.usable("act")


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_a_trial_goes_over_a_path_that_holds(is_cut_off):
    """
    Trials that should find out whether a target is sound again end in silence.

    The host's own path to it is cut, so it can learn nothing of the target.
    """
    knowledge = _knowledge(4, off=frozenset())
    at = now()
    for target_id in ("t0", "t1", "t2"):
        knowledge.shared.note_send_start(target_id, at)
    if is_cut_off:
        knowledge.shared.note_outcome(
            "t3", "act", "r", HealthSignal.UNREACHABLE, 0.3, at
        )
    chosen, rule = _choose(knowledge)
    assert (chosen == "t3" and rule is ChoiceRule.FLOOR_TRIAL) is not is_cut_off
