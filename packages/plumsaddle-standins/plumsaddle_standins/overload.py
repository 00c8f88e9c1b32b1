"""
Answers and wasted work below and above capacity, in virtual time.

Compared are ways to treat a target that has shed: a fixed pause, a pause that grows
with each shed, and a learned limit for each target (additive increase, multiplicative
decrease). With a keeper, hosts that have seen a shed within the last second ask one
host for slots. Load is a share of all slots; `messages` counts, for a request, those to
and from the keeper.
"""

import itertools
import multiprocessing

from plumsaddle_core.core.data import FailureKind
from plumsaddle_core.ops import pool as pool_module

from .measure import ARCHIVE, SONORE
from .model import Model
from .model_hosts import OurHost

SECONDS = 20.0
LOADS = (0.5, 0.8, 1.0, 2.0, 5.0)
STREAK = 10
PROCESSES = 4


class LearningHost(OurHost):
    """A host whose limit at a target grows with answers and halves with sheds."""

    def end(self, ended, trouble, now):
        """Learn from the end of a try."""
        member = self.pool.members[ended.target]
        if trouble is FailureKind.SHED:
            member.limit = max(1, member.limit // 2)
            member.streak = 0
        elif trouble is None:
            member.streak = getattr(member, "streak", 0) + 1
            if member.streak >= STREAK:
                member.streak = 0
                member.limit = min(self.pool.service.slots, member.limit + 1)
        return super().end(ended, trouble, now)


WAYS = {
    "fixed pause, fixed slots": (1.0, OurHost),
    "fixed pause, learned limit": (1.0, LearningHost),
    "growing pause, fixed slots": (2.0, OurHost),
    "the same with a keeper": (2.0, OurHost),
}


def run_one(job):
    """Run one load with one way and return its row."""
    shape, load, way = job
    growth, make_host = WAYS[way]
    pool_module.SHED_PAUSE_GROWTH = growth
    model = Model(shape._replace(load=load), make_host, 1, has_keeper="keeper" in way)
    model.run(SECONDS)
    model.latencies.sort()
    worst = model.latencies[int(len(model.latencies) * 0.99)] * 1000
    return (
        f"| {shape.name} | {load} | {way} | {model.whole / SECONDS:.0f} "
        f"| {100 * model.refused / model.requests:.1f} "
        f"| {(model.tries - model.whole) / max(1, model.whole):.2f} | {worst:.0f} "
        f"| {model.messages / model.requests:.2f} |"
    )


def main():
    """Print the table."""
    jobs = list(itertools.product((ARCHIVE, SONORE), LOADS, WAYS))
    names = "service load way answers/s refused-% wasted-tries 99%-ms messages"
    print(f"| {' | '.join(names.split())} |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    with multiprocessing.Pool(PROCESSES) as workers:
        for row in workers.imap(run_one, jobs):
            print(row, flush=True)


if __name__ == "__main__":
    main()
