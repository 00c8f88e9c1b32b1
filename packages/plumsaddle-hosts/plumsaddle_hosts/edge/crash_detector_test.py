"""
Tests of the detection of crashes of targets and of the requests that they ran.
"""

import asyncio

import pytest

from plumsaddle_core.core.traffic import Bounds, HostSettings, Target, TargetState
from plumsaddle_core.ops.suspects import RunRecord

from .crash_detector import MAX_UNRESOLVED, UNRESOLVED_TTL, CrashDetector
from .host_state import HostState
from .metrics import EdgeMetrics
from .target_connection import ConnectFailure

SETTINGS = HostSettings("h", "x", ("x",), "", "", "", (), "", Bounds())
ALIVE = "a connection"


class FakeConnectionPool:
    """Opens connections with a set result; `opened` counts them."""

    def __init__(self, result):
        self.result = result
        self.opened = 0
        self.pooled = []

    async def open(self, target):
        self.opened += 1
        await asyncio.sleep(0)
        return self.result

    def release_unused(self, incarnation, connection):
        self.pooled.append(incarnation)


def _target(number, state=TargetState.READY):
    return Target(f"t{number}", "s", "10.0.0.1:80", "x", 4, state, 0.0, 0.0)


class Fixture:
    """A `CrashDetector` and one listed target."""

    def __init__(self, result):
        self.host_state = HostState(SETTINGS)
        self.pool = FakeConnectionPool(result)
        self.reported = 0
        self.detector = CrashDetector(
            self.host_state, self.pool, EdgeMetrics("h"), self._on_crash
        )
        self.target = _target(1)
        self.host_state.registry.put(self.target, 1, 0.0)

    def _on_crash(self):
        self.reported += 1

    def set_target_state(self, state):
        """Change the state in the target's entry."""
        self.host_state.registry.put(_target(1, state), 2, 0.0)

    def crash_count(self, key):
        """Return how many incarnations crashed while they ran a request."""
        return self.host_state.shared.suspects.crash_count(key)


def _run(result, act):
    async def run():
        fixture = Fixture(result)
        await act(fixture)
        return fixture

    return asyncio.run(run())


def test_refused_connection_attributes_crash_to_running_requests():
    async def act(fixture):
        for key in ("a", "b"):
            fixture.detector.note_broken(fixture.target, key)
        await asyncio.sleep(0.01)

    fixture = _run(ConnectFailure.REFUSED, act)
    assert (fixture.crash_count("a"), fixture.crash_count("b")) == (1, 1)
    # One probe serves both requests.
    assert fixture.pool.opened == 1
    assert fixture.reported == 1


def test_reset_by_live_target_is_not_attributed_to_request():
    """Guards against holding back a request because busy targets reset connections."""

    async def act(fixture):
        fixture.detector.note_broken(fixture.target, "a")
        await asyncio.sleep(0.01)
        # A later crash for another reason isn't attributed to it either.
        fixture.detector.note_refused(fixture.target)

    fixture = _run(ALIVE, act)
    assert fixture.crash_count("a") == 0
    assert fixture.pool.pooled == [fixture.target.incarnation]


@pytest.mark.parametrize("state", [TargetState.DRAINING, None])
def test_stop_of_draining_or_unlisted_target_is_not_a_crash(state):
    """Guards against holding back requests that targets cut short during a release."""

    async def act(fixture):
        if state is None:
            fixture.host_state.registry.drop({"t1": 2}, 0.0)
        else:
            fixture.set_target_state(state)
        fixture.detector.note_broken(fixture.target, "a")
        await asyncio.sleep(0.01)

    assert _run(ConnectFailure.REFUSED, act).crash_count("a") == 0


def test_crash_soon_after_abandoned_request_is_attributed_to_it():
    """Guards against missing crashes that happen after the route's timeout."""

    async def act(fixture):
        fixture.detector.note_unanswered(fixture.target, "slow")
        assert fixture.detector.unresolved_count("slow") == 1
        fixture.detector.note_refused(fixture.target)

    assert _run(ConnectFailure.REFUSED, act).crash_count("slow") == 1


def test_crash_reported_by_another_host_resolves_unanswered_probe():
    async def act(fixture):
        fixture.detector.note_broken(fixture.target, "a")
        await asyncio.sleep(0.01)
        assert fixture.crash_count("a") == 0
        record = RunRecord("b", fixture.target.incarnation, True)
        fixture.host_state.shared.suspects.add(record, 0.0)
        fixture.detector.tick(0.0)

    assert _run(ConnectFailure.NO_RESPONSE, act).crash_count("a") == 1


def test_restart_under_same_id_attributes_crash_to_running_requests():
    async def act(fixture):
        fixture.detector.note_unanswered(fixture.target, "early")
        fixture.detector.note_restarted(fixture.target.incarnation)
        # Closing its connections then breaks the remaining sends.
        fixture.detector.note_broken(fixture.target, "late")

    fixture = _run(ALIVE, act)
    assert (fixture.crash_count("early"), fixture.crash_count("late")) == (1, 1)
    assert fixture.pool.opened == 0


def test_unresolved_sends_are_limited_in_age_and_number():
    async def act(fixture):
        fixture.detector.note_unanswered(fixture.target, "old")
        fixture.detector.tick(1e9 + UNRESOLVED_TTL)
        assert fixture.detector.unresolved_count("old") == 0
        for number in range(2 * MAX_UNRESOLVED):
            fixture.detector.note_unanswered(fixture.target, f"k{number}")
        fixture.detector.note_refused(fixture.target)

    fixture = _run(ConnectFailure.REFUSED, act)
    assert fixture.crash_count("k0") == 0
    assert fixture.crash_count(f"k{2 * MAX_UNRESOLVED - 1}") == 1
