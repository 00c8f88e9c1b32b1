"""
The claims of one host on a stream of orders: which orders the host may send.

`Claims` connects the fold of the stream with the host's I/O. `answer_from_log` answers
a request whose key is known already. Otherwise the host registers a claim and appends
it to the log. Each record read from the log goes through `feed`, which returns the
claims that it decides. Only a claim that was won and not given up may be sent, which
`start_sending` decides. Waiting and timeouts are the host's task.
"""

import enum
from collections import deque
from typing import NamedTuple

from ..core.data import Outcome
from ..core.ids import ClaimId, Incarnation
from ..core.reasons import Reason, refuse
from .fold import Record
from .orders import (
    Claim,
    ClaimState,
    Done,
    EraStarted,
    Released,
    RestoredEntry,
    Settled,
    Unknown,
    entry_fields,
    entry_from_fields,
    is_ahead,
)

OUTCOMES = (Done, Unknown, Released)
# Keys of the latest records that are remembered, in case the log loses them.
MAX_RECENT_KEYS = 20_000
LOST_RECORDS = "the log has lost records of that time"


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

    After the log has come back from an older copy, `restore` starts the fold again, and
    no claim is won until the new era has started in the log. What the host knew before
    still answers repeated requests.

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
        # The era of the log as it was last read, 0 if the log names none.
        self.era = 0
        # Whether it has come back from a copy since this host started.
        self._has_been_restored = False
        self._states = {}
        self._claims = {}
        self._recent_keys = deque(maxlen=MAX_RECENT_KEYS)
        # Outcomes of this host's claims by claim, until they are read from the log.
        self._outcomes = {}
        # Entries of the former era by key that the log may have lost, and the claims of
        # this host that held keys then.
        self._former = {}
        self._former_claims = frozenset()

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
        orders = self.fold.state
        entry = self._known_entry(key)
        if entry is None and not (self.fold.complete and orders.era >= self.era):
            return refuse(Reason.ORDERS_INCOMPLETE)
        if key_time <= orders.horizon:
            return refuse(Reason.KEY_EXPIRED, outcome=Outcome.UNKNOWN)
        if entry is None:
            if orders.is_uncertain(key, key_time):
                return refuse(Reason.ORDER_UNKNOWN, LOST_RECORDS, Outcome.UNKNOWN)
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

    def _known_entry(self, key):
        """Return the entry of a key that isn't free, from the log or from before."""
        entry, former = self.fold.state.entries.get(key), self._former.get(key)
        if former is not None and is_ahead(former, entry):
            entry = former
        return entry if entry and entry.state is not ClaimState.FREE else None

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
            self._note_recent(event)
            if isinstance(event, Claim) and event.host == self.host:
                self._decide(event, decisions, releases)
            elif isinstance(event, OUTCOMES) and self._is_recorded(event):
                self._forget_finished(event.claim_id)
        for release in releases:
            self._outcomes[release.claim_id] = release
        return decisions, releases

    def _note_recent(self, event):
        if isinstance(event, RestoredEntry):
            self._recent_keys.append(entry_from_fields(event.fields).key)
        elif isinstance(event, (Claim, Settled, *OUTCOMES)):
            self._recent_keys.append(event.key)

    def _is_recorded(self, event):
        """
        Return whether the log shows the outcome of a claim.

        It does not if it has lost the claim, which the outcome then doesn't apply to.
        """
        entry = self.fold.state.entries.get(event.key)
        if entry is None:
            claim = self._claims.get(event.claim_id)
            return claim is None or claim.key_time <= self.fold.state.horizon
        is_open = entry.state is ClaimState.CLAIMED
        return not (is_open and entry.claim_id == event.claim_id)

    def _forget_finished(self, claim_id):
        """
        Drop a claim of this host once its outcome is in the log.

        Until then a repeated key must be answered with "running" and not "unknown".
        """
        self._outcomes.pop(claim_id, None)
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
            is_won = is_holder and self._is_certain(event)
            if is_won:
                self._states[event.claim_id] = LocalState.WON
            else:
                self._forget(event.claim_id)
            if is_holder and not is_won:
                releases.append(Released(event.key, event.key_time, event.claim_id))
            decisions.append(Decision(event.claim_id, is_won))
        elif state is None and is_holder and not self._is_former(event.claim_id):
            releases.append(Released(event.key, event.key_time, event.claim_id))

    def _is_former(self, claim_id):
        """Return whether a claim held its key before the log was read once more."""
        return claim_id in self._former_claims

    def _is_certain(self, claim):
        """Return whether no lost record may have claimed the key before."""
        orders = self.fold.state
        is_old_key = claim.key_time <= orders.uncertain_until
        return orders.era >= self.era and not is_old_key

    # The log comes back from an older copy.

    def restore(self, era):
        """
        Start the fold again, since the log is in another era.

        Args:
          era: The era.
        """
        self.era = era
        self._has_been_restored = True
        former = self.fold.restart()
        if former is None:
            return
        for key in set(self._recent_keys):
            entry = former.entries.get(key)
            if entry is not None and is_ahead(entry, self._former.get(key)):
                self._former[key] = entry
        self._former_claims |= frozenset(
            entry.claim_id
            for entry in former.entries.values()
            if entry.host == self.host
        )

    def begin_era(self, key_time):
        """
        Return the events to append once the log has been read to its end.

        Args:
          key_time: The time in Unix milliseconds up to which keys may have been claimed
            by lost records.
        """
        orders = self.fold.state
        is_known = orders.uncertain_until > 0 or not self._has_been_restored
        if not self.fold.complete or (orders.era >= self.era and is_known):
            return []
        # Before the first era there is nothing to lose.
        has_lost = orders.era > 0 or self._has_been_restored
        return [EraStarted(self.era, key_time if has_lost else 0)]

    def own_lost_events(self):
        """
        Return the events to append at once for this host's own claims.

        First come the entries that the log has lost, then the outcomes of claims that
        it may have lost or not have applied.
        """
        own = [event for event, host in self._lost_entries() if host == self.host]
        return own + list(self._outcomes.values())

    def lost_events(self):
        """
        Return the events to append for all that this host knew and the log still lacks.

        Other hosts write their own claims again, so little is left after a while.
        """
        return [event for event, _ in self._lost_entries()]

    def _lost_entries(self):
        """
        Return pairs of a `RestoredEntry` that the log lacks and the host of its claim.

        What the log has is dropped here.
        """
        if not self.fold.complete:
            return []
        orders = self.fold.state
        self._former = {
            key: entry
            for key, entry in self._former.items()
            if is_ahead(entry, orders.entries.get(key))
            and entry.key_time > orders.horizon
        }
        return [
            (RestoredEntry(entry_fields(entry)), entry.host)
            for entry in self._former.values()
        ]

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
            release = Released(claim.key, claim.key_time, claim.claim_id)
            return self._record_outcome(release)
        return []

    def finish(self, claim_id, status, content_type, body):
        """Return the events to append for a response of the target."""
        claim = self._finish(claim_id)
        done = Done(claim.key, claim_id, status, content_type, body)
        return self._record_outcome(done)

    def finish_unsent(self, claim_id):
        """Return the events to append for an order of which no byte was sent."""
        claim = self._finish(claim_id)
        return self._record_outcome(Released(claim.key, claim.key_time, claim_id))

    def finish_unknown(self, claim_id, detail):
        """Return the events to append for an order whose response was lost."""
        claim = self._finish(claim_id)
        return self._record_outcome(Unknown(claim.key, claim_id, detail))

    def _record_outcome(self, event):
        self._outcomes[event.claim_id] = event
        return [event]

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
