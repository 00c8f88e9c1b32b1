"""
One request in flight: its sends, retries and hedges, and its refusals.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from plumsaddle_core.core.features import Feature
from plumsaddle_core.core.traffic import SendOutcome
from plumsaddle_core.limits.targets import max_token_wait
from plumsaddle_core.ops.attempt import NOT_SENT, Attempt
from plumsaddle_core.ops.choice import ChoiceRule
from plumsaddle_core.ops.paths import PathState
from plumsaddle_core.ops.urgency import max_wait_fraction

from .clock import now
from .outgoing import position_field
from .refusals import Refusal, RefusalCause
from .send_runner import HEDGE_FACTOR, SendRunner, slow_threshold
from .suspect_check import SuspectCheck
from .turns import Turns
from .verdict import reply_length

log = logging.getLogger("relay")
# Seconds after which hedging is tried again if no target was suitable.
HEDGE_RETRY_INTERVAL = 0.1
RETRY_CAUSE_SLOW = "slow"
# Maximum estimated failure probability of the target of a hedge. A target about which
# nothing is known fails a fifth of its requests.
MAX_HEDGE_FAILURE_PROBABILITY = 0.25
# Seconds after which an isolated host may have found a path, and the longest time that
# is added at random so that callers don't return together.
ISOLATED_RETRY_AFTER = 0.5
ISOLATED_RETRY_SPREAD = 0.5
# Number of sends without a byte written after which a request is refused.
MAX_UNREACHABLE = 3


class Sends(NamedTuple):
    """What the turns of a request use of it, as functions."""

    profile: Callable
    choose: Callable
    may_end: Callable
    tried_targets: Callable
    may_spend_retry: Callable
    retry_wait: Callable
    note_retry_denied: Callable
    start: Callable


class ActiveRequest:
    """A request in flight."""

    def __init__(self, request, knowledge, sender, metrics, crash_detector, waiting):
        self._request = request
        self._knowledge = knowledge
        self._sender = sender
        self._metrics = metrics
        self._attempt = Attempt(request.route.kind, request.route.max_attempts)
        self._suspect_check = SuspectCheck(
            request, self._attempt, knowledge, crash_detector
        )
        self._send_runner = SendRunner(
            request, knowledge, sender, self._attempt, self._suspect_check
        )
        self._turns = Turns(
            request,
            knowledge,
            waiting,
            self._suspect_check,
            Sends(
                self._profile,
                self._choose,
                self._may_end,
                self._tried_targets,
                self._may_spend_retry,
                self._retry_wait,
                self._note_retry_denied,
                self._start_send,
            ),
        )
        self._unsent_cause = None
        self._excluded = set()
        self._send_tasks = set()
        self._unreachable_count = 0
        self._is_hedged = False
        self._hedge_at = 0.0
        self._last_send = None
        self._aborted = asyncio.get_running_loop().create_future()

    async def wait_for_probes(self):
        """Wait until it is known whether former sends of the request were crashes."""
        await self._suspect_check.wait_for_probes()

    def check_hold(self):
        """Return the refusal of a request that is held back, or None."""
        held_for = self._suspect_check.hold_remaining()
        if not held_for:
            return None
        fields = {
            "key": self._suspect_check.key,
            "lives": self._suspect_check.crash_count,
        }
        return self._refuse(RefusalCause.HELD, held_for, **fields)

    def abort(self):
        """Refuse the request, with a status according to its sends so far."""
        if not self._aborted.done():
            self._aborted.set_result(None)

    def cancel_sends(self):
        """Cancel all outstanding sends and close their connections."""
        for task in self._send_tasks:
            if task.done() and not task.cancelled():
                _close_reply(task.result().reply)
            task.cancel()

    async def serve(self):
        """Send until there is a response or no further send is allowed."""
        refusal = await self._send_next(None)
        if refusal is not None:
            return refusal
        while True:
            done = await self._wait()
            if done == {self._aborted}:
                return self._give_up(RefusalCause.DRAINING)
            if not done:
                if self._time_left() <= 0:
                    return self._give_up(RefusalCause.DEADLINE_EXCEEDED)
                # The first send may have begun with a streamed body meanwhile.
                if self._may_hedge():
                    await self._hedge()
                continue
            # Responses that have arrived are returned even if the request is aborted.
            for task in done - {self._aborted}:
                self._send_tasks.discard(task)
                completed = task.result()
                if completed.outcome is SendOutcome.SUCCEEDED:
                    self._knowledge.note_response_size(
                        self._request.route, reply_length(completed.reply)
                    )
                    return self._log_response(completed)
                result = await self._handle_failure(completed)
                if result is not None:
                    return result

    def _time_left(self):
        return self._request.deadline - now()

    def _typical_duration(self):
        """Return the typical duration of requests of this route, in seconds."""
        return self._knowledge.shared.times.typical_duration(
            self._request.service, self._request.route.name
        )

    async def _wait(self):
        """Wait until a send completes, a hedge is due or the deadline has passed."""
        timeout = max(0.0, self._time_left())
        if self._may_hedge():
            timeout = min(timeout, max(0.0, self._hedge_at - now()))
        done, _ = await asyncio.wait(
            {*self._send_tasks, self._aborted},
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return done

    def _may_hedge(self):
        return (
            not self._is_hedged
            and Feature.HEDGING not in self._knowledge.settings.disabled_features
            and self._request.route.kind.is_idempotent
            and self._attempt.may_send()
            and not self._request.is_body_taken
            and self._suspect_check.may_hedge()
        )

    async def _hedge(self):
        """
        Send a slow idempotent request to a second target, if one is suitable.

        Otherwise hedging is tried again after `HEDGE_RETRY_INTERVAL`.
        """
        sends = self._attempt.sends
        may_send = self._sender.may_send_twice(self._request)
        if may_send and self._knowledge.may_hedge(
            self._request.service, self._request.urgency
        ):
            self._send_now(RETRY_CAUSE_SLOW)
        self._is_hedged = self._attempt.sends > sends
        if not self._is_hedged:
            self._hedge_at = now() + HEDGE_RETRY_INTERVAL

    async def _handle_failure(self, completed):
        """
        Retry after a failed send, if that is allowed.

        Returns:
          The final `Reply` or `Refusal`, or None if a send is outstanding.
        """
        self._last_send = completed
        self._excluded.add(completed.target.id)
        if completed.outcome in NOT_SENT:
            self._unreachable_count += 1
        if self._send_tasks:
            return None
        if self._unreachable_count >= MAX_UNREACHABLE:
            return self._give_up(RefusalCause.UNREACHABLE)
        if self._request.caller.is_gone():
            return self._give_up(RefusalCause.CALLER_GONE)
        if not self._suspect_check.may_retry():
            return self._final_result(completed)
        if not self._attempt.may_send() or self._request.is_body_taken:
            return self._final_result(completed)
        # Where requests are queued, one that the budget denies now waits for it.
        if not self._knowledge.is_queueing and not self._may_spend_retry():
            self._note_retry_denied()
            return self._final_result(completed)
        refusal = await self._send_next(completed.outcome.value)
        return None if refusal is None else self._final_result(completed)

    def _may_spend_retry(self):
        """Return whether the retry budget admits a send, if the next one needs it."""
        request = self._request
        return not self._attempt.sends or self._knowledge.may_retry(
            request.service, request.urgency
        )

    def _retry_wait(self):
        """Return the seconds until the retry budget may admit a send."""
        request = self._request
        return self._knowledge.retry_wait(request.service, request.urgency)

    def _note_retry_denied(self):
        self._metrics.retries_denied.inc({"service": self._request.service})

    def _final_result(self, completed):
        """Return the `Reply` or `Refusal` when no further send is allowed."""
        if completed.reply is not None and self._may_forward(completed):
            return self._log_response(completed)
        if self._attempt.is_known_not_run():
            return self._refuse(RefusalCause.NOT_RUN)
        return self._refuse(RefusalCause.TARGET_FAILED)

    def _may_forward(self, completed):
        """
        Return whether the error response of a target may be forwarded to the caller.

        Statuses that promise that the request has not run are not forwarded, since it
        may have run at another target.
        """
        if completed.outcome not in (SendOutcome.FAILED, SendOutcome.TIMED_OUT):
            return False
        return completed.reply.status not in (408, 421, 429, 503)

    def _give_up(self, cause):
        if cause is RefusalCause.DEADLINE_EXCEEDED and self._attempt.is_known_not_run():
            return self._refuse(RefusalCause.OVERLOADED)
        return self._refuse(cause)

    def _refuse(self, cause, retry_delay=None, **fields):
        request = self._request
        log.info(
            "refused",
            extra={
                "request": request.id.decode("latin-1"),
                "cause": cause.value,
                "route": request.route.name,
                "service": request.service,
                "targets": self._attempt.targets,
                "last": self._last_send.outcome.value if self._last_send else None,
                "seconds": round(now() - request.started_at, 4),
                "version": self._knowledge.cfg.version,
                **position_field(request.position),
                **self._turn_fields(),
                **fields,
            },
        )
        self._metrics.refusals.inc({"cause": cause.value})
        retry_delay = self._retry_after() if retry_delay is None else retry_delay
        return Refusal(cause, not self._attempt.is_known_not_run(), retry_delay)

    def _turn_fields(self):
        """Return the fields of a refusal that explain the request's turns."""
        if not self._knowledge.is_queueing:
            return {}
        fields = self._turns.log_fields()
        if self._unsent_cause is not None:
            fields["unsent"] = self._unsent_cause.value
        return fields

    def _retry_after(self):
        """
        Return the seconds after which capacity is likely to be available.

        This is never before a target's backoff ends, and spread so that
        callers refused together don't return together.
        """
        service = self._request.service
        spread = self._typical_duration() * self._knowledge.rng.uniform(0.5, 1.5)
        backoff = self._knowledge.selection.backoff(service, now())
        return max(backoff, self._turns.expected_wait()) + spread

    def _log_response(self, completed):
        request = self._request
        log.info(
            "answered",
            extra={
                "request": request.id.decode("latin-1"),
                "status": completed.reply.status,
                "route": request.route.name,
                "targets": self._attempt.targets,
                "seconds": round(now() - request.started_at, 4),
                "workspace": request.owner.name,
                **position_field(request.position),
            },
        )
        self._metrics.answers.inc({"status": str(completed.reply.status)})
        return completed.reply

    # A single send.

    async def _send_next(self, retry_cause):
        """
        Start a send to the best of the remaining targets, at once or in its turn.

        Args:
          retry_cause: Why the request is sent again, or None for its first send.
        Returns:
          A `Refusal` if no target may be used, otherwise None.
        """
        if self._knowledge.paths.state is PathState.ISOLATED:
            if retry_cause is not None:
                return self._refusal_of_retry(RefusalCause.NO_PATH)
            spread = self._knowledge.rng.uniform(0.0, ISOLATED_RETRY_SPREAD)
            return self._refuse(RefusalCause.NO_PATH, ISOLATED_RETRY_AFTER + spread)
        if not self._knowledge.is_queueing:
            return self._send_now(retry_cause)
        cause = await self._turns.send(retry_cause, self._aborted)
        if cause is None:
            return None
        if retry_cause is not None:
            self._unsent_cause = cause
            return self._refusal_of_retry(cause)
        if cause is RefusalCause.HELD:
            return self.check_hold() or self._refuse(RefusalCause.NOT_RUN)
        return self._refuse(cause)

    def _refusal_of_retry(self, cause):
        """
        Return the `Refusal` of a further send, which is not logged.

        The outcome of the former send decides on the refusal that is.
        """
        return Refusal(cause, not self._attempt.is_known_not_run())

    def _send_now(self, retry_cause):
        """
        Start a send to the best of the remaining targets.

        Args: as for `_send_next`.
        Returns:
          A `Refusal` if no target may be used. None if a send was started, or if no
          target is suitable for a hedge.
        """
        request = self._request
        at = now()
        profile = self._profile(at)
        max_wait = (
            0.0
            if retry_cause == RETRY_CAUSE_SLOW
            else max_token_wait(profile, request.urgency)
        )
        choice = self._choose(profile, self._tried_targets(), at, max_wait)
        if retry_cause == RETRY_CAUSE_SLOW and not (
            _is_worth_hedging(choice) and self._may_end(choice, at)
        ):
            return None
        if choice is None:
            return self._refuse_without_target(at)
        if not self._may_end(choice, at):
            return self._refuse_late(retry_cause)
        if (
            _would_miss_deadline(choice, profile, request.urgency)
            and self._attempt.is_known_not_run()
        ):
            return self._refuse(RefusalCause.OVERLOADED)
        self._start_send(choice, retry_cause, at)
        return None

    def _profile(self, at):
        """Return the current `RequestProfile`."""
        request = self._request
        response_bytes = self._knowledge.typical_response_bytes(request.route)
        kilobytes = ((request.length or 0) + response_bytes) / 1024
        return self._knowledge.request_profile(
            request.route,
            request.service,
            request.started_at,
            request.deadline,
            kilobytes,
            at,
        )

    def _tried_targets(self):
        return self._excluded | set(self._attempt.targets)

    def _choose(self, profile, excluded, at, max_wait):
        return self._knowledge.selection.choose(
            self._request.service, profile, excluded, self._has_connection, at, max_wait
        )

    def _may_end(self, choice, at):
        """Return whether a send to the target of a `Choice` ends before the host."""
        return self._knowledge.grace.may_send(
            self._request, at + choice.candidate.wait, choice.slowdown
        )

    def _refuse_late(self, retry_cause):
        """Return the refusal of a send that would not end before the host."""
        if retry_cause is not None:
            return self._refusal_of_retry(RefusalCause.DRAINING)
        return self._refuse(RefusalCause.DRAINING, 0.0)

    def _start_send(self, choice, retry_cause, at, reason=None):
        """Start a send to the target of a `Choice`, for the `Reason` of its turn."""
        request = self._request
        target = choice.candidate.target
        if retry_cause is not None and self._attempt.sends:
            self._knowledge.shared.note_retry(request.service, at)
            self._metrics.retries.inc({"cause": retry_cause})
        if choice.rule is not ChoiceRule.BEST:
            self._metrics.trials.inc({"rule": choice.rule.value})
        log.info(
            "sent",
            extra={
                "request": request.id.decode("latin-1"),
                "target": target.id,
                "retry": retry_cause,
                "rule": choice.rule.value,
                "fails": round(choice.candidate.failure_probability, 3),
                "pace": round(choice.candidate.pace, 2),
                "in_flight": choice.candidate.in_flight,
                "near": choice.candidate.is_local,
                "expected": round(choice.expected_duration, 3),
                "entry_age": round(at - target.read_at, 1),
                "limit": self._knowledge.limits.rate(target),
                "wait": round(choice.candidate.wait, 3),
                "version": self._knowledge.cfg.version,
                **({} if request.rest is None else {"streamed": True}),
                **({} if reason is None else {"reason": reason.value}),
            },
        )
        self._knowledge.note_send_start(target)
        wait = choice.candidate.wait
        self._hedge_at = at + wait + slow_threshold(HEDGE_FACTOR, choice)
        if wait:
            sending = self._send_runner.run_after_wait(choice)
        else:
            self._attempt.note_send(target.id)
            sending = self._send_runner.run(choice)
        self._send_tasks.add(asyncio.get_running_loop().create_task(sending))

    def _refuse_without_target(self, at):
        """Return the refusal of a request for which no target is available."""
        service = self._request.service
        backoff = self._knowledge.selection.backoff(service, at)
        limits_wait = self._knowledge.limits.retry_after(service, at)
        if limits_wait is not None:
            wait = max(limits_wait, backoff)
            return self._refuse(
                RefusalCause.TARGETS_LIMITED, wait, retry_after=round(wait, 3)
            )
        if backoff:
            wait = self._retry_after()
            return self._refuse(
                RefusalCause.BACKING_OFF, wait, retry_after=round(wait, 3)
            )
        return self._refuse(RefusalCause.NO_TARGET)

    def _has_connection(self, incarnation):
        return self._sender.has_connection(self._request, incarnation)


def _close_reply(reply):
    """Close the connection of a streamed reply that is not forwarded."""
    if reply is not None and reply.rest is not None:
        reply.rest.close()


def _would_miss_deadline(choice, profile, urgency):
    """
    Return whether the best target has no free slot and would respond too late.

    Less urgent requests may use up only a part of their remaining time.
    """
    candidate = choice.candidate
    is_full = candidate.in_flight >= candidate.target.slots
    return (
        is_full
        and choice.expected_duration >= profile.time_left * max_wait_fraction(urgency)
    )


def _is_worth_hedging(choice):
    """
    Return whether the target of a choice is suitable for a hedge.

    If all slots are taken, requests are slow because they queue, and hedges would
    lengthen the queues.
    """
    if choice is None:
        return False
    candidate = choice.candidate
    has_room = candidate.in_flight < candidate.target.slots
    return has_room and candidate.failure_probability < MAX_HEDGE_FAILURE_PROBABILITY
