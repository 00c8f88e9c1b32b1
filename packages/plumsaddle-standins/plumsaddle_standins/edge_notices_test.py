"""
What targets say of themselves in their answers, kept by the hosts that were told.
"""

import asyncio

import pytest

from .notices_check import find_ignored_notices
from .store import Fault
from .trial import Trial, in_loop
from .worker import Mode

METHODS = {"look": "GET", "act": "POST", "up": "POST"}


async def press(trial, path, seconds, every=0.02):
    """Send to all hosts by turns, and return the answers in order."""
    service = path.split("/")[1]
    answers = []
    for number in range(int(seconds / every)):
        host = number % len(trial.hosts)
        request_id = f"{service}-{number}@{host}"
        ask = trial.ask(path, request_id, METHODS[service], host=host)
        answers.append(asyncio.ensure_future(ask))
        await asyncio.sleep(every)
    return await asyncio.gather(*answers)


def host_of(request_id):
    """Return the number of the host that `press` sent a request to."""
    return request_id.partition("@")[2]


def find_all_ignored(trial):
    """Return what any target of a trial was sent against its notices."""
    return [
        line
        for worker in trial.every_worker
        for line in find_ignored_notices(worker, host_of)
    ]


@pytest.mark.parametrize("service", METHODS)
@in_loop
async def test_no_request_follows_a_draining_notice(service):
    """Guards against work for a leaving target while the store cannot tell of it."""
    async with Trial((service,), targets=3, hosts=2) as trial:
        trial.store.fault = Fault.SILENT
        for worker in trial.of(service):
            worker.work = 0.1
        leaving = trial.workers[f"{service}-0"]
        leaving.is_draining = True
        answers = await press(trial, f"/{service}/a", 3.5)
        assert leaving.notices
        assert not find_all_ignored(trial)
        assert {status for status, _, _ in answers} == {200}


@pytest.mark.parametrize("service", METHODS)
@in_loop
async def test_no_request_disturbs_a_target_that_asked_for_rest(service):
    """Guards against hosts that go on pressing a target that has named a pause."""
    async with Trial((service,), targets=1) as trial:
        worker = trial.workers[f"{service}-0"]
        worker.mode, worker.rest = Mode.SHED, "2.5"
        await press(trial, f"/{service}/a", 3.0)
        assert worker.notices
        assert not find_all_ignored(trial)


@in_loop
async def test_a_target_of_another_data_centre_gets_its_rest():
    """Guards against rejections that count for hosts beside the target alone."""
    async with Trial(("act",), targets=2, centres=("x", "y")) as trial:
        trial.workers["act-0"].work = 0.2
        remote = trial.workers["act-1"]
        remote.mode, remote.rest = Mode.SHED, "2.5"
        await press(trial, "/act/a", 3.0)
        assert remote.notices
        assert not find_all_ignored(trial)
