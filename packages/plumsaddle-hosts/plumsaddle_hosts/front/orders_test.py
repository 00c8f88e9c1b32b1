"""
What an order does when its target changes while the log takes its claim.
"""

import asyncio
import random
import types

import pytest
from returns.result import Failure, Success

from plumsaddle_core.core.data import HealthState, RequestKind, Service, Target
from plumsaddle_core.core.reasons import Reason
from plumsaddle_core.ops.pool import Pool

from ..back.waiting import WaitingRoom
from . import orders


class _Shard:
    """A log that runs a function while it takes a claim."""

    def __init__(self, meanwhile):
        self._meanwhile = meanwhile
        self.given_up = []
        self.claims = types.SimpleNamespace(start_sending=lambda claim: True)

    async def win(self, claim, deadline):
        self._meanwhile()
        return Success(True)

    def give_up(self, claim):
        self.given_up.append(claim)


def _run(change, monkeypatch, deadline=1.0):
    """Run an order while `change` changes the target chosen; return both."""
    targets = tuple(Target(f"t{n}", f"10.0.0.{n}:80", "x") for n in (1, 2))
    service = Service("act", 1, 2, 8, targets)
    pool = Pool(service, 1)

    async def ask_keeper(*args):
        return None

    room = WaitingRoom(pool, ask_keeper, random.Random(1))
    sent = []

    async def send(host, state, shard, claim, member, *args):
        sent.append(member)
        return Success(None)

    monkeypatch.setattr(orders, "_send", send)
    chosen = []

    def meanwhile():
        chosen.extend(m for m in pool.members.values() if m.in_flight)
        change(pool, chosen[0], asyncio.get_running_loop().time())

    shard = _Shard(meanwhile)

    async def run():
        at = asyncio.get_running_loop().time() + deadline
        claim = types.SimpleNamespace(claim_id="c", fingerprint="f")
        state = types.SimpleNamespace(room=room, pool=pool)
        return await orders._claim_and_send(None, state, shard, claim, None, b"", at)

    result = asyncio.run(run())
    in_flight = sum(member.in_flight for member in pool.members.values())
    return result, chosen[0], sent, shard.given_up, in_flight


def _drain(pool, member, now):
    member.set_health(HealthState.DRAINING, now, "announced")


def _back_off(pool, member, now):
    pool.note_backoff(member, 5.0, now)


@pytest.mark.parametrize("change", [_drain, _back_off])
def test_an_order_goes_to_no_target_that_closed_while_the_log_took_its_claim(
    change, monkeypatch
):
    """Guards against work for a target that announced that it drains."""
    _, chosen, sent, given_up, in_flight = _run(change, monkeypatch)
    assert sent and sent[0] is not chosen
    assert not given_up and in_flight == 1


def test_an_order_that_no_target_can_take_in_time_is_refused_at_once(monkeypatch):
    """Guards against keeping a caller waiting for what cannot come."""

    def change(pool, member, now):
        for other in pool.members.values():
            pool.note_backoff(other, 5.0, now)

    result, _, sent, given_up, in_flight = _run(change, monkeypatch)
    assert isinstance(result, Failure) and not sent
    assert result.failure().reason is Reason.TARGETS_SHED
    assert result.failure().retry_after == 5
    assert given_up == ["c"] and in_flight == 0


def test_a_target_that_sheds_gets_nothing_before_its_retry_after():
    """Guards against sending at once to a target that asked for a backoff."""
    targets = tuple(Target(f"t{n}", f"10.0.0.{n}:80", "x") for n in (1, 2))
    pool = Pool(Service("act", 1, 2, 8, targets), 1)
    first, second = pool.members.values()
    pool.note_backoff(first, 2.0, 10.0)
    rng = random.Random(1)
    assert {pool.choose(RequestKind.ORDER, 11.9, rng) for _ in range(40)} == {second}
    assert pool.backoff(11.9) == 0.0
    assert first in {pool.choose(RequestKind.ORDER, 12.0, rng) for _ in range(40)}
