"""
Checks one request against the requests that are suspected of crashing targets.
"""

import functools

from plumsaddle_core.core.features import Feature
from plumsaddle_core.core.traffic import SendOutcome
from plumsaddle_core.ops.attempt import Stage
from plumsaddle_core.ops.suspects import MAX_CRASHES_TO_RETRY, RunRecord

from .clock import now
from .outgoing import compute_request_key

# Outcomes which show that a target answered the request and did not crash.
ANSWERED_OUTCOMES = {
    SendOutcome.SUCCEEDED,
    SendOutcome.FAILED,
    SendOutcome.UNSIGNED,
    SendOutcome.TIMED_OUT,
}


class SuspectCheck:
    """
    Decides whether a request may be sent, and records the crashes under it.

    Args:
      request: The `ProxyRequest`.
      attempt: Its `Attempt`.
      knowledge: The `HostState`.
      crash_detector: The `CrashDetector`.
    """

    def __init__(self, request, attempt, knowledge, crash_detector):
        self._request = request
        self._attempt = attempt
        self._suspects = knowledge.shared.suspects
        self._knowledge = knowledge
        self._crash_detector = crash_detector
        self._is_disabled = (
            Feature.SUSPECT_HOLDS in knowledge.settings.disabled_features
        )

    @functools.cached_property
    def key(self):
        """The request key, which stays the same if the caller retries the request."""
        return compute_request_key(self._request)

    @property
    def crash_count(self):
        """How many incarnations of targets are known to have crashed under it."""
        return self._suspects.crash_count(self.key)

    async def wait_for_probes(self):
        """
        Wait for probes of targets that broke under the request.

        Otherwise a caller that repeats it at once would crash a further target.
        """
        if not self._is_disabled and self._crash_detector.has_unresolved:
            await self._crash_detector.wait_for_probes(self.key)

    def hold_remaining(self):
        """Return for how many seconds the request is still held back, or 0.0."""
        if self._is_disabled or not len(self._suspects):
            return 0.0
        return self._suspects.hold_remaining(self.key, now())

    def may_retry(self):
        """
        Return whether the request may be retried at another target.

        Otherwise the host's own retries could crash several targets before the request
        is held back.
        """
        return self._possible_crash_count() <= MAX_CRASHES_TO_RETRY

    def may_hedge(self):
        """Return whether the request may be hedged."""
        return self._possible_crash_count() == 0

    def _possible_crash_count(self):
        """Return how many targets have crashed, or may have, under the request."""
        has_any = len(self._suspects) or self._crash_detector.has_unresolved
        if self._is_disabled or not has_any:
            return 0
        return self.crash_count + self._crash_detector.unresolved_count(self.key)

    def note_outcome(self, target, exchange, outcome):
        """
        Record what the outcome of a send says about a crash of its target.

        Args:
          target: The `Target`.
          exchange: The `Exchange`.
          outcome: The `SendOutcome`, or None if the send was cancelled.
        """
        if outcome is SendOutcome.BROKEN and not exchange.has_head:
            self._crash_detector.note_broken(target, self.key)
        elif outcome in ANSWERED_OUTCOMES:
            if len(self._suspects):
                self._knowledge.note_run(RunRecord(self.key, target.incarnation, False))
        elif outcome is None and self._attempt.stage is not Stage.ANSWERED:
            self._crash_detector.note_unanswered(target, self.key)
