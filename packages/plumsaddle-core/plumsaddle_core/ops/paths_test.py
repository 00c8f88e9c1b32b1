"""
Tests of how a host tells its own broken paths from failed targets.
"""

from .paths import (
    FAILURE_TTL,
    MAX_BREAK,
    MIN_BREAK,
    MIN_ISOLATION_SPAN,
    MIN_RECOVERY,
    HostPaths,
    PathState,
    PathVerdict,
)

TARGETS = ["look-0", "look-1", "act-0", "act-1"]


def _fail(paths, targets, verdict, at, service_count=2):
    for target in targets:
        service = target.partition("-")[0]
        paths.note_failed(target, service, verdict, service_count, at)


def _partitioned():
    paths = HostPaths()
    _fail(paths, TARGETS[:3], PathVerdict.BYPASSED, 0.0)
    assert paths.state is PathState.PARTITIONED
    return paths


def test_targets_that_only_others_reach_show_a_partition():
    """Guards against hosts that learn their partition target by target."""
    paths = HostPaths()
    _fail(paths, TARGETS[:2], PathVerdict.BYPASSED, 0.0)
    assert paths.state is PathState.CONNECTED
    assert not paths.prefers_tunnel("act-1", 0.0)
    _fail(paths, TARGETS[2:3], PathVerdict.BYPASSED, 0.1)
    assert paths.state is PathState.PARTITIONED
    assert paths.prefers_tunnel("act-1", 0.1)


def test_a_contact_in_between_shows_that_some_paths_work():
    """Guards against hosts that lost some targets and give up the others."""
    paths = HostPaths()
    _fail(paths, TARGETS[:2], PathVerdict.BYPASSED, 0.0)
    paths.note_contact(0.1)
    _fail(paths, TARGETS[2:], PathVerdict.BYPASSED, 0.2)
    assert paths.state is PathState.CONNECTED
    assert paths.prefers_tunnel("look-0", 0.2)


def test_failures_that_are_long_past_do_not_add_up():
    """Guards against idle hosts that collect single lost packets to a partition."""
    paths = HostPaths()
    for number, target in enumerate(TARGETS):
        _fail(paths, [target], PathVerdict.BYPASSED, number * FAILURE_TTL)
    assert paths.state is PathState.CONNECTED


def test_a_service_that_is_down_is_not_a_partition():
    """Guards against refusing all services while one of them is down."""
    paths = HostPaths()
    _fail(paths, [f"look-{n}" for n in range(9)], PathVerdict.DOWN, 0.0)
    assert paths.state is PathState.CONNECTED
    assert not paths.may_ask("look-0", 0.5)
    assert paths.may_ask("look-0", 2.0)


def test_targets_of_several_services_that_nobody_reaches_show_isolation():
    """Guards against requests that wait for connections that can't be opened."""
    for verdict in (PathVerdict.DOWN, PathVerdict.UNCONFIRMED):
        paths = HostPaths()
        _fail(paths, TARGETS[:3], verdict, 0.0)
        assert paths.state is PathState.CONNECTED
        _fail(paths, TARGETS[3:], verdict, MIN_ISOLATION_SPAN)
        assert paths.state is PathState.ISOLATED


def test_an_isolated_host_uses_other_hosts_once_they_reach_targets():
    """Guards against a host that stays isolated after its gateways are back."""
    paths = HostPaths()
    _fail(paths, TARGETS, PathVerdict.UNCONFIRMED, 0.0)
    _fail(paths, ["up-0"], PathVerdict.UNCONFIRMED, MIN_ISOLATION_SPAN)
    _fail(paths, TARGETS[:3], PathVerdict.BYPASSED, 1.0)
    assert paths.state is PathState.PARTITIONED


def test_a_partition_ends_after_contact_for_a_while():
    """Guards against a first packet that brings all requests back to a broken path."""
    paths = _partitioned()
    paths.note_connected("look-0", 1.0)
    assert paths.state is PathState.PARTITIONED
    paths.note_probe_failed()
    paths.note_connected("look-0", 1.5)
    paths.note_connected("look-0", 1.6 + MIN_RECOVERY)
    assert paths.state is PathState.CONNECTED
    assert not paths.prefers_tunnel("look-1", 2.0)


def test_a_flapping_path_is_trusted_later_each_time():
    """Guards against requests that are lost each time a path comes and goes."""
    paths = _partitioned()
    paths.note_contact(1.0)
    paths.note_contact(1.1 + MIN_RECOVERY)
    assert paths.state is PathState.CONNECTED
    _fail(paths, TARGETS[:3], PathVerdict.BYPASSED, 3.0)
    paths.note_contact(4.0)
    paths.note_contact(4.1 + MIN_RECOVERY)
    assert paths.state is PathState.PARTITIONED
    paths.note_contact(4.1 + 2 * MIN_RECOVERY)
    assert paths.state is PathState.CONNECTED


def test_a_broken_path_to_one_target_is_tried_again_more_and_more_rarely():
    """Guards against paying for a broken path with each new connection."""
    paths = HostPaths()
    at = 0.0
    _fail(paths, ["look-0"], PathVerdict.BYPASSED, at)
    assert paths.prefers_tunnel("look-0", at + MIN_BREAK - 0.1)
    at += MIN_BREAK
    assert not paths.prefers_tunnel("look-0", at)
    _fail(paths, ["look-0"], PathVerdict.BYPASSED, at)
    assert paths.prefers_tunnel("look-0", at + 2 * MIN_BREAK - 0.1)
    paths.evict({"look-0"}, at + 2 * MIN_BREAK + MAX_BREAK + 0.1)
    assert not paths.prefers_tunnel("look-0", at)


def test_a_partitioned_host_without_gateways_is_isolated():
    """Guards against requests that wait in vain after the last gateway is lost."""
    paths = _partitioned()
    _fail(paths, TARGETS[:2], PathVerdict.UNCONFIRMED, 0.5)
    assert paths.state is PathState.PARTITIONED
    _fail(paths, TARGETS[2:], PathVerdict.UNCONFIRMED, 0.5 + MIN_ISOLATION_SPAN)
    assert paths.state is PathState.ISOLATED


def test_targets_of_one_service_that_fail_together_are_blamed():
    """Guards against crashes of targets in a row that pass for a broken path."""
    paths = HostPaths()
    _fail(paths, TARGETS[:2], PathVerdict.UNCONFIRMED, 0.0)
    assert not paths.is_own_failure_likely("look-0")
    _fail(paths, TARGETS[2:3], PathVerdict.UNCONFIRMED, 0.0)
    assert paths.is_own_failure_likely("look-0")
    paths.note_contact(0.1)
    assert not paths.is_own_failure_likely("look-0")


def test_an_isolated_host_serves_from_its_first_contact_on():
    """Guards against refusals that last longer than the reason for them."""
    paths = HostPaths()
    _fail(paths, TARGETS[:3], PathVerdict.UNCONFIRMED, 0.0)
    _fail(paths, TARGETS[3:], PathVerdict.UNCONFIRMED, MIN_ISOLATION_SPAN)
    assert paths.state is PathState.ISOLATED
    paths.note_contact(1.0)
    assert paths.state is PathState.CONNECTED
