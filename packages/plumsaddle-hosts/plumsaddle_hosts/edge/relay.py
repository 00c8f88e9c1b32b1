"""
From a request to the answer that its caller gets.

The relay chooses a target, sends, and looks at what comes back. A failed send of an
idempotent request is sent once more elsewhere, and one that is slow for its kind gets
a second send before the first has failed; an order or an upload is sent again only
when it certainly has not run. Each further send must fit this host's share of the
retries. A request that can't be served any more is answered at once.
"""

import asyncio
import logging
from typing import Any, NamedTuple

from plumsaddle_core.core.traffic import Fate, Reply, Route
from plumsaddle_core.ops.attempt import NOT_SENT, Attempt

from ..front.headers import HOP_BY_HOP
from ..platform import wire
from .clock import now
from .refusals import Cause, Refusal

log = logging.getLogger("relay")
# Answers up to this many bytes are held back until they are whole, so that one that
# breaks off can still be replaced. Longer ones are passed on while they come.
HELD_MOST = 65536
# A send that takes this many times the usual counts as failed for the choice of
# targets; sound work passes it about once in a hundred requests.
STUCK_FACTOR = 3.0
# An idempotent request gets its second send after this many times the usual.
HEDGE_FACTOR = 2.2
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
SET_HERE = {
    wire.TIME_LEFT.lower().encode(),
    wire.TARGET_ID.lower().encode(),
    b"content-length",
    b"expect",
}
STOPPED = {name.encode() for name in HOP_BY_HOP} | SET_HERE


class Ask(NamedTuple):
    """
    A request as the relay needs it.

    `body` is the whole body, or its first part if `rest` is an asynchronous iterator
    of the others. `length` is the body's length, or None if it is not known. Times
    are in seconds on the host's clock; `caller_deadline` is when the caller gives up
    and `deadline` when the route's time is over, if that is earlier.
    """

    id: bytes
    method: str
    path: str
    headers: list
    body: bytes
    rest: Any
    length: int | None
    route: Route
    service: str
    started: float
    deadline: float
    caller: Any


class Result(NamedTuple):
    """What one send came to."""

    target: Any
    fate: Fate
    reply: Reply | None
    seconds: float


class Relay:
    """
    The relay of one host.

    Args:
      knowledge: The `Knowledge`.
      links: The `Links`.
      metrics: The `EdgeMetrics`.
    """

    def __init__(self, knowledge, links, metrics):
        self._knowledge = knowledge
        self._links = links
        self._metrics = metrics

    async def run(self, ask):
        """
        Serve a request.

        Args:
          ask: The `Ask`.
        Returns:
          A `Reply` of a target, or a `Refusal`.
        """
        self._knowledge.zone.note_request(ask.service, now())
        run = _Run(ask, self._knowledge, self._links, self._metrics)
        try:
            answer = await run.serve()
            is_served = isinstance(answer, Reply) and answer.status < 500
            self._knowledge.zone.note_end(ask.service, is_served, now())
            return answer
        finally:
            run.cancel()


class _Run:
    """One request while it is served."""

    def __init__(self, ask, knowledge, links, metrics):
        self._ask = ask
        self._knowledge = knowledge
        self._links = links
        self._metrics = metrics
        self._attempt = Attempt(ask.route.kind, ask.route.tries_most)
        self._excluded = set()
        self._sends = set()
        self._unreached = 0
        self._is_hedged = False
        self._last = None

    def cancel(self):
        """Stop all sends that still run, by closing their connections."""
        for task in self._sends:
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

    def _usual(self):
        """Return the usual seconds of such a request."""
        return self._knowledge.zone.usual(self._ask.service, self._ask.route.name)

    async def _wait(self):
        """Wait for a send to end, for the moment of a second send, or the deadline."""
        timeout = max(0.0, self._time_left())
        if self._may_hedge():
            usual = self._usual()
            hedge_at = self._ask.started + HEDGE_FACTOR * usual
            timeout = min(timeout, max(0.0, hedge_at - now()))
        done, _ = await asyncio.wait(
            self._sends, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def _may_hedge(self):
        return (
            not self._is_hedged
            and self._ask.route.kind.may_repeat
            and self._attempt.may_send()
        )

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
        if not self._attempt.may_send() or self._ask.rest is not None:
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

    def _refuse(self, cause):
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
            },
        )
        self._metrics.refusals.inc({"cause": cause.value})
        return Refusal(cause, not self._attempt.may_promise(), self._pause())

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
        task = asyncio.get_running_loop().create_task(self._send(target))
        self._sends.add(task)
        return None

    async def _send(self, target):
        """Send to one target and return the `Result`."""
        started = now()
        fate = Fate.ABANDONED
        stuck = asyncio.get_running_loop().call_later(
            STUCK_FACTOR * self._usual(),
            self._note_stuck,
            target,
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
            if fate is Fate.ABANDONED and seconds > HEDGE_FACTOR * self._usual():
                fate = Fate.TIMED_OUT
            # A stuck send has been counted; its late answer does not undo that.
            if not is_stuck:
                self._knowledge.note(target, self._ask.route, fate, seconds)
        if fate is not Fate.WHOLE:
            self._log_failure(target, fate, reply, seconds)
        return Result(target, fate, reply, seconds)

    def _note_stuck(self, target):
        self._knowledge.note(target, self._ask.route, Fate.TIMED_OUT, 0.0)
        log.info(
            "stuck",
            extra={
                "request": self._ask.id.decode("latin-1"),
                "target": target.id,
                "usual": round(self._usual(), 3),
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
            },
        )

    def _idle_most(self):
        is_order = not self._ask.route.kind.may_repeat
        return ORDER_IDLE_MOST if is_order else IDLE_MOST

    def _has_link(self, target_id):
        return self._links.has(target_id, self._idle_most())

    async def _exchange(self, target):
        """Get a connection, send, and return a fate and a `Reply` or None."""
        link = self._links.take(target.id, self._idle_most())
        if link is None:
            link = await self._links.open(target)
            self._metrics.connections.inc({"service": target.service})
        if link is None:
            return Fate.UNREACHED, None
        is_late = self._time_left() <= 0 or self._ask.caller.is_gone()
        if is_late or not self._knowledge.is_usable(target):
            self._links.put_unused(target.id, link)
            return Fate.UNSENT, None
        return await self._talk(target, link)

    async def _talk(self, target, link):
        """Send on a connection and read the answer."""
        ask = self._ask
        exchange = link.begin(make_head(ask, target, self._time_left()), ask.id)
        is_done = False
        try:
            if ask.rest is not None:
                sending = asyncio.ensure_future(link.send_body(_frame(ask)))
                await exchange.collect(HELD_MOST)
                sending.cancel()
            else:
                await exchange.collect(HELD_MOST)
            if exchange.fate is None and exchange.has_head:
                is_done = True
                return _judge_head(exchange, Rest(exchange, link))
            return _judge(exchange)
        finally:
            if not is_done:
                self._links.put_back(target.id, link)


class Rest:
    """
    The rest of a long answer, read while it comes.

    Args:
      exchange: The `Exchange`.
      link: Its `Link`, which is closed afterwards.
    """

    def __init__(self, exchange, link):
        self._exchange = exchange
        self._link = link

    async def read(self):
        """Return the next part, b"" at the end, or None if the answer broke off."""
        exchange = self._exchange
        self._link.resume()
        while not exchange.body and exchange.fate is None:
            await exchange.wait()
        if exchange.body:
            part = bytes(exchange.body)
            exchange.body.clear()
            return part
        return b"" if exchange.fate is Fate.WHOLE else None

    def close(self):
        """Close the connection."""
        self._link.close()


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


def make_head(ask, target, time_left):
    """
    Return the bytes of a request to a target, with its body if that is whole.

    Args:
      ask: The `Ask`.
      target: The `Target`.
      time_left: The seconds that the target may take.
    """
    named = _named_by_connection(ask.headers)
    lines = [f"{ask.method} {ask.path} HTTP/1.1".encode("latin-1")]
    for name, value in ask.headers:
        lower = name.lower()
        if lower not in STOPPED and lower not in named:
            lines.append(name + b": " + value)
    lines.append(f"{wire.TIME_LEFT}: {max(1, int(time_left * 1000))}".encode())
    lines.append(f"{wire.TARGET_ID}: {target.id}".encode())
    if ask.length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif ask.length or ask.method not in ("GET", "HEAD"):
        lines.append(b"Content-Length: %d" % ask.length)
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if ask.length is None else head + ask.body


def _named_by_connection(headers):
    """Return the lower-case names of headers that a Connection header lists."""
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return named


async def _frame(ask):
    """Yield the parts of a long body in the framing that the head announced."""
    if ask.length is not None:
        async for part in ask.rest:
            yield part
        return
    if ask.body:
        yield _chunk(ask.body)
    async for part in ask.rest:
        yield _chunk(part)
    yield b"0\r\n\r\n"


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def _judge(exchange):
    """Return the fate and the `Reply` of an exchange that has ended."""
    if exchange.fate is not Fate.WHOLE:
        return Fate.BROKEN, None
    fate, reply = _judge_head(exchange, None)
    return fate, reply


def _judge_head(exchange, rest):
    """Return the fate that an answer's status and headers tell, and its `Reply`."""
    headers = {name.lower(): value for name, value in exchange.headers}
    body = bytes(exchange.body)
    exchange.body.clear()
    reply = Reply(exchange.status, exchange.headers, body, rest)
    if exchange.status == 421:
        return Fate.WRONG_TARGET, reply
    if wire.NOT_RUN.lower().encode() in headers:
        return Fate.NOT_RUN, reply
    if 200 <= exchange.status < 300:
        is_signed = wire.SIGNATURE.lower().encode() in headers
        is_plain = b"content-encoding" not in headers
        return (Fate.WHOLE if is_signed and is_plain else Fate.UNSIGNED), reply
    if exchange.status == 504:
        return Fate.TIMED_OUT, reply
    if exchange.status >= 500 or exchange.status in (408, 429):
        return Fate.FAILED, reply
    return Fate.WHOLE, reply
