"""
The typical duration of a route's requests, and the rates of overdue and rejected sends.

Routes of one service can differ a hundredfold, so durations are kept for each route of
each service. With one median for all, requests of the slower routes would look overdue.

Durations exclude the wait for a slot. That wait is estimated for each target, and would
otherwise be counted twice and make healthy targets look too slow.
"""

import statistics
from collections import deque

from .draining import Durations

# Samples per median and per rate. Few enough to follow a change within seconds.
MAX_SAMPLES = 48
# A median of fewer samples could be decided by a single outlier.
MIN_SAMPLES = 5
# The least duration in seconds assumed for a route without enough samples.
DEFAULT_DURATION = 0.3
# Prior of the rates of overdue and rejected sends: one in ten.
PRIOR_RARE_COUNT = 1.0
PRIOR_SAMPLE_COUNT = 10.0


class RouteTimes:
    """Recent durations and overdue sends by route, and rejected sends by service."""

    def __init__(self):
        self._times = {}
        # Medians by service and route; None if they must be computed anew.
        self._medians = {}
        self._overdue = {}
        self._shed = {}

    def typical_duration(self, service, route):
        """
        Return the median duration of a route's recent successful requests, in seconds.

        A route without enough samples is assumed to be like the slowest known route of
        its service, and to take at least `DEFAULT_DURATION`. A lower estimate would
        make its first requests look overdue.
        """
        medians = self._medians.get(service, {})
        if route in medians:
            return self._median(service, route)
        others = [self._median(service, other) for other in medians]
        return max(DEFAULT_DURATION, max(others, default=0.0))

    def known_duration(self, service, route):
        """Return the median duration of a route, or None without enough samples."""
        if route not in self._medians.get(service, {}):
            return None
        return self._median(service, route)

    def durations(self, service, route):
        """Return the `Durations` of a route."""
        return Durations(
            self.typical_duration(service, route),
            max(self._times.get((service, route), ()), default=0.0),
            self.known_duration(service, route) is not None,
        )

    def _median(self, service, route):
        """Return the median of a route with enough samples, computing it if needed."""
        medians = self._medians[service]
        if medians[route] is None:
            medians[route] = statistics.median(self._times[service, route])
        return medians[route]

    def note_success(self, service, route, seconds):
        """Record the duration of a successful request."""
        _note_rare_outcome(self._overdue, (service, route), False)
        _note_rare_outcome(self._shed, service, False)
        self.note_late(service, route, seconds)

    def note_late(self, service, route, seconds):
        """
        Record the duration of a successful request that had been counted as overdue.

        Without these samples, a median that is far too short would make all sends look
        overdue and never recover.
        """
        recent = self._times.setdefault((service, route), deque(maxlen=MAX_SAMPLES))
        recent.append(seconds)
        if len(recent) >= MIN_SAMPLES:
            self._medians.setdefault(service, {})[route] = None

    def note_overdue(self, service, route):
        """Record an overdue send, and return the share of overdue sends before it."""
        return _note_rare_outcome(self._overdue, (service, route), True)

    def note_shed(self, service):
        """Record a rejected send, and return the share of rejected sends before it."""
        return _note_rare_outcome(self._shed, service, True)

    def retain_routes(self, routes):
        """Forget all routes whose names are not given."""
        self._times = {k: v for k, v in self._times.items() if k[1] in routes}
        self._overdue = {k: v for k, v in self._overdue.items() if k[1] in routes}
        for service, medians in self._medians.items():
            kept = {route: m for route, m in medians.items() if route in routes}
            self._medians[service] = kept


def _note_rare_outcome(outcomes, key, is_rare):
    """Record whether an outcome was rare, and return the share of rare ones before."""
    recent = outcomes.setdefault(key, deque(maxlen=MAX_SAMPLES))
    share = (sum(recent) + PRIOR_RARE_COUNT) / (len(recent) + PRIOR_SAMPLE_COUNT)
    recent.append(is_rare)
    return share
