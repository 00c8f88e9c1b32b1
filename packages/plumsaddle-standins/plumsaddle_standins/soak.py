"""
A soak: hosts are stopped, killed and reconfigured beside callers that keep connections.

    python -m plumsaddle_standins.soak --seed 1 --seconds 30
    python -m plumsaddle_standins.soak --seed 1 --runs 50 --hosts 3 --callers 24
    python -m plumsaddle_standins.soak --seed 1 --hosts most --off store,targets

Hosts are processes. Disturbances come in series and overlap; bodies arrive in pieces,
several requests share a connection and responses are read slowly meanwhile. `Fault`
lists what else is drawn. The last line of a run counts what callers saw and what was
drawn, and the exit code is 1 if a promise was broken: that of a request, or that of a
host's process (host_watch.py).
"""

import asyncio
import contextlib
import enum
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import fire

from .callers import WORKSPACES
from .check_ins import CheckIns
from .herds import ROUTES as HERD_ROUTES, Herds, send_in_parts
from .host_process import GRACE, HostProcess
from .host_watch import MEGABYTE, HostWatch
from .hostile_callers import HostileCallers
from .lab import tell
from .paced_callers import (
    NOTES,
    ROUTES,
    PacedCallers,
    count_cut_orders,
    find_all_broken,
)
from .start_faults import SHARES, occupy, withhold_settings
from .store import Fault as StoreFault
from .trial import KINDS, OPERATOR, Trial, configuration
from .worker import Mode

TARGETS = 4
WORK = 0.1
# Mean seconds between two disturbances of a host, of targets, of several hosts and of
# the store; and by how much each host adds to the first on one machine.
HOST_PAUSE, HOST_PAUSE_EACH = 3.0, 0.3
TARGET_PAUSE = 2.0
FLEET_PAUSE = 3.0
STORE_PAUSE = 4.0
ENTRY_PAUSE = 2.0
# The orders that are sent to a host from its SIGTERM on, and the seconds between two.
ORDERS, ORDER_PAUSE = 40, 0.1
# The seconds that a slow target works on a request, and those for which it is slow.
SLOW_WORKS, SLOW_FOR = (0.3, 0.8, 1.5, 3.0), (0.5, 2.0)
# Settings whose seeds are lost.
LOST_SEEDS = ((), ("127.0.0.1:1",))
# Seconds of the routes' timeout, and milliseconds that callers give a request.
TIMEOUT, TIME_LEFT_MS = 4.0, 5000
START_WITHIN = 30.0
# Seconds after which a process that was killed starts again.
DOWN_FOR = 0.3
SERVICES = ("act", "up", "note")
# Its targets are disturbed by nothing but their hosts.
HERD_SERVICE = "long"
# How likely each fault of a start is.
START_FAULT_CHANCE = 0.35
LISTENERS = ("callers", "ready", "hosts")
TAKEN_FOR = (0.2, 2.0)
WITHHELD_FOR = (0.0, 1.0)
SIGNAL_AFTER = (0.0, 0.3)
STORE_FOR = (0.2, 1.0)
GRACES = (2, 3, 4, GRACE)
MEMORY_MB = 200
LIMITED = f"memory_mb = {MEMORY_MB}\nlink_mbps = 100\n"
WITHOUT_LIMITS = (
    "",
    "memory_mb = 0\nlink_mbps = 0\n",
    "memory_mb = inf\nlink_mbps = inf\n",
    "memory_mb = nan\n",
)
# What a process may map: its limit, and what libraries and threads map unused.
ADDRESS_SPACE = (MEMORY_MB + 100) * MEGABYTE
# Bytes and seconds of the pieces of a response without end.
ENDLESS_PIECE, ENDLESS_PAUSE = b"x" * 4096, 0.002
ENDLESS_BEGINS = (
    b"HTTP/1.1 200 OK\r\nX: ",
    b"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST-ID\r\nResponse-Signature: s\r\n\r\n",
)
# The most hosts in a run, and the bytes that each takes beside its callers.
MOST_HOSTS = 200
HOST_BYTES = 60 * MEGABYTE
# The program that the platform starts, and the settings' entry point.
PROGRAM = [str(Path(__file__).parents[3] / "deploy" / "start_host.py")]


class Fault(enum.Enum):
    """
    What is drawn beside stops, kills and changes.

    At a start a port is taken, settings are incomplete, signals come early, limits are
    not named, the grace period is short and no seed is alive; several hosts are
    disturbed at once; the store answers and targets respond without end; targets always
    take their time; the store executes writes of targets late; callers come in herds,
    or are hostile.
    """

    PORTS = "ports"
    SETTINGS = "settings"
    SIGNALS = "signals"
    LIMITS = "limits"
    GRACES = "graces"
    FLEET = "fleet"
    TARGETS = "targets"
    STORE = "store"
    WORKS = "works"
    SEEDS = "seeds"
    ENTRIES = "entries"
    HERDS = "herds"
    HOSTILE = "hostile"


class Soak:
    """
    The disturbances of one run; `drawn` counts them.

    Args:
      trial: The `Trial`.
      hosts: The `HostProcess` objects.
      seed: The seed.
      faults: The `Fault`s that are drawn.
      log_of: As for `HostWatch`.
    """

    def __init__(self, trial, hosts, seed, faults, log_of):
        self._trial = trial
        self._hosts = hosts
        self._faults = frozenset(faults)
        self._rngs = {host.name: random.Random(f"{seed} {host.name}") for host in hosts}
        self._rng = random.Random(seed)
        self._starting = {host.name: asyncio.Lock() for host in hosts}
        self._tasks = set()
        self._version = 1
        works = (WORK, *SLOW_WORKS) if Fault.WORKS in self._faults else (WORK,)
        workers = trial.workers
        self._works = {name: self._rng.choice(works) for name in workers}
        for name, worker in workers.items():
            worker.work = self._works[name]
        self.watch = HostWatch(hosts, trial.session, self._start, log_of)
        self.callers = None
        self.drawn = Counter()
        entry_rng = random.Random(f"{seed} entries")
        self.check_ins = CheckIns(trial, entry_rng, self.drawn)

    def publish(self):
        """Publish one more version of the same routes."""
        self._version += 1
        routes = {**KINDS, **ROUTES, **HERD_ROUTES}
        text = configuration(
            self._version, TIMEOUT, routes=routes, workspaces=WORKSPACES
        )
        self._trial.store.put(OPERATOR, "config", text)

    async def start(self):
        """Start all hosts, and wait until they are ready or it takes too long."""
        session = self._trial.session
        await asyncio.gather(*(self._start(host) for host in self._hosts))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_WITHIN):
                while not all([await host.is_ready(session) for host in self._hosts]):
                    await asyncio.sleep(0.05)

    async def run(self, seconds):
        """Disturb hosts, targets and the configuration for some seconds."""
        end = asyncio.get_running_loop().time() + seconds
        works = [self._disturb_targets(end)]
        works += [self._disturb(host, end) for host in self._hosts]
        if Fault.FLEET in self._faults:
            works.append(self._repeat(end, FLEET_PAUSE, self._disturb_fleet))
        if Fault.STORE in self._faults:
            works.append(self._repeat(end, STORE_PAUSE, self._disturb_store))
        if Fault.ENTRIES in self._faults:
            works.append(self._repeat(end, ENTRY_PAUSE, self._delay_entry))
        await asyncio.gather(*works)
        # Tasks may begin others.
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _repeat(self, end, pause, step):
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / pause))
            if asyncio.get_running_loop().time() >= end:
                return
            await step()

    async def _disturb(self, host, end):
        loop = asyncio.get_running_loop()
        rng = self._rngs[host.name]
        steps = (self._stop, self._stop, self._stop_twice, self._hang_up, self._kill)
        pause = max(HOST_PAUSE, HOST_PAUSE_EACH * len(self._hosts))
        while True:
            await asyncio.sleep(rng.expovariate(1 / pause))
            if loop.time() >= end:
                return
            step = rng.choice(steps)
            self.drawn[step.__name__.strip("_")] += 1
            await step(host)

    async def _stop(self, host):
        self._begin_stop(host)
        await host.process.communicate()
        await self._start(host)

    async def _stop_twice(self, host):
        """Stop a host with two signals, and change the configuration between them."""
        self._begin_stop(host)
        await asyncio.sleep(self._rngs[host.name].uniform(0.0, 4.0))
        self.publish()
        await self._stop(host)

    def _begin_stop(self, host):
        """Send SIGTERM, and orders on new connections for as long as they are taken."""
        has_orders = Fault.WORKS in self._faults and not host.is_stopped
        host.signal(signal.SIGTERM)
        if has_orders:
            self._spawn(self._send_orders(host))

    async def _send_orders(self, host):
        for _ in range(ORDERS):
            self._spawn(self.callers.order(host))
            await asyncio.sleep(ORDER_PAUSE)

    async def _hang_up(self, host):
        host.signal(signal.SIGHUP)
        self.publish()

    async def _kill(self, host):
        await host.kill()
        await asyncio.sleep(DOWN_FOR)
        await self._start(host)

    async def _start(self, host):
        """Start a host, unless it runs, on a machine that may not be ready for it."""
        async with self._starting[host.name]:
            if host.is_running:
                return
            rng = self._rngs[host.name]
            self._draw_settings(host, rng)
            self._obstruct(host, rng)
            # The obstacles are there before the process.
            await asyncio.sleep(0)
            await host.start()
        if self._draws(Fault.SIGNALS, rng):
            await asyncio.sleep(rng.uniform(*SIGNAL_AFTER))
            await self._signal_early(host, rng)

    def _draws(self, fault, rng):
        is_drawn = fault in self._faults and rng.random() < START_FAULT_CHANCE
        self.drawn[fault.value] += is_drawn
        return is_drawn

    def _draw_settings(self, host, rng):
        head, grace = LIMITED, GRACE
        if self._draws(Fault.LIMITS, rng):
            head = rng.choice(WITHOUT_LIMITS)
        if self._draws(Fault.GRACES, rng):
            grace = rng.choice(GRACES)
        host.memory_limit = MEMORY_MB * MEGABYTE if head == LIMITED else None
        seeds = rng.choice(LOST_SEEDS) if self._draws(Fault.SEEDS, rng) else None
        host.write_settings(grace, head=head, seeds=seeds)

    def _obstruct(self, host, rng):
        """Begin what keeps a host from starting at once."""
        seconds = 0.0
        if self._draws(Fault.PORTS, rng):
            taken_for = rng.uniform(*TAKEN_FOR)
            seconds += taken_for
            self._spawn(self._occupy(host, rng.choice(LISTENERS), taken_for))
        if self._draws(Fault.SETTINGS, rng):
            withheld_for = rng.uniform(*WITHHELD_FOR)
            seconds += withheld_for
            self._spawn(withhold_settings(host, rng.choice(SHARES), withheld_for))
        self.watch.expect_delay(host, asyncio.get_running_loop().time() + seconds)

    async def _occupy(self, host, name, seconds):
        ip, _, port = self._trial.store_address.partition(":")
        if not await occupy(host, name, (ip, int(port)), seconds):
            self.drawn["ports not free"] += 1

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _signal_early(self, host, rng):
        if rng.random() < 0.7:
            await self._hang_up(host)
            return
        host.signal(signal.SIGTERM)
        await host.process.communicate()
        await self._start(host)

    async def _disturb_fleet(self):
        """Disturb half of the hosts, or more, at once."""
        count = self._rng.randint((len(self._hosts) + 1) // 2, len(self._hosts))
        chosen = self._rng.sample(self._hosts, count)
        step = self._rng.choice((self._kill, self._hang_up, self._hang_up))
        self.drawn[f"fleet {step.__name__.strip('_')}"] += 1
        await asyncio.gather(*(step(host) for host in chosen))

    async def _disturb_store(self):
        """Let the store answer without end."""
        store = self._trial.store
        self.drawn[Fault.STORE.value] += 1
        store.states_length = self._rng.random() < 0.5
        store.fault = StoreFault.ENDLESS
        await asyncio.sleep(self._rng.uniform(*STORE_FOR))
        store.fault = StoreFault.NONE
        for host in self._hosts:
            self.watch.expect_delay(host, asyncio.get_running_loop().time())

    async def _delay_entry(self):
        self._spawn(self.check_ins.delay_one())

    async def _disturb_targets(self, end):
        loop = asyncio.get_running_loop()
        modes = [Mode.GOOD, Mode.SHED, Mode.GOOD]
        if Fault.TARGETS in self._faults:
            modes.append(Mode.ENDLESS)
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / TARGET_PAUSE))
            if loop.time() >= end:
                return
            workers = [
                worker
                for worker in self._trial.workers.values()
                if worker.service != HERD_SERVICE
            ]
            chosen = self._rng.sample(workers, self._rng.randint(1, 3))
            mode = self._rng.choice(modes)
            self.drawn[f"targets {mode.value}"] += 1
            for worker in chosen:
                worker.work, worker.mode = self._rng.choice(SLOW_WORKS), mode
                worker.endless = self._rng.choice(ENDLESS_BEGINS), ENDLESS_PIECE
                worker.endless_pause = ENDLESS_PAUSE
            await asyncio.sleep(self._rng.uniform(*SLOW_FOR))
            for worker in chosen:
                worker.work, worker.mode = self._works[worker.id], Mode.GOOD


async def play(seconds, seed, folder, hosts=3, callers=24, faults=(), notes=None):
    """
    Play one run.

    Args: as for `run`; `folder` is for settings and logs, `faults` has the `Fault`s
      that are drawn, and `notes` is a list for what was drawn and found beside.
    Returns:
      A list of `Ended`, and the broken promises as texts.
    """

    def log_of(host):
        return folder / f"{host.name}.log"

    services = (*SERVICES, HERD_SERVICE) if Fault.HERDS in faults else SERVICES
    async with Trial(services=services, targets=TARGETS, hosts=0) as trial:
        for worker in trial.of("note"):
            worker.body = NOTES
        with contextlib.ExitStack() as logs:
            processes = _make_hosts(hosts, folder, trial.store_address, logs)
            soak = Soak(trial, processes, seed, faults, log_of)
            soak.publish()
            watching = asyncio.create_task(soak.watch.run())
            checking_in = asyncio.create_task(soak.check_ins.run())
            try:
                await soak.start()
                rng = random.Random(seed + 1)
                paced = PacedCallers(processes, rng, callers, TIME_LEFT_MS)
                soak.callers = paced
                send_in_parts(trial.of(HERD_SERVICE))
                herds = Herds(processes, random.Random(f"{seed} herds"))
                hostile = HostileCallers(processes, random.Random(f"{seed} hostile"))
                runs = [paced.run(seconds), soak.run(seconds)]
                if Fault.HERDS in faults:
                    runs.append(herds.run(seconds))
                if Fault.HOSTILE in faults:
                    runs.append(hostile.run(seconds))
                await asyncio.gather(*runs)
                watching.cancel()
                await soak.watch.finish()
            finally:
                watching.cancel()
                checking_in.cancel()
                for host in processes:
                    if host.is_running:
                        await host.kill()
        graces = {host.name: host.graces for host in processes}
        found = paced.exchanged, trial.workers.values(), processes, TIMEOUT, graces
        if notes is not None:
            notes.append(f"drawn: {dict(sorted(soak.drawn.items()))}")
            notes.append(f"ended by SIGHUP before they ignore it: {soak.watch.missed}")
            notes.append(f"peak of memory: {soak.watch.peak / MEGABYTE:.0f} MB")
            notes += [herds.tell(), hostile.tell()]
            notes.append(
                f"orders taken after SIGTERM and cut: {count_cut_orders(*found)}"
            )
        broken = soak.watch.broken + find_all_broken(*found) + herds.find_broken()
        return paced.ended, broken


def _make_hosts(count, folder, store, logs):
    """Return hosts that have not started yet; `logs` closes their logs."""
    hosts = []
    for number in range(count):
        name = f"host-{number}"
        log = logs.enter_context((folder / f"{name}.log").open("ab"))
        hosts.append(
            HostProcess(
                folder,
                store,
                name,
                [host.peers for host in hosts[:1]],
                log,
                program=PROGRAM,
                address_space=ADDRESS_SPACE,
            )
        )
    return hosts


def count_hosts(text):
    """Return how many hosts half of the machine's free memory bears."""
    fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    free = int(fields["MemAvailable"].split()[0]) * 1024
    return min(MOST_HOSTS, free // 2 // HOST_BYTES)


def run(seed=1, runs=1, seconds=20.0, hosts=3, callers=24, logs=None, off=()):
    """
    Play runs with one seed after the other.

    Args:
      seed: The first seed.
      runs: The number of runs.
      seconds: How long callers send in a run.
      hosts: The number of hosts, or `most` for as many as the machine bears.
      callers: The number of callers.
      logs: The folder for the logs of each seed; they are not kept if None.
      off: The values of `Fault` that are not drawn.
    """
    total = 0
    # A list of words arrives as a tuple, a single one as a string.
    words = off.split(",") if isinstance(off, str) else off
    left_out = {Fault(word) for word in words if word}
    faults = [fault for fault in Fault if fault not in left_out]
    if hosts == "most":
        hosts = count_hosts(Path("/proc/meminfo").read_text(encoding="ascii"))
    for number in range(seed, seed + runs):
        notes = []
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary) if logs is None else Path(logs) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
            playing = play(seconds, number, folder, hosts, callers, faults, notes)
            ended, broken = asyncio.run(playing)
        for line in broken:
            print(f"seed {number}: {line}")
        for line in notes:
            print(f"seed {number}: {line}")
        print(f"seed {number}: {tell(ended, broken)}", flush=True)
        total += len(broken)
    sys.exit(1 if total else 0)


if __name__ == "__main__":
    fire.Fire(run, name="soak")
