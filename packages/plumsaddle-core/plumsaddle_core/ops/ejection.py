"""
Take failing targets out, keep the floor, and let them back in.

`review` is run a few times a second for each service. It reads the evidence and
changes the standing of the targets, and it tells what it did. The floor is kept by
each host for itself: it ejects only while at least `floor` targets that are neither
leaving nor cold are left in its own choice. Nothing that other hosts do or say
enters into that count, so it holds through any partition; and as every host gives
work to at least that many targets, so does the fleet.
"""

import math
from typing import NamedTuple

from ..core.data import HealthState
from ..core.ids import TargetKey
from .pool import SLOW_START_FOR, TRIALS_NEEDED

BACK_OFF = 5.0
BACK_OFF_MOST = 300.0
FORGIVEN_AFTER = 600.0
SUSPECT = 1 / 3
SHARED_SHARE = 0.5
SELF_SHARE = 0.5
SELF_FEWEST = 3


class Change(NamedTuple):
    """A target whose standing changed, and why."""

    target: TargetKey
    old: HealthState
    new: HealthState
    reason: str


def update_health(pool, evidence, now, rng, is_dependency_failing, is_suspect_itself):
    """
    Bring the standing of a service's targets up to date.

    Args:
      pool: The `Pool`; it is changed.
      evidence: The service's `Evidence`.
      now: The present, in seconds.
      rng: A `random.Random`, for back-offs that do not end all at once.
      is_dependency_failing: Whether a service that this one needs fails as a whole.
      is_suspect_itself: Whether this host is likely the one that is bad.
    Returns:
      A list of `Change`.
    """
    changes = []
    pool.has_common_failure = is_dependency_failing or _fails_alike(pool, evidence, now)
    for key, member in pool.members.items():
        _mark_avoided(member, evidence.score(key, now))
        changes += _let_back(member, evidence, now, rng)
    if not pool.has_common_failure and not is_suspect_itself:
        changes += _eject_worst(pool, evidence, now, rng)
    changes += keep_floor(pool, evidence, now)
    return changes


def _fails_alike(pool, evidence, now):
    """Return whether so many targets look bad that the cause is elsewhere."""
    staying = [
        key
        for key, member in pool.members.items()
        if member.health is not HealthState.DRAINING
    ]
    bad = [
        key
        for key in staying
        if pool.members[key].health in (HealthState.EJECTED, HealthState.TRIAL)
        or evidence.score(key, now).total >= SUSPECT
    ]
    return len(staying) > 1 and len(bad) > SHARED_SHARE * len(staying)


def _mark_avoided(member, score):
    """
    Use a target last that looks bad from here, whatever others see.

    A cut between this host and the target is no fault of the target's: others
    reach it, so it is not ejected. Here it fails all the same, so work goes to the
    others first. It is enough to be suspicious, since avoiding takes nothing away.
    """
    member.is_avoided = score.own >= SUSPECT


def _eject_worst(pool, evidence, now, rng):
    """Eject convicted targets, worst first, as far as the floor allows."""
    scored = [
        (evidence.score(key, now), key)
        for key, member in pool.members.items()
        if member.health
        in (HealthState.HEALTHY, HealthState.SLOW_START, HealthState.TRIAL)
    ]
    convicted = sorted(
        (
            (score, key)
            for score, key in scored
            if score.total >= 1.0 and evidence.stands_out(key, now)
        ),
        reverse=True,
    )
    changes = []
    for score, key in convicted:
        is_warm = pool.members[key].health is HealthState.HEALTHY
        if count_warm(pool) - is_warm < floor_of(pool):
            break
        reason = (
            f"score {score.total:.1f}, own {score.own:.1f}, {score.observers} observers"
        )
        changes.append(_eject(pool.members[key], now, rng, reason))
        evidence.clear(key)
    return changes


def _eject(member, now, rng, reason):
    """Take a target out, for longer each time it comes back and fails again."""
    old = member.health
    if now - member.since > FORGIVEN_AFTER:
        member.ejections = 0
    pause = min(BACK_OFF_MOST, BACK_OFF * 2**member.ejections)
    member.ejections += 1
    member.set_health(HealthState.EJECTED, now, reason)
    member.ejected_until = now + pause * rng.uniform(1.0, 1.5)
    member.trials = 0
    return Change(member.target.key, old, member.health, reason)


def _let_back(member, evidence, now, rng):
    """Move an ejected target on towards good standing."""
    view = evidence.views.get(member.target.key)
    old = member.health
    if old is HealthState.EJECTED:
        if view and view.bad_at > member.since and not math.isinf(member.ejected_until):
            # Another host's trial has just failed; there is no need for one here.
            pause = BACK_OFF * 2 ** min(member.ejections, 6)
            bound = view.bad_at + min(BACK_OFF_MOST, pause) * rng.uniform(0.8, 1.0)
            member.ejected_until = max(member.ejected_until, bound)
            member.since = view.bad_at
        if now < member.ejected_until:
            return []
        member.trials = 0
        evidence.clear(member.target.key)
        member.set_health(HealthState.TRIAL, now, "the back-off is over")
    elif old is HealthState.TRIAL and member.trials >= TRIALS_NEEDED:
        evidence.clear(member.target.key)
        member.set_health(HealthState.SLOW_START, now, f"{TRIALS_NEEDED} good trials")
    elif old is HealthState.SLOW_START and now - member.since >= SLOW_START_FOR:
        member.set_health(HealthState.HEALTHY, now, "the slow start is over")
    else:
        return []
    return [Change(member.target.key, old, member.health, member.reason)]


def note_trial_result(member, is_good, now, rng):
    """
    Take the result of a trial.

    Args:
      member: A `Member` in trial; others are passed over.
      is_good: Whether the target answered well.
      now: The present, in seconds.
      rng: A `random.Random`.
    Returns:
      A list of `Change`.
    """
    if member.health is not HealthState.TRIAL:
        return []
    if is_good:
        member.trials += 1
        return []
    return [_eject(member, now, rng, "a trial failed")]


def keep_floor(pool, evidence, now):
    """
    Take ejections back until the floor is met, the least bad target first.

    Targets may begin to leave, or be taken from the configuration, after others
    were ejected. The ejected ones are then better than too few.

    Args:
      pool: The `Pool`; it is changed.
      evidence: The service's `Evidence`.
      now: The present, in seconds.
    Returns:
      A list of `Change`.
    """
    out = [
        member
        for member in pool.members.values()
        if member.health in (HealthState.EJECTED, HealthState.TRIAL)
    ]
    out.sort(key=lambda member: (member.ejections, member.target.key), reverse=True)
    changes = []
    while out and count_in(pool) < floor_of(pool):
        member = out.pop()
        old = member.health
        evidence.clear(member.target.key)
        member.set_health(HealthState.SLOW_START, now, "the floor needs it")
        changes.append(Change(member.target.key, old, member.health, member.reason))
    return changes


def _is_in(member):
    return member.health in (HealthState.HEALTHY, HealthState.SLOW_START)


def count_in(pool):
    """Return how many targets this host gives ordinary work to."""
    return sum(_is_in(member) for member in pool.members.values())


def count_warm(pool):
    """Return how many targets are in and past their slow start."""
    return sum(member.health is HealthState.HEALTHY for member in pool.members.values())


def floor_of(pool):
    """Return the floor, or the number of targets that stay if they are fewer."""
    staying = sum(
        member.health is not HealthState.DRAINING for member in pool.members.values()
    )
    return min(pool.service.floor, staying)


def set_draining(pool, keys, now):
    """
    Give no new work to targets that leave, and take back those that stay after all.

    Args:
      pool: The `Pool`; it is changed.
      keys: The keys of all targets that are known to leave.
      now: The present, in seconds.
    Returns:
      A list of `Change`.
    """
    changes = []
    for key, member in pool.members.items():
        old = member.health
        if key in keys and old is not HealthState.DRAINING:
            member.set_health(HealthState.DRAINING, now, "the target is leaving")
        elif key not in keys and old is HealthState.DRAINING:
            member.set_health(HealthState.SLOW_START, now, "the target stays")
        else:
            continue
        changes.append(Change(key, old, member.health, member.reason))
    return changes


def suspects_itself(pools_and_evidence, now):
    """
    Tell whether this host finds most targets bad that the others find good.

    A host whose network card or clock is broken would otherwise accuse everybody.

    Args:
      pools_and_evidence: Pairs of a `Pool` and its `Evidence`.
      now: The present, in seconds.
    Returns:
      True if the fault is more likely here.
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
            is_contradicted = view.heard_good_at >= view.bad_at - 2.0
            blamed += score.own >= SUSPECT and is_contradicted
    return judged >= SELF_FEWEST and blamed > SELF_SHARE * judged
