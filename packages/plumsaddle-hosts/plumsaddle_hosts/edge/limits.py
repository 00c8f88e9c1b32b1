"""
The rate limits of targets on a host of the platform.

Logs changes of the limits, and applies the limits of the core to the listed targets.
"""

import logging
import math

from plumsaddle_core.core.traffic import SendOutcome

from .clock import now

log = logging.getLogger("limits")
# Outcomes of requests that a target ran and answered.
RUN_OUTCOMES = {SendOutcome.SUCCEEDED, SendOutcome.FAILED, SendOutcome.TIMED_OUT}


class RateLimits:
    """
    The rate limits that targets advertise, as one host applies them.

    Args:
      settings: The `HostSettings`.
      limits: The `TargetLimits`.
      registry: The `Registry` of targets.
      notify: Called with `is_urgent` when there is an update for other hosts.
    """

    def __init__(self, settings, limits, registry, notify):
        self._settings = settings
        self._limits = limits
        self._registry = registry
        self._notify = notify

    @property
    def has_any(self):
        """Whether any target advertises a limit."""
        return bool(self._limits.advertised)

    def rate(self, target):
        """Return the limit of a target in requests per second, or None."""
        return self._limits.advertised.rate(target.incarnation)

    def admissible(self, service, max_wait, at):
        """
        Return the usable targets that may be sent a request within `max_wait`.

        Args:
          service: The service's name.
          max_wait: The maximum seconds that the request may wait for a token.
          at: The current time, in seconds.
        """
        usable = self._registry.usable(service)
        data_centre, revision = self._settings.data_centre, self._registry.revision
        return self._limits.admissible(usable, data_centre, max_wait, revision, at)

    def retry_after(self, service, at):
        """
        Return the seconds after which the limits may admit a request.

        None means that no usable target of the service has a limit.
        """
        usable = self._registry.usable(service)
        if not any(self.rate(target) is not None for target in usable):
            return None
        data_centre, revision = self._settings.data_centre, self._registry.revision
        return self._limits.retry_after(usable, data_centre, revision, at)

    def wait(self, target, at):
        """Return the seconds until the limit of a target admits a request."""
        return self._limits.wait(target, at)

    def may_send(self, target, at):
        """Return whether this host may send to a target, at once or later."""
        admissible = self.admissible(target.service, math.inf, at)
        return any(other.incarnation == target.incarnation for other in admissible)

    def acquire(self, target, at):
        """Count a request that is sent to a target, at once or after its wait."""
        self._limits.acquire(target, at)

    def release(self, target):
        """Undo `acquire` for a request that did not reach its target."""
        self._limits.release(target, now())

    def note_head(self, target, rate, outcome, sent_at, request_id):
        """
        Record the limit that a response states, or the absence of one.

        Args:
          target: The `Target` that the request was sent to.
          rate: The limit in requests per second, or None.
          outcome: The `SendOutcome` according to the response's head.
          sent_at: When the request was sent, in seconds.
          request_id: The request's id, as bytes.
        """
        if rate is None and outcome not in RUN_OUTCOMES:
            # A rejection need not come from the code that advertises the limit.
            return
        previous = self.rate(target)
        if self._limits.advertised.observe(target.incarnation, rate, sent_at, now()):
            request = request_id.decode("latin-1")
            extra = {"target": target.id, "rate": rate, "former": previous}
            log.info("rate limit", extra={**extra, "request": request})
            self._notify(is_urgent=True)
