"""
One send of a request to one target, over a connection that is kept or new.
"""

import asyncio
import logging
from typing import NamedTuple

from aiohttp import web

from plumsaddle_core.core.traffic import Reply, SendOutcome

from .clock import now
from .link import ConnectFailure
from .outgoing import frame_body, make_head
from .verdict import Rest, judge, judge_head

log = logging.getLogger("relay")
# Answers up to this many bytes are held back until they are whole, so that one that
# breaks off can still be replaced. Longer ones are passed on while they come.
HELD_MOST = 65536
# An order waits on a kept connection only if that was used just now, in seconds: the
# longer it has been idle, the likelier the target closes it at that very moment.
ORDER_IDLE_MOST = 6.0
IDLE_MOST = 60.0


class Connection(NamedTuple):
    """
    What connection a send had: `new`, `kept`, or why there was none.

    `age` and `idle` are in seconds.
    """

    kind: str
    age: float | None = None
    idle: float | None = None


class Sent(NamedTuple):
    """
    What one send came to.

    `has_begun_rest` is set once a part of a long body was read that is not kept.
    """

    fate: SendOutcome
    reply: Reply | None = None
    connection: Connection = Connection("none")
    has_begun_rest: bool = False


class Sender:
    """
    What sends the requests of one host.

    Args:
      knowledge: The `HostState`.
      links: The `ConnectionPool`.
      metrics: The `EdgeMetrics`.
      endings: The `CrashDetector`.
    """

    def __init__(self, knowledge, links, metrics, endings):
        self._knowledge = knowledge
        self._links = links
        self._metrics = metrics
        self._endings = endings

    def has_link(self, ask, life):
        """Return whether there is a kept connection for a request to a target."""
        return self._links.has_idle(life, _idle_most(ask))

    async def send(self, ask, target, suspicion):
        """
        Get a connection, send, and wait for the answer or its first part.

        Args:
          ask: The `Ask`.
          target: The `Target`.
          suspicion: The request's `Suspicion`.
        Returns:
          A `Sent`.
        """
        link = self._links.acquire(target.incarnation, _idle_most(ask))
        is_new = link is None
        if link is None:
            link = await self._links.open(target)
            self._metrics.connections.inc({"service": target.service})
        if isinstance(link, ConnectFailure):
            if link is ConnectFailure.REFUSED:
                self._endings.note_refused(target)
            return Sent(SendOutcome.UNREACHABLE, None, Connection(link.value))
        at = now()
        age = round(at - link.opened_at, 3)
        idle = 0.0 if is_new else round(at - link.last_used_at, 3)
        connection = Connection("new" if is_new else "kept", age, idle)
        is_late = ask.deadline <= at or ask.caller.is_gone()
        if is_late or not self._knowledge.is_usable(target):
            self._links.release_unused(target.incarnation, link)
            return Sent(SendOutcome.UNSENT, None, connection)
        fate, reply = await self._talk(ask, target, link, suspicion)
        return Sent(fate, reply, connection, ask.rest is not None)

    async def _talk(self, ask, target, link, suspicion):
        """Send on a connection, read the answer, and return a fate and a reply."""
        sent_at = now()
        exchange = link.start_exchange(
            make_head(ask, target, ask.deadline - sent_at), ask.id
        )
        fate = None
        is_done = False
        try:
            if ask.rest is not None:
                sending = asyncio.ensure_future(_send_body(link, ask))
                await exchange.wait_for_body(HELD_MOST)
                sending.cancel()
            else:
                await exchange.wait_for_body(HELD_MOST)
            if exchange.outcome is None and exchange.has_head:
                fate, reply = judge_head(exchange, Rest(exchange, link))
                is_done = fate is SendOutcome.SUCCEEDED
                # Of a long answer that is a failure nobody will read the rest.
                return fate, reply if is_done else None
            fate, reply = judge(exchange)
            return fate, reply
        finally:
            suspicion.note_send(target, exchange, fate)
            if exchange.has_head:
                self._knowledge.limits.note_answer(
                    target, exchange.headers, fate, sent_at, ask.id
                )
            if not is_done:
                self._links.release(target.incarnation, link)


def _idle_most(ask):
    """Return the most seconds for which a connection may have been idle."""
    return IDLE_MOST if ask.route.kind.is_idempotent else ORDER_IDLE_MOST


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
