"""
The rate limits of targets, as hosts keep them.
"""

import random

import pytest

from ..core.traffic import RequestKind, Target, TargetState
from ..ops.choice import RequestProfile
from .membership import Membership
from .targets import (
    MAX_RETRY_AFTER,
    MAX_WAIT,
    MIN_RATE,
    TargetLimits,
    max_token_wait,
)


def _target(number, centre="x"):
    state = TargetState.READY
    return Target(f"t-{number}", "look", f"10.0.0.{number}:1", centre, 4, state, 0, 0)


def _sole():
    """Return the limits of a host that is the only one."""
    return TargetLimits(Membership("a", 0.0, has_seeds=False), random.Random(1))


def _name(limits, rate, targets):
    for target in targets:
        limits.advertised.observe(target.incarnation, rate, 0.0, 0.0)


def _sends(limits, targets, seconds, every=0.01):
    """Send as often as possible and return the times of the sends."""
    sent = []
    for step in range(int(seconds / every)):
        now = 1.0 + step * every
        for target in limits.admissible(targets, "x", 0.0, 1, now):
            limits.acquire(target, now)
            sent.append(now)
    return sent


def test_targets_without_a_limit_are_not_touched():
    limits, targets = _sole(), [_target(1), _target(2)]
    assert limits.admissible(targets, "x", 0.0, 1, 1.0) is targets
    _name(limits, 0.5, targets[:1])
    assert limits.admissible(targets, "x", 0.0, 1, 1.0) == targets[1:]


@pytest.mark.parametrize("rate", [0.2, 2.3, 20.0, 200.0])
def test_a_host_alone_uses_a_limit_and_does_not_exceed_it(rate):
    limits, targets = _sole(), [_target(1)]
    _name(limits, rate, targets)
    sent = _sends(limits, targets, 20.0, every=0.002)
    assert 0.9 * rate * 20.0 - 1.0 <= len(sent) <= rate * 20.0 + 1.0


@pytest.mark.parametrize("rate", [0.0, 0.001])
def test_a_target_that_takes_next_to_nothing_is_sent_a_request_at_times(rate):
    """Guards against a target that can never say that its limit has ended."""
    limits, targets = _sole(), [_target(1)]
    _name(limits, rate, targets)
    sent = _sends(limits, targets, 61.0, every=0.05)
    assert len(sent) == pytest.approx(MIN_RATE * 60, abs=1.0)


def test_hosts_of_other_data_centres_leave_a_limited_target_out():
    """Guards against shares that ignore what other data centres send."""
    limits, targets = _sole(), [_target(1, "y"), _target(2)]
    _name(limits, 50.0, targets)
    limits.admissible(targets, "x", 0.0, 1, 1.0)
    assert limits.admissible(targets, "x", 0.0, 1, 9.0) == targets[1:]


def test_a_request_that_was_not_sent_leaves_its_token():
    limits, targets = _sole(), [_target(1)]
    _name(limits, 1.0, targets)
    limits.admissible(targets, "x", 0.0, 1, 1.0)
    assert limits.admissible(targets, "x", 0.0, 1, 2.0) == targets
    limits.acquire(targets[0], 2.0)
    assert limits.admissible(targets, "x", 0.0, 1, 2.0) == []
    limits.release(targets[0], 2.0)
    assert limits.admissible(targets, "x", 0.0, 1, 2.0) == targets


def test_a_request_may_reserve_a_token_that_comes_soon():
    limits, targets = _sole(), [_target(1)]
    _name(limits, 2.0, targets)
    limits.admissible(targets, "x", 0.0, 1, 1.0)
    assert limits.admissible(targets, "x", 0.4, 1, 1.0) == []
    assert limits.admissible(targets, "x", 0.5, 1, 1.0) == targets
    assert limits.wait(targets[0], 1.0) == 0.5
    limits.acquire(targets[0], 1.0)
    assert limits.wait(targets[0], 1.0) == 1.0


def test_only_urgent_requests_with_time_left_wait():
    """Guards against requests that wait for a token and are late or in the way."""
    demand = RequestProfile(RequestKind.IDEMPOTENT, 0.5, 1.5, 3.0, 1.0)
    assert max_token_wait(demand, 1.0) == 0.5
    assert max_token_wait(demand, 0.5) == 0.25
    assert max_token_wait(demand, 0.0) == 0.0
    assert max_token_wait(demand._replace(objective_left=0.3), 1.0) == 0.0
    assert max_token_wait(demand._replace(objective_left=30.0), 1.0) == MAX_WAIT


def test_refused_callers_are_told_different_times():
    """Guards against callers that all return at the moment of one token."""
    limits, targets = _sole(), [_target(1)]
    _name(limits, 1.0, targets)
    limits.membership.note_own_demand("look", 25, 1.0)
    waits = [limits.retry_after(targets, "x", 1, 1.0) for _ in range(20)]
    assert all(1.0 <= wait <= MAX_RETRY_AFTER for wait in waits)
    assert max(waits) - min(waits) > 2.0


def test_a_host_without_a_share_names_a_time_too():
    limits = TargetLimits(Membership("a", 0.0), random.Random(1))
    _name(limits, 2.0, [_target(1)])
    assert 0.4 < limits.retry_after([_target(1)], "x", 1, 1.0) < 1.0


def test_a_restarted_target_begins_without_a_limit():
    limits = _sole()
    old = _target(1)._replace(started_at=1)
    _name(limits, 0.5, [old])
    new = old._replace(started_at=2)
    assert limits.admissible([new], "x", 0.0, 2, 1.0) == [new]
