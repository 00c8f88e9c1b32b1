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
# Half-life of the counts that rates are estimated from, in signals per target.
RATE_HALF_LIFE = 10.0
# Hosts that must contribute for a target to reach its threshold.
MIN_OBSERVERS = 3
# Seconds for which signals count as recent.
RECENT_WINDOW = 10.0
MIN_SUSPECT_SCORE = 0.2
# The most that one data centre contributes, as a fraction of the threshold.
MAX_DATA_CENTRE_FRACTION = 0.6
# Half-life of `PathSum`, in seconds.
PATH_HALF_LIFE = 15.0
OUTLIER_FACTOR = 2.0
MAX_TRAILING_BAD = 2
CONFIRMATION_SIGNALS_PER_TARGET = 2.0
CONFIRMATION_SECONDS = 1.0
OUTLIER_MARGIN = 0.2

# Thresholds of the sums, as natural logarithms of likelihood ratios. A healthy target
# reaches its threshold by chance after about exp(threshold) signals.
THRESHOLDS = {
    DetectionTradeoff.FALSE_EJECTIONS: 14.0,
    DetectionTradeoff.DETECTION_TIME: 9.0,
}


class Counts(NamedTuple):
    """The number of signals of each kind that a reporter has seen from a target."""

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

    `own` is the score of this host's path to the target, and `observers` is the number
    of hosts whose signals count against the target.
    """

    total: float
    own: float
    observers: int


class CumulativeSum:
    """A CUSUM statistic, kept by reporter so that each contribution can be capped."""

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
    with time, so that a path that is no longer used is eventually retried.
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
        self.decayed_at_count = 0.0

    def decay(self, signal_count, half_life):
        """Decay the counts to the given number of signals of the service."""
        if signal_count > self.decayed_at_count:
            factor = 0.5 ** ((signal_count - self.decayed_at_count) / half_life)
            self.good *= factor
            self.slow *= factor
            self.failed *= factor
            self.decayed_at_count = signal_count

    def add(self, counts):
        """Add counts; call `decay` first."""
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
        self.data_centre_cap = self.threshold * MAX_DATA_CENTRE_FRACTION
        self.views = {}
        self.decayed = DecayedCounts()
        self._signal_count = 0.0
        self._last_signal_at = {}

    def note_signal(self, target, signal, now):
        """
        Add a signal that this host saw itself.

        Args:
          target: The target's key.
          signal: A `HealthSignal`.
          now: The current time in seconds.
        """
        counts = self._view(target).counts.get(self.own, NO_SIGNALS)
        updated = counts._replace(**{signal.value: getattr(counts, signal.value) + 1})
        self._merge_row(Row(self.own, target, *updated), now)

    def merge(self, rows, now):
        """
        Merge the rows of another host.

        Args:
          rows: A list of `Row`; this host's own rows are ignored.
          now: The current time in seconds.
        Returns:
          Whether there are new bad signals of a suspect target, which should be sent to
          other hosts at once.
        """
        has_new_bad_signals = False
        for row in rows:
            if row.reporter != self.own:
                has_new_bad_signals = self._merge_row(row, now) or has_new_bad_signals
        return has_new_bad_signals

    def _view(self, target):
        view = self.views.get(target)
        if view is None:
            view = self.views[target] = TargetView()
        return view

    def _merge_row(self, row, now):
        """Merge a row; return whether it has new bad signals of a suspect target."""
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
        self._last_signal_at[row.reporter] = now
        self._update_sums(row.reporter, row.target, view, delta, now)
        self._decay(view)
        view.decayed.add(delta)
        self.decayed.add(delta)
        self._signal_count += sum(delta)
        if delta.good and row.reporter != self.own:
            view.last_remote_good_at = now
        if not delta.failed and not delta.slow:
            return False
        view.last_bad_at = now
        return self.is_suspect(row.target, now)

    def _update_sums(self, reporter, target, view, delta, now):
        """Add the log-likelihood ratios of a reporter's new signals to the sums."""
        healthy_failure_rate, healthy_slow_rate = self._healthy_rates(target)
        # A slow attempt counts as neither a success nor a failure, so that a failure
        # after it weighs as much as an immediate one.
        failures = _log_ratios(
            delta.failed,
            delta.good,
            healthy_failure_rate,
            _failing_rate(healthy_failure_rate, FAILING_FAILURE_RATE),
        )
        slowness = _log_ratios(
            delta.slow + delta.failed,
            delta.good,
            healthy_slow_rate,
            _failing_rate(healthy_slow_rate, FAILING_SLOW_RATE),
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
        that of each data centre if hosts of several data centres use the target. If
        fewer than `MIN_OBSERVERS` hosts report on the service, the cap per host is
        raised, so that a small fleet can eject targets too.
        """
        observers = [r for r, at in view.changed_at.items() if now - at < RECENT_WINDOW]
        reporter_count = sum(
            now - at < RECENT_WINDOW for at in self._last_signal_at.values()
        )
        required_observers = max(1, min(MIN_OBSERVERS, reporter_count))
        by_data_centre = {}
        for reporter, amount in by_reporter.items():
            data_centre = self.data_centre_of(reporter)
            capped = min(amount, self.threshold / required_observers)
            by_data_centre[data_centre] = by_data_centre.get(data_centre, 0.0) + capped
        if len({self.data_centre_of(reporter) for reporter in observers}) < 2:
            return sum(by_data_centre.values())
        return sum(
            min(amount, self.data_centre_cap) for amount in by_data_centre.values()
        )

    def _decay(self, view):
        """Decay the counts of a target and of the whole service."""
        half_life = RATE_HALF_LIFE * max(1, len(self.views))
        view.decayed.decay(self._signal_count, half_life)
        self.decayed.decay(self._signal_count, half_life)

    def _healthy_rates(self, target):
        """
        Return the failure and slowness rates assumed for a healthy target.

        They are estimated from the service's other targets: if a shared dependency
        fails, all targets fail, and none of them must be ejected for it.
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
        Return whether all hosts' evidence against a target should be forwarded.

        Occasional slow signals of healthy targets are not forwarded, to bound the size
        of the messages between hosts.
        """
        return self.score(target, now).total >= MIN_SUSPECT_SCORE

    def score(self, target, now):
        """Return the `Score` of a target, from the higher of its two sums."""
        view = self.views.get(target)
        if view is None:
            return Score(0.0, 0.0, 0)
        worse_sum = max(
            (
                self._capped_total(view, cumulative.by_reporter, now),
                cumulative.observer_count(),
            )
            for cumulative in (view.failures, view.slowness)
        )
        own = view.path.value(now) / self.threshold
        return Score(worse_sum[0] / self.threshold, own, worse_sum[1])

    def is_outlier(self, target, now):
        """
        Return whether a target is persistently worse than the service's others.

        When a whole service slows down or loses a dependency, single targets cross the
        threshold before the healthy rates have adapted. So a target must also be worse
        than the median of the others, for long enough that a shared fault would show in
        them as well.

        Args:
          target: The target's key.
          now: The current time in seconds.
        """
        view = self.views.get(target)
        if view is None or not self._is_worse_than_median(target, view):
            return False
        if self.score(target, now).total < 1.0:
            view.outlier_since = None
            return False
        if view.outlier_since is None:
            view.outlier_since = (self._signal_count, now)
        signal_count, since = view.outlier_since
        has_enough_signals = (
            self._signal_count - signal_count
            >= CONFIRMATION_SIGNALS_PER_TARGET * len(self.views)
        )
        return has_enough_signals or now - since >= CONFIRMATION_SECONDS

    def _is_worse_than_median(self, target, view):
        self._decay(view)
        own = _bad_fraction(view.decayed)
        others = [
            _bad_fraction(other.decayed)
            for key, other in self.views.items()
            if key != target
        ]
        median = statistics.median(others) if others else 0.0
        return own >= max(OUTLIER_FACTOR * median, median + OUTLIER_MARGIN)

    def clear(self, target):
        """Reset the sums of a target when it is ejected, probed or readmitted."""
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
          now: The current time in seconds.
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
            reporters = view.changed_at if score >= MIN_SUSPECT_SCORE else (self.own,)
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


def _bad_fraction(counts):
    """Return the fraction of bad signals in decayed counts."""
    bad = counts.slow + counts.failed
    total = bad + counts.good
    return bad / total if total > 0 else 0.0


def _failing_rate(healthy, failing):
    """Return the rate under the failing hypothesis, kept well above the healthy one."""
    return max(failing, (1 + healthy) / 2 if healthy > failing / 2 else failing)


def _log_ratios(bad, good, healthy, failing):
    """
    Return the log-likelihood ratios of signals, failing against healthy.

    The order of the signals in a row is unknown, and good ones could hide that the
    latest are bad. So up to `MAX_TRAILING_BAD` bad ones are assumed to be the latest.

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
    trailing_bad = min(bad, MAX_TRAILING_BAD)
    return (bad - trailing_bad) * per_bad + good * per_good, trailing_bad * per_bad
