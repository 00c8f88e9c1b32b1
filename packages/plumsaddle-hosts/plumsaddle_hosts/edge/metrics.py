"""
The metrics of a host on the platform.
"""

from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.renderer import render

from ..utils.series import new_series

BUCKETS = (0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 5.0)


class EdgeMetrics:
    """
    All metrics of one host.

    Args:
      host: The host's id, which is a label of every series.
    """

    def __init__(self, host):
        self._registry, make = new_series(host)
        self.requests = make(Counter, "requests_total", "Requests by kind.")
        self.answers = make(Counter, "answers_total", "Targets' answers by status.")
        self.refusals = make(Counter, "refusals_total", "Refusals by cause.")
        self.retries = make(Counter, "retries_total", "Further sends by cause.")
        self.trials = make(Counter, "trials_total", "Sends that try a target, by rule.")
        self.retries_denied = make(
            Counter, "retries_denied_total", "Sends that the retry share ruled out."
        )
        self.connections = make(
            Counter, "connections_total", "Connections opened to targets."
        )
        self.version = make(Gauge, "version", "The configuration in force.")
        self.in_flight = make(Gauge, "in_flight", "Requests in flight.")
        self.seconds = make(
            Histogram, "seconds", "Seconds to the whole answer.", buckets=BUCKETS
        )

    def render(self):
        """Return all metrics as text, and its HTTP headers."""
        return render(self._registry, [])
