"""
Hosts that are told by readers what the store says, when readers fail.

Each host must know of a change within two seconds, as if it asked the store itself.
"""

import asyncio

import pytest
from returns.result import Failure

from plumsaddle_core.core.traffic import TargetState
from plumsaddle_core.ops.peer_table import StoreStatus
from plumsaddle_hosts.edge.clock import now
from plumsaddle_hosts.edge.feed import FIRST_LISTING_TTL, MAX_READ_WAIT
from plumsaddle_hosts.edge.peers import DISCOVERY_PERIOD, HUB_SEND_INTERVAL
from plumsaddle_hosts.edge.store_access import READER_STATUS_TTL
from plumsaddle_hosts.platform.store import StoreError

from .store import Fault
from .trial import Trial, in_loop, until

HOSTS = 5
# Seconds within which each host must know of a change.
KNOWN_WITHIN = 2.0
# An answer of a store that is sixty times as slow as usual.
SLOW_ANSWER = 0.25


def _readers(trial):
    return [host for host in trial.hosts if host.store_access.is_reader]


async def _settle(trial):
    """Wait until two hosts read and the others are told by them."""
    await asyncio.sleep(FIRST_LISTING_TTL)
    await until(lambda: len(_readers(trial)) == 2)
    await asyncio.sleep(MAX_READ_WAIT + HUB_SEND_INTERVAL)


async def _hang(*args):
    await asyncio.sleep(3600)


async def _refuse(*args):
    return Failure(StoreError.BUSY)


async def _freeze(host):
    """Let a host do nothing more for others, and hear nothing."""
    host.peers.close()
    for task in host._tasks:
        task.cancel()


def _leaves(trial, hosts):
    """Return whether hosts know that a target is leaving."""
    listed = [host.knowledge.registry.targets["act-0"] for host in hosts]
    return all(target.state is TargetState.DRAINING for target in listed)


async def _drain_in_time(trial, hosts):
    worker = trial.workers["act-0"]
    trial.register(worker, "draining")
    await until(lambda: _leaves(trial, hosts), KNOWN_WITHIN)


def test_the_times_of_telling_add_up():
    """
    A target gets work 2.6 s after it has said that it leaves: both readers hung on a
    store that was silent to them alone, and the others trusted their last word for
    three seconds.
    """
    assert MAX_READ_WAIT + SLOW_ANSWER + HUB_SEND_INTERVAL < READER_STATUS_TTL
    assert READER_STATUS_TTL + SLOW_ANSWER < KNOWN_WITHIN
    assert DISCOVERY_PERIOD < FIRST_LISTING_TTL


@pytest.mark.parametrize("fault", [_hang, _refuse])
@in_loop
async def test_readers_that_lose_the_store_are_replaced(fault):
    """
    A target that is leaving gets work from hosts that reach the store.

    The store is silent to the two readers alone, or turns them away.
    """
    async with Trial(services=("act",), targets=2, hosts=HOSTS) as trial:
        await _settle(trial)
        lost = _readers(trial)
        for host in lost:
            host.store.read = fault
        well = [host for host in trial.hosts if host not in lost]
        await _drain_in_time(trial, well)


@in_loop
async def test_readers_that_freeze_are_replaced():
    """A target that is leaving gets work: both readers stopped when it began to."""
    async with Trial(services=("act",), targets=2, hosts=HOSTS) as trial:
        await _settle(trial)
        lost = _readers(trial)
        for host in lost:
            await _freeze(host)
        well = [host for host in trial.hosts if host not in lost]
        await _drain_in_time(trial, well)
        await until(lambda: sum(host.store_access.is_reader for host in well) == 2)


@in_loop
async def test_hosts_that_readers_cannot_reach_read_for_themselves():
    """A target that is leaving gets work from a host that hears nobody any more."""
    async with Trial(services=("act",), targets=2, hosts=HOSTS) as trial:
        await _settle(trial)
        alone = next(host for host in trial.hosts if not host.store_access.is_reader)
        alone.peers.close()
        await _drain_in_time(trial, trial.hosts)


@in_loop
async def test_hosts_that_are_told_make_no_calls():
    """Hundreds of hosts make a call to the store a second each."""
    async with Trial(services=("act",), targets=2, hosts=HOSTS) as trial:
        await _settle(trial)
        told = [host for host in trial.hosts if not host.store_access.is_reader]
        for host in told:
            host.store.read = _hang
        await _drain_in_time(trial, trial.hosts)
        await asyncio.sleep(READER_STATUS_TTL)
        assert all(feed._read_task is None for host in told for feed in host._feeds)


@in_loop
async def test_hosts_do_not_all_list_when_the_store_is_back():
    """
    A store that has just come back is overrun by the calls of hundreds of hosts.

    The first that is answered reads on for all; nobody lists anything anew, and a
    change that was made meanwhile is known at once.
    """
    async with Trial(services=("act",), targets=2, hosts=HOSTS) as trial:
        await _settle(trial)
        trial.store.fault = Fault.BUSY
        await asyncio.sleep(3.0)
        assert all(
            host.store_access.status(now()) is StoreStatus.AWAY for host in trial.hosts
        )
        trial.store.fault = Fault.NONE
        trial.store.calls.clear()
        await _drain_in_time(trial, trial.hosts)
        paths = [path for _, path, _ in trial.store.calls]
        assert "/log-newest" not in paths


@in_loop
async def test_hosts_that_are_told_survive_the_loss_of_the_stores_history():
    """
    Hosts keep a target for good that has left, since the records that said so were
    deleted before they read them.
    """
    async with Trial(services=("act",), targets=2, hosts=HOSTS) as trial:
        await _settle(trial)
        trial.store.fault = Fault.BUSY
        await asyncio.sleep(1.5)
        trial.store.keep = 2
        trial.register(trial.workers["act-0"], "draining")
        for _ in range(20):
            trial.register(trial.workers["act-1"])
        trial.store.fault = Fault.NONE
        await until(lambda: _leaves(trial, trial.hosts), 2 * KNOWN_WITHIN)
