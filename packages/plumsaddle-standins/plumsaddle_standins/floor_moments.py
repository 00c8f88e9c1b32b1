"""
Sound targets without requests in moments of several disturbances at once.

The events of `spell_model` in fleets of 12, 40 and 133 hosts: targets fail in spells at
all times. Then, at moments drawn by seed, some lose their paths to a part of the hosts,
some fail grayly, some crash, and new ones start. A host prefers a subset of a large
service and learns of other hosts' sends after a delay. Compared are ways to find
trials.

A target counts as sound if it is listed and was not disturbed for six seconds. A spell
is no disturbance: nothing but requests tells that one is over, and a target that failed
by itself counts as sound again soon. `checked` counts the windows of two seconds in
which between a tenth and a half of the requests were not served, and `broken` those of
them, in parts of a thousand, in which less than 0.7 of the sound targets got requests.
"""

import enum
import itertools
import math
import multiprocessing
from typing import NamedTuple

from plumsaddle_core.core.ids import TargetId
from plumsaddle_core.core.traffic import RequestKind, Target, TargetState
from plumsaddle_core.ops.choice import RequestProfile
from plumsaddle_core.ops.floor import TRIALS_PER_REQUEST, Trials, find_coverage
from plumsaddle_core.ops.peer_updates import HealthSignal, OutcomeRecord, target_tag

from .floor_model import (
    ALWAYS_FAILS,
    FLOOR_SHARE,
    ROUTE,
    SERVICE,
    Shape,
    _Worker,
)
from .spell_model import Case, SpellModel, _HostView

# Hosts in each data centre, and the service that they serve. Each target gets three
# requests and a half a second.
FLEETS = {
    12: Case(Shape("12 hosts", (4, 4, 3), (14.0, 14.0, 10.5), 2, 0.18), 4),
    40: Case(Shape("40 hosts", (12, 12, 12), (42.0, 42.0, 42.0), 2, 0.18), 13),
    133: Case(Shape("133 hosts", (40, 41, 40), (140.0, 143.0, 140.0), 2, 0.18), 44),
}
# Spells of single targets are drawn anew after so many seconds; three in ten fail.
SPELL_SECONDS, SPELL_SHARE, SPELL_FAILS = 9.0, 0.3, 0.85
# When the disturbances begin, and the end of the run.
FIRST_AT, SECONDS = 12.0, 26.0
# Seconds after a disturbance, other than a spell, until its targets count as sound.
SOUND_AFTER = 6.0
WINDOW, STEP = 2.0, 0.25
MIN_UNSERVED, MAX_UNSERVED = 0.1, 0.5
# Seconds until a host gives up a connection to a target that it can't reach.
CONNECT_SECONDS = 0.3
# Seconds for which it then avoids the target, and for which a crashed one is listed.
AVOIDED_SECONDS, LISTED_SECONDS = 8.0, 2.5
# Seconds for which a host reuses a connection.
IDLE_SECONDS = 3.0
# Seconds until the other hosts of a data centre know of a send.
USE_AGE = 0.05
WARMUP_SECONDS = 4.0
SEEDS = range(12)
PROCESSES = 4


class Kind(enum.Enum):
    """What a disturbance does to its targets."""

    # They lose the paths to a part of the hosts.
    CUT = "cut"
    # They fail a part of their requests.
    GRAY = "gray"
    CRASH = "crash"
    # New ones start instead.
    START = "start"


class Disturbance(NamedTuple):
    """
    A part of the targets is disturbed for a while.

    `extent` is the share of the hosts that are cut off, or of the requests that fail.
    """

    kind: Kind
    share: float
    at: float
    seconds: float
    extent: float


class Disturbed(NamedTuple):
    """The targets of a `Disturbance`, its time, and the hosts that are cut off."""

    disturbance: Disturbance
    names: set
    until: float
    hosts: frozenset


def draw_disturbances(rng):
    """Return the disturbances of a moment; the shares are of the targets."""
    at = FIRST_AT
    return (
        Disturbance(
            Kind.CUT, rng.uniform(0.35, 0.45), at + rng.uniform(0, 2), 8.0, 0.2
        ),
        Disturbance(
            Kind.GRAY, rng.uniform(0.05, 0.1), at + rng.uniform(0, 2), 5.0, 0.6
        ),
        Disturbance(
            Kind.GRAY, rng.uniform(0.05, 0.1), at + rng.uniform(1, 4), 5.0, 0.7
        ),
        # Some responses are lost on their way.
        Disturbance(Kind.GRAY, rng.uniform(0.3, 0.5), at + rng.uniform(0, 2), 6.0, 0.3),
        Disturbance(
            Kind.START, rng.uniform(0.1, 0.2), at + rng.uniform(2, 6), 0.0, 0.0
        ),
        Disturbance(
            Kind.CRASH, rng.uniform(0.1, 0.25), at + rng.uniform(4, 9), 5.0, 1.0
        ),
    )


class _Registry:
    """The targets that are listed, as `TargetSelection` reads them."""

    def __init__(self):
        self.targets = []
        self.revision = 0

    def put(self, target):
        self.targets.append(target)
        self.revision += 1

    def remove(self, names):
        self.targets = [t for t in self.targets if t.id not in names]
        self.revision += 1

    def usable(self, service):
        return self.targets


class _View(_HostView):
    """One host's view, in which sends of other hosts appear after a delay."""

    def __init__(self, model, centre):
        super().__init__(model, centre)
        self.own_used_at = {}

    def last_used_at(self, incarnation):
        tag = target_tag(incarnation)
        latest = self._shared.last_used_at(incarnation)
        if latest != self._shared._local_last_used_at.get(tag):
            # Another data centre reported it; updates are delayed only within one.
            return latest
        uses = self._model.uses[self._centre].get(incarnation, ())
        known = next(
            (at for at in reversed(uses) if at <= self._model.at - USE_AGE), -math.inf
        )
        return max(known, self.own_used_at.get(incarnation, -math.inf))


class MomentModel(SpellModel):
    """
    One run.

    Args:
      case: The `Case`.
      make_trials: Returns the `Trials` of a host, given the run's `random.Random`.
      seed: The run's seed.
      shares_results: Whether data centres tell each other their results.
    """

    def __init__(self, case, make_trials, seed, shares_results=True):
        case = case._replace(spell_fails=SPELL_FAILS, objective=5.0, limit=12.0)
        super().__init__(case, seed, is_scheduling=False)
        self.registry = _Registry()
        for worker in self.workers.values():
            self.registry.put(worker.target)
        self.numbers = itertools.count()
        self.disturbed = []
        self.uses = [{} for _ in self.hosts]
        self.unreachable = {}
        self.connections = {}
        self.ends = []
        self.shares_results = shares_results
        self.trials = 0
        self.lost_trials = 0
        self.checked = self.broken = 0
        self.worst = 1.0
        for centre, hosts in enumerate(self.hosts):
            for state in hosts:
                state.registry = self.registry
                state.limits.admissible = lambda *_: self.registry.targets
                state.selection._trials = make_trials(self.rng)
                state.shared = _View(self, centre)
        for disturbance in draw_disturbances(self.rng):
            self._push(disturbance.at, self._disturb, disturbance)
        self._push(FIRST_AT, self._check_floor)

    def _draw_spells(self, seconds):
        """Return the spells of a target, as pairs of start and end."""
        starts = range(math.ceil(seconds / SPELL_SECONDS) + 1)
        phase = self.rng.random() - 1.0
        return [
            ((number + phase) * SPELL_SECONDS, (number + phase + 1) * SPELL_SECONDS)
            for number in starts
            if self.rng.random() < SPELL_SHARE
        ]

    # Disturbances.

    def _disturb(self, at, disturbance):
        if disturbance.kind is Kind.START:
            self._start_targets(at, disturbance.share)
            return
        count = math.ceil(disturbance.share * len(self.registry.targets))
        names = {t.id for t in self.rng.sample(self.registry.targets, count)}
        hosts = ()
        if disturbance.kind is Kind.CUT:
            everyone = [state.settings.id for state in itertools.chain(*self.hosts)]
            count = math.ceil(disturbance.extent * len(everyone))
            hosts = self.rng.sample(everyone, count)
        until = at + disturbance.seconds
        self.disturbed.append(Disturbed(disturbance, names, until, frozenset(hosts)))
        if disturbance.kind is Kind.CRASH:
            self._push(at + LISTED_SECONDS, lambda _: self.registry.remove(names))

    def _start_targets(self, at, share):
        for number in range(math.ceil(share * len(self.workers))):
            centre = number % len(self.shape.targets)
            target = Target(
                id=TargetId(f"{centre}-new-{number}"),
                service=SERVICE,
                address="",
                data_centre=str(centre),
                slots=self.shape.slots,
                state=TargetState.READY,
                warmup=WARMUP_SECONDS,
                read_at=at,
            )
            worker = self.workers[target.id] = _Worker(target, self.rng)
            worker.started_at = at
            self.spells[target.id] = self._draw_spells(SECONDS)
            worker.is_failing = lambda t, w=worker: self.spell(w, t) is not None
            self.registry.put(target)

    def _find_disturbed(self, name, at, after=0.0):
        """Return what disturbs a target, or did up to some seconds before."""
        return [
            disturbed
            for disturbed in self.disturbed
            if name in disturbed.names
            and disturbed.disturbance.at <= at < disturbed.until + after
        ]

    def is_sound(self, worker, at):
        """Return whether the rule counts a target as sound."""
        name = worker.target.id
        started = getattr(worker, "started_at", -math.inf)
        listed = any(t.id == name for t in self.registry.targets)
        return (
            listed
            and at - started > WINDOW
            and not self._find_disturbed(name, at, SOUND_AFTER)
        )

    def _check_floor(self, at):
        self._push(at + STEP, self._check_floor)
        recent = [is_served for when, is_served in self.ends if when > at - WINDOW]
        self.ends = [end for end in self.ends if end[0] > at - WINDOW]
        unserved = 1.0 - sum(recent) / max(1, len(recent))
        sound = [w for w in self.workers.values() if self.is_sound(w, at)]
        if not sound or not MIN_UNSERVED < unserved < MAX_UNSERVED:
            return
        self.checked += 1
        used = sum(1 for w in sound if w.was_used(at)) / len(sound)
        self.broken += used < FLOOR_SHARE
        self.worst = min(self.worst, used)

    # Requests.

    def _tell_far(self, at, centre, is_periodic=False):
        super()._tell_far(at, centre, is_periodic)
        if not self.shares_results:
            return
        results = self.shared_states[centre].results(at, are_all=is_periodic)
        for other, shared in enumerate(self.shared_states):
            if other != centre:
                shared.apply_remote_results(str(centre), results, at)

    def _has_connection(self, state, name, at):
        used_at = self.connections.get((state.settings.id, name), -math.inf)
        return at - used_at < IDLE_SECONDS

    def _choose(self, state, kind, at):
        work = self.shape.work
        profile = RequestProfile(
            kind,
            state.shared.times.typical_duration(SERVICE, ROUTE),
            self.case.objective * work,
            self.case.limit * work,
            1.0,
        )
        excluded = {
            name
            for (host, name), until in self.unreachable.items()
            if host == state.settings.id and at < until
        }
        return state.selection.choose(
            SERVICE,
            profile,
            excluded,
            lambda name: self._has_connection(state, name, at),
            at,
        )

    def _arrive(self, at, centre):
        self.at = at
        pause = self.rng.expovariate(self.shape.rates[centre])
        self._push(at + pause, self._arrive, centre)
        state = self.rng.choice(self.hosts[centre])
        choice = self._choose(state, RequestKind.ORDER, at)
        self.sent += 1
        self._send(at, centre, state, choice)

    def _send(self, at, centre, state, choice):
        name, host = choice.candidate.target.id, state.settings.id
        worker = self.workers[name]
        is_trial = choice.rule.value == "floor-trial"
        self.trials += is_trial
        state.shared.note_send_start(name, at)
        state.shared.own[name] += 1
        state.shared.own_used_at[name] = at
        self.uses[centre].setdefault(name, []).append(at)
        is_unreachable = any(
            disturbed.disturbance.kind is Kind.CRASH or host in disturbed.hosts
            for disturbed in self._find_disturbed(name, at)
        )
        if is_unreachable:
            send = (centre, at, (state, is_trial, choice))
            self._push(at + CONNECT_SECONDS, self._end_unreached, worker, send)
            return
        self.connections[host, name] = at
        worker.sent_at.append(at)
        worker.waiting.append((centre, at, (state, is_trial, choice)))
        self._work(at, worker)

    def _fails(self, worker, at):
        share = self.case.spell_fails if worker.is_failing(at) else ALWAYS_FAILS
        for disturbance, *_ in self._find_disturbed(worker.target.id, at):
            if disturbance.kind is Kind.GRAY:
                share = max(share, disturbance.extent)
        return self.rng.random() < share

    def _end_unreached(self, at, worker, send):
        """Open a connection elsewhere after one that got no response."""
        centre, started, (state, is_trial, choice) = send
        name = worker.target.id
        state.shared.note_send_end(name)
        state.shared.own[name] -= 1
        self.unreachable[state.settings.id, name] = at + AVOIDED_SECONDS
        signal = HealthSignal.UNREACHABLE
        self._push(at, self._note_elsewhere, centre, name, signal, CONNECT_SECONDS)
        self.lost_trials += is_trial
        self._send(at, centre, state, self._choose(state, RequestKind.ORDER, at))

    def _note_elsewhere(self, at, centre, name, signal, seconds):
        # The state is shared by the hosts, but the path is one host's.
        number = next(self.numbers)
        outcome = OutcomeRecord(number, name, SERVICE, ROUTE, signal, seconds)
        self.shared_states[centre].health.apply(outcome, at)

    def _end(self, at, worker, send):
        centre, started, (state, is_trial, choice), is_whole = send
        kind = RequestKind.ORDER
        super()._end(at, worker, (centre, started, (state, kind, choice), is_whole))
        self.served += is_whole
        self.lost_trials += is_trial and not is_whole
        self.ends.append((at, is_whole))


class OtherTrials(Trials):
    """
    Other ways to find trials.

    Args:
      rng: A `random.Random`.
      share: The share of the capacity to keep in use while a service is degraded.
      limit: The failing probability up to which targets are then tried.
      rate: The trials of a target each second by all hosts of a data centre, or None
        if every host may try it with each request.
      count_share: The share of all targets to keep in use while a service is degraded,
        the likeliest sound ones first, whatever their failing probability.
    """

    def __init__(self, rng, share=0.85, limit=0.6, rate=None, count_share=0.0):
        super().__init__()
        self._rng = rng
        self._share = share
        self._limit = limit
        self._rate = rate
        self._count_share = count_share
        self._tokens = 1.0
        self._found_at = 0.0
        self._interval = 1.0

    def find(self, service, list_targets, shared, floor_share, now, max_failing=0.6):
        self._tokens = min(1.0, self._tokens + TRIALS_PER_REQUEST)
        self._interval += 0.1 * (min(now - self._found_at, 5.0) - self._interval)
        self._found_at = now
        is_degraded = shared.is_degraded_overall(service, now)
        if self._tokens < 1.0 and not is_degraded:
            return None
        incarnations, eligible = list_targets()
        coverage = find_coverage(
            incarnations,
            lambda name: shared.failing_probability(name, now),
            shared.last_used_at,
            now,
        )
        due = self._due(coverage, is_degraded) & eligible
        if not due:
            return None
        if self._rate is None:
            trial = min(due, key=coverage.unused.get)
        else:
            requests = shared.live_host_count() / self._interval
            if self._rng.random() * requests >= self._rate * len(due):
                return None
            trial = self._rng.choice(sorted(due))
        self._tokens = max(0.0, self._tokens - 1.0)
        return trial

    def _due(self, coverage, is_degraded):
        """Return the targets of any data centre that need a trial."""
        share = self._share if is_degraded else 0.85
        limit = self._limit if is_degraded else 0.6
        due = set()
        if coverage.share < share:
            due = {name for name, p in coverage.unused.items() if p <= limit}
        if is_degraded:
            used = coverage.targets - len(coverage.unused)
            missing = math.ceil(self._count_share * coverage.targets) - used
            ranked = sorted(coverage.unused, key=coverage.unused.get)
            due |= set(ranked[: max(0, missing)])
        return due


WAYS = {
    "ours": Trials,
    # Data centres judge a service by their own results alone.
    "apart": Trials,
    # Every host tries the likeliest idle target, until the floor is met.
    "unspaced": lambda rng: OtherTrials(rng),
    "all": lambda rng: OtherTrials(rng, share=1.0),
    "spaced": lambda rng: OtherTrials(rng, rate=5.0),
    "all, spaced": lambda rng: OtherTrials(rng, share=1.0, rate=5.0),
    "0.75": lambda rng: OtherTrials(rng, share=1.0, limit=0.75, rate=5.0),
    "0.8": lambda rng: OtherTrials(rng, share=1.0, limit=0.8, rate=5.0),
    "0.9": lambda rng: OtherTrials(rng, share=1.0, limit=0.9, rate=5.0),
    "count 0.85": lambda rng: OtherTrials(rng, rate=5.0, count_share=0.85),
    "count 0.9": lambda rng: OtherTrials(rng, rate=5.0, count_share=0.9),
}


def run_one(job):
    """Run one fleet with one way and seed, and return the model's counts."""
    hosts, way, seed = job
    model = MomentModel(FLEETS[hosts], WAYS[way], seed, way != "apart")
    model.run(SECONDS)
    counts = model.sent, model.served, model.trials, model.lost_trials
    return *counts, model.checked, model.broken, model.worst


def main():
    """Print the table, in parts of a thousand."""
    print("| hosts | way | served | trials | lost trials | checked | broken | worst |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with multiprocessing.Pool(PROCESSES) as processes:
        for hosts, way in itertools.product(FLEETS, WAYS):
            runs = processes.map(run_one, [(hosts, way, seed) for seed in SEEDS])
            *sums, worsts = zip(*runs, strict=True)
            sent, served, trials, lost, checked, broken = map(sum, sums)
            parts = " | ".join(f"{1000 * n / sent:.0f}" for n in (served, trials, lost))
            share = f"{1000 * broken / max(1, checked):.0f}"
            row = f"| {hosts} | {way} | {parts} | {checked} | {share}"
            print(f"{row} | {min(worsts):.2f} |", flush=True)


if __name__ == "__main__":
    main()
