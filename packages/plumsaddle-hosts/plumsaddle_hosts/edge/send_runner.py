"""
Runs the sends of one request, and reports their outcomes.

A send may first wait for the rate limit of its target. It counts as in flight from the
decision to send, so that other requests do not choose the same slot.
"""

import asyncio
import functools
import logging
from typing import Any, NamedTuple

from plumsaddle_core.core.features import Feature
from plumsaddle_core.core.traffic import Reply, SendOutcome
from plumsaddle_core.ops.attempt import NOT_SENT

from .clock import now
from .receipt import when_received
from .send_timing import SendTiming
from .sender import SendResult
from .verdict import ReplyRest

log = logging.getLogger("relay")
# The multiple of its expected duration, including queueing at the target, after which
# a send is overdue and counts as failed in the health of the target. Requests to a
# healthy target exceed it about once in a hundred.
OVERDUE_FACTOR = 3.0
# The multiple of the expected duration after which an idempotent request is hedged.
HEDGE_FACTOR = 2.2
# The multiple of the expected duration after which paths are checked if no target has
# sent anything since the request was sent.
CHECK_FACTOR = 2.0
# Minimum seconds before a send counts as slow. Shorter delays may come from a busy
# processor or a lost packet and say nothing about the target.
MIN_SLOW_DURATION = 0.1
# Seconds for which a response was not read, since its caller is slow, from which on a
# target that cuts it is not to blame.
MIN_UNREAD_TIME = 0.5


class CompletedSend(NamedTuple):
    """The outcome of one send to a target; `seconds` is its duration."""

    target: Any
    outcome: SendOutcome
    reply: Reply | None
    seconds: float


class SendRunner:
    """
    The sends of one request.

    Args:
      request: The `ProxyRequest`.
      knowledge: The `HostState`.
      sender: The `Sender`.
      attempt: The request's `Attempt`.
      suspect_check: The request's `SuspectCheck`.
    """

    def __init__(self, request, knowledge, sender, attempt, suspect_check):
        self._request = request
        self._knowledge = knowledge
        self._sender = sender
        self._attempt = attempt
        self._suspect_check = suspect_check

    async def run_after_wait(self, choice):
        """
        Send to a target once its rate limit allows it, and return the `CompletedSend`.

        The attempt records the send only after the wait, so a request refused earlier
        is known not to have run. The target may close itself meanwhile, and the host
        may lose its share of a rate limit.
        """
        target = choice.candidate.target
        may_send = False
        try:
            await asyncio.sleep(choice.candidate.wait)
            may_send = self._knowledge.may_send(
                target, now()
            ) and self._knowledge.grace.may_send(self._request, now(), choice.slowdown)
        finally:
            if not may_send:
                self._knowledge.note_send_end(target)
                self._knowledge.limits.release(target)
        if not may_send:
            return CompletedSend(
                target, SendOutcome.UNSENT, None, choice.candidate.wait
            )
        self._attempt.note_send(target.id)
        return await self.run(choice)

    async def run(self, choice):
        """Send to the target of a `Choice` and return the `CompletedSend`."""
        target = choice.candidate.target
        sent = SendResult(SendOutcome.ABANDONED)
        loop = asyncio.get_running_loop()
        limit = slow_threshold(OVERDUE_FACTOR, choice)

        def check_overdue():
            # Opening a connection has a timeout of its own.
            if timing.is_timer_late or timing.connection is None:
                timing.restart(loop.call_later(limit, check_overdue))
            else:
                self._note_overdue(choice, timing)

        def check_contact():
            if timing.is_direct and self._has_no_contact(timing):
                self._sender.prober.check_soon()

        overdue_timer = loop.call_later(limit, check_overdue)
        contact_timer = loop.call_later(
            slow_threshold(CHECK_FACTOR, choice), check_contact
        )
        timing = SendTiming(
            self._request.route.kind,
            overdue_timer,
            loop.time,
            choice.expected_duration,
        )
        try:
            sent = await self._sender.send(
                self._request,
                target,
                self._suspect_check,
                timing.note_head,
                timing.note_connected,
            )
        finally:
            timing.stop()
            contact_timer.cancel()
            fate, seconds = sent.outcome, timing.seconds
            when_received(
                sent.reply, functools.partial(self._knowledge.note_send_end, target)
            )
            if fate in NOT_SENT:
                self._attempt.undo_send(target.id)
                self._knowledge.limits.release(target)
            else:
                self._attempt.note_outcome(fate)
            is_slow = timing.waited > slow_threshold(HEDGE_FACTOR, choice)
            has_sent = timing.connection is not None
            if fate is SendOutcome.ABANDONED and has_sent and is_slow:
                fate = SendOutcome.TIMED_OUT
            note = functools.partial(self._note_end, choice, timing)
            if fate is SendOutcome.SUCCEEDED and isinstance(sent.reply.rest, ReplyRest):
                when_received(
                    sent.reply,
                    functools.partial(self._note_rest, sent.reply, timing, note),
                )
            else:
                note(fate, timing.is_overdue)
        if fate is not SendOutcome.SUCCEEDED:
            self._log_failure(target, sent._replace(outcome=fate), seconds)
        return CompletedSend(target, fate, sent.reply, seconds)

    def _note_end(self, choice, timing, outcome, is_late):
        """Note the outcome of a send; of a late one, the duration if it succeeded."""
        target = choice.candidate.target
        includes_queueing = (
            Feature.SERVICE_TIMES in self._knowledge.settings.disabled_features
        )
        service_time = timing.seconds
        if not includes_queueing:
            service_time /= choice.slowdown
        if not is_late:
            self._note_outcome(target, outcome, service_time, timing)
        elif outcome is SendOutcome.SUCCEEDED:
            self._knowledge.note_late_response(
                target, self._request.route, service_time
            )

    def _note_rest(self, reply, timing, note):
        """
        Note the end of a response whose rest was forwarded as it came.

        One that was cut at its deadline tells the least time that it takes.
        """
        timing.note_received(reply.rest.unread_time)
        outcome = reply.rest.outcome
        is_unread = reply.rest.unread_time >= MIN_UNREAD_TIME
        if outcome is SendOutcome.BROKEN and is_unread:
            # Targets may cut what is not read.
            return
        if outcome is not None:
            note(outcome, timing.is_overdue)
        elif now() >= reply.rest.deadline:
            note(SendOutcome.SUCCEEDED, True)

    def _has_no_contact(self, timing):
        """Return whether no target has sent anything since a response was expected."""
        return self._knowledge.paths.contact_at < timing.due_at

    def _note_outcome(self, target, outcome, seconds, timing):
        """
        Note the outcome of a send, unless this host's own path is the cause.

        While that is in doubt it is found out first, since other hosts believe what
        this one reports.
        """
        note = functools.partial(
            self._knowledge.note_outcome, target, self._request.route, outcome, seconds
        )
        is_silence = outcome is SendOutcome.TIMED_OUT and not timing.has_head
        is_reset = outcome is SendOutcome.BROKEN and not timing.has_head
        if outcome is SendOutcome.UNREACHABLE:
            self._sender.prober.blame_if_unreached(target, note)
        elif not (is_silence or is_reset):
            note()
        elif timing.is_tunnelled:
            # Either the target or the gateway may have failed.
            self._knowledge.note_path_failure(target)
        elif is_reset or self._has_no_contact(timing):
            self._sender.prober.blame_if_reached(target, note)
        elif not self._knowledge.paths.is_cause(target.incarnation, now()):
            note()

    def _note_overdue(self, choice, timing):
        target = choice.candidate.target
        seconds = 0.0
        if self._knowledge.scores_outcomes:
            # The least time that the target takes, from which its pace is learned.
            seconds = slow_threshold(OVERDUE_FACTOR, choice) / choice.slowdown
        self._note_outcome(target, SendOutcome.TIMED_OUT, seconds, timing)
        log.info(
            "stuck",
            extra={
                "request": self._request.id.decode("latin-1"),
                "target": target.id,
                "expected": round(choice.expected_duration, 3),
            },
        )

    def _log_failure(self, target, sent, seconds):
        log.info(
            "send failed",
            extra={
                "request": self._request.id.decode("latin-1"),
                "target": target.id,
                "fate": sent.outcome.value,
                "status": sent.reply.status if sent.reply else None,
                "seconds": round(seconds, 4),
                "key": self._suspect_check.key
                if sent.outcome is SendOutcome.BROKEN
                else None,
                # Distinguishes a stale connection from a failing target.
                "connection": sent.connection.kind,
                "end": sent.connection.end.value if sent.connection.end else None,
                "age": sent.connection.age,
                "idle": sent.connection.idle,
                "gateway": sent.connection.gateway,
            },
        )


def slow_threshold(factor, choice):
    """Return a multiple of the expected duration, at least `MIN_SLOW_DURATION`."""
    return max(MIN_SLOW_DURATION, factor * choice.expected_duration)
