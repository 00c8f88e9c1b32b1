"""
The state of each order key, folded from the records of a log stream.

A key is free, or held by one claim. The first claim of a free key holds it. A claim
appended while another one holds the key is void for good, even once the key is free
again, because its host has already told the caller so. Claims have no lease and do not
expire, so no host loses one without noticing: a claim ends only by an event of its own
host (done, released) or of an operator (settled).

The state of a claim only moves forward, so duplicate and late records change nothing.
Keys contain their creation time (UUIDv7). Keys up to the horizon, which is set by a
record, are forgotten, and a claim with such a key is void. A wrong clock may move the
horizon too far and cause refusals, but never a second execution.

The log may come back from an older copy. A key that was created before may have been
claimed, and its order run, by records that are lost. The first claim in the new era is
therefore preceded by an `EraStarted` with the time up to which keys are uncertain: an
order with such a key is not run any more unless the log has its entry. Hosts also
append the entries that they know and the log has lost.
"""

import enum
from typing import NamedTuple

from ..core.ids import ClaimId, Incarnation, OrderKey
from .fold import Fold


class ClaimState(enum.Enum):
    """The state of the claim that holds a key."""

    CLAIMED = "claimed"
    UNKNOWN = "unknown"
    DONE = "done"
    FREE = "free"


class Claim(NamedTuple):
    """A host's request to run an order; `key_time` is in Unix milliseconds."""

    key: OrderKey
    key_time: int
    fingerprint: str
    claim_id: ClaimId
    host: Incarnation
    label: str


class Done(NamedTuple):
    """The target's response to an order, without its body if that is not stored."""

    key: OrderKey
    claim_id: ClaimId
    status: int
    content_type: str
    body: bytes | None


class Unknown(NamedTuple):
    """The claiming host cannot determine whether the order was run."""

    key: OrderKey
    claim_id: ClaimId
    detail: str


class Released(NamedTuple):
    """The claiming host has not sent the order and never will."""

    key: OrderKey
    key_time: int
    claim_id: ClaimId


class Settled(NamedTuple):
    """An operator's decision on a claim without an outcome."""

    key: OrderKey
    claim_id: ClaimId
    has_run: bool
    operator: str


class Horizon(NamedTuple):
    """Keys up to this time, in Unix milliseconds, are forgotten."""

    key_time: int


class EraStarted(NamedTuple):
    """
    The log has come back from a copy, and has reached this era.

    Keys up to `key_time`, in Unix milliseconds, may have been claimed in records that
    are lost. It is 0 at the beginning of a log.
    """

    era: int
    key_time: int


class RestoredEntry(NamedTuple):
    """An `Entry` that the log has lost, as a list of its fields."""

    fields: list


class Ping(NamedTuple):
    """Marks a batch that a host retries, so that it finds the batch in the log."""

    host: Incarnation
    number: int


class Entry(NamedTuple):
    """A key, the claim that holds it or held it last, and the void claims."""

    key: OrderKey
    key_time: int
    fingerprint: str
    claim_id: ClaimId
    host: Incarnation
    label: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes | None = None
    detail: str = ""
    void_claims: tuple[ClaimId, ...] = ()


class Orders:
    """
    The entries by key, and the times up to which keys are forgotten and uncertain.

    `era` is the latest era of the log that has started.
    """

    def __init__(self):
        self.entries = {}
        self.horizon = 0
        self.era = 0
        self.uncertain_until = 0

    def is_uncertain(self, key, key_time):
        """Return whether a key may have been claimed by a record that is lost."""
        if key_time > self.uncertain_until:
            return False
        entry = self.entries.get(key)
        return entry is None or entry.state is ClaimState.FREE


OPEN_STATES = (ClaimState.CLAIMED, ClaimState.UNKNOWN)
# The states of one claim in the order in which it reaches them.
PROGRESS = (ClaimState.CLAIMED, ClaimState.UNKNOWN, ClaimState.FREE, ClaimState.DONE)


def apply_event(orders, event, offset):
    """
    Apply an event to the orders.

    Args:
      orders: The `Orders`, changed in place.
      event: An event; kinds without a handler are ignored.
      offset: The offset of the event's record, which is not used.
    """
    del offset  # The calls are in log order already.
    handler = HANDLERS.get(type(event))
    if handler:
        handler(orders, event)


def _apply_claim(orders, event):
    if event.key_time <= orders.horizon:
        return
    entry = orders.entries.get(event.key)
    if entry is None:
        orders.entries[event.key] = _claimed_entry(event, ())
    elif event.claim_id == entry.claim_id or event.claim_id in entry.void_claims:
        return
    elif entry.state is ClaimState.FREE:
        orders.entries[event.key] = _claimed_entry(event, entry.void_claims)
    else:
        orders.entries[event.key] = entry._replace(
            void_claims=entry.void_claims + (event.claim_id,)
        )


def _claimed_entry(event, void_claims):
    """Return the entry of a key that this claim has just taken."""
    return Entry(*event, state=ClaimState.CLAIMED, void_claims=void_claims)


def _apply_done(orders, event):
    entry = orders.entries.get(event.key)
    if entry and entry.claim_id == event.claim_id and entry.state in OPEN_STATES:
        orders.entries[event.key] = entry._replace(
            state=ClaimState.DONE,
            status=event.status,
            content_type=event.content_type,
            body=event.body,
        )


def _apply_unknown(orders, event):
    entry = orders.entries.get(event.key)
    if entry and entry.claim_id == event.claim_id and entry.state is ClaimState.CLAIMED:
        orders.entries[event.key] = entry._replace(
            state=ClaimState.UNKNOWN, detail=event.detail
        )


def _apply_released(orders, event):
    """
    Free the key, or void a claim that is not in the log yet.

    An append may take effect long after it timed out. The release may then precede its
    claim in the log.
    """
    entry = orders.entries.get(event.key)
    if entry is None:
        if event.key_time > orders.horizon:
            orders.entries[event.key] = Entry(
                event.key,
                event.key_time,
                fingerprint="",
                claim_id=event.claim_id,
                host=Incarnation(""),
                label="",
                state=ClaimState.FREE,
                void_claims=(event.claim_id,),
            )
        return
    if event.claim_id in entry.void_claims:
        return
    void_claims = entry.void_claims + (event.claim_id,)
    if entry.claim_id != event.claim_id:
        orders.entries[event.key] = entry._replace(void_claims=void_claims)
    elif entry.state is ClaimState.CLAIMED:
        orders.entries[event.key] = entry._replace(
            state=ClaimState.FREE, void_claims=void_claims
        )


def _apply_settled(orders, event):
    entry = orders.entries.get(event.key)
    if not entry or entry.claim_id != event.claim_id or entry.state not in OPEN_STATES:
        return
    detail = f"settled by {event.operator}"
    if event.has_run:
        entry = entry._replace(state=ClaimState.DONE, status=0, detail=detail)
    else:
        void_claims = entry.void_claims + (event.claim_id,)
        entry = entry._replace(
            state=ClaimState.FREE, detail=detail, void_claims=void_claims
        )
    orders.entries[event.key] = entry


def _apply_horizon(orders, event):
    if event.key_time <= orders.horizon:
        return
    orders.horizon = event.key_time
    orders.entries = {
        key: entry
        for key, entry in orders.entries.items()
        if entry.key_time > event.key_time
    }


def _apply_era_started(orders, event):
    orders.era = max(orders.era, event.era)
    orders.uncertain_until = max(orders.uncertain_until, event.key_time)


def _apply_restored_entry(orders, event):
    restored = entry_from_fields(event.fields)
    if restored.key_time <= orders.horizon:
        return
    entry = orders.entries.get(restored.key)
    if is_ahead(restored, entry):
        orders.entries[restored.key] = restored._replace(
            void_claims=_merge_void_claims(restored, entry)
        )


def is_ahead(entry, other):
    """
    Return whether an entry is a later state of its key than another one, or None.

    Of two claims, that is later to which the other one is void. If neither is known to
    the other, one of them was made without knowledge of lost records and was not sent.
    """
    if other is None:
        return True
    if entry.claim_id != other.claim_id:
        if other.claim_id in entry.void_claims or entry.claim_id in other.void_claims:
            return other.claim_id in entry.void_claims
        if ClaimState.FREE in (entry.state, other.state):
            return entry.state is not ClaimState.FREE
    return PROGRESS.index(entry.state) > PROGRESS.index(other.state)


def _merge_void_claims(entry, other):
    """Return the void claims of an entry that takes the place of another one."""
    if other is None:
        return entry.void_claims
    void_claims = {*entry.void_claims, *other.void_claims, other.claim_id}
    if entry.state is not ClaimState.FREE:
        void_claims.discard(entry.claim_id)
    return tuple(sorted(void_claims))


HANDLERS = {
    Claim: _apply_claim,
    Done: _apply_done,
    Unknown: _apply_unknown,
    Released: _apply_released,
    Settled: _apply_settled,
    Horizon: _apply_horizon,
    EraStarted: _apply_era_started,
    RestoredEntry: _apply_restored_entry,
}


def restore_orders(items):
    """
    Return the orders restored from a checkpoint's items.

    Args:
      items: The horizon, followed by a list of fields for each entry.
    Returns:
      An `Orders`.
    """
    orders = Orders()
    orders.horizon = items[0]
    for fields in items[1:]:
        entry = entry_from_fields(fields)
        orders.entries[entry.key] = entry
    return orders


def entry_from_fields(fields):
    """Return the `Entry` that `entry_fields` returned the fields of."""
    entry = Entry(*fields)
    return entry._replace(
        state=ClaimState(entry.state), void_claims=tuple(entry.void_claims)
    )


def entry_fields(entry):
    """Return the fields of an `Entry` in a form that can be encoded."""
    return [*entry[:6], entry.state.value, *entry[7:]]


def dump_orders(orders):
    """Return the orders as items of a checkpoint."""
    return [orders.horizon, *map(entry_fields, orders.entries.values())]


def new_order_fold():
    """Return the fold of a stream of orders."""
    return Fold(Orders, apply_event, restore_orders)
