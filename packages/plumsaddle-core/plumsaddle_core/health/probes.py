"""
Probes by real requests: of targets that were failing, and of new ones.

This answers failing spells of targets whose status check succeeds all the while, and
targets that join. Only a request shows whether such a target is sound. Where a service
gets repeatable requests, these are the probes, since a failed one is sent again. Orders
are lost, so they probe a target only once it is more likely sound than not, and only
where nothing repeatable can. One failure may be a usual error. These come with the
requests, so a target in doubt rests for the time of some requests: that is short where
it is needed, and elsewhere a spell may pass meanwhile. New targets get a probe of any
kind within seconds.

No host coordinates the probes. Each host of the target's data centre probes with a
probability by which all of them together probe a target at the rates given here.
"""

import math

from ..ops.subset import EventRate

# Probes a second of a target that is due, from all hosts of its data centre. A new
# target gets one within two seconds, and one that is known to fail gets few.
NEW_PROBES_PER_SECOND = 2.0
FAILING_PROBES_PER_SECOND = 0.5
# The number of requests, at the service's rate for each target, for which a target in
# doubt rests on average. It is a small part of those that go by between usual errors.
REST_REQUESTS = 8.0
# Seconds after the last request within which its outcome may not be known yet.
OUTCOME_INTERVAL = 0.25
# A target that is failing with a higher probability than that of an unknown target is
# in doubt. One failure of a sound target leads to at most the second probability.
MIN_DOUBT = 0.08
MAX_DOUBT = 0.35
# Seconds for which a service counts as having repeatable requests after the last one.
REPEATABLE_WINDOW = 2.0
# Bounds of the share of requests for which targets are searched for one that is due.
# Services with up to this many requests a second search for each request.
SEARCHES_PER_SECOND = 8.0
MIN_SEARCH_SHARE = 1 / 16


class _ServiceDemand:
    """The requests of one host for one service: their rate, and the last repeatable."""

    def __init__(self):
        self.rate = EventRate()
        self.repeatable_at = -math.inf


class Probes:
    """
    Decides which requests of one host are probes, and of which target.

    Args:
      rng: A `random.Random`.
    """

    def __init__(self, rng):
        self._rng = rng
        self._demands = {}

    def has_repeatable(self, service, now):
        """Return whether a service had a repeatable request at this host lately."""
        demand = self._demands.get(service)
        return demand is not None and now - demand.repeatable_at <= REPEATABLE_WINDOW

    def find(self, service, kind, list_targets, shared, now):
        """
        Return the incarnation that a request has to probe, or None.

        Args:
          service: The service's name.
          kind: The request's `RequestKind`.
          list_targets: A function that returns the incarnations that this host may
            probe. It is called for a share of the requests only.
          shared: The `SharedState`.
          now: The current time in seconds.
        """
        demand = self._demands.setdefault(service, _ServiceDemand())
        rate = demand.rate.note_event(now) * shared.live_host_count()
        if kind.is_idempotent:
            demand.repeatable_at = now
        share = min(1.0, max(MIN_SEARCH_SHARE, SEARCHES_PER_SECOND / rate))
        if self._rng.random() >= share:
            return None
        targets = list_targets()
        if not targets:
            return None
        may_probe = kind.is_idempotent or not self.has_repeatable(service, now)
        rest_rate = rate / len(targets) / REST_REQUESTS if may_probe else 0.0
        rates = [_probe_rate(t, kind, rest_rate, shared, now) for t in targets]
        if self._rng.random() * rate * share >= sum(rates):
            return None
        return self._rng.choices(targets, rates)[0]


def _probe_rate(incarnation, kind, rest_rate, shared, now):
    """
    Return how many probes a second a target needs by requests of some kind.

    Args:
      incarnation: The target's incarnation.
      kind: The `RequestKind`.
      rest_rate: The probes a second of a target in doubt.
      shared: The `SharedState`.
      now: The current time in seconds.
    """
    last_used_at = shared.last_used_at(incarnation)
    if last_used_at == -math.inf:
        return NEW_PROBES_PER_SECOND
    failing = shared.failing_probability(incarnation, now)
    if now - last_used_at <= OUTCOME_INTERVAL or failing < MIN_DOUBT:
        return 0.0
    if failing <= MAX_DOUBT:
        return rest_rate
    return FAILING_PROBES_PER_SECOND if kind.is_idempotent else 0.0
