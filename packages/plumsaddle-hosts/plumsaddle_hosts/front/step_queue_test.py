"""
Tests of the order in which steps run.
"""

import asyncio

from .step_queue import StepQueue


def test_one_step_runs_in_each_turn():
    """Guards against a loop that serves nobody while expensive input is parsed."""

    async def run():
        queue, log = StepQueue(), []

        def make_step(name, count):
            def step():
                log.append(name)
                if count > 1:
                    queue.add(make_step(name, count - 1))

            return step

        queue.add(make_step("a", 3))
        queue.add(make_step("b", 2))
        for turn in range(6):
            await asyncio.sleep(0)
            log.append(turn)
        return log

    log = asyncio.run(run())
    steps = [entry for entry in log if isinstance(entry, str)]
    assert steps == ["a", "b", "a", "b", "a"]
    assert not any(
        isinstance(first, str) and isinstance(second, str)
        for first, second in zip(log, log[1:], strict=False)
    )


def test_a_step_that_fails_holds_up_no_others():
    """Guards against connections that are never read again."""

    async def run():
        queue, log = StepQueue(), []

        def fail():
            raise ValueError

        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        queue.add(fail)
        queue.add(lambda: log.append("after"))
        for _ in range(3):
            await asyncio.sleep(0)
        return log

    assert asyncio.run(run()) == ["after"]


def test_an_empty_queue_does_nothing():
    """Guards against a loop that is never idle."""

    async def run():
        queue = StepQueue()
        queue.add(lambda: None)
        for _ in range(2):
            await asyncio.sleep(0)
        return queue._is_scheduled

    assert asyncio.run(run()) is False
