"""
Ways to serve callers of hosts that are partitioned from all targets, in virtual time.

The hosts of several data centres receive requests at random, unevenly spread. At
`CUT_AT` a part of them is partitioned. A host then opens each connection through a
gateway; a gateway that is partitioned itself answers that it is unavailable once it
knows, and nothing before. Which hosts are gateways is known with the delay of gossip.

- none: connections to targets fail;
- balancer: partitioned hosts report that they are not ready, and the load balancer
  sends them no new requests after two checks, unless that leaves too few;
- blind: any host that is known is asked, the own data centre's first;
- local: hosts advertise that they are gateways, the own data centre's come first;
- shared: the same, but gateways of other data centres take part if there are few local
  ones (`ops/gateways.py`).
"""

import heapq
import itertools
import random
from collections import Counter
from typing import NamedTuple

from plumsaddle_core.ops import gateways as gateways_module
from plumsaddle_core.ops.gateways import MAX_GATEWAYS_TO_ASK, Gateways
from plumsaddle_core.ops.paths import HostPaths, PathState, PathVerdict

CUT_AT = 10.0
END = 22.0
# Seconds after the cut from which requests count.
CONTACT = 3.0
# Seconds until a direct attempt is given up, a gateway has answered, and a gateway that
# does not know its own partition has not.
FALLBACK_DELAY = 0.1
ROUND_TRIP = 0.005
SILENT_GATEWAY = 0.05
LOCAL_GOSSIP = (0.05, 0.4)
REMOTE_GOSSIP = (0.1, 1.4)
# Checks of the load balancer, and the share of ready hosts below which it uses all.
BALANCER_DELAY = 2.0
MIN_READY = 0.5
# Requests a second of a host, and the times that which it can carry.
RATE = 3.0
CAPACITY = 4.0
WINDOW = 1.0
WAYS = ("none", "balancer", "blind", "local", "shared")


class Case(NamedTuple):
    """
    A fleet and its partition.

    `cut` is the part of all hosts that is partitioned, first those of the first data
    centre if `is_whole`, otherwise at random.
    """

    hosts: int
    centres: int
    cut: float
    is_whole: bool = False


class Outcome(NamedTuple):
    """
    What came of it, from `CONTACT` after the cut on.

    `served` and `served_at_others` are parts of the requests at partitioned and other
    hosts, `asked` gateways for each connection, `remote` the part of carried requests
    that left the data centre, and `peak` the load of the busiest host, in times of the
    mean.
    """

    served: float
    served_at_others: float
    asked: float
    remote: float
    peak: float


class _Host:
    def __init__(self, number, centre):
        self.number = number
        self.centre = centre
        self.is_cut = False
        self.paths = HostPaths()
        self.gateways = None
        # Hosts that this one believes to be no gateways.
        self.partitioned = set()
        self.load = []


class PartitionModel:
    """
    One fleet.

    Args:
      case: The `Case`.
      way: One of `WAYS`.
      seed: The run's seed.
    """

    def __init__(self, case, way, seed=1):
        self.case, self.way = case, way
        self.rng = random.Random(seed)
        self.at = 0.0
        self._events = []
        self._order = itertools.count()
        self.counts = Counter()
        self.hosts = [_Host(n, n % case.centres) for n in range(case.hosts)]
        self.by_centre = {
            c: [h for h in self.hosts if h.centre == c] for c in range(case.centres)
        }
        for host in self.hosts:
            host.gateways = Gateways(self._lister(host), self.rng)
            weight = self.rng.expovariate(1.0) ** 0.5
            self._push(self.rng.random(), self._request, host, RATE * weight)
        self._push(CUT_AT, self._cut)

    def _lister(self, host):
        def list_local(now):
            others = [h for h in self.by_centre[host.centre] if h is not host]
            return [h for h in others if self._seems_gateway(host, h)], len(others)

        return list_local

    def _seems_gateway(self, host, other):
        return self.way == "blind" or other not in host.partitioned

    def _push(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._order), call, args))

    def run(self):
        """Play, and return the `Outcome`."""
        while self._events[0][0] < END:
            self.at, _, call, args = heapq.heappop(self._events)
            call(*args)
        counts = self.counts
        span = END - CUT_AT - CONTACT
        mean = sum(len(h.load) for h in self.hosts) / len(self.hosts) / span
        peak = max(len(h.load) for h in self.hosts) / span
        return Outcome(
            counts["cut served"] / max(1, counts["cut"]),
            counts["other served"] / max(1, counts["other"]),
            counts["asked"] / max(1, counts["tunnels"]),
            counts["remote"] / max(1, counts["carried"]),
            peak / max(0.001, mean),
        )

    def _cut(self):
        count = round(self.case.cut * len(self.hosts))
        order = self.rng.sample(self.hosts, len(self.hosts))
        if self.case.is_whole:
            order.sort(key=lambda host: host.centre)
        for host in order[:count]:
            host.is_cut = True

    def _request(self, host, rate):
        self._push(self.at + self.rng.expovariate(rate), self._request, host, rate)
        if self.way == "balancer" and not self._is_in_rotation(host):
            ready = [h for h in self.hosts if self._is_in_rotation(h)]
            host = self.rng.choice(ready)
        counts = self.at >= CUT_AT + CONTACT
        kind = "cut" if host.is_cut else "other"
        self.counts[kind] += counts
        is_served = self._serve(host, counts)
        self.counts[f"{kind} served"] += counts and is_served

    def _is_in_rotation(self, host):
        """Return whether the balancer sends new connections to a host."""
        centre = self.by_centre[host.centre]
        if self.at < CUT_AT + BALANCER_DELAY or not host.is_cut:
            return True
        return sum(not h.is_cut for h in centre) < MIN_READY * len(centre)

    def _serve(self, host, counts):
        if not host.is_cut:
            return self._carry(host, counts)
        if self.way in ("none", "balancer"):
            return False
        gateway = self._find_gateway(host)
        if gateway is None:
            self._note(host, PathVerdict.UNCONFIRMED)
            return False
        self._note(host, PathVerdict.BYPASSED)
        self.counts["carried"] += counts
        self.counts["remote"] += counts and gateway.centre != host.centre
        return self._carry(gateway, counts)

    def _carry(self, host, counts):
        """Return whether a host has room for one more request."""
        recent = [at for at in host.load[-64:] if at > self.at - WINDOW]
        if len(recent) >= CAPACITY * RATE * WINDOW * 2:
            return False
        if counts:
            host.load.append(self.at)
        return True

    def _note(self, host, verdict):
        former = host.paths.state
        target = f"t-{self.rng.randrange(30)}"
        service = f"s-{self.rng.randrange(3)}"
        host.paths.note_failed(target, service, verdict, 3, self.at)
        if former is PathState.CONNECTED and host.paths.state is not former:
            self._advertise(host)

    def _advertise(self, host):
        for other in self.hosts:
            is_local = other.centre == host.centre
            delay = self.rng.uniform(*(LOCAL_GOSSIP if is_local else REMOTE_GOSSIP))
            self._push(self.at + delay, other.partitioned.add, host)

    def _find_gateway(self, host):
        self.counts["tunnels"] += 1
        for centre, hosts in self.by_centre.items():
            if centre != host.centre:
                seeming = [h for h in hosts if self._seems_gateway(host, h)]
                sample = self.rng.sample(seeming, min(4, len(seeming)))
                host.gateways.note_remote(sample, self.at)
        for gateway in host.gateways.choose(self.at)[:MAX_GATEWAYS_TO_ASK]:
            self.counts["asked"] += 1
            if not gateway.is_cut:
                return gateway
            host.gateways.note_failed(gateway, self.at)
            # A host that is asked learns of its own partition.
            self._note(gateway, PathVerdict.BYPASSED)
        return None


SIZES = {"40 hosts": (40, 3), "133 hosts": (133, 3), "293 hosts": (293, 5)}
PARTS = {
    "a third": (1 / 3, False),
    "half": (0.5, False),
    "a whole data centre": (None, True),
    "nine tenths": (0.9, False),
    "nine tenths, whole data centres first": (0.9, True),
}
SEEDS = range(1, 4)


def play(case, way, seed):
    """Play a `Case` in a way, and return the `Outcome`."""
    saved = gateways_module.MAX_HOSTS_PER_GATEWAY
    if way in ("blind", "local"):
        gateways_module.MAX_HOSTS_PER_GATEWAY = float("inf")
    try:
        return PartitionModel(case, way, seed).run()
    finally:
        gateways_module.MAX_HOSTS_PER_GATEWAY = saved


def main():
    """Print a table with means over the seeds."""
    print("served, served at others, gateways asked, remote part, peak load")
    print("| case | " + " | ".join(WAYS) + " |")
    for size, (hosts, centres) in SIZES.items():
        for name, (part, is_whole) in PARTS.items():
            case = Case(hosts, centres, part or 1 / centres, is_whole)
            cells = [_format_mean(case, way) for way in WAYS]
            print(f"| {size}, {name} | " + " | ".join(cells) + " |", flush=True)


def _format_mean(case, way):
    outcomes = [play(case, way, seed) for seed in SEEDS]
    means = [sum(values) / len(outcomes) for values in zip(*outcomes, strict=True)]
    return ", ".join(f"{mean:.2f}" for mean in means)


if __name__ == "__main__":
    main()
