"""
Detection of failing targets against the naive version, in virtual time.

One table a deployment, all runs with fixed seeds, forty hosts:

- `detect` is how long a failing target kept receiving ordinary work after it began
  to fail: the median and the worst over the hosts, in seconds; `-` means to the end.
- `sent` is the number of tries that went to it, trials included; for cuts, from the
  hosts that are cut.
- `false` is how often an hour a host ejected a healthy target, over all hosts.
- `low` is the lowest number of healthy targets that any host had in.
- `waste` is the number of tries beyond one for each whole answer, for a request.
- `refused` is the share of requests, in percent, that got no whole answer.
"""

import multiprocessing
import statistics
import sys
from typing import Any, NamedTuple

from plumsaddle_core.core.data import DetectionTradeoff

from .model import Model, Shape
from .model_hosts import CENTRES, NaiveHost, OurHost

ONSET = 30.0
AFTER = 60.0
LONG = 200.0
SEEDS = (1,)
PROCESSES = 4
BAD = "t-0@10.0.0.0:80"

ARCHIVE = Shape("raadpleging", 10, 4, 330, 7, 0.1, DetectionTradeoff.FALSE_EJECTIONS)
SONORE = Shape("ledger", 12, 2, 390, 8, 0.1, DetectionTradeoff.DETECTION_TIME)


class Scenario(NamedTuple):
    """What goes wrong, which targets are truly bad, and the load."""

    name: str
    happen: Any
    bad: frozenset = frozenset({BAD})
    load: float = 0.5
    after: float = AFTER


def _mode(mode, factor=1.0):
    def happen(model):
        model.targets[BAD].mode = mode
        model.targets[BAD].factor = factor

    return happen


def _all(mode, factor=1.0):
    def happen(model):
        for target in model.targets.values():
            target.mode = mode
            target.factor = factor

    return happen


def _cut(numbers):
    def happen(model):
        model.cuts = {(number, BAD) for number in numbers(len(model.hosts))}

    return happen


def _nothing(model):
    """Let nothing happen."""


NONE = frozenset()
SCENARIOS = [
    Scenario("errors", _mode("errors")),
    Scenario("slow by 3", _mode("good", 3.0)),
    Scenario("slow by 10", _mode("good", 10.0)),
    Scenario("stall", _mode("stall")),
    Scenario("half answers", _mode("half")),
    Scenario("flapping", _mode("flap")),
    Scenario("cut from one host", _cut(lambda count: [0]), NONE),
    Scenario(
        "cut from one data centre", _cut(lambda count: range(0, count, CENTRES)), NONE
    ),
    Scenario("whole service slow by 5", _all("good", 5.0), NONE, 0.15),
    Scenario("dependency fails", _all("errors"), NONE),
    Scenario("nothing, load 0.1", _nothing, NONE, 0.1, LONG),
    Scenario("nothing, load 0.5", _nothing, NONE, 0.5, LONG),
    Scenario("nothing, load 0.9", _nothing, NONE, 0.9, LONG),
]


class Result(NamedTuple):
    """The figures of one run."""

    detect: list
    sent: int
    false: float
    low: int
    waste: float
    refused: float


def run_one(job):
    """Run one scenario with one kind of hosts and one seed."""
    shape, number, make_host, seed = job
    scenario = SCENARIOS[number]
    model = Model(shape._replace(load=scenario.load), make_host, seed, scenario.bad)
    end = ONSET + scenario.after
    model.run(end, [(ONSET, scenario.happen)])
    cut_hosts = {host for host, _ in model.cuts}
    watched = cut_hosts or range(len(model.hosts))
    false = sum(
        target not in scenario.bad
        for host in model.hosts
        for _, target in host.ejections
    )
    return Result(
        [_last_sent(model, host, end) for host in watched],
        sum(
            at >= ONSET and key == BAD and host in watched
            for at, host, key, _ in model.sent
        ),
        false * 3600 / end,
        model.lowest,
        (model.tries - model.whole) / model.requests,
        100 * model.refused / model.requests,
    )


def _last_sent(model, host, end):
    """Return how long a host gave the failing target ordinary work."""
    last = ONSET
    for at, sender, key, is_trial in model.sent:
        if sender == host and key == BAD and at > ONSET and not is_trial:
            last = at
    seconds = last - ONSET
    return float("inf") if last > end - 5.0 else seconds


def _merge(results):
    """Return the row of several seeds."""
    detect = [seconds for result in results for seconds in result.detect]
    return Result(
        detect,
        statistics.mean(result.sent for result in results),
        statistics.mean(result.false for result in results),
        min(result.low for result in results),
        statistics.mean(result.waste for result in results),
        statistics.mean(result.refused for result in results),
    )


def _seconds(value):
    return "-" if value == float("inf") else f"{value:.1f}"


def _row(name, who, scenario, row):
    median = _seconds(statistics.median_low(row.detect)) if scenario.bad else ""
    worst = _seconds(max(row.detect)) if scenario.bad else ""
    has_sent = scenario.bad or "cut" in scenario.name
    sent = f"{row.sent:.0f}" if has_sent else ""
    return (
        f"| {name} | {who} | {median} | {worst} | {sent} | {row.false:.0f} "
        f"| {row.low} | {row.waste:.2f} | {row.refused:.1f} |"
    )


def print_table(shape, pool):
    """Run all scenarios of one deployment and print its table."""
    jobs = [
        (shape, number, make_host, seed)
        for number in range(len(SCENARIOS))
        for make_host in (OurHost, NaiveHost)
        for seed in SEEDS
    ]
    found = dict(zip(jobs, pool.map(run_one, jobs, chunksize=1), strict=True))
    print(
        f"\n### {shape.name}: {shape.targets} targets of {shape.slots} slots, "
        f"floor {shape.floor}, {shape.hosts} hosts, {shape.weighing.value}\n"
    )
    print("| what | who | detect | worst | sent | false | low | waste | refused |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for number, scenario in enumerate(SCENARIOS):
        for make_host, who in ((OurHost, "ours"), (NaiveHost, "naive")):
            results = [found[shape, number, make_host, seed] for seed in SEEDS]
            print(_row(scenario.name, who, scenario, _merge(results)))
            sys.stdout.flush()


def main():
    """Print both tables."""
    with multiprocessing.Pool(PROCESSES) as pool:
        for shape in (ARCHIVE, SONORE):
            print_table(shape, pool)


if __name__ == "__main__":
    main()
