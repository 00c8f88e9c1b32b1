"""
State that the hosts of a data centre share: requests in flight and send outcomes.

Each host sends the other hosts of its data centre its requests in flight per target
and the outcomes of its latest sends. Every message holds the sender's complete
in-flight table, so the next message makes up for a lost one. Outcomes are numbered and
sent twice; receivers drop duplicates. A host that stops sending is evicted together
with its requests in flight.

Between data centres, hosts exchange only outcomes that change a target's failure
estimate, and totals of requests in flight. Each is sent by one host on behalf of its
data centre. A failing or recovered target is thus detected once for the whole fleet.

State is kept per incarnation of a target: a restarted target starts with none.
"""

import math
from collections import Counter, deque

from ..limits.membership import Membership
from ..limits.quotas import Quotas
from ..limits.targets import TargetLimits
from .availability import Availability
from .data_centre_retry_budget import DataCentreRetryBudget
from .floor import UNUSED_TIMEOUT, RecentResults, are_degraded
from .peer_updates import (
    Counts,
    Inbox,
    Outbox,
    OutcomeRecord,
    target_tag,
)
from .remote_load import RemoteLoads
from .route_times import RouteTimes
from .suspects import SuspectRequests
from .target_health import TargetHealth

# Seconds without a message after which a host is evicted: three missed heartbeats.
PEER_TIMEOUT = 3.5
# Seconds without a message after which a host counts as lost.
LOST_HOST_TIMEOUT = 1.6
# A restarted host counts as lost for this long (seconds).
HOST_LOSS_WINDOW = 5.0
# Services count as degraded if at least this share of the hosts is lost, and at least
# this many.
LOST_HOST_FRACTION = 0.15
MIN_LOST_HOSTS = 2
# Services count as degraded for this long (seconds) after the host's start.
STARTUP_GRACE = 5.0
# Deduplication state of a host in another data centre is kept for this long (seconds),
# which exceeds the longest delay of a message.
REMOTE_HOST_TTL = 60.0
# Results of another data centre are used for this long (seconds). They are sent once a
# second at least.
REMOTE_RESULTS_TTL = 2.5
# Sends shorter than this (seconds) may end before an in-flight table lists them.
SHORT_SEND = 0.1


class _PeerState:
    """The state last received from one other host of the data centre."""

    def __init__(self, incarnation):
        self.inbox = Inbox(incarnation)
        self.reset()

    def reset(self):
        """Clear the state after the host has restarted."""
        self.number = -1
        self.in_flight = {}
        self.counts = None
        self.last_message_at = 0.0


class SharedState:
    """
    One host's copy of the state that the hosts of a data centre share.

    Args:
      ratio: Retries allowed per request.
      window: The length of the retry budget's sliding window, in seconds.
      started_at: When the host started, in seconds.
      has_path_evidence: Whether sends without a response are attributed to this host's
        own network path first.
      quotas: The `Quotas`, or None for no quotas.
      limits: The `TargetLimits`, or None for those of a single host.
      availability: The `Availability`, or None for one without a grace period.
    """

    def __init__(
        self,
        ratio,
        window,
        started_at,
        has_path_evidence=True,
        quotas=None,
        limits=None,
        availability=None,
    ):
        self.times = RouteTimes()
        self.evidence = Outbox()
        self.health = TargetHealth(self.times, self.evidence, has_path_evidence)
        self.suspects = SuspectRequests()
        self.quotas = Quotas() if quotas is None else quotas
        self.limits = limits or TargetLimits(
            Membership("", started_at, has_seeds=False)
        )
        self.availability = availability or Availability(drain_grace=0.0)
        self._retry_ratio = ratio
        self._retry_window = window
        self._started_at = started_at
        self._retry_budgets = {}
        self._results = {}
        self._last_used_at = {}
        self._own_counts = {}
        self._max_host_count = 1
        self._restarts = deque()
        self._own_in_flight = {}
        self._local_last_used_at = {}
        self._peers = {}
        self._peers_in_flight = Counter()
        self._remote_inboxes = {}
        self._remote_results = {}
        self._remote_loads = RemoteLoads()
        # Pending for the own data centre; `evidence` is for the others.
        self.outcomes = Outbox()

    # Requests and sends of this host.

    def note_send_start(self, incarnation, now):
        """Record that this host has started a send."""
        self._note_used(target_tag(incarnation), now)
        self._own_in_flight[incarnation] = self._own_in_flight.get(incarnation, 0) + 1

    def note_send_end(self, incarnation):
        """Record that one of this host's sends has ended."""
        remaining = self._own_in_flight[incarnation] - 1
        assert remaining >= 0, "a send ended twice"
        if remaining:
            self._own_in_flight[incarnation] = remaining
        else:
            del self._own_in_flight[incarnation]

    def note_outcome(self, incarnation, service, route, signal, seconds, now):
        """
        Record the outcome of one of this host's sends and queue it for other hosts.

        Args:
          incarnation: The target's incarnation.
          service: The target's service.
          route: The name of the request's route.
          signal: The `HealthSignal`.
          seconds: How long the send took.
          now: The current time in seconds.
        """
        number = self.outcomes.next_number
        outcome = OutcomeRecord(number, incarnation, service, route, signal, seconds)
        self.outcomes.add(outcome)
        self.health.apply_own(outcome, now)

    def note_request(self, service, now):
        """Record a request to a service at this host."""
        self._count(service, Counts(requests=1), now)
        self.limits.membership.note_own_demand(service, 1, now)

    def note_retry(self, service, now):
        """Record a retry to a service by this host."""
        self._count(service, Counts(retries=1), now)

    def note_request_end(self, service, is_served, now):
        """Record the end of a request at this host and whether it was served."""
        self._count(service, Counts(ended=1, unserved=0 if is_served else 1), now)

    def _count(self, service, counts, now):
        previous = self._own_counts.get(service, Counts())
        self._own_counts[service] = previous.plus(counts)
        self._add_counts(service, counts, now)

    def own_counts(self):
        """Return this host's `Counts` by service since it started."""
        return dict(self._own_counts)

    def may_retry(self, service, extra, now, usable_fraction=1.0):
        """
        Return whether the data centre's retry budget allows a retry to a service.

        The fixed allowance is withheld for one window after the host's start, since
        retries spent before a restart are unknown. Otherwise a simultaneous restart of
        all hosts would allow it to be spent twice.

        Args:
          service: The service's name.
          extra: The data centre's part of the fixed allowance.
          now: The current time in seconds.
          usable_fraction: The fraction of the budget that the request may use up.
        """
        return self._retry_budget(service).may_retry(
            self._usable_extra(extra, now), now, usable_fraction
        )

    def retry_probability(self, service, extra, now, usable_fraction=1.0):
        """
        Return the probability with which this host sends a retry to a service.

        Unlike `may_retry`, this leaves no margin for retries of other hosts that are
        not known yet. The arguments are the same.
        """
        return self._retry_budget(service).retry_probability(
            self._usable_extra(extra, now), now, usable_fraction
        )

    def retry_wait(self, service, extra, now, usable_fraction=1.0):
        """Return the seconds until a retry may be sent, if none is sent before."""
        return self._retry_budget(service).retry_wait(
            self._usable_extra(extra, now), now, usable_fraction
        )

    def _usable_extra(self, extra, now):
        """Return the part of the fixed allowance that this host may count on."""
        if now - self._started_at < self._retry_window:
            return 0.0
        return extra * self.live_host_count() / self._max_host_count

    def _retry_budget(self, service):
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = DataCentreRetryBudget(
                self._retry_ratio, self._retry_window
            )
        return budget

    def own_in_flight(self):
        """Return this host's requests in flight by target tag."""
        return {
            target_tag(incarnation): count
            for incarnation, count in self._own_in_flight.items()
        }

    def local_use_ages(self, now, incarnations=None):
        """
        Return the seconds since the data centre last used targets, by their tags.

        Args:
          now: The current time in seconds.
          incarnations: The targets, or None for all. Those that have not been used
            lately are left out.
        """
        used_at = self._local_last_used_at
        tags = used_at.keys()
        if incarnations is not None:
            tags = tags & {target_tag(incarnation) for incarnation in incarnations}
        ages = {tag: now - used_at[tag] for tag in tags}
        return {tag: age for tag, age in ages.items() if age <= UNUSED_TIMEOUT}

    def _note_used(self, tag, now):
        """Record that a host of the data centre sent to a target."""
        self._last_used_at[tag] = now
        self._local_last_used_at[tag] = now

    # Updates from other hosts.

    def apply_update(self, update, now):
        """
        Apply the `PeerUpdate` of a host in this data centre.

        Returns:
          False if it was out of date and has been ignored.
        """
        peer = self._peers.get(update.host)
        if peer is None:
            peer = self._peers[update.host] = _PeerState(update.incarnation)
        if peer.inbox.is_past(update.incarnation):
            return False
        if peer.inbox.incarnation != update.incarnation:
            self._restarts.append(now)
            self._peers_in_flight.subtract(peer.in_flight)
            peer.inbox.reset(update.incarnation)
            peer.reset()
        if update.number <= peer.number:
            return False
        peer.number = update.number
        peer.last_message_at = now
        self.limits.membership.note_message(update.host, now)
        self._replace_in_flight(peer, update.in_flight, now)
        self._max_host_count = max(self._max_host_count, self.live_host_count())
        if update.counts:
            self._apply_counts(update.host, peer, update.counts, now)
        unseen = peer.inbox.unseen(update.outcomes) if update.outcomes else ()
        for outcome in unseen:
            if outcome.seconds < SHORT_SEND:
                # It may have started and ended between two updates.
                self._note_used(target_tag(outcome.target), now)
            self.health.apply(outcome, now)
        return True

    def _replace_in_flight(self, peer, in_flight, now):
        """Replace a host's in-flight table, and adjust the totals over all hosts."""
        previous, peer.in_flight = peer.in_flight, in_flight
        if previous == in_flight:
            return
        for tag, count in previous.items():
            self._peers_in_flight[tag] -= count
        for tag, count in in_flight.items():
            self._peers_in_flight[tag] += count
            if count > previous.get(tag, 0):
                self._note_used(tag, now)

    def apply_remote_update(self, update, now):
        """
        Apply the `RemoteUpdate` of a host in another data centre.

        It may arrive directly or forwarded by a host of this data centre, and twice.

        Returns:
          Whether it held evidence that is new, or targets in use.
        """
        inbox, _ = self._remote_inboxes.get(update.host) or (
            Inbox(update.incarnation),
            now,
        )
        if inbox.is_past(update.incarnation):
            return False
        self._remote_inboxes[update.host] = (inbox, now)
        if inbox.incarnation != update.incarnation:
            inbox.reset(update.incarnation)
        for tag, age in update.used:
            known = self._last_used_at.get(tag, -math.inf)
            self._last_used_at[tag] = max(known, now - age)
        unseen = inbox.unseen(update.evidence)
        for evidence in unseen:
            self.health.apply_remote(evidence, now)
        return bool(unseen or update.used)

    def _apply_counts(self, host, peer, counts, now):
        """Add a host's counts since its last update; the first is the baseline."""
        previous, peer.counts = peer.counts, counts
        if previous is None:
            return
        for service, now_counts in counts.items():
            added = now_counts.minus(previous.get(service, Counts()))
            self._add_counts(service, added, now)
            if added.requests:
                membership = self.limits.membership
                membership.note_demand(host, service, added.requests, now)

    def _add_counts(self, service, counts, now):
        budget = self._retry_budget(service)
        if counts.requests:
            budget.note_requests(counts.requests, now)
        if counts.retries:
            budget.note_retries(counts.retries, now)
        if counts.ended:
            results = self._results.setdefault(service, RecentResults())
            results.add(counts.ended, counts.unserved, now)

    def is_degraded(self, service, now):
        """
        Return whether a considerable share of a service's requests probably fails.

        Requests that fail because their host was lost are not reported by any host, so
        lost hosts count by themselves. So does the time after this host's start, when
        no results are known.
        """
        if now - self._started_at < STARTUP_GRACE or self._has_lost_hosts(now):
            return True
        results = self._results.get(service)
        return results is not None and results.is_degraded(now)

    def is_degraded_overall(self, service, now):
        """
        Return whether too many of the service's requests to all data centres fail.

        A service may be degraded as a whole although few of this data centre's requests
        fail, and the other way round.
        """
        results = self._results.get(service)
        ended, unserved = (0, 0) if results is None else results.totals(now)
        for counts, at in self._remote_results.get(service, {}).values():
            if now - at < REMOTE_RESULTS_TTL:
                ended += counts[0]
                unserved += counts[1]
        return are_degraded(ended, unserved)

    def results(self, now, are_all=True):
        """
        Return the results of this data centre, for the others.

        Args:
          now: The current time in seconds.
          are_all: Whether to include services that are not degraded here.
        Returns:
          By service, the requests that ended lately and those of them not served.
        """
        totals = {name: results.totals(now) for name, results in self._results.items()}
        return {
            name: counts
            for name, counts in totals.items()
            if counts[0] and (are_all or are_degraded(*counts))
        }

    def apply_remote_results(self, data_centre, results, now):
        """Apply the latest `results` of another data centre."""
        for service, counts in results.items():
            by_data_centre = self._remote_results.setdefault(service, {})
            by_data_centre[data_centre] = (counts, now)

    def _has_lost_hosts(self, now):
        """Return whether many of the data centre's hosts are lost or have restarted."""
        while self._restarts and self._restarts[0] <= now - HOST_LOSS_WINDOW:
            self._restarts.popleft()
        missing = sum(
            1
            for peer in self._peers.values()
            if now - peer.last_message_at > LOST_HOST_TIMEOUT
        )
        lost = missing + len(self._restarts)
        return lost >= max(MIN_LOST_HOSTS, LOST_HOST_FRACTION * self._max_host_count)

    def last_used_at(self, incarnation):
        """Return when a host of any data centre last sent to a target."""
        return self._last_used_at.get(target_tag(incarnation), -math.inf)

    def evict_silent(self, now):
        """Evict hosts that have stopped sending, and return their ids."""
        silent = [
            host
            for host, peer in self._peers.items()
            if now - peer.last_message_at > PEER_TIMEOUT
        ]
        for host in silent:
            self._peers_in_flight.subtract(self._peers.pop(host).in_flight)
        self._peers_in_flight = +self._peers_in_flight
        self._remote_loads.evict_silent(now)
        self.limits.membership.evict(now)
        inboxes = self._remote_inboxes.items()
        self._remote_inboxes = {
            h: entry for h, entry in inboxes if now - entry[1] < REMOTE_HOST_TTL
        }
        return silent

    def live_host_count(self):
        """Return the number of live hosts in the data centre, including this one."""
        return len(self._peers) + 1

    # Totals and estimates.

    def in_flight(self, incarnation):
        """Return the requests in flight at a target from all known hosts."""
        tag = target_tag(incarnation)
        local = self._own_in_flight.get(incarnation, 0) + self._peers_in_flight[tag]
        return local + self._remote_loads.in_flight(tag)

    def apply_remote_load(self, load, now):
        """Apply another data centre's `RemoteLoad` unless it is older."""
        self._remote_loads.apply(load, now)

    def remote_load_total(self, now):
        """Return the `RemoteLoadTotal` of all reachable data centres."""
        return self._remote_loads.total(now)

    def apply_remote_load_total(self, total, now):
        """Apply the `RemoteLoadTotal` computed by the hub."""
        self._remote_loads.apply_total(total, now)

    def knows_remote_load(self, data_centre, now):
        """Return whether another data centre's load is known."""
        return self._remote_loads.is_known(data_centre, now)

    def local_load(self):
        """Return the requests in flight from this data centre by target tag."""
        return dict(self._peers_in_flight + Counter(self.own_in_flight()))

    def failure_probability(self, incarnation, now):
        """Return the probability that a send from this host to a target fails."""
        return self.health.failure_probability(incarnation, now)

    def failing_probability(self, incarnation, now):
        """Return the probability that a target is in its failing state."""
        return self.health.failing_probability(incarnation, now)

    def is_path_broken(self, incarnation, now):
        """Return whether this host's network path to a target is probably broken."""
        return self.health.is_path_broken(incarnation, now)

    def evict_targets(self, listed, now):
        """Evict the state of incarnations that are no longer listed."""
        self.health.evict(listed)
        self.limits.advertised.evict(listed, now)
        self.availability.evict(listed, now)
        tags = {target_tag(key) for key in listed}
        for tag in self._last_used_at.keys() - tags:
            del self._last_used_at[tag]
            self._local_last_used_at.pop(tag, None)
