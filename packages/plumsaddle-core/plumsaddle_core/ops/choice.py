"""
Selection of the target for a send.

Every usable target gets a score: the probability of a complete response, times the
value of a response at the time it is expected, less the cost of leaving the data
centre. A small utilization penalty spreads requests over targets that are otherwise
equal and gives new targets work at once. Failures only lower a target's score; they
never exclude it.

A target that fails within a millisecond is never busy, so balancing by load alone would
send it most of the requests. Here failures outweigh free slots.

Deployments that schedule their requests use the scores of `health/scoring` instead.
"""

import enum
from typing import NamedTuple

from ..core.traffic import RequestKind, Target
from ..health.scoring import pick_among_best, queue_slowdown, score_by_outcome

# Penalties, bonuses and costs are relative to a complete response in time, worth 1.
# Score lost by a target with all slots taken. It must outweigh the difference between a
# target that just succeeded and an unknown one (about 0.08), so that both get requests.
UTILIZATION_PENALTY = 0.2
# Part of a failure's cost that an idempotent request is spared since it may be retried.
# It is small because retries come out of a limited budget.
RETRY_DISCOUNT = 0.15
# From this failure probability on, each request in flight at a target costs the given
# penalty, so that the target gets about one request at a time.
TRIAL_FAILURE_PROBABILITY = 0.2
TRIAL_IN_FLIGHT_PENALTY = 0.25
# Bonus for an open connection, which saves a handshake. It must stay below the score
# difference between failing and healthy targets.
OPEN_CONNECTION_BONUS = 0.03
# How many times longer a cold target takes than a warm one.
COLD_SLOWDOWN = 2.0
# Value that a response loses between the safe part of the objective and the time limit.
LATE_PENALTY = 0.5
# The fraction of the objective within which a response has its full value. Durations
# vary: a response expected exactly at the objective is late about half of the time.
SAFE_OBJECTIVE_FRACTION = 0.6
# Cost of sending to another data centre: a fixed part and a part for each kilobyte.
# Large requests leave the data centre only if the local targets probably fail: for
# 60 kB it costs about half of what their loss would.
CROSS_DATA_CENTRE_COST = 0.03
CROSS_DATA_CENTRE_COST_PER_KB = 0.006
# Utilization assumed for targets of a data centre whose load is unknown.
UNKNOWN_LOAD_UTILIZATION = 0.5


class ChoiceRule(enum.Enum):
    """Why a target was chosen."""

    BEST = "best"
    FLOOR_TRIAL = "floor-trial"
    # Sent to learn whether a suspected or new target is sound.
    PROBE = "probe"


class Candidate(NamedTuple):
    """
    A usable target and its current state.

    `failure_probability` is that of a send to it. `is_load_known` tells whether
    `in_flight` includes the requests of the target's own data centre. `wait` is the
    delay in seconds that the target's rate limit imposes on a request. `pace` is the
    target's duration relative to the typical one.
    """

    target: Target
    failure_probability: float
    in_flight: int
    is_cold: bool
    is_local: bool
    has_connection: bool = False
    is_load_known: bool = True
    wait: float = 0.0
    pace: float = 1.0


class RequestProfile(NamedTuple):
    """
    The properties of a request that target selection uses, with times in seconds.

    `typical_duration` is the usual duration of such a request on an idle target,
    without waiting. `objective_left` and `time_left` are what remains of its objective
    and of its time limit. `kilobytes` is the size of the body and the usual response.
    `are_probes_repeatable` tells whether the service gets requests that may be repeated
    and can thus show without loss whether a target has recovered.
    """

    kind: RequestKind
    typical_duration: float
    objective_left: float
    time_left: float
    kilobytes: float
    are_probes_repeatable: bool = False


class Choice(NamedTuple):
    """
    The chosen candidate with its score and expected duration.

    `expected_duration` is counted from the send, after any rate limit delay.
    `slowdown` is its ratio to the duration on an idle, warm target, or while requests
    are scheduled, on the same target when idle.
    """

    candidate: Candidate
    score: float
    expected_duration: float
    slowdown: float
    rule: ChoiceRule = ChoiceRule.BEST


def choose_target(candidates, profile, rng):
    """
    Choose the target for a send.

    Args:
      candidates: A list of `Candidate`.
      profile: The `RequestProfile`.
      rng: A `random.Random`, used to break ties.
    Returns:
      A `Choice`, or None without candidates.
    """
    best = None
    best_key = None
    for candidate in candidates:
        slowdown = expected_slowdown(candidate)
        expected_duration = profile.typical_duration * slowdown
        score = score_candidate(candidate, profile, candidate.wait + expected_duration)
        key = (score, rng.random())
        if best is None or key > best_key:
            best, best_key = Choice(candidate, score, expected_duration, slowdown), key
    return best


def choose_scheduled(candidates, profile, rng):
    """
    Choose the target for a send while requests are scheduled.

    Takes and returns the same as `choose_target`.
    """
    choices = []
    for candidate in candidates:
        slowdown = queue_slowdown(candidate)
        expected_duration = profile.typical_duration * candidate.pace * slowdown
        score = score_by_outcome(candidate, profile, candidate.wait + expected_duration)
        choices.append(Choice(candidate, score, expected_duration, slowdown))
    return pick_among_best(choices, rng)


def expected_slowdown(candidate):
    """
    Return the factor by which a request takes longer than on an idle, warm target.

    Requests beyond the slots queue, and a cold target is slower.
    """
    slots = max(1, candidate.target.slots)
    ahead = max(0, candidate.in_flight + 1 - slots)
    return (COLD_SLOWDOWN if candidate.is_cold else 1.0) * (1.0 + ahead / slots)


def score_candidate(candidate, profile, expected_duration):
    """Return the score of a send; a certain response in time is worth 1."""
    fails = candidate.failure_probability
    cost = fails * (1.0 - RETRY_DISCOUNT) if profile.kind.is_idempotent else fails
    score = (1.0 - cost) * _timeliness(expected_duration, profile)
    score -= UTILIZATION_PENALTY * _utilization(candidate)
    if candidate.failure_probability >= TRIAL_FAILURE_PROBABILITY:
        score -= TRIAL_IN_FLIGHT_PENALTY * candidate.in_flight
    if candidate.has_connection:
        score += OPEN_CONNECTION_BONUS
    if not candidate.is_local:
        score -= (
            CROSS_DATA_CENTRE_COST + CROSS_DATA_CENTRE_COST_PER_KB * profile.kilobytes
        )
    return score


def _utilization(candidate):
    """
    Return the fraction of a target's slots that are taken, at most 1.

    Requests beyond the slots are accounted for by the expected duration.
    """
    if not candidate.is_load_known:
        return UNKNOWN_LOAD_UTILIZATION
    return min(1.0, candidate.in_flight / max(1, candidate.target.slots))


def _timeliness(expected_duration, profile):
    """Return the value, from 0 to 1, of a response expected after some seconds."""
    if expected_duration >= profile.time_left:
        return 0.0
    safe = SAFE_OBJECTIVE_FRACTION * profile.objective_left
    if expected_duration <= safe:
        return 1.0
    span = max(0.001, profile.time_left - safe)
    return 1.0 - LATE_PENALTY * (expected_duration - safe) / span
