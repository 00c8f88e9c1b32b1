"""
Whether a request is sent now, waits on its host, or is refused.

The loads it answers: all targets full for a moment, and targets that fail while the
sound ones are full. A request that has not been sent costs only its waiting time, while
a failure of a request that must not be repeated is final. So a request waits while one
more step of waiting gains more than it costs (the one-step look-ahead rule of optimal
stopping). The gain is the chance that a better target comes free within the step, and
the cost is what the response loses by coming a step later.

Values are relative to a response within the objective, worth 1.
"""

import enum
from typing import NamedTuple

# Seconds of one step of waiting. Requests in flight at other hosts are known about this
# much later.
STEP = 0.1
# The value of a response between objective and deadline: callers use some of them.
LATE_VALUE = 0.4
# Durations vary around their typical value. A response expected at this fraction of the
# time left is nearly certain to be in time, and at the other one to be late.
SURE_FRACTION = 0.5
HOPELESS_FRACTION = 1.5
# Value lost by the failure of a request that may be repeated. Its retry needs a part of
# the retry budget, and a sound target as well.
REPEATABLE_LOSS = 0.7
# Other hosts notice the same free slot. Chance of getting one that is expected free.
CAPTURE_CHANCE = 0.5
# A request is refused if its typical duration exceeds its time left by this factor: it
# would hardly ever be answered in time.
MAX_DURATION_FACTOR = 2.0
# A target is sound up to this failure probability. It lies above that of a target about
# which nothing is known, and below that of one that has failed twice.
SOUND_FAILURE_PROBABILITY = 0.25

# Seconds of the typical delay after a first rejection.
FIRST_REJECTION_DELAY = 0.1
# The fraction of the time left that one such delay may take up.
MAX_REJECTION_DELAY_FRACTION = 0.25


class Verdict(enum.Enum):
    """What to do with a request."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class Reason(enum.Enum):
    """Why a request is sent, waits or is refused."""

    HAS_ROOM = "room"
    BEST_NOW = "best-now"
    LAST_CHANCE = "last-chance"
    TARGETS_FULL = "targets-full"
    BETTER_EXPECTED = "better-expected"
    BACKING_OFF = "backing-off"
    TARGETS_LIMITED = "targets-limited"
    PACED = "paced"
    NO_RETRY_LEFT = "no-retry-left"
    TOO_LATE = "too-late"


class Option(NamedTuple):
    """
    The best send that is possible now.

    `room` is the number of requests in flight below which the request may join the
    target (`room.max_in_flight`). `expected_duration` is in seconds and includes the
    wait at the target.
    """

    failure_probability: float
    in_flight: int
    room: int
    expected_duration: float


class Outlook(NamedTuple):
    """
    What is expected to come free at the sound targets of a service.

    `slots` counts their slots, `open_slots` the free ones, and `failure_probability` is
    their mean. `waiting` is the number of requests on all hosts that wait for them,
    including the one that is decided on.
    """

    slots: int
    open_slots: int
    failure_probability: float
    waiting: float


class Need(NamedTuple):
    """What a request needs; times in seconds from now."""

    is_repeatable: bool
    typical_duration: float
    objective_left: float
    time_left: float


class Decision(NamedTuple):
    """
    A verdict and its reason.

    `is_pressing` tells whether a send would be late a step later.
    """

    verdict: Verdict
    reason: Reason
    is_pressing: bool = False


NO_OUTLOOK = Outlook(0, 0, 1.0, 1.0)


def is_too_late(need: Need) -> bool:
    """Return whether a request can hardly be answered before its deadline."""
    return need.time_left * MAX_DURATION_FACTOR <= need.typical_duration


def is_clear(option: Option) -> bool:
    """Return whether a send has room at a sound target, so that waiting gains none."""
    return (
        option.in_flight < option.room
        and option.failure_probability <= SOUND_FAILURE_PROBABILITY
    )


def decide(option: Option, outlook: Outlook, need: Need) -> Decision:
    """
    Decide on a request.

    Args:
      option: The best `Option` now.
      outlook: The `Outlook` of the request's service.
      need: The request's `Need`.
    Returns:
      A `Decision`.
    """
    if is_clear(option) and need.time_left > 0.0:
        # Also sent if its time is short: the typical duration is learned from sends.
        return Decision(Verdict.SEND, Reason.HAS_ROOM, is_pressing(option, need))
    if is_too_late(need):
        return Decision(Verdict.REFUSE, Reason.TOO_LATE)
    if option.in_flight >= option.room:
        # Sent all the same, late requests would queue at targets before those that can
        # still be in time, and all would be late.
        return Decision(Verdict.WAIT, Reason.TARGETS_FULL)
    if _is_last_chance(option, need):
        return Decision(Verdict.SEND, Reason.LAST_CHANCE, True)
    if _gain_of_waiting(option, outlook, need) > 0.0:
        return Decision(Verdict.WAIT, Reason.BETTER_EXPECTED)
    return Decision(Verdict.SEND, Reason.BEST_NOW, is_pressing(option, need))


def is_pressing(option: Option, need: Need) -> bool:
    """Return whether a send a step later would miss the objective or the deadline."""
    duration = option.expected_duration
    misses_objective = need.objective_left - STEP <= duration <= need.objective_left
    return misses_objective or _is_last_chance(option, need)


def _is_last_chance(option, need):
    """Return whether a response would probably miss the deadline a step later."""
    return need.time_left - STEP <= option.expected_duration


def _gain_of_waiting(option, outlook, need):
    """Return the value gained by waiting for one step instead of sending now."""
    now = _value(option.failure_probability, option.expected_duration, 0.0, need)
    later = _value(option.failure_probability, option.expected_duration, STEP, need)
    sound = _value(outlook.failure_probability, need.typical_duration, STEP, need)
    chance = chance_of_slot(outlook, need.typical_duration)
    return chance * max(sound, later) + (1.0 - chance) * later - now


def chance_of_slot(outlook: Outlook, typical_duration: float) -> float:
    """
    Return the probability that a waiting request gets a sound slot within a step.

    Slots come free at the rate at which requests of the typical duration end, and are
    divided among the requests that wait for them.
    """
    coming_free = outlook.slots * STEP / max(STEP, typical_duration)
    per_request = (outlook.open_slots + coming_free) / max(1.0, outlook.waiting)
    return CAPTURE_CHANCE * min(1.0, per_request)


def _value(failure_probability, duration, delay, need):
    """Return the expected value of a send after a delay."""
    loss = REPEATABLE_LOSS if need.is_repeatable else 1.0
    return (1.0 - failure_probability * loss) * value_of_response(
        delay + duration, need
    )


def value_of_response(seconds: float, need: Need) -> float:
    """Return the expected value of a response that typically comes after a time."""
    in_time = _chance_within(seconds, need.objective_left)
    before_deadline = _chance_within(seconds, need.time_left)
    return before_deadline * (LATE_VALUE + (1.0 - LATE_VALUE) * in_time)


def _chance_within(seconds, limit):
    """Return the probability that a response comes within a limit."""
    if limit <= 0.0:
        return 0.0
    fraction = seconds / limit
    span = HOPELESS_FRACTION - SURE_FRACTION
    return min(1.0, max(0.0, (HOPELESS_FRACTION - fraction) / span))


def latest_start(deadline: float, typical_duration: float) -> float:
    """Return when a request has to be sent at the latest to be answered in time."""
    return deadline - typical_duration / MAX_DURATION_FACTOR


def next_attempt_delay(rejections: int, time_left: float, rng) -> float:
    """
    Return the seconds for which a request waits after targets have rejected it.

    The delay doubles with each rejection, so that a service that rejects for seconds
    isn't sent all attempts within milliseconds. It is random, so that requests rejected
    together do not return together, and leaves most of the time for the attempts.
    """
    delay = FIRST_REJECTION_DELAY * 2 ** max(0, rejections - 1)
    longest = max(0.0, time_left) * MAX_REJECTION_DELAY_FRACTION
    return min(delay, longest) * rng.uniform(0.5, 1.5)
