"""
The metrics of a host on the platform.
"""

from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.renderer import render

from ..utils.caller_metrics import CallerMetrics
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
        self.tunnels = make(
            Counter, "tunnels_total", "Requests for tunnels, by side and status."
        )
        self.partitioned = make(
            Gauge, "partitioned", "Whether no target is reached directly."
        )
        self.waiting = make(
            Gauge, "waiting", "Requests that wait for a target, by service and rank."
        )
        self.waiting_age = make(
            Gauge, "waiting_age_seconds", "Age of the oldest waiting request."
        )
        self.queue_refusals = make(
            Counter, "queue_refusals_total", "Refusals of requests that had to wait."
        )
        self.wait_seconds = make(
            Histogram, "wait_seconds", "Waits for a target.", buckets=BUCKETS
        )
        self.version = make(Gauge, "version", "The configuration in force.")
        self.newest_version = make(
            Gauge, "newest_version", "The newest configuration that any host reports."
        )
        self.store_era = make(
            Gauge, "store_era", "Times that the store has come back from a copy."
        )
        self.in_flight = make(Gauge, "in_flight", "Requests in flight.")
        self.callers = CallerMetrics(make)
        self.held_bytes = make(
            Gauge, "held_bytes", "Bytes of large responses that wait for callers."
        )
        self.downloads = make(
            Gauge, "downloads", "Large responses that targets have not yet sent."
        )
        self.body_bytes = make(
            Gauge, "body_bytes", "Bytes of request bodies that the host holds."
        )
        self.resident_bytes = make(
            Gauge, "resident_bytes", "Bytes of memory that the process takes."
        )
        self.reading_pauses = make(
            Gauge, "reading_pauses", "Times a target was not read for lack of room."
        )
        self.seconds = make(
            Histogram, "seconds", "Seconds to the whole answer.", buckets=BUCKETS
        )

    def note_downloads(self, downloads):
        """Set the metrics of a host's `Downloads`."""
        self.held_bytes.set({}, downloads.budget.held)
        self.downloads.set({}, downloads.in_flight)
        self.reading_pauses.set({}, downloads.budget.pause_count)

    def render(self):
        """Return all metrics as text, and its HTTP headers."""
        return render(self._registry, [])
