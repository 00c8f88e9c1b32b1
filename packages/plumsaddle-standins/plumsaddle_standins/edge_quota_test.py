"""
Limits of workspaces over several hosts, as callers see them.
"""

import asyncio

import pytest

from plumsaddle_core.limits.quotas import START_TIME
from plumsaddle_hosts.edge.clock import now

from .trial import OPERATOR, Trial, configuration, in_loop, until
from .windows import most_in_window
from .worker import Mode

LIMITED = {"api_keys": ["key-1"], "rate_per_s": 10, "burst": 10, "priority": 0}
OTHER = {"api_keys": ["key-2"], "rate_per_s": 100, "burst": 100}


async def _publish(trial, version=2, **workspaces):
    workspaces = workspaces or {"one": LIMITED, "two": OTHER}
    trial.store.put(
        OPERATOR, "config", configuration(version, workspaces=workspaces, tries=1)
    )
    await until(lambda: all(h.knowledge.cfg.version == version for h in trial.hosts))
    # Hosts hear of each other within two beats.
    near = len(trial.hosts) // len(trial.centres)
    await until(
        lambda: all(h.knowledge.shared.live_host_count() == near for h in trial.hosts)
    )
    # Until then hosts assume that the demand of every workspace is high.
    started = max(h.knowledge.shared.quotas._started_at for h in trial.hosts)
    await until(lambda: now() > started + START_TIME)


async def _press(trial, seconds, every, key="key-1", path="/look/a"):
    """Ask all hosts by turns, and return the answers' statuses and headers in order."""
    answers, _ = await _press_timed(trial, seconds, every, key, path)
    return answers


async def _press_timed(trial, seconds, every, key="key-1", path="/look/a"):
    """Do as `_press`, and return the times at which the requests were sent besides."""
    asked, times = [], []
    for number in range(int(seconds / every)):
        host = number % len(trial.hosts)
        ask = trial.ask(path, f"{key}-{number}", host=host, key=key)
        asked.append(asyncio.ensure_future(ask))
        times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(every)
    answers = await asyncio.gather(*asked)
    return [(status, headers) for status, headers, _ in answers], times


@in_loop
async def test_a_limit_holds_over_all_hosts_and_touches_nobody_else():
    """
    A workspace that asks too much at three hosts gets its limit three times, or takes
    the room of another one that asks within its own.
    """
    async with Trial(services=("look",), hosts=3) as trial:
        await _publish(trial)
        (pressed, times), calm = await asyncio.gather(
            _press_timed(trial, 6.0, 0.01), _press(trial, 6.0, 0.05, "key-2")
        )
        assert {status for status, _ in pressed} == {200, 429}
        answered = zip(pressed, times, strict=True)
        ran = [at for (status, _), at in answered if status == 200]
        # Five seconds of the rate and the burst, a tenth more, and twenty.
        assert most_in_window(ran, 5.0) <= (5 * 10 + 10) * 1.1 + 20
        assert len(ran) >= 5 * 10
        assert {status for status, _ in calm} == {200}
        pauses = {h["Retry-After"] for status, h in pressed if status == 429}
        assert all(0 < float(pause) <= 5 for pause in pauses)
        assert len(pauses) > 10


@in_loop
async def test_what_did_not_run_leaves_the_limit_as_it_was():
    """
    A workspace has used up its limit though targets refused all that it asked.

    The host says that the requests have not run; then they must not count either.
    """
    async with Trial(services=("look",)) as trial:
        await _publish(trial)
        trial.set_mode("look", Mode.SHED)
        refused = await _press(trial, 0.6, 0.01)
        assert {status for status, _ in refused} == {503}


@in_loop
async def test_a_refused_request_leads_to_its_limit(caplog):
    """An operator is asked why a request got 429, and finds nothing but the status."""
    caplog.set_level("INFO")
    async with Trial(services=("look",)) as trial:
        await _publish(trial)
        statuses = [status for status, _ in await _press(trial, 0.6, 0.01)]
        assert 429 in statuses
        line = next(
            record
            for record in caplog.records
            if getattr(record, "cause", None) == "over-limit"
        )
        assert (line.workspace, line.rate, line.burst) == ("one", 10.0, 10.0)
        assert line.request.startswith("key-1-")
        assert line.demand > 0
        assert (line.part, line.silent) == (1.0, 0)


@pytest.mark.parametrize("centres", [("x",), ("x", "y")])
@in_loop
async def test_hosts_tell_each_other_what_workspaces_ask(centres):
    """Hosts of other data centres let through as if nobody else did."""
    async with Trial(services=("look",), hosts=4, centres=centres) as trial:
        await _publish(trial)
        await _press(trial, 3.0, 0.02)
        hosts = trial.hosts
        decisions = [
            host.knowledge.shared.quotas.acquire(
                host.knowledge.cfg.workspaces[0], host.store_access._answered_at
            )
            for host in hosts
        ]
        # Of some 60 there is little left, as each of the four knows.
        assert all(decision.remaining < 20 for decision in decisions), decisions
