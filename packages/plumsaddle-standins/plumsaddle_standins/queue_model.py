"""
Requests served in time while targets are full, in virtual time.

Hosts know the requests in flight at each target with the delay of their reports. Three
ways to treat a request that finds targets full or failing are compared:

- none: it is sent to the best target at once;
- plain: it waits on its host for a free slot, in order of arrival;
- ranks: as hosts do with scheduling on: ranks, fair shares of workspaces, room by
  urgency, and waits for a sound target.

    python -m plumsaddle_standins.queue_model
"""

import heapq
import itertools
import math
import random
from collections import Counter, defaultdict, deque
from typing import NamedTuple

from plumsaddle_core.core.traffic import RequestKind, Target, TargetState
from plumsaddle_core.ops.choice import Candidate, RequestProfile, choose_target
from plumsaddle_core.ops.urgency import RequestPriority
from plumsaddle_core.scheduling.decision import (
    Need,
    Option,
    Verdict,
    decide,
    latest_start,
)
from plumsaddle_core.scheduling.drain_rate import DrainRate
from plumsaddle_core.scheduling.pace import Pace
from plumsaddle_core.scheduling.queue import FairQueue, Ticket
from plumsaddle_core.scheduling.room import effective_urgency, max_in_flight
from plumsaddle_core.scheduling.view import TargetLoad, crowded_targets, make_view

WORK = 0.15
SPREAD = 0.6
SLOTS = 2
TARGET_QUEUE = 8
REPORT_INTERVAL = 0.1
TURN_INTERVAL = (0.02, 0.06)
FAILING = 0.85
BELIEVED_FAILING = 0.6
BELIEVED_SOUND = 0.05
MAX_FAILED_TURNS = 3
# The benefit of a response in time and of a late one, by kind.
BENEFITS = {"lookup": (1.7, 0.34), "order": (1.8, 0.9), "pull": (0.45, 0.34)}


class Kind(NamedTuple):
    """A kind of request, and its part of the usual demand."""

    name: str
    kind: RequestKind
    rank: int
    part: float
    objective: float
    timeout: float


KINDS = (
    Kind("lookup", RequestKind.IDEMPOTENT, 0, 0.4, 0.8, 2.0),
    Kind("order", RequestKind.ORDER, 1, 0.4, 0.8, 2.0),
    Kind("pull", RequestKind.DOWNLOAD, 2, 0.2, 3.0, 4.0),
)


class Load(NamedTuple):
    """
    Demand, relative to the capacity of all targets.

    From second 2 to 5 it is multiplied by kind (`burst`). `failing` is the fraction of
    targets that fail most requests, and `hot` that of the requests of one workspace.
    """

    name: str
    demand: float
    burst: tuple[float, float, float]
    failing: float = 0.0
    hot: float = 0.0
    until: float = 5.0


LOADS = (
    Load("calm", 0.5, (1.0, 1.0, 1.0)),
    Load("spells", 0.45, (1.0, 1.0, 1.0), failing=0.3),
    Load("burst of pulls", 0.6, (1.0, 1.0, 7.0)),
    Load("twice the room", 0.5, (4.0, 4.0, 4.0), until=9.0),
    Load("spells, burst", 0.5, (1.2, 1.2, 4.0), failing=0.3),
    Load("hot workspace", 0.6, (2.0, 2.0, 2.0), hot=0.6),
)


class Request:
    """A request and its outcome: `in time`, `late`, `failed` or `refused`."""

    def __init__(self, kind, workspace, at):
        self.kind, self.workspace, self.at = kind, workspace, at
        self.outcome = None

    def profile(self, now):
        kind = self.kind
        return RequestProfile(
            kind.kind, WORK, self.at + kind.objective - now, self.time_left(now), 5.0
        )

    def time_left(self, now):
        return self.at + self.kind.timeout - now


class _Worker:
    def __init__(self, number, is_failing):
        name = f"t{number}"
        self.target = Target(name, "s", "", "x", SLOTS, TargetState.READY, 0.0, 0.0)
        self.is_failing = is_failing
        self.believed = BELIEVED_FAILING if is_failing else BELIEVED_SOUND
        self.running = 0
        self.waiting = []


class _Host:
    def __init__(self):
        self.own = Counter()
        self.reported = Counter()
        self.queue = FairQueue(256)
        self.rate = DrainRate()
        self.pace = Pace()
        self.arrivals = deque()
        self.demand_share = 0.0
        self.has_timer = False


class QueueModel:
    """
    One run.

    Args:
      way: `none`, `plain` or `ranks`.
      load: The `Load`.
      host_count: The number of hosts.
      seed: The run's seed.
    """

    def __init__(self, way, load, host_count, seed, seconds=8.0):
        self.way, self.load = way, load
        self.rng = random.Random(seed)
        count = max(4, host_count * 3 // 5)
        self.workers = [
            _Worker(number, number < load.failing * count) for number in range(count)
        ]
        self.hosts = [_Host() for _ in range(host_count)]
        self.seconds = seconds
        self.requests = []
        self.most_in_flight = 0
        self.rejected = 0
        self._in_flight = Counter()
        self._events = []
        self._counter = itertools.count()

    def run(self):
        """Play all events and return this model."""
        arrivals = random.Random(self.rng.random())
        capacity = len(self.workers) * SLOTS / WORK
        for kind, factor in zip(KINDS, self.load.burst, strict=True):
            at = 0.0
            while at < self.seconds:
                burst = factor if 2.0 <= at < self.load.until else 1.0
                at += arrivals.expovariate(
                    capacity * self.load.demand * kind.part * burst
                )
                is_hot = burst == factor and arrivals.random() < self.load.hot
                workspace = "hot" if is_hot else f"w{arrivals.randrange(20)}"
                request = Request(kind, workspace, at)
                host = self.hosts[arrivals.randrange(len(self.hosts))]
                self._later(at, self._arrive, host, request)
        self._later(0.0, self._report)
        while self._events:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self

    def _later(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._counter), call, args))

    def _report(self):
        for host in self.hosts:
            host.reported = self._in_flight - host.own
            while host.arrivals and host.arrivals[0] < self.now - 1.0:
                host.arrivals.popleft()
        self.demand = sum(len(host.arrivals) for host in self.hosts)
        for host in self.hosts:
            host.demand_share = len(host.arrivals) / max(1, self.demand)
        if self.now < self.seconds + 5.0:
            self._later(self.now + REPORT_INTERVAL, self._report)

    def _arrive(self, host, request):
        self.requests.append(request)
        host.arrivals.append(self.now)
        ticket = self._make_ticket(request)
        ahead = host.queue.count_ahead(ticket.rank, ticket.workspace, self.now)
        if not ahead and self._take_turn(host, request, is_queued=False):
            return
        capacity = len(self.workers) * SLOTS / WORK / len(self.hosts)
        time_left = ticket.latest_start - self.now
        if self.way == "ranks" and host.rate.is_hopeless(
            ahead, capacity, time_left, self.now
        ):
            request.outcome = "refused"
            return
        for victim in host.queue.push(ticket):
            victim.payload.outcome = "refused"
        host.rate.note_length(len(host.queue), self.now)
        self._schedule_tick(host)

    def _make_ticket(self, request):
        """Return the ticket of a request; plain queues know neither rank nor owner."""
        is_plain = self.way == "plain"
        deadline = self.now + request.kind.timeout
        return Ticket(
            RequestPriority(0, 0 if is_plain else request.kind.rank),
            None if is_plain else request.workspace,
            self.now,
            math.inf if is_plain else self.now + request.kind.objective - WORK,
            latest_start(deadline, WORK),
            self.now if is_plain else deadline,
            WORK,
            payload=request,
        )

    def _schedule_tick(self, host):
        if not host.has_timer and len(host.queue):
            host.has_timer = True
            self._later(self.now + self.rng.uniform(*TURN_INTERVAL), self._tick, host)

    def _tick(self, host):
        for ticket in host.queue.expire(self.now):
            ticket.payload.outcome = "refused"
        self._serve(host)
        host.has_timer = False
        self._schedule_tick(host)

    def _serve(self, host):
        def try_serve(ticket):
            if not self._take_turn(host, ticket.payload):
                return False
            host.rate.note_served(self.now)
            return True

        host.queue.serve(self.now, try_serve, MAX_FAILED_TURNS)
        host.rate.note_length(len(host.queue), self.now)

    def _take_turn(self, host, request, is_queued=True):
        """Send a request or refuse it, unless it has to wait."""
        profile = request.profile(self.now)
        loads = [self._load(host, worker) for worker in self.workers]
        if self.way != "ranks":
            choice = self._choose(loads, profile, frozenset())
            is_full = choice.candidate.in_flight >= SLOTS
            if self.way == "plain" and is_full:
                return False
            self._send(host, request, choice)
            return True
        urgency = effective_urgency(
            1.0 - request.kind.rank / 2,
            self.now - request.at,
            request.kind.objective - WORK,
        )
        waiting = max(1, len(host.queue)) * len(self.hosts)
        view = make_view(loads, waiting, self.demand)
        crowded = crowded_targets(view, (), urgency, self.rng)
        choice = self._choose(loads, profile, crowded) or self._choose(
            loads, profile, frozenset()
        )
        decision = self._decide(choice, view, urgency, profile)
        if decision.verdict is Verdict.REFUSE:
            request.outcome = "refused"
            return True
        if decision.verdict is Verdict.WAIT:
            return False
        if view.is_scarce:
            rate = view.capacity / WORK * host.demand_share
            host.pace.refill(rate, self.now)
            is_pressing = decision.is_pressing or not is_queued
            if not host.pace.may_send(1.0 - request.kind.rank / 2, is_pressing):
                return False
            host.pace.note_send()
        self._send(host, request, choice)
        return True

    def _load(self, host, worker):
        name = worker.target.id
        in_flight = host.reported[name] + host.own[name]
        return TargetLoad(name, SLOTS, in_flight, worker.believed)

    def _choose(self, loads, profile, excluded):
        candidates = [
            Candidate(worker.target, load.failure_probability, load.in_flight, 0, True)
            for worker, load in zip(self.workers, loads, strict=True)
            if load.id not in excluded
        ]
        return choose_target(candidates, profile, self.rng)

    def _decide(self, choice, view, urgency, profile):
        option = Option(
            choice.candidate.failure_probability,
            choice.candidate.in_flight,
            max_in_flight(SLOTS, urgency),
            choice.expected_duration,
        )
        need = Need(
            profile.kind.is_idempotent, WORK, profile.objective_left, profile.time_left
        )
        return decide(option, view.outlook, need)

    def _send(self, host, request, choice):
        worker = next(w for w in self.workers if w.target is choice.candidate.target)
        name = worker.target.id
        host.own[name] += 1
        self._in_flight[name] += 1
        self.most_in_flight = max(self.most_in_flight, self._in_flight[name])
        if worker.is_failing and self.rng.random() < FAILING:
            self._later(self.now + 0.001, self._end, host, request, worker, "failed")
        elif worker.running < SLOTS:
            self._run(host, request, worker)
        elif len(worker.waiting) < TARGET_QUEUE:
            worker.waiting.append((host, request))
        else:
            self.rejected += 1
            self._end(host, request, worker, "refused")

    def _run(self, host, request, worker):
        worker.running += 1
        work = WORK * self.rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        ends_at = self.now + work
        outcome = (
            "in time" if ends_at <= request.at + request.kind.objective else "late"
        )
        if ends_at > request.at + request.kind.timeout:
            ends_at, outcome = request.at + request.kind.timeout, "failed"
        self._later(ends_at, self._end_run, host, request, worker, outcome)

    def _end_run(self, host, request, worker, outcome):
        worker.running -= 1
        while worker.waiting and worker.running < SLOTS:
            next_host, waiting = worker.waiting.pop(0)
            if waiting.time_left(self.now) > 0.0:
                self._run(next_host, waiting, worker)
            else:
                self._end(next_host, waiting, worker, "refused")
        self._end(host, request, worker, outcome)

    def _end(self, host, request, worker, outcome):
        host.own[worker.target.id] -= 1
        self._in_flight[worker.target.id] -= 1
        request.outcome = outcome
        if len(host.queue):
            self._later(self.now, self._serve, host)

    def benefit(self):
        """Return the benefit of all responses, relative to all being in time."""
        earned = owed = 0.0
        for request in self.requests:
            in_time, late = BENEFITS[request.kind.name]
            owed += in_time
            earned += {"in time": in_time, "late": late}.get(request.outcome, 0.0)
        return earned / owed

    def shares(self, key=lambda request: request.kind.name, since=2.0, until=5.0):
        """Return the share of each outcome by kind of the requests of a time."""
        counts = defaultdict(Counter)
        for request in self.requests:
            if since <= request.at < until:
                counts[key(request)][request.outcome] += 1
        return {
            name: {
                outcome: count / sum(outcomes.values())
                for outcome, count in outcomes.items()
            }
            for name, outcomes in sorted(counts.items())
        }


def main():
    """Print the benefit of all and the outcomes by kind, by load, hosts and way."""
    for load, count, way in itertools.product(
        LOADS, (18, 45, 121), ("none", "plain", "ranks")
    ):
        models = [QueueModel(way, load, count, seed).run() for seed in range(3)]
        benefit = sum(model.benefit() for model in models) / len(models)
        cells = [
            f"{name} {found.get('in time', 0):.2f} + {found.get('late', 0):.2f}"
            for name, found in models[0].shares().items()
        ]
        rejected = sum(model.rejected for model in models) / len(models)
        print(
            f"| {load.name:14} | {count:3} | {way:5} | {benefit:.3f}",
            *cells,
            f"{rejected:.0f} |",
            sep=" | ",
            flush=True,
        )


if __name__ == "__main__":
    main()
