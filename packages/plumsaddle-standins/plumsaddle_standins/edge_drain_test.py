"""
Targets that drain or have left, and their entries that arrive late, on real sockets.
"""

import pytest

from .trial import TARGETS, Trial, in_loop, until


async def _send_orders(trial, name):
    for number in range(8):
        status, _, _ = await trial.ask("/act/a", f"{name}-{number}", "POST")
        assert status == 200


@pytest.mark.parametrize("born", [0, 1796256000000])
@pytest.mark.parametrize("is_announced", [True, False])
@in_loop
async def test_a_late_entry_brings_no_orders_to_a_target_that_leaves(
    born, is_announced
):
    """Guards against orders that the target's exit cuts, on each kind of site."""
    async with Trial(services=("act",), targets=2) as trial:
        leaving, staying = trial.of("act")
        registry = trial.hosts[0].knowledge.registry
        for worker in (leaving, staying):
            trial.unregister(worker)
            worker.id, worker.born = f"{worker.id}-2", born
            trial.register(worker)
        await until(lambda: _usable(registry) == {leaving.id, staying.id})
        late = leaving.entry()
        if is_announced:
            trial.register(leaving, "draining")
        else:
            trial.unregister(leaving)
        await until(lambda: leaving.id not in _usable(registry))
        revision = registry.revision
        trial.store.put(TARGETS, leaving.id, late)
        trial.register(staying)
        await until(lambda: registry.revision > revision)
        leaving.seen.clear()
        await _send_orders(trial, "id")
        assert not leaving.seen


@in_loop
async def test_a_target_that_starts_again_gets_requests_at_once():
    """Guards against leaving out a new start because its count begins anew."""
    async with Trial(services=("act",), targets=1) as trial:
        worker = trial.of("act")[0]
        worker.sequence = 40
        trial.register(worker)
        registry = trial.hosts[0].knowledge.registry
        await until(lambda: registry.targets[worker.id].sequence == 41)
        trial.unregister(worker)
        await until(lambda: worker.id not in registry.targets)
        worker.sequence, worker.born = 0, worker.born + 5000
        trial.register(worker)
        await until(lambda: worker.id in registry.targets)
        await _send_orders(trial, "id")


def _usable(registry):
    """Return the ids of the targets that a host may send orders to."""
    return {target.id for target in registry.usable("act")}
