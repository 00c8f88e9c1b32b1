"""
Trials that keep enough of a service's healthy targets in use.

After failures, target selection may leave many targets without requests. Those that
have recovered since stay idle, because only a request can show that they are healthy
again. Requests then queue at the others, and when hosts are lost at that moment, the
retries of their callers meet a service with reduced capacity. So the unused targets of
a data centre get trial requests, the one most likely healthy first, until nearly all
of the service's expected healthy capacity is in use. While the service is degraded in
all data centres together, all of them get some.

A target counts toward the capacity by its probability of being healthy. Counting each
target as one would send trials to targets that are rightly avoided.
"""

import random
from collections import deque
from typing import NamedTuple

from .subset import EventRate

# A service is degraded if more than this fraction of its requests was not served within
# the window, in seconds, and at least the minimum numbers. All targets must get trials
# before a tenth of the requests of two seconds is lost, so the window is shorter. A
# single request that fails by itself does not degrade a service, however few requests
# there were.
DEGRADED_FRACTION = 0.085
DEGRADED_WINDOW = 1.5
DEGRADED_MIN_REQUESTS = 8
DEGRADED_MIN_UNSERVED = 2
# Added to the configured floor share, since the healthy capacity is only an estimate.
FLOOR_MARGIN = 0.15
# Seconds without a request after which a target counts as unused. Together with the
# time until the data centre's next request this stays below two seconds.
UNUSED_TIMEOUT = 1.5
# Targets whose failing probability is higher get no trials.
TRIAL_MAX_FAILING_PROBABILITY = 0.6
# The same while the service is degraded in all data centres together. Every target is
# to be in use then: doubt about one may outlast its cause, and the targets in use may
# be the disturbed ones.
DEGRADED_MAX_FAILING_PROBABILITY = 0.8
# The part of the targets beyond the floor that must be in use for trials to be limited
# to targets that fail less.
CAUTIOUS_MARGIN = 0.05
# Trials that each request of a host allows for while the service is not degraded.
TRIALS_PER_REQUEST = 1 / 16
MAX_SAVED_TRIALS = 1.0
# Trials a second of a target that needs one, from all hosts of its data centre. Other
# hosts learn of a trial within about a tenth of a second, and would repeat it until
# then.
TRIALS_PER_SECOND = 5.0


class Coverage(NamedTuple):
    """
    How much of a service's capacity is in use, as far as a host knows.

    `share` is the part of the expected healthy capacity that is in use. `unused` holds
    the failing probability of each target without recent requests, by incarnation.
    """

    targets: int
    share: float
    unused: dict


class RecentResults:
    """Counts of a service's requests in a sliding window, and of those not served."""

    def __init__(self):
        self._entries = deque()
        self._ended = 0
        self._unserved = 0

    def add(self, ended, unserved, now):
        """Add requests that ended, and how many of them were not served."""
        self._entries.append((now, ended, unserved))
        self._ended += ended
        self._unserved += unserved

    def totals(self, now):
        """Return the requests that ended in the window, and those not served."""
        while self._entries and self._entries[0][0] <= now - DEGRADED_WINDOW:
            _, ended, unserved = self._entries.popleft()
            self._ended -= ended
            self._unserved -= unserved
        return self._ended, self._unserved

    def is_degraded(self, now):
        """Return whether too large a share of the requests was not served."""
        return are_degraded(*self.totals(now))


def are_degraded(ended, unserved):
    """Return whether too large a share of the requests that ended was not served."""
    if ended < DEGRADED_MIN_REQUESTS or unserved < DEGRADED_MIN_UNSERVED:
        return False
    return unserved > DEGRADED_FRACTION * ended


class _TrialBudget:
    """
    The trials that a host's requests for one service allow for.

    `rate` is the number of these requests per second.
    """

    def __init__(self):
        self._tokens = MAX_SAVED_TRIALS
        self._event_rate = EventRate()
        self.rate = 0.0

    def note_request(self, now):
        self._tokens = min(MAX_SAVED_TRIALS, self._tokens + TRIALS_PER_REQUEST)
        self.rate = self._event_rate.note_event(now)

    def has_trial(self):
        return self._tokens >= 1.0

    def spend(self):
        """Count a trial; while the service is degraded there may be none left."""
        self._tokens = max(0.0, self._tokens - 1.0)


class Trials:
    """
    Decides which requests of one host are trials, and of which target.

    No host coordinates the trials. Each host tries a target with a probability by which
    all hosts of the data centre together try it at a given rate.

    Args:
      rng: A `random.Random`.
    """

    def __init__(self, rng=random):
        self._rng = rng
        self._budgets = {}

    def find(
        self,
        service,
        list_targets,
        shared,
        floor_share,
        now,
        max_failing=TRIAL_MAX_FAILING_PROBABILITY,
    ):
        """
        Return the incarnation to which a request has to go as a trial, or None.

        Args:
          service: The service's name.
          list_targets: A function that returns the service's usable incarnations
            and the set of those that this host may try. Since it is slow with many
            targets, it is called only if a trial is due.
          shared: The `SharedState`.
          floor_share: The configured share of the healthy capacity to keep in use.
          now: The current time in seconds.
          max_failing: Targets whose failing probability is higher get no trials while
            the service is not degraded and the others suffice for the floor.
        """
        budget = self._budgets.setdefault(service, _TrialBudget())
        budget.note_request(now)
        is_degraded = shared.is_degraded(service, now)
        is_degraded_overall = shared.is_degraded_overall(service, now)
        if not (budget.has_trial() or is_degraded or is_degraded_overall):
            return None
        if is_degraded_overall:
            floor_share = 1.0
            max_failing = DEGRADED_MAX_FAILING_PROBABILITY
        elif is_degraded:
            max_failing = TRIAL_MAX_FAILING_PROBABILITY
        trial = find_trial(
            *list_targets(),
            lambda incarnation: shared.failing_probability(incarnation, now),
            shared.last_used_at,
            floor_share,
            now,
            max_failing,
            lambda due: self._choose(
                due if is_degraded_overall else _likeliest(due),
                budget.rate,
                shared.live_host_count(),
            ),
        )
        if trial is not None:
            budget.spend()
        return trial

    def _choose(self, due, rate, host_count):
        """
        Return a target that is due for a trial, or None to leave them to other hosts.

        Args:
          due: The failing probabilities of the targets, by incarnation.
          rate: This host's requests for the service per second.
          host_count: The number of hosts in the data centre.
        """
        if host_count == 1:
            return next(iter(_likeliest(due)))
        if self._rng.random() * rate * host_count >= TRIALS_PER_SECOND * len(due):
            return None
        weights = [1.0 - failing for failing in due.values()]
        return self._rng.choices(list(due), weights)[0]


def _likeliest(due):
    """Return the target that is most likely healthy, with its failing probability."""
    best = min(due, key=due.get)
    return {best: due[best]}


def find_coverage(incarnations, failing_probability, last_used_at, now):
    """
    Return the `Coverage` of a service.

    Args:
      incarnations: The incarnations of the service's usable targets.
      failing_probability: A function that returns the failing probability of
        an incarnation.
      last_used_at: A function that returns when an incarnation last got a request.
      now: The current time in seconds.
    """
    capacity = 0.0
    unused = {}
    for incarnation in incarnations:
        failing = failing_probability(incarnation)
        capacity += 1.0 - failing
        if now - last_used_at(incarnation) > UNUSED_TIMEOUT:
            unused[incarnation] = failing
    idle_capacity = sum(1.0 - failing for failing in unused.values())
    share = 1.0 - idle_capacity / capacity if capacity else 1.0
    return Coverage(len(incarnations), share, unused)


def find_trial(
    incarnations,
    eligible,
    failing_probability,
    last_used_at,
    floor_share,
    now,
    max_failing=TRIAL_MAX_FAILING_PROBABILITY,
    choose=lambda due: min(due, key=due.get),
):
    """
    Return the incarnation to try so that enough of the healthy capacity is in use.

    Args:
      incarnations: The incarnations of a service's usable targets.
      eligible: Those that this host may try.
      failing_probability: A function that returns the failing probability of
        an incarnation.
      last_used_at: A function that returns when an incarnation last got a request.
      floor_share: The configured share of the healthy capacity to keep in use.
      now: The current time in seconds.
      max_failing: Targets whose failing probability is higher get no trials if the
        others suffice for the floor.
      choose: A function that returns one of the targets that are due, or None. It is
        passed their failing probabilities by incarnation.
    Returns:
      An incarnation, or None if no trial is needed or possible.
    """
    coverage = find_coverage(incarnations, failing_probability, last_used_at, now)
    if coverage.share >= floor_share + FLOOR_MARGIN:
        return None
    used_count = coverage.targets - len(coverage.unused)
    if used_count < (floor_share + CAUTIOUS_MARGIN) * coverage.targets:
        max_failing = max(max_failing, TRIAL_MAX_FAILING_PROBABILITY)
    due = {
        incarnation: failing
        for incarnation, failing in coverage.unused.items()
        if incarnation in eligible and failing <= max_failing
    }
    return choose(due) if due else None
