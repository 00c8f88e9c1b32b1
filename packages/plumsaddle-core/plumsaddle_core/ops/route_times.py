"""
How long a route's requests usually take, and how often they take far too long.

How often a service's targets refuse work stands here too.

Routes of one service can differ a hundredfold, so a median over all of them would make
the longer ones look stuck. So times are kept for each route of each service.

Times are those of the work, without the wait for a slot. With the wait in it, the
median of a busy service grew to twice its work; added to the wait that is expected of
each target, it made all sound targets look too late, and a fifth of the look-ups went
to targets that had just failed, which at least seemed quick.
"""

import statistics
from collections import deque

# Answers that a median, and sends that a share is taken of: some seconds of a busy
# route's work, so both follow a change within seconds.
KEPT = 48
# Answers before a median is believed; of fewer, one odd answer decides it.
FEWEST = 5
# The median before any answer was seen, in seconds; an ordinary request's work.
DEFAULT_DURATION = 0.3
# What the share of stuck or refused sends starts from: one in ten, as if ten had been
# seen.
RARE_AT_FIRST = 1.0
SEEN_AT_FIRST = 10.0


class RouteTimes:
    """The recent times and stuck sends of all routes, and refusals of all services."""

    def __init__(self):
        self._times = {}
        # The medians by service and route, None where a time has come since.
        self._medians = {}
        self._stuck = {}
        self._shed = {}

    def typical_duration(self, service, route):
        """
        Return the median seconds of work behind a route's recent whole answers.

        A route that is new is taken to be like the slowest known one of its service,
        and never for quicker than ordinary work: else ordinary requests beside a route
        that takes milliseconds look stuck from the first one on.
        """
        medians = self._medians.get(service, {})
        if route in medians:
            return self._median(service, route)
        others = [self._median(service, other) for other in medians]
        return max(DEFAULT_DURATION, max(others, default=0.0))

    def _median(self, service, route):
        """Return a known route's median, worked out when it is asked for."""
        medians = self._medians[service]
        if medians[route] is None:
            medians[route] = statistics.median(self._times[service, route])
        return medians[route]

    def note_success(self, service, route, seconds):
        """Take the seconds of work behind a whole answer."""
        _note_rare(self._stuck, (service, route), False)
        _note_rare(self._shed, service, False)
        self.note_late(service, route, seconds)

    def note_late(self, service, route, seconds):
        """
        Take the seconds of work behind a whole answer to a send that counts as stuck.

        A median that is far too short makes all sends look stuck. If their times were
        left out, it would stay as it is for ever: a third of a service's look-ups were
        sent twice, and their targets doubted, for that reason.
        """
        recent = self._times.setdefault((service, route), deque(maxlen=KEPT))
        recent.append(seconds)
        if len(recent) >= FEWEST:
            self._medians.setdefault(service, {})[route] = None

    def note_stuck(self, service, route):
        """Take a stuck send, and return the share that was stuck before it."""
        return _note_rare(self._stuck, (service, route), True)

    def note_shed(self, service):
        """Take a refusal, and return the share of sends that was refused before it."""
        return _note_rare(self._shed, service, True)

    def retain_routes(self, routes):
        """Forget the routes whose names are not among those given."""
        self._times = {k: v for k, v in self._times.items() if k[1] in routes}
        self._stuck = {k: v for k, v in self._stuck.items() if k[1] in routes}
        for service, medians in self._medians.items():
            kept = {route: m for route, m in medians.items() if route in routes}
            self._medians[service] = kept


def _note_rare(ends, key, has_happened):
    """Take whether a rare end has happened, and return its share before this one."""
    recent = ends.setdefault(key, deque(maxlen=KEPT))
    share = (sum(recent) + RARE_AT_FIRST) / (len(recent) + SEEN_AT_FIRST)
    recent.append(has_happened)
    return share
