"""
The time of day jumps while hosts serve, learn of changes and tell each other.
"""

import time

from .trial import TARGETS, Trial, in_loop, until

REAL_TIME = time.time
REAL_TIME_NS = time.time_ns
# Seconds by which the time of day is off, one after the other.
STEPS = (4.0, -4.0, 3600.0, 0.0, -86400.0, 0.0)


@in_loop
async def test_a_time_of_day_that_jumps_changes_nothing(monkeypatch):
    """
    Requests are given up early or held for hours, and a restarted host is ignored.

    The time of day of a host jumps by seconds to a day, forward and back, while
    requests are under way, a target leaves and the hosts tell each other of it.
    """
    off = {"s": 0.0}
    monkeypatch.setattr(time, "time", lambda: REAL_TIME() + off["s"])
    monkeypatch.setattr(time, "time_ns", lambda: REAL_TIME_NS() + int(off["s"] * 1e9))
    async with Trial(services=("look", "act"), targets=2, hosts=2) as trial:
        for worker in trial.workers.values():
            worker.work = 0.1
        for number, seconds in enumerate(STEPS):
            off["s"] = seconds
            for host in (0, 1):
                status, _, _ = await trial.ask(
                    "/look/a", f"look-{number}-{host}", host=host
                )
                assert status == 200
                status, _, _ = await trial.ask(
                    "/act/a", f"act-{number}-{host}", "POST", host=host
                )
                assert status == 200
            heard = [host.knowledge.shared.live_host_count() for host in trial.hosts]
            assert heard == [2, 2]
        leaver = trial.of("act")[0]
        trial.store.put(TARGETS, leaver.id, leaver.entry("draining"))
        off["s"] = -4.0
        for host in trial.hosts:
            registry = host.knowledge.registry
            await until(lambda r=registry: len(r.usable("act")) == 1, 1.5)
