"""
The claims of one host on a stream of orders: which orders the host may send.

`Claims` connects the fold of the stream with the host's I/O. `answer_from_log` answers
a request whose key is known already. Otherwise the host registers a claim and appends
it to the log. Each record read from the log goes through `feed`, which returns the
claims that it decides. Only a claim that was won and not given up may be sent, which
`start_sending` decides. Waiting and timeouts are the host's task.
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
    """The recorded response to an order that was run."""

    status: int
    content_type: str
    body: bytes


class Decision(NamedTuple):
    """Whether a claim that the host waited for has won its key."""

    claim_id: ClaimId
    is_won: bool


class LocalState(enum.Enum):
    """The state of one of this host's claims at the host itself."""

    WAITING = "waiting"
    WON = "won"
    SENDING = "sending"
    FINISHED = "finished"


class Claims:
    """
    The claims of one incarnation of a host on one stream.

    Args:
      fold: The `Fold` of the stream.
      host: The host's incarnation; a restarted host has another one.
      is_gone: A function that returns whether another incarnation is known to have
        stopped. It affects only whether its orders are reported as running or unknown,
        which are both correct.
    """

    def __init__(self, fold, host, is_gone):
        self.fold = fold
        self.host = Incarnation(host)
        self.is_gone = is_gone
        self._states = {}
        self._claims = {}

    def answer_from_log(self, key, key_time, fingerprint):
        """
        Answer a request from what the log has recorded of its key.

        Args:
          key: The hash of the key, the service and the caller.
          key_time: The key's creation time, in Unix milliseconds.
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
        """Return whether no host will record an outcome for this claim any more."""
        if entry.host == self.host:
            return entry.claim_id not in self._states
        return self.is_gone(entry.host)

    def register(self, claim):
        """
        Register a claim that is about to be appended.

        Args:
          claim: A `Claim` with a fresh id.
        """
        assert claim.claim_id not in self._states, "a claim id was registered twice"
        self._states[claim.claim_id] = LocalState.WAITING
        self._claims[claim.claim_id] = claim

    def feed(self, record):
        """
        Fold a record and return what it decides for this host.

        A claim of this host that wins its key after the host gave it up was appended
        although the append seemed to fail. It was reported to its caller as not
        run, so the claim is released.

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
                self._forget_finished(event.claim_id)
        return decisions, releases

    def _forget_finished(self, claim_id):
        """
        Drop a claim of this host once its outcome is in the log.

        Until then a repeated key must be answered with "running" and not "unknown".
        """
        if self._states.get(claim_id) is LocalState.FINISHED:
            self._forget(claim_id)

    def _decide(self, event, decisions, releases):
        """Decide a claim of this host by the state of its key."""
        entry = self.fold.state.entries.get(event.key)
        is_holder = (
            entry is not None
            and entry.claim_id == event.claim_id
            and entry.state is ClaimState.CLAIMED
        )
        state = self._states.get(event.claim_id)
        if state is LocalState.WAITING:
            if is_holder:
                self._states[event.claim_id] = LocalState.WON
            else:
                self._forget(event.claim_id)
            decisions.append(Decision(event.claim_id, is_holder))
        elif state is None and is_holder:
            releases.append(Released(event.key, event.key_time, event.claim_id))

    def start_sending(self, claim_id):
        """
        Return whether a claim may be sent; if so, it can no longer be given up.

        A host may freeze between winning a claim and sending the order, and then give
        the claim up by a timer. Whichever of the two comes first excludes the other.

        Args:
          claim_id: The claim's id.
        Returns:
          Whether the order may be sent.
        """
        if self._states.get(claim_id) is not LocalState.WON:
            return False
        self._states[claim_id] = LocalState.SENDING
        return True

    def give_up(self, claim_id):
        """
        Give up a claim that was not sent.

        Args:
          claim_id: The claim's id.
        Returns:
          The events to append: a release if the claim is in the log already. If it
          appears there later, `feed` releases it.
        """
        state = self._states.get(claim_id)
        assert state is not LocalState.SENDING, (
            "a claim was given up after its order was sent"
        )
        claim = self._forget(claim_id)
        if state is LocalState.WON:
            return [Released(claim.key, claim.key_time, claim.claim_id)]
        return []

    def finish(self, claim_id, status, content_type, body):
        """Return the events to append for a response of the target."""
        claim = self._finish(claim_id)
        return [Done(claim.key, claim_id, status, content_type, body)]

    def finish_unsent(self, claim_id):
        """Return the events to append for an order of which no byte was sent."""
        claim = self._finish(claim_id)
        return [Released(claim.key, claim.key_time, claim_id)]

    def finish_unknown(self, claim_id, detail):
        """Return the events to append for an order whose response was lost."""
        claim = self._finish(claim_id)
        return [Unknown(claim.key, claim_id, detail)]

    def _finish(self, claim_id):
        self._states[claim_id] = LocalState.FINISHED
        return self._claims[claim_id]

    def _forget(self, claim_id):
        self._states.pop(claim_id, None)
        return self._claims.pop(claim_id, None)

    def open_claims(self):
        """Return the ids of this host's claims without an outcome."""
        return [
            claim_id
            for claim_id, state in self._states.items()
            if state is not LocalState.FINISHED
        ]


def make_record(offset, events):
    """Return the `Record` of some events at an offset."""
    return Record(offset, tuple(events))
