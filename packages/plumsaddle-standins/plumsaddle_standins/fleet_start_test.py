"""
Starts of a host with our own interface, on a machine that is not ready yet.
"""

import random
import signal
import socket
import urllib.error
import urllib.request

import pytest

from .demo import make_key
from .fleet import TRIAL, Fleet, is_up, wait_for


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path, TRIAL)
    try:
        yield fleet
    finally:
        fleet.stop()


def _start_beside(fleet, sock, name):
    """Start a host with the port of a socket, and wait until it waits for it."""
    port = sock.getsockname()[1]
    entry = fleet.start_host(ports={name: port})
    log = fleet.folder / f"{entry.id}.log"
    wait_for(lambda: "has to wait" in log.read_text(), "the host to wait")
    assert entry.process.poll() is None
    return entry


@pytest.mark.parametrize("name", ["callers", "operators", "hosts"])
def test_a_host_waits_for_a_port_that_another_process_has(fleet, name):
    """Guards against a start that fails as the process before has not ended yet."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        entry = _start_beside(fleet, sock, name)
    log = fleet.folder / f"{entry.id}.log"
    wait_for(lambda: f"{entry.id} listens on" in log.read_text(), "the host to listen")
    assert is_up(f"{entry.operators}/metrics")


def test_a_host_that_waits_for_its_port_ends_when_it_is_stopped(fleet):
    """Guards against a host that can only be killed while it waits."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        entry = _start_beside(fleet, sock, "callers")
        entry.process.send_signal(signal.SIGTERM)
        assert entry.process.wait(5.0) == 0


def test_settings_that_are_written_after_the_start_are_used(fleet):
    """Guards against a start that fails as the settings are still being written."""
    entry = fleet.start_host()
    entry.process.kill()
    path = fleet.folder / f"{entry.id}.toml"
    text = path.read_text()
    path.write_text(text[: len(text) // 2])
    process = fleet.spawn("late", "plumsaddle_hosts.daemon.main", path)
    log = fleet.folder / "late.log"
    wait_for(lambda: log.read_text(), "the host to find its settings incomplete")
    path.write_text(text)
    wait_for(lambda: f"{entry.id} listens on" in log.read_text(), "the host to listen")
    assert process.poll() is None


def test_sighup_does_not_end_a_host(fleet):
    """Guards against a host that ends with the terminal that started it."""
    entry = fleet.start_host()
    log = fleet.folder / f"{entry.id}.log"
    wait_for(lambda: f"{entry.id} listens on" in log.read_text(), "the host to listen")
    entry.process.send_signal(signal.SIGHUP)
    wait_for(lambda: "SIGHUP" in log.read_text(), "the signal to be logged")
    assert entry.process.poll() is None


def _ask(entry, method, path, left):
    """Send a request with some milliseconds left; return its status and headers."""
    headers = {
        "Idempotency-Key": make_key(random.Random()),
        "X-Request-Timeout-Ms": str(left),
    }
    req = urllib.request.Request(entry.callers + path, headers=headers, method=method)
    try:
        with urllib.request.urlopen(req, timeout=10.0) as resp:
            return resp.status, resp.headers
    except urllib.error.HTTPError as exc:
        return exc.code, exc.headers


def test_a_host_that_is_killed_soon_begins_nothing_that_outlasts_it(fleet):
    """Guards against orders that are taken after SIGTERM and cut by the kill."""
    fleet.start(hosts=0)
    entry = fleet.start_host(leave_wait=1.5, grace=3.0)
    fleet.wait_ready(entry)
    entry.process.send_signal(signal.SIGTERM)
    wait_for(lambda: not is_up(f"{entry.operators}/ready"), "the host to leave")
    assert _ask(entry, "GET", "/look/x", 2000)[0] == 200
    for method, path in (("GET", "/look/x"), ("POST", "/act/x")):
        status, headers = _ask(entry, method, path, 6000)
        assert (status, headers["Plumsaddle-Reason"]) == (503, "stopping")
        assert headers["Plumsaddle-Outcome"] == "not-run"
        assert int(headers["Retry-After"]) > 0
    assert entry.process.wait(5.0) == 0
