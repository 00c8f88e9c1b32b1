"""
Hosts of a store that comes back from an older copy of itself.
"""

import asyncio

import pytest

from plumsaddle_core.core.traffic import TargetState
from plumsaddle_hosts.edge.clock import now
from plumsaddle_hosts.edge.feed import FIRST_LISTING_TTL

from .store import Fault
from .trial import OPERATOR, Trial, configuration, in_loop, until

HOSTS = 12
CENTRES = ("x", "y", "z")
# Seconds within which each host must know of a change.
KNOWN_WITHIN = 2.0
# Seconds after which the operator and the targets write again.
REWRITTEN_AFTER = 0.3
VERSION_PAUSE = 1.3


class RestoredStore:
    """A trial whose store loses what is written between `copy` and `restore`."""

    def __init__(self, hosts=HOSTS, lost_versions=3, **options):
        self.trial = Trial(hosts=hosts, centres=CENTRES, targets=2, **options)
        self.store = self.trial.store
        self.version = 1
        self.late = []
        self._lost_versions = lost_versions

    async def __aenter__(self):
        await self.trial.__aenter__()
        await asyncio.sleep(FIRST_LISTING_TTL + 1.0)
        return self

    async def __aexit__(self, *exc_info):
        await self.trial.__aexit__(*exc_info)

    def publish(self):
        """Publish the next version."""
        self.version += 1
        self.store.put(OPERATOR, "config", configuration(self.version))

    async def lose(self):
        """Take a copy, and write what it will lack."""
        self.store.take_copy()
        for _ in range(self._lost_versions):
            self.publish()
            await asyncio.sleep(0.05)
        for name in ("look-0", "act-0", "up-0"):
            self.trial.register(self.trial.workers[name])
        await self.wait_until_known()

    async def restore(self, away=0.0):
        """Come back from the copy, after some seconds without answers if any."""
        if away:
            self.store.fault = Fault.OUT
            await asyncio.sleep(away)
        self.store.restore()
        self.store.fault = Fault.NONE

    async def rewrite(self):
        """Let the operator and the targets write again what was lost."""
        await asyncio.sleep(REWRITTEN_AFTER)
        self.store.rewrite()

    def _versions(self):
        return [host.knowledge.cfg.version for host in self.trial.hosts]

    async def wait_until_known(self):
        """Wait until all hosts have the version, and note those that were late."""
        published_at, version = now(), self.version
        while min(self._versions()) < version:
            if now() - published_at > KNOWN_WITHIN:
                self.late.append((version, self._versions()))
                return
            await asyncio.sleep(0.01)

    async def publish_more(self, count=4):
        """Publish versions in turn; each must be known in time."""
        waiting = []
        for _ in range(count):
            self.publish()
            waiting.append(asyncio.create_task(self.wait_until_known()))
            await asyncio.sleep(VERSION_PAUSE)
        await asyncio.gather(*waiting)


@pytest.mark.parametrize("away", [0.0, 0.4])
@pytest.mark.parametrize("lost_versions", [3, 12])
@in_loop
async def test_versions_after_a_restored_store_are_in_force_in_time(
    away, lost_versions
):
    """
    Guards against hosts that skip the versions whose offsets the store gives out again.
    """
    async with RestoredStore(lost_versions=lost_versions) as restored:
        await restored.lose()
        await restored.restore(away)
        await restored.rewrite()
        await restored.publish_more()
        assert not restored.late


@in_loop
async def test_a_target_that_drains_after_a_restored_store_gets_no_requests():
    """Guards against a host that takes the entries of the restored store for older."""
    async with RestoredStore() as restored:
        await restored.lose()
        await restored.restore()
        await restored.rewrite()
        await asyncio.sleep(1.0)
        trial = restored.trial
        trial.register(trial.workers["act-0"], "draining")

        def is_known():
            listed = [host.knowledge.registry.targets["act-0"] for host in trial.hosts]
            return all(target.state is TargetState.DRAINING for target in listed)

        await until(is_known, KNOWN_WITHIN)


@in_loop
async def test_a_starting_host_serves_no_version_that_the_store_has_gone_back_to():
    """Guards against a starting host that serves an older version than all others."""
    async with RestoredStore(hosts=6) as restored:
        await restored.lose()
        await restored.restore()
        trial = restored.trial
        started = await trial.add_host(6)
        served = []
        for _ in range(150):
            if started.knowledge.is_complete:
                served.append(started.knowledge.cfg.version)
            await asyncio.sleep(0.02)
        assert served
        assert set(served) == {restored.version}


@in_loop
async def test_a_host_without_the_store_gets_versions_from_other_hosts():
    """Guards against a host that serves an old version which all others have left."""

    async def hang(*args):
        await asyncio.sleep(3600)

    async with RestoredStore(hosts=9) as restored:
        alone = next(
            host for host in restored.trial.hosts if not host.store_access.is_reader
        )
        alone.store.read = alone.store.list_newest = hang
        for feed in alone._feeds:
            # A datagram is lost before the first version, and none closes the gap.
            feed.apply_page = lambda *args: None
        await restored.publish_more(2)
        assert not restored.late
