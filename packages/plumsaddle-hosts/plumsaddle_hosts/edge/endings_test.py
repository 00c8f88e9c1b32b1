"""
Tests of finding out which targets have ended under which requests.
"""

import asyncio

import pytest

from plumsaddle_core.core.traffic import Bounds, HostSettings, Target, TargetState
from plumsaddle_core.ops.suspects import RunRecord

from .endings import ASKED_FOR, ASKED_MOST, CrashDetector
from .knowledge import HostState
from .link import ConnectFailure
from .metrics import EdgeMetrics

SETTINGS = HostSettings("h", "x", ("x",), "", "", "", (), "", Bounds())
ALIVE = "a connection"


class ScriptedLinks:
    """Connections that end as the test says; `opened` counts them."""

    def __init__(self, result):
        self.result = result
        self.opened = 0
        self.kept = []

    async def open(self, target):
        self.opened += 1
        await asyncio.sleep(0)
        return self.result

    def release_unused(self, life, link):
        self.kept.append(life)


def _target(number, state=TargetState.READY):
    return Target(f"t{number}", "s", "10.0.0.1:80", "x", 4, state, 0.0, 0.0)


class Case:
    """A `CrashDetector` with one target that is listed."""

    def __init__(self, result):
        self.knowledge = HostState(SETTINGS)
        self.links = ScriptedLinks(result)
        self.told = 0
        self.endings = CrashDetector(
            self.knowledge, self.links, EdgeMetrics("h"), self._on_ended
        )
        self.target = _target(1)
        self.knowledge.registry.put(self.target, 1, 0.0)

    def _on_ended(self):
        self.told += 1

    def list_as(self, state):
        """Change the target's entry."""
        self.knowledge.registry.put(_target(1, state), 2, 0.0)

    def ended(self, key):
        """Return how many lives ended under a request."""
        return self.knowledge.shared.suspects.crash_count(key)


def _run(result, act):
    async def run():
        case = Case(result)
        await act(case)
        return case

    return asyncio.run(run())


def test_a_target_that_refuses_connections_has_ended_under_what_it_ran():
    async def act(case):
        for key in ("a", "b"):
            case.endings.note_broken(case.target, key)
        await asyncio.sleep(0.01)

    case = _run(ConnectFailure.REFUSED, act)
    assert (case.ended("a"), case.ended("b")) == (1, 1)
    # One look was enough for both.
    assert case.links.opened == 1
    assert case.told == 1


def test_a_reset_by_a_target_that_lives_says_nothing_of_the_request():
    """
    A notary's look-up is refused since three busy targets reset its connections.
    """

    async def act(case):
        case.endings.note_broken(case.target, "a")
        await asyncio.sleep(0.01)
        # Nor later, when that target ends for another reason.
        case.endings.note_refused(case.target)

    case = _run(ALIVE, act)
    assert case.ended("a") == 0
    assert case.links.kept == [case.target.incarnation]


@pytest.mark.parametrize("state", [TargetState.DRAINING, None])
def test_a_target_that_leaves_ends_under_nothing(state):
    """
    A release drains a service, and what its targets cut short at their end is refused.
    """

    async def act(case):
        if state is None:
            case.knowledge.registry.drop({"t1": 2}, 0.0)
        else:
            case.list_as(state)
        case.endings.note_broken(case.target, "a")
        await asyncio.sleep(0.01)

    assert _run(ConnectFailure.REFUSED, act).ended("a") == 0


def test_a_request_that_was_given_up_is_blamed_when_its_target_ends_soon_after():
    """
    A request that ends its target after three seconds is never found out.

    Its route gives it up after one, and the target ends when nobody waits any more.
    """

    async def act(case):
        case.endings.note_unanswered(case.target, "slow")
        assert case.endings.unresolved_count("slow") == 1
        case.endings.note_refused(case.target)

    assert _run(ConnectFailure.REFUSED, act).ended("slow") == 1


def test_another_hosts_word_settles_a_look_that_met_silence():
    async def act(case):
        case.endings.note_broken(case.target, "a")
        await asyncio.sleep(0.01)
        assert case.ended("a") == 0
        note = RunRecord("b", case.target.incarnation, True)
        case.knowledge.shared.suspects.add(note, 0.0)
        case.endings.tick(0.0)

    assert _run(ConnectFailure.NO_RESPONSE, act).ended("a") == 1


def test_a_restart_under_the_same_id_ends_what_ran_in_the_former_life():
    async def act(case):
        case.endings.note_unanswered(case.target, "early")
        case.endings.note_restarted(case.target.incarnation)
        # Its connections are closed after that, which breaks the others.
        case.endings.note_broken(case.target, "late")

    case = _run(ALIVE, act)
    assert (case.ended("early"), case.ended("late")) == (1, 1)
    assert case.links.opened == 0


def test_questions_are_bounded_in_time_and_number():
    async def act(case):
        case.endings.note_unanswered(case.target, "old")
        case.endings.tick(1e9 + ASKED_FOR)
        assert case.endings.unresolved_count("old") == 0
        for number in range(2 * ASKED_MOST):
            case.endings.note_unanswered(case.target, f"k{number}")
        case.endings.note_refused(case.target)

    case = _run(ConnectFailure.REFUSED, act)
    assert case.ended("k0") == 0
    assert case.ended(f"k{2 * ASKED_MOST - 1}") == 1
