"""
Old check-ins of workers arrive after the workers have reported that they drain.

Three of fifteen workers are partitioned from the store for four seconds. Check-ins that
they sent meanwhile are held up. When the partition has healed, they report that they
drain, and the store acknowledges that; then TCP delivers the check-ins that were held
up. A host must not send these workers requests later than `drain_ms` after the
acknowledgement.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

import lab  # noqa: E402

# With TROUBLE=0 no worker is partitioned, and the case must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTES = {"/orders/": ("unsafe", "vernietiging", 2000)}
WORKERS = 15
# Workers that are partitioned and leave: a fifth.
LEAVING = 3
WORK = 0.31
# Seconds between two requests of all clients.
INTERVAL = 1 / 60.3
CALM = 6.0
# The partition, and when in it the check-in is sent.
CUT_TIME = 4.0
SENT_AFTER = 0.1
# Seconds after heal at which the worker reports that it drains.
REPORTS_AFTER = 0.1
# Seconds for which the worker serves beyond `drain_ms`.
LITTLE_LONGER = 1.2
# Silence after which the store removes an entry: three check-in intervals.
EXPIRY = 3 * lab.HEARTBEAT


async def _check_in(link, record, worker):
    """Check in about every `heartbeat_ms`; the first time at once."""
    while True:
        # While the link is cut, only the first packet of a new connection is lost, and
        # one that is given up sends nothing later.
        if not link.is_cut:
            await lab.write_entry(link, record, worker)
        await asyncio.sleep(lab.HEARTBEAT)


async def _check_in_others(deployment, workers):
    while True:
        await asyncio.sleep(lab.HEARTBEAT)
        for worker in workers:
            deployment.check_in(worker)


async def _send_orders(deployment, outcomes):
    number = 0
    while True:
        host = deployment.hosts[number % len(deployment.hosts)]
        number += 1
        sending = lab.ask(
            deployment.record, host, "/orders/a", f"order-{number}", body=b"o" * 300
        )
        task = deployment.spawn(sending)
        task.add_done_callback(outcomes.append)
        await asyncio.sleep(INTERVAL)


async def _cut(deployment, link, leaving):
    """Partition a worker from the store; its check-in is held up meanwhile."""
    record = deployment.record
    link.is_cut = True
    record.add(f"{leaving.id} is partitioned from the store")
    silent_since = record.now() + SENT_AFTER - lab.HEARTBEAT
    await asyncio.sleep(SENT_AFTER)
    # It is sent on a connection that was open before, so its bytes are held up.
    deployment.spawn(lab.write_entry(link, record, leaving))
    await asyncio.sleep(silent_since + EXPIRY - record.now())
    deployment.store.put(lab.WORKERS, leaving.id, b"")
    record.add(f"the store removes the entry of {leaving.id} after its silence")
    await asyncio.sleep(CUT_TIME - SENT_AFTER - EXPIRY + lab.HEARTBEAT)
    link.is_cut = False
    record.add(f"the partition of {leaving.id} heals")


async def _leave(deployment, leaving):
    """Check in for a while, be cut, and leave; return when that was acknowledged."""
    record = deployment.record
    link = lab.Link(record, deployment.store)
    await link.start()
    checking_in = deployment.spawn(_check_in(link, record, leaving))
    await asyncio.sleep(CALM)
    checking_in.cancel()
    if HAS_TROUBLE:
        await _cut(deployment, link, leaving)
    else:
        await lab.write_entry(link, record, leaving)
        await asyncio.sleep(CUT_TIME)
    await asyncio.sleep(REPORTS_AFTER)
    leaving.state = "draining"
    drained_at = await lab.write_entry(link, record, leaving)
    if drained_at is None:
        raise lab.NotRunError("the report of draining was not acknowledged")
    await asyncio.sleep(lab.HEARTBEAT)
    checking_in = deployment.spawn(_check_in(link, record, leaving))
    await asyncio.sleep(drained_at + lab.DRAIN + LITTLE_LONGER - record.now())
    checking_in.cancel()
    leaving.stop()
    record.add(f"{leaving.id} exits")
    deployment.store.put(lab.WORKERS, leaving.id, b"")
    return drained_at


async def play(record):
    """Play the case, and return whether the rule was kept."""
    async with lab.Deployment(record, ROUTES) as deployment:
        workers = [
            await deployment.add_worker(
                lab.Worker(f"i-{number}", "vernietiging", record, WORK)
            )
            for number in range(WORKERS)
        ]
        leaving, others = workers[:LEAVING], workers[LEAVING:]
        for number in range(2):
            await deployment.add_host(f"edge-{number}")
        await deployment.wait_ready()
        deployment.spawn(_check_in_others(deployment, others))
        outcomes = []
        sending = deployment.spawn(_send_orders(deployment, outcomes))
        drained_at = await asyncio.gather(
            *(_leave(deployment, worker) for worker in leaving)
        )
        await asyncio.sleep(2.0)
        sending.cancel()
        await asyncio.sleep(2.5)
        return _judge(record, leaving, outcomes, drained_at)


def _judge(record, leaving, outcomes, drained_at):
    """Tell what was seen, and return whether the rule was kept."""
    too_late, cut = [], set()
    for worker, at in zip(leaving, drained_at, strict=True):
        bound = at + lab.DRAIN
        late = [a for a in worker.arrivals if a.at > bound]
        too_late += late
        cut |= {
            a.id for a in late if not a.is_done or a.at > bound + LITTLE_LONGER - WORK
        }
    done = [task.result() for task in outcomes if not task.cancelled()]
    failed = [o for o in done if o.status != 200]
    in_all = sum(len(worker.arrivals) for worker in leaving)
    summary = (
        f"{len(done)} orders, {in_all} of them to the leaving workers; "
        f"{len(too_late)} arrived there later than drain_ms after the acknowledgement; "
        f"{len(failed)} of all orders were not answered with 200, "
        f"{len([o for o in failed if o.id in cut])} of these were cut by the exits"
    )
    record.add(summary)
    print(summary)
    if in_all < 30:
        raise lab.NotRunError("the leaving workers got too few requests")
    return not too_late


if __name__ == "__main__":
    lab.run_case(play, Path(__file__).parent)
