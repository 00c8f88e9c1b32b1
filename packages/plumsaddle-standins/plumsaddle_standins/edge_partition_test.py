"""
Hosts that are partitioned from targets, while callers, store and hosts reach them.
"""

import pytest

from plumsaddle_core.ops.failure_estimator import PRIOR_FAILING
from plumsaddle_hosts.edge.clock import now

from .host_link import CUTS
from .partition import Partition, find_untrue, find_worse_served
from .trial import in_loop

# Seconds after a cut from which callers must be served: the hosts are in touch again.
CONTACT = 3.0
LOAD = 2.0
# A target is suspected if its failing probability is well above that of an unknown one.
FAILING = PRIOR_FAILING + 0.1


@pytest.mark.parametrize("form", CUTS)
@pytest.mark.parametrize("cut", [{0, 1, 2}, {0, 2, 4}, {0, 1, 2, 3, 4}])
@in_loop
async def test_callers_of_partitioned_hosts_are_served(form, cut):
    """Guards against callers who fail at a host while other hosts reach all targets."""
    async with Partition() as partition:
        await partition.load(1.5)
        partition.cut(form, cut)
        during = await partition.load(CONTACT)
        results = await partition.load(LOAD)
        assert find_worse_served(results, cut) is None
        assert not find_untrue(partition, during + results)


@pytest.mark.parametrize("form", ["hang", "reset", "refused"])
@in_loop
async def test_partitioned_hosts_do_not_blame_targets(form):
    """Guards against sound targets that all hosts avoid for the sake of a few."""
    cut = set(range(12)) - {3, 5}
    async with Partition(hosts=12) as partition:
        await partition.load(1.0)
        partition.cut(form, cut)
        await partition.load(1.5)
        knowledge = partition.trial.hosts[3].knowledge
        at = now()
        worst = max(
            knowledge.shared.failing_probability(incarnation, at)
            for incarnation in knowledge.registry.incarnations()
        )
        assert worst < FAILING
        crashed = [
            incarnation
            for incarnation in knowledge.registry.incarnations()
            if knowledge.shared.suspects.has_crashed(incarnation)
        ]
        assert not crashed
