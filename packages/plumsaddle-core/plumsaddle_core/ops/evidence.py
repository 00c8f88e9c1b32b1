"""
Detects failing targets from the health signals of all hosts.

Each finished or overdue attempt gives a health signal. A host counts its signals by
target and exchanges the counts with other hosts. Counts only grow within one
incarnation of a host, and a merge takes the maximum, so rows may arrive late, twice or
out of order; a restarted host starts at zero under a new incarnation.

Two cumulative sums (CUSUM) per target, one for failures and one for slowness, test
the hypothesis that it is failing against the one that it is healthy. The healthy rates
are estimated from the service's other targets, so that no target is ejected for a
failure that all share. The contributions of each host and of each data centre are
capped, so that a faulty one cannot get a target ejected on its own.
"""

import math
import statistics
from typing import NamedTuple

from ..core.data import DetectionTradeoff
from ..core.ids import Incarnation, TargetKey

HEALTHY_FAILURE_RATE = 0.01
FAILING_FAILURE_RATE = 0.5
HEALTHY_SLOW_RATE = 0.1
FAILING_SLOW_RATE = 0.45
MAX_HEALTHY_RATE = 0.5
HEALTHY_RATE_MARGIN = 1.5
# In signals per target.
RATE_HALF_LIFE = 10.0
MIN_OBSERVERS = 3
RECENT_WINDOW = 10.0
MIN_SCORE_TO_SHARE = 0.2
MAX_DATA_CENTRE_SHARE = 0.6
PATH_HALF_LIFE = 15.0
OUTLIER_FACTOR = 2.0
MAX_BAD_LAST = 2
CONFIRM_SIGNALS = 2.0
CONFIRM_SECONDS = 1.0
OUTLIER_MARGIN = 0.2

# Thresholds of the sums, as natural logarithms of likelihood ratios. A healthy target
# reaches its threshold by chance after about exp(threshold) signals.
THRESHOLDS = {
    DetectionTradeoff.FALSE_EJECTIONS: 14.0,
    DetectionTradeoff.DETECTION_TIME: 9.0,
}


class Counts(NamedTuple):
    """The number of signals of each kind that a reporter has seen of a target."""

    good: int = 0
    slow: int = 0
    failed: int = 0


NO_SIGNALS = Counts()


class Row(NamedTuple):
    """The counts of one reporter for one target, as hosts exchange them."""

    reporter: Incarnation
    target: TargetKey
    good: int
    slow: int
    failed: int


class Score(NamedTuple):
    """
    How strongly a target is suspected, in units of the threshold.

    `own` is the score of this host's path to the target, and `observers` the number of
    hosts whose signals count against it.
    """

    total: float
    own: float
    observers: int


class CumulativeSum:
    """A cumulative sum, kept by reporter so that each contribution can be capped."""

    def __init__(self):
        self.by_reporter = {}

    def add(self, reporter, amount, capped_total):
        """
        Add one reporter's amount, and reset the sum if its total falls to zero.

        Args:
          reporter: The incarnation of the host that saw the signals.
          amount: The log-likelihood ratio of the signals.
          capped_total: Returns the capped total of the contributions.
        """
        self.by_reporter[reporter] = self.by_reporter.get(reporter, 0.0) + amount
        if capped_total(self.by_reporter) <= 0:
            self.by_reporter.clear()

    def observer_count(self):
        """Return how many reporters contribute against the target."""
        return sum(amount > 0 for amount in self.by_reporter.values())


class PathSum:
    """
    A decaying sum of this host's own signals about its path to a target.

    Good signals of other hosts do not reduce it, since they use other paths. It decays
    with time, so that a path that is no longer used is eventually tried again.
    """

    def __init__(self):
        self.amount = 0.0
        self.updated_at = 0.0

    def add(self, amount, now):
        """Add a log-likelihood ratio at the given time."""
        self.amount = max(0.0, self.value(now) + amount)
        self.updated_at = now

    def value(self, now):
        """Return the decayed sum at the given time."""
        return self.amount * 0.5 ** ((now - self.updated_at) / PATH_HALF_LIFE)


class DecayedCounts:
    """
    Counts of signals that decay with each new signal of the service.

    With decay by time, a service with little traffic would never have enough signals,
    and old good signals of a busy service would hide a new failure.
    """

    def __init__(self):
        self.good = self.slow = self.failed = 0.0
        self.decayed_at = 0.0

    def decay(self, clock, half_life):
        """Decay the counts up to a reading of the service's signal clock."""
        if clock > self.decayed_at:
            factor = 0.5 ** ((clock - self.decayed_at) / half_life)
            self.good *= factor
            self.slow *= factor
            self.failed *= factor
            self.decayed_at = clock

    def add(self, counts):
        """Add counts; `decay` must have been called for the same clock."""
        self.good += counts.good
        self.slow += counts.slow
        self.failed += counts.failed


class TargetView:
    """The counts, decayed counts and sums of one target."""

    def __init__(self):
        self.counts = {}
        self.decayed = DecayedCounts()
        self.failures = CumulativeSum()
        self.slowness = CumulativeSum()
        self.path = PathSum()
        self.changed_at = {}
        self.last_bad_at = -math.inf
        self.last_remote_good_at = -math.inf
        self.outlier_since = None


class Evidence:
    """
    The health signals of the targets of one service, from all hosts.

    Args:
      own: This host's incarnation.
      tradeoff: A `DetectionTradeoff`.
      data_centre_of: Returns the data centre of an incarnation of a host, or an empty
        text if it is unknown.
    """

    def __init__(self, own, tradeoff, data_centre_of):
        self.own = own
        self.data_centre_of = data_centre_of
        self.threshold = THRESHOLDS[tradeoff]
        self.data_centre_cap = self.threshold * MAX_DATA_CENTRE_SHARE
        self.views = {}
        self.decayed = DecayedCounts()
        self._clock = 0.0
        self._last_heard_at = {}

    def note_signal(self, target, signal, now):
        """
        Add a signal that this host saw itself.

        Args:
          target: The target's key.
          signal: A `HealthSignal`.
          now: The present, in seconds.
        """
        counts = self._view(target).counts.get(self.own, NO_SIGNALS)
        grown = counts._replace(**{signal.value: getattr(counts, signal.value) + 1})
        self._merge_row(Row(self.own, target, *grown), now)

    def merge(self, rows, now):
        """
        Merge the rows of another host.

        Args:
          rows: A list of `Row`; this host's own rows are ignored.
          now: The present, in seconds.
        Returns:
          Whether there are new bad signals of a suspect target, which should be passed
          on at once.
        """
        has_bad_news = False
        for row in rows:
            if row.reporter != self.own:
                has_bad_news = self._merge_row(row, now) or has_bad_news
        return has_bad_news

    def _view(self, target):
        view = self.views.get(target)
        if view is None:
            view = self.views[target] = TargetView()
        return view

    def _merge_row(self, row, now):
        """Merge a row, and return whether it has bad signals of a suspect target."""
        view = self._view(row.target)
        old = view.counts.get(row.reporter, NO_SIGNALS)
        # Fast path: most rows received are already known.
        if row.good <= old.good and row.slow <= old.slow and row.failed <= old.failed:
            return False
        new = Counts(
            max(old.good, row.good),
            max(old.slow, row.slow),
            max(old.failed, row.failed),
        )
        delta = Counts(
            new.good - old.good, new.slow - old.slow, new.failed - old.failed
        )
        view.counts[row.reporter] = new
        view.changed_at[row.reporter] = now
        self._last_heard_at[row.reporter] = now
        self._update_sums(row.reporter, row.target, view, delta, now)
        self._decay(view)
        view.decayed.add(delta)
        self.decayed.add(delta)
        self._clock += sum(delta)
        if delta.good and row.reporter != self.own:
            view.last_remote_good_at = now
        if not delta.failed and not delta.slow:
            return False
        view.last_bad_at = now
        return self.is_suspect(row.target, now)

    def _update_sums(self, reporter, target, view, delta, now):
        """Add a reporter's new signals to the sums."""
        fail_healthy, slow_healthy = self._healthy_rates(target)
        # A slow attempt counts as neither a success nor a failure, so that a failure
        # after it weighs as much as an immediate one.
        failures = _log_ratios(
            delta.failed,
            delta.good,
            fail_healthy,
            _failing_rate(fail_healthy, FAILING_FAILURE_RATE),
        )
        slowness = _log_ratios(
            delta.slow + delta.failed,
            delta.good,
            slow_healthy,
            _failing_rate(slow_healthy, FAILING_SLOW_RATE),
        )

        def capped_total(by_reporter):
            return self._capped_total(view, by_reporter, now)

        for cumulative, ratios in (
            (view.failures, failures),
            (view.slowness, slowness),
        ):
            for ratio in ratios:
                cumulative.add(reporter, ratio, capped_total)
        if reporter == self.own:
            view.path.add(max(sum(failures), sum(slowness)), now)

    def _capped_total(self, view, by_reporter, now):
        """
        Return the total of contributions by reporter, capped by host and data centre.

        A host with a faulty network card, or a data centre that is cut off, sees
        failures of healthy targets. So the contribution of each host is capped, and
        that of each data centre if hosts in several ones use the target. If fewer than
        `MIN_OBSERVERS` hosts report on the service, their agreement is enough, so that
        a small fleet can eject targets too.
        """
        observers = [r for r, at in view.changed_at.items() if now - at < RECENT_WINDOW]
        heard = sum(now - at < RECENT_WINDOW for at in self._last_heard_at.values())
        needed = max(1, min(MIN_OBSERVERS, heard))
        by_data_centre = {}
        for reporter, amount in by_reporter.items():
            data_centre = self.data_centre_of(reporter)
            capped = min(amount, self.threshold / needed)
            by_data_centre[data_centre] = by_data_centre.get(data_centre, 0.0) + capped
        if len({self.data_centre_of(reporter) for reporter in observers}) < 2:
            return sum(by_data_centre.values())
        return sum(
            min(amount, self.data_centre_cap) for amount in by_data_centre.values()
        )

    def _decay(self, view):
        """Decay the counts of a target and of the whole service."""
        half_life = RATE_HALF_LIFE * max(1, len(self.views))
        view.decayed.decay(self._clock, half_life)
        self.decayed.decay(self._clock, half_life)

    def _healthy_rates(self, target):
        """
        Return the failure and slowness rates of the service's other targets.

        If a dependency fails, all targets do, and none of them must be ejected for it.
        """
        view = self._view(target)
        self._decay(view)
        own = view.decayed
        good = max(0.0, self.decayed.good - own.good)
        slow = max(0.0, self.decayed.slow - own.slow)
        failed = max(0.0, self.decayed.failed - own.failed)
        total = good + slow + failed
        if total < 1.0:
            return HEALTHY_FAILURE_RATE, HEALTHY_SLOW_RATE
        fail_rate = HEALTHY_RATE_MARGIN * failed / total
        slow_rate = HEALTHY_RATE_MARGIN * (slow + failed) / total
        return (
            min(MAX_HEALTHY_RATE, max(HEALTHY_FAILURE_RATE, fail_rate)),
            min(MAX_HEALTHY_RATE, max(HEALTHY_SLOW_RATE, slow_rate)),
        )

    def is_suspect(self, target, now):
        """
        Return whether the evidence against a target should be passed on.

        Occasional slow signals of healthy targets are not, to bound the size of the
        exchange between hosts.
        """
        return self.score(target, now).total >= MIN_SCORE_TO_SHARE

    def score(self, target, now):
        """Return the `Score` of a target, from the higher of its two sums."""
        view = self.views.get(target)
        if view is None:
            return Score(0.0, 0.0, 0)
        worse = max(
            (
                self._capped_total(view, cumulative.by_reporter, now),
                cumulative.observer_count(),
            )
            for cumulative in (view.failures, view.slowness)
        )
        own = view.path.value(now) / self.threshold
        return Score(worse[0] / self.threshold, own, worse[1])

    def is_outlier(self, target, now):
        """
        Return whether a target is persistently worse than the service's others.

        When a whole service slows down or loses a dependency, single targets cross the
        threshold before the healthy rates have adapted. So a target must also be worse
        than the median of the others, for as long as they need to show the same fault.

        Args:
          target: The target's key.
          now: The present, in seconds.
        """
        view = self.views.get(target)
        if view is None or not self._is_worse_than_median(target, view):
            return False
        if self.score(target, now).total < 1.0:
            view.outlier_since = None
            return False
        if view.outlier_since is None:
            view.outlier_since = (self._clock, now)
        clock, since = view.outlier_since
        has_clock = self._clock - clock >= CONFIRM_SIGNALS * len(self.views)
        return has_clock or now - since >= CONFIRM_SECONDS

    def _is_worse_than_median(self, target, view):
        self._decay(view)
        own = _bad_share(view.decayed)
        others = [
            _bad_share(other.decayed)
            for key, other in self.views.items()
            if key != target
        ]
        median = statistics.median(others) if others else 0.0
        return own >= max(OUTLIER_FACTOR * median, median + OUTLIER_MARGIN)

    def clear(self, target):
        """Reset the sums of a target that gets another chance."""
        view = self._view(target)
        view.failures.by_reporter.clear()
        view.slowness.by_reporter.clear()
        view.path.amount = 0.0

    def retain_targets(self, targets):
        """Drop the evidence of all targets except the given ones."""
        for target in set(self.views) - set(targets):
            del self.views[target]

    def rows_to_send(self, now, max_rows):
        """
        Choose the rows to send to another host.

        These are this host's own recently changed counts and, for suspect targets,
        those of all reporters. The newest rows of all targets precede any second row:
        otherwise, if all targets of a service fail, the receiver might learn of only
        one.

        Args:
          now: The present, in seconds.
          max_rows: The maximum number of rows to return.
        Returns:
          A list of `Row`.
        """
        ranked = []
        for target, view in self.views.items():
            score = (
                self.score(target, now).total
                if now - view.last_bad_at < RECENT_WINDOW
                else 0.0
            )
            reporters = view.changed_at if score >= MIN_SCORE_TO_SHARE else (self.own,)
            newest = sorted(
                (-view.changed_at[reporter], reporter)
                for reporter in reporters
                if now - view.changed_at.get(reporter, -math.inf) < RECENT_WINDOW
            )
            for position, (at, reporter) in enumerate(newest):
                row = Row(reporter, target, *view.counts[reporter])
                ranked.append((position, -score, at, row))
        ranked.sort()
        return [row for *_, row in ranked[:max_rows]]


def _bad_share(counts):
    """Return the share of bad signals in decayed counts."""
    bad = counts.slow + counts.failed
    total = bad + counts.good
    return bad / total if total > 0 else 0.0


def _failing_rate(healthy, failing):
    """Return the rate under the failing hypothesis, kept well above the healthy one."""
    return max(failing, (1 + healthy) / 2 if healthy > failing / 2 else failing)


def _log_ratios(bad, good, healthy, failing):
    """
    Return the log-likelihood ratios of signals: failing against healthy.

    Signals that arrive in one row have lost their order, and the good ones among them
    could hide that the latest are bad. So up to `MAX_BAD_LAST` of the bad ones are
    assumed to be the latest.

    Args:
      bad: The number of bad signals.
      good: The number of good signals.
      healthy: The rate of bad signals of a healthy target.
      failing: The rate of bad signals of a failing target.
    Returns:
      Two log-likelihood ratios, to be added in this order.
    """
    per_bad = math.log(failing / healthy)
    per_good = math.log((1 - failing) / (1 - healthy))
    last = min(bad, MAX_BAD_LAST)
    return (bad - last) * per_bad + good * per_good, last * per_bad
