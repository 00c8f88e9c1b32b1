"""
How likely it is that a request to a target fails, from the recent work of all hosts.

Targets fail grayly in spells: for some seconds most of their work fails, at once or
never answered, while their health endpoint reports that all is well. So a target is
taken for a process with two states, sound and failing, that changes at random times.
Each outcome moves the probability of the failing state by Bayes' rule, and time moves
it back toward the share of targets that usually fail. This one filter gives fast
detection (one failure in a calm fleet raises the probability to about 0.8), patience
(it falls below a third some three seconds later, so the target is tried again) and a
cheap way back (one whole answer ends most of the suspicion).

Paths fail too, each by itself: a target that one host cannot reach may serve all
others. A silence may come from either, and only the host that met it can act on it
without harm. So each host keeps the same filter for its own path to each target, and
what it tells the others of a silence says little of the target until others meet it.
"""

import math
from typing import NamedTuple

# Shares of failed requests in either state; links lose a few of those of sound targets.
FAILS_SOUND = 0.02
FAILS_FAILING = 0.7
# Mean seconds of a sound and of a failing spell.
SOUND_FOR = 22.0
FAILING_FOR = 8.0
USUAL = FAILING_FOR / (SOUND_FOR + FAILING_FOR)
SETTLE = 1.0 / (1.0 / SOUND_FOR + 1.0 / FAILING_FOR)
# Share of the sends to a failing target that hang, or that it refuses though it has
# room; most failing targets answer at once.
RARE_FAILING = 0.5
# What one host's silence says of the target to all: a connection that was not opened,
# or a request that hangs. Dead targets are met by every host that sends to them, and
# three silences of any hosts weigh as much as a failure that was answered. With more,
# targets that some of the hosts cannot reach are taken for dead by all.
MAX_SILENCE_LIKELIHOOD_RATIO = 4.0
# A connection that is not answered, for the path of the host that opened it.
UNREACHABLE_LIKELIHOOD_RATIO = 100.0
SUCCESS_LIKELIHOOD_RATIO = (1.0 - FAILS_FAILING) / (1.0 - FAILS_SOUND)
FAILURE_LIKELIHOOD_RATIO = FAILS_FAILING / FAILS_SOUND
MOST = 0.995
# Shares of failed requests over a sound and over a broken path. Packets are lost here
# and there; a cut path loses all.
PATH_FAILS_SOUND = 0.005
PATH_FAILS_BROKEN = 0.9
PATH_SUCCESS_LIKELIHOOD_RATIO = (1.0 - PATH_FAILS_BROKEN) / (1.0 - PATH_FAILS_SOUND)
# Cuts last as long as spells of targets and meet one path in thirty.
PATH_BROKEN_FOR = 8.0
PATH_USUAL = 0.03


class Spells(NamedTuple):
    """
    What is known beforehand of a process that fails in spells.

    `usual` is the share of time in the failing state, `settle` the seconds in which
    what was learnt loses most of its worth, and the other two are the shares of
    requests that fail in either state.
    """

    usual: float
    settle: float
    fails_sound: float
    fails_failing: float


TARGET_SPELLS = Spells(USUAL, SETTLE, FAILS_SOUND, FAILS_FAILING)
PATH_MODEL = Spells(
    PATH_USUAL,
    PATH_BROKEN_FOR * (1.0 - PATH_USUAL),
    PATH_FAILS_SOUND,
    PATH_FAILS_BROKEN,
)


class FailureEstimator:
    """
    The probability that a target, or the path to it, is in its failing state.

    Args:
      spells: The `Spells` of such a process.
    """

    def __init__(self, spells=TARGET_SPELLS):
        self._spells = spells
        self._failing = spells.usual
        self._at = -math.inf

    def failing_probability(self, now):
        """Return the probability of the failing state by now."""
        usual = self._spells.usual
        if self._at == -math.inf:
            return usual
        kept = math.exp(-max(0.0, now - self._at) / self._spells.settle)
        return usual + (self._failing - usual) * kept

    def failure_probability(self, now):
        """Return the probability that a request sent now fails."""
        failing = self.failing_probability(now)
        spells = self._spells
        return failing * spells.fails_failing + (1.0 - failing) * spells.fails_sound

    def update(self, ratio, now):
        """
        Apply Bayes' rule.

        Args:
          ratio: How much likelier what was seen is of a failing target than of a sound
            one.
          now: The present, in seconds.
        """
        failing = self.failing_probability(now)
        odds = failing / (1.0 - failing) * ratio
        self._failing = min(MOST, odds / (1.0 + odds))
        self._at = now


def rare_outcome_likelihood_ratio(share):
    """
    Return the weight of an end that says the more the rarer it is.

    That is a send that is stuck, or one that is refused with room.

    Args:
      share: The share of all such sends to which that happens. On a route whose work
        often takes longer than its time, or in a service that refuses much, it says
        little of one target.
    """
    return max(1.0, RARE_FAILING / share)
