"""
Hosts that find each other in the store's list, on real sockets.
"""

import asyncio
import json
import time

import pytest

from plumsaddle_hosts.edge import stored_hosts
from plumsaddle_hosts.edge.clock import now
from plumsaddle_hosts.edge.stored_hosts import RECORD_TTL, TOPIC

from .trial import Trial, free_port, in_loop, until

NOBODY = "127.0.0.1:1"


def _put(trial, address, age=0.0):
    record = {"data_centre": "x", "at": time.time() - age}
    trial.store.put(TOPIC, address, json.dumps(record).encode())


def _live_counts(trial):
    return {host.knowledge.shared.live_host_count() for host in trial.hosts}


@pytest.mark.parametrize("seeds", [(), (NOBODY,)])
@in_loop
async def test_hosts_whose_seeds_are_lost_find_each_other(seeds):
    """Guards against hosts that each act alone after the loss of a fleet's seeds."""
    async with Trial(services=("look",), hosts=0) as trial:
        ports = [free_port() for _ in range(3)]
        for port in ports:
            _put(trial, f"127.0.0.1:{port}")
        _put(trial, NOBODY)
        for number, port in enumerate(ports):
            await trial.add_host(number, peers_port=port, seeds=seeds)
        started = now()
        await until(lambda: _live_counts(trial) == {3}, 4.0)
        assert now() - started < 2.0


@in_loop
async def test_a_host_that_another_one_found_knows_how_many_may_exist():
    """Guards against a host that takes the one which found it for the whole fleet."""
    async with Trial(services=("look",), hosts=0) as trial:
        ports = [free_port() for _ in range(8)]
        for port in ports:
            _put(trial, f"127.0.0.1:{port}")
        for number in range(2):
            await trial.add_host(number, peers_port=ports[number], seeds=(NOBODY,))
            await asyncio.sleep(0.1)
        for host in trial.hosts:
            quotas = host.knowledge.shared.quotas
            await until(lambda quotas=quotas: quotas._expected_hosts == 8, 1.0)


@in_loop
async def test_a_host_whose_seed_answers_reads_no_list():
    """Guards against a share of a limit, and a call, where a fleet is running."""
    async with Trial(services=("look",), hosts=1) as trial:
        _put(trial, NOBODY)
        await asyncio.sleep(stored_hosts.SEED_ANSWER_TIME)
        await trial.add_host(1)
        quotas = trial.hosts[1].knowledge.shared.quotas
        await until(lambda: quotas._expected_hosts == 1, 1.0)


@pytest.mark.parametrize("data", [b"{", b"\xff", b"[]", b'{"data_centre": 1, "at": 2}'])
@in_loop
async def test_odd_records_name_no_host(data):
    """Guards against a search that ends at a record of another writer."""
    async with Trial(services=("look",), hosts=0) as trial:
        ports = [free_port() for _ in range(2)]
        trial.store.put(TOPIC, "127.0.0.1:7", data)
        trial.store.put(TOPIC, "nowhere", data)
        for port in ports:
            _put(trial, f"127.0.0.1:{port}")
        for number, port in enumerate(ports):
            await trial.add_host(number, peers_port=port, seeds=(NOBODY,))
        await until(lambda: _live_counts(trial) == {2}, 4.0)
        assert trial.hosts[0].knowledge.shared.quotas._expected_hosts == 2


@in_loop
async def test_each_host_is_listed_while_it_runs(monkeypatch):
    """Guards against a list that lacks hosts, or names those of long ago for ever."""
    monkeypatch.setattr(stored_hosts, "MIN_WRITE_DELAY", 0.1)
    monkeypatch.setattr(stored_hosts, "MAX_WRITE_DELAY", 0.2)
    monkeypatch.setattr(stored_hosts, "REFRESH_INTERVAL", 0.5)
    async with Trial(services=("look",), hosts=0) as trial:
        _put(trial, NOBODY, 2 * RECORD_TTL)
        await trial.add_host(0)
        own = trial.hosts[0].settings.peer_address
        newest = trial.store.topic(TOPIC).newest
        await until(lambda: newest.keys() == {own}, 3.0)
