"""
The rate limits of targets on a host of the platform.

It reads the limits from answers, logs what changes, and keeps what the core decides
with the list of targets.
"""

import logging
import math

from returns.result import Failure

from plumsaddle_core.core.traffic import SendOutcome

from ..platform import wire
from .clock import now

log = logging.getLogger("limits")
# What becomes of a request that its target has run to an answer.
RUN_FATES = {SendOutcome.SUCCEEDED, SendOutcome.FAILED, SendOutcome.TIMED_OUT}


class RateLimits:
    """
    What one host makes of the rate limits that targets name.

    Args:
      settings: The `HostSettings`.
      limits: The `TargetLimits`.
      registry: The `Registry` of targets.
      tell: Called with whether it is urgent when other hosts are to be told.
    """

    def __init__(self, settings, limits, registry, tell):
        self._settings = settings
        self._limits = limits
        self._registry = registry
        self._tell = tell
        # Incarnations whose limit could not be read.
        self._unreadable = set()

    @property
    def has_any(self):
        """Whether any target names a limit."""
        return bool(self._limits.advertised)

    def rate(self, target):
        """Return the requests a second that a target takes, or None without a limit."""
        return self._limits.advertised.rate(target.incarnation)

    def admissible(self, service, longest, at):
        """
        Return the usable targets of a service whose limits leave room.

        Args:
          service: The service's name.
          longest: The most seconds that the request may wait for its turn.
          at: The present, in seconds.
        """
        usable = self._registry.usable(service)
        centre, revision = self._settings.data_centre, self._registry.revision
        return self._limits.admissible(usable, centre, longest, revision, at)

    def retry_after(self, service, at):
        """
        Return the seconds after which limits may leave room, or None.

        None means that it is not limits which leave a request without a target.
        """
        usable = self._registry.usable(service)
        if not any(self.rate(target) is not None for target in usable):
            return None
        centre, revision = self._settings.data_centre, self._registry.revision
        return self._limits.retry_after(usable, centre, revision, at)

    def wait(self, target, at):
        """Return the seconds until a request may be sent to a target."""
        return self._limits.wait(target, at)

    def has_share(self, target, at):
        """Return whether this host may send to a target, at once or after a wait."""
        within = self.admissible(target.service, math.inf, at)
        return any(other.incarnation == target.incarnation for other in within)

    def acquire(self, target, at):
        """Count a request that is sent to a target, or will be after its wait."""
        self._limits.acquire(target, at)

    def release(self, target):
        """Take back a request that did not reach its target."""
        self._limits.release(target, now())

    def note_answer(self, target, headers, fate, sent_at, request_id):
        """
        Take the limit that an answer names, or that it names none.

        Args:
          target: The `Target` that the request was sent to.
          headers: The answer's headers.
          fate: The `SendOutcome` of the send, or None if it was abandoned.
          sent_at: When the request was sent, in seconds.
          request_id: The request's id, as bytes.
        """
        if fate is SendOutcome.WRONG_TARGET:
            return
        named = wire.decode_rate_limit(headers)
        if isinstance(named, Failure):
            self._log_unreadable(target, named.failure(), request_id)
            return
        rate = named.unwrap()
        if rate is None and fate not in RUN_FATES:
            # What rejects a request need not know of the limit.
            return
        former = self.rate(target)
        if self._limits.advertised.observe(target.incarnation, rate, sent_at, now()):
            request = request_id.decode("latin-1")
            extra = {"target": target.id, "rate": rate, "former": former}
            log.info("rate limit", extra={**extra, "request": request})
            self._tell(is_urgent=True)

    def _log_unreadable(self, target, text, request_id):
        """Log a limit that cannot be read, once for each incarnation."""
        if target.incarnation in self._unreadable:
            return
        self._unreadable.add(target.incarnation)
        request = request_id.decode("latin-1")
        extra = {"target": target.id, "text": text, "request": request}
        log.warning("unreadable rate limit", extra=extra)

    def evict(self, listed):
        """Forget incarnations that are no longer listed."""
        self._unreadable &= listed
