"""
Ways to act on what targets say of themselves, in virtual time.

The hosts of several data centres receive requests at random, unevenly spread, and send
each to the target of their data centre that seems least busy, or else to one of another
data centre. What is under way at targets is known with the delay of the hosts' gossip.

Two tables compare ways to act on a draining notice and on a backoff:

- none: nobody reads the notice;
- alone: each host keeps to the notices that it received (`ops/availability.py`);
- gossiped: a host also keeps to those that others received, with gossip's delays;
- at once (of draining): as gossiped, without the grace period in which a draining
  target is used if there is no other;
- jittered (of backoffs): as alone, and each is longer by up to a third, at random;
- waits (of backoffs): as alone, and a request that finds only such targets waits up to
  a second for the first one, where it is refused at once otherwise;
- one waits (of backoffs): the same, but only one request of a host for each target.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from plumsaddle_core.ops.availability import Availability

from .notices_check import BACKOFF_HOLDS_AFTER, DRAIN_HOLDS_AFTER, TOLERATED_IN_BACKOFF

WARM_UP = 5.0
END = 20.0
# Seconds of a peak, and for which targets reject everything.
FAULT_SECONDS = 10.0
# Seconds between two looks of a host at what is under way, and the delays of gossip.
SAMPLE_EVERY = 0.15
NEAR_DELAY = (0.02, 0.3)
FAR_DELAY = (0.1, 0.6)
NETWORK_DELAY = 0.002
# Seconds that a request takes, and that it may wait for the end of a backoff.
WORK = 0.4
WAIT = 1.0
SLOTS = 4
QUEUE = 2
ATTEMPTS = 2
RETRY_RATIO = 0.2
START_RETRIES = 10.0
MAX_RETRIES = 20.0
JITTER = 1 / 3
ONE_WAITS = "one waits"
AT_ONCE = "gossiped, at once"


class Case(NamedTuple):
    """
    What happens to a fleet.

    `load` is the demand as a part of the targets' slots, and `peak` that during
    `FAULT_SECONDS`. From `WARM_UP` on the part `draining` of the targets drains for
    `drains_for` seconds and exits; the registry does not show it. `successors` is the
    part of these that is replaced by a new target a second after it began to drain.
    Full targets reject and ask for a backoff of so many seconds, and the part
    `rejecting` rejects everything for `FAULT_SECONDS`.
    """

    hosts: int = 40
    centres: int = 3
    targets: int = 30
    load: float = 0.5
    peak: float = 0.0
    draining: float = 0.0
    drains_for: float = 8.0
    successors: float = 0.0
    backoff: float = 3.0
    rejecting: float = 0.0


class Outcome(NamedTuple):
    """
    What came of it.

    `broken` counts the requests that broke the rule, `served` and `refused` are parts
    of all requests, `lost` counts requests at targets that exited, `exposed` those sent
    to a draining target two seconds after the first host was informed, `rejected`
    rejections a second, and `rows` the marks that a host received.
    """

    broken: int
    served: float
    refused: float
    lost: int
    exposed: int
    rejected: float
    rows: float


class _Target:
    def __init__(self, name, centre):
        self.name = name
        self.centre = centre
        self.in_flight = 0
        self.sampled = 0
        self.is_draining = self.has_exited = False
        self.informed_at = {}
        self.first_informed_at = None
        # Backoffs by host: when they were asked for, and what came since.
        self.backoffs = {}


class _Host:
    def __init__(self, number, centre, grace):
        self.number = number
        self.centre = centre
        self.availability = Availability(grace)
        self.retries_left = START_RETRIES
        # Targets for the end of whose backoff a request waits.
        self.awaited = set()
        self.own = {}


class NoticeModel:
    """
    One fleet.

    Args:
      case: The `Case`.
      way: One of the ways.
      seed: The run's seed.
    """

    def __init__(self, case, way, seed=1):
        self.case, self.way = case, way
        self.rng = random.Random(seed)
        self.at = 0.0
        self._events = []
        self._order = itertools.count()
        self.asked = self.served = self.refused = self.lost = 0
        self.broken = self.exposed = self.rejected = self.rows = 0
        self.targets = [_Target(f"t{n}", n % case.centres) for n in range(case.targets)]
        self.by_centre = {c: [] for c in range(case.centres)}
        for target in self.targets:
            self.by_centre[target.centre].append(target)
        grace = 0.0 if way == AT_ONCE else DRAIN_HOLDS_AFTER
        self.hosts = [_Host(n, n % case.centres, grace) for n in range(case.hosts)]
        weights = [self.rng.expovariate(1.0) ** 0.5 for _ in self.hosts]
        total = sum(weights)
        for host, weight in zip(self.hosts, weights, strict=True):
            host.share = weight / total
            self._push(self.rng.random(), self._request, host)
        self._push(0.0, self._sample)
        drains = self.targets[: round(case.draining * case.targets)]
        for number, target in enumerate(drains):
            self._push(WARM_UP, self._drain, target)
            if number < round(case.successors * len(drains)):
                self._push(WARM_UP + 1.0, self._succeed, target)
        self._rejecting = set(self.targets[: round(case.rejecting * case.targets)])

    def _push(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._order), call, args))

    def run(self):
        """Play, and return the `Outcome`."""
        while self._events[0][0] < END:
            self.at, _, call, args = heapq.heappop(self._events)
            call(*args)
        seconds = END - WARM_UP
        return Outcome(
            self.broken,
            self.served / self.asked,
            self.refused / self.asked,
            self.lost,
            self.exposed,
            self.rejected / seconds,
            self.rows / len(self.hosts),
        )

    # Targets.

    def _sample(self):
        for target in self.targets:
            target.sampled = target.in_flight
        self._push(self.at + SAMPLE_EVERY, self._sample)

    def _drain(self, target):
        target.is_draining = True
        self._push(self.at + self.case.drains_for, self._exit, target)

    def _exit(self, target):
        target.has_exited = True
        self.lost += target.in_flight
        self.by_centre[target.centre].remove(target)

    def _succeed(self, target):
        successor = _Target(f"{target.name}-next", target.centre)
        self.targets.append(successor)
        self.by_centre[target.centre].append(successor)

    # Requests.

    def _demand(self):
        in_peak = self.case.peak and WARM_UP <= self.at < WARM_UP + FAULT_SECONDS
        part = self.case.peak if in_peak else self.case.load
        return part * self.case.targets * SLOTS / WORK

    def _request(self, host):
        rate = self._demand() * host.share
        self._push(self.at + self.rng.expovariate(rate), self._request, host)
        self.asked += self.at >= WARM_UP
        host.retries_left = min(MAX_RETRIES, host.retries_left + RETRY_RATIO)
        self._try(host, (), self.at)

    def _try(self, host, tried, begun):
        target, wait = self._choose(host, tried)
        host.awaited.discard(target)
        if target is None:
            self.refused += begun >= WARM_UP
        elif wait:
            host.awaited.add(target)
            self._push(self.at + wait, self._try, host, tried, begun)
        else:
            host.own[target] = host.own.get(target, 0) + 1
            at = self.at + NETWORK_DELAY
            self._push(at, self._arrive, host, target, tried, begun)

    def _choose(self, host, tried):
        """Return a target and the seconds to wait; the target is None if none is."""
        near = self.by_centre[host.centre]
        centres = [near]
        centres += [
            targets for targets in self.by_centre.values() if targets is not near
        ]
        for targets in centres:
            usable = [t for t in targets if t not in tried and self._is_open(host, t)]
            free = [t for t in usable if self._load_of(host, t) < SLOTS + QUEUE]
            if free:
                return self._pick(host, free), 0.0
        usable = [t for t in sum(centres, []) if t not in tried]
        last_resorts = [t for t in usable if self._may_send(host, t)]
        if last_resorts:
            return self._pick(host, last_resorts), 0.0
        backoffs = [
            (host.availability.backoff(t.name, self.at), t)
            for t in usable
            if not host.availability.is_draining(t.name)
        ]
        backoff, target = min(backoffs, key=lambda pair: pair[0], default=(WAIT, None))
        may_wait = self.way == "waits" or (
            self.way == ONE_WAITS and target not in host.awaited
        )
        if may_wait and not tried and backoff < WAIT:
            return target, backoff + 0.001
        return None, 0.0

    def _pick(self, host, targets):
        """Return the less busy one of two targets."""
        two = self.rng.sample(targets, min(2, len(targets)))
        return min(two, key=lambda target: self._load_of(host, target))

    def _load_of(self, host, target):
        return max(target.sampled, host.own.get(target, 0))

    def _is_open(self, host, target):
        return self.way == "none" or host.availability.is_open(target.name, self.at)

    def _may_send(self, host, target):
        return self.way == "none" or host.availability.may_send(target.name, self.at)

    def _arrive(self, host, target, tried, begun):
        self._check(host, target)
        is_full = target.in_flight >= SLOTS + QUEUE
        is_gray = (
            target in self._rejecting and WARM_UP <= self.at < WARM_UP + FAULT_SECONDS
        )
        if target.has_exited or is_full or is_gray:
            host.own[target] -= 1
            if not target.has_exited:
                self.rejected += self.at >= WARM_UP
                self._ask_for_backoff(host, target)
            self._retry(host, target, tried, begun)
            return
        target.in_flight += 1
        queued = max(0, target.in_flight - SLOTS) / SLOTS
        seconds = WORK * (1.0 + queued) * self.rng.uniform(0.7, 1.3)
        self._push(self.at + seconds, self._answer, host, target, begun)

    def _check(self, host, target):
        informed_at = target.informed_at.get(host)
        if informed_at is not None and self.at > informed_at + DRAIN_HOLDS_AFTER:
            self.broken += 1
        first = target.first_informed_at
        if first is not None and self.at > first + DRAIN_HOLDS_AFTER:
            self.exposed += 1
        asked_at, count = target.backoffs.get(host, (None, 0))
        if asked_at is not None and (
            asked_at + BACKOFF_HOLDS_AFTER < self.at < asked_at + self.case.backoff
        ):
            target.backoffs[host] = asked_at, count + 1
            self.broken += count + 1 > TOLERATED_IN_BACKOFF

    def _retry(self, host, target, tried, begun):
        if len(tried) + 1 < ATTEMPTS and host.retries_left >= 1.0:
            host.retries_left -= 1.0
            self._try(host, (*tried, target), begun)
        else:
            self.refused += begun >= WARM_UP

    def _answer(self, host, target, begun):
        host.own[target] -= 1
        if target.has_exited:
            return
        target.in_flight -= 1
        self.served += begun >= WARM_UP
        if target.is_draining:
            self._announce_draining(host, target)

    # Notices.

    def _ask_for_backoff(self, host, target):
        if target.backoffs.get(host, (-99.0, 0))[0] + self.case.backoff < self.at:
            target.backoffs[host] = self.at, 0
        seconds = self.case.backoff
        if not seconds:
            return
        if self.way == "jittered":
            seconds *= self.rng.uniform(1.0, 1.0 + JITTER)
        host.availability.note_backoff(target.name, seconds, self.at)
        if self.way == "gossiped":
            until = self.at + seconds
            self._gossip(host, self._merge_backoff, target, until)

    def _announce_draining(self, host, target):
        if host not in target.informed_at:
            target.informed_at[host] = self.at
        if target.first_informed_at is None:
            target.first_informed_at = self.at
        is_new = host.availability.note_draining(target.name, self.at)
        if is_new and self.way in ("gossiped", AT_ONCE):
            self._gossip(host, self._merge_draining, target)

    def _gossip(self, host, merge, *args):
        for other in self.hosts:
            if other is not host:
                is_near = other.centre == host.centre
                delay = self.rng.uniform(*(NEAR_DELAY if is_near else FAR_DELAY))
                self._push(self.at + delay, merge, other, *args)

    def _merge_draining(self, host, target):
        self.rows += 1
        host.availability.note_draining(target.name, self.at)

    def _merge_backoff(self, host, target, until):
        self.rows += 1
        host.availability.note_backoff(target.name, max(0.0, until - self.at), self.at)


SIZES = {
    "40 hosts": Case(),
    "133 hosts": Case(hosts=133, centres=3, targets=130),
    "293 hosts": Case(hosts=293, centres=5, targets=330),
}
DRAIN_CASES = {
    "one in 30 drains": {"draining": 0.034},
    "a third drains": {"draining": 0.33},
    "all drain, with successors": {"draining": 1.0, "successors": 1.0},
    "a third drains and exits after 1 s": {"draining": 0.33, "drains_for": 1.0},
}
BACKOFF_CASES = {
    "a tenth rejects everything": {"rejecting": 0.1},
    "all reject everything": {"rejecting": 1.0},
    "a peak of 1.3 times the slots": {"load": 0.6, "peak": 1.3},
    "a peak of 2 times the slots": {"load": 0.6, "peak": 2.0},
    "the same, backoffs of half a second": {"load": 0.6, "peak": 2.0, "backoff": 0.5},
    "few targets, a peak of 2 times": {"targets": 3, "load": 0.6, "peak": 2.0},
    "the same, half a second": {"targets": 3, "load": 0.6, "peak": 2.0, "backoff": 0.5},
}


DRAIN_WAYS = ("none", "alone", "gossiped", AT_ONCE)
BACKOFF_WAYS = ("none", "alone", "gossiped", "jittered", "waits", ONE_WAITS)
SEEDS = range(1, 4)


def main():
    """Print the tables, with means over the seeds."""
    print("draining: broken, served, refused, lost, exposed, rows")
    _print(DRAIN_CASES, DRAIN_WAYS, {"backoff": 0.0}, _format_draining)
    print("backoff: broken, served, refused, rejections a second, rows")
    _print(BACKOFF_CASES, BACKOFF_WAYS, {}, _format_backoff)


def _print(cases, ways, fixed, format_outcome):
    print("| case | " + " | ".join(ways) + " |")
    for size, base in SIZES.items():
        for name, change in cases.items():
            case = base._replace(**fixed, **change)
            cells = [format_outcome(_mean_outcome(case, way)) for way in ways]
            print(f"| {size}, {name} | " + " | ".join(cells) + " |", flush=True)


def _mean_outcome(case, way):
    outcomes = [NoticeModel(case, way, seed).run() for seed in SEEDS]
    means = (sum(values) / len(SEEDS) for values in zip(*outcomes, strict=True))
    return Outcome(*means)


def _format_draining(out):
    return (
        f"{out.broken:.0f}, {out.served:.3f}, {out.refused:.3f}, "
        f"{out.lost:.0f}, {out.exposed:.0f}, {out.rows:.0f}"
    )


def _format_backoff(out):
    return (
        f"{out.broken:.0f}, {out.served:.3f}, {out.refused:.3f}, "
        f"{out.rejected:.0f}, {out.rows:.0f}"
    )


if __name__ == "__main__":
    main()
