"""
What the hosts have seen of the targets, and what it adds up to.

Every finished or overdue try gives a sign. A host counts its signs by target, tells
its counts to others and takes theirs. Counts only grow within one incarnation of a
host, and a merge takes the larger one, so messages may come late, twice or in
another order; a restarted host counts anew under a new incarnation.

For each target two cumulative sums (CUSUM) weigh a healthy hypothesis against a
failing one, one sum for failures and one for slowness. What counts as healthy is
taken from the service's other targets, so that a service whose targets all fail
alike convicts none of them. Within a sum the part of each host and of each data
centre is capped: whatever is wrong with one, it takes several to convict.
"""

import math
import statistics
from typing import NamedTuple

from ..core.data import DetectionTradeoff
from ..core.ids import Incarnation, TargetKey

FAIL_HEALTHY = 0.01
FAIL_FAILING = 0.5
SLOW_HEALTHY = 0.1
SLOW_FAILING = 0.45
HEALTHY_MOST = 0.5
FAIL_MARGIN = 1.5
# In signs of each target.
RATE_HALF_LIFE = 10.0
OBSERVERS_NEEDED = 3
RECENT = 10.0
WORTH_TELLING = 0.2
CENTRE_SHARE = 0.6
PATH_HALF_LIFE = 15.0
STANDS_OUT_FACTOR = 2.0
LATEST = 2
CONFIRM_SIGNS = 2.0
CONFIRM_FOR = 1.0
STANDS_OUT_LEAST = 0.2

# The bound of a sum, in natural logarithms of odds. On average exp(bound) healthy
# signs go by before a sum reaches it by chance; docs/DESIGN.md gives the figures.
THRESHOLDS = {
    DetectionTradeoff.FALSE_EJECTIONS: 14.0,
    DetectionTradeoff.DETECTION_TIME: 9.0,
}


class Counts(NamedTuple):
    """How many signs of each kind a reporter has seen of a target."""

    good: int = 0
    slow: int = 0
    failed: int = 0


NOTHING = Counts()


class Row(NamedTuple):
    """The counts of one reporter for one target, as hosts tell each other."""

    reporter: Incarnation
    target: TargetKey
    good: int
    slow: int
    failed: int


class Score(NamedTuple):
    """The sums of a target, in units of its service's threshold."""

    total: float
    own: float
    observers: int


class Sum:
    """A cumulative sum, kept by reporter so that each one's part can be capped."""

    def __init__(self):
        self.by_reporter = {}

    def add(self, reporter, amount, weigh):
        """
        Add one reporter's amount and start anew when the whole falls to zero.

        Args:
          reporter: Who saw it.
          amount: The log-likelihood ratio of what was seen.
          weigh: A function from all parts to their capped whole.
        """
        self.by_reporter[reporter] = self.by_reporter.get(reporter, 0.0) + amount
        if weigh(self.by_reporter) <= 0:
            self.by_reporter.clear()

    def accusers(self):
        """Return how many reporters speak against the target."""
        return sum(part > 0 for part in self.by_reporter.values())


class PathSum:
    """
    What this host alone holds against its path to a target; it fades with time.

    Others' good signs do not clear it: they have another path. It fades, so that a
    path that is not used any more is tried again after a while.
    """

    def __init__(self):
        self.amount = 0.0
        self.at = 0.0

    def add(self, amount, now):
        """Add the log-likelihood ratio of what was seen by now."""
        self.amount = max(0.0, self.value(now) + amount)
        self.at = now

    def value(self, now):
        """Return what is left of it by now."""
        return self.amount * 0.5 ** ((now - self.at) / PATH_HALF_LIFE)


class Rates:
    """
    Signs seen lately, fading as the service gives new ones.

    Fading by time would ask a quiet service for more signs than it gives, and let
    the good signs of a busy one's past cover what is going on now.
    """

    def __init__(self):
        self.good = self.slow = self.failed = 0.0
        self.at = 0.0

    def fade(self, clock, half_life):
        """Age the counts to a reading of the service's sign clock."""
        if clock > self.at:
            factor = 0.5 ** ((clock - self.at) / half_life)
            self.good *= factor
            self.slow *= factor
            self.failed *= factor
            self.at = clock

    def add(self, counts):
        """Add counts; fade first."""
        self.good += counts.good
        self.slow += counts.slow
        self.failed += counts.failed


class View:
    """What is known of one target: counts by reporter, rates and sums."""

    def __init__(self):
        self.counts = {}
        self.rates = Rates()
        self.failures = Sum()
        self.slowness = Sum()
        self.path = PathSum()
        self.changed_at = {}
        self.bad_at = -math.inf
        self.heard_good_at = -math.inf
        self.standing_out = None


class Evidence:
    """
    All that a host knows of the targets of one service.

    Args:
      own: This host's incarnation.
      weighing: Which error the deployment would rather make.
      centre_of: A function from an incarnation to the data centre it stands in, as
        far as that is known.
    """

    def __init__(self, own, weighing, centre_of):
        self.own = own
        self.centre_of = centre_of
        self.threshold = THRESHOLDS[weighing]
        self.centre_cap = self.threshold * CENTRE_SHARE
        self.views = {}
        self.rates = Rates()
        self._clock = 0.0
        self._heard = {}

    def note_signal(self, target, sign, now):
        """
        Take a sign that this host saw itself.

        Args:
          target: The target's key.
          sign: A `HealthSignal`.
          now: The present, in seconds.
        """
        counts = self._view(target).counts.get(self.own, NOTHING)
        grown = counts._replace(**{sign.value: getattr(counts, sign.value) + 1})
        self._take(Row(self.own, target, *grown), now)

    def merge(self, rows, now):
        """
        Take what other hosts tell.

        Args:
          rows: A list of `Row`; those of this host's own are passed over.
          now: The present, in seconds.
        Returns:
          Whether something bad was news, so that it is worth passing on at once.
        """
        is_news = False
        for row in rows:
            if row.reporter != self.own:
                is_news = self._take(row, now) or is_news
        return is_news

    def _view(self, target):
        view = self.views.get(target)
        if view is None:
            view = self.views[target] = View()
        return view

    def _take(self, row, now):
        """Fold a row into its target's view and tell whether it was bad news."""
        view = self._view(row.target)
        old = view.counts.get(row.reporter, NOTHING)
        # Most rows have been heard before; they must cost next to nothing.
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
        self._heard[row.reporter] = now
        self._weigh(row.reporter, row.target, view, delta, now)
        self._fade(view)
        view.rates.add(delta)
        self.rates.add(delta)
        self._clock += sum(delta)
        if delta.good and row.reporter != self.own:
            view.heard_good_at = now
        if not delta.failed and not delta.slow:
            return False
        view.bad_at = now
        return self.is_suspect(row.target, now)

    def _weigh(self, reporter, target, view, delta, now):
        """Add a reporter's new signs to the sums."""
        fail_healthy, slow_healthy = self._healthy_rates(target)
        # A slow try is neither a success nor a failure yet: if it fails in the end,
        # its failure must weigh as much as one that came at once.
        failures = _log_ratios(
            delta.failed, delta.good, fail_healthy, _failing(fail_healthy, FAIL_FAILING)
        )
        slowness = _log_ratios(
            delta.slow + delta.failed,
            delta.good,
            slow_healthy,
            _failing(slow_healthy, SLOW_FAILING),
        )

        def weigh(parts):
            return self._cap(view, parts, now)

        for amounts, ratios in ((view.failures, failures), (view.slowness, slowness)):
            for ratio in ratios:
                amounts.add(reporter, ratio, weigh)
        if reporter == self.own:
            view.path.add(max(sum(failures), sum(slowness)), now)

    def _cap(self, view, parts, now):
        """
        Return the whole of some parts, with the words of few capped.

        A host with a bad network card accuses everybody, and a data centre that is
        cut off accuses whatever it cannot reach. Both show as many failures seen
        from one place only. So one host's part is capped, and the parts of one data
        centre together, as long as others have work at the target to speak of. Where
        fewer than `OBSERVERS_NEEDED` hosts tell of the service at all, they are enough:
        a small fleet, or what is left of one, must be able to eject too.
        """
        observers = [r for r, at in view.changed_at.items() if now - at < RECENT]
        heard = sum(now - at < RECENT for at in self._heard.values())
        needed = max(1, min(OBSERVERS_NEEDED, heard))
        by_centre = {}
        for reporter, part in parts.items():
            centre = self.centre_of(reporter)
            capped = min(part, self.threshold / needed)
            by_centre[centre] = by_centre.get(centre, 0.0) + capped
        if len({self.centre_of(reporter) for reporter in observers}) < 2:
            return sum(by_centre.values())
        return sum(min(part, self.centre_cap) for part in by_centre.values())

    def _fade(self, view):
        """Age the rates of a target and of the whole service alike."""
        half_life = RATE_HALF_LIFE * max(1, len(self.views))
        view.rates.fade(self._clock, half_life)
        self.rates.fade(self._clock, half_life)

    def _healthy_rates(self, target):
        """
        Return how often the service's other targets fail and are slow.

        A failing dependency makes every target fail. Measured against the others,
        none of them stands out, and none is convicted for it.
        """
        view = self._view(target)
        self._fade(view)
        own = view.rates
        good = max(0.0, self.rates.good - own.good)
        slow = max(0.0, self.rates.slow - own.slow)
        failed = max(0.0, self.rates.failed - own.failed)
        total = good + slow + failed
        if total < 1.0:
            return FAIL_HEALTHY, SLOW_HEALTHY
        fail_rate = FAIL_MARGIN * failed / total
        slow_rate = FAIL_MARGIN * (slow + failed) / total
        return (
            min(HEALTHY_MOST, max(FAIL_HEALTHY, fail_rate)),
            min(HEALTHY_MOST, max(SLOW_HEALTHY, slow_rate)),
        )

    def is_suspect(self, target, now):
        """
        Return whether what speaks against a target is worth passing on.

        Healthy targets give a slow sign now and then. If each of them were passed
        on by everybody, the exchange would cost more than all other control.
        """
        return self.score(target, now).total >= WORTH_TELLING

    def score(self, target, now):
        """Return the `Score` of a target from the worse of its two sums."""
        view = self.views.get(target)
        if view is None:
            return Score(0.0, 0.0, 0)
        worse = max(
            (self._cap(view, amounts.by_reporter, now), amounts.accusers())
            for amounts in (view.failures, view.slowness)
        )
        own = view.path.value(now) / self.threshold
        return Score(worse[0] / self.threshold, own, worse[1])

    def stands_out(self, target, now):
        """
        Return whether a target is clearly worse than the service's other targets.

        The sums remember; a service that has just grown slow or lost what it
        depends on carries single targets over the threshold before the healthy
        rates have followed, and one of them is always the first. So the target is
        compared with the median of the others, and it must stand out until the
        others have had time to show the same. Whatever most do is no fault of one.

        Args:
          target: The target's key.
          now: The present, in seconds.
        """
        view = self.views.get(target)
        if view is None or not self._is_worse_than_median(target, view):
            return False
        if self.score(target, now).total < 1.0:
            view.standing_out = None
            return False
        if view.standing_out is None:
            view.standing_out = (self._clock, now)
        clock, since = view.standing_out
        has_clock = self._clock - clock >= CONFIRM_SIGNS * len(self.views)
        return has_clock or now - since >= CONFIRM_FOR

    def _is_worse_than_median(self, target, view):
        self._fade(view)
        own = _bad_share(view.rates)
        others = [
            _bad_share(other.rates)
            for key, other in self.views.items()
            if key != target
        ]
        median = statistics.median(others) if others else 0.0
        return own >= max(STANDS_OUT_FACTOR * median, median + STANDS_OUT_LEAST)

    def clear(self, target):
        """Forget the sums of a target that starts anew."""
        view = self._view(target)
        view.failures.by_reporter.clear()
        view.slowness.by_reporter.clear()
        view.path.amount = 0.0

    def retain_targets(self, targets):
        """Drop whatever is known of targets that are not in the given set."""
        for target in set(self.views) - set(targets):
            del self.views[target]

    def rows_to_send(self, now, most):
        """
        Choose what to tell another host.

        This host's own counts that changed lately, and the counts of all reporters
        for suspect targets. Each target's newest row comes before any target's
        second one: if the worst target's rows came first, a service whose targets
        all fail would look as if one of them did.

        Args:
          now: The present, in seconds.
          most: The most rows to return.
        Returns:
          A list of `Row`.
        """
        ranked = []
        for target, view in self.views.items():
            score = self.score(target, now).total if now - view.bad_at < RECENT else 0.0
            told = view.changed_at if score >= WORTH_TELLING else (self.own,)
            newest = sorted(
                (-view.changed_at[reporter], reporter)
                for reporter in told
                if now - view.changed_at.get(reporter, -math.inf) < RECENT
            )
            for place, (at, reporter) in enumerate(newest):
                row = Row(reporter, target, *view.counts[reporter])
                ranked.append((place, -score, at, row))
        ranked.sort()
        return [row for *_, row in ranked[:most]]


def _bad_share(rates):
    """Return the share of bad signs in some rates."""
    bad = rates.slow + rates.failed
    total = bad + rates.good
    return bad / total if total > 0 else 0.0


def _failing(healthy, failing):
    """Return the failing hypothesis' rate, always well above the healthy one's."""
    return max(failing, (1 + healthy) / 2 if healthy > failing / 2 else failing)


def _log_ratios(bad, good, healthy, failing):
    """
    Return how much more likely some signs are if the target is failing.

    Signs that are told together have lost their order. Added up at once, a host's
    good signs of the last seconds would hide that the newest ones are bad. So up to
    `LATEST` of the bad ones are taken to have come last.

    Args:
      bad: The number of bad signs.
      good: The number of good signs.
      healthy: How often a healthy target gives a bad sign.
      failing: How often a failing one does.
    Returns:
      Log-likelihood ratios, to be added one after the other.
    """
    per_bad = math.log(failing / healthy)
    per_good = math.log((1 - failing) / (1 - healthy))
    last = min(bad, LATEST)
    return (bad - last) * per_bad + good * per_good, last * per_bad
