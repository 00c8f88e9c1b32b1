"""
A small event model of one service before many hosts, in virtual time.

Targets, the network and callers are a few lines each; the hosts are those of
`model_hosts`.
A run is given a seed and ends the same way every time.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from plumsaddle_core.core.data import DetectionTradeoff, FailureKind, Service, Target
from plumsaddle_core.ops.pool import SHED_PAUSE
from plumsaddle_core.ops.slot_allocator import SlotAllocator

from .model_hosts import TRIES_MOST

HOP = 0.001
CONNECT_TIMEOUT = 1.0
DEADLINE = 10.0
FANOUT = 3
EXCHANGE_EVERY = 1.0
URGENT_PAUSE = 0.2
REVIEW_EVERY = 0.25
WATCH_EVERY = 0.1
QUEUE = 32


class Shape(NamedTuple):
    """One service of a deployment, and the load on it as a share of its slots."""

    name: str
    targets: int
    slots: int
    connections: int
    floor: int
    mean: float
    weighing: DetectionTradeoff
    hosts: int = 40
    load: float = 0.5


class ModelTarget:
    """A target: its slots, and how it fails."""

    def __init__(self, key, slots):
        self.key = key
        self.slots = slots
        self.busy = 0
        self.mode = "good"
        self.factor = 1.0

    def is_failing(self, now):
        """Return whether an answer given now is an error."""
        if self.mode == "flap":
            return now % 10.0 < 5.0
        return self.mode == "errors"


class Try:
    """A try that is under way."""

    def __init__(self, request, target, started):
        self.request = request
        self.target = target
        self.started = started
        self.sign = None
        self.is_over = False
        self.is_trial = False
        self.grant = None


class Request:
    """A caller's request and the tries that it has had."""

    def __init__(self, host, deadline):
        self.host = host
        self.deadline = deadline
        self.tried = ()
        self.waited = False


class Model:
    """
    One run.

    Args:
      shape: The `Problem` of the service.
      make_host: `OurHost` or `NaiveHost`.
      seed: The seed of everything random in the run.
      bad: The keys of the targets that will truly fail.
      has_keeper: Whether hosts that see sheds ask a keeper for slots.
    """

    def __init__(self, shape, make_host, seed, bad=frozenset(), has_keeper=False):
        self.bad = bad
        self.keeper = SlotAllocator(shape.slots) if has_keeper else None
        self.messages = 0
        targets = tuple(
            Target(f"t-{n}", f"10.0.0.{n}:80", "x") for n in range(shape.targets)
        )
        service = Service(
            shape.name,
            shape.floor,
            shape.slots,
            shape.connections,
            targets,
            weighing=shape.weighing,
        )
        self.shape = shape
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.targets = {t.key: ModelTarget(t.key, shape.slots) for t in targets}
        self.keys = list(self.targets)
        self.hosts = [
            make_host(n, service, shape.hosts, seed) for n in range(shape.hosts)
        ]
        self.cuts = set()
        self.urgent_at = [0.0] * shape.hosts
        self.urgent_due = [False] * shape.hosts
        self.sent = []
        self.waiting = [0] * shape.hosts
        self.requests = self.tries = self.sheds = self.whole = self.refused = 0
        self.latencies = []
        self.lowest = shape.targets
        self.bytes = 0

    def at(self, time, run, *args):
        """Run a function at a time."""
        heapq.heappush(self.events, (time, next(self.order), run, args))

    def run(self, until, happenings=()):
        """
        Run to a time.

        Args:
          until: The virtual time in seconds.
          happenings: Pairs of a time and a function that takes the model.
        """
        for time, happen in happenings:
            self.at(time, happen, self)
        for number in range(len(self.hosts)):
            self.at(self.rng.random() * EXCHANGE_EVERY, self._round, number)
            self.at(self.rng.random() * REVIEW_EVERY, self._review, number)
            self.at(self.rng.random() * WATCH_EVERY, self._watch, number)
        self.at(0.0, self._arrive)
        while self.events and self.events[0][0] <= until:
            self.now, _, run, args = heapq.heappop(self.events)
            run(*args)

    # Callers.

    def _arrive(self):
        shape = self.shape
        rate = shape.load * shape.slots * shape.targets / shape.mean
        self.at(self.now + self.rng.expovariate(rate), self._arrive)
        host = self.rng.randrange(len(self.hosts))
        self.requests += 1
        self.hosts[host].note_request()
        self._attempt(Request(host, self.now + DEADLINE))

    def _attempt(self, request):
        host = self.hosts[request.host]
        if self.now >= request.deadline:
            self.waiting[request.host] -= request.waited
            self.refused += 1
            return
        if self.keeper is not None and host.is_contended(self.now):
            self._ask_keeper(request)
            return
        key = host.choose(self.now, request.tried)
        if key is None:
            if not request.waited and self.waiting[request.host] >= QUEUE:
                self.refused += 1
                return
            self.waiting[request.host] += not request.waited
            request.waited = True
            pause = SHED_PAUSE * self.rng.uniform(0.7, 1.3)
            self.at(self.now + pause, self._attempt, request)
            return
        self.waiting[request.host] -= request.waited
        request.waited = False
        self._send(request, key)

    def _ask_keeper(self, request):
        if not request.waited:
            if self.waiting[request.host] >= QUEUE:
                self.refused += 1
                return
            self.waiting[request.host] += 1
            request.waited = True
        self.messages += 1
        self.at(self.now + HOP, self._ask_arrives, request)

    def _ask_arrives(self, request):
        self.keeper.request_slot(request, request.deadline)
        self.at(request.deadline, self._expire, request)
        self._grant()

    def _expire(self, request):
        if request.waited:
            request.waited = False
            self.waiting[request.host] -= 1
            self.refused += 1

    def _grant(self):
        usable = sorted(self.hosts[0].keys_in(self.now))
        for grant in self.keeper.grant_slots(usable, self.now):
            self.messages += 1
            self.at(self.now + HOP, self._grant_arrives, grant)

    def _grant_arrives(self, grant):
        request = grant.ticket
        if not request.waited or self.now >= request.deadline:
            self._return(grant.number, False)
            return
        self.waiting[request.host] -= 1
        request.waited = False
        self.hosts[request.host].take(grant.target)
        self._send(request, grant.target, grant.number)

    def _return(self, number, is_shed):
        self.messages += 1
        self.at(self.now + HOP, self._return_arrives, number, is_shed)

    def _return_arrives(self, number, is_shed):
        self.keeper.release(number, self.now, is_shed)
        self._grant()
        if is_shed:
            self.at(self.now + SHED_PAUSE, self._grant)

    def _send(self, request, key, grant=None):
        begun = Try(request, key, self.now)
        begun.grant = grant
        overdue = self.hosts[request.host].start(begun, self.now)
        self.tries += 1
        self.sent.append((self.now, request.host, key, begun.is_trial))
        if (request.host, key) in self.cuts:
            self.at(self.now + CONNECT_TIMEOUT, self._end, begun, FailureKind.CONNECT)
            return
        target = self.targets[key]
        if target.busy >= target.slots:
            self.sheds += 1
            self.at(self.now + 2 * HOP, self._end, begun, FailureKind.SHED)
            return
        target.busy += 1
        begun.in_slot = True
        seconds = 2 * HOP + self.rng.expovariate(1 / self.shape.mean) * target.factor
        if target.mode != "stall":
            self.at(self.now + seconds, self._answer, begun)
        until, trouble = request.deadline, FailureKind.DEADLINE
        if overdue is not None and overdue < until:
            until, trouble = overdue, FailureKind.OVERDUE
        self.at(until, self._end, begun, trouble)

    # Targets.

    def _answer(self, begun):
        target = self.targets[begun.target]
        trouble = None
        if target.is_failing(self.now):
            trouble = FailureKind.ERROR
        elif target.mode == "half":
            trouble = FailureKind.BROKEN
        self._end(begun, trouble)

    def _end(self, begun, trouble):
        if begun.is_over:
            return
        begun.is_over = True
        if getattr(begun, "in_slot", False):
            self.targets[begun.target].busy -= 1
        if begun.grant is not None:
            self._return(begun.grant, trouble is FailureKind.SHED)
        request = begun.request
        host = self.hosts[request.host]
        may_follow = host.end(begun, trouble, self.now)
        self._urge(request.host)
        if trouble is None:
            self.whole += 1
            self.latencies.append(self.now - request.deadline + DEADLINE)
            return
        if trouble is not FailureKind.SHED:
            request.tried += (begun.target,)
        is_over = trouble is FailureKind.DEADLINE or len(request.tried) >= TRIES_MOST
        if is_over or not may_follow:
            self.refused += 1
            return
        self._attempt(request)

    # What hosts do from time to time.

    def _watch(self, number):
        self.hosts[number].watch(self.now)
        self._urge(number)
        self.at(self.now + WATCH_EVERY, self._watch, number)

    def _review(self, number):
        host = self.hosts[number]
        host.review(self.now)
        healthy_in = host.keys_in(self.now) - self.bad
        self.lowest = min(self.lowest, len(healthy_in))
        self.at(self.now + REVIEW_EVERY, self._review, number)

    def _round(self, number):
        self._exchange(number)
        pause = EXCHANGE_EVERY * self.rng.uniform(0.9, 1.1)
        self.at(self.now + pause, self._round, number)

    def _urge(self, number):
        host = self.hosts[number]
        if host.is_urgent and not self.urgent_due[number]:
            self.urgent_due[number] = True
            at = max(self.now, self.urgent_at[number] + URGENT_PAUSE)
            self.at(at, self._urgent, number)

    def _urgent(self, number):
        self.urgent_due[number] = False
        self.urgent_at[number] = self.now
        self.hosts[number].is_urgent = False
        self._exchange(number)

    def _exchange(self, number):
        others = [n for n in range(len(self.hosts)) if n != number]
        rows = self.hosts[number].rows(self.now)
        for other in self.rng.sample(others, min(FANOUT, len(others))):
            self.at(self.now + HOP, self._deliver, other, rows, number)

    def _deliver(self, number, rows, asker):
        self.bytes += 12 * len(rows)
        self.hosts[number].merge(rows, self.now)
        self._urge(number)
        if asker is not None:
            answer = self.hosts[number].rows(self.now)
            self.at(self.now + HOP, self._deliver, asker, answer, None)
