"""
Targets that renew their entries, and writes of theirs that the store executes late.
"""

import asyncio

from .trial import TARGETS

# Seconds between two entries of a running target.
CHECK_IN_INTERVAL = 1.5
# Bounds of the seconds by which a write is late, and of those after which the target
# starts again or drains meanwhile.
LATE_BY = (0.3, 5.0)
CHANGE_AFTER = (0.0, 0.5)
# Seconds from when a target drains until it leaves, and until it starts again.
DRAINS_FOR = 2.5
LEFT_FOR = 0.5


class CheckIns:
    """
    The entries of a trial's targets. What was drawn is counted in `drawn`.

    Args:
      trial: The `Trial`.
      rng: A `random.Random`.
      drawn: A `Counter`.
    """

    def __init__(self, trial, rng, drawn):
        self._trial = trial
        self._rng = rng
        self._drawn = drawn
        self._changing = set()

    async def run(self):
        """Let listed targets renew their entries until cancelled."""
        while True:
            await asyncio.sleep(CHECK_IN_INTERVAL)
            for worker in list(self._trial.workers.values()):
                state = self._trial.listed.get(worker.id)
                if state is not None:
                    self._trial.register(worker, state)

    async def delay_one(self):
        """Let one write be late, while its target starts again, drains or goes on."""
        services = {w.service for w in self._changing}
        workers = [
            worker
            for worker in self._trial.workers.values()
            if worker.service not in services and worker.id in self._trial.listed
        ]
        if not workers:
            return
        worker = self._rng.choice(workers)
        change = self._rng.choice((self._start_again, self._drain, self._go_on))
        self._drawn[f"late entry, {change.__name__.strip('_')}"] += 1
        self._changing.add(worker)
        try:
            late = worker.entry()
            await asyncio.gather(self._deliver(worker, late), change(worker))
        finally:
            self._changing.discard(worker)

    async def _deliver(self, worker, late):
        await asyncio.sleep(self._rng.uniform(*LATE_BY))
        self._trial.store.put(TARGETS, worker.id, late)

    async def _start_again(self, worker):
        await asyncio.sleep(self._rng.uniform(*CHANGE_AFTER))
        worker.start_again()
        self._trial.register(worker)

    async def _drain(self, worker):
        await asyncio.sleep(self._rng.uniform(*CHANGE_AFTER))
        self._trial.register(worker, "draining")
        await asyncio.sleep(DRAINS_FOR)
        self._trial.unregister(worker)
        await asyncio.sleep(LEFT_FOR)
        worker.start_again()
        self._trial.register(worker)

    async def _go_on(self, worker):
        """The target renews its entry as always."""
