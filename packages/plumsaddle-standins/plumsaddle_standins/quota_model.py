"""
Ways to keep the limit of a workspace over a whole fleet, in virtual time.

One workspace's requests come in at random and spread unevenly over the hosts of three
data centres. Hosts tell each other as `edge/peers.py` does, over a hub and with its
delays, and some messages are lost. Hosts are cut off, each by itself, and serve on; are
killed together and forget; and limits change. Compared are four ways:

- thinned: `limits/quotas.py`;
- sum: let through while the fleet's sum, as far as it is known, leaves room;
- lent: each second a part of the limit by what each host was asked, for two seconds;
- equal: each host has the same part of the limit for ever.

The table shows the most that ran in any window against the bound, the share that was
refused, and how many were although the workspace kept to its limit.
"""

import enum
import heapq
import itertools
import random
from bisect import bisect_left
from collections import Counter
from typing import NamedTuple

from plumsaddle_core.core.traffic import Workspace
from plumsaddle_core.limits.meter import Meter, Tolerance, window_capacity
from plumsaddle_core.limits.quotas import ASSUMED_HOSTS, Quotas
from plumsaddle_core.limits.sums import workspace_tag

NAME = "one"
CENTRES = ("x", "y", "z")
TOLERANCE = Tolerance()
# Seconds between two bundles of a hub, and between what hubs tell each other; and how
# long each is under way.
NEAR_EVERY = 0.1
NEAR_DELAY = 0.02
FAR_EVERY = 0.1
FAR_DELAY = 0.08
# A hub says that it is there at least this often (seconds).
HUB_EVERY = 0.2
# What a hub's loss costs: seconds until its clients have another one.
HUB_LOST_FOR = 0.6
LEASE = 2.0
LENT_EVERY = 1.0
# Seconds before the load is what is asked for, and seconds played after that.
WARM_UP = 6.0
SECONDS = 24.0
# Seconds after the warm-up at which hosts fail.
TROUBLE_AT = 4.0


class Start(enum.Enum):
    """
    What a host admits that has heard of no other one since its start.

    The whole limit; nothing; the share of one of many hosts; or that of one of the
    hosts which the store lists.
    """

    WHOLE = "whole"
    WAIT = "wait"
    ASSUMED = "assumed"
    LISTED = "listed"


# The hosts that one assumes to exist.
ASSUMED = {Start.WAIT: 1_000_000, Start.ASSUMED: ASSUMED_HOSTS}
# Seconds after its start at which a host has read the list.
LISTED_AFTER = 0.25


class Case(NamedTuple):
    """
    What happens to a fleet.

    `load` is what is asked as a share of the rate, and `jump` the share from `jump_at`
    seconds on. Four seconds after the warm-up, `cut` of the hosts hear nobody for
    `cut_for` seconds, `killed` of them end together, `killed_after` seconds later, the
    callers of a data centre move, and `lowered` is the part of the limit that is left.
    `gone` is the part of the killed hosts that stay away, `found_after` the seconds in
    which those that are back reach nobody, and `start` how they start meanwhile.
    `unevenness` is how far hosts differ in what they are asked. `mix` has the part of
    each rank of request, the most urgent first; if it is empty, none has a rank.
    """

    load: float = 0.6
    jump: float | None = None
    jump_at: float = 4.0
    rate: float = 50.0
    burst: float = 50.0
    hosts: int = 40
    cut: float = 0.0
    cut_for: float = 12.0
    killed: float = 0.0
    killed_after: float = 0.0
    down: float = 2.0
    gone: float = 0.0
    found_after: float = 0.0
    start: Start = Start.WHOLE
    loss: float = 0.02
    unevenness: float = 1.0
    lowered: float | None = None
    hub_lost_at: float | None = None
    moves: bool = False
    mix: tuple[float, ...] = ()


class Outcome(NamedTuple):
    """
    What came of it.

    `overshoot` is the most that ran in a window as a share of the bound, `refused` the
    share of all requests that were, and `wrongly` how many of these although less than
    nine tenths of the limit had been asked in the window. `used` is what ran in a
    window as a share of the limit, on average over the requests that were refused from
    the trouble on. `rows` is what a host told a second, and `served` the share of each
    rank that ran.
    """

    overshoot: float
    refused: float
    wrongly: int
    admitted: int
    rows: float
    used: float
    served: tuple[float, ...] = ()


class _Thinned:
    """A host that goes by `Quotas`."""

    def __init__(self, model, rng):
        assumed = ASSUMED.get(model.case.start, 1)
        self.quotas = Quotas(TOLERANCE, len(CENTRES), rng, True, assumed)
        self.quotas.configure([model.workspace], model.at)

    def ask(self, model):
        quotas = self.quotas
        return quotas.acquire(model.workspace, model.at, model.rank).is_admitted

    def configure(self, model):
        self.quotas.configure([model.workspace], model.at)


class _Summed(_Thinned):
    """A host that lets through while the sum that it knows leaves room."""

    def ask(self, model):
        known = self.quotas._get_state(workspace_tag(NAME), model.at)
        tag = workspace_tag(NAME)
        is_admitted = known.meter.remaining(model.at) >= 1.0
        self.quotas._count(tag, known, 1.0, float(is_admitted), model.at)
        return is_admitted


class _Bucket:
    """A host with a bucket of its own."""

    def __init__(self, model, rng):
        self.part = 1.0 / model.case.hosts
        self.until = 0.0
        self.asked = 0
        self.meter = Meter(0.0, 1.0, TOLERANCE.window, model.at, model.at)
        self.configure(model)

    def configure(self, model):
        rate, burst = model.workspace.rate, model.workspace.burst
        capacity = window_capacity(rate, burst, TOLERANCE)
        self.meter.set_limit(rate * self.part, max(1.0, capacity * self.part))

    def ask(self, model):
        self.asked += 1
        if self.until and model.at > self.until:
            self.part, self.until = 1.0 / model.case.hosts, 0.0
            self.configure(model)
        if self.meter.remaining(model.at) < 1.0:
            return False
        self.meter.note_admitted(1.0, model.at)
        return True


WAYS = {"thinned": _Thinned, "sum": _Summed, "lent": _Bucket, "equal": _Bucket}


class QuotaModel:
    """
    A fleet before one workspace's callers.

    Args:
      case: The `Case`.
      way: A name of `WAYS`.
      seed: The run's seed.
    """

    def __init__(self, case, way="thinned", seed=1):
        self.case = case
        self.way = way
        self.at = 1000.0
        self.start = self.at
        self.workspace = Workspace(NAME, (), case.rate, case.burst)
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._rows = 0
        self.ran = []
        self.asked = []
        self.rank = None
        self._asked_by_rank = Counter()
        self._ran_by_rank = Counter()
        self._limits = [(self.at, case.rate, case.burst)]
        self._lives = [0] * case.hosts
        self._is_up = [True] * case.hosts
        self._cut = set()
        # When hosts that started again reach others.
        self._found_at = [0.0] * case.hosts
        self._hub_until = dict.fromkeys(CENTRES, 0.0)
        self.hosts = [WAYS[way](self, self._rng) for _ in range(case.hosts)]
        self._weights = [
            self._rng.expovariate(1.0) ** case.unevenness for _ in self.hosts
        ]
        self._plan()

    def _centre(self, number):
        return CENTRES[number % len(CENTRES)]

    def _plan(self):
        case = self.case
        self._push(self._draw_gap(), self._request)
        if self.way in ("thinned", "sum"):
            for number in range(case.hosts):
                self._push(self._rng.uniform(0, NEAR_EVERY), self._tell_near, number)
                self._push(self._rng.random(), self._beat, number)
            for centre in CENTRES:
                self._push(self._rng.uniform(0, FAR_EVERY), self._tell_far, centre)
                self._push(self._rng.uniform(0, FAR_EVERY), self._greet, centre)
        if self.way == "lent":
            self._push(LENT_EVERY, self._lend)
        trouble = WARM_UP + TROUBLE_AT
        if case.cut:
            self._push(trouble, self._begin_cut)
            self._push(trouble + case.cut_for, self._cut.clear)
        if case.killed:
            self._push(trouble + case.killed_after, self._kill)
        if case.lowered is not None:
            self._push(trouble, self._lower)
        if case.hub_lost_at is not None:
            for centre in CENTRES:
                self._push(case.hub_lost_at, self._lose_hub, centre)
        if case.moves:
            self._push(trouble, self._move)

    def run(self):
        """Play, and return the `Outcome`."""
        end = self.start + WARM_UP + SECONDS
        while self._events[0][0] < end:
            self.at, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.at = end
        admitted, asked = len(self.ran), len(self.asked)
        seconds = (WARM_UP + SECONDS) * self.case.hosts
        refused = (asked - admitted) / max(1, asked)
        rows = self._rows / seconds
        served = tuple(
            self._ran_by_rank[rank] / max(1, self._asked_by_rank[rank])
            for rank in range(len(self.case.mix))
        )
        return Outcome(
            self._worst(),
            refused,
            self._wrongly(),
            admitted,
            rows,
            self._used(),
            served,
        )

    def _used(self):
        """Return how much of the limit was used when requests were refused."""
        ran, window = set(self.ran), TOLERANCE.window
        used = []
        for at in self.asked:
            if at < self.start + WARM_UP + TROUBLE_AT + window or at in ran:
                continue
            _, rate, burst = [row for row in self._limits if row[0] <= at][-1]
            first, last = bisect_left(self.ran, at - window), bisect_left(self.ran, at)
            used.append((last - first) / (rate * window + burst))
        return sum(used) / len(used) if used else 1.0

    def _wrongly(self):
        """
        Return how many requests within nine tenths of the limit were refused.

        In the first window hosts do not know what was asked before it.
        """
        wrongly, first = 0, 0
        ran = set(self.ran)
        for last, at in enumerate(self.asked):
            while self.asked[first] < at - TOLERANCE.window:
                first += 1
            _, rate, burst = [row for row in self._limits if row[0] <= at][-1]
            is_known = at >= self.start + TOLERANCE.window
            is_within = last - first + 1 <= 0.9 * (rate * TOLERANCE.window + burst)
            wrongly += is_known and is_within and at not in ran
        return wrongly

    def _worst(self):
        """Return the most that ran in a window, as a share of what may run in it."""
        worst, first = 0.0, 0
        for last, at in enumerate(self.ran):
            while self.ran[first] < at - TOLERANCE.window:
                first += 1
            count = last - first + 1
            worst = max(worst, count / self._bound(self.ran[first]))
        return worst

    def _bound(self, at):
        # A lower limit binds from one window after it is in force.
        rates = [
            limit
            for since, *limit in self._limits
            if since <= at - (TOLERANCE.window if since > self.start else 0)
        ]
        rate, burst = rates[-1]
        allowed = rate * TOLERANCE.window + burst
        return allowed * (1 + TOLERANCE.overshoot) + TOLERANCE.slack

    # What happens.

    def _push(self, delay, call, *args):
        event = (self.at + delay, next(self._order), call, args)
        heapq.heappush(self._events, event)

    def _draw_gap(self):
        played = self.at - self.start
        load = self.case.load
        if self.case.jump is not None and played >= WARM_UP + self.case.jump_at:
            load = self.case.jump
        return self._rng.expovariate(max(0.01, load * self.case.rate))

    def _request(self):
        self._push(self._draw_gap(), self._request)
        (number,) = self._rng.choices(range(self.case.hosts), self._weights)
        if not self._is_up[number]:
            # The balancer's next host takes it.
            up = [n for n, is_up in enumerate(self._is_up) if is_up]
            if not up:
                return
            number = self._rng.choice(up)
        self.asked.append(self.at)
        if self.case.mix:
            (self.rank,) = self._rng.choices(range(len(self.case.mix)), self.case.mix)
            self._asked_by_rank[self.rank] += 1
        if self.hosts[number].ask(self):
            self.ran.append(self.at)
            self._ran_by_rank[self.rank] += 1

    def _begin_cut(self):
        count = int(self.case.cut * self.case.hosts)
        self._cut.update(self._rng.sample(range(self.case.hosts), count))

    def _kill(self):
        count = int(self.case.killed * self.case.hosts)
        for number in self._rng.sample(range(self.case.hosts), count):
            self._is_up[number] = False
            if self._rng.random() >= self.case.gone:
                self._push(self.case.down, self._revive, number)

    def _revive(self, number):
        self._is_up[number] = True
        self._lives[number] += 1
        self._found_at[number] = self.at + self.case.found_after
        self.hosts[number] = WAYS[self.way](self, self._rng)
        if self.case.start is Start.LISTED:
            quotas = self.hosts[number].quotas
            self._push(LISTED_AFTER, quotas.expect_hosts, self.case.hosts)

    def _lower(self):
        self.workspace = self.workspace._replace(
            rate=self.workspace.rate * self.case.lowered,
            burst=self.workspace.burst * self.case.lowered,
        )
        self._limits.append((self.at, self.workspace.rate, self.workspace.burst))
        for host in self.hosts:
            host.configure(self)

    def _lose_hub(self, centre):
        self._hub_until[centre] = self.at + HUB_LOST_FOR

    def _move(self):
        """Let all callers of one data centre move to the others."""
        for number in range(self.case.hosts):
            if self._centre(number) == CENTRES[0]:
                self._weights[number] = 0.0

    # What hosts tell each other.

    def _is_lost(self, sender, taker):
        is_cut = sender in self._cut or taker in self._cut
        if self.at < max(self._found_at[sender], self._found_at[taker]):
            is_cut = True
        is_up = self._is_up[sender] and self._is_up[taker]
        return is_cut or not is_up or self._rng.random() < self.case.loss

    def _peers(self, number):
        centre = self._centre(number)
        every = range(self.case.hosts)
        return [n for n in every if n != number and self._centre(n) == centre]

    def _tell_near(self, number):
        self._push(NEAR_EVERY, self._tell_near, number)
        self._tell_rows(number, self.hosts[number].quotas.local_rows(self.at))

    def _beat(self, number):
        self._push(1.0, self._beat, number)
        self.hosts[number].quotas.tick(self.at)
        self._tell_rows(number, [], is_beat=True)

    def _tell_rows(self, number, rows, is_beat=False):
        if not rows and not is_beat:
            return
        self._rows += len(rows)
        is_hub_lost = self.at < self._hub_until[self._centre(number)]
        if not self._is_up[number] or is_hub_lost:
            return
        if self._rng.random() < self.case.loss:
            # On the way to the hub.
            return
        life = self._lives[number]
        for taker in self._peers(number):
            if not self._is_lost(number, taker):
                self._push(NEAR_DELAY, self._take_near, taker, number, life, rows)

    def _take_near(self, taker, number, life, rows):
        if self._is_up[taker]:
            quotas = self.hosts[taker].quotas
            quotas.merge_local(f"host-{number}", life, rows, self.at)

    def _tell_far(self, centre):
        self._push(FAR_EVERY, self._tell_far, centre)
        every = range(self.case.hosts)
        able = [
            number
            for number in every
            if self._centre(number) == centre
            and self._is_up[number]
            and number not in self._cut
        ]
        if not able or self.at < self._hub_until[centre]:
            return
        hub = self.hosts[able[0]].quotas
        rows, hosts = hub.remote_rows(self.at), hub.local_hosts()
        self._rows += len(rows)
        for taker in every:
            if self._centre(taker) != centre and not self._is_lost(able[0], taker):
                args = (taker, centre, hosts, rows)
                self._push(FAR_DELAY, self._take_far, *args)

    def _greet(self, centre):
        """Let a hub say that it is there."""
        self._push(HUB_EVERY, self._greet, centre)
        if self.at < self._hub_until[centre]:
            return
        every = [n for n in range(self.case.hosts) if self._centre(n) == centre]
        hub = next((n for n in every if self._is_up[n] and n not in self._cut), None)
        for taker in every:
            if hub is not None and not self._is_lost(hub, taker):
                self.hosts[taker].quotas.note_any_message(self.at)

    def _take_far(self, taker, centre, hosts, rows):
        if self._is_up[taker]:
            self.hosts[taker].quotas.merge_remote(centre, hosts, rows, self.at)

    def _lend(self):
        """Lend each host that is heard its part of the limit."""
        self._push(LENT_EVERY, self._lend)
        total = sum(host.asked for host in self.hosts) or 1
        for number, host in enumerate(self.hosts):
            part = 0.9 * host.asked / total + 0.1 / self.case.hosts
            host.asked = 0
            if number not in self._cut and self._is_up[number]:
                host.part, host.until = part, self.at + LEASE
                host.configure(self)


CASES = {
    "0.3 of the limit": Case(load=0.3),
    "0.9 of the limit": Case(load=0.9),
    "1.1 times the limit": Case(load=1.1),
    "10 times the limit": Case(load=10.0),
    "a jump to 10 times": Case(load=0.6, jump=10.0),
    "a jump, 0.3 of the hosts cut off": Case(load=0.6, jump=6.0, cut=0.33),
    "0.6, 0.3 of the hosts cut off": Case(load=0.6, cut=0.33),
    "0.6, 0.6 of the hosts killed": Case(load=0.6, killed=0.6),
    "6 times, 0.6 of the hosts killed": Case(load=6.0, killed=0.6),
    "6 times, all hosts killed": Case(load=6.0, killed=1.0, down=1.5),
    "limit lowered to a fifth": Case(load=0.6, lowered=0.2),
    "10 times, the hubs lost": Case(load=10.0, hub_lost_at=12.0),
    "0.9, callers move": Case(load=0.9, moves=True),
    "few requests, 0.9": Case(load=0.9, rate=3.0, burst=3.0),
    "few requests, 10 times": Case(load=10.0, rate=3.0, burst=3.0),
    "many requests, 0.9": Case(load=0.9, rate=250.0, burst=250.0),
    "many requests, a jump to 10": Case(load=0.6, jump=10.0, rate=250.0, burst=250.0),
}
SIZES = (40, 133, 293)


# Hosts that list each other find each other soon; the others wait for live seeds.
STARTS = {
    Start.WHOLE: 3.0,
    Start.WAIT: 3.0,
    Start.ASSUMED: 3.0,
    Start.LISTED: 0.6,
}
LOST_SEEDS = {
    "6 times": Case(load=6.0, killed=1.0, down=0.9, gone=0.4),
    "half of the limit": Case(load=0.5, killed=1.0, down=0.9, gone=0.4),
    "6 times, the list unread": Case(load=6.0, killed=1.0, down=0.9, gone=0.4),
    "6 times, one host is left": Case(load=6.0, killed=1.0, down=0.9, gone=0.99),
}


def compare_starts(seeds=4, sizes=(8, 40, 133)):
    """Print the table of ways to start where all hosts were lost with their seeds."""
    print("| case | hosts | " + " | ".join(start.value for start in Start) + " |")
    print("| --- " * (len(Start) + 2) + "|")
    for name, hosts in itertools.product(LOST_SEEDS, sizes):
        cells = []
        for start, found_after in STARTS.items():
            case = LOST_SEEDS[name]._replace(
                hosts=hosts, start=start, found_after=found_after
            )
            if "unread" in name and start is Start.LISTED:
                case = case._replace(start=Start.ASSUMED, found_after=3.0)
            outcomes = [QuotaModel(case, "thinned", s).run() for s in range(seeds)]
            worst = max(outcome.overshoot for outcome in outcomes)
            used = sum(outcome.used for outcome in outcomes) / seeds
            wrongly = sum(outcome.wrongly for outcome in outcomes)
            cells.append(f"{worst:.2f}, {used:.2f}, {wrongly}")
        print(f"| {name} | {hosts} | {' | '.join(cells)} |", flush=True)


def main(seeds=3, sizes=SIZES):
    """Print the table."""
    print("| case | hosts | " + " | ".join(f"{way}" for way in WAYS) + " | rows/s |")
    print("| --- " * (len(WAYS) + 3) + "|")
    for name, hosts in itertools.product(CASES, sizes):
        case = CASES[name]._replace(hosts=hosts)
        cells, rows = [], 0.0
        for way in WAYS:
            outcomes = [QuotaModel(case, way, seed).run() for seed in range(seeds)]
            worst = max(outcome.overshoot for outcome in outcomes)
            refused = sum(outcome.refused for outcome in outcomes) / seeds
            wrongly = sum(outcome.wrongly for outcome in outcomes)
            cells.append(f"{worst:.2f}, {refused:.3f}, {wrongly}")
            if way == "thinned":
                rows = sum(outcome.rows for outcome in outcomes) / seeds
        print(f"| {name} | {hosts} | {' | '.join(cells)} | {rows:.2f} |", flush=True)


if __name__ == "__main__":
    main()
    compare_starts()
