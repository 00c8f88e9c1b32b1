"""
Endless responses, and the memory of a host with our own interface.
"""

import random
import threading
import time
import urllib.error
import urllib.request

import pytest

from .demo import make_key
from .fleet import TRIAL, Fleet
from .process_memory import read_peak

RNG = random.Random(1)
MAX_BYTES = 300_000_000


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path, TRIAL)
    try:
        yield fleet
    finally:
        fleet.stop()


def _send(url, key):
    """Send an order and return the status, None if the connection was cut."""
    req = urllib.request.Request(url, b"x", {"Idempotency-Key": key}, method="POST")
    try:
        with urllib.request.urlopen(req, timeout=10.0) as resp:
            return resp.status
    except urllib.error.HTTPError as exc:
        return exc.code
    except OSError:
        return None


def test_orders_with_endless_answers_do_not_end_a_host(fleet):
    """Guards against a host that keeps all that a target sends for an order."""
    fleet.start(hosts=1)
    entry = fleet.entries[0]
    for name in ("act-1", "act-2"):
        fleet.control(name, mode="endless")
    url = f"{entry.callers}/act/a"
    statuses = []

    def send(key):
        statuses.append(_send(url, key))

    callers = [threading.Thread(target=send, args=(make_key(RNG),)) for _ in range(4)]
    for caller in callers:
        caller.start()
    end = time.monotonic() + 5.0
    while any(caller.is_alive() for caller in callers) and time.monotonic() < end:
        if read_peak(entry.process.pid) > MAX_BYTES:
            entry.process.kill()
            pytest.fail("the host was ended for its memory")
        time.sleep(0.02)
    assert statuses == [502] * 4


def test_a_store_without_end_does_not_end_a_host(fleet):
    """Guards against hosts that are ended, or do not serve, for their log."""
    fleet.start(hosts=1)
    entry = fleet.entries[0]
    fleet.switch(fault="endless")
    end = time.monotonic() + 2.0
    while (peak := read_peak(entry.process.pid)) < MAX_BYTES and time.monotonic() < end:
        time.sleep(0.02)
    assert peak < MAX_BYTES
    with urllib.request.urlopen(f"{entry.callers}/look/a", timeout=5.0) as resp:
        assert resp.status == 200
