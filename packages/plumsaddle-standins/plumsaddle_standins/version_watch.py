"""
Which version of the configuration each host of the lab has in force, and when.

A version that was published must be in force on each host that has been undisturbed,
with an undisturbed store, and no host may go back to an earlier one.
"""

import asyncio
import re
from typing import NamedTuple

import aiohttp

# Seconds within which a version must be in force.
KNOWN_WITHIN = 2.0
# Seconds for which host and store must have been undisturbed.
CONTACT = 3.0
POLL_INTERVAL = 0.2
POLL_TIMEOUT = 1.0
_find_version = re.compile(r"^plumsaddle_version\S* (\d+)", re.MULTILINE).search


class Sample(NamedTuple):
    """The version that a host's process had in force at a time."""

    host: str
    process: int
    asked_at: float
    version: int


class VersionWatch:
    """
    Polls the metrics of hosts.

    Args:
      hosts: The `HostProcess`es.
      store: The `StoreStandin`.
    """

    def __init__(self, hosts, store):
        self._hosts = {host.name: host for host in hosts}
        self._store = store
        self._samples = []

    async def run(self):
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(POLL_TIMEOUT)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                polls = (self._poll(session, host) for host in self._hosts.values())
                await asyncio.gather(*polls)
                await asyncio.sleep(POLL_INTERVAL)

    async def _poll(self, session, host):
        if not host.is_running:
            return
        asked_at = asyncio.get_running_loop().time()
        process = host.process.pid
        try:
            url = f"http://127.0.0.1:{host.ready}/metrics"
            async with session.get(url) as resp:
                found = _find_version(await resp.text())
        except (aiohttp.ClientError, TimeoutError):
            return
        if found and host.process.pid == process:
            sample = Sample(host.name, process, asked_at, int(found.group(1)))
            self._samples.append(sample)

    def find_broken(self, published):
        """
        Return broken promises as texts.

        Args:
          published: Pairs of time and version, in order.
        """
        newest, lines = {}, []
        for sample in self._samples:
            key = sample.host, sample.process
            if sample.version < newest.get(key, 0):
                lines.append(
                    f"{sample.host}: version {sample.version} after {newest[key]}"
                )
            newest[key] = sample.version
            due = [v for at, v in published if at + KNOWN_WITHIN < sample.asked_at]
            if due and sample.version < due[-1] and not self._is_excused(sample):
                lines.append(f"{sample.host}: version {sample.version}, not {due[-1]}")
        return lines

    def _is_excused(self, sample):
        since = sample.asked_at - CONTACT
        host = self._hosts[sample.host]
        return host.was_disturbed(since, sample.asked_at) or self._store.was_disturbed(
            since, sample.asked_at
        )
