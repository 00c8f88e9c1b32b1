"""
The counters and histograms of a host, for `/metrics`.

Every refusal, retry, standing change and trouble with the log has a counter with
its reason as a label, so that a dashboard shows why and not only how often.
"""

from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.renderer import render

from ..utils.caller_metrics import CallerMetrics
from ..utils.series import new_series

BUCKETS = (0.001, 0.0033, 0.01, 0.033, 0.1, 0.33, 1.0, 3.3, 10.0, 33.0)


class Metrics:
    """
    All metrics of one host.

    Args:
      host: The host's id, which every series carries.
    """

    def __init__(self, host):
        self._registry, make = new_series(host)
        self.requests = make(Counter, "requests_total", "Requests by kind.")
        self.answers = make(Counter, "answers_total", "Targets' answers by status.")
        self.refusals = make(Counter, "refusals_total", "Refusals by reason.")
        self.retries = make(Counter, "retries_total", "Retries by reason.")
        self.tries = make(Counter, "tries_total", "Tries by result.")
        self.standings = make(Counter, "standings_total", "Changes of standing.")
        self.appends = make(Counter, "appends_total", "Appends by stream.")
        self.exchanges = make(Counter, "exchanges_total", "Exchanges by result.")
        self.grants = make(Counter, "grants_total", "Slots asked of keepers.")
        self.aborted = make(Counter, "aborted_total", "Answers broken off by reason.")
        self.version = make(Gauge, "version", "The version in force.")
        self.in_flight = make(Gauge, "in_flight", "Requests in flight.")
        self.held_bytes = make(
            Gauge, "held_bytes", "Bytes of large answers that wait for callers."
        )
        self.callers = CallerMetrics(make)
        self.seconds = make(
            Histogram, "seconds", "Seconds to the whole answer.", buckets=BUCKETS
        )

    def render(self, accept):
        """Return the text for an Accept header, and its HTTP headers."""
        return render(self._registry, [accept] if accept else [])
