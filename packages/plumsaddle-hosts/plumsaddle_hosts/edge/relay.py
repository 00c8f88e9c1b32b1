"""
Forwards a request to targets until one of them responds.

The relay chooses a target, sends the request and evaluates the outcome. A failed send
of an idempotent request is retried at another target, and a slow one is hedged: the
request is sent to a second target while the first send is outstanding. An order or an
upload is sent again only if it is known not to have run. Each further send must fit the
data centre's share of the retries. If requests are scheduled, one that finds no room at
a sound target waits for it (`waiting`). A request that can no longer be served is
refused at once.
"""

from plumsaddle_core.core.traffic import Reply

from .active_request import ActiveRequest
from .clock import now
from .waiting import WaitingRequests


class Relay:
    """
    Forwards the requests of one host.

    Args:
      knowledge: The `HostState`.
      sender: The `Sender`.
      metrics: The `EdgeMetrics`.
      crash_detector: The `CrashDetector`.
    """

    def __init__(self, knowledge, sender, metrics, crash_detector):
        self._knowledge = knowledge
        self._sender = sender
        self._metrics = metrics
        self._crash_detector = crash_detector
        self._waiting = WaitingRequests(knowledge, metrics)
        self._active = set()

    def refuse_in_flight(self):
        """
        Refuse all requests in flight, because the host shuts down.

        The status tells callers whether a request may have run; a closed connection
        would not.
        """
        for active in self._active:
            active.abort()

    async def run(self, request):
        """
        Forward a request and wait for its result.

        Args:
          request: The `ProxyRequest`.
        Returns:
          The `Reply` of a target, or a `Refusal`.
        """
        active = ActiveRequest(
            request,
            self._knowledge,
            self._sender,
            self._metrics,
            self._crash_detector,
            self._waiting,
        )
        await active.wait_for_probes()
        refusal = active.check_hold()
        if refusal is not None:
            # Held requests affect neither the retry budget nor the service's health.
            return refusal
        self._knowledge.shared.note_request(request.service, now())
        self._active.add(active)
        try:
            result = await active.serve()
            is_served = isinstance(result, Reply) and result.status < 500
            self._knowledge.shared.note_request_end(request.service, is_served, now())
            return result
        finally:
            self._active.discard(active)
            active.cancel_sends()
