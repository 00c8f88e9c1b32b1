"""
A local fleet under a named pattern of faults, with a tally and a picture.

    python -m plumsaddle_standins.lab gray --seconds 15 --out gray.png
    python -m plumsaddle_standins.lab random --seed 3
    python -m plumsaddle_standins.lab random --limit 3
    python -m plumsaddle_standins.lab random --notices
    python -m plumsaddle_standins.lab random --downloads
    python -m plumsaddle_standins.lab random --pipelining 0.3
    python -m plumsaddle_standins.lab random --restores
    python -m plumsaddle_standins.lab roll --paced
    python -m plumsaddle_standins.lab random --hostile
    python -m plumsaddle_standins.lab calm --herds

Hosts are real processes; the store, the targets and the callers are stand-ins in this
one. The last line counts what callers saw, and the exit code is 1 if a promise was
broken. Two pictures, of a run before a change and one after it, show what it is worth.
"""

import asyncio
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import fire

from .callers import HOT, PROMISES, WORKSPACES, Callers, find_broken
from .check_ins import CheckIns
from .downloading import DownloadCallers, cut_at_times
from .herds import ROUTES as HERD_ROUTES, Herds, send_in_parts
from .host_link import CUTS, HostLink
from .host_process import HostProcess
from .hostile_callers import HostileCallers
from .notices_check import find_ignored_notices
from .paced_callers import NOTES, ROUTES, PacedCallers, find_all_broken
from .store import Fault
from .trial import DOWNLOADS, KINDS, OPERATOR, Trial, configuration
from .version_watch import VersionWatch
from .windows import LIMIT_HOLDS_AFTER, LIMIT_WINDOW, most_in_window, tolerated
from .worker import Mode

HOSTS = 3
TARGETS = 4
SERVICES = ("look", "act", "up")
# Seconds that a target works; with four slots each the load takes a third of them.
WORK = 0.15
RATE = 60.0
SECONDS = 15.0
# When the fault begins and how long it lasts, as shares of the run.
BEGINS, LASTS = 0.3, 0.3
START_WITHIN = 10.0
RANDOM_PAUSE = 1.0
# Seconds until a process that ended by itself is started again.
REVIVE_EVERY = 0.5
# Mean seconds between two notices of targets, and how long a target drains.
NOTICE_PAUSE = 1.0
DRAIN_SECONDS = (2.5, 5.0)
# Settings whose seeds are lost, and the mean seconds between two late entries.
LOST_SEEDS = ((), ("127.0.0.1:1",))
ENTRY_PAUSE = 1.0
# Mean seconds between two restorations of the store, and bounds of how old its copy is
# and how long it is away.
RESTORE_PAUSE = 3.0
COPY_AGE = (0.2, 2.0)
RESTORE_AWAY = (0.0, 0.8)
# Seconds after which the operator and the targets write again what was lost.
REWRITTEN_AFTER = 0.3


class Lab:
    """A fleet: the stand-ins of a `Trial` and hosts as processes."""

    def __init__(self, trial, hosts, links, rng):
        self.trial = trial
        self.hosts = hosts
        self.links = links
        self.rng = rng
        self.callers = None
        self.version = 1
        # Pairs of time and version.
        self.published = []
        self.routes = KINDS

    def any_target(self):
        """Return a target."""
        return self.rng.choice(list(self.trial.workers.values()))

    def any_host(self):
        """Return a host."""
        return self.rng.choice(self.hosts)

    def publish(self):
        """Publish one more version of the same routes."""
        self.version += 1
        text = configuration(self.version, routes=self.routes, workspaces=WORKSPACES)
        self.trial.store.put(OPERATOR, "config", text)
        now = asyncio.get_running_loop().time()
        self.published.append((now, self.version))


async def calm(lab, seconds):
    """Let nothing happen."""


async def gray(lab, seconds):
    """Let one target in four fail its work at once, though it stays listed."""
    await _switch(lab, Mode.ERRORS, seconds)


async def hang(lab, seconds):
    """Let one target in four not answer."""
    await _switch(lab, Mode.HANG, seconds)


async def reset(lab, seconds):
    """Let one target in four run its requests and reset their connections."""
    await _switch(lab, Mode.RESET, seconds)


async def shed(lab, seconds):
    """Let half of the targets refuse all work."""
    await _switch(lab, Mode.SHED, seconds, TARGETS // 2)


async def _switch(lab, mode, seconds, count=1):
    """Switch the first targets of each service for some seconds."""
    chosen = [w for service in SERVICES for w in lab.trial.of(service)[:count]]
    for worker in chosen:
        worker.mode = mode
    await asyncio.sleep(seconds)
    for worker in chosen:
        worker.mode = Mode.GOOD


async def store_away(lab, seconds):
    """Let the store answer nothing, while a version is published."""
    lab.trial.store.fault = Fault.SILENT
    lab.publish()
    await asyncio.sleep(seconds)
    lab.trial.store.fault = Fault.NONE


async def restore(lab, seconds):
    """Let the store lose what is written, come back, and lose more, in series."""
    end = asyncio.get_running_loop().time() + seconds
    while True:
        await _restore_once(lab, lab.rng)
        if asyncio.get_running_loop().time() >= end:
            return


async def _restore_once(lab, rng):
    """Let the store come back from an older copy, and write again what it lost."""
    store = lab.trial.store
    store.take_copy()
    age = rng.uniform(*COPY_AGE)
    for _ in range(rng.randint(0, 3)):
        lab.publish()
        await asyncio.sleep(age / 3)
    away = rng.uniform(*RESTORE_AWAY)
    if rng.random() < 0.5:
        store.fault = rng.choice((Fault.OUT, Fault.RESET, Fault.BUSY))
        await asyncio.sleep(away)
    store.restore()
    store.fault = Fault.NONE
    await asyncio.sleep(REWRITTEN_AFTER)
    store.rewrite()
    for worker in lab.trial.workers.values():
        if worker.id in lab.trial.listed:
            lab.trial.register(worker, lab.trial.listed[worker.id])
    lab.publish()


async def restore_at_times(lab, seconds, rng):
    """Let the store come back from older copies at random moments."""
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        await _restore_once(lab, rng)
        await asyncio.sleep(rng.expovariate(1 / RESTORE_PAUSE))


async def release(lab, seconds):
    """Replace the orders' targets, one after the other."""
    for worker in lab.trial.of("act"):
        lab.trial.register(worker, "draining")
        await asyncio.sleep(seconds / TARGETS / 2)
        lab.trial.unregister(worker)
        await asyncio.sleep(seconds / TARGETS / 2)
        worker.start_again()
        lab.trial.register(worker)


async def roll(lab, seconds):
    """End and start the hosts in turn."""
    for host in lab.hosts:
        await host.restart()


async def kill(lab, seconds):
    """Kill one host, and start it again."""
    host = lab.any_host()
    await host.kill()
    await asyncio.sleep(seconds / 2)
    await host.start()


async def freeze(lab, seconds):
    """Stop one host, and let it go on."""
    host = lab.any_host()
    host.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    host.signal(signal.SIGCONT)


async def hot(lab, seconds):
    """Let one workspace ask ten times its usual, far beyond its limit."""
    lab.callers.more = 9 * HOT.share * RATE
    await asyncio.sleep(seconds)
    lab.callers.more = 0.0


async def lost_seeds(lab, seconds):
    """Kill all hosts while one workspace asks ten times its usual; lose their seeds."""
    lab.callers.more = 9 * HOT.share * RATE
    await asyncio.gather(*(host.kill() for host in lab.hosts))
    for host in lab.hosts:
        host.write_settings(seeds=lab.rng.choice(LOST_SEEDS))
    await asyncio.gather(*(host.start() for host in lab.hosts))
    await asyncio.sleep(seconds)
    lab.callers.more = 0.0


async def late_entries(lab, seconds):
    """Let targets start again and drain while writes of theirs are executed late."""
    check_ins = CheckIns(lab.trial, lab.rng, Counter())
    renewing = asyncio.create_task(check_ins.run())
    end = asyncio.get_running_loop().time() + seconds
    delays = []
    while asyncio.get_running_loop().time() < end:
        delays.append(asyncio.create_task(check_ins.delay_one()))
        await asyncio.sleep(lab.rng.expovariate(1 / ENTRY_PAUSE))
    await asyncio.gather(*delays)
    renewing.cancel()


async def partition(lab, seconds):
    """Partition some hosts from all targets, in any form, and let them back."""
    links = lab.rng.sample(lab.links, lab.rng.randint(1, len(lab.links) - 1))
    form = lab.rng.choice(sorted(CUTS))
    hosts = [lab.hosts[lab.links.index(link)] for link in links]
    for host, link in zip(hosts, links, strict=True):
        host.note_kill()
        link.cut(CUTS[form])
    await asyncio.sleep(seconds)
    for host, link in zip(hosts, links, strict=True):
        host.note_kill()
        link.heal()


async def storm(lab, seconds):
    """Publish versions in quick succession, with SIGHUP to all hosts beside them."""
    for _ in range(int(seconds * 3)):
        lab.publish()
        for host in lab.hosts:
            host.signal(signal.SIGHUP)
        await asyncio.sleep(1 / 3)


PATTERNS = {
    f.__name__.replace("_", "-"): f
    for f in (
        *(calm, gray, hang, reset, shed, store_away),
        *(release, roll, kill, freeze, storm, hot, partition, restore),
        *(lost_seeds, late_entries),
    )
}
# With these, each seed would draw other faults; they are played by themselves.
NOT_AT_RANDOM = {"hot", "restore", "lost-seeds", "late-entries"}


async def at_random(lab, seconds):
    """Let patterns begin at random moments, so that they overlap, and end them all."""
    names = sorted(PATTERNS.keys() - NOT_AT_RANDOM)
    running = []
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        name = lab.rng.choice(names)
        lasts = lab.rng.uniform(0.5, 3.0)
        print(f"{seconds - (end - loop.time()):6.2f} {name} for {lasts:.1f} s")
        running.append(asyncio.create_task(PATTERNS[name](lab, lasts)))
        await asyncio.sleep(lab.rng.expovariate(1 / RANDOM_PAUSE))
    await asyncio.gather(*running)


def name_limits(trial, limit):
    """Let half of the targets name a rate limit; return the time and them."""
    limited = [w for service in SERVICES for w in trial.of(service)[: TARGETS // 2]]
    for worker in limited:
        worker.rate_limit = f"{limit:g}"
    return asyncio.get_running_loop().time(), limited


def find_exceeded(limit, named_at, limited):
    """Return the targets that received more than their limit tolerates, as texts."""
    allowed, since = tolerated(limit), named_at + LIMIT_HOLDS_AFTER
    lines = []
    for worker in limited:
        most = most_in_window(worker.arrivals, LIMIT_WINDOW, since)
        if most > allowed:
            lines.append(f"{worker.id}: {most} requests, {allowed:g} are tolerated")
    return lines


async def give_notices(trial, seconds, rng):
    """
    Let targets drain, and others ask for backoffs, at random moments that overlap.

    The registry does not tell who drains. A target that has drained for some seconds
    starts again under its id.
    """
    end = asyncio.get_running_loop().time() + seconds
    running = []
    while asyncio.get_running_loop().time() < end:
        worker = rng.choice(list(trial.workers.values()))
        notice = rng.choice((_drain_for_a_while, _reject_for_a_while))
        running.append(asyncio.create_task(notice(trial, worker, rng)))
        await asyncio.sleep(rng.expovariate(1 / NOTICE_PAUSE))
    await asyncio.gather(*running)


async def _drain_for_a_while(trial, worker, rng):
    if worker.is_draining:
        return
    worker.is_draining = True
    await asyncio.sleep(rng.uniform(*DRAIN_SECONDS))
    # All that is kept of it belongs to its previous incarnation.
    trial.closed.append(worker.take_record())
    worker.is_draining = False
    worker.born += 1
    trial.register(worker)


async def _reject_for_a_while(trial, worker, rng):
    if worker.mode is not Mode.GOOD:
        return
    worker.mode, worker.backoff = Mode.SHED, f"{rng.uniform(0.6, 3.0):.2f}"
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    worker.mode, worker.backoff = Mode.GOOD, None


def find_ignored(trial, hosts, callers):
    """Return the requests that reached targets against their notices, as texts."""
    by_name = {host.name: host for host in hosts}

    def is_excused(name, since, until):
        return name is None or by_name[name].was_disturbed(since, until)

    lines = []
    for worker in (*trial.closed, *trial.workers.values()):

        def is_delivered(notice, target_id=worker.id):
            is_backoff = notice.backoff is not None
            return is_backoff or callers.answered_by.get(notice.request_id) == target_id

        lines += find_ignored_notices(
            worker,
            callers.sent_to.get,
            is_excused,
            is_delivered,
        )
    return lines


async def play(
    pattern,
    seconds,
    seed,
    rate,
    folder,
    limit=None,
    has_notices=False,
    has_downloads=False,
    pipelining=0.0,
    has_restores=False,
    is_paced=False,
    has_herds=False,
    is_hostile=False,
):
    """
    Play one pattern.

    Args: as for `run`; `folder` is for settings and logs.
    Returns:
      A list of `Ended`, and the broken promises as texts.
    """
    rng = random.Random(seed)
    services = (
        *SERVICES,
        *(("file",) if has_downloads else ()),
        *(("note",) if is_paced else ()),
        *(("long",) if has_herds else ()),
    )
    async with Trial(services=services, targets=TARGETS, hosts=0) as trial:
        for worker in trial.workers.values():
            worker.work = WORK
        for worker in trial.of("note"):
            worker.body = NOTES
        hosts, links = [], []
        with (folder / "hosts.log").open("wb") as log:
            for number in range(HOSTS):
                seeds = [host.peers for host in hosts[:1]]
                name = f"host-{number}"
                links.append(HostLink())
                await links[-1].start()
                hosts.append(
                    HostProcess(
                        folder,
                        trial.store_address,
                        name,
                        seeds,
                        log,
                        links[-1].address,
                    )
                )
            try:
                lab = Lab(trial, hosts, links, rng)
                if has_downloads:
                    lab.routes = {**lab.routes, **DOWNLOADS}
                if is_paced:
                    lab.routes = {**lab.routes, **ROUTES}
                if has_herds:
                    lab.routes = {**lab.routes, **HERD_ROUTES}
                    send_in_parts(trial.of("long"))
                # Before the hosts start, so that none ever serves without keys.
                lab.publish()
                await asyncio.gather(*(host.start() for host in hosts))
                await _wait_until_ready(hosts, trial.session)
                lab.callers = callers = Callers(
                    hosts, rate, random.Random(seed + 1), pipelining
                )
                reviving = asyncio.create_task(_revive(hosts))
                watch = VersionWatch(hosts, trial.store)
                watching = asyncio.create_task(watch.run())
                faults = asyncio.create_task(_disturb(lab, pattern, seconds))
                if limit is not None:
                    limits = name_limits(trial, limit)
                if has_notices:
                    notice_rng = random.Random(seed + 2)
                    noticing = asyncio.create_task(
                        give_notices(trial, seconds, notice_rng)
                    )
                if has_restores:
                    restoring = asyncio.create_task(
                        restore_at_times(lab, seconds, random.Random(seed + 4))
                    )
                if has_downloads:
                    rng = random.Random(seed + 3)
                    downloaders = DownloadCallers(hosts, rng)
                    downloading = asyncio.create_task(downloaders.run(seconds))
                    cutting = asyncio.create_task(cut_at_times(trial.of("file"), rng))
                if is_paced:
                    paced = PacedCallers(hosts, random.Random(seed + 5))
                    pacing = asyncio.create_task(paced.run(seconds))
                if has_herds:
                    herds = Herds(hosts, random.Random(seed + 6))
                    herding = asyncio.create_task(herds.run(seconds))
                if is_hostile:
                    hostile = HostileCallers(hosts, random.Random(seed + 7))
                    pressing = asyncio.create_task(hostile.run(seconds))
                await callers.run(seconds)
                if is_paced:
                    await pacing
                if has_herds:
                    await herding
                    callers.ended += herds.ended
                    print(herds.tell())
                if is_hostile:
                    await pressing
                    callers.ended += hostile.ended
                    print(hostile.tell())
                if has_downloads:
                    await downloading
                    cutting.cancel()
                    callers.ended += downloaders.ended
                await faults
                if has_notices:
                    await noticing
                if has_restores:
                    await restoring
                reviving.cancel()
                watching.cancel()
            finally:
                for host in hosts:
                    if host.is_running:
                        host.signal(signal.SIGCONT)
                        await host.kill()
                for link in links:
                    link.heal()
                    link.stop()
        workers = trial.workers.values()
        if is_paced:
            callers.ended += paced.ended
        broken = find_broken(callers.ended, workers, trial.closed)
        if is_paced:
            broken += find_all_broken(paced.exchanged, workers, hosts)
        broken += watch.find_broken(lab.published)
        if has_herds:
            broken += herds.find_broken()
        if limit is not None:
            broken += find_exceeded(limit, *limits)
        if has_notices:
            broken += find_ignored(trial, hosts, callers)
        return callers.ended, broken


async def _wait_until_ready(hosts, session):
    async with asyncio.timeout(START_WITHIN):
        while not all([await host.is_ready(session) for host in hosts]):
            await asyncio.sleep(0.05)


async def _revive(hosts):
    """Start hosts that ended by themselves again, and tell of it."""
    while True:
        await asyncio.sleep(REVIVE_EVERY)
        for host in hosts:
            code = await host.revive()
            if code is not None:
                print(f"{host.name} ended by itself: {code}")


async def _disturb(lab, pattern, seconds):
    if pattern == "random":
        await at_random(lab, seconds)
        return
    await asyncio.sleep(BEGINS * seconds)
    await PATTERNS[pattern](lab, LASTS * seconds)


def tell(ended, broken):
    """Return the tally as a line."""
    words = Counter(_word(end) for end in ended)
    parts = [f"{words[w]} {w}" for w in ("whole", "refused", "failed", "unknown")]
    return f"lab: {len(ended)} requests, {', '.join(parts)}, {len(broken)} broken"


def _word(end):
    if end.status is None:
        return "unknown"
    if end.status == 200:
        return "whole"
    return "refused" if end.status in PROMISES else "failed"


def run(
    pattern="calm",
    seconds=SECONDS,
    seed=1,
    rate=RATE,
    out=None,
    limit=None,
    notices=False,
    downloads=False,
    pipelining=0.0,
    restores=False,
    paced=False,
    herds=False,
    hostile=False,
):
    """
    Play a pattern and tell what callers saw.

    Args:
      pattern: One of the patterns, or `random` for several at random moments.
      seconds: How long callers send.
      seed: What is drawn at random.
      rate: Requests a second.
      out: The path of a picture, if one is wanted.
      limit: The requests a second that half of the targets name as their limit.
      notices: Whether targets drain, and ask for backoffs, beside the pattern.
      downloads: Whether callers also request large responses, some of which are cut,
        and read them slowly or not at all.
      pipelining: The share of callers that send several requests at once on one
        connection.
      restores: Whether the store also comes back from older copies at random moments.
      paced: Whether callers also keep connections open, send bodies in pieces, and
        several requests at once whose responses they read slowly.
      herds: Whether callers also come in herds larger than the slots of their targets,
        for long responses; with patterns that leave paths to targets alone.
      hostile: Whether callers also send heads, empty lines and bodies without end.
    """
    if pattern not in PATTERNS and pattern != "random":
        print(f"The patterns are: random, {', '.join(PATTERNS)}.", file=sys.stderr)
        sys.exit(2)
    with tempfile.TemporaryDirectory() as folder:
        playing = play(
            pattern,
            seconds,
            seed,
            rate,
            Path(folder),
            limit,
            notices,
            downloads,
            pipelining,
            restores,
            paced,
            herds,
            hostile,
        )
        ended, broken = asyncio.run(playing)
    if out is not None:
        from .lab_picture import draw_load

        draw_load(ended, out)
    for line in broken:
        print(line)
    print(tell(ended, broken))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(run, name="lab")
