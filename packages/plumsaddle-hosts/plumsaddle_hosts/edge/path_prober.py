"""
Checks this host's paths to targets when they are in doubt, and until they are restored.

A check opens a connection to one target, and if that fails, to a few of different
services. Those that work are pooled, so that the next requests use them.
"""

import asyncio
import logging

from plumsaddle_core.ops.paths import PathState, PathVerdict

from .clock import now
from .target_connection import ConnectFailure

log = logging.getLogger("paths")
# Further targets to which a host connects after it failed to reach one.
CHECKED_TARGETS = 3
# Seconds within which a contact with any target settles a doubt without a check.
SETTLE_TIME = 0.05
# Seconds between two checks.
CHECK_INTERVAL = 0.5
# Seconds between attempts on a broken path; each is delayed at random by up to as much
# again, since all hosts of a data centre may be partitioned together.
PROBE_INTERVAL = 0.3


class PathProber:
    """
    The checks of one host's paths.

    Args:
      pool: The `ConnectionPool`.
      paths: The `HostPaths`.
      registry: The `Registry`.
      rng: A `random.Random`.
    """

    def __init__(self, pool, paths, registry, rng):
        self._pool = pool
        self._paths = paths
        self._registry = registry
        self._rng = rng
        # When the last checks of one and of several targets began.
        self._checked_at = {1: 0.0, CHECKED_TARGETS: 0.0}
        self._checks = {}
        self._tasks = set()

    def note_failed(self, verdict):
        """Check other paths if the direct one to a target failed."""
        if verdict is not PathVerdict.DOWN:
            self._check_soon(CHECKED_TARGETS)

    def check_soon(self):
        """Check the path to a target, unless that was done just now."""
        self._check_soon(1)

    def _check_soon(self, count):
        at = now()
        is_due = at - self._checked_at[count] >= CHECK_INTERVAL
        if self._paths.state is PathState.CONNECTED and is_due:
            self._checked_at[count] = at
            self._checks[count] = self._start(self._check(count))

    async def _check(self, count):
        if not await self._has_contact():
            await asyncio.gather(*map(self._connect, self._pick(count)))

    async def _has_contact(self):
        """Return whether any target sends something within `SETTLE_TIME`."""
        since = now()
        await asyncio.sleep(SETTLE_TIME)
        return self._paths.contact_at >= since

    def blame_if_reached(self, target, note):
        """
        Call a function that blames a target, unless this host's path is the cause.

        Args:
          target: The `Target`, which was silent or reset a connection.
          note: The function.
        """
        self._start(self._blame(target, note, True))

    def blame_if_unreached(self, target, note):
        """As `blame_if_reached`, for a target to which no connection was opened."""
        if self._paths.is_unconfirmed(target.incarnation):
            self._start(self._blame(target, note, False))
        else:
            note()

    async def _blame(self, target, note, must_connect):
        if self._paths.is_cause(target.incarnation, now()):
            return
        if must_connect and not await self._has_contact():
            await self._connect(target)
        check = self._checks.get(CHECKED_TARGETS)
        if self._paths.is_unconfirmed(target.incarnation) and check is not None:
            # Other targets tell whether this one or the path has failed.
            await asyncio.wait([check])
        if not self._paths.is_cause(target.incarnation, now()):
            note()

    async def run(self):
        """Try broken paths until they work again."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL * self._rng.uniform(1.0, 2.0))
            state = self._paths.state
            if state is PathState.CONNECTED:
                continue
            for target in self._pick(1):
                self._start(self._pool.probe(target))
                if state is PathState.ISOLATED:
                    self._start(self._connect(target))

    def _pick(self, count):
        """Return a few targets at random, of different services if possible."""
        services = list(self._registry.by_service)
        self._rng.shuffle(services)
        picked = []
        while services and len(picked) < count:
            for service in services:
                usable = [t for t in self._registry.usable(service) if t not in picked]
                if usable:
                    picked.append(self._rng.choice(usable))
                else:
                    services = [s for s in services if s != service]
        return picked[:count]

    async def _connect(self, target):
        connection = await self._pool.open(target)
        if not isinstance(connection, ConnectFailure):
            self._pool.release_unused(target.incarnation, connection)

    def _start(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("path check failed", exc_info=task.exception())

    def close(self):
        """Cancel all checks."""
        for task in list(self._tasks):
            task.cancel()
