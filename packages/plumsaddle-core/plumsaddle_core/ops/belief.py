"""
How likely it is that a target fails the next request, from the zone's recent work.

Targets fail grayly in spells: for some seconds most of their work fails, at once or
never answered, while their health endpoint reports that all is well. So a target is
taken for a process with two states, sound and failing, that changes at random times.
Each outcome moves the probability of the failing state by Bayes' rule, and time moves
it back toward the share of targets that usually fail. This one filter gives fast
detection (one failure in a calm zone raises the probability to about 0.8), patience
(it falls below a third some three seconds later, so the target is tried again) and a
cheap way back (one whole answer ends most of the suspicion).
"""

import math

# Shares of failed requests in either state. Sound targets fail one request in eighty
# and lose a few more to links; failing ones were seen between 0.4 and 0.9.
FAILS_SOUND = 0.02
FAILS_FAILING = 0.7
# Mean seconds of a sound and of a failing spell, from the seconds for which trouble
# lasted on recorded days.
SOUND_FOR = 22.0
FAILING_FOR = 8.0
USUAL = FAILING_FOR / (SOUND_FOR + FAILING_FOR)
SETTLE = 1.0 / (1.0 / SOUND_FOR + 1.0 / FAILING_FOR)
# Share of the sends to a failing target that hang, or that it refuses though it has
# room; most failing targets answer at once.
RARE_FAILING = 0.5
# An unreachable target has failed more surely than one that answered 500.
UNREACHABLE_RATIO = 200.0
WHOLE_RATIO = (1.0 - FAILS_FAILING) / (1.0 - FAILS_SOUND)
FAILED_RATIO = FAILS_FAILING / FAILS_SOUND
MOST = 0.995


class Belief:
    """The probability that one target is in its failing state."""

    def __init__(self):
        self._failing = USUAL
        self._at = -math.inf

    def failing(self, now):
        """Return the probability of the failing state by now."""
        if self._at == -math.inf:
            return USUAL
        kept = math.exp(-max(0.0, now - self._at) / SETTLE)
        return USUAL + (self._failing - USUAL) * kept

    def fails(self, now):
        """Return the probability that a request sent now fails."""
        failing = self.failing(now)
        return failing * FAILS_FAILING + (1.0 - failing) * FAILS_SOUND

    def weigh(self, ratio, now):
        """
        Apply Bayes' rule.

        Args:
          ratio: How much likelier what was seen is of a failing target than of a sound
            one.
          now: The present, in seconds.
        """
        failing = self.failing(now)
        odds = failing / (1.0 - failing) * ratio
        self._failing = min(MOST, odds / (1.0 + odds))
        self._at = now


def rare_ratio(share):
    """
    Return the weight of an end that says the more the rarer it is.

    That is a send that is stuck, or one that is refused with room.

    Args:
      share: The share of all such sends to which that happens. On a route whose work
        often takes longer than its time, or in a service that refuses much, it says
        little of one target.
    """
    return max(1.0, RARE_FAILING / share)
