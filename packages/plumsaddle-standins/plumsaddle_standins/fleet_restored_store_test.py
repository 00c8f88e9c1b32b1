"""
The own interface on a store that comes back from an older copy of itself.
"""

import random
import time

import pytest

from .demo import make_key
from .fleet import TRIAL, Fleet, call, is_up, wait_for
from .fleet_test import order

RNG = random.Random(6)
# Seconds after a drill within which hosts take orders again.
SETTLED_WITHIN = 5.0


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path, TRIAL)
    try:
        fleet.start(hosts=3)
        for target in fleet.targets:
            fleet.control(target, fixed=True)
        yield fleet
    finally:
        fleet.stop()


def _run_orders(fleet, count):
    """Run orders at the hosts in turn, and return their keys."""
    keys = [make_key(RNG) for _ in range(count)]
    for number, key in enumerate(keys):
        assert order(fleet.entries[number % 3], key).status == 200
    return keys


def _restore(fleet, away=0.5):
    """Let the store be away and come back from its copy."""
    fleet.switch(fault="out")
    time.sleep(away)
    fleet.switch(restore=True, fault="none")


def test_orders_that_the_store_has_lost_do_not_run_again(fleet):
    """Guards against second runs at a host that started after the store lost claims."""
    _run_orders(fleet, 6)
    fleet.switch(copy=True)
    lost = _run_orders(fleet, 9)
    _restore(fleet)
    started = fleet.start_host()
    wait_for(lambda: is_up(f"{started.operators}/live"), "the host to listen")
    for number in range(40):
        key = lost[number % len(lost)]
        order((started, *fleet.entries)[number % 4], key, timeout=20.0)
        time.sleep(0.02)
    fleet.wait_ready(started)
    for key in lost:
        order(started, key)
    runs = fleet.runs()
    assert {runs[key] for key in lost} == {1}


def test_orders_are_taken_again_after_a_restored_store(fleet):
    """Guards against hosts that refuse orders for good after the store went back."""
    _run_orders(fleet, 3)
    fleet.switch(copy=True)
    lost = _run_orders(fleet, 40)
    _restore(fleet)
    for entry in fleet.entries:
        wait_for(
            lambda entry=entry: order(entry, make_key(RNG)).status == 200,
            "a new order to be served",
            SETTLED_WITHIN,
        )
    for entry in fleet.entries:
        # The outcome is known wherever the caller asks.
        reply = order(entry, lost[0])
        assert reply.headers["Plumsaddle-Replayed"] == "true"


def test_an_accepted_version_that_the_store_has_lost_stays_in_force(fleet):
    """Guards against two texts under one number after the store lost a proposal."""
    fleet.switch(copy=True)
    published = fleet.publish(fleet.text.replace("deadline = 10.0", "deadline = 9.0"))
    assert "Version 2 is accepted" in published.stdout
    _restore(fleet)
    started = fleet.start_host()
    fleet.wait_ready(started)
    fleet.write_settings()
    published = fleet.publish(fleet.text.replace("deadline = 10.0", "deadline = 8.0"))
    assert "Version 3 is accepted" in published.stdout, published
    statuses = [call(f"{entry.operators}/status") for entry in fleet.entries]
    assert {status["version"] for status in statuses} == {3}
    assert len({status["version_id"] for status in statuses}) == 1
