"""
Tests of the choice among the targets of a large service.
"""

import json
import random

import pytest

from plumsaddle_core.core.features import Feature
from plumsaddle_core.core.traffic import (
    Bounds,
    HostSettings,
    RequestKind,
    SchedulingMode,
    Target,
    TargetState,
)
from plumsaddle_core.ops.choice import ChoiceRule, RequestProfile
from plumsaddle_core.ops.peer_updates import HealthSignal

from ..platform.store import KeyedRecord, Page
from .clock import now
from .host_state import HostState

PROFILE = RequestProfile(RequestKind.ORDER, 0.2, 0.6, 1.5, 1.0)


def _host_state(count, disabled=frozenset({Feature.FLOOR_TRIALS})):
    settings = HostSettings(
        "h", "x", ("x", "y"), "", "", "", (), "", Bounds(), None, disabled
    )
    host_state = HostState(settings, random.Random(1))
    for number in range(count):
        data_centre = "x" if number % 2 else "y"
        target = Target(
            f"t{number}", "act", "", data_centre, 2, TargetState.READY, 0.0, 0.0
        )
        host_state.registry.put(target, number, 0.0)
    return host_state


def _choose(host_state, excluded=frozenset()):
    choice = host_state.selection.choose(
        "act", PROFILE, excluded, lambda incarnation: False, now()
    )
    return choice.candidate.target.id, choice.rule


def test_host_uses_only_its_subset_while_that_scores_well():
    """Guards against using so many targets that connections are idle too long."""
    host_state = _host_state(200)
    host_state.shared.live_host_count = lambda: 45
    host_state.selection._rates["act"] = _SteadyRate()
    assert len({_choose(host_state)[0] for _ in range(300)}) <= 48


def test_host_leaves_its_subset_when_that_scores_badly():
    """Guards against failing requests because all targets of the subset fail."""
    host_state = _host_state(200)
    subset = {
        target.id
        for target in host_state.selection._subset("act", _usable(host_state), 1)
    }
    for target_id in subset:
        host_state.shared.note_outcome(
            target_id, "act", "r", HealthSignal.FAILED, 0.0, now()
        )
    assert _choose(host_state)[0] not in subset


def test_subset_follows_list_of_targets():
    host_state = _host_state(200)
    first = _choose(host_state)[0]
    host_state.registry.drop({first: 1000}, now())
    assert first not in {_choose(host_state)[0] for _ in range(100)}


class _SteadyRate:
    """A constant rate of ten sends per second."""

    def note_event(self, at):
        return 10.0


def _usable(host_state):
    return host_state.registry.usable("act")


@pytest.mark.parametrize("is_path_broken", [False, True])
def test_trial_avoids_broken_path(is_path_broken):
    """Guards against trials that a broken path keeps from reaching the target."""
    host_state = _host_state(4, disabled=frozenset())
    at = now()
    for target_id in ("t0", "t1", "t2"):
        host_state.shared.note_send_start(target_id, at)
    if is_path_broken:
        host_state.shared.note_outcome(
            "t3", "act", "r", HealthSignal.UNREACHABLE, 0.3, at
        )
    chosen, rule = _choose(host_state)
    assert (chosen == "t3" and rule is ChoiceRule.FLOOR_TRIAL) is not is_path_broken


@pytest.mark.parametrize(
    ("mode", "has_downloads", "is_scheduling"),
    [
        (SchedulingMode.AUTO, False, False),
        (SchedulingMode.AUTO, True, True),
        (SchedulingMode.ON, False, True),
        (SchedulingMode.OFF, True, False),
    ],
)
def test_scheduling_follows_settings_and_configuration(
    mode, has_downloads, is_scheduling
):
    """Guards against serving a deployment in a way that it has not asked for."""
    host_state = _host_state(2)
    host_state.settings = host_state.settings._replace(scheduling=mode)
    kind = "download" if has_downloads else "safe"
    host_state.apply_operator_records(Page([_configuration_record(kind)], 1))
    assert host_state.is_scheduling is is_scheduling


@pytest.mark.parametrize("kind", ["download", "safe"])
def test_requests_over_a_limit_count_as_not_served(kind):
    """Guards against targets below the floor while a workspace exceeds its limit."""
    host_state = _host_state(2)
    host_state.apply_operator_records(Page([_configuration_record(kind)], 1))
    at = now() + 60.0
    for _ in range(10):
        host_state.shared.note_request_end("act", True, at)
    assert not host_state.shared.is_degraded("act", at)
    for _ in range(3):
        host_state.note_over_limit(host_state.cfg.routes[0], at)
    assert host_state.shared.is_degraded("act", at)


ENTRY = {
    "service": "act",
    "address": "10.0.0.1:8080",
    "zone": "x",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
}


@pytest.mark.parametrize(
    "odd",
    [
        json.dumps(ENTRY)[:-1] + ', "more": ' + "[" * 100_000 + "]" * 100_000 + "}",
        json.dumps(ENTRY)[:-1] + ', "more": ' + '{"a": ' * 5000 + "1" + "}" * 5001,
        json.dumps({**ENTRY, "slots": 10**400}),
        json.dumps(ENTRY)[:-1] + ', "slots": 1e400}',
        json.dumps(ENTRY)[:-1] + ', "warmup_left_ms": ' + "9" * 5000 + "}",
        json.dumps({**ENTRY, "address": "10.0.0.1:65536"}),
        json.dumps({**ENTRY, "address": "10.0.0.1:" + "9" * 5000}),
        json.dumps({**ENTRY, "address": "9" * 5000 + ":80"}),
    ],
)
def test_an_odd_entry_of_another_writer_does_not_hide_the_targets(odd):
    """Hosts stopped following the list, or ended, at an entry they could not decode."""
    host_state = _host_state(0)
    entries = {"a": json.dumps(ENTRY), "odd": odd, "z": json.dumps(ENTRY)}
    records = [
        KeyedRecord(number, key, value.encode())
        for number, (key, value) in enumerate(entries.items())
    ]
    host_state.apply_target_listing(Page(records, 3))
    assert {target.id for target in host_state.registry.usable("act")} == {"a", "z"}
    host_state.apply_target_changes(Page([records[1]._replace(offset=3)], 4))
    assert {target.id for target in host_state.registry.usable("act")} == {"a", "z"}


def _configuration_record(kind):
    route = {
        "host": "h.example",
        "path_prefix": "/a/",
        "route_type": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 500,
        "service": "act",
    }
    limits = {
        "max_header_bytes": 1,
        "max_body_bytes": 1,
        "header_timeout_ms": 1,
        "idle_timeout_ms": 1,
    }
    resources = [
        {"entry_kind": "routes", "metadata": {"name": "r"}, "spec": route},
        {"entry_kind": "limits", "metadata": {}, "spec": limits},
    ]
    text = json.dumps({"version": 1, "resources": resources})
    return KeyedRecord(0, "config", text.encode())
