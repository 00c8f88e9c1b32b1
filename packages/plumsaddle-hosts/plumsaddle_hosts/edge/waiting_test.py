"""
Tests of waiting requests: loads, failures, and what is never sent.

The event loop runs in virtual time, and a fake sender stands in for the targets.
"""

import asyncio
import functools
import random
from types import SimpleNamespace

import pytest

from plumsaddle_core.core.features import Feature
from plumsaddle_core.core.traffic import (
    Bounds,
    HostSettings,
    Reply,
    RequestKind,
    Route,
    SchedulingMode,
    SendOutcome,
    Share,
    Target,
    TargetState,
    Workspace,
)
from plumsaddle_core.ops.peer_updates import HealthSignal
from plumsaddle_core.ops.urgency import ranks_by_service

from . import clock
from .host_state import HostState
from .metrics import EdgeMetrics
from .outgoing import Owner, ProxyRequest
from .refusals import RefusalCause, http_status
from .relay import Relay
from .sender import SendResult

SERVICE = "s"
WORK = 0.1


def _route(name, kind, priority, objective=0.8, timeout=2.0):
    shares = (Share(SERVICE, 1.0),)
    return Route(name, "h", f"/{name}", kind, shares, 3, timeout, objective, priority)


LOOKUP = _route("lookup", RequestKind.IDEMPOTENT, 0)
ORDER = _route("order", RequestKind.ORDER, 1)
PULL = _route("pull", RequestKind.DOWNLOAD, 2, objective=3.0, timeout=4.0)
ROUTES = (LOOKUP, ORDER, PULL)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    virtual_now = 1000.0

    def time(self):
        return self.virtual_now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self.virtual_now = max(self.virtual_now, self._scheduled[0].when())
        super()._run_once()


def in_virtual_time(test):
    """Decorate an asynchronous test to run in virtual time."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        with (
            asyncio.Runner(loop_factory=_VirtualLoop) as runner,
            pytest.MonkeyPatch.context() as monkeypatch,
        ):
            fake = SimpleNamespace(
                clock_gettime=lambda _: runner.get_loop().time(), CLOCK_BOOTTIME=0
            )
            monkeypatch.setattr(clock, "time", fake)
            return runner.run(test(*args, **kwargs))

    return run


class _Targets:
    """A fake sender; `behave` returns the outcome and duration of a send."""

    def __init__(self):
        self.sent = []
        self.running = 0
        self.max_running = 0
        self.behave = lambda request, target: (SendOutcome.SUCCEEDED, WORK)

    def has_connection(self, request, incarnation):
        return False

    def may_send_twice(self, request):
        return True

    async def send(self, request, target, suspect_check, *callbacks):
        self.sent.append((clock.now(), request, target.id))
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            outcome, seconds = self.behave(request, target)
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1
        status = 200 if outcome is SendOutcome.SUCCEEDED else 503
        return SendResult(outcome, Reply(status, [], b""))

    def routes(self):
        return [request.route.name for _, request, _ in self.sent]


class _Site:
    """One host with targets."""

    def __init__(self, targets=2, mode=SchedulingMode.ON):
        settings = HostSettings(
            id="h",
            data_centre="x",
            data_centres=("x",),
            caller_address="",
            readiness_address="",
            peer_address="",
            seeds=(),
            store_address="",
            bounds=Bounds(retry_extra=50.0, retry_window=10.0),
            disabled_features=frozenset({Feature.FLOOR_TRIALS, Feature.HEDGING}),
            scheduling=mode,
            request_queue=True,
        )
        self.state = HostState(settings, random.Random(1))
        self.state.cfg = SimpleNamespace(version=1)
        self.state._ranks = ranks_by_service(ROUTES, ())
        self.state.shared._started_at -= 100.0
        for number in range(targets):
            self.list_target(f"t{number}")
        for route in ROUTES:
            for _ in range(20):
                self.state.shared.times.note_success(SERVICE, route.name, WORK)
        self.targets = _Targets()
        self.metrics = EdgeMetrics("h")
        self.relay = Relay(
            self.state, self.targets, self.metrics, SimpleNamespace(has_unresolved=0)
        )
        self.is_gone = False

    def list_target(self, name, state=TargetState.READY):
        target = Target(name, SERVICE, "", "x", 2, state, 0.0, 0.0)
        self.state.registry.put(target, 0, clock.now())
        return target

    def start(self, route, count=1, workspace=None):
        """Start requests and return their tasks."""
        owner = Owner(workspace is not None, workspace)
        at = clock.now()
        return [
            asyncio.ensure_future(
                self.relay.run(
                    ProxyRequest(
                        b"id-%d" % number,
                        "GET",
                        "/",
                        [],
                        b"",
                        None,
                        0,
                        route,
                        SERVICE,
                        at,
                        at + route.timeout,
                        SimpleNamespace(is_gone=lambda: self.is_gone),
                        owner,
                    )
                )
            )
            for number in range(count)
        ]

    def break_target(self, name, failures=8):
        for _ in range(failures):
            self.state.shared.note_outcome(
                name, SERVICE, "order", HealthSignal.FAILED, WORK, clock.now()
            )


@in_virtual_time
async def test_burst_of_the_least_urgent_kind_does_not_delay_others():
    """Guards against pulls that take the room of orders in order of arrival."""
    site = _Site()
    pulls = site.start(PULL, 40)
    await asyncio.sleep(0.05)
    at = clock.now()
    replies = await asyncio.gather(*site.start(ORDER, 4))
    assert all(reply.status == 200 for reply in replies)
    assert clock.now() - at < 0.4
    replies = await asyncio.gather(*pulls)
    assert sum(isinstance(reply, Reply) for reply in replies) >= 36


@in_virtual_time
async def test_targets_are_not_filled_beyond_their_room():
    """Guards against a clump of requests that queue at targets in any order."""
    site = _Site()
    replies = await asyncio.gather(*site.start(PULL, 30))
    assert all(isinstance(reply, Reply) for reply in replies)
    assert site.targets.max_running == 8


@in_virtual_time
async def test_without_scheduling_all_are_sent_at_once():
    """Guards against a change of deployments that do not ask for scheduling."""
    site = _Site(mode=SchedulingMode.OFF)
    tasks = site.start(PULL, 12)
    await asyncio.sleep(0.01)
    assert site.targets.running == 12
    await asyncio.gather(*tasks)


@in_virtual_time
async def test_hot_workspace_does_not_delay_others():
    """Guards against one workspace that takes the room of all."""
    site = _Site()
    site.start(ORDER, 60, Workspace("hot", ()))
    await asyncio.sleep(0.05)
    at = clock.now()
    replies = await asyncio.gather(*site.start(ORDER, 3, Workspace("small", ())))
    assert all(isinstance(reply, Reply) for reply in replies)
    assert clock.now() - at < 0.5


@in_virtual_time
async def test_order_waits_for_a_sound_target():
    """Guards against an order that fails for good while a sound target is busy."""
    site = _Site()
    site.break_target("t1")
    site.targets.behave = lambda request, target: (
        SendOutcome.SUCCEEDED if target.id == "t0" else SendOutcome.FAILED,
        WORK,
    )
    replies = await asyncio.gather(*site.start(ORDER, 10))
    assert [reply.status for reply in replies] == [200] * 10
    assert clock.now() - 1000.0 < 0.8


@in_virtual_time
async def test_overload_serves_those_that_can_be_in_time():
    """Guards against a demand at twice the room that makes all requests late."""
    site = _Site()
    in_time, tasks = [], []
    for _ in range(150):
        tasks += site.start(ORDER, 2)
        begun = clock.now()
        for task in tasks[-2:]:
            task.add_done_callback(
                lambda task, begun=begun: in_time.append(
                    isinstance(task.result(), Reply) and clock.now() - begun < 0.8
                )
            )
        await asyncio.sleep(0.025)
    await asyncio.gather(*tasks)
    # Of 300 requests, targets can serve half.
    assert sum(in_time) >= 120


@in_virtual_time
async def test_shutdown_refuses_waiting_requests_truly():
    """Guards against a 503 for a request that runs later."""
    site = _Site(targets=1)
    tasks = site.start(ORDER, 12)
    await asyncio.sleep(0.01)
    sent = {request.id for _, request, _ in site.targets.sent}
    site.relay.refuse_in_flight()
    results = await asyncio.gather(*tasks)
    await asyncio.sleep(3.0)
    assert {request.id for _, request, _ in site.targets.sent} == sent
    statuses = [http_status(result) for result in results]
    assert statuses.count(503) == 12 - len(sent)
    assert statuses.count(502) == len(sent)


@pytest.mark.parametrize("route", [LOOKUP, ORDER])
@in_virtual_time
async def test_nothing_is_sent_after_the_caller_has_left(route):
    """Guards against targets that work for callers who left while they waited."""
    site = _Site(targets=1)
    tasks = site.start(route, 12)
    await asyncio.sleep(0.01)
    sent = len(site.targets.sent)
    if route.kind.is_idempotent:
        for task in tasks:
            task.cancel()
    else:
        site.is_gone = True
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(1.0)
    assert len(site.targets.sent) == sent
    assert site.relay._waiting.count(SERVICE) == 0


@in_virtual_time
async def test_unlisted_target_gets_no_waiting_request():
    """Guards against a request sent to a target that left while it waited."""
    site = _Site()
    tasks = site.start(PULL, 20)
    await asyncio.sleep(0.05)
    left_at = clock.now()
    site.state.registry.drop({"t0": 1}, left_at)
    assert all(isinstance(reply, Reply) for reply in await asyncio.gather(*tasks))
    assert all(target == "t1" for at, _, target in site.targets.sent if at > left_at)


@in_virtual_time
async def test_no_target_left_ends_the_wait():
    """Guards against requests that wait for a service without targets."""
    site = _Site(targets=1)
    tasks = site.start(PULL, 8)
    await asyncio.sleep(0.05)
    site.state.registry.drop({"t0": 1}, clock.now())
    results = await asyncio.gather(*tasks)
    causes = [result.cause for result in results if not isinstance(result, Reply)]
    assert set(causes) == {RefusalCause.NO_TARGET}
    assert clock.now() - 1000.0 < 0.3


@in_virtual_time
async def test_rejected_orders_return_while_there_is_time():
    """Guards against attempts used up in milliseconds while a service rejects."""
    site = _Site(targets=4)
    site.targets.behave = lambda request, target: (
        (SendOutcome.NOT_RUN, 0.001)
        if clock.now() < 1000.1
        else (SendOutcome.SUCCEEDED, WORK)
    )
    results = await asyncio.gather(*site.start(ORDER, 5))
    assert [type(result) for result in results] == [Reply] * 5


@in_virtual_time
async def test_request_waits_for_the_retry_budget():
    """Guards against a refusal with time left because retries are used up now."""
    site = _Site(targets=4)
    site.state.may_retry = lambda service, urgency: clock.now() > 1000.6
    site.state.retry_wait = lambda service, urgency: max(0.0, 1000.6 - clock.now())
    site.targets.behave = lambda request, target: (
        (SendOutcome.NOT_RUN, 0.001)
        if clock.now() < 1000.01
        else (SendOutcome.SUCCEEDED, WORK)
    )
    results = await asyncio.gather(*site.start(ORDER, 3))
    assert [type(result) for result in results] == [Reply] * 3
    assert 0.6 < clock.now() - 1000.0 < 1.0


@in_virtual_time
async def test_request_without_a_retry_in_its_time_is_refused_at_once():
    """Guards against keeping a caller waiting for a retry that cannot come."""
    site = _Site(targets=4)
    site.state.may_retry = lambda service, urgency: False
    site.state.retry_wait = lambda service, urgency: 2.5
    site.targets.behave = lambda request, target: (SendOutcome.NOT_RUN, 0.001)
    (result,) = await asyncio.gather(*site.start(ORDER))
    assert result.cause is RefusalCause.NOT_RUN and not result.may_have_run
    assert clock.now() - 1000.0 < 0.3


@in_virtual_time
async def test_new_requests_do_not_wait_behind_those_without_a_retry():
    """Guards against refusing what was never sent while targets have room."""
    site = _Site(targets=4)
    site.state.may_retry = lambda service, urgency: False
    site.targets.behave = lambda request, target: (SendOutcome.NOT_RUN, 0.001)
    rejected = site.start(ORDER, 40)
    await asyncio.sleep(1.2)
    site.targets.behave = lambda request, target: (SendOutcome.SUCCEEDED, WORK)
    started_at = clock.now()
    results = await asyncio.gather(*site.start(ORDER, 8))
    assert [type(result) for result in results] == [Reply] * 8
    assert clock.now() - started_at < 2.5 * WORK
    for task in rejected:
        task.cancel()


@in_virtual_time
async def test_full_queue_refuses_the_least_urgent():
    """Guards against orders refused because pulls came first."""
    site = _Site(targets=1)
    site.targets.behave = lambda request, target: (SendOutcome.SUCCEEDED, 30.0)
    pulls = site.start(PULL, 300)
    await asyncio.sleep(0.01)
    orders = site.start(ORDER, 10)
    await asyncio.sleep(0.01)
    assert not any(task.done() for task in orders)
    refused = [task.result() for task in pulls if task.done()]
    assert refused
    assert {result.cause for result in refused} == {RefusalCause.QUEUE_FULL}
    assert all(result.retry_after > 0.1 for result in refused)
    for task in (*pulls, *orders):
        task.cancel()


@in_virtual_time
async def test_metrics_show_the_queue():
    site = _Site(targets=1)
    tasks = site.start(PULL, 7)
    await asyncio.sleep(0.07)
    text = site.metrics.render()[0].decode()
    assert 'plumsaddle_waiting{host="h",rank="2.2",service="s"} 3' in text
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.1)
    text = site.metrics.render()[0].decode()
    assert 'plumsaddle_waiting{host="h",rank="2.2",service="s"} 0' in text
    assert "plumsaddle_wait_seconds_count" in text


def _stop_in(site, seconds):
    """Begin the grace period, and return its end."""
    end = clock.now() + seconds
    site.state.grace.begin(end)
    return end


@pytest.mark.parametrize("mode", [SchedulingMode.ON, SchedulingMode.OFF])
@in_virtual_time
async def test_a_request_is_not_sent_again_shortly_before_the_end(mode):
    """Guards against a repeat that is cut as its host ends."""
    site = _Site(mode=mode)
    site.targets.behave = lambda request, target: (SendOutcome.NOT_RUN, 0.2)
    _stop_in(site, 0.6)
    (refusal,) = await asyncio.gather(*site.start(ORDER))
    assert http_status(refusal) == 503
    assert len(site.targets.sent) == 1


@in_virtual_time
async def test_a_request_is_not_hedged_shortly_before_the_end():
    """Guards against a second send that can't end before the host."""
    site = _Site(mode=SchedulingMode.OFF)
    site.state.settings = site.state.settings._replace(disabled_features=frozenset())
    site.targets.behave = lambda request, target: (SendOutcome.SUCCEEDED, 0.5)
    _stop_in(site, 0.6)
    (reply,) = await asyncio.gather(*site.start(LOOKUP))
    assert reply.status == 200
    assert len(site.targets.sent) == 1


@in_virtual_time
async def test_waiting_requests_that_can_not_end_in_time_are_refused_at_once():
    """Guards against waiting requests that are cut, or held until the end."""
    site = _Site(targets=1)
    site.targets.behave = lambda request, target: (SendOutcome.SUCCEEDED, 0.5)
    tasks = site.start(ORDER, 12)
    end = _stop_in(site, 0.8)
    refused = 0
    for task in asyncio.as_completed(tasks):
        result = await task
        if isinstance(result, Reply):
            continue
        refused += 1
        assert (result.cause, http_status(result)) == (RefusalCause.DRAINING, 503)
        assert clock.now() <= end - 0.4
    assert refused == 12 - len(site.targets.sent) > 0
    assert all(at <= end - 0.5 for at, _, _ in site.targets.sent)
