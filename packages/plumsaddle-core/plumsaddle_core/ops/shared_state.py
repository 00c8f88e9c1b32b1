"""
What the hosts of one data centre know together: work in flight and its outcomes.

Each host tells the others of its data centre what it has in flight at each target and
how its last sends ended. A message states the whole in-flight table of its sender, so
a lost one is repaired by the next, and tells each outcome twice with its number, so
that it counts once although it may arrive several times. A host that has been silent
for some seconds is forgotten together with its work.

Between data centres go only outcomes that change what is believed of a target, told by
one host for all of its data centre, and sums of the work in flight. A
target that begins to fail is found out once for the whole fleet and not once for each
data centre, and one that is sound again is known to be so everywhere.

All of it is kept by life of a target: one that starts again under its id begins anew.
"""

import math
from collections import Counter, deque

from ..limits.membership import Membership
from ..limits.quotas import Quotas
from ..limits.targets import TargetLimits
from .belief import (
    FAILURE_LIKELIHOOD_RATIO,
    MAX_SILENCE_LIKELIHOOD_RATIO,
    PATH_MODEL,
    PATH_SUCCESS_LIKELIHOOD_RATIO,
    SUCCESS_LIKELIHOOD_RATIO,
    UNREACHABLE_LIKELIHOOD_RATIO,
    FailureEstimator,
    rare_outcome_likelihood_ratio,
)
from .floor import RecentResults
from .peer_updates import (
    Counts,
    Evidence,
    HealthSignal,
    Inbox,
    Outbox,
    OutcomeRecord,
    tag_of,
)
from .remote_load import Elsewhere
from .share import CentreRetryBudget
from .suspects import SuspectRequests
from .times import RouteTimes

# Hosts beat once a second; three missed beats and a little is silence.
SILENT_AFTER = 3.5
# A host that missed one beat and a half may be lost; restarts count for some seconds.
MISSING_AFTER = 1.6
LOST_FOR = 5.0
# Lost hosts that make trouble: this share of the data centre's, and at least so many.
LOST_SHARE = 0.15
LOST_FEWEST = 2
# Seconds after its start for which a host knows too little to leave targets out.
TROUBLED_AT_START = 5.0
# Hosts of other data centres that told nothing for this long (seconds) are forgotten;
# longer than any message is under way, so that none counts twice.
FAR_FOR = 60.0
# Ends at which nothing was heard of the target, so that the path may be the cause.
SILENCES = {HealthSignal.UNREACHABLE, HealthSignal.STUCK}
# A path that is broken with this probability is not used for trials of its target.
CUT_OFF_FROM = 0.2
# An outcome is worth telling to other data centres if it moves the probability that
# its target is failing by this much. A whole answer of a target in good standing moves
# it by 0.03, a failure by 0.6, a whole answer of a target in doubt by 0.15 and more.
SURPRISE = 0.1
# Sends that end sooner than this (seconds) may never show as work in flight.
QUICK = 0.1


class _Peer:
    """What one other host said last."""

    def __init__(self, life):
        self.inbox = Inbox(life)
        self.begin()

    def begin(self):
        """Begin anew after the host has started again."""
        self.number = -1
        self.in_flight = {}
        self.counts = None
        self.heard_at = 0.0


class SharedState:
    """
    The shared knowledge of a data centre's hosts, as one host holds it.

    Args:
      ratio: Retries that one request allows for.
      window: The seconds over which retries are bounded.
      started: When the host started, in seconds.
      has_paths: Whether silences count against this host's own path first.
      quotas: The `Quotas`; such without limits if None.
      limits: The `TargetLimits`; those of a host that is the only one if None.
    """

    def __init__(
        self, ratio, window, started, has_paths=True, quotas=None, limits=None
    ):
        self.target_estimators = {}
        self.paths = {}
        self._has_paths = has_paths
        self.times = RouteTimes()
        self.suspects = SuspectRequests()
        self.quotas = Quotas() if quotas is None else quotas
        self.limits = limits or TargetLimits(Membership("", started, has_seeds=False))
        self._ratio = ratio
        self._window = window
        self._started = started
        self._shares = {}
        self._results = {}
        self._used_at = {}
        self._own_counts = {}
        self._most_heard = 1
        self._restarts = deque()
        self._own = {}
        self._near_used_at = {}
        self._peers = {}
        self._others = Counter()
        self._far = {}
        self._elsewhere = Elsewhere()
        # What is still to be told in the data centre, and to the others.
        self.outcomes = Outbox()
        self.evidence = Outbox()

    # This host's own work.

    def note_send_start(self, target_id, now):
        """Count a send of this host's that starts."""
        self._use(tag_of(target_id), now)
        self._own[target_id] = self._own.get(target_id, 0) + 1

    def note_send_end(self, target_id):
        """Count a send of this host's that ended."""
        left = self._own[target_id] - 1
        assert left >= 0, "a send ended twice"
        if left:
            self._own[target_id] = left
        else:
            del self._own[target_id]

    def note_outcome(self, target_id, service, route, sign, seconds, now):
        """
        Take an outcome that this host saw, and keep it for the others.

        Args:
          target_id: The target's id.
          service: The target's service.
          route: The name of the request's route.
          sign: The `HealthSignal`.
          seconds: How long the send took.
          now: The present, in seconds.
        """
        number = self.outcomes.count
        outcome = OutcomeRecord(number, target_id, service, route, sign, seconds)
        self.outcomes.add(outcome)
        path_ratio = self._weigh(outcome, now)
        self._weigh_path(target_id, path_ratio, now)

    def note_request(self, service, now):
        """Count a request of this host's for a service."""
        self._count(service, Counts(requests=1), now)
        self.limits.membership.note_own_demand(service, 1, now)

    def note_retry(self, service, now):
        """Count a further send of this host's for a service."""
        self._count(service, Counts(retries=1), now)

    def note_request_end(self, service, is_served, now):
        """Count a request of this host's that ended, served or not."""
        self._count(service, Counts(ended=1, unserved=0 if is_served else 1), now)

    def _count(self, service, counts, now):
        former = self._own_counts.get(service, Counts())
        self._own_counts[service] = former.plus(counts)
        self._add_counts(service, counts, now)

    def own_counts(self):
        """Return this host's `Counts` by service since it started."""
        return dict(self._own_counts)

    def may_retry(self, service, extra, now, urgent_part=1.0):
        """
        Return whether a further send for a service fits the data centre's share.

        A host that has just started does not know what was spent in the window before
        it, maybe by itself: when all hosts are killed and come back, each would spend
        the extra once more. So it begins with nothing of the extra.

        Args:
          service: The service's name.
          extra: The data centre's part of the fixed extra.
          now: The present, in seconds.
          urgent_part: The part of the share that the request may use up.
        """
        part = self.live_host_count() / self._most_heard
        if now - self._started < self._window:
            part = 0.0
        return self._share(service).may_retry(extra * part, now, urgent_part)

    def _share(self, service):
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = CentreRetryBudget(self._ratio, self._window)
        return share

    def own_in_flight(self):
        """Return this host's work in flight, by tag of target."""
        return {tag_of(target_id): count for target_id, count in self._own.items()}

    def tags_used_since(self, since):
        """Return the tags of targets that hosts of the data centre used lately."""
        return [tag for tag, at in self._near_used_at.items() if at >= since]

    def _use(self, tag, now):
        """Note that a host of the data centre sent to a target."""
        self._used_at[tag] = now
        self._near_used_at[tag] = now

    # The other hosts' work.

    def apply_update(self, news, now):
        """
        Take another host's `PeerUpdate`; an older one than known is ignored.

        Returns:
          Whether it was news.
        """
        peer = self._peers.get(news.host)
        if peer is None:
            peer = self._peers[news.host] = _Peer(news.life)
        if peer.inbox.is_former(news.life):
            return False
        if peer.inbox.life != news.life:
            self._restarts.append(now)
            self._others.subtract(peer.in_flight)
            peer.inbox.begin(news.life)
            peer.begin()
        if news.number <= peer.number:
            return False
        peer.number = news.number
        peer.heard_at = now
        self.limits.membership.note_host(news.host, now)
        self._take_in_flight(peer, news.in_flight, now)
        self._most_heard = max(self._most_heard, self.live_host_count())
        if news.counts:
            self._take_counts(news.host, peer, news.counts, now)
        fresh = peer.inbox.fresh(news.outcomes) if news.outcomes else ()
        for outcome in fresh:
            if outcome.seconds < QUICK:
                # It began and ended between two messages.
                self._use(tag_of(outcome.target), now)
            self._weigh(outcome, now)
        return True

    def _take_in_flight(self, peer, in_flight, now):
        """Replace a host's work in flight, and the sums over all hosts with it."""
        former, peer.in_flight = peer.in_flight, in_flight
        if former == in_flight:
            return
        for tag, count in former.items():
            self._others[tag] -= count
        for tag, count in in_flight.items():
            self._others[tag] += count
            if count > former.get(tag, 0):
                self._use(tag, now)

    def apply_remote_update(self, news, now):
        """
        Take the `RemoteUpdate` of a host in another data centre.

        It arrives from a host there or by way of one here, and may do so twice.

        Returns:
          Whether it told anything that had not come before.
        """
        inbox, _ = self._far.get(news.host) or (Inbox(news.life), now)
        if inbox.is_former(news.life):
            return False
        self._far[news.host] = (inbox, now)
        if inbox.life != news.life:
            inbox.begin(news.life)
        for tag in news.used:
            self._used_at[tag] = now
        fresh = inbox.fresh(news.evidence)
        for evidence in fresh:
            self._used_at[tag_of(evidence.target)] = now
            # Some failures are seen from one side only, so what was seen elsewhere
            # counts half: two failures there weigh as much as one near by.
            self._belief(evidence.target).update(math.sqrt(evidence.ratio), now)
        return bool(fresh or news.used)

    def _take_counts(self, host, peer, counts, now):
        """Add what a host has done since its last message; the first one is a base."""
        former, peer.counts = peer.counts, counts
        if former is None:
            return
        for service, now_counts in counts.items():
            added = now_counts.minus(former.get(service, Counts()))
            self._add_counts(service, added, now)
            if added.requests:
                roster = self.limits.membership
                roster.note_demand(host, service, added.requests, now)

    def _add_counts(self, service, counts, now):
        share = self._share(service)
        if counts.requests:
            share.note_requests(counts.requests, now)
        if counts.retries:
            share.note_retries(counts.retries, now)
        if counts.ended:
            results = self._results.setdefault(service, RecentResults())
            results.add(counts.ended, counts.unserved, now)

    def is_degraded(self, service, now):
        """
        Return whether a notable share of a service's requests is likely not served.

        The hosts that are left see no failures of those that are lost with the
        requests in them, so lost hosts count as trouble by themselves, and so does
        the time after a start, when nothing is known yet.
        """
        if now - self._started < TROUBLED_AT_START or self._lost_hosts(now):
            return True
        results = self._results.get(service)
        return results is not None and results.is_degraded(now)

    def _lost_hosts(self, now):
        """Return whether a notable part of the data centre's hosts was lost lately."""
        while self._restarts and self._restarts[0] <= now - LOST_FOR:
            self._restarts.popleft()
        missing = sum(
            1 for peer in self._peers.values() if now - peer.heard_at > MISSING_AFTER
        )
        lost = missing + len(self._restarts)
        return lost >= max(LOST_FEWEST, LOST_SHARE * self._most_heard)

    def last_used_at(self, target_id):
        """Return when a host, of this data centre or another, last sent to a target."""
        return self._used_at.get(tag_of(target_id), -math.inf)

    def evict_silent(self, now):
        """Forget hosts that have been silent, and return their ids."""
        silent = [
            host
            for host, peer in self._peers.items()
            if now - peer.heard_at > SILENT_AFTER
        ]
        for host in silent:
            self._others.subtract(self._peers.pop(host).in_flight)
        self._others = +self._others
        self._elsewhere.evict_silent(now)
        self.limits.membership.evict(now)
        heard = self._far.items()
        self._far = {h: entry for h, entry in heard if now - entry[1] < FAR_FOR}
        return silent

    def live_host_count(self):
        """Return how many hosts work in the data centre, this one included."""
        return len(self._peers) + 1

    # What follows from both.

    def in_flight(self, target_id):
        """Return the requests in flight at a target from all known hosts."""
        tag = tag_of(target_id)
        here = self._own.get(target_id, 0) + self._others[tag]
        return here + self._elsewhere.in_flight(tag)

    def apply_remote_load(self, load, now):
        """Apply another data centre's `RemoteLoad` unless it is older."""
        self._elsewhere.take(load, now)

    def remote_load_total(self, now):
        """Return the `RemoteLoadTotal` of all reachable data centres."""
        return self._elsewhere.sums(now)

    def apply_remote_load_total(self, sums, now):
        """Take the `RemoteLoadTotal` that a host of this data centre has made."""
        self._elsewhere.take_sums(sums, now)

    def knows_remote_load(self, centre, now):
        """Return whether the work in flight from another data centre is known."""
        return self._elsewhere.is_known(centre, now)

    def local_load(self):
        """Return the work in flight from this data centre, by tag of target."""
        return dict(self._others + Counter(self.own_in_flight()))

    def failure_probability(self, target_id, now):
        """Return the probability that a send of this host's to a target fails."""
        target_fails = self.target_estimators.get(
            target_id, _UNKNOWN
        ).failure_probability(now)
        path_fails = self.paths.get(target_id, _UNKNOWN_PATH).failure_probability(now)
        return 1.0 - (1.0 - target_fails) * (1.0 - path_fails)

    def is_path_broken(self, target_id, now):
        """Return whether this host's own path to a target is likely broken."""
        return (
            self.paths.get(target_id, _UNKNOWN_PATH).failing_probability(now)
            >= CUT_OFF_FROM
        )

    def failing_probability(self, target_id, now):
        """Return the probability that a target is in its failing state."""
        return self.target_estimators.get(target_id, _UNKNOWN).failing_probability(now)

    def evict_targets(self, known, now):
        """Forget what is kept of lives of targets that are no longer listed."""
        self.target_estimators = {
            key: b for key, b in self.target_estimators.items() if key in known
        }
        self.paths = {key: b for key, b in self.paths.items() if key in known}
        self.limits.advertised.evict(known, now)
        tags = {tag_of(key) for key in known}
        for tag in self._used_at.keys() - tags:
            del self._used_at[tag]
            self._near_used_at.pop(tag, None)

    def _belief(self, target_id):
        belief = self.target_estimators.get(target_id)
        if belief is None:
            belief = self.target_estimators[target_id] = FailureEstimator()
        return belief

    def _weigh(self, outcome, now):
        """
        Let an outcome change what is believed of its target.

        Returns:
          The weight that it has for the path of the host that saw it.
        """
        ratio = self._ratio_of(outcome)
        path_ratio = PATH_SUCCESS_LIKELIHOOD_RATIO
        if outcome.signal in SILENCES and self._has_paths:
            path_ratio = ratio
            ratio = min(MAX_SILENCE_LIKELIHOOD_RATIO, ratio)
        if ratio != 1.0:
            before = self.failing_probability(outcome.target, now)
            self._belief(outcome.target).update(ratio, now)
            if abs(self.failing_probability(outcome.target, now) - before) >= SURPRISE:
                number = self.evidence.count
                self.evidence.add(Evidence(number, outcome.target, ratio))
        return path_ratio

    def _weigh_path(self, target_id, ratio, now):
        """Change what this host believes of its own path to a target."""
        path = self.paths.get(target_id)
        if path is None:
            if ratio < 1.0 or not self._has_paths:
                return
            path = self.paths[target_id] = FailureEstimator(PATH_MODEL)
        path.update(ratio, now)

    def _ratio_of(self, outcome):
        """Return how much an outcome speaks for a failing target, as a ratio."""
        if outcome.signal is HealthSignal.SUCCEEDED:
            self.times.note_success(outcome.service, outcome.route, outcome.seconds)
            return SUCCESS_LIKELIHOOD_RATIO
        if outcome.signal is HealthSignal.SHED:
            return rare_outcome_likelihood_ratio(self.times.note_shed(outcome.service))
        if outcome.signal is HealthSignal.LATE:
            self.times.note_late(outcome.service, outcome.route, outcome.seconds)
            return 1.0
        if outcome.signal is HealthSignal.STUCK:
            return rare_outcome_likelihood_ratio(
                self.times.note_stuck(outcome.service, outcome.route)
            )
        if outcome.signal is HealthSignal.FAILED:
            return FAILURE_LIKELIHOOD_RATIO
        return UNREACHABLE_LIKELIHOOD_RATIO


_UNKNOWN = FailureEstimator()
_UNKNOWN_PATH = FailureEstimator(PATH_MODEL)
