"""
What one request has been through, and so what may still be done and said.

A caller's try lives on one host only, so at most once needs no agreement: this host
sends it, and sends it again only when the former send certainly did not run. The
same record decides which status is true. 408, 421, 429 and 503 promise that the
request has not run and never will; after a send whose fate is unknown only 502 and
504 are true, which promise nothing.
"""

import enum

from ..core.traffic import SendOutcome

NOT_RUN = {SendOutcome.NOT_RUN, SendOutcome.WRONG_TARGET}
NOT_SENT = {SendOutcome.UNREACHABLE, SendOutcome.UNSENT}


class Stage(enum.Enum):
    """How far a request has come."""

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED = "refused"
    OPEN = "open"
    ANSWERED = "answered"


class Attempt:
    """
    The sends of one request.

    Args:
      kind: The request's `RequestKind`.
      tries_most: To how many targets the request may be sent.
    """

    def __init__(self, kind, tries_most):
        self.kind = kind
        self.tries_most = tries_most
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
        Return whether the request may go to one more target.

        A request that must not repeat may go out again only when each former send
        is known not to have run.
        """
        if self.stage is Stage.ANSWERED or self.sends >= self.tries_most:
            return False
        return self.kind.is_idempotent or not (self.may_have_run or self._outstanding)

    def is_known_not_run(self):
        """Return whether it is true that the request has not run and never will."""
        return not (self.may_have_run or self._outstanding)

    def note_send(self, target):
        """Count a send to a target's id; it is about to be written."""
        assert self.may_send(), "a request was sent that may not be sent"
        self.targets.append(target)
        self._outstanding += 1
        self.stage = Stage.SENT

    def note_fate(self, fate):
        """
        Take what became of one send.

        Args:
          fate: The `SendOutcome`; `WHOLE` ends the request.
        """
        assert self._outstanding, "a send ended that was never begun"
        self._outstanding -= 1
        if fate not in NOT_RUN:
            self.may_have_run = True
        if self.stage is Stage.ANSWERED:
            return
        if fate is SendOutcome.SUCCEEDED:
            self.stage = Stage.ANSWERED
        elif not self._outstanding:
            self.stage = Stage.OPEN if self.may_have_run else Stage.REFUSED

    def undo_send(self, target):
        """Undo a send to a target's id of which no byte has gone out."""
        assert self._outstanding, "a send was taken back that was never begun"
        self._outstanding -= 1
        self.targets.remove(target)
        if not self._outstanding and self.stage is Stage.SENT:
            self.stage = Stage.OPEN if self.may_have_run else Stage.UNSENT
