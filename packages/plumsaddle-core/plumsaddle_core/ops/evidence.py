"""
What the hosts have seen of the targets, and what it adds up to.

Every finished or overdue try gives a sign. A host counts its signs by target, tells
its counts to others and takes theirs. Counts only grow within one incarnation of a
host, and a merge takes the larger one, so messages may come late, twice or in
another order; a restarted host counts anew under a new incarnation.

For each target two cumulative sums (CUSUM) weigh a healthy hypothesis against a
failing one, one sum for failures and one for slowness. What counts as healthy is
taken from the service's other targets, so that a service whose targets all fail
alike convicts none of them. Within a sum the part of each other host is capped:
whatever is wrong with one host, it takes several of them to convict.
"""

import math
from typing import NamedTuple

from ..core.data import Incarnation, TargetKey, Weighing

FAIL_HEALTHY = 0.01
FAIL_FAILING = 0.5
SLOW_HEALTHY = 0.1
SLOW_FAILING = 0.45
HEALTHY_MOST = 0.5
FAIL_MARGIN = 1.5
RATE_HALF_LIFE = 10.0
OBSERVERS_NEEDED = 3
RECENT = 10.0

# The bound of a sum, in natural logarithms of odds. On average exp(bound) healthy
# signs go by before a sum reaches it by chance; docs/DESIGN.md gives the figures.
THRESHOLDS = {Weighing.FALSE_EJECTIONS: 14.0, Weighing.DETECTION_TIME: 9.0}


class Counts(NamedTuple):
    """How many signs of each kind a reporter has seen of a target."""

    good: int = 0
    slow: int = 0
    failed: int = 0


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
    others: float
    observers: int


class Sum:
    """A cumulative sum, kept by reporter so that each one's part can be capped."""

    def __init__(self):
        self.parts = {}

    def add(self, reporter, amount, cap, own):
        """
        Add one reporter's amount and start anew when the whole falls to zero.

        Args:
          reporter: Who saw it.
          amount: The log-likelihood ratio of what was seen.
          cap: The most that another host may add to the whole.
          own: This host's incarnation, whose part has no cap.
        """
        self.parts[reporter] = self.parts.get(reporter, 0.0) + amount
        if self.value(cap, own) <= 0:
            self.parts.clear()

    def value(self, cap, own):
        """Return the whole, with every part but the own one capped."""
        return sum(
            part if reporter == own else min(part, cap)
            for reporter, part in self.parts.items()
        )

    def accusers(self):
        """Return how many reporters speak against the target."""
        return sum(part > 0 for part in self.parts.values())


class Rates:
    """Signs seen lately, fading with a half-life."""

    def __init__(self):
        self.good = self.slow = self.failed = 0.0
        self.at = 0.0

    def fade(self, now):
        """Age the counts to the present."""
        factor = 0.5 ** ((now - self.at) / RATE_HALF_LIFE)
        self.good *= factor
        self.slow *= factor
        self.failed *= factor
        self.at = now

    def add(self, counts, now):
        """Add counts seen by now."""
        self.fade(now)
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
        self.changed = {}
        self.bad_at = -math.inf
        self.heard_good_at = -math.inf


class Evidence:
    """
    All that a host knows of the targets of one service.

    Args:
      own: This host's incarnation.
      weighing: Which error the deployment would rather make.
    """

    def __init__(self, own, weighing):
        self.own = own
        self.threshold = THRESHOLDS[weighing]
        self.cap = self.threshold / OBSERVERS_NEEDED
        self.views = {}
        self.rates = Rates()

    def note(self, target, sign, now):
        """
        Take a sign that this host saw itself.

        Args:
          target: The target's key.
          sign: A `Sign`.
          now: The present, in seconds.
        """
        counts = self._view(target).counts.get(self.own, Counts())
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
        return self.views.setdefault(target, View())

    def _take(self, row, now):
        """Fold a row into its target's view and tell whether it was bad news."""
        view = self._view(row.target)
        old = view.counts.get(row.reporter, Counts())
        new = Counts(
            max(old.good, row.good),
            max(old.slow, row.slow),
            max(old.failed, row.failed),
        )
        if new == old:
            return False
        delta = Counts(
            *(after - before for after, before in zip(new, old, strict=True))
        )
        self._weigh(row.reporter, row.target, view, delta, now)
        view.counts[row.reporter] = new
        view.changed[row.reporter] = now
        view.rates.add(delta, now)
        self.rates.add(delta, now)
        is_bad = bool(delta.failed or delta.slow)
        if is_bad:
            view.bad_at = now
        if delta.good and row.reporter != self.own:
            view.heard_good_at = now
        return is_bad

    def _weigh(self, reporter, target, view, delta, now):
        """Add a reporter's new signs to both sums."""
        total = sum(delta)
        fail_healthy, slow_healthy = self._healthy_rates(target, now)
        ratio = _log_ratio(
            delta.failed, total, fail_healthy, _failing(fail_healthy, FAIL_FAILING)
        )
        view.failures.add(reporter, ratio, self.cap, self.own)
        ratio = _log_ratio(
            delta.slow + delta.failed,
            total,
            slow_healthy,
            _failing(slow_healthy, SLOW_FAILING),
        )
        view.slowness.add(reporter, ratio, self.cap, self.own)

    def _healthy_rates(self, target, now):
        """
        Return how often the service's other targets fail and are slow.

        A failing dependency makes every target fail. Measured against the others,
        none of them stands out, and none is convicted for it.
        """
        self.rates.fade(now)
        own = self._view(target).rates
        own.fade(now)
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

    def score(self, target):
        """Return the `Score` of a target from the worse of its two sums."""
        view = self.views.get(target)
        if view is None:
            return Score(0.0, 0.0, 0.0, 0)
        return max(self._score(view.failures), self._score(view.slowness))

    def _score(self, amounts):
        own = amounts.parts.get(self.own, 0.0)
        total = amounts.value(self.cap, self.own)
        return Score(
            total / self.threshold,
            own / self.threshold,
            (total - own) / self.threshold,
            amounts.accusers(),
        )

    def clear(self, target):
        """Forget the sums of a target that starts anew."""
        view = self._view(target)
        view.failures.parts.clear()
        view.slowness.parts.clear()

    def forget(self, targets):
        """Drop whatever is known of targets that are not in the given set."""
        for target in set(self.views) - set(targets):
            del self.views[target]

    def rows(self, now, most):
        """
        Choose what to tell another host.

        This host's own counts that changed lately, and the counts of all reporters
        for targets that looked bad lately; worst first, newest next.

        Args:
          now: The present, in seconds.
          most: The most rows to return.
        Returns:
          A list of `Row`.
        """
        ranked = []
        for target, view in self.views.items():
            is_bad = now - view.bad_at < RECENT
            score = self.score(target).total if is_bad else 0.0
            for reporter, at in view.changed.items():
                if now - at < RECENT and (is_bad or reporter == self.own):
                    row = Row(reporter, target, *view.counts[reporter])
                    ranked.append((-score, -at, row))
        ranked.sort()
        return [row for _, _, row in ranked[:most]]


def _failing(healthy, failing):
    """Return the failing hypothesis' rate, always well above the healthy one's."""
    return max(failing, (1 + healthy) / 2 if healthy > failing / 2 else failing)


def _log_ratio(bad, total, healthy, failing):
    """Return how much more likely the signs are if the target is failing."""
    good = total - bad
    return bad * math.log(failing / healthy) + good * math.log(
        (1 - failing) / (1 - healthy)
    )
