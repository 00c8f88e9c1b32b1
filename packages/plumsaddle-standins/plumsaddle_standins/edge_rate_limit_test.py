"""
Rate limits that targets name, kept by all hosts together.
"""

import asyncio

import pytest

from plumsaddle_core.ops.peer_table import hub_order
from plumsaddle_hosts.edge.clock import now

from .trial import Trial, free_port, in_loop, until
from .windows import LIMIT_HOLDS_AFTER, LIMIT_WINDOW, most_in_window, tolerated
from .worker import Mode


async def press(trial, seconds, every, path="/look/a"):
    """Send to all hosts by turns and return the answers in order."""
    sent = []
    for number in range(int(seconds / every)):
        ask = trial.ask(path, f"press-{number}", host=number % len(trial.hosts))
        sent.append(asyncio.ensure_future(ask))
        await asyncio.sleep(every)
    return await asyncio.gather(*sent)


async def limit_busiest(trial, limit, after=1.0):
    """Let the target that received most name a limit; return it and the time."""
    await asyncio.sleep(after)
    busiest = max(trial.workers.values(), key=lambda worker: len(worker.arrivals))
    busiest.rate_limit = limit
    return busiest, asyncio.get_running_loop().time()


@in_loop
async def test_a_named_rate_limit_holds_over_all_hosts():
    """Guards against hosts that ignore, or apply each by itself, a target's limit."""
    async with Trial(("look",), targets=5, hosts=6) as trial:
        pressing = asyncio.ensure_future(
            press(trial, 2.0 + LIMIT_HOLDS_AFTER + LIMIT_WINDOW, 0.02)
        )
        limited, named_at = await limit_busiest(trial, "1.4")
        answers = await pressing
        most = most_in_window(
            limited.arrivals, LIMIT_WINDOW, named_at + LIMIT_HOLDS_AFTER
        )
        assert most <= tolerated(1.4)
        assert {status for status, _, _ in answers} == {200}


@in_loop
async def test_a_named_rate_limit_holds_over_data_centres():
    """Guards against data centres that each send as much as a target takes."""
    centres = ("x", "y", "z")
    async with Trial(("look",), targets=3, hosts=6, centres=centres) as trial:
        pressing = asyncio.ensure_future(
            press(trial, 2.0 + LIMIT_HOLDS_AFTER + LIMIT_WINDOW, 0.02)
        )
        limited, named_at = await limit_busiest(trial, "2.3")
        answers = await pressing
        most = most_in_window(
            limited.arrivals, LIMIT_WINDOW, named_at + LIMIT_HOLDS_AFTER
        )
        assert most <= tolerated(2.3)
        assert {status for status, _, _ in answers} == {200}


async def name_at_all(trial, limit):
    """Let all targets name a limit, and wait until all hosts know of all."""
    for worker in trial.workers.values():
        worker.rate_limit = limit
    named = [host.knowledge.shared.limits.advertised for host in trial.hosts]
    number = 0
    while any(len(limits) < len(trial.workers) for limits in named):
        number += 1
        assert number < 400
        host = number % len(trial.hosts)
        await trial.ask("/look/a", f"early-{limit}-{number}", host=host)
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("path", ["/look/a", "/act/a", "/up/a"])
@in_loop
async def test_requests_beyond_all_limits_are_rejected_at_once(path):
    """Guards against callers that wait until their time is over for a place."""
    service = path.split("/")[1]
    method = "GET" if service == "look" else "POST"
    async with Trial((service,), targets=2, hosts=2) as trial:
        for worker in trial.workers.values():
            worker.rate_limit = "1"
        loop = asyncio.get_running_loop()
        statuses, slowest, pauses = [], 0.0, []
        for number in range(400):
            begun = loop.time()
            host = number % 2
            status, headers, _ = await trial.ask(path, f"r-{number}", method, host=host)
            statuses.append(status)
            if status == 503:
                slowest = max(slowest, loop.time() - begun)
                pauses.append(float(headers["Retry-After"]))
            await asyncio.sleep(0.015)
        assert {200, 503} == set(statuses)
        assert slowest < 0.25
        assert all(0.0 < pause <= 10.0 for pause in pauses)
        assert len({round(pause, 1) for pause in pauses}) > 5
        # What was promised not to have run has not.
        ran = sum(sum(w.runs.values()) for w in trial.workers.values())
        assert ran == statuses.count(200)


@in_loop
async def test_a_limit_that_ended_no_longer_holds():
    """Guards against a target that is left alone after it has recovered."""
    async with Trial(("look",), targets=2, hosts=3) as trial:
        await name_at_all(trial, "2")
        rosters = [host.knowledge.shared.limits.membership for host in trial.hosts]
        await until(lambda: all(roster.may_send(now()) for roster in rosters))
        for worker in trial.workers.values():
            worker.rate_limit = None
        await press(trial, 2.0, 0.02)
        named = [host.knowledge.shared.limits.advertised for host in trial.hosts]
        await until(lambda: not any(named), 2.0)
        answers = await press(trial, 1.0, 0.02)
        assert {status for status, _, _ in answers} == {200}


@in_loop
async def test_a_late_host_learns_the_limits_before_it_sends():
    """Guards against a host that has just started and spends a limit once more."""
    async with Trial(("look",), targets=2, hosts=2) as trial:
        await name_at_all(trial, "0.5")
        late = await trial.add_host(2)
        limits = late.knowledge.shared.limits.advertised
        await until(lambda: late.knowledge.is_complete and len(limits) == 2, 4.0)
        before = sum(len(worker.arrivals) for worker in trial.workers.values())
        for number in range(40):
            await trial.ask("/look/a", f"late-{number}", host=2)
        after = sum(len(worker.arrivals) for worker in trial.workers.values())
        assert after - before <= 2


@in_loop
async def test_a_late_host_that_becomes_the_hub_learns_the_limits():
    """Guards against limits that are told again by the hub alone, to all but itself."""
    async with Trial(("look",), targets=2, hosts=2) as trial:
        await name_at_all(trial, "0.5")
        former = [host.settings.peer_address for host in trial.hosts]
        port = next(
            port
            for port in iter(free_port, None)
            if hub_order(f"127.0.0.1:{port}") < min(map(hub_order, former))
        )
        late = await trial.add_host(2, peers_port=port)
        limits = late.knowledge.shared.limits.advertised
        await until(lambda: late.knowledge.is_complete and len(limits) == 2, 4.0)
        peer_table = [host.peers._peer_table for host in trial.hosts]
        hubs = {None, late.settings.peer_address}
        await until(lambda: {known.hub for known in peer_table} == hubs)


@pytest.mark.parametrize(
    "text", ["nan", "inf", "-1", "", "2,3", "1e9", "9" * 400, "0x1", "\u00b2"]
)
@in_loop
async def test_a_limit_that_cannot_be_read_changes_nothing(text, caplog):
    """Guards against a target shut out, or a host stopped, by a mistake in a header."""
    caplog.set_level("INFO")
    async with Trial(("look",), targets=1) as trial:
        trial.workers["look-0"].rate_limit = text
        for number in range(10):
            status, _, _ = await trial.ask("/look/a", f"odd-{number}")
            assert status == 200
        lines = [r for r in caplog.records if r.message == "unreadable notice"]
        assert len(lines) == 1
        assert lines[0].header == "Server-Limit"
        assert len(lines[0].text) <= 40


@pytest.mark.parametrize("mode", [Mode.SHED, Mode.ERRORS, Mode.CUT])
@in_loop
async def test_a_limit_is_read_from_failed_answers_too(mode):
    """Guards against a limit that goes unread while its target rejects or fails."""
    async with Trial(("look",), targets=1) as trial:
        trial.workers["look-0"].rate_limit = "0.5"
        trial.set_mode("look", mode)
        await trial.ask("/look/a", "one")
        limits = trial.hosts[0].knowledge.shared.limits.advertised
        assert len(limits) == 1


@in_loop
async def test_a_rejection_without_a_limit_does_not_end_it():
    """Guards against a limit that comes and goes with each rejected request."""
    async with Trial(("look",), targets=1) as trial:
        worker = trial.workers["look-0"]
        worker.rate_limit = "20"
        await trial.ask("/look/a", "one")
        worker.rate_limit = None
        trial.set_mode("look", Mode.SHED)
        for number in range(3):
            await trial.ask("/look/a", f"rejected-{number}")
            await asyncio.sleep(0.2)
        limits = trial.hosts[0].knowledge.shared.limits.advertised
        assert len(worker.arrivals) >= 2
        assert len(limits) == 1


@in_loop
async def test_a_target_that_rejects_beyond_its_limit_is_not_blamed():
    """Guards against limited targets that are taken for failing ones."""
    async with Trial(("look",), targets=1) as trial:
        worker = trial.workers["look-0"]
        worker.rate_limit = "20"
        await trial.ask("/look/a", "one")
        trial.set_mode("look", Mode.SHED)
        shared = trial.hosts[0].knowledge.shared
        (life,) = trial.hosts[0].knowledge.registry.incarnations()
        before = shared.failure_probability(life, asyncio.get_running_loop().time())
        for number in range(5):
            await trial.ask("/look/a", f"rejected-{number}")
            await asyncio.sleep(0.1)
        assert len(worker.arrivals) >= 4
        after = shared.failure_probability(life, asyncio.get_running_loop().time())
        assert after == pytest.approx(before, abs=0.05)


@in_loop
async def test_a_refusal_leads_to_the_targets_limits(caplog):
    """Guards against a refused request of which no log line tells why."""
    caplog.set_level("INFO")
    async with Trial(("look",), targets=1) as trial:
        trial.workers["look-0"].rate_limit = "0.5"
        await trial.ask("/look/a", "one")
        status, headers, _ = await trial.ask("/look/a", "two")
        assert status == 503
        learned = next(r for r in caplog.records if r.message == "rate limit")
        assert (learned.target, learned.rate, learned.request) == ("look-0", 0.5, "one")
        refused = next(r for r in caplog.records if r.message == "refused")
        assert (refused.request, refused.cause) == ("two", "targets-limited")
        assert float(headers["Retry-After"]) == pytest.approx(refused.retry_after, 0.01)


@in_loop
async def test_a_request_waits_for_its_turn_when_no_other_target_would_do():
    """Guards against requests refused although a target has room in a moment."""
    async with Trial(("look",), targets=1) as trial:
        trial.workers["look-0"].rate_limit = "5"
        await trial.ask("/look/a", "first")
        pressing = [press(trial, 3.0, 0.25), press(trial, 3.0, 1.0)]
        answers = [
            answer for sent in await asyncio.gather(*pressing) for answer in sent
        ]
        assert {status for status, _, _ in answers} == {200}
        arrivals = trial.workers["look-0"].arrivals[1:]
        assert all(b - a > 0.15 for a, b in zip(arrivals, arrivals[2:], strict=False))


async def ask_delayed(trial, method="POST"):
    """Let a request wait for a token of its only target; return its pending answer."""
    trial.workers["act-0"].rate_limit = "3"
    await trial.ask("/act/a", "first", method)
    answer = asyncio.ensure_future(trial.ask("/act/a", "delayed", method))
    await asyncio.sleep(0.05)
    assert not answer.done()
    return answer


@in_loop
async def test_a_delayed_request_does_not_go_to_a_target_that_leaves():
    """Guards against work sent to a leaving target that was chosen before."""
    async with Trial(("act",), targets=1) as trial:
        answer = await ask_delayed(trial)
        trial.register(trial.workers["act-0"], "draining")
        assert (await answer)[0] == 503
        assert trial.workers["act-0"].runs["delayed"] == 0


@in_loop
async def test_a_delayed_request_is_not_sent_once_its_share_has_moved():
    """Guards against tokens spent by a host that has lost its share meanwhile."""
    async with Trial(("act",), targets=1) as trial:
        answer = await ask_delayed(trial)
        host = trial.hosts[0]
        host.knowledge.shared.limits.membership.may_send = lambda now: False
        status, headers, _ = await answer
        assert status == 503
        assert float(headers["Retry-After"]) > 0.0
        assert trial.workers["act-0"].runs["delayed"] == 0
        assert not host.knowledge.shared.own_in_flight()


@in_loop
async def test_a_delayed_request_is_truly_not_run_when_its_host_ends():
    """Guards against an order that is promised not to run and is sent afterwards."""
    async with Trial(("act",), targets=1) as trial:
        answer = await ask_delayed(trial)
        host = trial.hosts[0]
        host._relay.refuse_in_flight()
        assert (await answer)[0] == 503
        await asyncio.sleep(1.2)
        worker = trial.workers["act-0"]
        assert worker.runs["delayed"] == 0
        # Neither its place nor its token is lost.
        assert not host.knowledge.shared.own_in_flight()
        assert (await trial.ask("/act/a", "next", "POST"))[0] == 200


@in_loop
async def test_a_delayed_request_is_not_sent_for_a_caller_that_has_gone():
    """Guards against requests that outlive their callers in a host."""
    async with Trial(("act",), targets=1) as trial:
        answer = await ask_delayed(trial)
        answer.cancel()
        await asyncio.sleep(1.2)
        assert trial.workers["act-0"].runs["delayed"] == 0
