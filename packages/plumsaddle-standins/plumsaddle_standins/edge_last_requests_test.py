"""
Requests that reach a host late in its grace period.
"""

import asyncio

import pytest

from .trial import OPERATOR, Trial, configuration, in_loop, until

INTERVAL = 0.05


async def _serve_while_draining(trial, path, work, timeout, known=0):
    """Return the requests' statuses by id; they come until the host has ended."""
    trial.store.put(OPERATOR, "config", configuration(2, timeout=timeout))
    host = trial.hosts[0]
    await until(lambda: host.knowledge.cfg.version == 2)
    for worker in trial.workers.values():
        worker.work = work
    statuses = {}

    async def ask(request_id):
        method = "GET" if path.startswith("/look") else "POST"
        left = int(timeout * 1000)
        statuses[request_id], headers, _ = await trial.ask(
            path, request_id, method, left=left, more={"Connection": "close"}
        )
        assert statuses[request_id] == 200 or "Retry-After" in headers

    await asyncio.gather(*(ask(f"known-{number}") for number in range(known)))
    draining = asyncio.ensure_future(host.drain())
    trial.at_end(draining)
    tasks = []
    while host._servers["callers"].is_serving():
        tasks.append(asyncio.ensure_future(ask(f"id-{len(tasks)}")))
        await asyncio.sleep(INTERVAL)
    await asyncio.gather(*tasks[:-1])
    await asyncio.gather(tasks[-1], return_exceptions=True)
    await draining
    return statuses


@pytest.mark.parametrize(
    ("path", "grace", "work", "timeout"),
    [
        ("/up/a", 2.0, 1.0, 1.5),
        ("/act/a", 2.0, 3.6, 8.0),
        ("/look/a", 2.0, 1.0, 1.5),
    ],
)
@in_loop
async def test_no_request_is_begun_that_the_end_would_cut(path, grace, work, timeout):
    """Guards against orders that are taken late in the grace period and lost."""
    service = path.split("/")[1]
    async with Trial(services=(service,), targets=40, grace=grace) as trial:
        statuses = await _serve_while_draining(trial, path, work, timeout)
        assert set(statuses.values()) <= {200, 503}
        assert 503 in statuses.values()
        ran = {key for w in trial.workers.values() for key in w.runs}
        assert ran == {key for key, status in statuses.items() if status == 200}


@in_loop
async def test_requests_that_can_end_in_time_are_served():
    """Guards against a host that refuses all longer requests while it drains."""
    async with Trial(services=("act",), targets=40, grace=2.5) as trial:
        statuses = await _serve_while_draining(trial, "/act/a", 1.0, 8.0, known=6)
        early = [statuses[f"id-{number}"] for number in range(int(0.8 / INTERVAL))]
        assert set(early) == {200}
        assert set(statuses.values()) <= {200, 503}
