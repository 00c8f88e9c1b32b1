"""
Rate limits of workspaces, kept by all hosts together.

Each host counts by workspace what was requested and admitted and gossips decaying sums
(`sums`). Hosts of a data centre report each request to each other; another data centre
receives sums over all hosts of one, and only those of workspaces near their limit. Idle
workspaces hold no state.

An unreachable host may have crashed or may be partitioned and still serving
(`liveness`), so its share of each limit stays reserved: the share of what was requested
from it before, and a little that is dealt equally. It computes the same from what it
received last, so the shares add up to the limit. They are those of before the
partition, whatever is requested since: if each side went by its own present demand, a
workspace that turns hot would have most of its limit on both sides. What unreachable
hosts admit is assumed to be proportional to what is seen, and so what they report once
they are reachable again has been counted.
"""

import random
from collections import deque
from typing import NamedTuple

from .liveness import ISOLATION_TIMEOUT, Liveness
from .meter import Meter, Tolerance, window_capacity
from .sums import DECAY_TIME, DecayingCounts, workspace_tag

# The part of each limit that is dealt equally, so that a host which was asked nothing
# before it was cut off may serve a little.
EQUAL_FRACTION = 0.1
# Looks, one a second, at what was asked that are kept. The oldest is from before any
# silence that has just been noticed.
MAX_SAMPLES = 3
# Messages with which a row goes out: datagrams are lost now and then.
SENDS_PER_CHANGE = 2
# A data centre speaks to the others of a workspace whose demand here is at least this
# part of its rate, divided among the data centres.
NEAR_LIMIT_FRACTION = 0.2
# Rows of a message at most. Those that are left out go with the next one.
MAX_ROWS = 200
# A workspace that has asked nothing for this long (seconds) is forgotten: its window is
# over, and what was told of it has faded.
IDLE_TIMEOUT = 15.0


class QuotaDecision(NamedTuple):
    """
    Whether a request is within its workspace's limit.

    `pause` is when to return, in seconds. The others are the inputs: the requests left,
    the fleet's demand a second, the share of the limit for the reachable hosts, and how
    many hosts are unreachable.
    """

    is_admitted: bool
    retry_after: float = 0.0
    remaining: float = 0.0
    demand: float = 0.0
    reachable_share: float = 1.0
    unreachable_hosts: int = 0


ADMITTED = QuotaDecision(True)


class _WorkspaceState:
    """What is known of one workspace: its meter and the sums that are told of it."""

    __slots__ = (
        "liveness_revision",
        "local",
        "meter",
        "own",
        "reachable_share",
        "remote",
        "samples",
    )

    def __init__(self, meter):
        self.meter = meter
        # Of this host, of all hosts of its data centre, and of the other data centres.
        self.own = DecayingCounts()
        self.local = DecayingCounts()
        self.remote = DecayingCounts()
        # What this host and all hosts were asked, a look each second.
        self.samples = deque(maxlen=MAX_SAMPLES)
        # The part of the limit for the hosts that are heard, and of which revision.
        self.reachable_share = 1.0
        self.liveness_revision = 0

    def add_sample(self, now):
        """Keep what is asked by now."""
        everyone = self.local.requested(now) + self.remote.requested(now)
        self.samples.append((self.own.requested(now), everyone))


class Quotas:
    """
    All limits, as one host keeps them.

    Args:
      tolerance: The `Tolerance`.
      centres: How many data centres there are.
      rng: A `random.Random`.
    """

    def __init__(self, tolerance=None, centres=1, rng=random):
        self._tolerance = tolerance or Tolerance()
        self._centres = max(1, centres)
        self._rng = rng
        self._started_at = None
        self._limits = {}
        self._states = {}
        self._last_used_at = {}
        self._local_pending = {}
        self._remote_pending = {}
        self._liveness = Liveness()

    def configure(self, workspaces, now):
        """
        Take the limits of a configuration's workspaces.

        Args:
          workspaces: The `Workspace` tuples.
          now: The present, in seconds.
        """
        if self._started_at is None:
            self._started_at = now
        self._limits = {
            workspace_tag(workspace.name): workspace
            for workspace in workspaces
            if workspace.rate > 0
        }
        for tag in self._states.keys() - self._limits.keys():
            self._evict(tag)
        for tag, known in self._states.items():
            known.meter.set_limit(*self._limit_of(tag))

    def _limit_of(self, tag):
        workspace = self._limits[tag]
        rate, burst = workspace.rate, workspace.burst
        return rate, window_capacity(rate, burst, self._tolerance)

    @property
    def workspace_count(self):
        """Of how many workspaces something is kept."""
        return len(self._states)

    # This host's own requests.

    def acquire(self, workspace, now):
        """
        Rule on a request, and count it.

        Args:
          workspace: The `Workspace`, or None for nobody's.
          now: The present, in seconds.
        Returns:
          A `QuotaDecision`.
        """
        if workspace is None or workspace.rate <= 0:
            return ADMITTED
        tag = workspace_tag(workspace.name)
        known = self._get_state(tag, now)
        if known is None:
            return ADMITTED
        known.meter.note_requested(1.0, now)
        part = self._reachable_share(tag, known, now)
        demand = self._demand(known, now)
        chance = known.meter.admission_probability(part, demand, now)
        is_admitted = chance >= 1.0 or self._rng.random() < chance
        self._count(tag, known, 1.0, float(is_admitted), now)
        if is_admitted:
            return ADMITTED
        return QuotaDecision(
            False,
            known.meter.retry_after(demand, self._rng.random(), now),
            round(known.meter.remaining(now), 1),
            round(demand, 1),
            round(part, 3),
            self._liveness.unreachable_host_count(),
        )

    def _demand(self, known, now):
        """
        Return the requests a second that the hosts which are heard are asked.

        A host by itself sees few of them, so it takes the longer average.
        """
        if self._liveness.is_isolated:
            return known.own.requested(now) / DECAY_TIME
        return known.meter.demand(now)

    def release(self, workspace, now):
        """Take it that a request which was let through has not run, and never will."""
        if workspace is None or workspace.rate <= 0:
            return
        tag = workspace_tag(workspace.name)
        known = self._get_state(tag, now)
        if known is not None:
            self._count(tag, known, 0.0, -1.0, now)

    def _get_state(self, tag, now):
        """Return what is known of a workspace with a limit, or None."""
        known = self._states.get(tag)
        if known is None and tag in self._limits:
            window = self._tolerance.window
            meter = Meter(*self._limit_of(tag), window, self._started_at, now)
            known = self._states[tag] = _WorkspaceState(meter)
        if known is not None:
            self._last_used_at[tag] = now
        return known

    def _evict(self, tag):
        for kept in (
            self._states,
            self._last_used_at,
            self._local_pending,
            self._remote_pending,
        ):
            kept.pop(tag, None)
        for source in self._liveness.sources():
            source.received.evict(tag)

    def _count(self, tag, known, asked, admitted, now):
        """Count what this host was asked and let through."""
        known.own.add(asked, admitted, now)
        self._local_pending[tag] = SENDS_PER_CHANGE
        self._count_local(tag, known, asked, admitted, now)

    def _count_local(self, tag, known, asked, admitted, now):
        """Count what a host of this data centre was asked and let through."""
        known.local.add(asked, admitted, now)
        self._remote_pending[tag] = SENDS_PER_CHANGE
        self._note_admitted(tag, known, admitted, now)

    def _note_admitted(self, tag, known, admitted, now):
        """Count what some host let through against the limit."""
        if admitted:
            # Hosts that are not heard likely let through as much for their part.
            known.meter.note_admitted(
                admitted / self._reachable_share(tag, known, now), now
            )

    # What is told.

    def local_rows(self, now):
        """Return the `QuotaRow`s for a message to the hosts of the data centre."""
        untold = self._take_pending(self._local_pending)
        return [known.own.row(tag, now) for tag, known in untold]

    def remote_rows(self, now):
        """Return the `QuotaRow`s for a message to the other data centres."""
        for tag in list(self._remote_pending):
            if not self._is_near_limit(self._states[tag], now):
                del self._remote_pending[tag]
        untold = self._take_pending(self._remote_pending)
        return [known.local.row(tag, now) for tag, known in untold]

    def _is_near_limit(self, known, now):
        demand = known.local.requested(now) / DECAY_TIME
        return demand >= NEAR_LIMIT_FRACTION * known.meter.rate / self._centres

    def _take_pending(self, untold):
        """Return the tags that are to be told, with what is known of them."""
        tags = list(untold)[:MAX_ROWS]
        for tag in tags:
            untold[tag] -= 1
            if not untold[tag]:
                del untold[tag]
        return [(tag, self._states[tag]) for tag in tags]

    def local_hosts(self):
        """Return the `HostCount` of this host's data centre, which others are told."""
        return self._liveness.local_hosts()

    # What the others tell.

    def merge_local(self, host, life, rows, now):
        """
        Take a message of a host of this data centre; it need not hold rows.

        Args:
          host: The host's id.
          life: Its life, drawn anew at each start.
          rows: The `QuotaRow`s.
          now: The present, in seconds.
        """
        source = self._liveness.note_host(host, life, now)
        for row in rows:
            known = self._get_state(row[0], now)
            if known is not None:
                asked, admitted = _merge_row(known, source, row, now)
                self._count_local(row[0], known, asked, admitted, now)

    def merge_remote(self, centre, hosts, rows, now):
        """
        Take what was told for a data centre; two hosts may speak for it at once.

        Args:
          centre: The `DataCentre`.
          hosts: Its `HostCount`.
          rows: The `QuotaRow`s.
          now: The present, in seconds.
        """
        source = self._liveness.note_centre(centre, hosts, now)
        for row in rows:
            known = self._get_state(row[0], now)
            if known is not None:
                asked, admitted = _merge_row(known, source, row, now, is_partial=True)
                known.remote.add(asked, admitted, now)
                self._note_admitted(row[0], known, admitted, now)

    def note_hub(self, now):
        """Take it that something was heard, if only that the hub is there."""
        self._liveness.note_hub(now)

    def tick(self, now):
        """Look once a second at who is heard, and forget what is over."""
        self._liveness.tick(now)
        if self._liveness.is_fully_reachable:
            for known in self._states.values():
                known.add_sample(now)
        idle = [
            tag for tag, at in self._last_used_at.items() if now - at > IDLE_TIMEOUT
        ]
        for tag in idle:
            self._evict(tag)

    # Whose part of a limit is whose.

    def _reachable_share(self, tag, known, now):
        """Return the part of a limit that belongs to the hosts that are heard."""
        self._liveness.check(now)
        if known.liveness_revision != self._liveness.revision:
            known.liveness_revision = self._liveness.revision
            former, known.reachable_share = (
                known.reachable_share,
                self._compute_reachable_share(tag, known),
            )
            self._count_unreported(known, former - known.reachable_share, now)
        return known.reachable_share

    def _count_unreported(self, known, part, now):
        """Count what hosts with a part let through before they were missed."""
        if part <= 0.0:
            return
        meter = known.meter
        demand = meter.demand(now)
        let_through = demand * ISOLATION_TIMEOUT
        if not self._liveness.is_isolated:
            # From then on they knew that they were by themselves.
            by_themselves = max(0.0, self._liveness.detection_delay - ISOLATION_TIMEOUT)
            let_through += min(meter.rate, demand) * by_themselves
        meter.note_admitted(part * let_through, now)

    def _compute_reachable_share(self, tag, known):
        liveness = self._liveness
        if liveness.is_fully_reachable:
            return 1.0
        own, everyone = known.samples[0] if known.samples else (0.0, 0.0)
        hosts = liveness.host_count()
        equal = EQUAL_FRACTION * known.meter.rate * DECAY_TIME / hosts
        whole = max(everyone, own) + equal * hosts
        if liveness.is_isolated:
            return (own + equal) / whole
        lost = sum(
            source.received.requested(tag, source.last_message_at)
            + equal * sum(source.hosts)
            for source in liveness.unreachable()
        )
        # Of hosts elsewhere that are missing, only the number is told.
        lost += whole * liveness.remote_unreachable / hosts
        return max(own + equal, whole - lost) / whole


def _merge_row(known, source, row, now, is_partial=False):
    """
    Take a `QuotaRow` of a source into a workspace's meter.

    Returns:
      What was asked and let through since the source's last row.
    """
    is_known = row[0] in source.received
    asked, admitted = source.received.merge(row, source.recovered_at, now, is_partial)
    known.meter.note_reported(asked, admitted, is_known, now)
    return asked, admitted
