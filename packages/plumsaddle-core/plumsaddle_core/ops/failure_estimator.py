"""
Estimates of the probability that a request to a target fails.

A failing target often fails most of its requests for some seconds while its health
endpoint still reports success. A target is therefore modelled as a two-state process,
healthy or failing, that changes state at random times. Each outcome updates the
probability of the failing state by Bayes' rule, and between outcomes it decays toward
the prior within seconds, so that a target that has failed is tried again.

Network paths are modelled alike, since a target that one host cannot reach may serve
all others. Each host keeps an estimate for its own path to each target. A timeout may
come from the target or from the path, so one that another host reports counts little
for the target until several hosts have seen it.
"""

import math
from typing import NamedTuple

# Failure rates of requests in either state. Some requests to healthy targets fail since
# the network loses packets.
HEALTHY_FAILURE_RATE = 0.02
FAILING_FAILURE_RATE = 0.7
# Mean duration of a healthy and of a failing period.
MEAN_HEALTHY_SECONDS = 22.0
MEAN_FAILING_SECONDS = 8.0
# Stationary probability of the failing state, and the time constant of the decay to it.
PRIOR_FAILING = MEAN_FAILING_SECONDS / (MEAN_HEALTHY_SECONDS + MEAN_FAILING_SECONDS)
DECAY_SECONDS = 1.0 / (1.0 / MEAN_HEALTHY_SECONDS + 1.0 / MEAN_FAILING_SECONDS)
# Fraction of the sends to a failing target that hang, or that it rejects with slots
# free. Most failing targets respond at once.
RARE_OUTCOME_RATE_FAILING = 0.5
# Bound on what a timeout at one host, of a connection or a request, counts for the
# target. A higher bound would let a broken path mark a target as failing for all hosts.
MAX_SILENCE_LIKELIHOOD_RATIO = 4.0
# For the path of the host whose connection attempt got no response.
UNREACHABLE_LIKELIHOOD_RATIO = 100.0
MAX_FAILING_PROBABILITY = 0.995
# Failure rates of requests over a healthy and over a broken path.
PATH_HEALTHY_FAILURE_RATE = 0.005
PATH_BROKEN_FAILURE_RATE = 0.9
PATH_SUCCESS_LIKELIHOOD_RATIO = (1.0 - PATH_BROKEN_FAILURE_RATE) / (
    1.0 - PATH_HEALTHY_FAILURE_RATE
)
# Mean duration of a broken path, which is that of a failing period of a target, and the
# fraction of paths that are broken.
PATH_MEAN_BROKEN_SECONDS = 8.0
PATH_PRIOR_BROKEN = 0.03


class FailureModel(NamedTuple):
    """
    Parameters of a two-state failure process.

    `prior` is the stationary probability of the failing state, `decay_seconds` the time
    constant with which the estimate returns to it. The rates are the fractions of
    requests that fail in either state. No number of successes brings the estimate below
    `least`, since spells begin without notice.
    """

    prior: float
    decay_seconds: float
    healthy_failure_rate: float
    failing_failure_rate: float
    least: float = 0.0

    @property
    def success_ratio(self):
        """The likelihood ratio of a success: failing to healthy state."""
        return (1.0 - self.failing_failure_rate) / (1.0 - self.healthy_failure_rate)

    @property
    def failure_ratio(self):
        """The likelihood ratio of a failure: failing to healthy state."""
        return self.failing_failure_rate / self.healthy_failure_rate


TARGET_MODEL = FailureModel(
    PRIOR_FAILING, DECAY_SECONDS, HEALTHY_FAILURE_RATE, FAILING_FAILURE_RATE
)
# Used while requests are scheduled. A spell is rare, so that one failure of a target
# that answers well is most likely one of its usual errors and the second one is not. An
# estimate keeps for longer than a spell mostly lasts, so that it isn't paid for anew.
SCHEDULING_MEAN_HEALTHY_SECONDS = 200.0
SCHEDULING_MEAN_FAILING_SECONDS = 12.0
SCHEDULING_HEALTHY_FAILURE_RATE = 0.015
SCHEDULING_TARGET_MODEL = FailureModel(
    SCHEDULING_MEAN_FAILING_SECONDS
    / (SCHEDULING_MEAN_HEALTHY_SECONDS + SCHEDULING_MEAN_FAILING_SECONDS),
    1.0
    / (1.0 / SCHEDULING_MEAN_HEALTHY_SECONDS + 1.0 / SCHEDULING_MEAN_FAILING_SECONDS),
    SCHEDULING_HEALTHY_FAILURE_RATE,
    FAILING_FAILURE_RATE,
    least=0.01,
)
PATH_MODEL = FailureModel(
    PATH_PRIOR_BROKEN,
    PATH_MEAN_BROKEN_SECONDS * (1.0 - PATH_PRIOR_BROKEN),
    PATH_HEALTHY_FAILURE_RATE,
    PATH_BROKEN_FAILURE_RATE,
)


class FailureEstimator:
    """
    The probability that a target, or the path to it, is in its failing state.

    Args:
      model: The `FailureModel` to use.
    """

    def __init__(self, model=TARGET_MODEL):
        self._model = model
        self._probability = model.prior
        self._updated_at = -math.inf

    def failing_probability(self, now):
        """Return the probability of the failing state."""
        prior = self._model.prior
        if self._updated_at == -math.inf:
            return prior
        kept = math.exp(-max(0.0, now - self._updated_at) / self._model.decay_seconds)
        return prior + (self._probability - prior) * kept

    def failure_probability(self, now):
        """Return the probability that a request sent now fails."""
        failing = self.failing_probability(now)
        model = self._model
        return (
            failing * model.failing_failure_rate
            + (1.0 - failing) * model.healthy_failure_rate
        )

    def update(self, likelihood_ratio, now):
        """
        Apply Bayes' rule to an observation.

        Args:
          likelihood_ratio: The probability of the observation in the failing state,
            divided by that in the healthy state.
          now: The current time in seconds.
        """
        failing = self.failing_probability(now)
        odds = failing / (1.0 - failing) * likelihood_ratio
        probability = max(self._model.least, odds / (1.0 + odds))
        self._probability = min(MAX_FAILING_PROBABILITY, probability)
        self._updated_at = now


def rare_outcome_likelihood_ratio(share):
    """
    Return the likelihood ratio of an overdue send, or of a rejection with slots free.

    The rarer such outcomes are among all sends, the more one shows about its target.

    Args:
      share: The fraction of all comparable sends that end so.
    """
    return max(1.0, RARE_OUTCOME_RATE_FAILING / share)
