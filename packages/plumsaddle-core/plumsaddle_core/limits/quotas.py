"""
Rate limits of workspaces that all hosts enforce together.

Each host counts the requests of each workspace, all and admitted, and gossips decaying
sums of them (`sums`). Hosts of a data centre report all requests to each other; other
data centres receive sums over the hosts of the data centre, and only for workspaces
near their limit. Idle workspaces hold no state.

An unreachable host may have crashed or may be partitioned and still serving
(`liveness`), so its share of each limit stays reserved. The share is proportional to
the requests that it received before the partition, plus a small equal part. The
unreachable host computes the same shares from the last messages that it received, so
they add up to the limit. A host that has just started knows no shares: it takes that of
the hosts that it has heard of, among those that may exist, until they must have found
each other. Shares do not follow the demand during a partition: otherwise
a workspace whose demand rises would be given most of its limit on both sides.
Unreachable hosts are assumed to admit requests in proportion to their share, and
requests that they report after the partition are not counted again.
"""

import math
import random
from collections import deque
from typing import NamedTuple

from .liveness import (
    CHECK_INTERVAL,
    ISOLATION_TIMEOUT,
    MAX_UNREACHABLE_TIMEOUT,
    Liveness,
)
from .meter import DecayingSum, Meter, Tolerance, window_capacity, worst_burst
from .ranks import RankMix, blend, rank_probability
from .sums import DECAY_TIME, DecayingCounts, decay, part_since, workspace_tag

# The fraction of each limit that is divided equally, so that a host without requests
# before a partition can admit some during it.
EQUAL_FRACTION = 0.1
# Demand samples kept per workspace, taken once a second. The oldest predates any
# partition that has just been detected.
MAX_SAMPLES = 3
# Messages that repeat a changed row, since datagrams may be dropped.
SENDS_PER_CHANGE = 2
# A data centre reports a workspace to the others if its local demand is at least this
# fraction of the workspace's rate divided by the number of data centres.
NEAR_LIMIT_FRACTION = 0.2
# The fraction of the hosts that may be unreachable while samples are taken.
MAX_LOST_FRACTION = 0.05
# Seconds without a message after which a host is silent: it is idle, or partitioned.
SILENCE_TIMEOUT = 0.35
# The largest share of the hosts of a data centre that counts as silent.
MAX_SILENT_SHARE = 0.6
# A workspace's part of the silent hosts is reserved while its demand has grown by more
# than the first factor, and wholly from the second on.
MIN_GROWTH = 1.15
FULL_GROWTH = 1.35
# The standard deviations of a sum by which it may differ without a change of demand.
NOISE_DEVIATIONS = 1.5
# The fraction of the tolerated overshoot that is used while demand is even: by requests
# without ranks, by these while hosts are cut off, and by the most urgent rank. What is
# known to be admitted fluctuates, and differs between hosts. Without the latter, the
# fluctuations alone refuse urgent requests while others are admitted.
BONUS = 0.3
CUT_BONUS = 0.2
URGENT_BONUS = 0.8
# While demand rises, the last rank is refused this fraction of it earlier instead.
RISE_MALUS = 0.4
# The share of the hosts from which on they count as in touch.
IN_TOUCH_SHARE = 0.95
NO_SAMPLE = (-math.inf, 0.0, 0.0)
# Seconds after the start in which the demand is unknown. It is assumed to be at least
# START_DEMAND times the rate.
START_TIME = 0.3
START_DEMAND = 3.0
# Seconds after the start until which samples may lack sources that have not reported.
FIRST_REPORTS_TIME = 2.0
# Seconds after the start by which hosts have found each other, also if all seeds in
# their settings were lost: the platform names live ones three seconds after a loss.
DISCOVERY_TIME = 4.0
# The hosts that one with seeds assumes while it has heard of none of these, and has not
# read how many hosts there were.
ASSUMED_HOSTS = 100
# Maximum rows per message; the others are sent in later messages.
MAX_ROWS = 200
# Seconds without requests after which the state of a workspace is evicted. By then its
# rate-limit window has passed and its sums have decayed.
IDLE_TIMEOUT = 15.0


class QuotaDecision(NamedTuple):
    """
    Whether a request is within its workspace's limit.

    `retry_after` is in seconds. The other fields are the inputs of the decision: the
    remaining requests, the demand on all hosts in requests per second, the share of the
    limit of the reachable hosts, the number of unreachable hosts, and the fraction of
    the requests of its rank that are admitted.
    """

    is_admitted: bool
    retry_after: float = 0.0
    remaining: float = 0.0
    demand: float = 0.0
    reachable_share: float = 1.0
    unreachable_hosts: int = 0
    admitted_fraction: float = 0.0


ADMITTED = QuotaDecision(True)


class _WorkspaceState:
    """The state of one workspace: its meter and the sums of its requests."""

    __slots__ = (
        "is_isolated",
        "known_share",
        "liveness_revision",
        "local",
        "meter",
        "mix",
        "own",
        "reachable_share",
        "remote",
        "samples",
        "silent",
        "unheard",
    )

    def __init__(self, meter):
        self.meter = meter
        # This host's requests by rank.
        self.mix = RankMix(DecayingSum)
        # This host, all hosts of its data centre, and the other data centres.
        self.own = DecayingCounts()
        self.local = DecayingCounts()
        self.remote = DecayingCounts()
        # The time, and the requests to this host and to all, sampled once a second.
        self.samples = deque(maxlen=MAX_SAMPLES)
        # The share of the reachable hosts, and the `Liveness` revision it is for.
        self.reachable_share = 1.0
        self.liveness_revision = 0
        self.is_isolated = False
        # The share of the hosts that are known, while others may exist.
        self.known_share = 1.0
        # The requests that this host has admitted since it last received a message,
        # and when that was.
        self.unheard = (0.0, -math.inf)
        # The share of hosts that are silent, and when it was computed.
        self.silent = (0.0, -math.inf)

    def note_unheard(self, admitted, heard_at):
        """Count requests that other hosts may not have heard of."""
        count, since = self.unheard
        self.unheard = (admitted + (count if since == heard_at else 0.0), heard_at)

    def add_sample(self, now):
        """Record a sample of the current demand."""
        self.samples.append((now, self.own.requested(now), self.all_requested(now)))

    def all_requested(self, now):
        """Return the decayed sum of the requests to all hosts."""
        return self.local.requested(now) + self.remote.requested(now)


class Quotas:
    """
    The rate limits of all workspaces on one host.

    Args:
      tolerance: The `Tolerance`.
      data_centre_count: The number of data centres.
      rng: A `random.Random`.
      assumes_bursts: Whether bursts are assumed to have been used before the start, as
        when all hosts of a fleet restart together. Else only the rates are.
      assumed_hosts: How many hosts may exist, until `expect_hosts` tells.
    """

    def __init__(
        self,
        tolerance=None,
        data_centre_count=1,
        rng=random,
        assumes_bursts=False,
        assumed_hosts=1,
    ):
        self._tolerance = tolerance or Tolerance()
        self._data_centre_count = max(1, data_centre_count)
        self._rng = rng
        self._assumes_bursts = assumes_bursts
        self._started_at = None
        # The number of hosts that may exist, this one included.
        self._expected_hosts = assumed_hosts
        self._limits = {}
        self._states = {}
        self._last_used_at = {}
        self._local_pending = {}
        self._remote_pending = {}
        self._liveness = Liveness()
        # This host's requests of all workspaces by rank.
        self._mix = RankMix(DecayingSum)

    def configure(self, workspaces, now):
        """
        Set the limits from the workspaces of a configuration.

        Args:
          workspaces: The `Workspace` tuples.
          now: The current time in seconds.
        """
        if self._started_at is None:
            self._started_at = now
            if self._assumes_bursts:
                self._liveness.counted_since = now
        self._limits = {
            workspace_tag(workspace.name): workspace
            for workspace in workspaces
            if workspace.rate > 0
        }
        for tag in self._states.keys() - self._limits.keys():
            self._evict(tag)
        for tag, state in self._states.items():
            state.meter.set_limit(*self._get_limit(tag))

    def expect_hosts(self, count):
        """
        Set how many hosts may exist, as a list says that outlasts them.

        Args:
          count: Their number, this host included; 1 if only those count that this host
            hears of.
        """
        self._expected_hosts = count
        if count > 1:
            self._assumes_bursts = True

    def _get_limit(self, tag):
        workspace = self._limits[tag]
        rate, burst = workspace.rate, workspace.burst
        return rate, window_capacity(rate, burst, self._tolerance)

    def _assumed_burst(self, tag):
        """Return the burst that is assumed to have been used before the start."""
        if not self._assumes_bursts:
            return 0.0
        workspace = self._limits[tag]
        return worst_burst(workspace.rate, workspace.burst, self._tolerance)

    @property
    def workspace_count(self):
        """The number of workspaces with state."""
        return len(self._states)

    # This host's own requests.

    def acquire(self, workspace, now, rank=None):
        """
        Decide whether to admit a request, and count it.

        Args:
          workspace: The `Workspace`, or None for a request without one.
          now: The current time in seconds.
          rank: The request's rank among the kinds of request, 0 for the most urgent;
            None if requests are admitted in order of arrival.
        Returns:
          A `QuotaDecision`.
        """
        if workspace is None or workspace.rate <= 0:
            return ADMITTED
        tag = workspace_tag(workspace.name)
        state = self._get_state(tag, now)
        if state is None:
            return ADMITTED
        state.meter.note_requested(1.0, now)
        share = self._reachable_share(tag, state, now)
        demand = self._demand(state, now)
        reserved = self._silent_reserve(tag, state, now)
        bonus = self._bonus(state, share, rank, now) * self._tolerance.overshoot
        probability = state.meter.admission_probability(
            share, demand, reserved, now, bonus, rank is not None
        )
        if rank is not None:
            probability = self._rank_probability(state, probability, rank, now)
        is_admitted = probability >= 1.0 or self._rng.random() < probability
        self._count_own(tag, state, 1.0, float(is_admitted), now)
        if is_admitted:
            return ADMITTED
        return QuotaDecision(
            False,
            state.meter.retry_after(demand, self._rng.random(), now),
            round(state.meter.remaining(now), 1),
            round(demand, 1),
            round(share, 3),
            self._liveness.unreachable_host_count(),
            round(probability, 3),
        )

    def _bonus(self, state, share, rank, now):
        """
        Return the part of the tolerance that may be used, and count a rank.

        While demand rises, the tolerance is needed for what hosts do not know, and the
        last rank is refused earlier instead. An isolated host does not know whether
        demand rises.
        """
        part = 0.0
        if rank is not None:
            for mix in (state.mix, self._mix):
                mix.add(rank, now)
            part = rank / max(1, self._mix.last_rank)
        if not state.meter.is_below_reserve(now):
            return 0.0
        is_cut_off = self._liveness.is_isolated and self._liveness.host_count() > 1
        if is_cut_off or self._growth(state, now) > MIN_GROWTH:
            return -RISE_MALUS * part
        is_in_touch = share >= IN_TOUCH_SHARE
        if rank is None:
            return BONUS if is_in_touch else CUT_BONUS
        return (URGENT_BONUS if is_in_touch else CUT_BONUS) * (1.0 - part)

    def _rank_probability(self, state, probability, rank, now):
        """Return the probability with which to admit a request of a rank."""
        if not 0.0 < probability < 1.0:
            return probability
        fractions = blend(state.mix.counts(now), self._mix.counts(now))
        return rank_probability(probability, fractions, rank)

    def _demand(self, state, now):
        """
        Return the demand on the reachable hosts, in requests per second.

        An isolated host sees few requests, so it averages over a longer time. A host
        that has just started has not heard of the others' demand, which may be high.
        """
        meter = state.meter
        if self._assumes_bursts and now - self._started_at < START_TIME:
            return max(meter.demand(now), START_DEMAND * meter.rate)
        if self._liveness.is_isolated:
            demand = state.own.requested(now) / DECAY_TIME
            if state.known_share < 1.0:
                # The sum has been growing since the start.
                demand /= 1.0 - decay(1.0, now - self._started_at)
            return demand
        return meter.demand(now)

    def release(self, workspace, now):
        """Take back the count of an admitted request that will never be run."""
        if workspace is None or workspace.rate <= 0:
            return
        tag = workspace_tag(workspace.name)
        state = self._get_state(tag, now)
        if state is not None:
            self._count_own(tag, state, 0.0, -1.0, now)

    def _get_state(self, tag, now):
        """Return the `_WorkspaceState` of a workspace, or None if it has no limit."""
        state = self._states.get(tag)
        if state is None and tag in self._limits:
            window = self._tolerance.window
            meter = Meter(
                *self._get_limit(tag),
                window,
                self._started_at,
                now,
                self._assumed_burst(tag),
            )
            state = self._states[tag] = _WorkspaceState(meter)
        if state is not None:
            self._last_used_at[tag] = now
        return state

    def _evict(self, tag):
        for by_tag in (
            self._states,
            self._last_used_at,
            self._local_pending,
            self._remote_pending,
        ):
            by_tag.pop(tag, None)
        for source in self._liveness.sources():
            source.received.evict(tag)

    def _count_own(self, tag, state, requested, admitted, now):
        """Count requests to this host."""
        state.own.add(requested, admitted, now)
        state.note_unheard(admitted, self._liveness.last_message_at)
        self._local_pending[tag] = SENDS_PER_CHANGE
        self._count_local(tag, state, requested, admitted, admitted, now)

    def _count_local(self, tag, state, requested, admitted, new, now):
        """Count requests to a host of this data centre; `new` ones for the limit."""
        state.local.add(requested, admitted, now)
        self._remote_pending[tag] = SENDS_PER_CHANGE
        self._note_admitted(tag, state, new, now)

    def _note_admitted(self, tag, state, admitted, now):
        """Count admitted requests of any host against the limit."""
        if admitted:
            # Unreachable hosts are assumed to admit in proportion to their share.
            state.meter.note_admitted(
                admitted / self._reachable_share(tag, state, now), now
            )

    # Sending.

    def repeat_local(self, rows):
        """Send sums to the data centre again whose message may be lost."""
        for tag in self._states.keys() & {row[0] for row in rows}:
            self._local_pending.setdefault(tag, 1)

    def local_rows(self, now):
        """Return the `QuotaRow`s for a message to the hosts of the data centre."""
        pending = self._next_pending(self._local_pending)
        return [state.own.row(tag, now) for tag, state in pending]

    def remote_rows(self, now):
        """Return the `QuotaRow`s for a message to the other data centres."""
        for tag in list(self._remote_pending):
            if not self._is_near_limit(self._states[tag], now):
                del self._remote_pending[tag]
        pending = self._next_pending(self._remote_pending)
        return [state.local.row(tag, now) for tag, state in pending]

    def _is_near_limit(self, state, now):
        demand = state.local.requested(now) / DECAY_TIME
        return (
            demand >= NEAR_LIMIT_FRACTION * state.meter.rate / self._data_centre_count
        )

    def _next_pending(self, pending):
        """Return the tags and states of the rows of the next message."""
        tags = list(pending)[:MAX_ROWS]
        for tag in tags:
            pending[tag] -= 1
            if not pending[tag]:
                del pending[tag]
        return [(tag, self._states[tag]) for tag in tags]

    def local_hosts(self):
        """Return the `HostCount` that this data centre reports to the others."""
        return self._liveness.local_hosts()

    # Receiving.

    def merge_local(self, host, incarnation, rows, now):
        """
        Merge a message of a host of this data centre; it may be without rows.

        Args:
          host: The host's id.
          incarnation: A number drawn at random at each start of the host.
          rows: The `QuotaRow`s.
          now: The current time in seconds.
        """
        source = self._liveness.note_host_message(host, incarnation, now)
        for row in rows:
            state = self._get_state(row[0], now)
            if state is not None:
                requested, admitted, new = _merge_row(state, source, row, now)
                self._count_local(row[0], state, requested, admitted, new, now)

    def merge_remote(self, data_centre, hosts, rows, now):
        """
        Merge a report from another data centre; two of its hosts may report at once.

        Args:
          data_centre: The `DataCentre`.
          hosts: Its `HostCount`.
          rows: The `QuotaRow`s.
          now: The current time in seconds.
        """
        source = self._liveness.note_data_centre_report(data_centre, hosts, now)
        for row in rows:
            state = self._get_state(row[0], now)
            if state is not None:
                requested, admitted, new = _merge_row(
                    state, source, row, now, is_partial=True
                )
                state.remote.add(requested, admitted, now)
                self._note_admitted(row[0], state, new, now)

    def note_any_message(self, now):
        """Note that a message was received, even if only the hub's heartbeat."""
        self._liveness.note_any_message(now)

    def tick(self, now):
        """Update liveness and samples and evict idle workspaces, once a second."""
        self._liveness.tick(now)
        if self._is_mostly_reachable():
            for state in self._states.values():
                state.add_sample(now)
        idle = [
            tag for tag, at in self._last_used_at.items() if now - at > IDLE_TIMEOUT
        ]
        for tag in idle:
            self._evict(tag)

    # Shares of a limit.

    def _is_mostly_reachable(self):
        """Whether so few hosts are unreachable that messages may have been lost."""
        liveness = self._liveness
        if liveness.is_fully_reachable:
            return True
        unreachable = liveness.unreachable_host_count()
        return unreachable <= MAX_LOST_FRACTION * liveness.host_count()

    def _reachable_share(self, tag, state, now):
        """Return the share of a limit that belongs to the reachable hosts."""
        self._liveness.check(now)
        if state.liveness_revision != self._liveness.revision:
            state.liveness_revision = self._liveness.revision
            self._note_isolation(state, now)
            previous, state.reachable_share = (
                state.reachable_share,
                self._compute_reachable_share(tag, state),
            )
            self._count_unreported(state, previous, state.reachable_share, now)
        return state.reachable_share * self._update_known_share(state, now)

    def _update_known_share(self, state, now):
        """
        Return the share of the known hosts, and adjust what it was assumed for.

        Each request of a known host was counted for those that others may have
        admitted. Hosts that are found report their own. If none is found in time, the
        counts expire in their turn, as the limit would be used in a burst otherwise.
        """
        share = self._known_share(now)
        if share != state.known_share:
            if now - self._started_at < DISCOVERY_TIME:
                since = self._started_at + START_TIME
                state.meter.scale_since(since, state.known_share / share)
            state.known_share = share
        return share

    def _known_share(self, now):
        """Return the share of the hosts that are known among those that may exist."""
        age = now - self._started_at
        if not START_TIME <= age < DISCOVERY_TIME:
            return 1.0
        return min(1.0, self._liveness.host_count() / self._expected_hosts)

    def _note_isolation(self, state, now):
        """
        Replace the counts of a partition by an estimate when it has ended.

        An isolated host counts few requests, each for many of the fleet. Its counts are
        far too high or too low for what it may admit as one of all hosts.
        """
        was_isolated, state.is_isolated = state.is_isolated, self._liveness.is_isolated
        if not was_isolated or state.is_isolated or not state.samples:
            return
        meter = state.meter
        used = max(
            meter.capacity - meter.remaining(now),
            state.own.requested(now) / state.reachable_share,
        )
        meter.spread(min(meter.capacity, used), now)

    def _count_unreported(self, state, previous, share, now):
        """
        Count the estimated admissions of unreachable hosts until the detection.

        These have admitted in proportion to their share, as the reachable ones have. An
        estimate from the demand that still reaches this host would lack theirs. Crashed
        hosts cannot be told from partitioned ones and are counted as well.
        """
        if share >= previous:
            return
        meter = state.meter
        estimate = 0.0
        if self._liveness.is_isolated:
            admitted = self._unheard(state)
            estimate = (previous - share) * meter.demand(now) * ISOLATION_TIMEOUT
        else:
            # What is assumed from before the start includes the other hosts.
            age = max(0.0, now - self._started_at - START_TIME)
            seconds = min(self._liveness.detection_delay, age)
            admitted = meter.admitted_since(seconds, now) if seconds else 0.0
        meter.note_admitted(admitted * (previous / share - 1.0) + estimate, now)

    def _unheard(self, state):
        """Return the requests admitted since this host last received a message."""
        unheard, since = state.unheard
        return unheard if since == self._liveness.last_message_at else 0.0

    def _silent_reserve(self, tag, state, now):
        """
        Return the requests that hosts may have admitted which are silent by now.

        Until they are known to be unreachable, they are assumed to have admitted in
        proportion to their share, as far as that exceeds an even use of the limit.
        """
        liveness = self._liveness
        if liveness.is_isolated or not state.meter.is_below_reserve(now):
            return 0.0
        # While demand is even, silent hosts admit little that is not expected.
        rise = (self._growth(state, now) - MIN_GROWTH) / (FULL_GROWTH - MIN_GROWTH)
        burst = state.meter.burst_since(MAX_UNREACHABLE_TIMEOUT, now)
        if rise <= 0.0 or not burst:
            return 0.0
        share, at = state.silent
        if now - at >= CHECK_INTERVAL:
            share = self._silent_share(tag, state, now)
            state.silent = (share, now)
        return min(1.0, rise) * burst * share / (1.0 - share)

    def _silent_share(self, tag, state, now):
        """
        Return the share of the hosts that are silent, by their requests before.

        The demand on them is assumed to have grown since like that on the others.
        """
        weights = [
            (
                source.received.requested(tag, source.last_message_at),
                now - source.last_message_at > SILENCE_TIMEOUT,
            )
            for source in self._liveness.local_sources()
            if not source.is_unreachable
        ]
        if not weights:
            return 0.0
        total = sum(weight for weight, _ in weights)
        equal_part = max(EQUAL_FRACTION * total, 1.0) / len(weights)
        silent = sum(weight + equal_part for weight, is_silent in weights if is_silent)
        others = total + equal_part * len(weights) - silent
        silent *= self._growth(state, now)
        return min(MAX_SILENT_SHARE, silent / (silent + others))

    def _growth(self, state, now):
        """Return by how much demand has certainly grown since a sample; at least 1."""
        if not state.samples:
            return 1.0
        at, _, before = state.samples[0]
        # The sums of a host that has just started grow without a growing demand.
        age = 1.0 - decay(1.0, now - self._started_at)
        before *= age / max(0.01, 1.0 - decay(1.0, at - self._started_at))
        noise = NOISE_DEVIATIONS * math.sqrt(before)
        return max(1.0, (state.all_requested(now) - noise) / max(1.0, before))

    def _reported(self, tag):
        """Return the requests that all sources have reported."""
        return sum(
            source.received.requested(tag, source.last_message_at)
            for source in self._liveness.sources()
        )

    def _compute_reachable_share(self, tag, state):
        liveness = self._liveness
        if liveness.is_fully_reachable:
            return 1.0
        sampled_at, own, all_requested = (
            state.samples[0] if state.samples else NO_SAMPLE
        )
        if sampled_at < self._started_at + FIRST_REPORTS_TIME:
            # Later on, reports may include a rise of demand during the partition.
            all_requested = max(all_requested, own + self._reported(tag))
        hosts = liveness.host_count()
        equal_part = EQUAL_FRACTION * state.meter.rate * DECAY_TIME / hosts
        total = all_requested + equal_part * hosts
        if liveness.is_isolated:
            return (own + equal_part) / total
        unreachable_requested = sum(
            source.received.requested(tag, source.last_message_at)
            + equal_part * sum(source.hosts)
            for source in liveness.unreachable()
        )
        # Other data centres report only the number of their unreachable hosts.
        unreachable_requested += total * liveness.remote_unreachable / hosts
        return max(own + equal_part, total - unreachable_requested) / total


def _merge_row(state, source, row, now, is_partial=False):
    """
    Merge a `QuotaRow` of a source into a workspace's meter.

    Returns:
      The numbers of all and of admitted requests since the source's last row, and of
      admitted ones that are not assumed from before the start of this host.
    """
    is_known = row[0] in source.received
    requested, admitted = source.received.merge(
        row, source.recovered_at, now, is_partial
    )
    new_requested, new = requested, admitted
    if not is_known:
        since = source.counted_since
        new_requested = part_since(requested, since, now)
        new = part_since(admitted, since, now)
    state.meter.note_reported(new_requested, new, is_known, now)
    return requested, admitted, new
