"""
From a request to the answer that its caller gets.

The relay chooses a target, sends, and looks at what comes back. A failed send of an
idempotent request is sent once more elsewhere, and one that is slow for its kind gets
a second send before the first has failed; an order or an upload is sent again only
when it certainly has not run. Each further send must fit the data centre's share of
the retries. A request that can't be served any more is answered at once.
"""

import asyncio
import logging
from typing import Any, NamedTuple

from plumsaddle_core.core.parts import Feature
from plumsaddle_core.core.traffic import Reply, SendOutcome
from plumsaddle_core.limits.targets import max_token_wait
from plumsaddle_core.ops.attempt import NOT_SENT, Attempt
from plumsaddle_core.ops.urgency import max_wait_share

from .clock import now
from .refusals import Cause, Refusal
from .sender import Sent
from .suspicion import Suspicion

log = logging.getLogger("relay")
# A send that takes this many times the time expected of it, its wait for a slot
# included, counts as failed for the choice of targets; sound work passes it about once
# in a hundred requests.
STUCK_FACTOR = 3.0
# An idempotent request gets its second send after this many times the time expected of
# the first.
HEDGE_FACTOR = 2.2
# Seconds after which a second send is weighed again that found no better target.
HEDGE_AGAIN = 0.1
# Below this many seconds nothing is slow: a busy processor or a lost packet delays an
# answer that usually takes milliseconds by as much, whatever its target does.
SLOW_LEAST = 0.1
SLOW = "slow"
# A second send goes only to a target that likely answers; one that nothing is known of
# fails a fifth of its requests.
HEDGE_FAILS_MOST = 0.25
# Connections that fail to open before a request is given up; nothing was sent.
UNREACHED_MOST = 3


class Result(NamedTuple):
    """What one send came to."""

    target: Any
    fate: SendOutcome
    reply: Reply | None
    seconds: float


class Relay:
    """
    The relay of one host.

    Args:
      knowledge: The `HostState`.
      sender: The `Sender`.
      metrics: The `EdgeMetrics`.
      endings: The `CrashDetector`.
    """

    def __init__(self, knowledge, sender, metrics, endings):
        self._knowledge = knowledge
        self._sender = sender
        self._metrics = metrics
        self._endings = endings
        self._runs = set()

    def refuse_in_flight(self):
        """
        Answer all requests that are under way, since the host ends.

        A target that has not answered by then may never have got its request, and a
        caller whose connection just closes learns nothing.
        """
        for run in self._runs:
            run.end()

    async def run(self, ask):
        """
        Serve a request.

        Args:
          ask: The `Ask`.
        Returns:
          A `Reply` of a target, or a `Refusal`.
        """
        run = _Run(ask, self._knowledge, self._sender, self._metrics, self._endings)
        refusal = run.hold_back()
        if refusal is not None:
            # It counts neither for the service's retries nor for its state.
            return refusal
        self._knowledge.shared.note_request(ask.service, now())
        self._runs.add(run)
        try:
            answer = await run.serve()
            is_served = isinstance(answer, Reply) and answer.status < 500
            self._knowledge.shared.note_request_end(ask.service, is_served, now())
            return answer
        finally:
            self._runs.discard(run)
            run.cancel()


class _Run:
    """One request while it is served."""

    def __init__(self, ask, knowledge, sender, metrics, endings):
        self._ask = ask
        self._knowledge = knowledge
        self._sender = sender
        self._metrics = metrics
        self._attempt = Attempt(ask.route.kind, ask.route.max_attempts)
        self._suspicion = Suspicion(ask, self._attempt, knowledge, endings)
        self._excluded = set()
        self._sends = set()
        self._unreached = 0
        self._is_hedged = False
        self._hedge_at = 0.0
        self._last = None
        self._has_begun_rest = False
        self._end = asyncio.get_running_loop().create_future()

    def hold_back(self):
        """Return the refusal of a request that ends its targets, None of others."""
        held_for = self._suspicion.held_for()
        if not held_for:
            return None
        fields = {"key": self._suspicion.key, "lives": self._suspicion.lives}
        return self._refuse(Cause.HELD_BACK, held_for, **fields)

    def end(self):
        """Give the request up, with what is true of it by now."""
        if not self._end.done():
            self._end.set_result(None)

    def cancel(self):
        """Stop all sends that still run, by closing their connections."""
        for task in self._sends:
            if task.done() and not task.cancelled():
                _drop(task.result().reply)
            task.cancel()

    async def serve(self):
        """Send until there is an answer or nothing more may be done."""
        refusal = await self._send_next(None)
        if refusal is not None:
            return refusal
        while True:
            done = await self._wait()
            if done == {self._end}:
                return self._give_up(Cause.LEAVING)
            if not done:
                if self._time_left() <= 0:
                    return self._give_up(Cause.TIME_OVER)
                await self._hedge()
                continue
            # An answer that has just come is delivered, also at the host's end.
            for task in done - {self._end}:
                self._sends.discard(task)
                result = task.result()
                if result.fate is SendOutcome.SUCCEEDED:
                    self._knowledge.note_response_size(
                        self._ask.route, len(result.reply.body)
                    )
                    return self._log_answer(result)
                answer = await self._recover(result)
                if answer is not None:
                    return answer

    def _time_left(self):
        return self._ask.deadline - now()

    def _usual(self):
        """Return the usual seconds of such a request."""
        return self._knowledge.shared.times.typical_duration(
            self._ask.service, self._ask.route.name
        )

    async def _wait(self):
        """Wait for a send to end, for the moment of a second send, or the deadline."""
        timeout = max(0.0, self._time_left())
        if self._may_hedge():
            timeout = min(timeout, max(0.0, self._hedge_at - now()))
        done, _ = await asyncio.wait(
            {*self._sends, self._end},
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return done

    def _may_hedge(self):
        return (
            not self._is_hedged
            and Feature.HEDGING not in self._knowledge.settings.disabled_features
            and self._ask.route.kind.is_idempotent
            and self._attempt.may_send()
            and self._suspicion.may_hedge()
        )

    async def _hedge(self):
        """
        Send a slow idempotent request to a second target, if one is better.

        If none is by now, one may be a little later: targets get done with their work.
        """
        sends = self._attempt.sends
        if self._knowledge.may_retry(self._ask.service, self._ask.urgency):
            await self._send_next(SLOW)
        self._is_hedged = self._attempt.sends > sends
        if not self._is_hedged:
            self._hedge_at = now() + HEDGE_AGAIN

    async def _recover(self, result):
        """
        Go on after a failed send.

        Returns:
          The final answer, or None if another send runs.
        """
        self._last = result
        self._excluded.add(result.target.id)
        if result.fate in NOT_SENT:
            self._unreached += 1
        if self._sends:
            return None
        if self._unreached >= UNREACHED_MOST:
            return self._give_up(Cause.UNREACHED)
        if self._ask.caller.is_gone():
            return self._give_up(Cause.CALLER_GONE)
        if not self._suspicion.may_retry():
            return self._final(result)
        if not self._attempt.may_send() or self._has_begun_rest:
            # What was read of a long body is gone and cannot be sent once more.
            return self._final(result)
        is_retry = self._attempt.sends > 0
        ask = self._ask
        if is_retry and not self._knowledge.may_retry(ask.service, ask.urgency):
            self._metrics.retries_denied.inc({"service": ask.service})
            return self._final(result)
        refusal = await self._send_next(result.fate.value)
        return None if refusal is None else self._final(result)

    def _final(self, result):
        """Return the answer after the last send that was possible."""
        if result.reply is not None and self._is_passable(result):
            return self._log_answer(result)
        if self._attempt.is_known_not_run():
            return self._refuse(Cause.NOT_TAKEN)
        return self._refuse(Cause.TARGET_FAILED)

    def _is_passable(self, result):
        """
        Return whether a target's own failure may go to the caller as it is.

        A status that promises that the request has not run goes out only when this
        host knows so.
        """
        if result.fate not in (SendOutcome.FAILED, SendOutcome.TIMED_OUT):
            return False
        return result.reply.status not in (408, 421, 429, 503)

    def _give_up(self, cause):
        if cause is Cause.TIME_OVER and self._attempt.is_known_not_run():
            return self._refuse(Cause.NO_ROOM)
        return self._refuse(cause)

    def _refuse(self, cause, pause=None, **fields):
        ask = self._ask
        log.info(
            "refused",
            extra={
                "request": ask.id.decode("latin-1"),
                "cause": cause.value,
                "route": ask.route.name,
                "service": ask.service,
                "targets": self._attempt.targets,
                "last": self._last.fate.value if self._last else None,
                "seconds": round(now() - ask.started, 4),
                "version": self._knowledge.cfg.version,
                **fields,
            },
        )
        self._metrics.refusals.inc({"cause": cause.value})
        pause = self._pause() if pause is None else pause
        return Refusal(cause, not self._attempt.is_known_not_run(), pause)

    def _pause(self):
        """Return the seconds after which there is likely room again."""
        usual = self._usual()
        return usual * self._knowledge.rng.uniform(0.5, 1.5)

    def _log_answer(self, result):
        ask = self._ask
        log.info(
            "answered",
            extra={
                "request": ask.id.decode("latin-1"),
                "status": result.reply.status,
                "route": ask.route.name,
                "targets": self._attempt.targets,
                "seconds": round(now() - ask.started, 4),
                "workspace": ask.owner.name,
            },
        )
        self._metrics.answers.inc({"status": str(result.reply.status)})
        return result.reply

    # One send.

    async def _send_next(self, retry_cause):
        """
        Start a send to the best target that is left.

        Args:
          retry_cause: Why this is not the first send, or None if it is.
        Returns:
          None if a send runs, else a `Refusal`.
        """
        ask = self._ask
        at = now()
        answer_bytes = self._knowledge.typical_response_bytes(ask.route)
        kilobytes = ((ask.length or 0) + answer_bytes) / 1024
        demand = self._knowledge.request_profile(
            ask.route, ask.service, ask.started, ask.deadline, kilobytes, at
        )
        excluded = self._excluded | set(self._attempt.targets)
        longest = 0.0 if retry_cause == SLOW else max_token_wait(demand, ask.urgency)
        choice = self._knowledge.choose(
            ask.service, demand, excluded, self._has_link, at, longest
        )
        if retry_cause == SLOW and not _is_worth_hedging(choice):
            return None
        if choice is None:
            return self._refuse_without_target(at)
        if (
            _has_no_room(choice, demand, ask.urgency)
            and self._attempt.is_known_not_run()
        ):
            return self._refuse(Cause.NO_ROOM)
        target = choice.candidate.target
        if retry_cause is not None and self._attempt.sends:
            self._knowledge.shared.note_retry(ask.service, at)
            self._metrics.retries.inc({"cause": retry_cause})
        log.info(
            "sent",
            extra={
                "request": ask.id.decode("latin-1"),
                "target": target.id,
                "retry": retry_cause,
                "rule": choice.rule.value,
                "fails": round(choice.candidate.failure_probability, 3),
                "in_flight": choice.candidate.in_flight,
                "near": choice.candidate.is_local,
                "expected": round(choice.expected_duration, 3),
                "entry_age": round(at - target.read_at, 1),
                "limit": self._knowledge.limits.rate(target),
                "wait": round(choice.candidate.wait, 3),
                "version": self._knowledge.cfg.version,
            },
        )
        self._knowledge.note_send_start(target)
        wait = choice.candidate.wait
        self._hedge_at = at + wait + _slow_after(HEDGE_FACTOR, choice)
        if wait:
            sending = self._send_later(choice)
        else:
            self._attempt.note_send(target.id)
            sending = self._send(choice)
        self._sends.add(asyncio.get_running_loop().create_task(sending))
        return None

    async def _send_later(self, choice):
        """
        Send to a target once its rate limit allows it, and return the `Result`.

        Until then nothing is sent, so a request that is given up meanwhile may be told
        that it has not run. Shares may move to other hosts in that time.
        """
        target, limits = choice.candidate.target, self._knowledge.limits
        may_send = False
        try:
            await asyncio.sleep(choice.candidate.wait)
            may_send = limits.has_share(target, now())
        finally:
            if not may_send:
                self._knowledge.note_send_end(target)
                limits.release(target)
        if not may_send:
            return Result(target, SendOutcome.UNSENT, None, choice.candidate.wait)
        self._attempt.note_send(target.id)
        return await self._send(choice)

    def _refuse_without_target(self, at):
        """Return the refusal of a request for which no target may be chosen."""
        ask = self._ask
        wait = self._knowledge.limits.retry_after(ask.service, at)
        if wait is None:
            return self._refuse(Cause.NO_TARGET)
        return self._refuse(Cause.TARGETS_LIMITED, wait, retry_after=round(wait, 3))

    async def _send(self, choice):
        """Send to the target of a `Choice` and return the `Result`."""
        target = choice.candidate.target
        started = now()
        sent = Sent(SendOutcome.ABANDONED)
        stuck = asyncio.get_running_loop().call_later(
            _slow_after(STUCK_FACTOR, choice), self._note_stuck, choice
        )
        try:
            sent = await self._sender.send(self._ask, target, self._suspicion)
        finally:
            fate, seconds = sent.fate, now() - started
            self._has_begun_rest = self._has_begun_rest or sent.has_begun_rest
            is_stuck = stuck.when() <= asyncio.get_running_loop().time()
            stuck.cancel()
            self._knowledge.note_send_end(target)
            if fate in NOT_SENT:
                self._attempt.undo_send(target.id)
                self._knowledge.limits.release(target)
            else:
                self._attempt.note_outcome(fate)
            if fate is SendOutcome.ABANDONED and seconds > _slow_after(
                HEDGE_FACTOR, choice
            ):
                fate = SendOutcome.TIMED_OUT
            has_waits = (
                Feature.SERVICE_TIMES in self._knowledge.settings.disabled_features
            )
            work = seconds if has_waits else seconds / choice.slowdown
            if not is_stuck:
                self._knowledge.note_outcome(target, self._ask.route, fate, work)
            elif fate is SendOutcome.SUCCEEDED:
                self._knowledge.note_late_response(target, self._ask.route, work)
        if fate is not SendOutcome.SUCCEEDED:
            self._log_failure(target, sent._replace(fate=fate), seconds)
        return Result(target, fate, sent.reply, seconds)

    def _note_stuck(self, choice):
        target = choice.candidate.target
        self._knowledge.note_outcome(
            target, self._ask.route, SendOutcome.TIMED_OUT, 0.0
        )
        log.info(
            "stuck",
            extra={
                "request": self._ask.id.decode("latin-1"),
                "target": target.id,
                "expected": round(choice.expected_duration, 3),
            },
        )

    def _log_failure(self, target, sent, seconds):
        log.info(
            "send failed",
            extra={
                "request": self._ask.id.decode("latin-1"),
                "target": target.id,
                "fate": sent.fate.value,
                "status": sent.reply.status if sent.reply else None,
                "seconds": round(seconds, 4),
                "key": self._suspicion.key if sent.fate is SendOutcome.BROKEN else None,
                # These tell a dead connection from a failing target.
                "connection": sent.connection.kind,
                "age": sent.connection.age,
                "idle": sent.connection.idle,
            },
        )

    def _has_link(self, life):
        return self._sender.has_link(self._ask, life)


def _drop(reply):
    """Let go of an answer that came beside the one that was passed on."""
    if reply is not None and reply.rest is not None:
        reply.rest.close()


def _slow_after(factor, choice):
    """Return the seconds after which a send is slow, by a factor of the expected."""
    return max(SLOW_LEAST, factor * choice.expected_duration)


def _has_no_room(choice, demand, urgent):
    """
    Return whether even the best target would answer only after the time is over.

    A less urgent request leaves the last places in full targets' queues to others.
    """
    candidate = choice.candidate
    is_full = candidate.in_flight >= candidate.target.slots
    return is_full and choice.expected_duration >= demand.time_left * max_wait_share(
        urgent
    )


def _is_worth_hedging(choice):
    """
    Return whether a second send beside a slow first one is worth its load.

    When all slots are taken, requests are slow because they wait, and second sends
    would make all of them wait longer.
    """
    if choice is None:
        return False
    candidate = choice.candidate
    has_room = candidate.in_flight < candidate.target.slots
    return has_room and candidate.failure_probability < HEDGE_FAILS_MOST
