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
from plumsaddle_core.core.traffic import SchedulingMode, SendOutcome, TargetState
from plumsaddle_core.limits.membership import Membership
from plumsaddle_core.limits.meter import Tolerance
from plumsaddle_core.limits.quotas import ASSUMED_HOSTS, Quotas
from plumsaddle_core.limits.targets import TargetLimits
from plumsaddle_core.ops.availability import Availability
from plumsaddle_core.ops.choice import RequestProfile
from plumsaddle_core.ops.paths import HostPaths
from plumsaddle_core.ops.peer_updates import DEFERRABLE_SIGNALS, HealthSignal
from plumsaddle_core.ops.registry import Registry
from plumsaddle_core.ops.route_table import build_route_table, choose_service
from plumsaddle_core.ops.shared_state import SharedState
from plumsaddle_core.ops.topic_position import Position
from plumsaddle_core.ops.urgency import (
    priorities_by_service,
    ranks_by_service,
    relative_urgency,
    request_priority,
    route_ranks,
    usable_retry_fraction,
)
from plumsaddle_core.ops.workspaces import index_keys, short_digest
from plumsaddle_core.scheduling.retry_budget import HEDGE_FRACTION

from ..platform import wire
from .clock import now
from .downloads import Downloads
from .grace import GracePeriod
from .limits import RateLimits
from .notices import NoticeRecorder
from .target_selection import TargetSelection

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
        # The record of the configuration in force.
        self.cfg_data = b""
        # The configuration found in the store before one is in force, its record, and
        # when it was found.
        self._first = None
        self._first_data = b""
        self._first_at = math.inf
        self.may_begin_with = lambda version, listed_at, now: True
        self._has_downloads = False
        self._decoder = wire.ConfigurationDecoder()
        self.route_table = {}
        self.workspaces_by_key = {}
        self._priorities = {}
        self._ranks = {}
        self._route_ranks = {}
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
                assumes_bursts=settings.has_seeds,
                assumed_hosts=ASSUMED_HOSTS if settings.has_seeds else 1,
            ),
            limits=TargetLimits(
                Membership(settings.id, now(), settings.has_seeds), rng
            ),
            availability=Availability(bounds.leaving),
        )
        self.availability = self.shared.availability
        self.grace = GracePeriod(self.shared.times)
        self.paths = HostPaths()
        self._response_bytes = {}
        self.downloads = Downloads(lambda: self.settings, self.typical_response_bytes)
        self.limits = RateLimits(
            settings, self.shared.limits, self.registry, self._notify
        )
        self.notices = NoticeRecorder(self.availability, self.limits, self._notify)
        self.selection = TargetSelection(self)
        self._on_change = None
        self._on_restart = None
        self.on_send_end = None
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
    def version(self):
        """The version of the configuration in force, or 0."""
        return self.cfg.version if self.cfg is not None else 0

    @property
    def is_complete(self):
        """Whether both a configuration and the list of targets were received."""
        return self.cfg is not None and self.has_targets

    @property
    def is_scheduling(self):
        """Whether requests are scheduled under the settings and configuration."""
        mode = self.settings.scheduling
        if mode is SchedulingMode.AUTO:
            return self._has_downloads
        return mode is SchedulingMode.ON

    @property
    def is_queueing(self):
        """Whether requests wait on this host for a target."""
        return self.is_scheduling and self.settings.request_queue

    @property
    def scores_outcomes(self):
        """Whether targets are scored by what callers get."""
        return (
            self.is_scheduling
            and Feature.OUTCOME_SCORES not in self.settings.disabled_features
        )

    # Called by the feeds.

    def apply_operator_records(self, page):
        """Apply a `Page` of the operators' records."""
        at = now()
        for record in page.records:
            if record.key == wire.CONFIGURATION_KEY and record.value is not None:
                self._note_stored_version(record.value, at)

    def _note_stored_version(self, data, at):
        cfg = self._decode_configuration(data)
        if cfg is None:
            return
        if self.cfg is not None:
            self._apply_configuration(cfg, data, "store")
            return
        if self._first is None:
            self._first_at = at
        if self._first is None or cfg.version > self._first.version:
            self._first, self._first_data = cfg, data
        self.apply_first_version(at)

    def apply_first_version(self, at):
        """Apply the version found in the store, unless others may have a newer one."""
        if self._first is None or self.cfg is not None:
            return
        if self.may_begin_with(self._first.version, self._first_at, at):
            self._apply_configuration(self._first, self._first_data, "store")

    def apply_received_version(self, data):
        """Apply the record of a version that another host has in force."""
        cfg = self._decode_configuration(data)
        if cfg is not None:
            self._apply_configuration(cfg, data, "host")

    def _decode_configuration(self, data):
        cfg = self._decoder.decode(data)
        if cfg is None:
            log.error("cannot decode configuration", extra={"bytes": len(data)})
        return cfg

    def _apply_configuration(self, cfg, data, source):
        former = self.cfg.version if self.cfg else None
        if former is not None and cfg.version <= former:
            log.info(
                "ignoring outdated configuration",
                extra={"version": cfg.version, "in_force": former},
            )
            return
        # All of it is built before any of it is in force.
        route_table = build_route_table(cfg.routes)
        workspaces_by_key, ambiguous = index_keys(cfg.workspaces)
        priorities = priorities_by_service(cfg.routes, cfg.workspaces)
        ranks = ranks_by_service(cfg.routes, cfg.workspaces)
        self.cfg = cfg
        self.cfg_data = data
        self._first, self._first_data = None, b""
        self._has_downloads = cfg.has_downloads
        self.shared.health.set_scheduling(self.scores_outcomes)
        self.route_table = route_table
        self.workspaces_by_key = workspaces_by_key
        for digest in ambiguous:
            log.error(
                "key belongs to several workspaces", extra={"key": short_digest(digest)}
            )
        self.shared.quotas.configure(cfg.workspaces, now())
        self._priorities = priorities
        self._ranks = ranks
        self._route_ranks = route_ranks(cfg.routes)
        names = {route.name for route in cfg.routes}
        self.shared.times.retain_routes(names)
        retained = {
            name: size for name, size in self._response_bytes.items() if name in names
        }
        self._response_bytes = retained
        fields = {"version": cfg.version, "former": former, "source": source}
        log.info("version", extra=fields)

    def apply_target_listing(self, page):
        """Apply a full listing of the targets."""
        at = now()
        names = {record.key for record in page.records if record.value is not None}
        end = Position(page.era, page.next_offset)
        missing = self.registry.missing(names, end)
        self._apply_targets(page, at, missing, is_listing=True)
        self.has_targets = True

    def apply_target_changes(self, page):
        """Apply changes to the list of targets."""
        self._apply_targets(page, now(), {})

    def _apply_targets(self, page, at, removed, is_listing=False):
        """
        Apply a page of entries.

        Args:
          page: The `Page`.
          at: The current time, in seconds.
          removed: Positions by id of further targets that were removed.
          is_listing: Whether the page lists all targets.
        """
        for record in page.records:
            position = Position(page.era, record.offset)
            if record.value is None:
                removed[record.key] = position
                continue
            removed.pop(record.key, None)
            self._apply_entry(record, position, at)
        self.registry.drop(removed, at, is_listing)
        for target_id in removed:
            log.info("unlisted", extra={"target": target_id})
        incarnations = self.registry.incarnations()
        self.shared.evict_targets(incarnations, at)
        self.paths.evict(incarnations, at)
        self.notices.evict(incarnations)

    def _apply_entry(self, record, position, at):
        """Apply one entry, which may be invalid."""
        result = wire.decode_target(record.key, record.value, at)
        if isinstance(result, Failure):
            self.registry.reject(record.key, position)
            log.error(
                "ignoring invalid target entry",
                extra={"target": record.key, "cause": result.failure()},
            )
            return
        target = result.unwrap()
        revision = self.registry.revision
        former = self.registry.put(target, position, at)
        log.info(
            self._name_of_change(target, revision),
            extra={
                "target": target.id,
                "born": target.started_at,
                "sequence": target.sequence,
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

    def _name_of_change(self, target, revision):
        """Return the name of what an entry has changed since a registry's revision."""
        if self.registry.is_relisted(target.id):
            return "relisted"
        return "listed" if self.registry.revision != revision else "outdated entry"

    def expire(self, at):
        """Drop targets whose entries have expired."""
        for target_id in self.registry.expire(at):
            log.info("lapsed", extra={"target": target_id})

    # Called by the listener.

    def admit(self, workspace, route, at):
        """
        Count a request of a workspace, and return the `QuotaDecision` on it.

        Args:
          workspace: The `Workspace`, or None if the request has none.
          route: The `Route`.
          at: The current time, in seconds.
        """
        decision = self.shared.quotas.acquire(workspace, at, self.quota_rank(route))
        if not decision.is_admitted:
            # Refused requests count towards the fleet's demand. Admitted ones are
            # reported with their send.
            self._notify(is_urgent=False)
        return decision

    def quota_rank(self, route):
        """
        Return the rank of a route's requests within a workspace's limit.

        It is 0 for the most urgent ones, and None if scheduling is off.
        """
        return self._route_ranks.get(route.priority) if self.is_scheduling else None

    def note_over_limit(self, route, at):
        """
        Count a request that was refused over its workspace's limit as not served.

        The floor of a service's targets holds while a part of its requests is not
        served, whatever the reason.
        """
        service = choose_service(route, self.rng)
        self.shared.note_request_end(service, False, at)

    def urgency(self, service, route, workspace):
        """Return the relative urgency of a request in its service, from 0.0 to 1.0."""
        return relative_urgency(
            self._priorities.get(service, ()), request_priority(route, workspace)
        )

    def rank_urgency(self, service, priority):
        """Return the urgency of a `RequestPriority` in its service, also by route."""
        return relative_urgency(self._ranks.get(service, ()), priority)

    # Called by the relay.

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
        return self._has_retry(service, usable_retry_fraction(urgency))

    def retry_wait(self, service, urgency):
        """Return the seconds until the budget may admit a retry, 0.0 if it may now."""
        return self.shared.retry_wait(
            service, self._retry_extra(), now(), usable_retry_fraction(urgency)
        )

    def may_hedge(self, service, urgency):
        """As `may_retry`, for a second send while the first is outstanding."""
        fraction = usable_retry_fraction(urgency)
        if self.is_scheduling:
            fraction *= HEDGE_FRACTION
        return self._has_retry(service, fraction)

    def _has_retry(self, service, usable_fraction):
        extra = self._retry_extra()
        if not self.is_scheduling:
            return self.shared.may_retry(service, extra, now(), usable_fraction)
        probability = self.shared.retry_probability(
            service, extra, now(), usable_fraction
        )
        return self.rng.random() < probability

    def _retry_extra(self):
        """Return this data centre's part of the fixed allowance of retries."""
        data_centre_count = max(1, len(self.settings.data_centres))
        return self.settings.bounds.retry_extra / data_centre_count

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
        if self.on_send_end is not None:
            self.on_send_end(target.service)

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

    def note_path_failure(self, target):
        """Note a send that failed on its way, which says little about its target."""
        self.shared.health.note_path_failure(target.incarnation, now())

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
