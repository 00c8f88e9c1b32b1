"""
Failure estimates of targets and of this host's network paths to them.

Every outcome of a send, at this host or reported by another, updates the estimate of
its target. A send without a response also updates the path of the host that made it,
since the path may be the cause. Outcomes that change an estimate enough are queued for
the other data centres.
"""

import math

from ..health.pace import Paces
from .failure_estimator import (
    MAX_SILENCE_LIKELIHOOD_RATIO,
    PATH_MODEL,
    PATH_SUCCESS_LIKELIHOOD_RATIO,
    SCHEDULING_TARGET_MODEL,
    TARGET_MODEL,
    UNREACHABLE_LIKELIHOOD_RATIO,
    FailureEstimator,
    rare_outcome_likelihood_ratio,
)
from .peer_updates import Evidence, HealthSignal

# Signals without any response from the target: the network path may be the cause.
NO_RESPONSE_SIGNALS = {HealthSignal.UNREACHABLE, HealthSignal.OVERDUE}
# Signals of a complete response, whose duration tells the target's pace.
RESPONSE_SIGNALS = {HealthSignal.SUCCEEDED, HealthSignal.LATE}
# A path that is broken with at least this probability is not used for trials.
BROKEN_PATH_THRESHOLD = 0.2
# Outcomes that change the probability that the target is failing by at least this much
# are sent to other data centres. A success of a healthy target changes it by 0.03, a
# failure by 0.6, and a success of a suspected target by 0.15 and more.
MIN_SHIFT_TO_SHARE = 0.1


class TargetHealth:
    """
    The failure estimates of one host.

    Args:
      times: The `RouteTimes`, which also learn from outcomes.
      evidence: The `Outbox` for other data centres.
      has_path_evidence: Whether sends without a response are attributed to this host's
        own network path first.
    """

    def __init__(self, times, evidence, has_path_evidence=True):
        self.target_estimators = {}
        self.path_estimators = {}
        self._times = times
        self._evidence = evidence
        self._has_path_evidence = has_path_evidence
        self.paces = Paces()
        self._model = TARGET_MODEL
        self._prior = FailureEstimator(self._model)

    def set_scheduling(self, is_scheduling):
        """
        Estimate failures for the choice of targets with or without scheduling.

        A change drops all estimates, since they don't compare.
        """
        model = SCHEDULING_TARGET_MODEL if is_scheduling else TARGET_MODEL
        if model is not self._model:
            self._model = model
            self._prior = FailureEstimator(model)
            self.target_estimators = {}

    def apply_own(self, outcome, now):
        """Apply the `OutcomeRecord` of one of this host's sends."""
        self._update_path(outcome.target, self.apply(outcome, now), now)

    def note_path_failure(self, incarnation, now):
        """Record that this host's way to a target, perhaps not its own path, failed."""
        self._update_path(incarnation, MAX_SILENCE_LIKELIHOOD_RATIO, now)

    def apply_remote(self, evidence, now):
        """Apply an `Evidence` from another data centre."""
        # Some failures are visible from one data centre only, so remote evidence has
        # half the weight of local evidence.
        self._estimator(evidence.target).update(math.sqrt(evidence.ratio), now)

    def evict(self, listed):
        """Evict the estimates of incarnations that are no longer listed."""
        self.target_estimators = {
            key: b for key, b in self.target_estimators.items() if key in listed
        }
        self.paces.evict(listed)
        self.path_estimators = {
            key: b for key, b in self.path_estimators.items() if key in listed
        }

    def failure_probability(self, incarnation, now):
        """Return the probability that a send from this host to a target fails."""
        target_fails = self.target_estimators.get(
            incarnation, self._prior
        ).failure_probability(now)
        path_fails = self.path_estimators.get(
            incarnation, _PATH_PRIOR
        ).failure_probability(now)
        return 1.0 - (1.0 - target_fails) * (1.0 - path_fails)

    def is_path_broken(self, incarnation, now):
        """Return whether this host's network path to a target is probably broken."""
        return (
            self.path_estimators.get(incarnation, _PATH_PRIOR).failing_probability(now)
            >= BROKEN_PATH_THRESHOLD
        )

    def failing_probability(self, incarnation, now):
        """Return the probability that a target is in its failing state."""
        estimator = self.target_estimators.get(incarnation, self._prior)
        return estimator.failing_probability(now)

    def _estimator(self, incarnation):
        estimator = self.target_estimators.get(incarnation)
        if estimator is None:
            estimator = self.target_estimators[incarnation] = FailureEstimator(
                self._model
            )
        return estimator

    def apply(self, outcome, now):
        """
        Update the target's failure estimate with an outcome.

        Returns:
          The likelihood ratio for the path between the reporting host and the target.
        """
        self._note_pace(outcome, now)
        ratio = self._likelihood_ratio(outcome)
        path_ratio = PATH_SUCCESS_LIKELIHOOD_RATIO
        if outcome.signal in NO_RESPONSE_SIGNALS and self._has_path_evidence:
            path_ratio = ratio
            ratio = min(MAX_SILENCE_LIKELIHOOD_RATIO, ratio)
        if ratio != 1.0:
            before = self.failing_probability(outcome.target, now)
            self._estimator(outcome.target).update(ratio, now)
            if (
                abs(self.failing_probability(outcome.target, now) - before)
                >= MIN_SHIFT_TO_SHARE
            ):
                number = self._evidence.next_number
                self._evidence.add(Evidence(number, outcome.target, ratio))
        return path_ratio

    def _note_pace(self, outcome, now):
        """Learn the target's pace from an outcome."""
        if self._model is not SCHEDULING_TARGET_MODEL:
            return
        typical = self._times.known_duration(outcome.service, outcome.route)
        if typical is None:
            return
        if outcome.signal in RESPONSE_SIGNALS:
            self.paces.note_duration(outcome.target, outcome.seconds, typical, now)
        elif outcome.signal is HealthSignal.OVERDUE:
            self.paces.note_overdue(outcome.target, outcome.seconds, typical, now)

    def _update_path(self, incarnation, ratio, now):
        """Update the failure estimate of this host's path to a target."""
        path = self.path_estimators.get(incarnation)
        if path is None:
            if ratio < 1.0 or not self._has_path_evidence:
                return
            path = self.path_estimators[incarnation] = FailureEstimator(PATH_MODEL)
        path.update(ratio, now)

    def _likelihood_ratio(self, outcome):
        """Return the likelihood ratio of an outcome: failing to healthy target."""
        if outcome.signal is HealthSignal.SUCCEEDED:
            self._times.note_success(outcome.service, outcome.route, outcome.seconds)
            return self._model.success_ratio
        if outcome.signal is HealthSignal.SHED:
            return rare_outcome_likelihood_ratio(self._times.note_shed(outcome.service))
        if outcome.signal is HealthSignal.LATE:
            self._times.note_late(outcome.service, outcome.route, outcome.seconds)
            return 1.0
        if outcome.signal is HealthSignal.OVERDUE:
            return rare_outcome_likelihood_ratio(
                self._times.note_overdue(outcome.service, outcome.route)
            )
        if outcome.signal is HealthSignal.FAILED:
            return self._model.failure_ratio
        return UNREACHABLE_LIKELIHOOD_RATIO


_PATH_PRIOR = FailureEstimator(PATH_MODEL)
