"""
What a workspace costs a host: to decode, to keep, and for each request of it.
"""

import random
import time

from plumsaddle_core.core.traffic import Workspace
from plumsaddle_core.limits.quotas import Quotas
from plumsaddle_core.ops.workspaces import index_keys, key_digest, read_key
from plumsaddle_hosts.platform.wire import decode_configuration

from .trial import configuration

# Workspaces of today's deployment, and of the size to come.
SIZES = (87, 120_000)
REQUESTS = 20_000
RATE = 80.0
KEYS = 2


def _key(number, which):
    return f"key-{number:06d}-{which:012d}"


def make_workspaces(count):
    """Return so many `Workspace`s with two keys each."""
    return [
        Workspace(
            f"w{number}",
            tuple(key_digest(_key(number, n).encode()) for n in range(KEYS)),
            RATE,
            RATE,
        )
        for number in range(count)
    ]


def index_workspaces(count):
    """Return workspaces by their keys, as a host keeps them."""
    return index_keys(make_workspaces(count))


def count_requests(count, shown):
    """
    Return the microseconds that the key and the count of one request take.

    Args:
      count: How many workspaces there are; each request is of one drawn at random.
      shown: Called with what is told of the requests a second.
    """
    workspaces = make_workspaces(count)
    index, _ = index_keys(workspaces)
    quotas = Quotas(data_centre_count=3)
    quotas.configure(workspaces, 0.0)
    rng = random.Random(1)
    asked = [rng.randrange(count) for _ in range(REQUESTS)]
    headers = [
        [(b"Host", b"records.example"), (b"Authorization", f"Bearer {key}".encode())]
        for key in (_key(number, 0) for number in asked)
    ]
    rows = 0
    spent = time.process_time()
    for turn, pairs in enumerate(headers):
        now = turn / 92.0
        quotas.acquire(index[key_digest(read_key(pairs))], now)
        if turn % 9 == 0:
            rows += len(quotas.local_rows(now))
        if turn % 92 == 0:
            quotas.tick(now)
    spent = time.process_time() - spent
    shown(rows / REQUESTS)
    return spent / REQUESTS * 1e6


def show_workspaces(slope_of, show):
    """
    Print the rows on workspaces.

    Args:
      slope_of: Called with a name, work by size, and two sizes.
      show: Called with a name, a unit, two values, and two sizes.
    """
    texts = {
        n: configuration(
            1,
            workspaces={
                f"w{number}": {
                    "api_keys": [_key(number, which) for which in range(KEYS)],
                    "rate_per_s": RATE,
                    "burst": RATE,
                }
                for number in range(n)
            },
        )
        for n in SIZES
    }
    slope_of("workspace decoded", lambda n: decode_configuration(texts[n]), SIZES)
    slope_of("workspace by its keys", index_workspaces, SIZES)
    show("workspace in a configuration", "B", *map(len, texts.values()), SIZES)
    rows = []
    micros = [count_requests(n, rows.append) for n in SIZES]
    print(f"| key and count of a request | {micros[0]:.1f}, {micros[1]:.1f} | us | |")
    print(f"| rows told of a request | {rows[0]:.2f}, {rows[1]:.2f} | | {SIZES} |")


def main():
    """Print only the rows on workspaces."""
    from .slopes import show, slope_of

    show_workspaces(slope_of, show)


if __name__ == "__main__":
    main()
