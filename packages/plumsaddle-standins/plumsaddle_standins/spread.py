"""
How long an accepted version takes to be in force on every host, in virtual time.

Hosts exchange with three random others each second, and at once when they have a new
version, but not more often than five times a second. With the log well, each host's
waiting read returns; with the log gone right after the append, one host has read the
record and the others get it by exchange only.
"""

import heapq
import itertools
import random
import statistics

EVERY = 1.0
URGENT_PAUSE = 0.2
FANOUT = 3
HOP = 0.008
CALLS = 2  # A swap that shows the newer version, then the fetch of it.


def spread(hosts, seed, is_log_well):
    """
    Return the seconds after which each host has the version.

    Args:
      hosts: The number of hosts.
      seed: The run's seed.
      is_log_well: Whether hosts can read the log after the append.
    """
    rng = random.Random(seed)
    if is_log_well:
        return [2 * HOP * rng.uniform(0.5, 1.5) for _ in range(hosts)]
    count = itertools.count()
    events = [(rng.random() * EVERY, next(count), n, True) for n in range(hosts)]
    events.append((0.0, next(count), 0, False))
    heapq.heapify(events)
    has_at = {0: 0.0}
    while len(has_at) < hosts:
        now, _, number, is_regular = heapq.heappop(events)
        if is_regular:
            at = now + EVERY * rng.uniform(0.9, 1.1)
            heapq.heappush(events, (at, next(count), number, True))
        for other in rng.sample(range(hosts), FANOUT):
            one, two = (number, other) if number in has_at else (other, number)
            if has_at.get(one, now + 1) <= now and two not in has_at:
                at = now + 2 * HOP * CALLS
                has_at[two] = at
                urgent = at + URGENT_PAUSE * rng.random()
                heapq.heappush(events, (urgent, next(count), two, False))
    return sorted(has_at.values())


def main():
    """Print a table of the median and worst host over some seeds."""
    print("| hosts | log | median s | worst s |")
    print("| --- | --- | --- | --- |")
    for hosts, is_well in itertools.product((44, 1200), (True, False)):
        runs = [spread(hosts, seed, is_well) for seed in range(20)]
        median = statistics.median(t for run in runs for t in run)
        worst = max(max(run) for run in runs)
        word = "well" if is_well else "gone after the append"
        print(f"| {hosts} | {word} | {median:.2f} | {worst:.2f} |")


if __name__ == "__main__":
    main()
