"""
The state of one host: configuration, targets, load and health of its data centre.

The relay chooses targets here and reports outcomes; the feeds and the peers keep the
state current. This module opens no sockets.
"""

import logging
import math
import random

from returns.result import Failure

from plumsaddle_core.core.features import Feature
from plumsaddle_core.core.traffic import SendOutcome, TargetState
from plumsaddle_core.limits.membership import Membership
from plumsaddle_core.limits.meter import Tolerance
from plumsaddle_core.limits.quotas import Quotas
from plumsaddle_core.limits.targets import TargetLimits
from plumsaddle_core.ops.availability import Availability
from plumsaddle_core.ops.choice import (
    Candidate,
    ChoiceRule,
    RequestProfile,
    choose_target,
)
from plumsaddle_core.ops.floor import Trials
from plumsaddle_core.ops.peer_updates import DEFERRABLE_SIGNALS, HealthSignal
from plumsaddle_core.ops.registry import Registry
from plumsaddle_core.ops.route_table import build_route_table
from plumsaddle_core.ops.shared_state import SharedState
from plumsaddle_core.ops.subset import (
    MAX_TARGETS_WITHOUT_SUBSET,
    MIN_SUBSET_SCORE,
    EventRate,
    order_targets,
    subset_size,
)
from plumsaddle_core.ops.urgency import (
    priorities_by_service,
    relative_urgency,
    request_priority,
    usable_retry_fraction,
)
from plumsaddle_core.ops.workspaces import index_keys, short_digest

from ..platform import wire
from .clock import now
from .limits import RateLimits
from .notices import NoticeRecorder

log = logging.getLogger("knowledge")
# The assumed size of a route's responses before one was received, in bytes.
DEFAULT_RESPONSE_BYTES = 2000.0
# The weight of the latest response in the moving average of their sizes.
RESPONSE_BYTES_WEIGHT = 0.1
SIGNALS_BY_OUTCOME = {
    SendOutcome.SUCCEEDED: HealthSignal.SUCCEEDED,
    SendOutcome.UNREACHABLE: HealthSignal.UNREACHABLE,
    # Another target has the address, so this one has stopped although it is listed.
    SendOutcome.WRONG_TARGET: HealthSignal.UNREACHABLE,
    SendOutcome.TIMED_OUT: HealthSignal.OVERDUE,
    SendOutcome.FAILED: HealthSignal.FAILED,
    SendOutcome.NOT_RUN: HealthSignal.SHED,
    SendOutcome.BROKEN: HealthSignal.FAILED,
    SendOutcome.UNSIGNED: HealthSignal.FAILED,
}


def _is_good_enough(choice):
    """Return whether a choice scores as well as one among all targets likely would."""
    return choice is not None and choice.score >= MIN_SUBSET_SCORE


def _is_final(choice):
    """Return whether targets for which the request must wait needn't be considered."""
    is_trial = choice is not None and choice.rule is ChoiceRule.FLOOR_TRIAL
    return is_trial or _is_good_enough(choice)


class HostState:
    """
    The state from which one host decides how it handles requests.

    Args:
      settings: The `HostSettings`.
      rng: A `random.Random`.
    """

    def __init__(self, settings, rng=random):
        self.settings = settings
        self.rng = rng
        self.cfg = None
        self.route_table = {}
        self.workspaces_by_key = {}
        self._priorities = {}
        self.registry = Registry()
        self.has_targets = False
        bounds = settings.bounds
        self.shared = SharedState(
            bounds.retry_ratio,
            bounds.retry_window,
            now(),
            has_path_evidence=Feature.PATH_EVIDENCE not in settings.disabled_features,
            quotas=Quotas(
                Tolerance(
                    bounds.quota_window, bounds.quota_overshoot, bounds.quota_slack
                ),
                len(settings.data_centres),
                rng,
            ),
            limits=TargetLimits(
                Membership(settings.id, now(), settings.has_seeds), rng
            ),
            availability=Availability(bounds.leaving),
        )
        self.availability = self.shared.availability
        self._response_bytes = {}
        self.limits = RateLimits(
            settings, self.shared.limits, self.registry, self._notify
        )
        self.notices = NoticeRecorder(self.availability, self.limits, self._notify)
        self._target_orders = {}
        self._rates = {}
        self._trials = Trials()
        self._on_change = None
        self._on_restart = None
        self.configuration_age = lambda at: math.inf

    def subscribe(self, on_change, on_restart, configuration_age):
        """
        Set the callbacks.

        Args:
          on_change: Called when the load or outcomes of this host change, with whether
            the change is urgent for other hosts.
          on_restart: Called with the former incarnation of a target that restarted.
          configuration_age: Called with the current time; returns the seconds since
            the store confirmed that the current configuration is the newest.
        """
        self._on_change = on_change
        self._on_restart = on_restart
        self.configuration_age = configuration_age

    @property
    def is_complete(self):
        """Whether both a configuration and the list of targets were received."""
        return self.cfg is not None and self.has_targets

    # Called by the feeds.

    def apply_operator_records(self, page):
        """Apply a `Page` of the operators' records."""
        for record in page.records:
            if record.key == wire.CONFIGURATION_KEY and record.value is not None:
                self._apply_configuration(record.value)

    def _apply_configuration(self, data):
        cfg = wire.decode_configuration(data)
        if cfg is None:
            log.error("cannot decode configuration", extra={"bytes": len(data)})
            return
        former = self.cfg.version if self.cfg else None
        if former is not None and cfg.version <= former:
            log.info(
                "ignoring outdated configuration",
                extra={"version": cfg.version, "in_force": former},
            )
            return
        self.cfg = cfg
        self.route_table = build_route_table(cfg.routes)
        self.workspaces_by_key, ambiguous = index_keys(cfg.workspaces)
        for digest in ambiguous:
            log.error(
                "key belongs to several workspaces", extra={"key": short_digest(digest)}
            )
        self.shared.quotas.configure(cfg.workspaces, now())
        self._priorities = priorities_by_service(cfg.routes, cfg.workspaces)
        names = {route.name for route in cfg.routes}
        self.shared.times.retain_routes(names)
        retained = {
            name: size for name, size in self._response_bytes.items() if name in names
        }
        self._response_bytes = retained
        log.info("version", extra={"version": cfg.version, "former": former})

    def apply_target_listing(self, page):
        """Apply a full listing of the targets."""
        at = now()
        names = {record.key for record in page.records if record.value is not None}
        self._apply_targets(page, at, self.registry.missing(names, page.next_offset))
        self.has_targets = True

    def apply_target_changes(self, page):
        """Apply changes to the list of targets."""
        self._apply_targets(page, now(), {})

    def _apply_targets(self, page, at, removed):
        """
        Apply a page of entries.

        Args:
          page: The `Page`.
          at: The current time, in seconds.
          removed: Offsets by id of further targets that were removed.
        """
        for record in page.records:
            if record.value is None:
                removed[record.key] = record.offset
                continue
            removed.pop(record.key, None)
            self._apply_entry(record, at)
        self.registry.drop(removed, at)
        for target_id in removed:
            log.info("unlisted", extra={"target": target_id})
        incarnations = self.registry.incarnations()
        self.shared.evict_targets(incarnations, at)
        self.notices.evict(incarnations)

    def _apply_entry(self, record, at):
        """Apply one entry, which may be invalid."""
        result = wire.decode_target(record.key, record.value, at)
        if isinstance(result, Failure):
            self.registry.reject(record.key, record.offset)
            log.error(
                "ignoring invalid target entry",
                extra={"target": record.key, "cause": result.failure()},
            )
            return
        target = result.unwrap()
        former = self.registry.put(target, record.offset, at)
        log.info(
            "listed",
            extra={
                "target": target.id,
                "born": target.started_at,
                "service": target.service,
                "address": target.address,
                "state": target.state.value,
            },
        )
        if former is not None:
            log.info(
                "restarted", extra={"target": target.id, "former": former.incarnation}
            )
            if self._on_restart is not None:
                self._on_restart(former.incarnation)

    def expire(self, at):
        """Drop targets whose entries have expired."""
        for target_id in self.registry.expire(at):
            log.info("lapsed", extra={"target": target_id})

    # Called by the listener.

    def admit(self, workspace, at):
        """
        Count a request of a workspace, and return the `QuotaDecision` on it.

        Args:
          workspace: The `Workspace`, or None if the request has none.
          at: The current time, in seconds.
        """
        decision = self.shared.quotas.acquire(workspace, at)
        if not decision.is_admitted:
            # Refused requests count towards the fleet's demand. Admitted ones are
            # reported with their send.
            self._notify(is_urgent=False)
        return decision

    def urgency(self, service, route, workspace):
        """Return the relative urgency of a request in its service, from 0.0 to 1.0."""
        return relative_urgency(
            self._priorities.get(service, ()), request_priority(route, workspace)
        )

    # Called by the relay to choose a target.

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
        if not self._has_restrictions or _is_final(choice):
            return choice
        others = self._admissible(service, max_wait, at, may_drain=True)
        if len(others) == len(usable):
            return choice
        candidates = [target for target in others if target.id not in excluded]
        return self._choose_among(candidates, profile, has_connection, at)

    @property
    def _has_restrictions(self):
        """Whether any target restricts the requests that it takes."""
        return self.limits.has_any or self.availability.has_any

    def _admissible(self, service, max_wait, at, may_drain=False):
        """
        Return the targets of a service that may be sent a request within `max_wait`.

        With `may_drain`, these include draining targets in their grace period.
        """
        # All hosts must compute the shares of limits from the same targets, so the
        # draining ones, which each host learns at its own time, are left out later.
        targets = self.limits.admissible(service, max_wait, at)
        availability = self.availability
        if not availability.has_any:
            return targets
        is_admissible = availability.may_send if may_drain else availability.is_open
        return [target for target in targets if is_admissible(target.incarnation, at)]

    def backoff(self, service, at):
        """Return the seconds until the first target of a service ends its backoff."""
        if not self.availability.has_any:
            return 0.0
        backoffs = [
            self.availability.backoff(target.incarnation, at)
            for target in self.registry.usable(service)
            if not self.availability.is_draining(target.incarnation)
        ]
        return min(backoffs, default=0.0)

    def _choose_usable(self, service, usable, profile, excluded, has_connection, at):
        """Choose among targets to which a request may be sent immediately."""
        may_send_trial = (
            not excluded and Feature.FLOOR_TRIALS not in self.settings.disabled_features
        )
        trial = self._find_trial(service, usable, at) if may_send_trial else None
        if trial is not None:
            trial_targets = [target for target in usable if target.incarnation == trial]
            choice = self._choose_among(trial_targets, profile, has_connection, at)
            return choice._replace(rule=ChoiceRule.FLOOR_TRIAL)
        rate = self._rates.setdefault(service, EventRate()).note_event(at)
        subset = self._subset(service, usable, rate)
        preferred = [target for target in subset if target.id not in excluded]
        choice = self._choose_among(preferred, profile, has_connection, at)
        if _is_good_enough(choice) or len(subset) == len(usable):
            return choice
        candidates = [target for target in usable if target.id not in excluded]
        return self._choose_among(candidates, profile, has_connection, at)

    def _subset(self, service, usable, rate):
        """Return the targets of a service that this host prefers."""
        if len(usable) <= MAX_TARGETS_WITHOUT_SUBSET:
            return usable
        revision, order = self._target_orders.get(service, (-1, None))
        if revision != self.registry.revision:
            settings = self.settings
            listed = self.registry.usable(service)
            order = order_targets(listed, settings.id, settings.data_centre)
            self._target_orders[service] = (self.registry.revision, order)
        hosts = self.shared.live_host_count()
        subset = order.subset(subset_size(len(order.local), hosts, rate))
        if not self._has_restrictions:
            return subset
        incarnations = {target.incarnation for target in usable}
        return [target for target in subset if target.incarnation in incarnations]

    def _choose_among(self, targets, profile, has_connection, at):
        candidates = [self._candidate(target, has_connection, at) for target in targets]
        return choose_target(candidates, profile, self.rng)

    def _find_trial(self, service, usable, at):
        """Return the local incarnation that needs a trial for the floor, or None."""
        return self._trials.find(
            service,
            lambda: self._trial_incarnations(usable, at),
            self.shared,
            self.settings.bounds.floor_share,
            at,
        )

    def _trial_incarnations(self, usable, at):
        """Return all usable incarnations, and those that this host may send trials."""
        local = {
            target.incarnation
            for target in usable
            if target.data_centre == self.settings.data_centre
            and not self.shared.is_path_broken(target.incarnation, at)
        }
        return [target.incarnation for target in usable], local

    def _candidate(self, target, has_connection, at):
        is_local = target.data_centre == self.settings.data_centre
        return Candidate(
            target,
            self.shared.failure_probability(target.incarnation, at),
            self.shared.in_flight(target.incarnation),
            at < target.read_at + target.warmup,
            is_local,
            Feature.OPEN_CONNECTIONS not in self.settings.disabled_features
            and has_connection(target.incarnation),
            is_local or self.shared.knows_remote_load(target.data_centre, at),
            self.limits.wait(target, at),
        )

    def request_profile(self, route, service, started, deadline, kilobytes, at):
        """Return the current `RequestProfile` of a request."""
        return RequestProfile(
            route.kind,
            self.shared.times.typical_duration(service, route.name),
            started + route.latency_objective - at,
            deadline - at,
            kilobytes,
        )

    def typical_response_bytes(self, route):
        """Return the typical size of a route's responses, in bytes."""
        return self._response_bytes.get(route.name, DEFAULT_RESPONSE_BYTES)

    def note_response_size(self, route, size):
        """Note the size of a complete response, in bytes."""
        former = self.typical_response_bytes(route)
        self._response_bytes[route.name] = former + RESPONSE_BYTES_WEIGHT * (
            size - former
        )

    def is_usable(self, target):
        """Return whether an incarnation of a target is listed and not draining."""
        return self._is_ready(target) and not self.availability.is_draining(
            target.incarnation
        )

    def may_send(self, target, at):
        """
        Return whether a request may be sent to an incarnation of a target now.

        Every send must pass this check last: the target may have been chosen before its
        state changed.
        """
        return (
            self._is_ready(target)
            and self.availability.may_send(target.incarnation, at)
            and (not self.limits.has_any or self.limits.may_send(target, at))
        )

    def _is_ready(self, target):
        listed = self.registry.targets.get(target.id)
        if listed is None or listed.incarnation != target.incarnation:
            return False
        return listed.state is TargetState.READY

    def may_retry(self, service, urgency):
        """
        Return whether the retry budget admits one more send for a service.

        Args:
          service: The service's name.
          urgency: The urgency of the request, from 0.0 to 1.0.
        """
        data_centre_count = max(1, len(self.settings.data_centres))
        extra = self.settings.bounds.retry_extra / data_centre_count
        return self.shared.may_retry(
            service, extra, now(), usable_retry_fraction(urgency)
        )

    # Called by the relay to report sends.

    def note_send_start(self, target):
        """Count a send as in flight."""
        self.shared.note_send_start(target.incarnation, now())
        self.limits.acquire(target, now())
        self._notify(is_urgent=False)

    def note_send_end(self, target):
        """Stop counting a send as in flight."""
        self.shared.note_send_end(target.incarnation)
        self._notify(is_urgent=False)

    def note_outcome(self, target, route, outcome, seconds):
        """Note the outcome of a send, or a timeout while it is still unanswered."""
        if outcome is SendOutcome.NOT_RUN and not self._has_room(target):
            return
        if outcome is SendOutcome.NOT_RUN and self.limits.rate(target) is not None:
            # Rejecting requests beyond its rate limit is not a failure.
            return
        self._note_signal(target, route, SIGNALS_BY_OUTCOME.get(outcome), seconds)

    def _has_room(self, target):
        """
        Return whether a local target has a free slot, as far as is known.

        A target that refuses requests although it has free slots never looks busy and
        would attract all requests, unless its refusals count against it.
        """
        is_local = target.data_centre == self.settings.data_centre
        return is_local and self.shared.in_flight(target.incarnation) < target.slots

    def note_run(self, record):
        """Add a `RunRecord` that this host made."""
        if self.shared.suspects.add(record, now(), is_own=True):
            self._notify(is_urgent=True)

    def note_late_response(self, target, route, seconds):
        """Note a complete response to a send whose timeout was already noted."""
        self._note_signal(target, route, HealthSignal.LATE, seconds)

    def _note_signal(self, target, route, signal, seconds):
        if signal is None:
            return
        self.shared.note_outcome(
            target.incarnation, target.service, route.name, signal, seconds, now()
        )
        self._notify(is_urgent=signal not in DEFERRABLE_SIGNALS)

    def _notify(self, is_urgent):
        if self._on_change is not None:
            self._on_change(is_urgent)
