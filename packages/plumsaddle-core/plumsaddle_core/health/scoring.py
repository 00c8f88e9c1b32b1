"""
Scores of targets by what the caller gets, for use while requests are scheduled.

This answers a load in which sound targets have all slots taken while others fail most
of their requests. A failed order loses everything, and a late response about half, so
both are weighed on one scale: a busy sound target is preferred to an idle one that
probably fails, until its response would be later than the failure is likely. Load in
itself costs little, just enough to spread requests over equal targets.

Several hosts choose by loads that are a tenth of a second old. Each takes the best of a
random half of the targets that score well, so that they don't all choose the same one.
"""

import math

# What a response after the objective loses, where a response in time is worth 1.
LATE_LOSS = 0.5
# The fractions of the objective between which an expected duration turns from surely in
# time to surely late. Durations vary by about this much.
IN_TIME_FRACTION = 0.6
LATE_FRACTION = 1.4
# The fraction of the time limit from which on responses may be too late altogether.
SAFE_TIME_FRACTION = 0.6
# What the failure of a repeatable request costs: a second send, which takes time and
# comes out of a limited budget.
REPEATABLE_FAILURE_COST = 0.5
# Score lost by a target with all slots taken. It must exceed the difference between an
# unknown target and a proven one, so that new targets get requests.
LOAD_COST = 0.05
# Load in multiples of the slots from which on more load costs no more.
MAX_LOAD = 4.0
# A target is suspected of a failing spell if a send to it fails with at least this
# probability, which exceeds that of an unknown target.
SUSPECT_FAILURE_PROBABILITY = 0.15
# A target is proven if a send to it fails with a lower probability: it has answered
# since it was unknown, or has failed.
UNPROVEN_FAILURE_PROBABILITY = 0.08
# Score that an unproven target loses by each request in flight, so that it gets about
# one at a time until it has answered. A data centre knows this of its own targets only.
UNPROVEN_IN_FLIGHT_COST = 0.25
# Score that a suspected target loses for an order while repeatable requests can show
# whether it has recovered.
SUSPECT_ORDER_COST = 0.15
# Bonus for an open connection, which saves a handshake.
OPEN_CONNECTION_BONUS = 0.01
# Cost of sending to another data centre: a fixed part and a part for each kilobyte.
CROSS_DATA_CENTRE_COST = 0.03
CROSS_DATA_CENTRE_COST_PER_KB = 0.006
# Load assumed for targets of a data centre whose load is unknown.
UNKNOWN_LOAD = 0.5
# Targets whose score is lower than the best by up to this much are chosen instead of it
# if they are in the random half. It is the difference of an idle and a full target.
SAMPLED_SCORE_RANGE = 0.05


def is_suspected(candidate):
    """Return whether a candidate may be in a failing spell."""
    return candidate.failure_probability >= SUSPECT_FAILURE_PROBABILITY


def queue_slowdown(candidate):
    """Return the factor by which the wait for a slot lengthens a request."""
    slots = max(1, candidate.target.slots)
    return 1.0 + max(0, candidate.in_flight + 1 - slots) / slots


def score_by_outcome(candidate, profile, expected_duration):
    """
    Return the expected value of a send to its caller, less its costs for others.

    Args:
      candidate: The `Candidate`.
      profile: The `RequestProfile`.
      expected_duration: The seconds until the response, with any wait.
    """
    fails = candidate.failure_probability
    if profile.kind.is_idempotent:
        fails *= REPEATABLE_FAILURE_COST
    score = (1.0 - fails) * value_after(expected_duration, profile)
    score -= LOAD_COST * _load(candidate)
    if _is_unproven(candidate):
        score -= UNPROVEN_IN_FLIGHT_COST * candidate.in_flight
    is_order = not profile.kind.is_idempotent
    if is_order and profile.are_probes_repeatable and is_suspected(candidate):
        score -= SUSPECT_ORDER_COST
    if candidate.has_connection:
        score += OPEN_CONNECTION_BONUS
    if not candidate.is_local:
        score -= (
            CROSS_DATA_CENTRE_COST + CROSS_DATA_CENTRE_COST_PER_KB * profile.kilobytes
        )
    return score


def value_after(expected_duration, profile):
    """Return the value, from 0 to 1, of a response expected after some seconds."""
    objective, limit = profile.objective_left, profile.time_left
    late = _ramp(
        expected_duration, IN_TIME_FRACTION * objective, LATE_FRACTION * objective
    )
    missed = _ramp(expected_duration, SAFE_TIME_FRACTION * limit, limit)
    return (1.0 - LATE_LOSS * late) * (1.0 - missed)


def pick_among_best(choices, rng):
    """Return the best of a random half of the `Choice`s that score well, or None."""
    if not choices:
        return None
    least = max(choice.score for choice in choices) - SAMPLED_SCORE_RANGE
    good = [choice for choice in choices if choice.score >= least]
    sample = rng.sample(good, math.ceil(len(good) / 2))
    return max(sample, key=lambda choice: choice.score)


def _is_unproven(candidate):
    least = (
        UNPROVEN_FAILURE_PROBABILITY
        if candidate.is_local
        else SUSPECT_FAILURE_PROBABILITY
    )
    return candidate.failure_probability >= least


def _load(candidate):
    """
    Return the load of a target in multiples of its slots, this request included.

    A request takes up a slow target for longer, so it counts for more there.
    """
    if not candidate.is_load_known:
        return UNKNOWN_LOAD
    slots = max(1, candidate.target.slots)
    return min(MAX_LOAD, (candidate.in_flight + 1) * candidate.pace / slots)


def _ramp(value, start, end):
    """Return 0 up to `start`, 1 from `end` on, and the fraction between them."""
    if value >= end:
        return 1.0
    return max(0.0, (value - start) / (end - start))
