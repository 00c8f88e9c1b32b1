"""
Targets that start again under their id, and entries by other writers, on real sockets.
"""

import asyncio

import pytest

from plumsaddle_hosts.edge.clock import now

from .store import Fault
from .trial import TARGETS, Trial, in_loop, until
from .worker import Mode

BORN_AGAIN = 1796256009000
BORN_BEFORE = 1796255009000


@in_loop
async def test_a_request_at_a_restarted_target_is_decided_at_once():
    """
    An order's caller waits for its whole deadline, though its answer can never come.

    The target lost its power with the order under way, so no reset was sent, and it
    has started again under its id; the host keeps waiting on the old connection.
    """
    async with Trial(services=("act",), targets=1) as trial:
        worker = trial.of("act")[0]
        worker.mode = Mode.HANG
        started = now()
        order = asyncio.create_task(trial.ask("/act/a", "id-1", "POST"))
        await until(lambda: worker.seen)
        trial.store.put(TARGETS, worker.id, worker.entry(born=BORN_AGAIN))
        status, _, _ = await order
        # It may have run, so nothing is promised, and it is not sent again.
        assert status == 502
        assert now() - started < 1.5
        assert len(worker.seen) == 1


@in_loop
async def test_a_look_up_at_a_restarted_target_goes_elsewhere():
    async with Trial(services=("look",), targets=2) as trial:
        trial.set_mode("look", Mode.HANG)
        look_up = asyncio.create_task(trial.ask("/look/a", "id-1"))
        await until(lambda: any(worker.seen for worker in trial.of("look")))
        first = next(worker for worker in trial.of("look") if worker.seen)
        trial.set_mode("look", Mode.GOOD)
        trial.store.put(TARGETS, first.id, first.entry(born=BORN_AGAIN))
        status, _, _ = await look_up
        assert status == 200


@in_loop
async def test_a_late_entry_of_a_former_start_ends_no_order():
    """Guards against cutting what a sound target runs as its old entry arrives."""
    async with Trial(services=("act",), targets=1) as trial:
        worker = trial.of("act")[0]
        worker.work = 1.5
        registry = trial.hosts[0].knowledge.registry
        former = worker.entry(born=BORN_BEFORE)
        trial.register(worker)
        order = asyncio.create_task(trial.ask("/act/a", "id-1", "POST"))
        await until(lambda: worker.seen)
        revision = registry.revision
        trial.store.put(TARGETS, worker.id, former)
        trial.register(worker)
        await until(lambda: registry.revision > revision)
        assert not order.done()
        status, _, _ = await order
        assert status == 200
        assert registry.targets[worker.id].started_at == worker.born


@in_loop
async def test_a_restart_that_is_learnt_late_cuts_no_response():
    """Guards against cutting responses of the process that is at work by then."""
    async with Trial(services=("look",), targets=1) as trial:
        worker = trial.of("look")[0]
        worker.mode = Mode.ENDLESS
        head = (
            "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST-ID\r\n"
            f"Response-Signature: {worker.id}.1\r\nContent-Length: 320000\r\n\r\n"
        )
        # It takes 1.6 s.
        worker.endless, worker.endless_pause = (head.encode(), b"x" * 20000), 0.1
        look_up = asyncio.create_task(trial.ask("/look/a", "id-1"))
        await until(lambda: worker.flooded)
        trial.store.put(TARGETS, worker.id, worker.entry(born=BORN_AGAIN))
        registry = trial.hosts[0].knowledge.registry
        await until(lambda: registry.targets[worker.id].started_at == BORN_AGAIN)
        assert not look_up.done()
        status, _, body = await look_up
        assert status == 200
        assert len(body) == 320000


@in_loop
async def test_a_restart_while_the_store_is_away_is_learnt_at_its_return():
    """
    A target that failed in its former life stays avoided after its restart.

    It died and started again while the store was away, and the first news of it is a
    listing with another start in its entry.
    """
    async with Trial(services=("look",), targets=1) as trial:
        worker = trial.of("look")[0]
        worker.mode = Mode.ERRORS
        for number in range(3):
            await trial.ask("/look/a", f"id-{number}")
        shared = trial.hosts[0].knowledge.shared
        former = trial.hosts[0].knowledge.registry.targets[worker.id].incarnation
        assert shared.failure_probability(former, now()) > 0.5
        trial.store.fault = Fault.OUT
        await asyncio.sleep(0.3)
        trial.store.put(TARGETS, worker.id, worker.entry(born=BORN_AGAIN))
        trial.store.fault = Fault.NONE
        targets = trial.hosts[0].knowledge.registry.targets
        await until(lambda: targets[worker.id].started_at == BORN_AGAIN)
        assert shared.failure_probability(targets[worker.id].incarnation, now()) < 0.3
        assert former not in shared.health.target_estimators


@pytest.mark.parametrize(
    "entry", [b"{", b"\xff\xfe", b"[1]", b'{"service": "act", "state": "ready"}']
)
@in_loop
async def test_an_entry_by_another_writer_names_no_target(entry):
    """
    Orders go to a target whose entry somebody has overwritten with nonsense.

    Its last good entry stayed in force, because the new one could not be read.
    """
    async with Trial(services=("act",), targets=2) as trial:
        spoiled, good = trial.of("act")
        trial.store.put(TARGETS, spoiled.id, entry)
        registry = trial.hosts[0].knowledge.registry
        await until(lambda: spoiled.id not in registry.targets)
        for number in range(6):
            status, _, _ = await trial.ask("/act/a", f"id-{number}", "POST")
            assert status == 200
        assert not spoiled.seen
        assert len(good.seen) == 6
        trial.register(spoiled)
        await until(lambda: spoiled.id in registry.targets)
