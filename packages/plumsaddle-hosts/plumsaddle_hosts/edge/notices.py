"""
Records what targets say about themselves in the heads of their responses.

Each head is decoded once (`platform/wire.py`) and recorded here, whatever the outcome
of the request. Each change is logged with the request whose response carried it.
"""

import logging

from plumsaddle_core.core.traffic import SendOutcome, target_id_of

from ..platform import wire
from .clock import now
from .verdict import outcome_of_head

log = logging.getLogger("notices")


class NoticeRecorder:
    """
    Records the notices that one host receives.

    Args:
      availability: The `Availability` of the targets.
      limits: The `RateLimits`.
      notify: Called with `is_urgent` when there is an update for other hosts.
    """

    def __init__(self, availability, limits, notify):
        self._notify = notify
        self._availability = availability
        self._limits = limits
        # Pairs of incarnation and header of which an error was logged.
        self._logged_errors = set()

    def note_head(self, target, exchange, sent_at):
        """
        Record the notices in the head of a response.

        Args:
          target: The `Target` that the request was sent to.
          exchange: The `Exchange`, whose head has arrived.
          sent_at: When the request was sent, in seconds.
        """
        notices, at = exchange.notices, now()
        outcome = outcome_of_head(exchange)
        if outcome is SendOutcome.WRONG_TARGET:
            # Another target has the address.
            return
        fields = {
            "target": target.id,
            "request": exchange.request_id.decode("latin-1"),
        }
        incarnation = target.incarnation
        if notices.is_draining and self._availability.note_draining(incarnation, at):
            log.info("draining notice", extra=fields)
            self._notify(is_urgent=True)
        seconds = notices.retry_after
        if seconds is not None and self._availability.note_backoff(
            incarnation, seconds, at
        ):
            log.info("backoff notice", extra={**fields, "seconds": seconds})
        for error in notices.errors:
            self._log_error(incarnation, error, fields)
        if all(error.header != wire.RATE_LIMIT for error in notices.errors):
            self._limits.note_head(
                target, notices.rate_limit, outcome, sent_at, exchange.request_id
            )

    def _log_error(self, incarnation, error, fields):
        """Log a header that cannot be decoded, once for each incarnation."""
        key = incarnation, error.header
        if key not in self._logged_errors:
            self._logged_errors.add(key)
            log.warning("unreadable notice", extra={**fields, **error._asdict()})

    def tick(self, at):
        """Log the backoffs that have ended."""
        for incarnation in self._availability.end_backoffs(at):
            log.info("backoff ended", extra={"target": target_id_of(incarnation)})

    def evict(self, listed):
        """Drop the state of incarnations that are no longer listed."""
        self._logged_errors = {key for key in self._logged_errors if key[0] in listed}
