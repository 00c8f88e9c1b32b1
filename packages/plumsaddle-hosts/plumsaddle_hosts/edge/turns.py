"""
The turns of one request: at each, it is sent, waits on, or is refused.

The core decides (`scheduling.decision`); this module collects what the host knows for
the decision, and checks last what may have changed while the request waited.
"""

import asyncio

from plumsaddle_core.core.traffic import SendOutcome
from plumsaddle_core.limits.targets import max_token_wait
from plumsaddle_core.ops.choice import ChoiceRule
from plumsaddle_core.ops.urgency import request_priority
from plumsaddle_core.scheduling.decision import (
    NO_OUTLOOK,
    Need,
    Option,
    Reason,
    Verdict,
    decide,
    is_clear,
    latest_start,
    next_attempt_delay,
)
from plumsaddle_core.scheduling.queue import Ticket
from plumsaddle_core.scheduling.room import effective_urgency, max_in_flight
from plumsaddle_core.scheduling.view import crowded_targets

from .clock import now
from .refusals import RefusalCause
from .waiting import REQUEST_OVERHEAD, Postponed, Waiter, rank_name

# Seconds after which a request that the retry budget denied is tried again.
RETRY_DENIED_DELAY = 0.1
# A non-empty set of excluded targets rules out a floor trial. A request may be one at
# its first turn only, since the later ones say nothing about the demand.
NO_FLOOR_TRIAL = frozenset({""})


class Turns:
    """
    The turns of one request.

    Args:
      request: The `ProxyRequest`.
      knowledge: The `HostState`.
      waiting: The `WaitingRequests`.
      suspect_check: The request's `SuspectCheck`.
      sends: The `Sends`, functions of the request's `ActiveRequest`.
    """

    def __init__(self, request, knowledge, waiting, suspect_check, sends):
        self._request = request
        self._knowledge = knowledge
        self._waiting = waiting
        self._suspect_check = suspect_check
        self._sends = sends
        self._priority = request_priority(request.route, request.owner.workspace)
        self._count = 0
        self._rejections = 0
        self._is_retry_denied = False
        self._waited = 0.0

    async def send(self, retry_cause, aborted):
        """
        Start a send, after a wait for a better moment if that serves the caller better.

        Args:
          retry_cause: Why the request is sent again, or None for its first send.
          aborted: A future that is done when the host shuts down.
        Returns:
          None if a send was started, otherwise the `RefusalCause`.
        """
        request = self._request
        delay, reason = self._rejection_delay(retry_cause), None
        if not delay and not self._waiting.count_ahead(request.service, *self._place):
            result = self._take(retry_cause, is_queued=False)
            if not isinstance(result, Postponed):
                return result
            delay, reason = result.delay, result.reason.value
        at = now()
        ticket = self._make_ticket(retry_cause, at, delay, reason)
        try:
            return await self._waiting.wait(request.service, ticket, aborted)
        finally:
            self._waited += now() - at

    def expected_wait(self):
        """Return the seconds after which a request like this would get its turn."""
        return self._waiting.expected_wait(
            self._request.service, *self._place, self._typical_duration()
        )

    def log_fields(self):
        """Return the fields of log lines that explain the request's place in queues."""
        fields = {"rank": rank_name(self._priority)}
        if self._waited:
            fields["waited"] = round(self._waited, 4)
        if self._request.owner.name is not None:
            fields["workspace"] = self._request.owner.name
        return fields

    @property
    def _place(self):
        return self._priority, self._request.owner.name

    def _typical_duration(self):
        request = self._request
        times = self._knowledge.shared.times
        return times.typical_duration(request.service, request.route.name)

    def _rejection_delay(self, retry_cause):
        """Return the seconds until an attempt after a rejection, or 0.0."""
        if retry_cause != SendOutcome.NOT_RUN.value:
            return 0.0
        self._rejections += 1
        return next_attempt_delay(
            self._rejections, self._request.deadline - now(), self._knowledge.rng
        )

    def _make_ticket(self, retry_cause, at, delay, reason):
        request = self._request
        duration = self._typical_duration()
        waiter = Waiter(
            lambda: self._take(retry_cause, is_queued=True),
            request.caller.is_gone,
            lambda: not self._knowledge.grace.may_send(request, now()),
            asyncio.get_running_loop().create_future(),
            {
                "request": request.id.decode("latin-1"),
                "route": request.route.name,
                "service": request.service,
                "retry": retry_cause,
                "reason": reason,
                **self.log_fields(),
            },
        )
        return Ticket(
            self._priority,
            request.owner.name,
            at,
            request.started_at + request.route.latency_objective - duration,
            latest_start(request.deadline, duration),
            request.deadline,
            duration,
            len(request.body) + REQUEST_OVERHEAD,
            waiter,
            at + delay,
        )

    # A turn.

    def _take(self, retry_cause, is_queued):
        """
        Send if this is a good moment.

        Returns:
          None if a send was started, a `RefusalCause`, or `Postponed`.
        """
        request, at = self._request, now()
        if request.caller.is_gone():
            return RefusalCause.CALLER_GONE
        if self._is_held(retry_cause):
            return RefusalCause.HELD
        if not self._sends.may_spend_retry():
            return self._postpone_retry(at)
        profile = self._sends.profile(at)
        need = Need(
            request.route.kind.is_idempotent,
            profile.typical_duration,
            profile.objective_left,
            profile.time_left,
        )
        urgency = self._urgency(need, at)
        choice = self._choose(profile, urgency, at)
        self._count += 1
        if choice is None:
            return self._postpone_without_target(need, at)
        if not self._sends.may_end(choice, at):
            return RefusalCause.DRAINING
        decision = self._decide(choice, need, urgency, at)
        if decision.verdict is Verdict.REFUSE:
            is_first = self._count == 1
            return RefusalCause.OVERLOADED if is_first else RefusalCause.WAITED_IN_VAIN
        if decision.verdict is Verdict.WAIT:
            return Postponed(decision.reason)
        pace = self._waiting.pace(request.service, need.typical_duration, at)
        is_pressing = decision.is_pressing or not is_queued
        if pace is not None and not pace.may_send(self._rank_urgency(), is_pressing):
            return Postponed(Reason.PACED)
        self._sends.start(choice, retry_cause, at, decision.reason)
        if pace is not None:
            pace.note_send()
        return None

    def _is_held(self, retry_cause):
        """Return whether targets may have crashed under the request meanwhile."""
        if retry_cause is None:
            return bool(self._suspect_check.hold_remaining())
        return not self._suspect_check.may_retry()

    def _rank_urgency(self):
        return self._knowledge.rank_urgency(self._request.service, self._priority)

    def _urgency(self, need, at):
        request = self._request
        return effective_urgency(
            self._rank_urgency(),
            at - request.started_at,
            request.route.latency_objective - need.typical_duration,
        )

    def _choose(self, profile, urgency, at):
        """
        Return the best `Choice` among targets that the request should join, if any.

        If there is none, the best of all is returned.
        """
        service = self._request.service
        tried = self._sends.tried_targets()
        max_wait = max_token_wait(profile, self._request.urgency)
        view = self._waiting.view(service, at)
        excluded = tried | (NO_FLOOR_TRIAL if self._count else set())
        if not view.is_scarce:
            choice = self._sends.choose(profile, excluded, at, max_wait)
            if choice is None or _may_join(choice, urgency):
                return choice
        crowded = crowded_targets(view, tried, urgency, self._knowledge.rng)
        choice = self._sends.choose(profile, excluded | crowded, at, max_wait)
        return choice or self._sends.choose(profile, excluded, at, max_wait)

    def _decide(self, choice, need, urgency, at):
        """Return the `Decision` on a choice; a trial is sent as it is."""
        candidate = choice.candidate
        is_trial = choice.rule is not ChoiceRule.BEST
        option = Option(
            0.0 if is_trial else candidate.failure_probability,
            0 if is_trial else candidate.in_flight,
            max_in_flight(candidate.target.slots, urgency),
            candidate.wait + choice.expected_duration,
        )
        if is_clear(option):
            return decide(option, NO_OUTLOOK, need)
        return decide(
            option, self._waiting.view(self._request.service, at).outlook, need
        )

    def _postpone_retry(self, at):
        """
        Return `Postponed` for a request that the retry budget denies now.

        If the budget is used up until the request's time is up, it is refused at once.
        """
        if not self._is_retry_denied:
            self._is_retry_denied = True
            self._sends.note_retry_denied()
        wait = self._sends.retry_wait()
        if at + wait >= latest_start(self._request.deadline, self._typical_duration()):
            return RefusalCause.NO_RETRY
        return Postponed(Reason.NO_RETRY_LEFT, max(wait, RETRY_DENIED_DELAY))

    def _postpone_without_target(self, need, at):
        """Return `Postponed` if a target may be sent to in time, or a refusal cause."""
        service = self._request.service
        backoff = self._knowledge.selection.backoff(service, at)
        limits_wait = self._knowledge.limits.retry_after(service, at)
        wait = max(backoff, limits_wait or 0.0)
        if limits_wait is not None:
            cause, reason = RefusalCause.TARGETS_LIMITED, Reason.TARGETS_LIMITED
        elif backoff:
            cause, reason = RefusalCause.BACKING_OFF, Reason.BACKING_OFF
        else:
            return RefusalCause.NO_TARGET
        may_wait = wait > 0.0 and wait + need.typical_duration < need.time_left
        return Postponed(reason, wait) if may_wait else cause


def _may_join(choice, urgency):
    """Return whether a request of an urgency may join the target of a choice."""
    candidate = choice.candidate
    room = max_in_flight(candidate.target.slots, urgency)
    return candidate.in_flight < room or choice.rule is not ChoiceRule.BEST
