"""
Requests that wait on this host for a better moment to be sent, and their turns.

A waiting request holds its memory, but no slot, token or connection. It gets a turn
when one of the host's own sends to its service ends, and at short intervals, in which
other hosts' reports may show room. The intervals are random, so that hosts that see the
same free slot do not all send to it at once; the host whose send ended comes first.

A request leaves the queue when it is sent, when its caller disconnects, when it can no
longer be answered in time, when more urgent requests fill the queue, and when the host
shuts down. In each case but the first it is known not to be sent by this host anymore.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from plumsaddle_core.scheduling.decision import Reason
from plumsaddle_core.scheduling.drain_rate import DrainRate
from plumsaddle_core.scheduling.pace import Pace
from plumsaddle_core.scheduling.queue import FairQueue
from plumsaddle_core.scheduling.view import TargetLoad, make_view

from .clock import now
from .refusals import RefusalCause

log = logging.getLogger("relay")
# Bounds of the queue of each service on a host.
MAX_WAITING = 256
MAX_WAITING_BYTES = 8 * 1024 * 1024
# Memory of a waiting request apart from its body, in bytes.
REQUEST_OVERHEAD = 4096
# Seconds between two turns while requests wait. The reports of other hosts come about
# every tenth of a second.
MIN_TURN_INTERVAL = 0.02
MAX_TURN_INTERVAL = 0.06
# Requests without room after which no other one of the service is tried in a turn.
MAX_FAILED_TURNS = 3
# Seconds for which the view of a service is kept.
VIEW_LIFETIME = 0.02


class Postponed(NamedTuple):
    """A request that is not sent yet, and the seconds until it should be tried."""

    reason: Reason
    delay: float = 0.0


class Waiter(NamedTuple):
    """
    The payload of a ticket.

    `take_turn` sends the request if this is a good moment; it returns None if it did, a
    `RefusalCause`, or `Postponed`. `is_too_late` tells whether the request could not
    end before the host does. `fields` are those of its log lines.
    """

    take_turn: Callable
    is_gone: Callable
    is_too_late: Callable
    result: asyncio.Future
    fields: dict[str, Any]


class WaitingRequests:
    """
    The waiting requests of one host, by service.

    Args:
      knowledge: The `HostState`.
      metrics: The `EdgeMetrics`.
    """

    def __init__(self, knowledge, metrics):
        self._knowledge = knowledge
        self._metrics = metrics
        self._queues = {}
        self._drain_rates = {}
        self._views = {}
        self._paces = {}
        self._timer = None
        self._services_with_room = set()
        self._reported_ranks = set()
        knowledge.on_send_end = self._note_send_end

    def count(self, service):
        """Return how many requests wait for a service."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    def count_ahead(self, service, rank, workspace):
        """Return how many waiting requests would get their turn before a new one."""
        queue = self._queues.get(service)
        return queue.count_ahead(rank, workspace, now()) if queue is not None else 0

    def expected_wait(self, service, rank, workspace, duration):
        """Return the seconds after which a new request would probably get its turn."""
        ahead = self.count_ahead(service, rank, workspace)
        if not ahead:
            return 0.0
        at = now()
        capacity = self._capacity(service, duration, at)
        return self._drain_rates[service].expected_wait(ahead, capacity, at)

    def _capacity(self, service, duration, at):
        """Return this host's part of the requests per second of the targets."""
        return self.view(service, at).capacity / duration / self._host_count()

    async def wait(self, service, ticket, aborted):
        """
        Let a request wait until it is sent or refused.

        Args:
          service: The service's name.
          ticket: Its `Ticket`, with a `Waiter`.
          aborted: A future that is done when the host shuts down.
        Returns:
          None if the request was sent, otherwise the `RefusalCause`.
        """
        queue = self._queues.setdefault(
            service, FairQueue(MAX_WAITING, MAX_WAITING_BYTES)
        )
        rate = self._drain_rates.setdefault(service, DrainRate())
        at = now()
        ahead = queue.count_ahead(ticket.rank, ticket.workspace, at)
        capacity = self._capacity(service, ticket.cost, at)
        if rate.is_hopeless(ahead, capacity, ticket.latest_start - at, at):
            self._count_refusal(service, ticket, RefusalCause.QUEUE_FULL)
            return RefusalCause.QUEUE_FULL
        for victim in queue.push(ticket):
            self._settle(service, victim, RefusalCause.QUEUE_FULL)
        rate.note_length(len(queue), at)
        waiter = ticket.payload
        log.info("queued", extra={**waiter.fields, "waiting": len(queue)})
        try:
            # What waits before it may only be short of a target that it has tried.
            self._serve(service, at)
            self._schedule_turn()
            await asyncio.wait(
                {waiter.result, aborted}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            queue.remove(ticket)
            rate.note_length(len(queue), now())
        if not waiter.result.done():
            self._count_refusal(service, ticket, RefusalCause.DRAINING)
            return RefusalCause.DRAINING
        return waiter.result.result()

    # What the turns of requests need to know.

    def view(self, service, at):
        """Return a recent `ServiceView`."""
        view, since = self._views.get(service, (None, 0.0))
        if view is None or not 0.0 <= at - since < VIEW_LIFETIME:
            view = self._make_view(service, at)
            self._views[service] = (view, at)
        return view

    def _make_view(self, service, at):
        """
        Return the `ServiceView` of a service.

        The other hosts are assumed to have as many requests waiting as this one, since
        the load balancer spreads callers over all hosts, and the other data centres to
        receive as many requests.
        """
        knowledge, shared = self._knowledge, self._knowledge.shared
        loads = [
            TargetLoad(
                target.id,
                target.slots,
                shared.in_flight(target.incarnation),
                shared.failure_probability(target.incarnation, at),
            )
            for target in knowledge.registry.usable(service)
            if knowledge.availability.is_open(target.incarnation, at)
        ]
        waiting = max(1, self.count(service)) * self._host_count()
        return make_view(loads, waiting, sum(self._demands(service, at)))

    def _host_count(self):
        return self._knowledge.shared.live_host_count() * self._data_centre_count()

    def _data_centre_count(self):
        return max(1, len(self._knowledge.settings.data_centres))

    def _demands(self, service, at):
        """Return the requests per second to this host and to all others."""
        own, *others = self._knowledge.shared.limits.membership.demands(service, at)
        total = own.demand + sum(host.demand for host in others)
        return own.demand, total * self._data_centre_count() - own.demand

    def pace(self, service, duration, at):
        """
        Return the `Pace` at which requests may be sent, or None while there is room.

        Args:
          service: The service's name.
          duration: The typical duration of the request to be sent, in seconds.
          at: The current time, in seconds.
        """
        view = self.view(service, at)
        if not view.is_scarce:
            return None
        own, others = self._demands(service, at)
        share = own / (own + others) if own else 0.0
        pace = self._paces.setdefault(service, Pace())
        pace.refill(view.capacity / duration * share, at)
        return pace

    # Turns.

    def _note_send_end(self, service):
        """Give waiting requests a turn after the outcome of a send has been noted."""
        if self.count(service) and service not in self._services_with_room:
            self._services_with_room.add(service)
            asyncio.get_running_loop().call_soon(self._use_room, service)

    def _use_room(self, service):
        self._services_with_room.discard(service)
        self._serve(service, now())

    def _schedule_turn(self):
        if self._timer is None:
            interval = self._knowledge.rng.uniform(MIN_TURN_INTERVAL, MAX_TURN_INTERVAL)
            self._timer = asyncio.get_running_loop().call_later(interval, self._tick)

    def _tick(self):
        self._timer = None
        at = now()
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            for ticket in queue.expire(at):
                self._settle(service, ticket, RefusalCause.WAITED_IN_VAIN)
            for ticket in [t for t in queue if t.payload.is_gone()]:
                queue.remove(ticket)
                self._settle(service, ticket, RefusalCause.CALLER_GONE)
            for ticket in [t for t in queue if t.payload.is_too_late()]:
                queue.remove(ticket)
                self._settle(service, ticket, RefusalCause.DRAINING)
            self._serve(service, at)
        self._report()
        if any(len(queue) for queue in self._queues.values()):
            self._schedule_turn()

    def _serve(self, service, at):
        queue = self._queues[service]
        queue.serve(
            at, lambda ticket: self._try_serve(service, ticket, at), MAX_FAILED_TURNS
        )

    def _try_serve(self, service, ticket, at):
        """Give a request its turn, and return whether it left the queue."""
        try:
            result = ticket.payload.take_turn()
        except Exception as exc:
            # It must end this request alone, not the turns of all others.
            log.exception("turn failed", extra=ticket.payload.fields)
            self._queues[service].remove(ticket)
            if not ticket.payload.result.done():
                ticket.payload.result.set_exception(exc)
            return True
        if isinstance(result, Postponed):
            ticket.not_before = at + result.delay
            ticket.needs_room = result.reason is not Reason.NO_RETRY_LEFT
            ticket.payload.fields["reason"] = result.reason.value
            return False
        if result is not None:
            # Only requests that are sent count towards the share of their workspace.
            self._queues[service].remove(ticket)
        self._settle(service, ticket, result)
        return True

    def _settle(self, service, ticket, result):
        """End the wait of a request: it was sent if the result is None, or refused."""
        waiter, at = ticket.payload, now()
        if waiter.result.done():
            return
        waiter.result.set_result(result)
        if result is not None:
            self._count_refusal(service, ticket, result)
            return
        self._drain_rates[service].note_served(at)
        wait = at - ticket.queued_at
        self._metrics.wait_seconds.observe(_labels(service, ticket.rank), wait)
        log.info("dequeued", extra={**waiter.fields, "waited": round(wait, 4)})

    # Metrics.

    def _count_refusal(self, service, ticket, cause):
        labels = {**_labels(service, ticket.rank), "cause": cause.value}
        self._metrics.queue_refusals.inc(labels)

    def _report(self):
        """Update the gauges, also of ranks of which no request waits anymore."""
        at = now()
        current = set()
        for service, queue in self._queues.items():
            for rank, count in queue.count_by_rank().items():
                self._metrics.waiting.set(_labels(service, rank), count)
                current.add((service, rank))
            age = at - queue.oldest() if len(queue) else 0.0
            self._metrics.waiting_age.set({"service": service}, age)
        for service, rank in self._reported_ranks - current:
            self._metrics.waiting.set(_labels(service, rank), 0)
        self._reported_ranks = current


def _labels(service, rank):
    return {"service": service, "rank": rank_name(rank)}


def rank_name(rank):
    """Return the name of a `RequestPriority` in logs and metrics."""
    return f"{rank.workspace}.{rank.route}"
