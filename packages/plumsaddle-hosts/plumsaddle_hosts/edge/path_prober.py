"""
Checks this host's paths to targets when they are in doubt, and until they are restored.

Checks open connections to a few targets of different services. Those that work are
pooled, so that the next requests use them.
"""

import asyncio
import logging

from plumsaddle_core.ops.paths import PathState, PathVerdict

from .clock import now
from .target_connection import ConnectFailure

log = logging.getLogger("paths")
# Targets to which a check connects.
CHECKED_TARGETS = 3
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
        self._checked_at = 0.0
        self._tasks = set()

    def note_failed(self, verdict):
        """Check other paths if a single target was reached through a gateway only."""
        if verdict is not PathVerdict.DOWN:
            self.check_soon()

    def check_soon(self):
        """Check the paths to a few targets, unless that was done just now."""
        at = now()
        is_due = at - self._checked_at >= CHECK_INTERVAL
        if self._paths.state is not PathState.CONNECTED or not is_due:
            return
        self._checked_at = at
        for target in self._pick(CHECKED_TARGETS):
            self._start(self._connect(target))

    def blame_if_reached(self, target, note):
        """
        Call a function that blames a target, unless only other hosts reach the target.

        Args:
          target: The `Target`.
          note: The function.
        """
        self._start(self._blame_if_reached(target, note))

    async def _blame_if_reached(self, target, note):
        if self._paths.is_cause(target.incarnation, now()):
            return
        await self._connect(target)
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

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("path check failed", exc_info=task.exception())

    def close(self):
        """Cancel all checks."""
        for task in list(self._tasks):
            task.cancel()
