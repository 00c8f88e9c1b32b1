"""
What a soak checks of its hosts' processes.

None may end by itself; each becomes ready in time after its start, ends within its
grace period, stays within its memory limit and logs no exception. Hosts that ended by
themselves are started again, as the platform does.
"""

import asyncio
import json
import signal
from collections import Counter
from pathlib import Path

from plumsaddle_hosts.edge.process_report import read_memory

INTERVAL = 0.2
# Seconds after the grace period until which a process may take to end.
END_SLACK = 2.0
# Seconds until a host is ready, and those that each further host adds on a machine
# where all of them may start at once.
READY_WITHIN, READY_WITHIN_EACH = 8.0, 0.3
TAIL_LINES, TAIL_WIDTH = 4, 300
MEGABYTE = 10**6


class HostWatch:
    """
    The watch over hosts; `broken` has a text for each broken promise.

    Args:
      hosts: The `HostProcess` objects.
      session: An `aiohttp.ClientSession`.
      start: A coroutine function that starts a host that has ended by itself.
      log_of: A function that returns the path of a host's log.
    """

    def __init__(self, hosts, session, start, log_of):
        self._hosts = hosts
        self._session = session
        self._start = start
        self._log_of = log_of
        self._ready_within = READY_WITHIN + READY_WITHIN_EACH * len(hosts)
        self._seen = {host.name: 0 for host in hosts}
        # By host the start for which each kind of check is over.
        self._settled = {}
        self._delayed_until = {}
        self._starting = set()
        self.broken = []
        # Processes that SIGHUP ended before their first line could ignore it.
        self.missed = 0
        self.peak = 0

    def expect_delay(self, host, until):
        """Note that a host can't be ready before a time on the loop's clock."""
        known = self._delayed_until.get(host.name, 0.0)
        self._delayed_until[host.name] = max(known, until)

    async def run(self):
        """Watch until cancelled."""
        while True:
            await asyncio.gather(*(self.check(host) for host in self._hosts))
            await asyncio.sleep(INTERVAL)

    async def check(self, host):
        """Check one host once."""
        self._check_exits(host)
        if not host.is_running:
            return
        self._check_memory(host)
        if host.is_stopped:
            self._check_shutdown(host)
        else:
            await self._check_readiness(host)

    def _check_exits(self, host):
        while self._seen[host.name] < len(host.exits):
            end = host.exits[self._seen[host.name]]
            self._seen[host.name] += 1
            if not end.is_requested:
                task = asyncio.ensure_future(self._start(host))
                self._starting.add(task)
                task.add_done_callback(self._starting.discard)
            fault = fault_of(end)
            if fault is not None:
                after = f"code {end.code}, {end.after:.2f} s after its start"
                self._report(host, f"{fault}: {after}", end.at)
            elif not end.is_requested:
                self.missed += 1

    def _check_memory(self, host):
        try:
            text = Path(f"/proc/{host.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            # It has just ended, which `exits` tells.
            return
        memory = read_memory(text)
        if memory is None:
            return
        _, peak = memory
        self.peak = max(self.peak, peak)
        limit = host.memory_limit
        if limit is not None and peak > limit and self._settle(host, "memory"):
            sizes = f"{peak / MEGABYTE:.0f} of {limit / MEGABYTE:.0f} MB"
            self._report(host, f"took more memory than its limit: {sizes}")

    def _check_shutdown(self, host):
        if not host.stopped_at or host.stopped_at[-1] < host.started_at:
            return
        after = asyncio.get_running_loop().time() - host.stopped_at[-1]
        is_late = after > host.graces[-1] + END_SLACK
        if is_late and self._settle(host, "shutdown"):
            self._report(host, f"still runs {after:.1f} s after SIGTERM")

    async def _check_readiness(self, host):
        if self._settled.get((host.name, "ready")) == host.started_at:
            return
        started_at = host.started_at
        is_ready = await host.is_ready(self._session)
        if host.started_at != started_at or host.is_stopped or not host.is_running:
            return
        if is_ready:
            self._settle(host, "ready")
            return
        since = max(started_at, self._delayed_until.get(host.name, 0.0))
        after = asyncio.get_running_loop().time() - since
        if after > self._ready_within and self._settle(host, "ready"):
            self._report(host, f"is not ready {after:.1f} s after its start")

    def _settle(self, host, check):
        """Note that a check is over for a process; return whether it was not yet."""
        was_settled = self._settled.get((host.name, check)) == host.started_at
        self._settled[host.name, check] = host.started_at
        return not was_settled

    def _report(self, host, text, at=None):
        at = asyncio.get_running_loop().time() if at is None else at
        lines = [f"{host.name}: {text} (at {at:.2f})"]
        lines += [f"    {line}" for line in tail_of(self._log_of(host))]
        self.broken.append("\n".join(lines))

    async def finish(self):
        """Check all hosts once more, and their logs for exceptions."""
        await asyncio.gather(*(self.check(host) for host in self._hosts))
        await asyncio.gather(*self._starting)
        for host in self._hosts:
            counts = Counter(find_exceptions(self._log_of(host)))
            for message, count in counts.items():
                text = f"{host.name}: logged an exception {count} times: {message}"
                self.broken.append(text)


def fault_of(end):
    """Return what is wrong with the end of a process, or None."""
    is_missed = end.has_missed and end.code in (-signal.SIGHUP, -signal.SIGTERM)
    if not end.is_requested:
        return None if is_missed else "ended by itself"
    if end.code in (0, -signal.SIGKILL) or is_missed:
        return None
    return "failed when it was stopped"


def tail_of(path):
    """Return the last lines of a log."""
    text = path.read_text(encoding="utf-8", errors="replace")
    return [line[:TAIL_WIDTH] for line in text.splitlines()[-TAIL_LINES:]]


def find_exceptions(path):
    """Return the messages of a log that have an exception, with its last line."""
    found = []
    for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
        try:
            fields = json.loads(line)
        except ValueError:
            # Lines of the interpreter, which `exits` makes known.
            continue
        if isinstance(fields, dict) and "exc_info" in fields:
            first = fields["message"].partition("\n")[0]
            last = fields["exc_info"].strip().rpartition("\n")[2]
            found.append(f"{first}: {last}")
    return found
