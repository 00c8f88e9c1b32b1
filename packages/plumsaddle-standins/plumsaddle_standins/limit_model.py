"""
Ways to keep the rate limits of targets over all hosts, in virtual time.

The hosts of one data centre receive requests at random, unevenly spread, for a service
whose targets name limits. Hosts gossip through a hub, with its delays, and messages are
lost. Compared are:

- none: nobody reads the limit;
- alone: each host applies each limit to its own requests;
- summed: hosts gossip what they sent and admit in part, as for workspaces;
- picked: each target is given to as many hosts as its rate feeds, by their hashes;
- shared: `limits/`, which lays targets and hosts out on one line;
- granted: one host a target, by rendezvous hashing, grants each request by datagram.

The table shows the most that a target received in any window, as a part of what its
limit tolerates; the part of the limits, or of the demand if that is less, that was
used; the part of the requests that was refused although some target had room; and
the messages that a host sent a second for it.
"""

import heapq
import itertools
import math
import random
import zlib
from typing import NamedTuple

from plumsaddle_core.core.traffic import Target, TargetState
from plumsaddle_core.limits.bucket import TokenBucket
from plumsaddle_core.limits.membership import Membership
from plumsaddle_core.limits.meter import Meter
from plumsaddle_core.limits.targets import TargetLimits

from .windows import LIMIT_HOLDS_AFTER, LIMIT_WINDOW, most_in_window, tolerated

# Seconds between two messages of a host to all others, and how long one is under way.
GOSSIP_EVERY = 0.25
DELAY = (0.02, 0.3)
URGENT_DELAY = (0.005, 0.12)
LOSS = 0.02
# A datagram to another host of the data centre and back, in seconds.
ROUND_TRIP = 0.003
# Seconds after which the limits are named, from which they must hold, and the end.
NAMED_AT = 12.0
HELD_FROM = NAMED_AT + LIMIT_HOLDS_AFTER
END = HELD_FROM + 24.0
# What befalls the fleet begins, and ends.
FAULT_AT = HELD_FROM + 4.0
FAULT_UNTIL = FAULT_AT + 10.0
# Seconds after which a host that has passed on a limit must keep to it. What others
# send is not counted.
TOLD_FOR = 0.5
# Seconds that a request may wait for a token.
WAIT = 1.0
# Seconds that a killed host is away.
DOWN_FOR = 3.0


class Case(NamedTuple):
    """
    What happens to a data centre.

    `load` is the demand as a part of all limits together. From `FAULT_AT` on `cut` of
    the hosts neither hear nor reach another one, `killed` of them restart, and `added`
    new ones come. With `flips`, limits are halved and doubled by turns each second.
    """

    hosts: int = 13
    targets: int = 5
    rate: float = 2.3
    load: float = 1.5
    unevenness: float = 0.5
    cut: float = 0.0
    killed: float = 0.0
    added: int = 0
    flips: bool = False


class Outcome(NamedTuple):
    """What came of it, as the module's comment says."""

    overshoot: float
    used: float
    refused: float
    messages: float


class _Host:
    """What every way knows of a host."""

    def __init__(self, number, model):
        self.number = number
        self.name = f"host-{number}"
        self.weight = model.rng.expovariate(1.0) ** model.case.unevenness
        self.is_up = True
        self.restart(model)

    def restart(self, model):
        """Begin anew, without what was known before."""
        self.is_named = dict.fromkeys(range(model.case.targets), False)
        # When it passed on the first answer of a target that named a limit.
        self.told_at = dict.fromkeys(range(model.case.targets), math.inf)
        self.limits = TargetLimits(Membership(self.name, model.at), model.rng)
        self.meters = {}
        self.buckets = {}
        # Requests from callers, and sends by target, that others have not been told.
        self.untold = 0
        self.unsummed = {}


class LimitModel:
    """
    One data centre.

    Args:
      case: The `Case`.
      way: A name of `WAYS`.
      seed: The run's seed.
    """

    def __init__(self, case, way, seed=1):
        self.case = case
        self.way = way
        self.rng = random.Random(seed)
        self.at = 0.0
        self.rates = [case.rate] * case.targets
        self.arrivals = [[] for _ in range(case.targets)]
        self.asked = self.sent = self.refused_with_room = self.messages = 0
        self._cut = set()
        self._events = []
        self._order = itertools.count()
        self._ideal = [TokenBucket(case.rate, 1.0, 0.0) for _ in self.rates]
        self._owner_buckets = {}
        self.targets = [
            Target(f"t-{n}", "s", f"h:{n}", "x", 4, TargetState.READY, 0, 0)
            for n in range(case.targets)
        ]
        self.hosts = [_Host(number, self) for number in range(case.hosts)]
        demand = case.load * case.rate * case.targets
        total = sum(host.weight for host in self.hosts)
        for host in self.hosts:
            self._add(host, demand * host.weight / total)
        self._plan()

    def _plan(self):
        case = self.case
        if case.flips:
            for second in range(int(NAMED_AT) + 1, int(END)):
                self._push(second, self._flip, second % 2)
        if case.cut:
            count = int(case.cut * case.hosts)
            self._push(FAULT_AT, self._cut.update, range(count))
            self._push(FAULT_UNTIL, self._cut.clear)
        if case.killed:
            for number in range(int(case.killed * case.hosts)):
                self._push(FAULT_AT, self._kill, self.hosts[number])
        for number in range(case.added):
            self._push(FAULT_AT, self._join, case.hosts + number)

    def _add(self, host, demand):
        host.demand = demand
        self._push(self.at + self.rng.expovariate(demand), self._request, host)
        self._push(self.at + self.rng.random() * GOSSIP_EVERY, self._gossip, host)

    def _push(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._order), call, args))

    def run(self):
        """Play, and return the `Outcome`."""
        while self._events[0][0] < END:
            self.at, _, call, args = heapq.heappop(self._events)
            call(*args)
        seconds = END - HELD_FROM
        limit = self.case.rate * self.case.targets
        demand = min(1.0, self.case.load) * limit
        # With halved limits by turns the mean is three quarters.
        room = 0.75 * limit if self.case.flips else limit
        return Outcome(
            max(self._worst(times) for times in self.arrivals),
            self.sent / (min(room, demand) * seconds),
            self.refused_with_room / max(1, self.asked),
            self.messages / END / len(self.hosts),
        )

    def _worst(self, times):
        """Return the most arrivals in a window as a part of what is tolerated."""
        most = most_in_window(times, LIMIT_WINDOW, HELD_FROM)
        return most / tolerated(self.case.rate)

    # What happens.

    def _flip(self, is_low):
        rate = self.case.rate * (0.5 if is_low else 1.0)
        self.rates = [rate] * self.case.targets
        for ideal in self._ideal:
            ideal.set_rate(rate, 1.0, self.at)

    def _kill(self, host):
        host.is_up = False
        self._push(self.at + DOWN_FOR, self._start, host)

    def _start(self, host):
        host.is_up = True
        host.restart(self)

    def _join(self, number):
        host = _Host(number, self)
        self.hosts.append(host)
        self._add(host, self.hosts[0].demand)

    def _request(self, host):
        self._push(self.at + self.rng.expovariate(host.demand), self._request, host)
        if not host.is_up:
            return
        self._note_request(host)
        if self.at >= HELD_FROM:
            self.asked += 1
        allowed = WAYS[self.way](self, host)
        if allowed:
            self._reserve(host, self.rng.choice(allowed))
        elif self.at >= HELD_FROM and self._has_room():
            self.refused_with_room += 1

    def _has_room(self):
        return any(ideal.tokens(self.at) >= 1.0 for ideal in self._ideal)

    def _reserve(self, host, number):
        """Send at once, or when the host's share allows it."""
        wait = 0.0
        if self.way == "shared":
            wait = host.limits.wait(self.targets[number], self.at)
        take = _TAKE.get(self.way)
        if take is not None:
            take(self, host, number)
        if wait:
            self._push(self.at + wait, self._send_delayed, host, number)
        else:
            self._send(host, number)

    def _send_delayed(self, host, number):
        """Send after a wait, or to another target if the host has no share any more."""
        targets = host.limits.admissible(self.targets, "x", math.inf, 1, self.at)
        if not host.is_up:
            return
        if self.targets[number] in targets:
            self._send(host, number)
        elif allowed := WAYS[self.way](self, host):
            self._reserve(host, self.rng.choice(allowed))

    def _send(self, host, number):
        if self.at >= host.told_at[number] + TOLD_FOR:
            self.arrivals[number].append(self.at)
        self.sent += self.at >= HELD_FROM
        ideal = self._ideal[number]
        if ideal.tokens(self.at) >= 1.0:
            ideal.acquire(self.at)
        rate = self.rates[number] if self.at >= NAMED_AT else None
        answered_at = self.at + self.rng.uniform(0.05, 0.3)
        self._push(answered_at, self._answer, host, number, rate, self.at)

    def _answer(self, host, number, rate, sent_at):
        host.is_named[number] = host.is_named[number] or rate is not None
        if rate is not None:
            host.told_at[number] = min(host.told_at[number], self.at)
        named = host.limits.advertised
        if self.way == "shared":
            life = self.targets[number].incarnation
            if named.observe(life, rate, sent_at, self.at):
                self._tell(host, URGENT_DELAY)
        elif rate is not None:
            # The other ways are given the knowledge of the limit, and its changes.
            for other in self.hosts:
                other.is_named[number] = True

    # What hosts tell.

    def _gossip(self, host):
        self._push(self.at + GOSSIP_EVERY, self._gossip, host)
        if host.is_up:
            self._tell(host, DELAY)

    def _tell(self, host, delays):
        rows = []
        if self.way == "shared":
            rows = host.limits.advertised.local_rows()
            rows += host.limits.advertised.anti_entropy_rows(1, self.rng)
        counts, host.untold = host.untold, 0
        sent, host.unsummed = host.unsummed, {}
        at = self.at
        if host.number in self._cut:
            return
        delay = self.rng.uniform(*delays)
        self._push(at + delay, self._note_reached, host, at)
        for other in self.hosts:
            is_lost = self.rng.random() < LOSS
            if other is not host and not is_lost:
                args = (other, host.name, rows, counts, sent)
                self._push(at + delay, self._take, *args)

    def _note_reached(self, host, sent_at):
        host.limits.membership.note_delivered(sent_at)

    def _take(self, host, name, rows, counts, sent):
        if not host.is_up or host.number in self._cut:
            return
        roster = host.limits.membership
        roster.note_message(name, self.at)
        if counts:
            roster.note_demand(name, "s", counts, self.at)
        for row in rows:
            host.limits.advertised.merge(row, True, self.at)
        for number, count in sent.items():
            meter = _meter(self, host, number)
            meter.note_requested(count, self.at)
            meter.note_admitted(count, self.at)

    def _note_request(self, host):
        host.untold += 1
        host.limits.membership.note_own_demand("s", 1, self.at)


def _all(model, host):
    return range(model.case.targets)


def _alone(model, host):
    return [
        number
        for number in range(model.case.targets)
        if not host.is_named[number]
        or _own_bucket(model, host, number, 1.0).tokens(model.at) >= 1.0
    ]


def _own_bucket(model, host, number, part):
    bucket = host.buckets.get(number)
    rate = model.rates[number] * part
    if bucket is None:
        bucket = host.buckets[number] = TokenBucket(rate, 1.5, model.at)
    elif bucket.rate != rate:
        bucket.set_rate(rate, 1.5, model.at)
    return bucket


def _take_own(model, host, number):
    bucket = host.buckets.get(number)
    if bucket is not None:
        bucket.acquire(model.at)


def _meter(model, host, number):
    meter = host.meters.get(number)
    if meter is None:
        rate = model.rates[number]
        capacity = rate * LIMIT_WINDOW + 1.0
        at = model.at
        meter = host.meters[number] = Meter(rate, capacity, LIMIT_WINDOW, at, at)
    return meter


def _summed(model, host):
    allowed = []
    for number in range(model.case.targets):
        if not host.is_named[number]:
            allowed.append(number)
            continue
        meter = _meter(model, host, number)
        meter.set_limit(model.rates[number], model.rates[number] * LIMIT_WINDOW + 1.0)
        # Each request could go to any target.
        meter.note_requested(1.0 / model.case.targets, model.at)
        chance = meter.admission_probability(1.0, meter.demand(model.at), model.at)
        if model.rng.random() < chance:
            allowed.append(number)
    return allowed


def _take_summed(model, host, number):
    _meter(model, host, number).note_admitted(1.0, model.at)
    host.unsummed[number] = host.unsummed.get(number, 0) + 1


def _ranked(model, host, number):
    """Return the hosts that a host knows, in the order of a target."""
    names = [d.host for d in host.limits.membership.demands("s", model.at)]
    return sorted(names, key=lambda n: zlib.crc32(f"{n} {number}".encode()))


def _picked(model, host):
    host.limits.membership.may_send(model.at)
    allowed = []
    for number in range(model.case.targets):
        if not host.is_named[number]:
            allowed.append(number)
            continue
        count = max(1, int(model.rates[number]))
        senders = _ranked(model, host, number)[:count]
        if host.name not in senders:
            host.buckets.pop(number, None)
        else:
            bucket = _own_bucket(model, host, number, 1.0 / len(senders))
            if bucket.tokens(model.at) >= 1.0:
                allowed.append(number)
    return allowed


def _shared(model, host):
    for longest in (0.0, WAIT):
        targets = host.limits.admissible(model.targets, "x", longest, 1, model.at)
        if targets:
            return [int(target.id.partition("-")[2]) for target in targets]
    return []


def _take_shared(model, host, number):
    host.limits.acquire(model.targets[number], model.at)


def _granted(model, host):
    """Ask the owner of one target after the other until one grants."""
    host.limits.membership.may_send(model.at)
    numbers = list(range(model.case.targets))
    model.rng.shuffle(numbers)
    for number in numbers:
        if not host.is_named[number]:
            return [number]
        owner = _ranked(model, host, number)[0]
        asks_itself = owner == host.name
        model.messages += 0 if asks_itself else 2
        owning = next(h for h in model.hosts if h.name == owner)
        is_away = not owning.is_up or (
            not asks_itself and {owning.number, host.number} & model._cut
        )
        if is_away or (not asks_itself and model.rng.random() < 2 * LOSS):
            continue
        bucket = _own_bucket(model, owning, number, 1.0)
        if bucket.tokens(model.at) >= 1.0:
            bucket.acquire(model.at)
            return [number]
    return []


WAYS = {
    "none": _all,
    "alone": _alone,
    "summed": _summed,
    "picked": _picked,
    "shared": _shared,
    "granted": _granted,
}
_TAKE = {
    "alone": _take_own,
    "summed": _take_summed,
    "picked": _take_own,
    "shared": _take_shared,
}

CASES = {
    "13 hosts, 2.3 a second": Case(),
    "the same, a fifth of the limits asked": Case(load=0.2),
    "the same, 0.9 of the limits asked": Case(load=0.9),
    "the same, 5 times the limits": Case(load=5.0),
    "0.2 a second": Case(rate=0.2),
    "20 a second": Case(rate=20.0),
    "200 a second": Case(rate=200.0, targets=2),
    "one target": Case(targets=1),
    "very uneven callers": Case(unevenness=2.0),
    "limits halved and doubled": Case(flips=True),
    "a third cut off": Case(cut=0.34),
    "half killed": Case(killed=0.5),
    "all killed": Case(killed=1.0),
    "three hosts added": Case(added=3),
    "45 hosts, 20 targets": Case(hosts=45, targets=20),
    "59 hosts, 36 targets": Case(hosts=59, targets=36),
    "100 hosts, 75 targets": Case(hosts=100, targets=75),
    "100 hosts, 75 targets, a third cut off": Case(hosts=100, targets=75, cut=0.34),
}


def main():
    """Print the table."""
    print("| case | " + " | ".join(WAYS) + " |")
    for name, case in CASES.items():
        cells = []
        for way in WAYS:
            outcome = LimitModel(case, way).run()
            cells.append(
                f"{outcome.overshoot:.2f}, {outcome.used:.2f}, "
                f"{outcome.refused:.2f}, {outcome.messages:.0f}"
            )
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
