"""
A tenant asks for more than its limit, and the servers are all well.

Do enough of the sound servers get requests while a part of the requests is refused?
"""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))

from fleet import BROKEN, HELD, NOT_RUN, now, run  # noqa: E402
from tenants import Deployment  # noqa: E402

# With TROUBLE=0 the tenant stays within its limit, and the case must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 10
SERVERS = 15
WORK = 0.1
# Requests a second to each host: within the tenant's limit, and while it is hot.
USUAL, HOT = 3.0, 6.5
SETTLE = 15.0
HOT_FOR = 20.0
# The rule's figures.
WINDOW = 2.0
FLOOR_SHARE = 0.7
LEAST_UNSERVED, MOST_UNSERVED = 0.1, 0.5
STEP = 0.1


async def main(record, scratch):
    """Run the case."""
    fleet = Deployment(record, scratch, HOSTS, SERVERS)
    for server in fleet.servers:
        server.work = lambda request: WORK
    try:
        if not await fleet.start():
            record.say("a host did not become ready")
            return NOT_RUN
        fleet.send(USUAL)
        await asyncio.sleep(SETTLE)
        since = now()
        if HAS_TROUBLE:
            fleet.send(HOT)
            record.say("the tenant asks for more than its limit")
        await asyncio.sleep(HOT_FOR)
        until = now() - WINDOW
        await asyncio.sleep(1.0)
    finally:
        await fleet.stop()
    record.say(f"answers by status: {fleet.statuses}")
    return BROKEN if check(record, fleet, since, until) else HELD


def check(record, fleet, since, until):
    """Look at each window, and return whether the rule was broken in one."""
    broken = []
    start = since
    while start < until:
        end = start + WINDOW
        runs = [sum(1 for r in s.runs if start <= r.at < end) for s in fleet.servers]
        ends = [fleet.ends.get(i) for i, at in fleet.sent.items() if start <= at < end]
        used = sum(1 for count in runs if count) / len(runs)
        unserved = sum(1 for status in ends if status != 200) / max(1, len(ends))
        record.note(
            f"from {start - since:.1f} s: {sum(runs)} runs, share of the servers that"
            f" got some {used:.2f}, share of {len(ends)} requests not served"
            f" {unserved:.2f}"
        )
        if 0 < used < FLOOR_SHARE and LEAST_UNSERVED < unserved < MOST_UNSERVED:
            broken.append((used, start - since, sum(runs), unserved))
        start += STEP
    if not broken:
        record.say("no window breaks the rule")
        return False
    used, at, runs, unserved = min(broken)
    record.say(
        f"{len(broken)} windows break the rule; in the worst, from {at:.1f} s, {runs}"
        f" runs went to {used:.2f} of the sound servers while {unserved:.2f} of the"
        " requests were not served"
    )
    return True


run(main, HERE)
