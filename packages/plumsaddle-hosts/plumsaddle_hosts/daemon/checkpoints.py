"""
Write the state of each stream to the log before its records expire.

Every host could; the first one to find the last checkpoint old does it, and the random
wait makes two at a time unlikely. Two do no harm.
"""

import time
import uuid

from plumsaddle_core.ops.fold import Checkpoint, checkpoint_id
from plumsaddle_core.ops.orders import EraStarted, Horizon, dump_orders
from plumsaddle_core.ops.versions import RestoredVersion, dump_versions

ITEMS_MOST = 500


class Checkpoints:
    """
    When each stream's next checkpoint is due.

    Args:
      host: The host's parts.
    """

    def __init__(self, host):
        self._host = host
        self._due = {}

    def look(self, now):
        """Write the checkpoints that are due by now."""
        host = self._host
        self._look_at(now, host.versions, host.config_batcher, dump_versions)
        for shard in host.shards:
            self._look_at(now, shard.fold, shard.batcher, dump_orders)

    def _look_at(self, now, fold, batcher, dump):
        every = self._host.settings.platform.checkpoint_every
        rng = self._host.rng
        seen, due = self._due.get(batcher.stream, (-1, None))
        if due is None:
            # A host does not know how old the last checkpoint is. If hosts were
            # replaced faster than the period and each waited it out, none would
            # ever be written; so the first wait is only a part of it.
            due = now + every * rng.uniform(0, 1)
        elif fold.newest_checkpoint > seen:
            due = now + every * rng.uniform(1, 1.5)
        if fold.complete and now >= due and not batcher.pending():
            due = now + every * rng.uniform(1, 1.5)
            for events in self._records(fold, dump, batcher.era):
                batcher.deliver(events)
        self._due[batcher.stream] = (fold.newest_checkpoint, due)

    def _records(self, fold, dump, era):
        """Return the records of a checkpoint, led by the era, and orders' horizon."""
        if fold.next_offset == 0:
            return []
        items = dump(fold.state)
        parts = [
            items[start : start + ITEMS_MOST]
            for start in range(0, len(items), ITEMS_MOST)
        ]
        name = checkpoint_id(era, uuid.uuid4().hex)
        as_of = fold.next_offset - 1
        records = [
            [Checkpoint(name, as_of, number, len(parts), part)]
            for number, part in enumerate(parts)
        ]
        if fold.state.era:
            records.insert(0, [_era_event(fold.state, dump)])
        if dump is dump_orders and self._host.applied:
            window = self._host.applied.cfg.order_window
            horizon = int((time.time() - window) * 1000)
            if horizon > fold.state.horizon:
                records.insert(0, [Horizon(horizon)])
        return records


def _era_event(state, dump):
    """Return the event that tells the era of a stream's state."""
    if dump is dump_orders:
        return EraStarted(state.era, state.uncertain_until)
    return RestoredVersion(state.era, *state.current)
