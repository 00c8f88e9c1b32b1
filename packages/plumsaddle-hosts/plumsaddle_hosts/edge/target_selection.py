"""
Selection of a target for a send, from the targets that a host knows.

The core scores the candidates (`ops/choice`). This module decides which targets are
candidates: those that restrictions admit, a preferred subset of a large service, or the
one target that is due for a trial.
"""

import logging

from plumsaddle_core.core.features import Feature
from plumsaddle_core.health.probes import Probes
from plumsaddle_core.ops.choice import (
    Candidate,
    ChoiceRule,
    choose_scheduled,
    choose_target,
)
from plumsaddle_core.ops.floor import (
    TRIAL_MAX_FAILING_PROBABILITY,
    Trials,
    find_coverage,
)
from plumsaddle_core.ops.subset import (
    MAX_TARGETS_WITHOUT_SUBSET,
    MIN_SUBSET_SCORE,
    EventRate,
    order_targets,
    subset_size,
)

log = logging.getLogger("floor")
# The same as `MIN_SUBSET_SCORE` while requests are scheduled: lower scores mean that
# all targets of the subset are full, slow or probably failing.
MIN_SCHEDULED_SUBSET_SCORE = 0.85
# Orders are floor trials while requests are scheduled only of targets that most likely
# don't fail, unless the service is degraded.
ORDER_TRIAL_MAX_FAILING_PROBABILITY = 0.2
# Seconds between two log lines on the unused targets of a degraded service.
COVERAGE_LOG_INTERVAL = 1.0


class TargetSelection:
    """
    The selection of targets on one host.

    Args:
      state: The `HostState`.
    """

    def __init__(self, state):
        self._state = state
        self._target_orders = {}
        self._rates = {}
        self._trials = Trials(state.rng)
        self._probes = Probes(state.rng)
        self._coverage_logged_at = {}

    def choose(self, service, profile, excluded, has_connection, at, max_wait=0.0):
        """
        Choose a target for a send.

        The first send of a request may be a trial that maintains the service's floor.

        Args:
          service: The service's name.
          profile: The `RequestProfile`.
          excluded: The ids of targets that must not be chosen.
          has_connection: Called with the incarnation of a target; returns whether there
            is an open connection to it.
          at: The current time, in seconds.
          max_wait: How long the request may wait for the rate limit of a target, if
            there is no other good choice, in seconds.
        Returns:
          A `Choice`, or None if there is no target.
        """
        usable = self._admissible(service, 0.0, at)
        choice = self._choose_usable(
            service, usable, profile, excluded, has_connection, at
        )
        if not self._has_restrictions or self._is_final(choice):
            return choice
        others = self._admissible(service, max_wait, at, may_drain=True)
        if len(others) == len(usable):
            return choice
        candidates = [target for target in others if target.id not in excluded]
        return self._choose_among(candidates, profile, has_connection, at)

    def _is_good_enough(self, choice):
        """Return whether a choice scores as well as one of all targets likely would."""
        scores_outcomes = self._state.scores_outcomes
        least = MIN_SCHEDULED_SUBSET_SCORE if scores_outcomes else MIN_SUBSET_SCORE
        return choice is not None and choice.score >= least

    def _is_final(self, choice):
        """Return whether targets with a wait needn't be considered."""
        is_trial = choice is not None and choice.rule is not ChoiceRule.BEST
        return is_trial or self._is_good_enough(choice)

    @property
    def _has_restrictions(self):
        """Whether any target restricts the requests that it takes."""
        return self._state.limits.has_any or self._state.availability.has_any

    def _admissible(self, service, max_wait, at, may_drain=False):
        """
        Return the targets of a service that may be sent a request within `max_wait`.

        With `may_drain`, these include draining targets in their grace period.
        """
        # All hosts must compute the shares of limits from the same targets, so the
        # draining ones, which each host learns at its own time, are left out later.
        targets = self._state.limits.admissible(service, max_wait, at)
        availability = self._state.availability
        if not availability.has_any:
            return targets
        is_admissible = availability.may_send if may_drain else availability.is_open
        return [target for target in targets if is_admissible(target.incarnation, at)]

    def backoff(self, service, at):
        """Return the seconds until the first target of a service ends its backoff."""
        if not self._state.availability.has_any:
            return 0.0
        backoffs = [
            self._state.availability.backoff(target.incarnation, at)
            for target in self._state.registry.usable(service)
            if not self._state.availability.is_draining(target.incarnation)
        ]
        return min(backoffs, default=0.0)

    def _choose_usable(self, service, usable, profile, excluded, has_connection, at):
        """Choose among targets to which a request may be sent immediately."""
        may_send_trial = (
            not excluded
            and Feature.FLOOR_TRIALS not in self._state.settings.disabled_features
        )
        kind = profile.kind
        if self._state.scores_outcomes:
            profile = profile._replace(
                are_probes_repeatable=self._probes.has_repeatable(service, at)
            )
        if may_send_trial:
            trial, rule = self._find_trial_or_probe(service, kind, usable, at)
            if trial is not None:
                targets = [target for target in usable if target.incarnation == trial]
                choice = self._choose_among(targets, profile, has_connection, at)
                return choice._replace(rule=rule)
        rate = self._rates.setdefault(service, EventRate()).note_event(at)
        subset = self._subset(service, usable, rate)
        preferred = [target for target in subset if target.id not in excluded]
        choice = self._choose_among(preferred, profile, has_connection, at)
        if self._is_good_enough(choice) or len(subset) == len(usable):
            return choice
        candidates = [target for target in usable if target.id not in excluded]
        return self._choose_among(candidates, profile, has_connection, at)

    def _subset(self, service, usable, rate):
        """Return the targets of a service that this host prefers."""
        if len(usable) <= MAX_TARGETS_WITHOUT_SUBSET:
            return usable
        revision, order = self._target_orders.get(service, (-1, None))
        if revision != self._state.registry.revision:
            settings = self._state.settings
            listed = self._state.registry.usable(service)
            order = order_targets(listed, settings.id, settings.data_centre)
            self._target_orders[service] = (self._state.registry.revision, order)
        hosts = self._state.shared.live_host_count()
        subset = order.subset(subset_size(len(order.local), hosts, rate))
        if not self._has_restrictions:
            return subset
        incarnations = {target.incarnation for target in usable}
        return [target for target in subset if target.incarnation in incarnations]

    def _choose_among(self, targets, profile, has_connection, at):
        candidates = [self._candidate(target, has_connection, at) for target in targets]
        choose = choose_scheduled if self._state.scores_outcomes else choose_target
        return choose(candidates, profile, self._state.rng)

    def _find_trial_or_probe(self, service, kind, usable, at):
        """
        Return the local incarnation that a request has to go to, or None, and why.
        """
        if not self._state.scores_outcomes:
            return self._find_trial(service, usable, at), ChoiceRule.FLOOR_TRIAL
        probe = self._probes.find(
            service,
            kind,
            lambda: sorted(self._trial_incarnations(usable, at)[1]),
            self._state.shared,
            at,
        )
        if probe is not None:
            return probe, ChoiceRule.PROBE
        max_failing = (
            TRIAL_MAX_FAILING_PROBABILITY
            if kind.is_idempotent
            else ORDER_TRIAL_MAX_FAILING_PROBABILITY
        )
        trial = self._find_trial(service, usable, at, max_failing)
        return trial, ChoiceRule.FLOOR_TRIAL

    def _find_trial(
        self, service, usable, at, max_failing=TRIAL_MAX_FAILING_PROBABILITY
    ):
        """Return the local incarnation that needs a trial for the floor, or None."""
        self._log_coverage(service, usable, at)
        return self._trials.find(
            service,
            lambda: self._trial_incarnations(usable, at),
            self._state.shared,
            self._state.settings.bounds.floor_share,
            at,
            max_failing,
        )

    def _log_coverage(self, service, usable, at):
        """Log which targets of a degraded service are unused, at intervals."""
        shared = self._state.shared
        if at < self._coverage_logged_at.get(service, 0.0) + COVERAGE_LOG_INTERVAL:
            return
        is_overall = shared.is_degraded_overall(service, at)
        if not (is_overall or shared.is_degraded(service, at)):
            return
        self._coverage_logged_at[service] = at
        coverage = find_coverage(
            [target.incarnation for target in usable],
            lambda incarnation: shared.failing_probability(incarnation, at),
            shared.last_used_at,
            at,
        )
        unused = {key: round(value, 2) for key, value in coverage.unused.items()}
        fields = {"service": service, "targets": coverage.targets, "unused": unused}
        fields["share"] = round(coverage.share, 3)
        log.info("degraded", extra={**fields, "overall": is_overall})

    def _trial_incarnations(self, usable, at):
        """Return all usable incarnations, and those that this host may send trials."""
        local = {
            target.incarnation
            for target in usable
            if target.data_centre == self._state.settings.data_centre
            and not self._state.shared.is_path_broken(target.incarnation, at)
        }
        return [target.incarnation for target in usable], local

    def _candidate(self, target, has_connection, at):
        is_local = target.data_centre == self._state.settings.data_centre
        is_cold = at < target.read_at + target.warmup
        pace = 1.0
        if self._state.scores_outcomes:
            paces = self._state.shared.health.paces
            pace = paces.pace(target.incarnation, is_cold, at)
        return Candidate(
            target,
            self._state.shared.failure_probability(target.incarnation, at),
            self._state.shared.in_flight(target.incarnation),
            is_cold,
            is_local,
            Feature.OPEN_CONNECTIONS not in self._state.settings.disabled_features
            and has_connection(target.incarnation),
            is_local or self._state.shared.knows_remote_load(target.data_centre, at),
            self._state.limits.wait(target, at),
            pace,
        )
