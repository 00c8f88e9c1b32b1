"""
What telling each other costs the hosts of a data centre, in virtual time.

Hosts start and end sends at a steady rate and tell each other through the datagrams of
`edge/peers.py`, over links with a delay. Compared are two ways:

- hub: each host tells the hub, and the hub tells all;
- all to all: each host tells each other one, within the same allowances.

The table shows what one host sends and takes in a second, the processor time of that
in this process, without the system's part, and by how much the work in flight at a
target, as a host knows it, is off. A second table shows how long it takes until all
know of a target that has ended under a request, over links that lose datagrams and with
a hub that is lost at that moment.
"""

import contextlib
import heapq
import itertools
import random
import time
from typing import NamedTuple

from plumsaddle_core.core.traffic import Bounds, HostSettings
from plumsaddle_core.ops.peer_updates import HealthSignal
from plumsaddle_core.ops.shared_state import SharedState
from plumsaddle_core.ops.suspects import RunRecord
from plumsaddle_hosts.edge import peers as module
from plumsaddle_hosts.edge.peers import PeerProtocol
from plumsaddle_hosts.edge.store_access import StoreAccess

SIZES = (12, 45, 60, 100)
CENTRES = ("x",)
# Requests a second at each host, and seconds that each takes: those of today's larger
# deployments.
RATE = 2.5
WORK = 0.6
TARGETS_PER_HOST = 1.2
DELAY = 0.0003
# Links of 20 Mbit/s, in bytes a second; the first three hosts have ten times that.
LINK = 2_500_000.0
FAST_LINK = 25_000_000.0
FAST_HOSTS = 3
WARM_UP = 6.0
SECONDS = 10.0
SAMPLE_EVERY = 0.05
# Hosts of a data centre in fleets of 36, 130 and 293, and shares of datagrams lost.
SPREAD_SIZES = (12, 43, 60)
LOSSES = (0.0, 0.05, 0.2)
SPREAD_SEEDS = range(5)
SPREAD_STEP = 0.01
SPREAD_MOST = 10.0


class Cost(NamedTuple):
    """
    What one host spends in a second, and how far off it is.

    `processor` is in milliseconds, `error` in requests at a target.
    """

    sent: float
    taken: float
    sent_bytes: float
    most_sent_bytes: float
    processor: float
    error: float


class TellingModel:
    """
    One data centre.

    Args:
      count: How many hosts it has.
      has_hub: Whether hosts tell a hub; otherwise each tells each other one.
      seed: The run's seed.
      loss: The share of datagrams that is lost.
    """

    def __init__(self, count, has_hub=True, seed=1, loss=0.0):
        self.at = 1000.0
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._hosts = {}
        self._loss = loss
        self._lost = set()
        self._true = {}
        self._targets = [f"t{n}" for n in range(int(count * TARGETS_PER_HOST))]
        self._sent = dict.fromkeys(range(count), 0)
        self._sent_bytes = dict.fromkeys(range(count), 0)
        self._taken = 0
        self._errors = []
        self._spent = 0.0
        for number in range(count):
            self._add_host(number, has_hub)

    def _add_host(self, number, has_hub):
        address = f"10.0.0.{number + 1}:7000"
        link = FAST_LINK if number < FAST_HOSTS else LINK
        settings = HostSettings(
            f"host-{number}",
            CENTRES[0],
            CENTRES,
            "",
            "",
            address,
            ("10.0.0.1:7000",),
            "",
            Bounds(),
            link,
        )
        shared = SharedState(0.2, 10.0, started_at=0.0)
        gate = StoreAccess(_ignore, _ignore, _ignore)
        peers = PeerProtocol(settings, shared, gate, [], self._rng, self._call_later)
        if not has_hub:
            peers._peer_table.choose_hub = lambda at: False
        peers.connection_made(_Transport(self, number, address))
        self._hosts[address] = (peers, shared)
        self._push(self._rng.random(), self._beat, peers)
        self._push(self._rng.random(), self._tick, peers)
        self._push(1.0 + self._rng.random(), self._start, peers, shared)

    def run(self):
        """Play, and return the `Cost` of a host and second after the warm-up."""
        self._play(WARM_UP)
        self._taken, self._spent = 0, 0.0
        for counts in (self._sent, self._sent_bytes):
            counts.update(dict.fromkeys(counts, 0))
        self._push(SAMPLE_EVERY, self._sample)
        self._play(SECONDS)
        host_seconds = len(self._hosts) * SECONDS
        return Cost(
            sum(self._sent.values()) / host_seconds,
            self._taken / host_seconds,
            sum(self._sent_bytes.values()) / host_seconds,
            max(self._sent_bytes.values()) / SECONDS,
            1000 * self._spent / host_seconds,
            sum(self._errors) / len(self._errors),
        )

    def spread(self, has_hub_lost=False):
        """
        Let a target end under a request of one host.

        Args:
          has_hub_lost: Whether the hub is lost at that moment.
        Returns:
          The seconds until all hosts that are left know of it.
        """
        self._play(WARM_UP)
        hub = next(a for a, (p, _) in self._hosts.items() if p._is_hub())
        address = self._rng.choice([a for a in self._hosts if a != hub])
        if has_hub_lost:
            self._lost.add(hub)
        peers, shared = self._hosts[address]
        shared.suspects.add(RunRecord("key", "life", True), self.at, is_own=True)
        peers.send_update_soon(is_urgent=True)
        begin = self.at
        while self.at - begin < SPREAD_MOST and not self._is_known_to_all():
            self._play(SPREAD_STEP)
        return self.at - begin

    def _is_known_to_all(self):
        hosts = self._hosts.items()
        return all("key" in z.suspects for a, (_, z) in hosts if a not in self._lost)

    def _play(self, seconds):
        end = self.at + seconds
        while self._events[0][0] < end:
            self.at, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.at = end

    def _push(self, delay, call, *args):
        event = (self.at + delay, next(self._order), call, args)
        heapq.heappush(self._events, event)

    def _call_later(self, seconds, function):
        call = _Call(function)
        self._push(seconds, self._measure, call.run)
        return call

    def _measure(self, function, *args):
        """Call something of a host, and count its processor time."""
        started = time.process_time()
        result = function(*args)
        self._spent += time.process_time() - started
        return result

    def _beat(self, peers):
        self._push(1.0, self._beat, peers)
        self._measure(peers.send_heartbeat, self.at)

    def _tick(self, peers):
        self._push(self._measure(peers.tick, self.at), self._tick, peers)

    def _start(self, peers, shared):
        self._push(self._rng.expovariate(RATE), self._start, peers, shared)
        target = self._rng.choice(self._targets)
        self._true[target] = self._true.get(target, 0) + 1
        shared.note_send_start(target, self.at)
        self._measure(peers.send_update_soon, False)
        seconds = self._rng.expovariate(1 / WORK)
        self._push(seconds, self._end, peers, shared, target, seconds)

    def _end(self, peers, shared, target, seconds):
        self._true[target] -= 1
        shared.note_send_end(target)
        shared.note_outcome(target, "s", "r", HealthSignal.SUCCEEDED, seconds, self.at)
        self._measure(peers.send_update_soon, False)

    def _sample(self):
        self._push(SAMPLE_EVERY, self._sample)
        _, shared = self._rng.choice(list(self._hosts.values()))
        known = [shared.in_flight(target) for target in self._targets]
        true = [self._true.get(target, 0) for target in self._targets]
        off = sum(abs(a - b) for a, b in zip(known, true, strict=True))
        self._errors.append(off / len(self._targets))

    def send(self, number, sender, data, address):
        """Take a datagram from a host."""
        self._sent[number] += 1
        self._sent_bytes[number] += len(data) + module.DATAGRAM_HEADERS
        if self._lost & {sender, address} or self._rng.random() < self._loss:
            return
        self._push(DELAY, self._deliver, sender, data, address)

    def _deliver(self, sender, data, address):
        self._taken += 1
        peers, _ = self._hosts[address]
        ip, _, port = sender.rpartition(":")
        self._measure(peers.datagram_received, data, (ip, int(port)))


class _Transport:
    def __init__(self, model, number, address):
        self._model = model
        self._number = number
        self._address = address

    def is_closing(self):
        return False

    def sendto(self, data, address):
        to = f"{address[0]}:{address[1]}"
        self._model.send(self._number, self._address, data, to)


class _Call:
    """A call that was put off and may be cancelled."""

    def __init__(self, function):
        self._function = function

    def run(self):
        """Make the call, unless it was cancelled."""
        if self._function is not None:
            self._function()

    def cancel(self):
        """Forget the call."""
        self._function = None


def _ignore(_):
    pass


@contextlib.contextmanager
def _in_time_of(model):
    """Let hosts take a model's time for the present."""
    former, module.now = module.now, lambda: model.at
    try:
        yield
    finally:
        module.now = former


def play(count, has_hub, seed=1):
    """Return the `Cost` of a host and second in a data centre of some hosts."""
    model = TellingModel(count, has_hub, seed)
    with _in_time_of(model):
        return model.run()


def spread(count, loss, has_hub_lost, seed=1):
    """Return the seconds until all hosts of a data centre know of an end."""
    model = TellingModel(count, True, seed, loss)
    with _in_time_of(model):
        return model.spread(has_hub_lost)


def main():
    """Print the table."""
    print("| hosts | way | sent | taken | kB sent | the most | processor ms | off by |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for count, has_hub in itertools.product(SIZES, (True, False)):
        cost = play(count, has_hub)
        numbers = (
            f"{cost.sent:.1f} | {cost.taken:.1f} | {cost.sent_bytes / 1000:.1f} | "
            f"{cost.most_sent_bytes / 1000:.0f} | {cost.processor:.2f} | "
            f"{cost.error:.3f}"
        )
        way = "hub" if has_hub else "all to all"
        print(f"| {count} | {way} | {numbers} |", flush=True)
    print("\n| hosts | datagrams lost | hub | known to all after, s | at most |")
    print("| --- | --- | --- | --- | --- |")
    for case in itertools.product(SPREAD_SIZES, LOSSES, (False, True)):
        count, loss, is_lost = case
        seconds = [spread(*case, seed) for seed in SPREAD_SEEDS]
        hub = "lost" if is_lost else "there"
        mean = sum(seconds) / len(seconds)
        print(f"| {count} | {loss} | {hub} | {mean:.2f} | {max(seconds):.2f} |")


if __name__ == "__main__":
    main()
