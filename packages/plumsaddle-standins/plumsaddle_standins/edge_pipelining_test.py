"""
Several requests on one connection, as a caller that sends them at once sees it.
"""

import asyncio
import logging

from plumsaddle_hosts.utils.addresses import split_address

from .pipelining import Pipe, request_bytes
from .trial import KINDS, OPERATOR, Trial, configuration, in_loop, until
from .worker import BODY, Mode


async def _open(trial):
    return await Pipe.open(*split_address(trial.hosts[0].settings.caller_address))


@in_loop
async def test_requests_that_may_be_repeated_are_worked_on_side_by_side():
    """Guards against six requests on one connection taking six times as long as one."""
    async with Trial(services=("look",), targets=2) as trial:
        for worker in trial.workers.values():
            worker.work = 0.3
        pipe = await _open(trial)
        started = asyncio.get_running_loop().time()
        pipe.send(*(request_bytes("/look/a", f"id-{n}") for n in range(6)))
        answers = [await pipe.receive() for _ in range(6)]
        assert asyncio.get_running_loop().time() - started < 0.6
        assert [answer.status for answer in answers] == [200] * 6
        assert [answer.request_id for answer in answers] == [
            f"id-{n}" for n in range(6)
        ]
        assert all(answer.body == BODY for answer in answers)
        pipe.close()


@in_loop
async def test_an_order_among_lookups_runs_once_and_in_its_turn(caplog):
    """Guards against an order that runs although its response may not be delivered."""
    caplog.set_level(logging.INFO)
    async with Trial(services=("look", "act")) as trial:
        for worker in trial.workers.values():
            worker.work = 0.2
        pipe = await _open(trial)
        pipe.send(
            request_bytes("/look/a", "id-0"),
            request_bytes("/act/a", "id-1", "POST", b"order"),
            request_bytes("/none/a", "id-2"),
            request_bytes("/look/a", None),
            request_bytes("/look/a", "id-4"),
        )
        answers = [await pipe.receive() for _ in range(5)]
        assert [answer.status for answer in answers] == [200, 200, 404, 400, 200]
        seen = {s.id: s.at for worker in trial.workers.values() for s in worker.seen}
        assert seen["id-1"] - seen["id-0"] > 0.19
        assert seen["id-4"] - seen["id-1"] > 0.19
        assert sum(worker.runs["id-1"] for worker in trial.of("act")) == 1
        logged = {
            record.request: getattr(record, "position", None)
            for record in caplog.records
            if record.message in ("answered", "refused")
        }
        assert logged == {"id-0": None, "id-1": 1, "id-2": 2, None: 3, "id-4": 4}
        pipelines = trial.hosts[0]._front_server.pipelines
        assert (pipelines.early_count, pipelines.waited_count) == (3, 3)
        pipe.close()


@in_loop
async def test_a_cut_response_takes_what_is_behind_it_along():
    """Guards against requests that run behind a cut response and are sent again."""
    routes = {**KINDS, "/film/": ("safe", "up")}
    async with Trial(targets=1) as trial:
        trial.store.put(OPERATOR, "config", configuration(2, routes=routes))
        await until(lambda: trial.hosts[0].knowledge.cfg.version == 2)
        trial.workers["look-0"].work = 0.6
        trial.workers["up-0"].work = 0.1
        trial.set_mode("up", Mode.LONG_CUT)
        pipe = await _open(trial)
        pipe.send(
            request_bytes("/film/a", "id-0"),
            request_bytes("/look/a", "id-1"),
            request_bytes("/act/a", "id-2", "POST"),
        )
        assert await pipe.receive() is None
        await until(lambda: trial.workers["look-0"].cancelled["id-1"] == 1, 0.5)
        await asyncio.sleep(0.3)
        assert not trial.workers["act-0"].seen
        assert not trial.hosts[0].knowledge.shared.own_in_flight()


@in_loop
async def test_a_caller_that_leaves_ends_all_its_lookups():
    """Guards against targets at work for a caller that has left."""
    async with Trial(services=("look", "act"), targets=2) as trial:
        for worker in trial.workers.values():
            worker.work = 1.5
        pipe = await _open(trial)
        pipe.send(*(request_bytes("/look/a", f"id-{n}") for n in range(5)))
        pipe.send(request_bytes("/act/a", "id-5", "POST"))
        pipe.send(*(request_bytes("/look/a", f"id-{n}") for n in range(6, 40)))
        await until(lambda: sum(len(w.seen) for w in trial.of("look")) == 5)
        pipe.close()
        cancelled = [worker.cancelled for worker in trial.of("look")]
        await until(lambda: sum(c.total() for c in cancelled) == 5, 0.5)
        await asyncio.sleep(0.5)
        assert sum(len(worker.seen) for worker in trial.of("look")) == 5
        assert not any(worker.seen for worker in trial.of("act"))


@in_loop
async def test_shutdown_answers_all_that_was_read():
    """Guards against requests that are broken off because a host is restarted."""
    async with Trial(services=("look", "act"), targets=2) as trial:
        for worker in trial.workers.values():
            worker.work = 0.7
        host = trial.hosts[0]
        pipe = await _open(trial)
        pipe.send(*(request_bytes("/look/a", f"id-{n}") for n in range(4)))
        pipe.send(request_bytes("/act/a", "id-4", "POST"))
        await asyncio.sleep(0.2)
        trial.at_end(asyncio.ensure_future(host.drain()))
        answers = [await pipe.receive() for _ in range(6)]
        assert [answer and answer.status for answer in answers] == [200] * 5 + [None]
        closing = [answer.headers.get("connection") for answer in answers[:5]]
        assert closing == [None, None, None, None, "close"]


@in_loop
async def test_time_runs_from_the_arrival_of_a_request():
    """Guards against an order that runs for a caller that has given up."""
    async with Trial(services=("look", "act")) as trial:
        for worker in trial.of("look"):
            worker.work = 0.5
        pipe = await _open(trial)
        pipe.send(
            request_bytes("/look/a", "id-0"),
            request_bytes("/act/a", "id-1", "POST", b"order", left=300),
            request_bytes("/act/a", "id-2", "POST", b"order"),
        )
        answers = [await pipe.receive() for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 503, 200]
        seen = [s.id for worker in trial.of("act") for s in worker.seen]
        assert seen == ["id-2"]
        pipe.close()


@in_loop
async def test_a_hundred_requests_of_a_caller_do_not_delay_one_of_another():
    """Guards against one connection that takes all slots of a service."""
    async with Trial(services=("look",), targets=4) as trial:
        for worker in trial.workers.values():
            worker.work = 0.1
        pipe = await _open(trial)
        pipe.send(*(request_bytes("/look/a", f"id-{n}") for n in range(100)))
        await asyncio.sleep(0.15)
        started = asyncio.get_running_loop().time()
        status, _, _ = await trial.ask("/look/a", "other")
        assert status == 200
        assert asyncio.get_running_loop().time() - started < 0.2
        answers = [await pipe.receive() for _ in range(100)]
        assert [answer.status for answer in answers] == [200] * 100
        pipe.close()
