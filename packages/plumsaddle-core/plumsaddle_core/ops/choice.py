"""
Which target gets a request.

Every usable target is given the value that a send to it can be expected to have: the
probability that it answers whole, times what the answer is worth by the time it can
be there, less the price of leaving the data centre. Work spreads over equal targets by
a small term for what they have in flight already, which also gives new targets work
at once and keeps the floor: no target is excluded by evidence, it only ranks lower.

A target that fails in a millisecond is never busy, so choosing by load alone sends it
most of the work. Here its failures count before its idle slots do.
"""

import enum
from typing import NamedTuple

from ..core.traffic import RequestKind, Target

# What filling all slots of a target costs against an empty one, in shares of a
# request's value. It must outweigh the difference between a target that just proved
# itself and one that nothing is known of (about 0.08), so that both get work.
SPREAD = 0.2
# A failed idempotent request may be sent once more, so a failure costs it a little
# less. The relief is small, since the second send comes out of a bounded share.
REPEAT_RELIEF = 0.15
# Probability of failing from which a target gets one request at a time as a trial.
TRIAL_FROM = 0.2
TRIAL_BUSY = 0.25
# What an open connection is worth, in shares of a request's value. A new one costs its
# target a millisecond and a slot meanwhile, and a host meets each of many targets less
# often than connections live. It must stay below the difference between targets that
# fail and targets that do not.
LINK_VALUE = 0.03
# Cold targets take twice the usual time until they are warm.
COLD_FACTOR = 2.0
# Values of an answer after the objective and after the time limit.
LATE_VALUE = 0.5
# The share of the objective that expected time may use before value falls off; work
# times vary, so an answer expected just in time is late about half of the time.
SAFE_SHARE = 0.6
# Leaving the data centre for a request without a body, in shares of its value, and
# for each further kilobyte. Bytes between data centres are the dearest thing here: a
# scan of 60 kB that leaves costs about half of what losing it would cost, so it leaves
# only when the targets near by probably fail.
AWAY_COST = 0.03
AWAY_COST_KB = 0.006
UNCOUNTED_FULLNESS = 0.5


class ChoiceRule(enum.Enum):
    """What chose a target."""

    BEST = "best"
    FLOOR_TRIAL = "floor-trial"


class Candidate(NamedTuple):
    """
    A usable target and what is known of it now.

    `is_counted` tells whether `in_flight` holds the work of its own data centre, and
    `wait` is how long, in seconds, its own rate limit delays a request.
    """

    target: Target
    failure_probability: float
    in_flight: int
    is_cold: bool
    is_local: bool
    has_connection: bool = False
    is_load_known: bool = True
    wait: float = 0.0


class RequestProfile(NamedTuple):
    """
    What a request needs. Times are in seconds from now.

    `usual` is the median time of such work on an idle target, `kilobytes` the size of
    the body and of its usual answer.
    """

    kind: RequestKind
    typical_duration: float
    objective_left: float
    time_left: float
    kilobytes: float


class Choice(NamedTuple):
    """
    The chosen candidate, its value, and the time it is expected to take.

    `load` is how many times longer than on an idle, warm target, and `rule` tells what
    chose it. `expected` is counted from when the request is sent, after any wait.
    """

    candidate: Candidate
    score: float
    expected_duration: float
    slowdown: float
    rule: ChoiceRule = ChoiceRule.BEST


def choose_target(candidates, demand, rng):
    """
    Choose the target for a send.

    Args:
      candidates: A list of `Candidate`.
      demand: The `RequestProfile`.
      rng: A `random.Random`, which decides between equals.
    Returns:
      A `Choice`, or None without candidates.
    """
    best = None
    best_key = None
    for candidate in candidates:
        load = load_of(candidate)
        expected = demand.typical_duration * load
        value = send_value(candidate, demand, candidate.wait + expected)
        key = (value, rng.random())
        if best is None or key > best_key:
            best, best_key = Choice(candidate, value, expected, load), key
    return best


def load_of(candidate):
    """
    Return how many times its work's time a request would spend at a target.

    What is in flight beyond the slots waits, and a cold target is slow.
    """
    slots = max(1, candidate.target.slots)
    ahead = max(0, candidate.in_flight + 1 - slots)
    return (COLD_FACTOR if candidate.is_cold else 1.0) * (1.0 + ahead / slots)


def send_value(candidate, demand, expected):
    """Return the expected value of a send, 1 being a sure answer in time."""
    fails = candidate.failure_probability
    cost = fails * (1.0 - REPEAT_RELIEF) if demand.kind.is_idempotent else fails
    value = (1.0 - cost) * _time_value(expected, demand)
    value -= SPREAD * _fullness(candidate)
    if candidate.failure_probability >= TRIAL_FROM:
        value -= TRIAL_BUSY * candidate.in_flight
    if candidate.has_connection:
        value += LINK_VALUE
    if not candidate.is_local:
        value -= AWAY_COST + AWAY_COST_KB * demand.kilobytes
    return value


def _fullness(candidate):
    """
    Return the share of a target's slots that are taken.

    Beyond its slots a target's work waits, and the expected time says so. Targets of a
    data centre that is not heard are taken to be half busy.
    """
    if not candidate.is_load_known:
        return UNCOUNTED_FULLNESS
    return min(1.0, candidate.in_flight / max(1, candidate.target.slots))


def _time_value(expected, demand):
    """Return what an answer is worth that is expected after some seconds."""
    if expected >= demand.time_left:
        return 0.0
    safe = SAFE_SHARE * demand.objective_left
    if expected <= safe:
        return 1.0
    span = max(0.001, demand.time_left - safe)
    return 1.0 - LATE_VALUE * (expected - safe) / span
