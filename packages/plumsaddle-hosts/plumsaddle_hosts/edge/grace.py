"""
The grace period of a host, and which requests may still be sent in it.
"""

from plumsaddle_core.ops.draining import latest_send


class GracePeriod:
    """
    The grace period of a host, which begins when the host is stopped.

    Args:
      times: The `RouteTimes`.
    """

    def __init__(self, times):
        self._times = times
        self._end = None

    def begin(self, end):
        """Begin it; remaining requests are refused at `end`, on the host's clock."""
        self._end = end

    @property
    def has_begun(self):
        """Whether the host is being stopped."""
        return self._end is not None

    def latest_send(self, service, route, deadline, slowdown=1.0):
        """
        Return the latest time at which a request may be sent to a target.

        Args:
          service: The service's name.
          route: The `Route`.
          deadline: When its caller's time is up, in seconds on the host's clock.
          slowdown: As for the function of the same name.
        """
        if self._end is None:
            return deadline
        durations = self._times.durations(service, route.name)
        return min(deadline, latest_send(self._end, deadline, durations, slowdown))

    def may_send(self, request, at, slowdown=1.0):
        """Return whether a `ProxyRequest` that is sent at a time ends in the period."""
        return self._end is None or at <= self.latest_send(
            request.service, request.route, request.deadline, slowdown
        )
