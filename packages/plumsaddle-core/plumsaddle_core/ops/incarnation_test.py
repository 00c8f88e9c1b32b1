"""
Tests of targets that restart under the same id.
"""

from hypothesis import given, settings, strategies as st

from ..core.traffic import Target, TargetState
from .peer_updates import (
    Counts,
    Evidence,
    HealthSignal,
    OutcomeRecord,
    PeerUpdate,
    RemoteUpdate,
    target_tag,
)
from .registry import Registry
from .shared_state import SharedState


def _target(started_at, state=TargetState.READY, service="look"):
    return Target("t", service, "10.0.0.1:80", "x", 2, state, 0.0, 0.0, started_at)


def _update(number, in_flight=None, outcomes=(), host="peer"):
    notes = tuple(
        OutcomeRecord(n, t, "look", "r", sign, 0.3) for n, t, sign in outcomes
    )
    tags = {target_tag(target): count for target, count in (in_flight or {}).items()}
    return PeerUpdate(host, 1, number, tags, notes, {"look": Counts()})


def test_a_restarted_target_starts_without_state():
    """
    Guards against counting failures and requests of a target's previous incarnation.
    """
    shared = SharedState(0.2, 10.0, started_at=-100.0)
    previous, current = _target(1000), _target(2000)
    shared.note_send_start(previous.incarnation, 1.0)
    shared.apply_update(_update(1, {previous.incarnation: 2}), 1.0)
    shared.note_outcome(
        previous.incarnation, "look", "r", HealthSignal.FAILED, 0.0, 1.0
    )
    assert shared.failure_probability(previous.incarnation, 1.0) > 0.5
    assert shared.failure_probability(current.incarnation, 1.0) < 0.25
    assert shared.in_flight(current.incarnation) == 0
    shared.note_send_end(previous.incarnation)


def test_late_updates_about_a_previous_incarnation_are_ignored():
    """
    Guards against late updates about a target's previous incarnation.
    """
    shared = SharedState(0.2, 10.0, started_at=-100.0)
    previous, current = _target(1000), _target(2000)
    shared.evict_targets({current.incarnation}, 10.0)
    before = shared.failure_probability(current.incarnation, 2.0)
    shared.apply_update(
        _update(
            1,
            {previous.incarnation: 1},
            [(0, previous.incarnation, HealthSignal.FAILED)],
        ),
        2.0,
    )
    shared.apply_remote_update(
        RemoteUpdate("far", 7, (Evidence(0, previous.incarnation, 35.0),), ()), 2.0
    )
    assert shared.failure_probability(current.incarnation, 2.0) == before
    assert shared.in_flight(current.incarnation) == 0
    shared.evict_targets({current.incarnation}, 10.0)
    assert previous.incarnation not in shared.health.target_estimators


def test_the_registry_reports_a_restart_once():
    registry = Registry()
    assert registry.put(_target(1000), 1, 0.0) is None
    assert registry.put(_target(1000, TargetState.DRAINING), 2, 1.0) is None
    previous = registry.put(_target(2000), 3, 2.0)
    assert previous.incarnation == _target(1000).incarnation
    assert registry.put(_target(2000), 4, 3.0) is None
    # An older record that is read late, as from a listing, is no restart.
    assert registry.put(_target(1000), 2, 4.0) is None
    assert registry.targets["t"].started_at == 2000


def test_a_restart_during_an_outage_of_the_store_is_no_lapse():
    """
    Guards against taking a target's restart during an outage for a lapsed entry.
    """
    registry = Registry()
    registry.put(_target(1000), 1, 0.0)
    registry.note_store_unavailable(1.0)
    registry.note_store_available(9.0)
    registry.drop(registry.missing(set(), 5), 9.1)
    previous = registry.put(_target(2000), 6, 9.5)
    assert previous.started_at == 1000
    assert not registry.expire(20.0)
    assert [target.started_at for target in registry.usable("look")] == [2000]


ENTRIES = st.lists(
    st.tuples(
        st.integers(0, 12),
        st.sampled_from(["ready", "leaving", "rejected", "gone"]),
        st.sampled_from([1000, 2000, 3000]),
        st.sampled_from(["look", "act"]),
    ),
    max_size=20,
)


@given(ENTRIES)
@settings(max_examples=200, deadline=None)
def test_the_registry_agrees_with_a_naive_fold(entries):
    """The record with the highest offset counts, in whatever order they arrive."""
    registry = Registry()
    newest = {}
    for offset, what, started_at, service in entries:
        if what == "gone":
            registry.drop({"t": offset}, 1.0)
        elif what == "rejected":
            registry.reject("t", offset)
        else:
            state = TargetState.READY if what == "ready" else TargetState.DRAINING
            registry.put(_target(started_at, state, service), offset, 1.0)
        if offset >= newest.get("offset", -1):
            newest = {"offset": offset, "what": what, "at": (started_at, service)}
    usable = {
        (target.started_at, name)
        for name in ("look", "act")
        for target in registry.usable(name)
    }
    expected = {newest["at"]} if newest.get("what") == "ready" else set()
    assert usable == expected
