"""
Ejects failing targets, never below the floor, and readmits them.

`update_health` runs a few times a second for each service, and updates the health
states of its targets from the evidence. Each host enforces the floor on its own: it
ejects a target only while at least `floor` others are neither draining nor in their
slow start. This depends on nothing that other hosts report, so it holds in any
partition; and since every host uses at least that many targets, so does the fleet.
"""

import math
from typing import NamedTuple

from ..core.data import HealthState
from ..core.ids import TargetKey
from .pool import SLOW_START_DURATION, TRIALS_NEEDED

MIN_BACKOFF = 5.0
MAX_BACKOFF = 300.0
BACKOFF_RESET_AFTER = 600.0
SUSPECT_SCORE = 1 / 3
COMMON_FAILURE_SHARE = 0.5
LOCAL_FAULT_SHARE = 0.5
MIN_TARGETS_JUDGED = 3


class HealthChange(NamedTuple):
    """A change of a target's health state, and its reason."""

    target: TargetKey
    old: HealthState
    new: HealthState
    reason: str


def update_health(pool, evidence, now, rng, is_dependency_failing, is_suspect_itself):
    """
    Update the health states of a service's targets.

    Args:
      pool: The `Pool`; it is changed.
      evidence: The service's `Evidence`.
      now: The present, in seconds.
      rng: A `random.Random`, for the jitter of back-offs.
      is_dependency_failing: Whether a service that this one depends on has a common
        failure.
      is_suspect_itself: Whether the fault is more likely on this host.
    Returns:
      A list of `HealthChange`.
    """
    changes = []
    pool.has_common_failure = is_dependency_failing or _is_common_failure(
        pool, evidence, now
    )
    for key, member in pool.members.items():
        _update_avoided(member, evidence.score(key, now))
        changes += _readmit(member, evidence, now, rng)
    if not pool.has_common_failure and not is_suspect_itself:
        changes += _eject_worst(pool, evidence, now, rng)
    changes += enforce_floor(pool, evidence, now)
    return changes


def _is_common_failure(pool, evidence, now):
    """Return whether so many targets look bad that they must share a cause."""
    not_draining = [
        key
        for key, member in pool.members.items()
        if member.health is not HealthState.DRAINING
    ]
    bad = [
        key
        for key in not_draining
        if pool.members[key].health in (HealthState.EJECTED, HealthState.TRIAL)
        or evidence.score(key, now).total >= SUSPECT_SCORE
    ]
    return len(not_draining) > 1 and len(bad) > COMMON_FAILURE_SHARE * len(not_draining)


def _update_avoided(member, score):
    """
    Avoid a target that is suspect from this host, whatever other hosts see.

    If the path from this host to a target is broken, other hosts still reach it and it
    is not ejected, but this host prefers its other targets.
    """
    member.is_avoided = score.own >= SUSPECT_SCORE


def _eject_worst(pool, evidence, now, rng):
    """Eject failing targets, the worst first, as far as the floor allows."""
    scored = [
        (evidence.score(key, now), key)
        for key, member in pool.members.items()
        if member.health
        in (HealthState.HEALTHY, HealthState.SLOW_START, HealthState.TRIAL)
    ]
    failing = sorted(
        (
            (score, key)
            for score, key in scored
            if score.total >= 1.0 and evidence.is_outlier(key, now)
        ),
        reverse=True,
    )
    changes = []
    for score, key in failing:
        is_warm = pool.members[key].health is HealthState.HEALTHY
        if count_warm(pool) - is_warm < effective_floor(pool):
            break
        reason = (
            f"score {score.total:.1f}, own {score.own:.1f}, {score.observers} observers"
        )
        changes.append(_eject(pool.members[key], now, rng, reason))
        evidence.clear(key)
    return changes


def _eject(member, now, rng, reason):
    """Eject a target, with a back-off that doubles with each repeated ejection."""
    old = member.health
    if now - member.since > BACKOFF_RESET_AFTER:
        member.ejections = 0
    pause = min(MAX_BACKOFF, MIN_BACKOFF * 2**member.ejections)
    member.ejections += 1
    member.set_health(HealthState.EJECTED, now, reason)
    member.ejected_until = now + pause * rng.uniform(1.0, 1.5)
    member.passed_trials = 0
    return HealthChange(member.target.key, old, member.health, reason)


def _readmit(member, evidence, now, rng):
    """Move an ejected target to the next state towards HEALTHY, if it is due."""
    view = evidence.views.get(member.target.key)
    old = member.health
    if old is HealthState.EJECTED:
        if (
            view
            and view.last_bad_at > member.since
            and not math.isinf(member.ejected_until)
        ):
            # The trial of another host has failed, so this host postpones its own.
            pause = MIN_BACKOFF * 2 ** min(member.ejections, 6)
            earliest = view.last_bad_at + min(MAX_BACKOFF, pause) * rng.uniform(
                0.8, 1.0
            )
            member.ejected_until = max(member.ejected_until, earliest)
            member.since = view.last_bad_at
        if now < member.ejected_until:
            return []
        member.passed_trials = 0
        evidence.clear(member.target.key)
        member.set_health(HealthState.TRIAL, now, "the back-off has ended")
    elif old is HealthState.TRIAL and member.passed_trials >= TRIALS_NEEDED:
        evidence.clear(member.target.key)
        member.set_health(
            HealthState.SLOW_START, now, f"{TRIALS_NEEDED} successful trials"
        )
    elif old is HealthState.SLOW_START and now - member.since >= SLOW_START_DURATION:
        member.set_health(HealthState.HEALTHY, now, "the slow start has ended")
    else:
        return []
    return [HealthChange(member.target.key, old, member.health, member.reason)]


def note_trial_result(member, is_good, now, rng):
    """
    Process the result of a trial.

    Args:
      member: A `PoolMember`; ignored unless its state is TRIAL.
      is_good: Whether the trial succeeded.
      now: The present, in seconds.
      rng: A `random.Random`.
    Returns:
      A list of `HealthChange`.
    """
    if member.health is not HealthState.TRIAL:
        return []
    if is_good:
        member.passed_trials += 1
        return []
    return [_eject(member, now, rng, "a trial failed")]


def enforce_floor(pool, evidence, now):
    """
    Readmit ejected targets until the floor is met, the least often ejected ones first.

    Targets may start to drain, or be removed from the configuration, after others were
    ejected.

    Args:
      pool: The `Pool`; it is changed.
      evidence: The service's `Evidence`.
      now: The present, in seconds.
    Returns:
      A list of `HealthChange`.
    """
    ejected = [
        member
        for member in pool.members.values()
        if member.health in (HealthState.EJECTED, HealthState.TRIAL)
    ]
    ejected.sort(key=lambda member: (member.ejections, member.target.key), reverse=True)
    changes = []
    while ejected and count_active(pool) < effective_floor(pool):
        member = ejected.pop()
        old = member.health
        evidence.clear(member.target.key)
        member.set_health(HealthState.SLOW_START, now, "readmitted to meet the floor")
        changes.append(
            HealthChange(member.target.key, old, member.health, member.reason)
        )
    return changes


def _is_active(member):
    return member.health in (HealthState.HEALTHY, HealthState.SLOW_START)


def count_active(pool):
    """Return how many targets get ordinary requests from this host."""
    return sum(_is_active(member) for member in pool.members.values())


def count_warm(pool):
    """Return how many targets are HEALTHY, and so past their slow start."""
    return sum(member.health is HealthState.HEALTHY for member in pool.members.values())


def effective_floor(pool):
    """Return the floor, or the number of targets not draining if that is less."""
    not_draining = sum(
        member.health is not HealthState.DRAINING for member in pool.members.values()
    )
    return min(pool.service.floor, not_draining)


def set_draining(pool, keys, now):
    """
    Update which targets are draining and get no new requests.

    Args:
      pool: The `Pool`; it is changed.
      keys: The keys of all targets that are known to be draining.
      now: The present, in seconds.
    Returns:
      A list of `HealthChange`.
    """
    changes = []
    for key, member in pool.members.items():
        old = member.health
        if key in keys and old is not HealthState.DRAINING:
            member.set_health(HealthState.DRAINING, now, "the target is draining")
        elif key not in keys and old is HealthState.DRAINING:
            member.set_health(
                HealthState.SLOW_START, now, "the target is no longer draining"
            )
        else:
            continue
        changes.append(HealthChange(key, old, member.health, member.reason))
    return changes


def suspects_itself(pools_and_evidence, now):
    """
    Return whether this host sees most targets failing while others see them healthy.

    The cause is then likely on this host, such as a faulty network card or clock.

    Args:
      pools_and_evidence: Pairs of a `Pool` and its `Evidence`.
      now: The present, in seconds.
    Returns:
      Whether the fault is more likely on this host.
    """
    judged = 0
    blamed = 0
    for pool, evidence in pools_and_evidence:
        for key in pool.members:
            view = evidence.views.get(key)
            if view is None or evidence.own not in view.counts:
                continue
            judged += 1
            score = evidence.score(key, now)
            is_contradicted = view.last_remote_good_at >= view.last_bad_at - 2.0
            blamed += score.own >= SUSPECT_SCORE and is_contradicted
    return judged >= MIN_TARGETS_JUDGED and blamed > LOCAL_FAULT_SHARE * judged
