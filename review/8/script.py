"""
All hosts are killed at one moment, and the three that the settings name as seeds stay
away, while a tenant asks for more than its limit.

Do the others, which know nobody at their start, each admit the whole limit?
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))

from fleet import BROKEN, HELD, NOT_RUN, now, run  # noqa: E402
from tenants import SEEDS, Deployment  # noqa: E402

# With TROUBLE=0 no host is killed, and the case must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 8
# Requests a second to each host: the usual, and 9 times that while the tenant is hot,
# for 7.2 s.
USUAL, HOT = 4.0, 36.0
LEAD_IN, HOT_FOR = 2.2, 7.2
SETTLE = 12.0
# Seconds after which the platform starts a process that was killed.
RESTART_DELAY = 0.3
# The bound `seed_lag_s`: by then the settings name seeds that are alive.
SEED_LAG = 3.0
AFTER = 10.0


async def main(record, scratch):
    """Run the case."""
    fleet = Deployment(record, scratch, HOSTS)
    try:
        if not await fleet.start():
            record.say("a host did not become ready")
            return NOT_RUN
        fleet.send(USUAL)
        await asyncio.sleep(SETTLE)
        fleet.send(HOT)
        hot_until = now() + HOT_FOR
        await asyncio.sleep(LEAD_IN)
        since = now()
        if HAS_TROUBLE and not await lose_seeds(record, fleet, since):
            return NOT_RUN
        await asyncio.sleep(max(0.0, hot_until - now()))
        fleet.send(USUAL)
        await asyncio.sleep(AFTER)
    finally:
        await fleet.stop()
    return BROKEN if fleet.check(since) else HELD


async def lose_seeds(record, fleet, since):
    """Kill all hosts, start all but the seeds, and later name others as seeds."""
    for host in fleet.hosts:
        host.send_signal(signal.SIGKILL)
    record.say("all hosts are killed")
    await asyncio.gather(*(host.kill() for host in fleet.hosts))
    await asyncio.sleep(RESTART_DELAY)
    back = fleet.hosts[SEEDS:]
    await asyncio.gather(*(host.start() for host in back))
    ready = await asyncio.gather(*(host.wait_until_ready() for host in back))
    record.say(f"{sum(ready)} hosts are back, without the {SEEDS} seeds")
    await asyncio.sleep(max(0.0, since + SEED_LAG - now()))
    for host in back:
        host.write_settings(other.seed for other in back[:SEEDS])
        host.send_signal(signal.SIGHUP)
    record.say("the settings name live seeds")
    return all(ready)


run(main, HERE)
