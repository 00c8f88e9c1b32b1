"""
The metrics of callers' connections, which both listeners have.
"""

from aioprometheus import Counter, Gauge


class CallerMetrics:
    """
    Connections of callers, and the requests that are behind others on them.

    Args:
      make: The function that `new_series` returned.
    """

    def __init__(self, make):
        self._connections = make(Gauge, "callers", "Connections of callers.")
        self._in_flight = make(
            Gauge, "pipelined", "Requests in flight before their turn."
        )
        self._early = make(
            Counter, "pipelined_total", "Requests begun before their turn."
        )
        self._waited = make(
            Counter, "pipelined_waited_total", "Requests read behind an order."
        )
        self._faults = make(
            Counter, "input_refused_total", "Connections that exceeded a limit."
        )
        self._evicted = make(
            Counter, "callers_evicted_total", "Connections closed for new ones."
        )

    def note(self, server):
        """Set the metrics from a `CallerServer`."""
        pipelines = server.pipelines
        self._connections.set({}, len(server.connections))
        self._in_flight.set({}, pipelines.requests)
        self._early.set({}, pipelines.early_count)
        self._waited.set({}, pipelines.waited_count)
        self._evicted.set({}, server.evicted_count)
        for fault, count in server.faults.items():
            self._faults.set({"cause": fault.value}, count)
