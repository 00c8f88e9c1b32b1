"""
Property tests of `Attempt` against a model that keeps the whole history.
"""

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from ..core.traffic import RequestKind, SendOutcome
from .attempt import Attempt, Stage

OUTCOMES = [
    SendOutcome.SUCCEEDED,
    SendOutcome.NOT_RUN,
    SendOutcome.WRONG_TARGET,
    SendOutcome.FAILED,
    SendOutcome.BROKEN,
    SendOutcome.UNSIGNED,
    SendOutcome.TIMED_OUT,
    SendOutcome.ABANDONED,
]
REPEATABLE_KINDS = {RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD}


class AttemptMachine(RuleBasedStateMachine):
    """
    A request must not run twice, or be reported as not run although it has.

    Sends overlap and end in any order with any outcome. The model assumes that a target
    may have run every request that it did not refuse.
    """

    def __init__(self):
        super().__init__()
        self.kind = RequestKind.ORDER
        self.attempt = Attempt(self.kind, 3)
        self.outstanding = []
        self.history = []
        self.sent = 0

    @rule(kind=st.sampled_from(RequestKind), tries=st.integers(1, 4))
    @precondition(lambda self: self.sent == 0)
    def choose_kind(self, kind, tries):
        self.kind = kind
        self.attempt = Attempt(kind, tries)

    @precondition(lambda self: self.attempt.may_send())
    @rule()
    def send(self):
        self.sent += 1
        self.attempt.note_send(f"t{self.sent}")
        self.outstanding.append(f"t{self.sent}")

    @precondition(lambda self: self.outstanding)
    @rule(outcome=st.sampled_from(OUTCOMES), data=st.data())
    def end(self, outcome, data):
        target = data.draw(st.sampled_from(self.outstanding))
        self.outstanding.remove(target)
        self.history.append(outcome)
        self.attempt.note_outcome(outcome)

    @precondition(lambda self: self.outstanding)
    @rule()
    def undo_send(self):
        self.attempt.undo_send(self.outstanding.pop())

    @rule()
    def wait(self):
        """Do nothing, so that there is always a rule to run."""

    def _may_have_run(self):
        refused = {SendOutcome.NOT_RUN, SendOutcome.WRONG_TARGET}
        return bool(self.outstanding) or any(
            outcome not in refused for outcome in self.history
        )

    @invariant()
    def known_not_run_is_true(self):
        assert self.attempt.is_known_not_run() == (not self._may_have_run())

    @invariant()
    def non_idempotent_request_is_resent_only_if_it_did_not_run(self):
        if self.kind not in REPEATABLE_KINDS and self._may_have_run():
            assert not self.attempt.may_send()

    @invariant()
    def answered_request_is_not_sent_again(self):
        if SendOutcome.SUCCEEDED in self.history:
            assert self.attempt.stage is Stage.ANSWERED
            assert not self.attempt.may_send()

    @invariant()
    def sends_are_bounded(self):
        assert self.attempt.sends <= self.attempt.max_sends


AttemptMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=12, deadline=None, derandomize=True
)
TestAttempt = AttemptMachine.TestCase
