"""
A soak: hosts are stopped, killed and reconfigured beside callers that keep connections.

    python -m plumsaddle_standins.soak --seed 1 --seconds 30
    python -m plumsaddle_standins.soak --seed 1 --runs 50 --hosts 3 --callers 24

Hosts are processes. Disturbances come in series and overlap; bodies arrive in pieces,
several requests share a connection and responses are read slowly meanwhile. The last
line of a run counts what callers saw, and the exit code is 1 if a promise was broken.
"""

import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

import fire

from .callers import WORKSPACES
from .host_process import HostProcess
from .lab import tell
from .paced_callers import NOTES, ROUTES, PacedCallers, find_all_broken
from .trial import KINDS, OPERATOR, Trial, configuration
from .worker import Mode

TARGETS = 4
WORK = 0.1
# Mean seconds between two disturbances of a host, and of targets.
HOST_PAUSE = 3.0
TARGET_PAUSE = 2.0
# The factor and the seconds for which targets are slow.
SLOWNESS, SLOW_FOR = 8.0, (0.5, 2.0)
START_WITHIN = 30.0
# Seconds after which a process that was killed starts again.
DOWN_FOR = 0.3
SERVICES = ("act", "up", "note")


class Soak:
    """
    The disturbances of one run.

    Args:
      trial: The `Trial`.
      hosts: The `HostProcess` objects.
      rng: A `random.Random`.
    """

    def __init__(self, trial, hosts, rng):
        self._trial = trial
        self._hosts = hosts
        self._rng = rng
        self._version = 1

    def publish(self):
        """Publish one more version of the same routes."""
        self._version += 1
        routes = {**KINDS, **ROUTES}
        text = configuration(self._version, routes=routes, workspaces=WORKSPACES)
        self._trial.store.put(OPERATOR, "config", text)

    async def run(self, seconds):
        """Disturb hosts, targets and the configuration for some seconds."""
        end = asyncio.get_running_loop().time() + seconds
        works = [self._disturb_targets(end)]
        works += [self._disturb(host, end) for host in self._hosts]
        await asyncio.gather(*works)

    async def _disturb(self, host, end):
        loop = asyncio.get_running_loop()
        steps = (self._stop, self._stop, self._stop_twice, self._hang_up, self._kill)
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / HOST_PAUSE))
            if loop.time() >= end:
                return
            await self._rng.choice(steps)(host)

    async def _stop(self, host):
        await host.restart()

    async def _stop_twice(self, host):
        """Stop a host with two signals, and change the configuration between them."""
        host.signal(signal.SIGTERM)
        await asyncio.sleep(self._rng.uniform(0.0, 4.0))
        self.publish()
        await host.restart()

    async def _hang_up(self, host):
        host.signal(signal.SIGHUP)
        self.publish()

    async def _kill(self, host):
        await host.kill()
        await asyncio.sleep(DOWN_FOR)
        await host.start()

    async def _disturb_targets(self, end):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / TARGET_PAUSE))
            if loop.time() >= end:
                return
            workers = list(self._trial.workers.values())
            chosen = self._rng.sample(workers, self._rng.randint(1, 3))
            mode = self._rng.choice((Mode.GOOD, Mode.SHED, Mode.GOOD))
            for worker in chosen:
                worker.work, worker.mode = WORK * SLOWNESS, mode
            await asyncio.sleep(self._rng.uniform(*SLOW_FOR))
            for worker in chosen:
                worker.work, worker.mode = WORK, Mode.GOOD


async def play(seconds, seed, folder, hosts=3, callers=24):
    """
    Play one run.

    Args: as for `run`; `folder` is for settings and logs.
    Returns:
      A list of `Ended`, and the broken promises as texts.
    """
    rng = random.Random(seed)
    async with Trial(services=SERVICES, targets=TARGETS, hosts=0) as trial:
        for worker in trial.workers.values():
            worker.work = WORK
        for worker in trial.of("note"):
            worker.body = NOTES
        processes = []
        with (folder / "hosts.log").open("wb") as log:
            for number in range(hosts):
                seeds = [host.peers for host in processes[:1]]
                name = f"host-{number}"
                processes.append(
                    HostProcess(folder, trial.store_address, name, seeds, log)
                )
            soak = Soak(trial, processes, rng)
            soak.publish()
            try:
                await asyncio.gather(*(host.start() for host in processes))
                await _wait_until_ready(processes, trial.session)
                paced = PacedCallers(processes, random.Random(seed + 1), callers)
                await asyncio.gather(paced.run(seconds), soak.run(seconds))
            finally:
                for host in processes:
                    if host.is_running:
                        await host.kill()
        workers = trial.workers.values()
        return paced.ended, find_all_broken(paced.exchanged, workers, processes)


async def _wait_until_ready(hosts, session):
    async with asyncio.timeout(START_WITHIN):
        while not all([await host.is_ready(session) for host in hosts]):
            await asyncio.sleep(0.05)


def run(seed=1, runs=1, seconds=20.0, hosts=3, callers=24, logs=None):
    """
    Play runs with one seed after the other.

    Args:
      seed: The first seed.
      runs: The number of runs.
      seconds: How long callers send in a run.
      hosts: The number of hosts.
      callers: The number of callers.
      logs: The folder for the logs of each seed; they are not kept if None.
    """
    total = 0
    for number in range(seed, seed + runs):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary) if logs is None else Path(logs) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
            ended, broken = asyncio.run(play(seconds, number, folder, hosts, callers))
        for line in broken:
            print(f"seed {number}: {line}")
        print(f"seed {number}: {tell(ended, broken)}", flush=True)
        total += len(broken)
    sys.exit(1 if total else 0)


if __name__ == "__main__":
    fire.Fire(run, name="soak")
