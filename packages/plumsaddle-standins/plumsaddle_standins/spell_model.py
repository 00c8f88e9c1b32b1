"""
Orders lost while targets fail in spells, and work by pace, with the real selection.

The events of `floor_model` with hosts that know the loads of other hosts a tenth of a
second late and outcomes a little later than they happen. Each host chooses with its own
`TargetSelection`. Compared are the choice without scheduling ("before"), the one with
scheduling, and one that knows the moments of all spells ("ideal").
"""

import itertools
import multiprocessing
from collections import Counter
from types import SimpleNamespace
from typing import NamedTuple

from plumsaddle_core.core.traffic import RequestKind
from plumsaddle_core.ops.choice import RequestProfile
from plumsaddle_core.ops.peer_updates import HealthSignal
from plumsaddle_hosts.edge.target_selection import TargetSelection

from .floor_model import (
    ALWAYS_FAILS,
    FLOOR_SHARE,
    ROUTE,
    SERVICE,
    WARM_UP,
    FloorModel,
    Shape,
)

# Age in seconds of the loads that other hosts report.
LOAD_AGE = 0.1
# Seconds until all hosts of a data centre know a failure, and a success.
FAILURE_AGE = 0.02
SUCCESS_AGE = 0.1
SECONDS = 80.0
SEEDS = range(3)
PROCESSES = 3


class Case(NamedTuple):
    """
    A service with spells.

    `hosts` are those of each data centre. A spell begins at each target once in
    `spell_every` seconds on average, lasts `spell_seconds` and fails `spell_fails` of
    the requests. `repeatable` is the share of requests that may be repeated. `paces`
    are the durations of the targets in turn, relative to the mean.
    """

    shape: Shape
    hosts: int
    spell_every: float = 60.0
    spell_seconds: float = 8.0
    spell_fails: float = 0.8
    repeatable: float = 0.0
    objective: float = 6.0
    limit: float = 30.0
    paces: tuple[float, ...] = (1.0,)


CASES = (
    Case(Shape("18 hosts", (8, 8, 8), (28.0, 28.0, 28.0), 4, 0.26), 6),
    Case(Shape("45 hosts", (21, 21, 21), (74.0, 74.0, 74.0), 4, 0.26), 15),
    Case(
        Shape("121 hosts", (23, 23, 23), (92.0, 92.0, 92.0), 2, 0.15),
        40,
        limit=15.0,
    ),
)


def with_load(case, factor):
    """Return a case with more or fewer requests."""
    shape = case.shape
    rates = tuple(rate * factor for rate in shape.rates)
    return case._replace(shape=shape._replace(rates=rates))


class _HostView:
    """One host's view of the state of its data centre, with loads of some age."""

    def __init__(self, model, centre):
        self._model = model
        self._shared = model.shared_states[centre]
        self._centre = centre
        self.own = Counter()
        self._own_before = Counter()

    def __getattr__(self, name):
        return getattr(self._shared, name)

    def in_flight(self, incarnation):
        before = self._model.loads[self._centre][incarnation]
        changed = self.own[incarnation] - self._own_before[incarnation]
        return max(0, before + changed)

    def live_host_count(self):
        return self._model.case.hosts

    def note_sample(self):
        self._own_before = Counter(self.own)


def _make_state(model, centre, number, is_scheduling):
    settings = SimpleNamespace(
        id=f"{centre}-host-{number}",
        data_centre=str(centre),
        disabled_features=frozenset(),
        bounds=SimpleNamespace(floor_share=FLOOR_SHARE),
    )
    usable = [worker.target for worker in model.workers.values()]
    return SimpleNamespace(
        settings=settings,
        rng=model.rng,
        scores_outcomes=is_scheduling,
        shared=_HostView(model, centre),
        limits=SimpleNamespace(
            has_any=False,
            admissible=lambda *_: model.listed(usable),
            wait=lambda *_: 0.0,
        ),
        availability=SimpleNamespace(has_any=False),
        registry=SimpleNamespace(revision=1, usable=lambda _: usable),
    )


class SpellModel(FloorModel):
    """
    One run.

    Args:
      case: The `Case`.
      seed: The run's seed.
      is_scheduling: Whether hosts schedule their requests.
      is_ideal: Whether hosts know the moments of all spells.
    """

    def __init__(self, case, seed, is_scheduling=True, is_ideal=False):
        super().__init__(case.shape, lambda: None, seed)
        self.case = case
        self.is_ideal = is_ideal
        self.spells = {name: self._draw_spells(SECONDS) for name in self.workers}
        for worker in self.workers.values():
            worker.is_failing = lambda at, w=worker: self.spell(w, at) is not None
        for worker, pace in zip(
            self.workers.values(), itertools.cycle(case.paces), strict=False
        ):
            worker.pace = pace
        self.loads = [Counter() for _ in case.shape.targets]
        self.hosts = [
            [_make_state(self, c, n, is_scheduling) for n in range(case.hosts)]
            for c in range(len(case.shape.targets))
        ]
        for centre, hosts in enumerate(self.hosts):
            self.shared_states[centre].health.set_scheduling(is_scheduling)
            for state in hosts:
                state.selection = TargetSelection(state)
            self._push(centre * LOAD_AGE / 3, self._sample_loads, centre)
        self.joins_at = {}
        self.orders = 0
        self.lost = 0
        self.lost_in_spells = 0.0
        self.durations = []
        self.sent_by_target = Counter()

    def _draw_spells(self, seconds):
        """Return the spells of a target, as pairs of start and end."""
        spells, at = [], 0.0
        while at < seconds:
            start = at + self.rng.expovariate(1.0 / self.case.spell_every)
            at = start + self.case.spell_seconds
            spells.append((start, at))
        return spells

    def spell(self, worker, at):
        """Return the spell in which a target is, or None."""
        spells = self.spells[worker.target.id]
        return next((s for s in spells if s[0] <= at < s[1]), None)

    def spell_count(self, until):
        """Return the number of spells that began after the warm-up."""
        starts = [start for spells in self.spells.values() for start, _ in spells]
        return sum(1 for start in starts if WARM_UP <= start < until)

    def listed(self, targets):
        """Return the targets that have joined."""
        if not self.joins_at:
            return targets
        return [t for t in targets if self.joins_at.get(t.id, 0.0) <= self.at]

    def _fails(self, worker, at):
        share = self.case.spell_fails if worker.is_failing(at) else 0.0
        return self.rng.random() < max(ALWAYS_FAILS, share)

    def _sample_loads(self, at, centre):
        self._push(at + LOAD_AGE, self._sample_loads, centre)
        shared = self.shared_states[centre]
        self.loads[centre] = Counter(
            {name: shared.in_flight(name) for name in self.workers}
        )
        for state in self.hosts[centre]:
            state.shared.note_sample()

    def _arrive(self, at, centre):
        self.at = at
        pause = self.rng.expovariate(self.shape.rates[centre])
        self._push(at + pause, self._arrive, centre)
        state = self.rng.choice(self.hosts[centre])
        is_repeatable = self.rng.random() < self.case.repeatable
        kind = RequestKind.IDEMPOTENT if is_repeatable else RequestKind.ORDER
        choice = self._choose(state, kind, at)
        name = choice.candidate.target.id
        worker = self.workers[name]
        state.shared.note_send_start(name, at)
        state.shared.own[name] += 1
        worker.sent_at.append(at)
        self.sent_by_target[name] += 1
        worker.waiting.append((centre, at, (state, kind, choice)))
        self.sent += 1
        self._work(at, worker)

    def _choose(self, state, kind, at):
        work = self.shape.work
        shared = state.shared
        profile = RequestProfile(
            kind,
            shared.times.typical_duration(SERVICE, ROUTE),
            self.case.objective * work,
            self.case.limit * work,
            1.0,
        )
        failing = set()
        if self.is_ideal:
            failing = {n for n, w in self.workers.items() if w.is_failing(at)}
        choose = state.selection.choose
        choice = choose(SERVICE, profile, failing, lambda _: False, at)
        return choice or choose(SERVICE, profile, set(), lambda _: False, at)

    def _end(self, at, worker, send):
        centre, started, (state, kind, choice), is_whole = send
        worker.busy -= 1
        name = worker.target.id
        state.shared.note_send_end(name)
        state.shared.own[name] -= 1
        if at >= WARM_UP and kind is RequestKind.ORDER:
            self._count_order(at, worker, started, is_whole)
        signal = HealthSignal.SUCCEEDED if is_whole else HealthSignal.FAILED
        seconds = (at - started) / choice.slowdown
        age = SUCCESS_AGE if is_whole else FAILURE_AGE
        self._push(at + age, self._note, centre, name, signal, seconds)
        self._work(at, worker)

    def _count_order(self, at, worker, started, is_whole):
        self.orders += 1
        self.lost += not is_whole
        if is_whole:
            self.durations.append(at - started)
        if worker.is_failing(at):
            self.lost_in_spells += (not is_whole) - ALWAYS_FAILS

    def _note(self, at, centre, name, signal, seconds):
        shared = self.shared_states[centre]
        shared.note_outcome(name, SERVICE, ROUTE, signal, seconds, at)
        is_served = signal is HealthSignal.SUCCEEDED
        shared.note_request_end(SERVICE, is_served, at)
        if shared.evidence.has_unsent:
            self._push(at + FAILURE_AGE, self._tell_far, centre)


WAYS = {
    "before": {"is_scheduling": False},
    "scheduling": {},
    "ideal": {"is_ideal": True},
}


def run_one(job):
    """Run one case with one way and seed, and return the model's counts."""
    case, way, seed = job
    model = SpellModel(case, seed, **WAYS[way])
    model.run(SECONDS)
    in_time = sum(1 for d in model.durations if d <= case.objective * case.shape.work)
    spells = model.spell_count(SECONDS)
    counts = model.orders, model.lost, in_time, model.lost_in_spells, spells
    return *counts, model.windows, model.idle_windows


def main():
    """Print the table."""
    print("| case | load | repeatable | way | lost ‰ | late ‰ | a spell | idle ‰ |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with multiprocessing.Pool(PROCESSES) as processes:
        for case, load, repeatable, way in itertools.product(
            CASES, (1.0, 3.0), (0.0, 0.3), WAYS
        ):
            played = with_load(case, load)._replace(repeatable=repeatable)
            runs = processes.map(run_one, [(played, way, seed) for seed in SEEDS])
            sums = [sum(counts) for counts in zip(*runs, strict=True)]
            orders, lost, in_time, lost_in_spells, spells, windows, idle = sums
            late = orders - lost - in_time
            parts = f"{1000 * lost / orders:.1f} | {1000 * late / orders:.1f}"
            rest = f"{lost_in_spells / spells:.2f} | {1000 * idle / windows:.0f}"
            row = f"{case.shape.name} | {load} | {repeatable}"
            print(f"| {row} | {way} | {parts} | {rest} |", flush=True)


if __name__ == "__main__":
    main()
