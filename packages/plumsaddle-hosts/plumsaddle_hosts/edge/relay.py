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

from aiohttp import web

from plumsaddle_core.core.parts import Part
from plumsaddle_core.core.traffic import Fate, Reply
from plumsaddle_core.ops.attempt import NOT_SENT, Attempt, Stage
from plumsaddle_core.ops.suspects import RETRIED_MOST, RunNote

from .clock import now
from .link import Unconnected
from .outgoing import frame_body, key_of, make_head
from .refusals import Cause, Refusal
from .verdict import Rest, judge, judge_head

log = logging.getLogger("relay")
# Answers up to this many bytes are held back until they are whole, so that one that
# breaks off can still be replaced. Longer ones are passed on while they come.
HELD_MOST = 65536
# A send that takes this many times the time expected of it, its wait for a slot
# included, counts as failed for the choice of targets; sound work passes it about once
# in a hundred requests.
STUCK_FACTOR = 3.0
# An idempotent request gets its second send after this many times the time expected of
# the first.
HEDGE_FACTOR = 2.2
# Below this many seconds nothing is slow: a busy processor or a lost packet delays an
# answer that usually takes milliseconds by as much, whatever its target does.
SLOW_LEAST = 0.1
SLOW = "slow"
# A second send goes only to a target that likely answers; one that nothing is known of
# fails a fifth of its requests.
HEDGE_FAILS_MOST = 0.25
# Connections that fail to open before a request is given up; nothing was sent.
UNREACHED_MOST = 3
# An order waits on a kept connection only if that was used just now, in seconds: the
# longer it has been idle, the likelier the target closes it at that very moment.
ORDER_IDLE_MOST = 6.0
IDLE_MOST = 60.0
# Fates that show that a target ran the request and is still there.
RAN = {Fate.WHOLE, Fate.FAILED, Fate.UNSIGNED, Fate.TIMED_OUT}


class Result(NamedTuple):
    """What one send came to."""

    target: Any
    fate: Fate
    reply: Reply | None
    seconds: float


class Connection(NamedTuple):
    """How old a send's connection was and how long it had been idle, in seconds."""

    age: float
    idle: float


class Relay:
    """
    The relay of one host.

    Args:
      knowledge: The `Knowledge`.
      links: The `Links`.
      metrics: The `EdgeMetrics`.
      endings: The `Endings`.
    """

    def __init__(self, knowledge, links, metrics, endings):
        self._knowledge = knowledge
        self._links = links
        self._metrics = metrics
        self._endings = endings

    async def run(self, ask):
        """
        Serve a request.

        Args:
          ask: The `Ask`.
        Returns:
          A `Reply` of a target, or a `Refusal`.
        """
        run = _Run(ask, self._knowledge, self._links, self._metrics, self._endings)
        held_for = run.held_for()
        if held_for:
            # It counts neither for the service's retries nor for its state.
            return run.hold_back(held_for)
        self._knowledge.zone.note_request(ask.service, now())
        try:
            answer = await run.serve()
            is_served = isinstance(answer, Reply) and answer.status < 500
            self._knowledge.zone.note_end(ask.service, is_served, now())
            return answer
        finally:
            run.cancel()


class _Run:
    """One request while it is served."""

    def __init__(self, ask, knowledge, links, metrics, endings):
        self._ask = ask
        self._knowledge = knowledge
        self._links = links
        self._metrics = metrics
        self._endings = endings
        self._attempt = Attempt(ask.route.kind, ask.route.tries_most)
        self._excluded = set()
        self._sends = set()
        self._unreached = 0
        self._is_hedged = False
        self._hedge_at = 0.0
        self._last = None
        self._connections = {}
        self._key = None
        self._is_rest_begun = False

    def held_for(self):
        """Return for how many seconds the request is held back, 0.0 if it is not."""
        suspects = self._knowledge.zone.suspects
        if not len(suspects) or Part.HOLDING_BACK in self._knowledge.settings.off:
            return 0.0
        return suspects.held_for(self._request_key(), now())

    def hold_back(self, held_for):
        """Return the refusal of a request under which targets have ended."""
        lives = self._knowledge.zone.suspects.ended(self._request_key())
        return self._refuse(
            Cause.HELD_BACK, held_for, key=self._request_key(), lives=lives
        )

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
            if not done:
                if self._time_left() <= 0:
                    return self._give_up(Cause.TIME_OVER)
                await self._hedge()
                continue
            for task in done:
                self._sends.discard(task)
                result = task.result()
                if result.fate is Fate.WHOLE:
                    self._knowledge.note_answer(self._ask.route, len(result.reply.body))
                    return self._log_answer(result)
                answer = await self._recover(result)
                if answer is not None:
                    return answer

    def _time_left(self):
        return self._ask.deadline - now()

    def _request_key(self):
        """Return the key under which the request is known when it comes again."""
        if self._key is None:
            self._key = key_of(self._ask)
        return self._key

    def _usual(self):
        """Return the usual seconds of such a request."""
        return self._knowledge.zone.times.usual(self._ask.service, self._ask.route.name)

    async def _wait(self):
        """Wait for a send to end, for the moment of a second send, or the deadline."""
        timeout = max(0.0, self._time_left())
        if self._may_hedge():
            timeout = min(timeout, max(0.0, self._hedge_at - now()))
        done, _ = await asyncio.wait(
            self._sends, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def _may_hedge(self):
        return (
            not self._is_hedged
            and Part.SECOND_SENDS not in self._knowledge.settings.off
            and self._ask.route.kind.may_repeat
            and self._attempt.may_send()
            and not self._is_suspect(0)
        )

    def _is_suspect(self, ended_most):
        """
        Return whether more targets than that have, or may have, ended under it.

        Own retries and second sends would carry such a request from one target to the
        next before anybody can know.
        """
        if Part.HOLDING_BACK in self._knowledge.settings.off:
            return False
        suspects = self._knowledge.zone.suspects
        if self._key is None and not len(suspects):
            return False
        key = self._request_key()
        return suspects.ended(key) + self._endings.open_questions(key) > ended_most

    async def _hedge(self):
        """Send a slow idempotent request to a second target, if one is better."""
        self._is_hedged = True
        if self._knowledge.may_retry(self._ask.service):
            await self._send_next(SLOW)

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
        if self._is_suspect(RETRIED_MOST):
            return self._final(result)
        if not self._attempt.may_send() or self._is_rest_begun:
            # What was read of a long body is gone and cannot be sent once more.
            return self._final(result)
        is_retry = self._attempt.sends > 0
        if is_retry and not self._knowledge.may_retry(self._ask.service):
            self._metrics.retries_denied.inc({"service": self._ask.service})
            return self._final(result)
        refusal = await self._send_next(result.fate.value)
        return None if refusal is None else self._final(result)

    def _final(self, result):
        """Return the answer after the last send that was possible."""
        if result.reply is not None and self._is_passable(result):
            return self._log_answer(result)
        if self._attempt.may_promise():
            return self._refuse(Cause.NOT_TAKEN)
        return self._refuse(Cause.TARGET_FAILED)

    def _is_passable(self, result):
        """
        Return whether a target's own failure may go to the caller as it is.

        A status that promises that the request has not run goes out only when this
        host knows so.
        """
        if result.fate not in (Fate.FAILED, Fate.TIMED_OUT):
            return False
        return result.reply.status not in (408, 421, 429, 503)

    def _give_up(self, cause):
        if cause is Cause.TIME_OVER and self._attempt.may_promise():
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
        return Refusal(cause, not self._attempt.may_promise(), pause)

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
        answer_bytes = self._knowledge.answer_bytes(ask.route)
        kilobytes = ((ask.length or 0) + answer_bytes) / 1024
        demand = self._knowledge.demand(
            ask.route, ask.service, ask.started, ask.deadline, kilobytes, at
        )
        excluded = self._excluded | set(self._attempt.targets)
        choice = self._knowledge.choose(
            ask.service, demand, excluded, self._has_link, at
        )
        if retry_cause == SLOW and not _is_worth_hedging(choice):
            return None
        if choice is None:
            return self._refuse(Cause.NO_TARGET)
        if _has_no_room(choice, demand) and self._attempt.may_promise():
            return self._refuse(Cause.NO_ROOM)
        target = choice.candidate.target
        if retry_cause is not None and self._attempt.sends:
            self._knowledge.zone.note_retry(ask.service, at)
            self._metrics.retries.inc({"cause": retry_cause})
        log.info(
            "sent",
            extra={
                "request": ask.id.decode("latin-1"),
                "target": target.id,
                "retry": retry_cause,
                "rule": choice.rule.value,
                "fails": round(choice.candidate.fails, 3),
                "in_flight": choice.candidate.in_flight,
                "near": choice.candidate.is_near,
                "expected": round(choice.expected, 3),
                "entry_age": round(at - target.read_at, 1),
                "version": self._knowledge.cfg.version,
            },
        )
        self._knowledge.start(target)
        self._attempt.note_send(target.id)
        self._hedge_at = at + _slow_after(HEDGE_FACTOR, choice)
        task = asyncio.get_running_loop().create_task(self._send(choice))
        self._sends.add(task)
        return None

    async def _send(self, choice):
        """Send to the target of a `Choice` and return the `Result`."""
        target = choice.candidate.target
        started = now()
        fate = Fate.ABANDONED
        stuck = asyncio.get_running_loop().call_later(
            _slow_after(STUCK_FACTOR, choice), self._note_stuck, choice
        )
        try:
            fate, reply = await self._exchange(target)
        finally:
            seconds = now() - started
            is_stuck = stuck.when() <= asyncio.get_running_loop().time()
            stuck.cancel()
            self._knowledge.end(target)
            if fate in NOT_SENT:
                self._attempt.take_back(target.id)
            else:
                self._attempt.note_fate(fate)
            if fate is Fate.ABANDONED and seconds > _slow_after(HEDGE_FACTOR, choice):
                fate = Fate.TIMED_OUT
            has_waits = Part.WORK_TIMES in self._knowledge.settings.off
            work = seconds if has_waits else seconds / choice.load
            if not is_stuck:
                self._knowledge.note(target, self._ask.route, fate, work)
            elif fate is Fate.WHOLE:
                self._knowledge.note_late(target, self._ask.route, work)
        if fate is not Fate.WHOLE:
            self._log_failure(target, fate, reply, seconds)
        return Result(target, fate, reply, seconds)

    def _note_stuck(self, choice):
        target = choice.candidate.target
        self._knowledge.note(target, self._ask.route, Fate.TIMED_OUT, 0.0)
        log.info(
            "stuck",
            extra={
                "request": self._ask.id.decode("latin-1"),
                "target": target.id,
                "expected": round(choice.expected, 3),
            },
        )

    def _log_failure(self, target, fate, reply, seconds):
        log.info(
            "send failed",
            extra={
                "request": self._ask.id.decode("latin-1"),
                "target": target.id,
                "fate": fate.value,
                "status": reply.status if reply else None,
                "seconds": round(seconds, 4),
                "key": self._request_key() if fate is Fate.BROKEN else None,
                **self._describe_connection(target),
            },
        )

    def _describe_connection(self, target):
        """Return log fields that tell a dead connection from a failing target."""
        connection = self._connections.get(target.id)
        if connection is None:
            return {"connection": "none"}
        if isinstance(connection, Unconnected):
            return {"connection": connection.value}
        kind = "kept" if connection.idle > 0.0 else "new"
        age, idle = round(connection.age, 3), round(connection.idle, 3)
        return {"connection": kind, "age": age, "idle": idle}

    def _idle_most(self):
        is_order = not self._ask.route.kind.may_repeat
        return ORDER_IDLE_MOST if is_order else IDLE_MOST

    def _has_link(self, life):
        return self._links.has(life, self._idle_most())

    async def _exchange(self, target):
        """Get a connection, send, and return a fate and a `Reply` or None."""
        link = self._links.take(target.life, self._idle_most())
        is_new = link is None
        if link is None:
            link = await self._links.open(target)
            self._metrics.connections.inc({"service": target.service})
        if isinstance(link, Unconnected):
            self._connections[target.id] = link
            if link is Unconnected.REFUSED:
                self._endings.note_refused(target)
            return Fate.UNREACHED, None
        at = now()
        idle = 0.0 if is_new else at - link.used_at
        self._connections[target.id] = Connection(at - link.opened_at, idle)
        is_late = self._time_left() <= 0 or self._ask.caller.is_gone()
        if is_late or not self._knowledge.is_usable(target):
            self._links.put_unused(target.life, link)
            return Fate.UNSENT, None
        return await self._talk(target, link)

    async def _talk(self, target, link):
        """Send on a connection and read the answer."""
        ask = self._ask
        exchange = link.begin(make_head(ask, target, self._time_left()), ask.id)
        fate = None
        is_done = False
        try:
            if ask.rest is not None:
                self._is_rest_begun = True
                sending = asyncio.ensure_future(_send_body(link, ask))
                await exchange.collect(HELD_MOST)
                sending.cancel()
            else:
                await exchange.collect(HELD_MOST)
            if exchange.fate is None and exchange.has_head:
                fate, reply = judge_head(exchange, Rest(exchange, link))
                is_done = fate is Fate.WHOLE
                # Of a long answer that is a failure nobody will read the rest.
                return fate, reply if is_done else None
            fate, reply = judge(exchange)
            return fate, reply
        finally:
            self._note_run(target, exchange, fate)
            if not is_done:
                self._links.put_back(target.life, link)

    def _note_run(self, target, exchange, fate):
        """
        Take what a send tells of its target and this request together.

        Args:
          target: The `Target`.
          exchange: The `Exchange`.
          fate: The `Fate`, or None if the send was given up.
        """
        if fate is Fate.BROKEN and not exchange.has_head:
            self._endings.note_broken(target, self._request_key())
        elif fate in RAN:
            if len(self._knowledge.zone.suspects):
                note = RunNote(self._request_key(), target.life, False)
                self._knowledge.note_run(note)
        elif fate is None and self._attempt.stage is not Stage.ANSWERED:
            self._endings.note_unanswered(target, self._request_key())


async def _send_body(link, ask):
    """
    Pass a long body on; if its caller breaks off, so does the connection.

    The target would wait for the rest until its time is over otherwise.
    """
    try:
        await link.send_body(frame_body(ask))
    except (web.RequestPayloadError, OSError) as exc:
        log.info(
            "upload broke off",
            extra={"request": ask.id.decode("latin-1"), "cause": type(exc).__name__},
        )
        link.close()


def _drop(reply):
    """Let go of an answer that came beside the one that was passed on."""
    if reply is not None and reply.rest is not None:
        reply.rest.close()


def _slow_after(factor, choice):
    """Return the seconds after which a send is slow, by a factor of the expected."""
    return max(SLOW_LEAST, factor * choice.expected)


def _has_no_room(choice, demand):
    """Return whether even the best target would answer only after the time is over."""
    candidate = choice.candidate
    is_full = candidate.in_flight >= candidate.target.slots
    return is_full and choice.expected >= demand.time_left


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
    return has_room and candidate.fails < HEDGE_FAILS_MOST
