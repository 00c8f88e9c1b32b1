"""
The sends of one request, and what they allow next.

Each request is handled by one host, so at-most-once delivery needs no coordination: the
host sends a request that is not idempotent again only if no previous send was run. The
same record decides which status is correct. 408, 421, 429 and 503 promise that the
request was not run and never will be. After a send with an unknown outcome only 502 and
504 are correct, which promise nothing.
"""

import enum

from ..core.traffic import SendOutcome

NOT_RUN = {SendOutcome.NOT_RUN, SendOutcome.WRONG_TARGET}
NOT_SENT = {SendOutcome.UNREACHABLE, SendOutcome.UNSENT}


class Stage(enum.Enum):
    """The progress of a request; the outcome is unknown while it is `UNCERTAIN`."""

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED = "refused"
    UNCERTAIN = "open"
    ANSWERED = "answered"


class Attempt:
    """
    The sends of one request.

    Args:
      kind: The request's `RequestKind`.
      max_sends: The most targets that the request may be sent to.
    """

    def __init__(self, kind, max_sends):
        self.kind = kind
        self.max_sends = max_sends
        self.stage = Stage.UNSENT
        self.targets = []
        self.may_have_run = False
        self._outstanding = 0

    @property
    def sends(self):
        """How many targets the request has been sent to."""
        return len(self.targets)

    def may_send(self):
        """
        Return whether the request may go to another target.

        A request that is not idempotent may be sent again only if every previous send
        is known not to have run.
        """
        if self.stage is Stage.ANSWERED or self.sends >= self.max_sends:
            return False
        return self.kind.is_idempotent or not (self.may_have_run or self._outstanding)

    def is_known_not_run(self):
        """Return whether the request certainly has not run and never will."""
        return not (self.may_have_run or self._outstanding)

    def note_send(self, target):
        """Record a send, which is about to be written, to the target with an id."""
        assert self.may_send(), "request sent although it must not be sent again"
        self.targets.append(target)
        self._outstanding += 1
        self.stage = Stage.SENT

    def note_outcome(self, outcome):
        """
        Record the outcome of one send.

        Args:
          outcome: The `SendOutcome`; `SUCCEEDED` ends the request.
        """
        assert self._outstanding, "outcome recorded without an outstanding send"
        self._outstanding -= 1
        if outcome not in NOT_RUN:
            self.may_have_run = True
        if self.stage is Stage.ANSWERED:
            return
        if outcome is SendOutcome.SUCCEEDED:
            self.stage = Stage.ANSWERED
        elif not self._outstanding:
            self.stage = Stage.UNCERTAIN if self.may_have_run else Stage.REFUSED

    def undo_send(self, target):
        """Undo a send, of which no byte was written, to the target with an id."""
        assert self._outstanding, "send undone without an outstanding send"
        self._outstanding -= 1
        self.targets.remove(target)
        if not self._outstanding and self.stage is Stage.SENT:
            self.stage = Stage.UNCERTAIN if self.may_have_run else Stage.UNSENT
