"""
Requests served in time and sound targets left idle, while targets fail in spells.

Each target fails most of its work at once during some spells, drawn anew every nine
seconds; nothing but work tells. Compared are three ways to choose:

- ours: beliefs, and trials that keep sound targets in use;
- without trials: beliefs alone;
- each alone: ours, but data centres tell each other nothing;
- waits counted: ours, but the wait for a slot counts as a route's usual work;
- naive: a target that failed two of its last eight sends within four seconds is out,
  and of the others the least busy one is taken.

`served` counts orders, which are sent once, and `in time` those that are answered
within the objective. `idle` counts moments at which less than
0.7 of the sound targets got work in the two seconds before; were all hosts lost just
then, their callers would be left with that part of the service. The hosts of a data
centre know of each other at once here, those of others as often as they tell.
"""

import bisect
import heapq
import itertools
import math
import multiprocessing
import random
from collections import deque
from typing import NamedTuple

from plumsaddle_core.core.ids import ServiceName, TargetId
from plumsaddle_core.core.traffic import RequestKind, Target, TargetState
from plumsaddle_core.ops.choice import Candidate, RequestProfile, choose_target
from plumsaddle_core.ops.floor import Trials
from plumsaddle_core.ops.peer_updates import HealthSignal, RemoteLoad, RemoteUpdate
from plumsaddle_core.ops.shared_state import SharedState

SERVICE = ServiceName("orders")
ROUTE = "order"
FLOOR_SHARE = 0.7
# Spells: how often they are drawn, how many targets are in one, and what fails then.
SPELL_EVERY = 9.0
SPELL_SHARE = 0.3
SPELL_FAILS = 0.85
# What fails at any time, in a millisecond.
ALWAYS_FAILS = 0.012
FAIL_SECONDS = 0.001
# A target that was in a spell counts as sound this many seconds later.
SOUND_AFTER = 2.0
SPREAD = 0.3
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0
HOSTS = 12
# Until evidence is known in another data centre, passed on once there.
FAR_SECONDS = 0.002
WINDOW = 2.0
WINDOW_STEP = 0.5
WARM_UP = 20.0
SECONDS = 200.0
SEEDS = range(6)
PROCESSES = 4
# Three times the work, and twice that.
OBJECTIVE = 3.0
TIME_LIMIT = 6.0
# Seconds between two messages of the work in flight.
LOAD_EVERY = 0.1


class Shape(NamedTuple):
    """A service: targets and requests a second by data centre, slots, mean seconds."""

    name: str
    targets: tuple[int, ...]
    rates: tuple[float, ...]
    slots: int
    work: float


SHAPES = (
    Shape("archive, orders", (6, 5, 4), (21.0, 20.0, 19.0), 4, 0.31),
    Shape("archive, scans", (2, 3, 1), (3.3, 3.0, 2.8), 4, 0.36),
    Shape("Atlas Sonore, payouts", (7, 6, 6), (18.0, 18.0, 18.0), 2, 0.22),
    Shape("Atlas Sonore, masters", (2, 2, 2), (2.0, 2.0, 1.6), 2, 0.26),
    Shape("stand builders, booths", (7, 6, 6), (31.0, 40.0, 29.0), 2, 0.16),
    Shape("stand builders, artwork", (3, 2, 1), (3.2, 4.1, 3.0), 2, 0.19),
    Shape("stand builders, look-ups", (3, 3, 2), (11.0, 14.0, 10.0), 2, 0.21),
)


class _Worker:
    """A target with slots, a queue and spells of failure."""

    def __init__(self, target, rng):
        self.target = target
        self._phase = rng.random() * SPELL_EVERY
        self._rng = rng
        self._spells = {}
        self.waiting = deque()
        self.busy = 0
        self.pace = 1.0
        self.sent_at = []

    def is_failing(self, at):
        number = math.floor((at + self._phase) / SPELL_EVERY)
        if number not in self._spells:
            self._spells[number] = self._rng.random() < SPELL_SHARE
        return self._spells[number]

    def is_sound(self, at):
        """Return whether the target counts as sound: it was in no spell lately."""
        return not self.is_failing(at) and not self.is_failing(at - SOUND_AFTER)

    def was_used(self, at):
        """Return whether it got work in the window that ends now."""
        after = bisect.bisect_left(self.sent_at, at - WINDOW)
        return after < bisect.bisect_left(self.sent_at, at)


class FloorModel:
    """
    One run.

    Args:
      shape: The `Problem`.
      make_way: A function that returns a way to choose for a data centre: given the
        model, the centre's number, a host's number and the present, it returns the
        worker to send to and its load.
      seed: The run's seed.
      is_shared: Whether data centres tell each other anything.
    """

    def __init__(self, shape, make_way, seed, is_shared=True):
        self.shape = shape
        self._is_shared = is_shared
        self._load_number = 0
        self.rng = random.Random(seed)
        self.shared_states = [
            SharedState(0.2, 10.0, started_at=-100.0) for _ in shape.targets
        ]
        self.workers = {}
        spells = random.Random(seed + 1)
        for centre, count in enumerate(shape.targets):
            for number in range(count):
                target = _make_target(centre, number, shape.slots)
                self.workers[target.id] = _Worker(target, spells)
        self._ways = [make_way() for _ in shape.targets]
        self._events = []
        self._counter = itertools.count()
        self.sent = 0
        self.served = 0
        self.in_time = 0
        self.windows = 0
        self.idle_windows = 0

    def run(self, seconds):
        """Play some seconds."""
        for centre in range(len(self.shape.targets)):
            self._push(0.0, self._arrive, centre)
            if self._is_shared:
                self._push(centre / 3, self._beat, centre)
                self._push(centre * LOAD_EVERY / 3, self._tell_load, centre)
        self._push(WARM_UP, self._look)
        while self._events[0][0] < seconds:
            at, _, happen, args = heapq.heappop(self._events)
            happen(at, *args)

    def near(self, centre):
        """Return the ids of a data centre's targets."""
        name = str(centre)
        return [i for i, w in self.workers.items() if w.target.data_centre == name]

    def _push(self, at, happen, *args):
        heapq.heappush(self._events, (at, next(self._counter), happen, args))

    def _arrive(self, at, centre):
        pause = self.rng.expovariate(self.shape.rates[centre])
        self._push(at + pause, self._arrive, centre)
        shared = self.shared_states[centre]
        host = self.rng.randrange(HOSTS)
        worker, load = self._ways[centre](self, centre, host, at)
        shared.note_send_start(worker.target.id, at)
        worker.sent_at.append(at)
        worker.waiting.append((centre, at, load))
        self.sent += 1
        self._work(at, worker)

    def _work(self, at, worker):
        while worker.waiting and worker.busy < self.shape.slots:
            centre, started, load = worker.waiting.popleft()
            worker.busy += 1
            is_whole = not self._fails(worker, at)
            work = self._draw_work() * worker.pace
            seconds = work if is_whole else FAIL_SECONDS
            send = (centre, started, load, is_whole)
            self._push(at + seconds, self._end, worker, send)

    def _fails(self, worker, at):
        share = SPELL_FAILS if worker.is_failing(at) else 0.0
        return self.rng.random() < max(ALWAYS_FAILS, share)

    def _draw_work(self):
        middle = math.log(self.shape.work) - SPREAD**2 / 2
        seconds = self.rng.lognormvariate(middle, SPREAD)
        return seconds * (TAIL_FACTOR if self.rng.random() < TAIL_SHARE else 1.0)

    def _end(self, at, worker, send):
        centre, started, load, is_whole = send
        worker.busy -= 1
        self.served += is_whole
        self.in_time += is_whole and at - started <= OBJECTIVE * self.shape.work
        shared = self.shared_states[centre]
        shared.note_send_end(worker.target.id)
        sign = HealthSignal.SUCCEEDED if is_whole else HealthSignal.FAILED
        work = (at - started) / load
        shared.note_outcome(worker.target.id, SERVICE, ROUTE, sign, work, at)
        shared.note_request_end(SERVICE, is_whole, at)
        if shared.evidence.has_unsent and self._is_shared:
            self._push(at + FAR_SECONDS, self._tell_far, centre)
        self._work(at, worker)

    def _beat(self, at, centre):
        """Tell the other data centres which targets had work in the last second."""
        self._push(at + 1.0, self._beat, centre)
        self._push(at + FAR_SECONDS, self._tell_far, centre, True)

    def _tell_far(self, at, centre, is_periodic=False):
        shared = self.shared_states[centre]
        evidence = shared.evidence.next_batch()
        targets = None if is_periodic else [e.target for e in evidence]
        used = tuple(shared.local_use_ages(at, targets).items())
        for other, shared in enumerate(self.shared_states):
            if other != centre and (evidence or used):
                shared.apply_remote_update(
                    RemoteUpdate(str(centre), 1, evidence, used), at
                )

    def _tell_load(self, at, centre):
        """Tell the other data centres what is in flight."""
        self._push(at + LOAD_EVERY, self._tell_load, centre)
        self._load_number += 1
        counts = self.shared_states[centre].local_load()
        load = RemoteLoad(str(centre), "host", 1, self._load_number, counts)
        self._push(at + FAR_SECONDS, self._take_load, centre, load)

    def _take_load(self, at, centre, load):
        for other, shared in enumerate(self.shared_states):
            if other != centre:
                shared.apply_remote_load(load, at)

    def _look(self, at):
        """Count the moments at which too few of the sound targets are in use."""
        self._push(at + WINDOW_STEP, self._look)
        sound = [w for w in self.workers.values() if w.is_sound(at)]
        if sound:
            self.windows += 1
            used = sum(1 for w in sound if w.was_used(at))
            self.idle_windows += used < FLOOR_SHARE * len(sound)


def _make_target(centre, number, slots):
    return Target(
        id=TargetId(f"{centre}-{number}"),
        service=SERVICE,
        address="",
        data_centre=str(centre),
        slots=slots,
        state=TargetState.READY,
        warmup=0.0,
        read_at=0.0,
    )


def _by_belief(model, centre, candidate_ids, at):
    shared = model.shared_states[centre]
    candidates = [
        Candidate(
            model.workers[target_id].target,
            shared.failure_probability(target_id, at),
            shared.in_flight(target_id),
            is_cold=False,
            is_local=_is_in(model, target_id, centre),
            is_load_known=_is_in(model, target_id, centre)
            or shared.knows_remote_load(
                model.workers[target_id].target.data_centre, at
            ),
        )
        for target_id in candidate_ids
    ]
    usual = shared.times.typical_duration(SERVICE, ROUTE)
    work = model.shape.work
    demand = RequestProfile(
        RequestKind.ORDER, usual, OBJECTIVE * work, TIME_LIMIT * work, 1.0
    )
    choice = choose_target(candidates, demand, model.rng)
    return model.workers[choice.candidate.target.id], choice.slowdown


def _is_in(model, target_id, centre):
    return model.workers[target_id].target.data_centre == str(centre)


def choose_with_trials():
    """Return our way to choose for a data centre."""
    hosts = [Trials() for _ in range(HOSTS)]

    def choose(model, centre, host, at):
        near = set(model.near(centre))
        shared = model.shared_states[centre]
        trial = hosts[host].find(
            SERVICE, lambda: (list(model.workers), near), shared, FLOOR_SHARE, at
        )
        if trial is not None:
            return _by_belief(model, centre, [trial], at)
        return _by_belief(model, centre, model.workers, at)

    return choose


def choose_with_waits_counted():
    """Return our way to choose, with times that hold the wait for a slot."""
    choose = choose_with_trials()
    return lambda *args: (choose(*args)[0], 1.0)


def choose_without_trials():
    """Return a choice by beliefs alone."""

    def choose(model, centre, host, at):
        return _by_belief(model, centre, model.workers, at)

    return choose


def choose_naively():
    """Return a choice by a count of failures and by load."""
    kept, out_from, window = 8, 2, 4.0
    recent = {}

    def choose(model, centre, host, at):
        shared = model.shared_states[centre]
        # The outcomes that the shared state repeats are the last ones that it was told.
        for outcome in shared.outcomes.recent():
            ends = recent.setdefault(outcome.target, deque(maxlen=kept))
            if not ends or outcome.number > ends[-1][0]:
                ends.append(
                    (outcome.number, at, outcome.signal is not HealthSignal.SUCCEEDED)
                )

        def is_out(target_id):
            ends = recent.get(target_id, ())
            failed = sum(bad for _, when, bad in ends if at - when < window)
            return failed >= out_from

        near = model.near(centre)
        usable = [t for t in near if not is_out(t)] or near
        model.rng.shuffle(usable)
        return model.workers[min(usable, key=shared.in_flight)], 1.0

    return choose


# Ways to choose, and whether data centres tell each other what they know.
WAYS = {
    "ours": (choose_with_trials, True),
    "without trials": (choose_without_trials, True),
    "each alone": (choose_with_trials, False),
    "waits counted": (choose_with_waits_counted, False),
    "naive": (choose_naively, False),
}


def run_one(job):
    """Run one shape with one way and seed, and return the model's counts."""
    shape, way, seed = job
    make_way, is_shared = WAYS[way]
    model = FloorModel(shape, make_way, seed, is_shared)
    model.run(SECONDS)
    return model.sent, model.served, model.in_time, model.windows, model.idle_windows


def main():
    """Print the table, in parts of a thousand."""
    print("| service | way | served | in time | idle |")
    print("| --- | --- | --- | --- | --- |")
    with multiprocessing.Pool(PROCESSES) as processes:
        for shape, way in itertools.product(SHAPES, WAYS):
            runs = processes.map(run_one, [(shape, way, seed) for seed in SEEDS])
            sums = [sum(counts) for counts in zip(*runs, strict=True)]
            sent, served, in_time, windows, idle = sums
            ends = f"{1000 * served / sent:.0f} | {1000 * in_time / sent:.0f}"
            parts = f"{ends} | {1000 * idle / windows:.0f}"
            print(f"| {shape.name} | {way} | {parts} |", flush=True)


if __name__ == "__main__":
    main()
