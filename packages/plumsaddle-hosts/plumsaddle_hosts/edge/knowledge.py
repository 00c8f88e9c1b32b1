"""
What a host knows: the configuration, the targets, and the work of its data centre.

The relay asks it for a target and tells it outcomes; the feeds and the peers bring it
up to date. It has no sockets of its own.
"""

import logging
import math
import random

from returns.result import Failure

from plumsaddle_core.core.parts import Feature
from plumsaddle_core.core.traffic import SendOutcome, TargetState
from plumsaddle_core.limits.membership import Membership
from plumsaddle_core.limits.meter import Tolerance
from plumsaddle_core.limits.quotas import Quotas
from plumsaddle_core.limits.targets import TargetLimits
from plumsaddle_core.ops.choice import (
    Candidate,
    ChoiceRule,
    RequestProfile,
    choose_target,
)
from plumsaddle_core.ops.floor import Trials
from plumsaddle_core.ops.news import DEFERRABLE_OUTCOMES, HealthSignal
from plumsaddle_core.ops.registry import Registry
from plumsaddle_core.ops.route_table import build_route_table
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
    usable_retry_share,
)
from plumsaddle_core.ops.workspaces import index_keys, short_digest
from plumsaddle_core.ops.zone import SharedState

from ..platform import wire
from .clock import now
from .limits import RateLimits

log = logging.getLogger("knowledge")
# The size of an answer before one was seen, in bytes, and the part by which each one
# moves the mean: about the last ten count.
ANSWER_AT_FIRST = 2000.0
ANSWER_PART = 0.1
SIGNS = {
    SendOutcome.SUCCEEDED: HealthSignal.SUCCEEDED,
    SendOutcome.UNREACHABLE: HealthSignal.UNREACHABLE,
    # Somebody else has the address, so the target is gone although it is still listed.
    SendOutcome.WRONG_TARGET: HealthSignal.UNREACHABLE,
    SendOutcome.TIMED_OUT: HealthSignal.STUCK,
    SendOutcome.FAILED: HealthSignal.FAILED,
    SendOutcome.NOT_RUN: HealthSignal.SHED,
    SendOutcome.BROKEN: HealthSignal.FAILED,
    SendOutcome.UNSIGNED: HealthSignal.FAILED,
}


def _is_good(choice):
    """Return whether a choice is as good as one among more targets likely is."""
    return choice is not None and choice.score >= MIN_SUBSET_SCORE


def _is_final(choice):
    """Return whether no target for which a request has to wait need be weighed."""
    is_trial = choice is not None and choice.rule is ChoiceRule.FLOOR_TRIAL
    return is_trial or _is_good(choice)


class HostState:
    """
    The state that decides what becomes of requests on one host.

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
        self._ranks = {}
        self.registry = Registry()
        self.has_targets = False
        bounds = settings.bounds
        self.shared = SharedState(
            bounds.retry_ratio,
            bounds.retry_window,
            now(),
            has_paths=Feature.PATH_EVIDENCE not in settings.disabled_features,
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
        )
        self._answer_bytes = {}
        self.limits = RateLimits(
            settings, self.shared.limits, self.registry, self._tell
        )
        self._ranked = {}
        self._rates = {}
        self._trials = Trials()
        self._on_work = None
        self._on_ended = None
        self.configuration_age = lambda at: math.inf

    def subscribe(self, on_work, on_ended, age):
        """
        Set what is called when something changes, or is asked for.

        Args:
          on_work: Called when this host's work or its outcomes change, with whether
            other hosts should know at once.
          on_ended: Called with the former life of a target that has started again.
          age: Called with the present for the seconds since the store said that the
            configuration in force is the newest.
        """
        self._on_work = on_work
        self._on_ended = on_ended
        self.configuration_age = age

    @property
    def is_complete(self):
        """Whether a configuration and the list of targets are here."""
        return self.cfg is not None and self.has_targets

    # What the feeds bring.

    def apply_operator_records(self, page):
        """Take the operators' records of a `Page`."""
        for record in page.records:
            if record.key == wire.CONFIGURATION_KEY and record.value is not None:
                self._take_configuration(record.value)

    def _take_configuration(self, data):
        cfg = wire.decode_configuration(data)
        if cfg is None:
            log.error("unreadable configuration", extra={"bytes": len(data)})
            return
        former = self.cfg.version if self.cfg else None
        if former is not None and cfg.version <= former:
            log.info("old version", extra={"version": cfg.version, "in_force": former})
            return
        self.cfg = cfg
        self.route_table = build_route_table(cfg.routes)
        self.workspaces_by_key, shared = index_keys(cfg.workspaces)
        for digest in shared:
            log.error("shared key", extra={"key": short_digest(digest)})
        self.shared.quotas.configure(cfg.workspaces, now())
        self._ranks = priorities_by_service(cfg.routes, cfg.workspaces)
        names = {route.name for route in cfg.routes}
        self.shared.times.retain_routes(names)
        kept = {
            name: size for name, size in self._answer_bytes.items() if name in names
        }
        self._answer_bytes = kept
        log.info("version", extra={"version": cfg.version, "former": former})

    def apply_target_listing(self, page):
        """Take a full listing of the targets."""
        at = now()
        names = {record.key for record in page.records if record.value is not None}
        self._take_targets(page, at, self.registry.missing(names, page.next_offset))
        self.has_targets = True

    def apply_target_changes(self, page):
        """Take changes to the list of targets."""
        self._take_targets(page, now(), {})

    def _take_targets(self, page, at, gone):
        """Take a page of entries, and the offsets of those that are gone besides."""
        for record in page.records:
            if record.value is None:
                gone[record.key] = record.offset
                continue
            gone.pop(record.key, None)
            self._take_entry(record, at)
        self.registry.drop(gone, at)
        for target_id in gone:
            log.info("unlisted", extra={"target": target_id})
        lives = self.registry.lives()
        self.shared.evict_targets(lives, at)
        self.limits.evict(lives)

    def _take_entry(self, record, at):
        """Take one entry, whoever wrote it."""
        result = wire.decode_target(record.key, record.value, at)
        if isinstance(result, Failure):
            self.registry.reject(record.key, record.offset)
            log.error(
                "unusable entry",
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
            if self._on_ended is not None:
                self._on_ended(former.incarnation)

    def expire(self, at):
        """Drop what has lapsed."""
        for target_id in self.registry.expire(at):
            log.info("lapsed", extra={"target": target_id})

    # What the listener asks.

    def admit(self, workspace, at):
        """
        Return the `QuotaDecision` on a request of a workspace, and count it.

        Args:
          workspace: The `Workspace`, or None for nobody's.
          at: The present, in seconds.
        """
        decision = self.shared.quotas.acquire(workspace, at)
        if not decision.is_admitted:
            # What was refused counts for the fleet's demand and is told too; what is
            # let through is told with its send.
            self._tell(is_urgent=False)
        return decision

    def urgency(self, service, route, workspace):
        """Return how urgent a request is for its service, from 0.0 to 1.0."""
        return relative_urgency(
            self._ranks.get(service, ()), request_priority(route, workspace)
        )

    # What the relay asks.

    def choose(self, service, demand, excluded, has_link, at, longest=0.0):
        """
        Choose a target for a send.

        The first send of a request may be a trial that keeps the service's floor.

        Args:
          service: The service's name.
          demand: The `RequestProfile`.
          excluded: Ids of targets not to be used.
          has_link: A function that tells whether there is an open connection to a life
            of a target.
          at: The present, in seconds.
          longest: The most seconds that the request may wait for a target whose own
            rate limit delays it, if there is no other good choice.
        Returns:
          A `Choice`, or None if there is no target.
        """
        usable = self.limits.within(service, 0.0, at)
        choice = self._choose_usable(service, usable, demand, excluded, has_link, at)
        if longest <= 0.0 or not self.limits.are_any or _is_final(choice):
            return choice
        delayed = self.limits.within(service, longest, at)
        if len(delayed) == len(usable):
            return choice
        every = [target for target in delayed if target.id not in excluded]
        return self._choose_among(every, demand, has_link, at)

    def _choose_usable(self, service, usable, demand, excluded, has_link, at):
        """Choose among targets to which a request may be sent at once."""
        may_try = (
            not excluded and Feature.FLOOR_TRIALS not in self.settings.disabled_features
        )
        trial = self._find_trial(service, usable, at) if may_try else None
        if trial is not None:
            tried = [target for target in usable if target.incarnation == trial]
            choice = self._choose_among(tried, demand, has_link, at)
            return choice._replace(rule=ChoiceRule.FLOOR_TRIAL)
        rate = self._rates.setdefault(service, EventRate()).note(at)
        subset = self._subset(service, usable, rate)
        kept_to = [target for target in subset if target.id not in excluded]
        choice = self._choose_among(kept_to, demand, has_link, at)
        if _is_good(choice) or len(subset) == len(usable):
            return choice
        every = [target for target in usable if target.id not in excluded]
        return self._choose_among(every, demand, has_link, at)

    def _subset(self, service, usable, rate):
        """Return the targets of a service that this host keeps to."""
        if len(usable) <= MAX_TARGETS_WITHOUT_SUBSET:
            return usable
        revision, ranked = self._ranked.get(service, (-1, None))
        if revision != self.registry.revision:
            settings = self.settings
            listed = self.registry.usable(service)
            ranked = order_targets(listed, settings.id, settings.data_centre)
            self._ranked[service] = (self.registry.revision, ranked)
        hosts = self.shared.live_host_count()
        subset = ranked.subset(subset_size(len(ranked.local), hosts, rate))
        if not self.limits.are_any:
            return subset
        lives = {target.incarnation for target in usable}
        return [target for target in subset if target.incarnation in lives]

    def _choose_among(self, targets, demand, has_link, at):
        candidates = [self._weigh(target, has_link, at) for target in targets]
        return choose_target(candidates, demand, self.rng)

    def _find_trial(self, service, usable, at):
        """Return the target near by that must get a request to keep the floor."""
        return self._trials.find(
            service,
            lambda: self._tryable(usable, at),
            self.shared,
            self.settings.bounds.floor_share,
            at,
        )

    def _tryable(self, usable, at):
        """Return the lives of targets, and those that this host may try."""
        near = {
            target.incarnation
            for target in usable
            if target.data_centre == self.settings.data_centre
            and not self.shared.is_path_broken(target.incarnation, at)
        }
        return [target.incarnation for target in usable], near

    def _weigh(self, target, has_link, at):
        is_near = target.data_centre == self.settings.data_centre
        return Candidate(
            target,
            self.shared.failure_probability(target.incarnation, at),
            self.shared.in_flight(target.incarnation),
            at < target.read_at + target.warmup,
            is_near,
            Feature.OPEN_CONNECTIONS not in self.settings.disabled_features
            and has_link(target.incarnation),
            is_near or self.shared.knows_remote_load(target.data_centre, at),
            self.limits.wait(target, at),
        )

    def request_profile(self, route, service, started, deadline, kilobytes, at):
        """Return the `RequestProfile` of a request by now."""
        return RequestProfile(
            route.kind,
            self.shared.times.typical_duration(service, route.name),
            started + route.latency_objective - at,
            deadline - at,
            kilobytes,
        )

    def typical_response_bytes(self, route):
        """Return the usual size of a route's answers, in bytes."""
        return self._answer_bytes.get(route.name, ANSWER_AT_FIRST)

    def note_response_size(self, route, size):
        """Take the size of a whole answer, in bytes."""
        former = self.typical_response_bytes(route)
        self._answer_bytes[route.name] = former + ANSWER_PART * (size - former)

    def is_usable(self, target):
        """Return whether this life of a target may still get new work."""
        listed = self.registry.targets.get(target.id)
        if listed is None or listed.incarnation != target.incarnation:
            return False
        return listed.state is TargetState.READY

    def may_retry(self, service, urgent):
        """
        Return whether one more send for a service fits the bound on retries.

        Args:
          service: The service's name.
          urgent: The urgency of the request.
        """
        centres = max(1, len(self.settings.data_centres))
        extra = self.settings.bounds.retry_extra / centres
        return self.shared.may_retry(service, extra, now(), usable_retry_share(urgent))

    # What the relay tells.

    def note_send_start(self, target):
        """Count a send that starts."""
        self.shared.note_send_start(target.incarnation, now())
        self.limits.acquire(target, now())
        self._tell(is_urgent=False)

    def note_send_end(self, target):
        """Count a send that ended."""
        self.shared.note_send_end(target.incarnation)
        self._tell(is_urgent=False)

    def note_outcome(self, target, route, fate, seconds):
        """Take the fate of a send, or of one that is unanswered for too long."""
        if fate is SendOutcome.NOT_RUN and not self._has_room(target):
            return
        if fate is SendOutcome.NOT_RUN and self.limits.rate(target) is not None:
            # It rejects what is beyond its limit, and is no worse for that.
            return
        self._note(target, route, SIGNS.get(fate), seconds)

    def _has_room(self, target):
        """
        Return whether a target has a free slot as far as the data centre knows.

        A full target refuses rightly. One that refuses with room is never busy, so it
        looks like the best choice and draws the work of all: with half of a service's
        targets like that, one request in five was refused, one in a hundred with this.
        """
        is_near = target.data_centre == self.settings.data_centre
        return is_near and self.shared.in_flight(target.incarnation) < target.slots

    def note_run(self, note):
        """Take a `RunRecord` of this host's own."""
        if self.shared.suspects.add(note, now(), is_own=True):
            self._tell(is_urgent=True)

    def note_late_response(self, target, route, seconds):
        """Take a whole answer to a send that was noted as unanswered for too long."""
        self._note(target, route, HealthSignal.LATE, seconds)

    def _note(self, target, route, sign, seconds):
        if sign is None:
            return
        self.shared.note_outcome(
            target.incarnation, target.service, route.name, sign, seconds, now()
        )
        self._tell(is_urgent=sign not in DEFERRABLE_OUTCOMES)

    def _tell(self, is_urgent):
        if self._on_work is not None:
            self._on_work(is_urgent)
