"""
Tests of the rate limits of targets on one host.
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


def _target(number, data_centre="x"):
    state = TargetState.READY
    return Target(
        f"t-{number}", "look", f"10.0.0.{number}:1", data_centre, 4, state, 0, 0
    )


def _sole_host_limits():
    """Return the limits of a host that is alone in its data centre."""
    return TargetLimits(Membership("a", 0.0, has_seeds=False), random.Random(1))


def _advertise(limits, rate, targets):
    for target in targets:
        limits.advertised.observe(target.incarnation, rate, 0.0, 0.0)


def _send_all(limits, targets, seconds, step_seconds=0.01):
    """Send as often as possible and return the times of the sends."""
    sent = []
    for step in range(int(seconds / step_seconds)):
        now = 1.0 + step * step_seconds
        for target in limits.admissible(targets, "x", 0.0, 1, now):
            limits.acquire(target, now)
            sent.append(now)
    return sent


def test_targets_without_a_limit_are_admissible():
    limits, targets = _sole_host_limits(), [_target(1), _target(2)]
    assert limits.admissible(targets, "x", 0.0, 1, 1.0) is targets
    _advertise(limits, 0.5, targets[:1])
    assert limits.admissible(targets, "x", 0.0, 1, 1.0) == targets[1:]


@pytest.mark.parametrize("rate", [0.2, 2.3, 20.0, 200.0])
def test_a_sole_host_uses_a_limit_and_does_not_exceed_it(rate):
    limits, targets = _sole_host_limits(), [_target(1)]
    _advertise(limits, rate, targets)
    sent = _send_all(limits, targets, 20.0, step_seconds=0.002)
    assert 0.9 * rate * 20.0 - 1.0 <= len(sent) <= rate * 20.0 + 1.0


@pytest.mark.parametrize("rate", [0.0, 0.001])
def test_a_target_with_a_near_zero_limit_is_sent_some_requests(rate):
    """Guards against a target whose responses can never end its limit."""
    limits, targets = _sole_host_limits(), [_target(1)]
    _advertise(limits, rate, targets)
    sent = _send_all(limits, targets, 61.0, step_seconds=0.05)
    assert len(sent) == pytest.approx(MIN_RATE * 60, abs=1.0)


def test_limited_targets_of_other_data_centres_are_left_out():
    """Guards against exceeding a limit with requests of other data centres."""
    limits, targets = _sole_host_limits(), [_target(1, "y"), _target(2)]
    _advertise(limits, 50.0, targets)
    limits.admissible(targets, "x", 0.0, 1, 1.0)
    assert limits.admissible(targets, "x", 0.0, 1, 9.0) == targets[1:]


def test_a_request_that_was_not_sent_returns_its_token():
    limits, targets = _sole_host_limits(), [_target(1)]
    _advertise(limits, 1.0, targets)
    limits.admissible(targets, "x", 0.0, 1, 1.0)
    assert limits.admissible(targets, "x", 0.0, 1, 2.0) == targets
    limits.acquire(targets[0], 2.0)
    assert limits.admissible(targets, "x", 0.0, 1, 2.0) == []
    limits.release(targets[0], 2.0)
    assert limits.admissible(targets, "x", 0.0, 1, 2.0) == targets


def test_a_request_may_reserve_the_next_token():
    limits, targets = _sole_host_limits(), [_target(1)]
    _advertise(limits, 2.0, targets)
    limits.admissible(targets, "x", 0.0, 1, 1.0)
    assert limits.admissible(targets, "x", 0.4, 1, 1.0) == []
    assert limits.admissible(targets, "x", 0.5, 1, 1.0) == targets
    assert limits.wait(targets[0], 1.0) == 0.5
    limits.acquire(targets[0], 1.0)
    assert limits.wait(targets[0], 1.0) == 1.0


def test_only_urgent_requests_with_time_left_wait():
    """Guards against waits that make requests late or delay more urgent ones."""
    profile = RequestProfile(RequestKind.IDEMPOTENT, 0.5, 1.5, 3.0, 1.0)
    assert max_token_wait(profile, 1.0) == 0.5
    assert max_token_wait(profile, 0.5) == 0.25
    assert max_token_wait(profile, 0.0) == 0.0
    assert max_token_wait(profile._replace(objective_left=0.3), 1.0) == 0.0
    assert max_token_wait(profile._replace(objective_left=30.0), 1.0) == MAX_WAIT


def test_retries_of_refused_callers_are_spread():
    """Guards against callers that all retry when one token becomes available."""
    limits, targets = _sole_host_limits(), [_target(1)]
    _advertise(limits, 1.0, targets)
    limits.membership.note_own_demand("look", 25, 1.0)
    waits = [limits.retry_after(targets, "x", 1, 1.0) for _ in range(20)]
    assert all(1.0 <= wait <= MAX_RETRY_AFTER for wait in waits)
    assert max(waits) - min(waits) > 2.0


def test_a_host_without_a_share_gives_a_retry_delay():
    limits = TargetLimits(Membership("a", 0.0), random.Random(1))
    _advertise(limits, 2.0, [_target(1)])
    assert 0.4 < limits.retry_after([_target(1)], "x", 1, 1.0) < 1.0


def test_a_restarted_target_starts_without_a_limit():
    limits = _sole_host_limits()
    old = _target(1)._replace(started_at=1)
    _advertise(limits, 0.5, [old])
    new = old._replace(started_at=2)
    assert limits.admissible([new], "x", 0.0, 2, 1.0) == [new]
