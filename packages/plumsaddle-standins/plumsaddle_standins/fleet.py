"""
Start a platform, targets and entry hosts as separate processes on loopback.

The demo and the tests of processes use it. It ends only what it started itself.
"""

import contextlib
import json
import random
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any, NamedTuple

START_WAIT = 30.0
PORT_RANGE = (20000, 32000)
PORTS = random.SystemRandom()
GIVEN = set()
STOP_WAIT = 20.0
ADDRESS = re.compile(r'address = "[^"]+"')
SETTINGS = """
id = "{id}"
data_centre = "{data_centre}"
leave_wait = {leave_wait}
grace = {grace}

[listen]
callers = "127.0.0.1:{callers}"
operators = "127.0.0.1:{operators}"
hosts = "127.0.0.1:{hosts}"

[platform]
url = "{platform}"
append_timeout = 1.0
checkpoint_every = {checkpoint_every}
hosts_every = 0.5

[peers]
secret = "loopback-stand-in-secret"
seeds = [{seeds}]

[logs]
level = "{level}"
"""


# A small configuration for trials: one service of each kind of request.
TRIAL = """
deployment = "trial"
hosts_max = 8

[[service]]
name = "look"
floor = 1
slots = 8
connections = 80
stall_timeout = 1.0
buffer_bytes = 65536
targets = [
    { id = "look-1", address = "10.0.0.1:80", data_centre = "x" },
    { id = "look-2", address = "10.0.0.2:80", data_centre = "x" },
    { id = "look-3", address = "10.0.0.3:80", data_centre = "x" },
]

[[service]]
name = "act"
floor = 1
slots = 8
connections = 80
probe_path = "/act/ping"
targets = [
    { id = "act-1", address = "10.0.0.4:80", data_centre = "x" },
    { id = "act-2", address = "10.0.0.5:80", data_centre = "x" },
]

[[service]]
name = "load"
floor = 1
slots = 8
connections = 80
stall_timeout = 3.0
probe_path = "/load/ping"
targets = [{ id = "load-1", address = "10.0.0.6:80", data_centre = "x" }]

[[route]]
prefix = "/look"
service = "look"
kind = "idempotent"
methods = ["GET"]
deadline = 10.0

[[route]]
prefix = "/file"
service = "look"
kind = "download"
methods = ["GET"]
deadline = 10.0

[[route]]
prefix = "/act"
service = "act"
kind = "order"
methods = ["POST"]
deadline = 6.0

[[route]]
prefix = "/load"
service = "load"
kind = "upload"
methods = ["PUT"]
"""


class Entry(NamedTuple):
    """One entry host: its process and its listeners."""

    id: str
    process: Any
    callers: str
    operators: str
    hosts: str


def free_ports(count):
    """
    Return ports of the loopback that nobody listens on.

    They lie below the range from which outgoing connections get theirs, so that
    none of those can take one before its process listens.
    """
    found = []
    while len(found) < count:
        port = PORTS.randrange(*PORT_RANGE)
        if port not in GIVEN and _is_free(port):
            GIVEN.add(port)
            found.append(port)
    return found


def _is_free(port):
    """Return whether nobody takes connections or datagrams at a port."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def call(url, value=None, method=None, timeout=5.0):
    """Ask one of the processes for a JSON value."""
    data = None if value is None else json.dumps(value).encode()
    req = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(req, timeout=timeout) as resp:
        return json.loads(resp.read())


def wait_for(check, what, seconds=START_WAIT):
    """Wait until a check returns something true, and return that."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(OSError, ValueError):
            found = check()
            if found:
                return found
        time.sleep(0.05)
    raise TimeoutError(f"waited {seconds} s for {what}")


def is_up(url):
    """Return whether a URL answers with 200."""
    try:
        with urllib.request.urlopen(url, timeout=1.0) as resp:
            return resp.status == 200
    except urllib.error.HTTPError:
        return False


class Fleet:
    """
    All processes of one trial.

    Args:
      folder: Where the settings and the logs of the processes go.
      text: The configuration, whose addresses are replaced by loopback ones.
      means: The mean seconds of work, by service.
    """

    def __init__(self, folder, text, means=None):
        self.folder = Path(folder)
        self.means = means or {}
        self.processes = []
        self.entries = []
        self.targets = {}
        self.text = self._localize(text)
        self.platform = f"http://127.0.0.1:{free_ports(1)[0]}"

    def _localize(self, text):
        ports = iter(free_ports(len(ADDRESS.findall(text))))
        return ADDRESS.sub(lambda _: f'address = "127.0.0.1:{next(ports)}"', text)

    def spawn(self, name, *words):
        """Start a process whose output goes to a file."""
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            [sys.executable, "-m", *map(str, words)], stdout=log, stderr=log
        )
        log.close()
        self.processes.append(process)
        return process

    def start(self, hosts=3, **options):
        """Start everything and wait until the configuration is in force."""
        port = self.platform.rpartition(":")[2]
        self.spawn("platform", "plumsaddle_standins.store", port)
        self.start_targets()
        for _ in range(hosts):
            self.start_host(**options)
        wait_for(lambda: is_up(f"{self.platform}/control"), "the platform")
        self.write_settings()
        self.publish(self.text)
        for entry in self.entries:
            self.wait_ready(entry)

    def start_targets(self):
        """Start one process for each service, with all its targets."""
        for service in tomllib.loads(self.text)["service"]:
            targets = service["targets"]
            ports = [int(t["address"].rpartition(":")[2]) for t in targets]
            names = [t["id"] for t in targets]
            self.spawn(
                f"targets-{service['name']}",
                "plumsaddle_standins.target",
                json.dumps(ports),
                json.dumps(names),
                f"--slots={service['slots']}",
                f"--connections={service['connections']}",
                f"--mean={self.means.get(service['name'], 0.02)}",
            )
            for name, port in zip(names, ports, strict=True):
                self.targets[name] = f"http://127.0.0.1:{port}"

    def start_host(
        self,
        leave_wait=0.5,
        checkpoint_every=3600.0,
        level="info",
        ports=None,
        grace=3600.0,
    ):
        """Start one more entry host; `ports` are those of listeners by name."""
        number = len(self.entries) + 1
        names = ("callers", "operators", "hosts")
        drawn = {**dict(zip(names, free_ports(3), strict=True)), **(ports or {})}
        callers, operators, hosts = (drawn[name] for name in names)
        seeds = ", ".join(f'"{entry.hosts}"' for entry in self.entries[:3])
        path = self.folder / f"entry-{number}.toml"
        path.write_text(
            SETTINGS.format(
                id=f"entry-{number}",
                data_centre=("heverlee", "kessel", "wilsele")[number % 3],
                leave_wait=leave_wait,
                grace=grace,
                callers=callers,
                operators=operators,
                hosts=hosts,
                platform=self.platform,
                checkpoint_every=checkpoint_every,
                seeds=seeds,
                level=level,
            )
        )
        process = self.spawn(f"entry-{number}", "plumsaddle_hosts.daemon.main", path)
        entry = Entry(
            f"entry-{number}",
            process,
            f"http://127.0.0.1:{callers}",
            f"http://127.0.0.1:{operators}",
            f"127.0.0.1:{hosts}",
        )
        self.entries.append(entry)
        return entry

    def wait_ready(self, entry):
        """Wait until a host says that it is ready."""
        wait_for(lambda: is_up(f"{entry.operators}/ready"), f"{entry.id} to be ready")

    def write_settings(self):
        """Write the settings of the command line."""
        hosts = [entry.operators.removeprefix("http://") for entry in self.entries]
        path = self.folder / "plumsaddle.toml"
        path.write_text(f'platform = "{self.platform}"\nhosts = {json.dumps(hosts)}\n')

    def command(self, *words):
        """Run the operators' command line and return the finished process."""
        return subprocess.run(
            [sys.executable, "-m", "plumsaddle_hosts.scripts.cli", *map(str, words)],
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def publish(self, text, *words):
        """Publish a configuration and return the finished process."""
        path = self.folder / "fleet.toml"
        path.write_text(text)
        return self.command("publish", path, *words)

    def control(self, target, **change):
        """Switch a stand-in target."""
        return call(f"{self.targets[target]}/control", change, "PUT")

    def look(self, target):
        """Return the counts of a stand-in target."""
        return call(f"{self.targets[target]}/control")

    def look_at_store(self):
        """Return the counts of the stand-in store."""
        return call(f"{self.platform}/control")

    def switch(self, **change):
        """Switch the stand-in platform."""
        return call(f"{self.platform}/control", change, "PUT")

    def runs(self):
        """Return how often each order key was run by any target."""
        total = {}
        for target in self.targets:
            for key, count in self.look(target)["runs"].items():
                total[key] = total.get(key, 0) + count
        return total

    def stop(self):
        """End all processes that were started here."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait(STOP_WAIT)
