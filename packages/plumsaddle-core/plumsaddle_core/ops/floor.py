"""
Trials that keep enough of a service's healthy targets in use.

After failures, target selection may leave many targets without requests. Those that
have recovered since stay idle, because only a request can show that they are healthy
again. Requests then queue at the others, and when hosts are lost at that moment, the
retries of their callers meet a service with reduced capacity. So the unused targets of
a data centre get trial requests, the one most likely healthy first, until nearly all of
the service's expected healthy capacity is in use.

A target counts toward the capacity by its probability of being healthy. Counting each
target as one would send trials to targets that are rightly avoided.
"""

from collections import deque
from typing import NamedTuple

# A service is degraded if more than this fraction of its requests was not served within
# the window, in seconds, and at least the minimum numbers. Trials must be unlimited
# before a tenth of the requests is lost. A single request that fails by itself does not
# degrade a service, however few requests there were.
DEGRADED_FRACTION = 0.085
DEGRADED_WINDOW = 2.5
DEGRADED_MIN_REQUESTS = 8
DEGRADED_MIN_UNSERVED = 2
# Added to the configured floor share, since the healthy capacity is only an estimate.
FLOOR_MARGIN = 0.15
# Seconds without a request after which a target counts as unused. Together with the
# time until the data centre's next request this stays below two seconds.
UNUSED_TIMEOUT = 1.5
# Targets whose failing probability is higher get no trials.
TRIAL_MAX_FAILING_PROBABILITY = 0.6
# The part of the targets beyond the floor that must be in use for trials to be limited
# to targets that fail less.
CAUTIOUS_MARGIN = 0.05
# Trials that each request of a host allows for while the service is not degraded.
TRIALS_PER_REQUEST = 1 / 16
MAX_SAVED_TRIALS = 1.0


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

    def is_degraded(self, now):
        """Return whether too large a share of the requests was not served."""
        while self._entries and self._entries[0][0] <= now - DEGRADED_WINDOW:
            _, ended, unserved = self._entries.popleft()
            self._ended -= ended
            self._unserved -= unserved
        if (
            self._ended < DEGRADED_MIN_REQUESTS
            or self._unserved < DEGRADED_MIN_UNSERVED
        ):
            return False
        return self._unserved > DEGRADED_FRACTION * self._ended


class _TrialBudget:
    """The trials that a host's requests for one service allow for."""

    def __init__(self):
        self._tokens = MAX_SAVED_TRIALS

    def note_request(self):
        self._tokens = min(MAX_SAVED_TRIALS, self._tokens + TRIALS_PER_REQUEST)

    def has_trial(self):
        return self._tokens >= 1.0

    def spend(self):
        """Count a trial; while the service is degraded there may be none left."""
        self._tokens = max(0.0, self._tokens - 1.0)


class Trials:
    """Decides which requests of one host are trials, and of which target."""

    def __init__(self):
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
        budget.note_request()
        is_degraded = shared.is_degraded(service, now)
        if not budget.has_trial() and not is_degraded:
            return None
        if is_degraded:
            max_failing = TRIAL_MAX_FAILING_PROBABILITY
        trial = find_trial(
            *list_targets(),
            lambda incarnation: shared.failing_probability(incarnation, now),
            shared.last_used_at,
            floor_share,
            now,
            max_failing,
        )
        if trial is not None:
            budget.spend()
        return trial


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
    Returns:
      An incarnation, or None if no trial is needed or possible.
    """
    coverage = find_coverage(incarnations, failing_probability, last_used_at, now)
    unused = coverage.unused
    if not unused or coverage.share >= floor_share + FLOOR_MARGIN:
        return None
    candidates = [incarnation for incarnation in unused if incarnation in eligible]
    if not candidates:
        return None
    used_count = len(incarnations) - len(unused)
    if used_count < (floor_share + CAUTIOUS_MARGIN) * len(incarnations):
        max_failing = TRIAL_MAX_FAILING_PROBABILITY
    best = min(candidates, key=unused.get)
    return best if unused[best] <= max_failing else None
