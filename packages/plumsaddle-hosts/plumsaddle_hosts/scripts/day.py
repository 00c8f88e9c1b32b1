"""
A day of all hosts in numbers, from their logs: what `plumsaddle report` draws.
"""

from collections import Counter, defaultdict
from typing import NamedTuple


class Day(NamedTuple):
    """
    Counts by second, from the first line on.

    `answers`, `refusals` and `retries` map a status, cause or reason to its counts by
    second. `targets` maps a target's id to the greatest probability of failing with
    which it got work in each second, or None where it got none. `versions` maps a host
    to pairs of second and version.
    """

    seconds: range
    answers: dict[str, list[int]]
    refusals: dict[str, list[int]]
    retries: dict[str, list[int]]
    targets: dict[str, list[float | None]]
    versions: dict[str, list[tuple[float, int]]]


def sum_up_day(events):
    """
    Sum up the events of a day.

    Args:
      events: A list of `Event` in the order of their times.
    Returns:
      A `Day`, or None if no request was answered or refused.
    """
    ends = [e for e in events if e.message in ("answered", "refused")]
    if not ends:
        return None
    begin = events[0].at
    seconds = range(int(events[-1].at - begin) + 1)
    answers, refusals, retries = (defaultdict(Counter) for _ in range(3))
    targets, versions = defaultdict(dict), defaultdict(list)
    for event in events:
        at, fields = int(event.at - begin), event.fields
        if event.message == "answered":
            answers[str(fields["status"])][at] += 1
        elif event.message == "refused":
            refusals[fields["cause"]][at] += 1
        elif event.message == "sent":
            beliefs = targets[fields["target"]]
            beliefs[at] = max(beliefs.get(at, 0.0), fields["fails"])
            if fields.get("retry"):
                retries[fields["retry"]][at] += 1
        elif event.message == "version":
            versions[event.host].append((event.at - begin, fields["version"]))
    return Day(
        seconds,
        *(_by_second(counts, seconds) for counts in (answers, refusals, retries)),
        {name: [b.get(s) for s in seconds] for name, b in sorted(targets.items())},
        dict(sorted(versions.items())),
    )


def _by_second(counts, seconds):
    return {name: [counts[name][s] for s in seconds] for name in sorted(counts)}
