"""
What became of each order key: a plain fold over the records of a log stream.

A key is free, or held by one claim. The first claim of a free key holds it; a claim
that comes while another one holds the key is dead for good, also when the key is
free again later, because its host has long told its caller so. A claim has no lease
and does not expire: nobody can be unaware of losing it. It ends by its own host's
words (done, released) or by an operator's (settled).

The state of a claim only moves forward, so doubled and late records change nothing.
Keys carry their time (UUIDv7). The horizon, also a record, says up to which time
keys are forgotten; a claim with an older key is dead at once. A wrong clock may
move the horizon too early and so cause refusals, but never a second run.
"""

import enum
from typing import NamedTuple

from ..core.ids import ClaimId, Incarnation, OrderKey
from .fold import Fold


class ClaimState(enum.Enum):
    """How far the claim that holds a key has come."""

    CLAIMED = "claimed"
    UNKNOWN = "unknown"
    DONE = "done"
    FREE = "free"


class Claim(NamedTuple):
    """A host's wish to run an order. `key_time` is in milliseconds since 1970."""

    key: OrderKey
    key_time: int
    fingerprint: str
    claim: ClaimId
    host: Incarnation
    label: str


class Done(NamedTuple):
    """The target's answer to an order; the body only if it is kept."""

    key: OrderKey
    claim: ClaimId
    status: int
    content_type: str
    body: bytes | None


class Unknown(NamedTuple):
    """The claimant's word that it cannot learn whether the order ran."""

    key: OrderKey
    claim: ClaimId
    detail: str


class Released(NamedTuple):
    """The claimant's promise that it has not sent the order and never will."""

    key: OrderKey
    key_time: int
    claim: ClaimId


class Settled(NamedTuple):
    """An operator's word on a claim without an outcome."""

    key: OrderKey
    claim: ClaimId
    has_run: bool
    operator: str


class Horizon(NamedTuple):
    """Keys up to this time, in milliseconds since 1970, are forgotten."""

    key_time: int


class Ping(NamedTuple):
    """A host's mark on a batch that it tries again; the fold passes it over."""

    host: Incarnation
    number: int


class Entry(NamedTuple):
    """A key, the claim that holds it or held it last, and the dead claims."""

    key: OrderKey
    key_time: int
    fingerprint: str
    claim: ClaimId
    host: Incarnation
    label: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes | None = None
    detail: str = ""
    dead: tuple[ClaimId, ...] = ()


class Orders:
    """All remembered keys, and the time up to which keys are forgotten."""

    def __init__(self):
        self.entries = {}
        self.horizon = 0


OPEN_STATES = (ClaimState.CLAIMED, ClaimState.UNKNOWN)


def apply_event(orders, event, offset):
    """
    Fold one event into the orders.

    Args:
      orders: The `Orders`; it is changed.
      event: One of the events above; other kinds are passed over.
      offset: The event's place in the log.
    """
    del offset  # The order of the calls says it already.
    handler = HANDLERS.get(type(event))
    if handler:
        handler(orders, event)


def _apply_claim(orders, event):
    if event.key_time <= orders.horizon:
        return
    entry = orders.entries.get(event.key)
    if entry is None:
        orders.entries[event.key] = _held_by(event, ())
    elif event.claim == entry.claim or event.claim in entry.dead:
        return
    elif entry.state is ClaimState.FREE:
        orders.entries[event.key] = _held_by(event, entry.dead)
    else:
        orders.entries[event.key] = entry._replace(dead=entry.dead + (event.claim,))


def _held_by(event, dead):
    """Return the entry of a key that this claim holds from now on."""
    return Entry(*event, state=ClaimState.CLAIMED, dead=dead)


def _apply_done(orders, event):
    entry = orders.entries.get(event.key)
    if entry and entry.claim == event.claim and entry.state in OPEN_STATES:
        orders.entries[event.key] = entry._replace(
            state=ClaimState.DONE,
            status=event.status,
            content_type=event.content_type,
            body=event.body,
        )


def _apply_unknown(orders, event):
    entry = orders.entries.get(event.key)
    if entry and entry.claim == event.claim and entry.state is ClaimState.CLAIMED:
        orders.entries[event.key] = entry._replace(
            state=ClaimState.UNKNOWN, detail=event.detail
        )


def _apply_released(orders, event):
    """
    Free the key, or bar a claim that has not come yet.

    An append may take effect long after its answer was given up on. The release can
    then stand in the log before its claim, which must stay dead when it surfaces.
    """
    entry = orders.entries.get(event.key)
    if entry is None:
        if event.key_time > orders.horizon:
            orders.entries[event.key] = Entry(
                event.key,
                event.key_time,
                fingerprint="",
                claim=event.claim,
                host=Incarnation(""),
                label="",
                state=ClaimState.FREE,
                dead=(event.claim,),
            )
        return
    if event.claim in entry.dead:
        return
    dead = entry.dead + (event.claim,)
    if entry.claim != event.claim:
        orders.entries[event.key] = entry._replace(dead=dead)
    elif entry.state is ClaimState.CLAIMED:
        orders.entries[event.key] = entry._replace(state=ClaimState.FREE, dead=dead)


def _apply_settled(orders, event):
    entry = orders.entries.get(event.key)
    if not entry or entry.claim != event.claim or entry.state not in OPEN_STATES:
        return
    detail = f"settled by {event.operator}"
    if event.has_run:
        entry = entry._replace(state=ClaimState.DONE, status=0, detail=detail)
    else:
        dead = entry.dead + (event.claim,)
        entry = entry._replace(state=ClaimState.FREE, detail=detail, dead=dead)
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


HANDLERS = {
    Claim: _apply_claim,
    Done: _apply_done,
    Unknown: _apply_unknown,
    Released: _apply_released,
    Settled: _apply_settled,
    Horizon: _apply_horizon,
}


def restore_orders(items):
    """
    Return the orders that a checkpoint holds.

    Args:
      items: The horizon, then one list of fields for each entry.
    Returns:
      An `Orders`.
    """
    orders = Orders()
    orders.horizon = items[0]
    for fields in items[1:]:
        entry = Entry(*fields)
        entry = entry._replace(state=ClaimState(entry.state), dead=tuple(entry.dead))
        orders.entries[entry.key] = entry
    return orders


def dump_orders(orders):
    """Return the items of a checkpoint that holds the orders."""
    entries = (
        [*entry[:6], entry.state.value, *entry[7:]] for entry in orders.entries.values()
    )
    return [orders.horizon, *entries]


def new_order_fold():
    """Return the fold of one of the orders' streams."""
    return Fold(Orders, apply_event, restore_orders)
