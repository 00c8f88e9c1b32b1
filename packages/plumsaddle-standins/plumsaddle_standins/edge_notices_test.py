"""
What targets say of themselves in their answers, kept by the hosts that were told.
"""

import asyncio
import contextlib

import aiohttp
import pytest

from plumsaddle_hosts.edge.clock import now

from .notices_check import find_ignored_notices
from .store import Fault
from .trial import TARGETS, Trial, in_loop, until
from .windows import most_in_window
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
async def test_no_request_reaches_a_target_during_its_backoff(service):
    """Guards against hosts that go on pressing a target that has named a pause."""
    async with Trial((service,), targets=1) as trial:
        worker = trial.workers[f"{service}-0"]
        worker.mode, worker.backoff = Mode.SHED, "2.5"
        await press(trial, f"/{service}/a", 3.0)
        assert worker.notices
        assert not find_all_ignored(trial)


@in_loop
async def test_a_backoff_holds_for_a_target_of_another_data_centre():
    """Guards against rejections that count for hosts beside the target alone."""
    async with Trial(("act",), targets=2, centres=("x", "y")) as trial:
        trial.workers["act-0"].work = 0.2
        remote = trial.workers["act-1"]
        remote.mode, remote.backoff = Mode.SHED, "2.5"
        await press(trial, "/act/a", 3.0)
        assert remote.notices
        assert not find_all_ignored(trial)


async def learn_of_draining(trial, service):
    """Let the first target of a service drain and say so in one answer; return it."""
    leaving = trial.workers[f"{service}-0"]
    others = [worker for worker in trial.of(service) if worker is not leaving]
    for worker in others:
        trial.register(worker, "draining")
    targets = trial.hosts[0].knowledge.registry.usable
    await until(lambda: len(targets(service)) == 1)
    leaving.is_draining = True
    with contextlib.suppress(aiohttp.ClientPayloadError):
        await trial.ask(f"/{service}/a", "told", METHODS[service])
    for worker in others:
        trial.register(worker)
    await until(lambda: len(targets(service)) == len(others) + 1)
    return leaving


@pytest.mark.parametrize(
    "mode",
    [Mode.GOOD, Mode.SHED, Mode.ERRORS, Mode.FALSE_BUSY, Mode.UNSIGNED]
    + [Mode.CUT, Mode.LONG, Mode.LONG_CUT, Mode.UNFRAMED, Mode.TWICE, Mode.EARLY],
)
@in_loop
async def test_one_answer_of_any_kind_tells_of_draining(mode):
    """Guards against a notice that goes unread while its target rejects or fails."""
    async with Trial(("look",), leaving=0.0) as trial:
        trial.workers["look-0"].mode = mode
        leaving = await learn_of_draining(trial, "look")
        before = len(leaving.arrivals)
        await press(trial, "/look/a", 0.5)
        assert before == len(leaving.arrivals)


@in_loop
async def test_a_notice_counts_before_the_whole_answer_is_there():
    """Guards against requests sent while an answer with a notice trickles in."""
    async with Trial(("look",), leaving=0.0, targets=1) as trial:
        worker = trial.workers["look-0"]
        worker.is_draining, worker.mode = True, Mode.HEAD_ONLY
        pending = asyncio.ensure_future(trial.ask("/look/a", "first"))
        await until(lambda: worker.notices)
        await asyncio.sleep(0.05)
        assert not pending.done()
        assert (await trial.ask("/look/a", "second"))[0] == 503
        assert len(worker.arrivals) == 1
        pending.cancel()


@in_loop
async def test_only_a_new_incarnation_ends_a_draining_notice():
    """Guards against a late entry or a lapse that puts a leaving target back to use."""
    async with Trial(("act",), leaving=0.0) as trial:
        leaving = await learn_of_draining(trial, "act")
        before = len(leaving.arrivals)
        registry = trial.hosts[0].knowledge.registry
        trial.register(leaving)
        trial.unregister(leaving)
        await until(lambda: len(registry.usable("act")) == 1)
        # A running target renews its entry.
        trial.register(leaving)
        trial.register(leaving)
        await until(lambda: len(registry.usable("act")) == 2)
        await press(trial, "/act/a", 0.5)
        assert before == len(leaving.arrivals)
        leaving.is_draining = False
        trial.store.put(TARGETS, leaving.id, leaving.entry(born=1796256009000))
        restarted = leaving.id
        await until(lambda: registry.targets[restarted].started_at == 1796256009000)
        for worker in trial.of("act"):
            worker.work = 0.1
        await press(trial, "/act/a", 0.5)
        assert before < len(leaving.arrivals)


@in_loop
async def test_the_last_target_serves_through_its_grace_period():
    """Guards against callers refused although a draining target would serve them."""
    async with Trial(("act",), targets=1, leaving=1.0) as trial:
        worker = trial.workers["act-0"]
        worker.is_draining = True
        begun = asyncio.get_running_loop().time()
        statuses = []
        for number in range(80):
            status, headers, _ = await trial.ask("/act/a", f"r-{number}", "POST")
            statuses.append((asyncio.get_running_loop().time() - begun, status))
            if status == 503:
                assert float(headers["Retry-After"]) > 0.0
            await asyncio.sleep(0.01)
        assert {status for at, status in statuses if at < 0.9} == {200}
        assert {status for at, status in statuses if at > 1.3} == {503}
        last = worker.arrivals[-1] - worker.notices[0].at
        assert last < 1.05


@in_loop
async def test_a_delayed_request_is_not_sent_after_a_notice():
    """Guards against a request chosen before a notice and sent after it."""
    async with Trial(("act",), targets=1, leaving=0.15) as trial:
        worker = trial.workers["act-0"]
        worker.rate_limit, worker.is_draining = "3", True
        await trial.ask("/act/a", "first", "POST")
        answer = asyncio.ensure_future(trial.ask("/act/a", "delayed", "POST"))
        await asyncio.sleep(0.05)
        assert not answer.done()
        status, headers, _ = await answer
        assert status == 503
        assert float(headers["Retry-After"]) > 0.0
        assert worker.runs["delayed"] == 0
        assert not trial.hosts[0].knowledge.shared.own_in_flight()


@pytest.mark.parametrize("centres", [("x",), ("x", "y")])
@in_loop
async def test_hosts_that_were_not_told_hear_of_draining(centres):
    """Guards against requests lost when a target exits that some hosts still use."""
    async with Trial(
        ("act",), targets=2, hosts=4, centres=centres, leaving=0.0
    ) as trial:
        trial.store.fault = Fault.SILENT
        leaving = trial.workers["act-0"]
        leaving.is_draining = True
        number = 0
        while not leaving.notices:
            number += 1
            await trial.ask("/act/a", f"early-{number}", "POST")
        incarnation = trial.hosts[0].knowledge.registry.targets["act-0"].incarnation
        marks = [host.knowledge.availability for host in trial.hosts]
        await until(lambda: all(m.is_draining(incarnation) for m in marks), 1.0)
        before = len(leaving.arrivals)
        answers = await press(trial, "/act/a", 1.0)
        assert before == len(leaving.arrivals)
        assert {status for status, _, _ in answers} == {200}


@in_loop
async def test_a_late_host_hears_of_draining():
    """Guards against a host that has just started and wakes a leaving target."""
    async with Trial(("act",), targets=2, hosts=2, leaving=0.0) as trial:
        leaving = await learn_of_draining(trial, "act")
        incarnation = trial.hosts[0].knowledge.registry.targets["act-0"].incarnation
        late = await trial.add_host(2)
        marks = late.knowledge.availability
        await until(lambda: late.knowledge.is_complete, 4.0)
        await until(lambda: marks.is_draining(incarnation), 4.0)
        before = len(leaving.arrivals)
        for number in range(20):
            await trial.ask("/act/a", f"late-{number}", "POST", host=2)
        assert before == len(leaving.arrivals)


@in_loop
async def test_a_backoff_binds_only_the_host_that_was_asked():
    """Guards against a backoff that empties a target and fills its neighbours."""
    async with Trial(("act",), targets=1, hosts=2) as trial:
        worker = trial.workers["act-0"]
        worker.mode, worker.backoff = Mode.SHED, "3.0"
        await trial.ask("/act/a", "rejected", "POST")
        worker.mode = Mode.GOOD
        await asyncio.sleep(0.5)
        assert (await trial.ask("/act/a", "same", "POST"))[0] == 503
        assert (await trial.ask("/act/a", "other", "POST", host=1))[0] == 200


@in_loop
async def test_an_operator_sees_who_was_told_of_draining(caplog):
    """Guards against a target without requests of which no log line tells why."""
    caplog.set_level("INFO")
    async with Trial(("look",), leaving=0.0) as trial:
        await learn_of_draining(trial, "look")
        (line,) = [r for r in caplog.records if r.message == "draining notice"]
        assert (line.target, line.request) == ("look-0", "told")


@pytest.mark.parametrize("mode", [Mode.SHED, Mode.FALSE_BUSY])
@in_loop
async def test_requests_are_refused_at_once_while_this_host_backs_off_from_all_targets(
    mode,
):
    """Guards against callers that wait, or press targets, until the backoff is over."""
    async with Trial(("act",), targets=2) as trial:
        for worker in trial.of("act"):
            worker.mode, worker.backoff = mode, "3.0"
        loop = asyncio.get_running_loop()
        for number in range(10):
            await trial.ask("/act/a", f"early-{number}", "POST")
        begun, waits, slowest = loop.time(), [], 0.0
        ends = [worker.notices[0].at + 3.0 for worker in trial.of("act")]
        for number in range(40):
            at = loop.time()
            status, headers, _ = await trial.ask("/act/a", f"r-{number}", "POST")
            slowest = max(slowest, loop.time() - at)
            assert status == 503
            retry_after = float(headers["Retry-After"])
            assert min(ends) - at - 0.05 < retry_after < min(ends) - at + 1.0
            waits.append(retry_after - (min(ends) - at))
        assert loop.time() - begun < 2.0
        assert slowest < 0.25
        assert max(waits) - min(waits) > 0.01
        assert all(len(worker.arrivals) <= 2 for worker in trial.of("act"))


@in_loop
async def test_requests_are_not_saved_up_for_the_end_of_a_backoff():
    """Guards against a target that gets all requests of its backoff in one moment."""
    async with Trial(("act",), targets=1) as trial:
        worker = trial.workers["act-0"]
        worker.mode, worker.backoff, worker.work = Mode.SHED, "0.5", 0.1
        await trial.ask("/act/a", "rejected", "POST")
        worker.mode = Mode.GOOD
        answers = await press(trial, "/act/a", 1.0)
        assert {status for status, _, _ in answers} == {200, 503}
        # A request each 20 ms, as they come.
        assert most_in_window(worker.arrivals[1:], 0.1) <= 8


@in_loop
async def test_a_success_does_not_end_a_backoff():
    """Guards against a backoff cut short by an answer that was under way."""
    async with Trial(("look",), targets=1) as trial:
        worker = trial.workers["look-0"]
        worker.work, worker.backoff = 0.3, "2.0"
        earlier = asyncio.ensure_future(trial.ask("/look/a", "earlier"))
        await until(lambda: worker.arrivals)
        worker.mode = Mode.SHED
        await trial.ask("/look/a", "rejected")
        assert (await earlier)[0] == 200
        worker.mode = Mode.GOOD
        assert (await trial.ask("/look/a", "next"))[0] == 503
        assert len(worker.arrivals) == 2


@in_loop
async def test_a_delayed_request_is_not_sent_during_a_backoff():
    """Guards against a request chosen before a backoff began and sent during it."""
    async with Trial(("act",), targets=1) as trial:
        worker = trial.workers["act-0"]
        worker.rate_limit = "3"
        await trial.ask("/act/a", "first", "POST")
        answer = asyncio.ensure_future(trial.ask("/act/a", "delayed", "POST"))
        await asyncio.sleep(0.05)
        assert not answer.done()
        knowledge = trial.hosts[0].knowledge
        (incarnation,) = knowledge.registry.incarnations()
        knowledge.availability.note_backoff(incarnation, 2.0, now())
        status, headers, _ = await answer
        assert status == 503
        assert float(headers["Retry-After"]) > 1.0
        assert worker.runs["delayed"] == 0
        assert not knowledge.shared.own_in_flight()


@pytest.mark.parametrize(
    "text", ["nan", "inf", "-1", "0", "", "2,3", "0x1", "Thu, 03 Dec 2026 12:00:00 GMT"]
)
@in_loop
async def test_a_backoff_that_cannot_be_read_changes_nothing(text, caplog):
    """Guards against a target shut out, or a host stopped, by a mistake in a header."""
    caplog.set_level("INFO")
    async with Trial(("look",), targets=1) as trial:
        worker = trial.workers["look-0"]
        worker.mode, worker.backoff = Mode.SHED, text
        for number in range(3):
            await trial.ask("/look/a", f"odd-{number}")
        worker.mode = Mode.GOOD
        assert (await trial.ask("/look/a", "next"))[0] == 200
        unreadable = [r for r in caplog.records if r.message == "unreadable notice"]
        assert len(unreadable) == (text != "0")


@in_loop
async def test_a_refusal_leads_to_the_targets_backoff(caplog):
    """Guards against a refused request of which no log line tells why."""
    caplog.set_level("INFO")
    async with Trial(("look",), targets=1) as trial:
        worker = trial.workers["look-0"]
        worker.mode, worker.backoff = Mode.SHED, "2.5"
        await trial.ask("/look/a", "one")
        worker.mode = Mode.GOOD
        _, headers, _ = await trial.ask("/look/a", "two")
        told = next(r for r in caplog.records if r.message == "backoff notice")
        assert (told.target, told.seconds, told.request) == ("look-0", 2.5, "one")
        refused = [r for r in caplog.records if r.message == "refused"][-1]
        assert (refused.request, refused.cause) == ("two", "backing-off")
        assert float(headers["Retry-After"]) == pytest.approx(refused.retry_after, 0.01)
        await asyncio.sleep(2.0)
        await until(lambda: any(r.message == "backoff ended" for r in caplog.records))
        assert (await trial.ask("/look/a", "three"))[0] == 200
