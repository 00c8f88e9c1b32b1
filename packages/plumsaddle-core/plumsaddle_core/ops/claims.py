"""
One host's part in running orders: when it may send, and what it must say.

`Claims` stands between the fold of an orders' stream and the host's sockets. A
request begins with `begin`, which answers at once or gives a claim to append. Each
record that is read goes through `feed`, which tells which claims were decided. Only
a claim that was won here and not given up may be sent, and `start_sending` is the
one place that says so. The host does the waiting; nothing in here knows the time.
"""

import enum
from typing import NamedTuple

from ..core.data import Outcome
from ..core.ids import ClaimId, Incarnation
from ..core.reasons import Reason, refuse
from .fold import Record
from .orders import Claim, ClaimState, Done, Released, Unknown

OUTCOMES = (Done, Unknown, Released)


class Replay(NamedTuple):
    """The recorded answer of an order that has run."""

    status: int
    content_type: str
    body: bytes


class Decision(NamedTuple):
    """What the log says about a claim that was waited for."""

    claim: ClaimId
    is_won: bool


class LocalState(enum.Enum):
    """How far a claim of this host's has come, as the host itself knows."""

    WAITING = "waiting"
    WON = "won"
    SENDING = "sending"
    FINISHED = "finished"


class Claims:
    """
    The claims of one incarnation of a host on one stream.

    Args:
      fold: The fold of the stream.
      host: The host's incarnation; a restarted host has another one.
      is_gone: A function that tells whether another incarnation is known to be
        gone. It only chooses between two true answers: still running, or unknown.
    """

    def __init__(self, fold, host, is_gone):
        self.fold = fold
        self.host = Incarnation(host)
        self.is_gone = is_gone
        self._local = {}
        self._owned = {}

    def answer_from_log(self, key, key_time, fingerprint):
        """
        Answer from what the log has already said of a key.

        Args:
          key: The hashed key, with its service and caller in it.
          key_time: The key's own time in milliseconds since 1970.
          fingerprint: The hash of the request.
        Returns:
          A `Replay`, a `Refusal`, or None if the key is free to be claimed.
        """
        if not self.fold.complete:
            return refuse(Reason.ORDERS_INCOMPLETE)
        orders = self.fold.state
        if key_time <= orders.horizon:
            return refuse(Reason.KEY_EXPIRED, outcome=Outcome.UNKNOWN)
        entry = orders.entries.get(key)
        if entry is None or entry.state is ClaimState.FREE:
            return None
        if entry.fingerprint != fingerprint:
            return refuse(Reason.KEY_REUSED)
        if entry.state is ClaimState.DONE:
            if entry.body is None:
                detail = entry.detail or f"the target answered {entry.status}"
                return refuse(Reason.ORDER_ALREADY_RUN, detail, Outcome.RUN)
            return Replay(entry.status, entry.content_type, entry.body)
        if entry.state is ClaimState.UNKNOWN or self._is_orphan(entry):
            return refuse(Reason.ORDER_UNKNOWN, entry.detail, Outcome.UNKNOWN)
        return refuse(Reason.ORDER_RUNNING, outcome=Outcome.UNKNOWN)

    def _is_orphan(self, entry):
        """Return whether nobody will record an outcome for this claim any more."""
        if entry.host == self.host:
            return entry.claim not in self._local
        return self.is_gone(entry.host)

    def register(self, claim):
        """
        Take up a claim that is about to be appended.

        Args:
          claim: A `Claim` with a fresh id.
        """
        assert claim.claim not in self._local, "a claim id was used twice"
        self._local[claim.claim] = LocalState.WAITING
        self._owned[claim.claim] = claim

    def feed(self, record):
        """
        Fold a record and tell what it decides for this host.

        A claim of this host's that comes to hold its key while nobody waits for it
        any more was appended although its answer was lost. Its caller has been told
        that it was not run, so it is released.

        Args:
          record: The next `Record` of the stream.
        Returns:
          A list of `Decision`, and a list of events to append.
        """
        self.fold.feed(record)
        if not self.fold.complete:
            return [], []
        decisions = []
        releases = []
        for event in record.events:
            if isinstance(event, Claim) and event.host == self.host:
                self._decide(event, decisions, releases)
            elif isinstance(event, OUTCOMES):
                self._forget_finished(event.claim)
        return decisions, releases

    def _forget_finished(self, claim):
        """
        Drop a claim of this host's whose outcome stands in the log.

        Until then a repeated key must hear that its order is running: an outcome
        on its way to the log is not an outcome that nobody knows.
        """
        if self._local.get(claim) is LocalState.FINISHED:
            self._forget(claim)

    def _decide(self, event, decisions, releases):
        """Compare one claim of this host's with the state of its key."""
        entry = self.fold.state.entries.get(event.key)
        is_holder = (
            entry is not None
            and entry.claim == event.claim
            and entry.state is ClaimState.CLAIMED
        )
        state = self._local.get(event.claim)
        if state is LocalState.WAITING:
            if is_holder:
                self._local[event.claim] = LocalState.WON
            else:
                self._forget(event.claim)
            decisions.append(Decision(event.claim, is_holder))
        elif state is None and is_holder:
            releases.append(Released(event.key, event.key_time, event.claim))

    def start_sending(self, claim):
        """
        Say whether a claim may be sent now; once it may, it can't be given up.

        A host may be frozen between winning and sending, and be given up on by
        its own timers when it thaws. Whoever comes first here, the sender or the
        one who gives up, shuts the other out.

        Args:
          claim: A claim's id.
        Returns:
          Whether the order may be sent.
        """
        if self._local.get(claim) is not LocalState.WON:
            return False
        self._local[claim] = LocalState.SENDING
        return True

    def give_up(self, claim):
        """
        Give up a claim that was not sent.

        Args:
          claim: A claim's id.
        Returns:
          The events to append: a release if the log has the claim already. If it
          surfaces later, `feed` releases it.
        """
        state = self._local.get(claim)
        assert state is not LocalState.SENDING, "an order under way was given up"
        owned = self._forget(claim)
        if state is LocalState.WON:
            return [Released(owned.key, owned.key_time, owned.claim)]
        return []

    def finish(self, claim, status, content_type, body):
        """Return the events for an answer of the target's."""
        owned = self._finish(claim)
        return [Done(owned.key, claim, status, content_type, body)]

    def finish_unsent(self, claim):
        """Return the events for an order of which no byte reached a target."""
        owned = self._finish(claim)
        return [Released(owned.key, owned.key_time, claim)]

    def finish_unknown(self, claim, detail):
        """Return the events for an order whose answer was lost."""
        owned = self._finish(claim)
        return [Unknown(owned.key, claim, detail)]

    def _finish(self, claim):
        self._local[claim] = LocalState.FINISHED
        return self._owned[claim]

    def _forget(self, claim):
        self._local.pop(claim, None)
        return self._owned.pop(claim, None)

    def open_claims(self):
        """Return the claims of this host's whose outcome is still open."""
        return [
            claim
            for claim, state in self._local.items()
            if state is not LocalState.FINISHED
        ]


def make_record(offset, events):
    """Return a `Record` of events at an offset."""
    return Record(offset, tuple(events))
