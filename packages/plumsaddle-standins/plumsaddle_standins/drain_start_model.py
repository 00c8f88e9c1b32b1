"""
Which requests a draining host still begins: five ways.

    python -m plumsaddle_standins.drain_start_model

Requests arrive until the host's listener closes. One that is refused is sent again to
another host, which one time in ten is draining as well. The host knows the durations of
none or some of a route's former requests. All is in virtual time; the ways are played
on the same draws.
"""

import random
import statistics
from typing import NamedTuple

from plumsaddle_core.ops.draining import (
    REFUSAL_TIME,
    UNKNOWN_SHARE,
    Durations,
    latest_send,
    latest_start,
)
from plumsaddle_core.ops.route_times import DEFAULT_DURATION, MIN_SAMPLES

# Seconds before the end of the grace period at which remaining requests are refused.
MARGIN = 0.3
LISTEN_TIME = 3.2
RECONNECT = 0.024
RETRY_AFTER = 0.05
ALSO_DRAINING = 0.1
# The share of requests that may be repeated if they are cut.
REPEATABLE = 0.5
DRAWS = 4000


class Route(NamedTuple):
    """Median seconds of work, its spread as the sigma of a lognormal, and the limit."""

    work: float
    spread: float
    timeout: float


class Request(NamedTuple):
    """
    One request. Times are in seconds from SIGTERM on.

    `samples` are the known durations of its route, `moves` how often it is refused
    before a host serves it.
    """

    at: float
    work: float
    deadline: float
    samples: list
    moves: int
    is_repeatable: bool


ROUTES = {
    "short": Route(0.3, 0.35, 1.5),
    "half": Route(1.0, 0.2, 1.5),
    "long": Route(3.6, 0.2, 8.0),
    "wide": Route(0.8, 0.8, 6.0),
}


def _durations(request):
    """Return what a host knows, of a route without others in its service."""
    is_known = len(request.samples) >= MIN_SAMPLES
    typical = statistics.median(request.samples) if is_known else DEFAULT_DURATION
    return Durations(typical, max(request.samples, default=0.0), is_known)


def by_typical_duration(request, end):
    """Twice the typical duration, of which a default is assumed."""
    return latest_start(end, _durations(request).typical)


def by_time_left(request, end):
    """Whatever the request may take until its deadline."""
    return end - max(REFUSAL_TIME, request.deadline - request.at)


def by_longest(request, end):
    """The longest recent duration, or else most of the time left."""
    durations, left = _durations(request), request.deadline - request.at
    need = durations.longest if durations.is_known else UNKNOWN_SHARE * left
    return end - max(REFUSAL_TIME, min(left, need))


def by_latest_send(request, end):
    """As hosts do it: some more than the longest."""
    return latest_send(end, request.deadline, _durations(request))


def by_repeatability(request, end):
    """As hosts do it, but by the typical duration for what may be repeated."""
    way = by_typical_duration if request.is_repeatable else by_latest_send
    return way(request, end)


WAYS = (
    by_typical_duration,
    by_time_left,
    by_longest,
    by_latest_send,
    by_repeatability,
)


def draw(rng, route, grace, count):
    """Draw a request that arrives while the host listens."""
    at = rng.uniform(0.0, min(LISTEN_TIME, grace - MARGIN))
    samples = [route.work * rng.lognormvariate(0, route.spread) for _ in range(count)]
    work = route.work * rng.lognormvariate(0, route.spread)
    moves = 1
    while rng.random() < ALSO_DRAINING:
        moves += 1
    deadline = at + route.timeout * rng.uniform(0.8, 1.0)
    return Request(at, work, deadline, samples, moves, rng.random() < REPEATABLE)


def play(request, way, end):
    """
    Return what became of a request, and when.

    It is `served` here, `moved`, `late`, or `cut` while a target worked. One that is
    cut and may be repeated is sent again.
    """
    if request.at > way(request, end):
        return _send_elsewhere(request, request.at, request.moves)
    done = request.at + request.work
    if min(done, request.deadline) > end:
        if not request.is_repeatable:
            return "cut", end
        return _send_elsewhere(request, end, 1)
    return ("served" if done <= request.deadline else "late"), done


def _send_elsewhere(request, at, moves):
    done = at + moves * (RETRY_AFTER + RECONNECT) + request.work
    return ("moved" if done <= request.deadline else "late"), done


def compare(seed, route, grace, count, draws=DRAWS):
    """Return by way the shares of outcomes, and the mean seconds of those in time."""
    rng = random.Random(seed)
    requests = [draw(rng, route, grace, count) for _ in range(draws)]
    rows = {}
    for way in WAYS:
        results = [
            (play(request, way, grace - MARGIN), request) for request in requests
        ]
        words = [word for (word, _), _ in results]
        seconds = [
            at - request.at
            for (word, at), request in results
            if word in ("served", "moved")
        ]
        names = ("served", "moved", "late", "cut")
        row = {name: words.count(name) / draws for name in names}
        row["seconds"] = sum(seconds) / max(1, len(seconds))
        rows[way.__name__] = row
    return rows


def main():
    """Print the comparison for routes, numbers of samples, graces and three seeds."""
    for name, route in ROUTES.items():
        for count in (0, 3, 8, 48):
            for grace in (2.0, 3.0, 4.0, 6.0):
                for seed in (1, 2, 3):
                    for way, row in compare(seed, route, grace, count).items():
                        cells = "  ".join(f"{key} {row[key]:.4f}" for key in row)
                        case = f"{name}, {count} samples, grace {grace}, seed {seed}"
                        print(f"{case}  {way:20} {cells}")


if __name__ == "__main__":
    main()
