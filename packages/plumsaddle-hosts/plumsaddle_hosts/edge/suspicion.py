"""
What one request has to do with targets that ended, from its first byte to its answer.
"""

import functools

from plumsaddle_core.core.parts import Feature
from plumsaddle_core.core.traffic import SendOutcome
from plumsaddle_core.ops.attempt import Stage
from plumsaddle_core.ops.suspects import MAX_CRASHES_TO_RETRY, RunRecord

from .clock import now
from .outgoing import key_of

# Fates that show that a target ran the request and is still there.
RAN = {
    SendOutcome.SUCCEEDED,
    SendOutcome.FAILED,
    SendOutcome.UNSIGNED,
    SendOutcome.TIMED_OUT,
}


class Suspicion:
    """
    Whether a request may be sent, and what its sends tell.

    Args:
      ask: The `Ask`.
      attempt: The `Attempt`, which tells whether the request has its answer.
      knowledge: The `HostState`.
      endings: The `CrashDetector`.
    """

    def __init__(self, ask, attempt, knowledge, endings):
        self._ask = ask
        self._attempt = attempt
        self._suspects = knowledge.shared.suspects
        self._knowledge = knowledge
        self._endings = endings
        self._is_off = Feature.SUSPECT_HOLDS in knowledge.settings.disabled_features

    @functools.cached_property
    def key(self):
        """The key under which the request is known when it comes again."""
        return key_of(self._ask)

    @property
    def lives(self):
        """How many lives of targets are known to have ended under the request."""
        return self._suspects.crash_count(self.key)

    def held_for(self):
        """Return for how many seconds the request is held back, 0.0 if it is not."""
        if self._is_off or not len(self._suspects):
            return 0.0
        return self._suspects.hold_remaining(self.key, now())

    def may_retry(self):
        """
        Return whether the request may go to one more target after a failed send.

        Else own retries would carry it from one target to the next before anybody can
        know that it ends them.
        """
        return self._count_ends() <= MAX_CRASHES_TO_RETRY

    def may_hedge(self):
        """Return whether a second send beside the first one may go out."""
        return self._count_ends() == 0

    def _count_ends(self):
        """Return how many targets have, or may have, ended under the request."""
        has_any = len(self._suspects) or self._endings.has_unresolved
        if self._is_off or not has_any:
            return 0
        return self.lives + self._endings.unresolved_count(self.key)

    def note_send(self, target, exchange, fate):
        """
        Take what a send tells of its target and the request together.

        Args:
          target: The `Target`.
          exchange: The `Exchange`.
          fate: The `SendOutcome`, or None if the send was given up.
        """
        if fate is SendOutcome.BROKEN and not exchange.has_head:
            self._endings.note_broken(target, self.key)
        elif fate in RAN:
            if len(self._suspects):
                self._knowledge.note_run(RunRecord(self.key, target.incarnation, False))
        elif fate is None and self._attempt.stage is not Stage.ANSWERED:
            self._endings.note_unanswered(target, self.key)
