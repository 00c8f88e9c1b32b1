"""
Orders: requests that must run at most once.

An order gets a slot, then appends its claim, and is sent only if the log says that
the claim holds the key. Whatever happens afterwards is written to the log as well.
The caller's going away does not stop an order that is under way.
"""

import asyncio
import logging
import uuid

from returns.result import Failure, Success

from plumsaddle_core.core.data import FailureKind, Outcome, RequestKind
from plumsaddle_core.core.ids import ClaimId
from plumsaddle_core.core.reasons import Reason, refuse
from plumsaddle_core.ops.claims import Replay
from plumsaddle_core.ops.orders import Claim
from plumsaddle_core.ops.pool import may_send
from plumsaddle_core.utils.keys import fingerprint, parse_key

from ..back.sender import Answer, FailedTry, Outgoing
from ..back.tries import run_try
from .headers import KEY
from .plain import (
    RETRY_WORDS,
    headers_for_target,
    may_retry,
    read_body,
    refuse_trouble,
)

log = logging.getLogger("orders")
RECORDED_MOST = 8192


async def run_order(host, state, incoming, deadline):
    """
    Run an order, or tell what became of it.

    Args:
      host: The host's parts.
      state: The `ServiceState`.
      incoming: The caller's `aiohttp.web.Request`.
      deadline: On the loop's clock.
    Returns:
      A `Success` of an `Answer` or a `Replay`, or a `Failure` of a `Refusal`.
    """
    credentials = incoming.headers.get("Authorization", "")
    parsed = parse_key(incoming.headers.get(KEY), state.service.name, credentials)
    if isinstance(parsed, Failure):
        return parsed
    read = await read_body(incoming, state.service.buffer_bytes, deadline)
    if isinstance(read, Failure):
        return read
    body = read.unwrap()
    key = parsed.unwrap()
    print_of = fingerprint(incoming.method, incoming.raw_path, body)
    shard = host.shard_of(key.key)
    known = _answer_known(shard, key, print_of)
    if known is not None:
        return known
    if shard.is_away():
        return Failure(refuse(Reason.LOG_UNAVAILABLE))
    claim = Claim(
        key.key,
        key.key_time,
        print_of,
        ClaimId(uuid.uuid4().hex),
        host.incarnation,
        incoming.headers[KEY].strip().strip('"'),
    )
    work = _claim_and_send(host, state, shard, claim, incoming, body, deadline)
    # The caller's leaving cancels this handler, but not the order.
    return await asyncio.shield(host.spawn(work))


def _answer_known(shard, key, print_of):
    """Return a result from what the log has said of a key, or None."""
    known = shard.claims.answer_from_log(key.key, key.key_time, print_of)
    if known is None:
        return None
    return Success(known) if isinstance(known, Replay) else Failure(known)


async def _claim_and_send(host, state, shard, claim, incoming, body, deadline):
    """Get a slot, win the key, send, and record what came of it."""
    kind = RequestKind.ORDER
    slot = await state.room.acquire(kind, deadline)
    if isinstance(slot, Failure):
        return slot
    member = slot.unwrap()
    verdict = await shard.win(claim, deadline)
    if isinstance(verdict, Failure):
        state.room.release(member)
        return verdict
    if not verdict.unwrap():
        state.room.release(member)
        known = _answer_known(shard, claim, claim.fingerprint)
        return known or Failure(refuse(Reason.ORDER_RUNNING, outcome=Outcome.UNKNOWN))
    if asyncio.get_running_loop().time() >= deadline:
        state.room.release(member)
        shard.give_up(claim.claim_id)
        return Failure(refuse(Reason.DEADLINE, "the log took too long"))
    slot = await _keep_or_replace(state, member, deadline)
    if isinstance(slot, Failure):
        shard.give_up(claim.claim_id)
        return slot
    member = slot.unwrap()
    is_sending = shard.claims.start_sending(claim.claim_id)
    assert is_sending, "a claim was won and given up"
    return await _send(host, state, shard, claim, member, incoming, body, deadline)


async def _keep_or_replace(state, member, deadline):
    """
    Return the member whose slot an order holds, or another one.

    While the log took the claim, the target may have announced that it drains.
    """
    loop = asyncio.get_running_loop()
    while not may_send(member, loop.time()):
        state.room.release(member)
        slot = await state.room.acquire(RequestKind.ORDER, deadline)
        if isinstance(slot, Failure):
            return slot
        member = slot.unwrap()
    return Success(member)


async def _send(host, state, shard, claim, member, incoming, body, deadline):
    """
    Send an order whose key is held, and record its outcome.

    Another target is tried only after a try of which the target has certainly run
    nothing: no connection, or a status that the operators declared to mean so.
    """
    tried = ()
    unsent = 0
    while True:
        headers = headers_for_target(incoming, deadline)
        outgoing = Outgoing(
            incoming.method, incoming.raw_path, headers, body or None, deadline
        )
        result = await run_try(host, state, member, RequestKind.ORDER, outgoing)
        if isinstance(result, Success):
            return await _record(
                shard,
                state.service,
                claim,
                result.unwrap(),
                host.answer_budget,
                deadline,
            )
        trouble = result.failure()
        if not trouble.is_unsent:
            shard.deliver(shard.claims.finish_unknown(claim.claim_id, trouble.detail))
            refusal = refuse_trouble(trouble, Outcome.UNKNOWN)
            return Failure(refusal._replace(retry_after=None))
        unsent += 1
        if trouble.kind is not FailureKind.SHED:
            tried += (member.target.key,)
        if not may_retry(state, trouble, len(tried), unsent):
            shard.deliver(shard.claims.finish_unsent(claim.claim_id))
            return Failure(refuse_trouble(trouble, Outcome.NOT_RUN))
        host.metrics.retries.inc({"reason": RETRY_WORDS[trouble.kind].value})
        slot = await state.room.acquire(RequestKind.ORDER, deadline, tried)
        if isinstance(slot, Failure):
            shard.deliver(shard.claims.finish_unsent(claim.claim_id))
            return slot
        member = slot.unwrap()


async def _record(shard, service, claim, answer, budget, deadline):
    """
    Write an answer to the log and return it whole.

    The caller is not kept waiting for the append: the claim is in the log already,
    so whoever repeats the order meanwhile is told that it is running.
    """
    if answer.rest is not None:
        result = await _read_rest(answer, budget, deadline)
        if isinstance(result, Failure):
            detail = f"the answer broke off, {result.failure().detail}"
            log.warning("orders: A long answer was given up: %s.", detail)
            shard.deliver(shard.claims.finish_unknown(claim.claim_id, detail))
            return Failure(refuse(Reason.TARGET_FAILED, detail, Outcome.UNKNOWN))
        answer = result.unwrap()
    is_kept = service.record_answers and len(answer.body) <= RECORDED_MOST
    shard.deliver(
        shard.claims.finish(
            claim.claim_id,
            answer.status,
            answer.headers.get("Content-Type", ""),
            answer.body if is_kept else None,
        )
    )
    return Success(answer)


async def _read_rest(answer, budget, deadline):
    """
    Read a long answer whole.

    Args:
      answer: The `Answer`.
      budget: The `ReadBudget` of long answers.
      deadline: On the loop's clock.
    Returns:
      A `Success` of the whole `Answer`, or a `Failure` of a `FailedTry`.
    """
    failure = None
    try:
        with budget.open() as held:
            async with asyncio.timeout_at(deadline):
                result = await _read_parts(answer, held, budget.response_limit)
    except TimeoutError:
        result = Failure(FailedTry(FailureKind.DEADLINE, "the answer took too long"))
    except BaseException:
        answer.rest.close(FailureKind.CALLER)
        raise
    if isinstance(result, Failure):
        failure = result.failure().kind
    answer.rest.close(failure)
    return result


async def _read_parts(answer, held, limit):
    """Read the parts of an answer up to a limit in bytes, as `_read_rest`."""
    parts = [answer.body]
    size = len(answer.body)
    while True:
        result = await answer.rest.read()
        if isinstance(result, Failure):
            return result
        part = result.unwrap()
        if not part:
            return Success(Answer(answer.status, answer.headers, b"".join(parts)))
        size += len(part)
        if size > limit or not held.add(len(part)):
            return Failure(FailedTry(FailureKind.BROKEN, "the answer is too long"))
        parts.append(part)
