"""
When a draining host stops reading a connection with several requests: three ways.

    python -m plumsaddle_standins.seal_model

One caller sends requests at a steady interval, without waiting, and reads at a steady
pace. Its host gets SIGTERM. Requests behind the last one that the host reads are sent
again elsewhere, once the caller has read the response that closes the connection. All
is in virtual time; the ways are played on the same draws.
"""

import random
from typing import NamedTuple

# Seconds after SIGTERM: no further requests are read, and the process ends.
ACCEPT_TIME, END = 2.9, 5.8
# Seconds until a request that is sent again reaches another host, and of work.
RECONNECT, WORK = 0.024, 0.11
DEADLINE = 4.0
PACES = {"fast": 2_000_000.0, "slow": 40_000.0, "very slow": 15_000.0}
DRAWS = 2000


class Draw(NamedTuple):
    """One caller: `sent` are the times of its requests, from SIGTERM on."""

    sent: list
    sizes: list
    pace: float


class Result(NamedTuple):
    """
    What became of a caller's requests.

    `seconds` are those to each whole response, `cut` counts requests that ran and whose
    response was not received, `moved` those that were sent again.
    """

    seconds: list
    cut: int
    moved: int


def seal_at_first(at, waiting):
    """Seal with the first response after SIGTERM."""
    return True


def seal_at_end(at, waiting):
    """Seal when the host accepts no further requests."""
    return at >= ACCEPT_TIME


def seal_if_behind(at, waiting):
    """Seal when a response is ready before the caller has received those before it."""
    return waiting > 0 or at >= ACCEPT_TIME


WAYS = {f.__name__: f for f in (seal_at_first, seal_if_behind, seal_at_end)}


def draw(rng, pace):
    """Draw a caller with a reading pace in bytes a second."""
    interval = rng.uniform(0.02, 0.3)
    count = rng.randint(4, 30)
    start = rng.uniform(-count * interval, 2.5)
    sent = [start + number * interval for number in range(count)]
    return Draw(sent, [rng.choice((1000, 5000, 30_000)) for _ in sent], pace)


def play(caller, may_seal):
    """Return the `Result` of a caller with one of `WAYS`."""
    left, received, seconds = -10.0, -10.0, []
    cut = 0
    for number, (sent, size) in enumerate(zip(caller.sent, caller.sizes, strict=True)):
        left = max(left, sent + WORK)
        waiting = max(0.0, received - left) * caller.pace
        received = max(received, left) + size / caller.pace
        if received <= END:
            seconds.append(received - sent)
        else:
            cut += 1
        is_last = number + 1 == len(caller.sent) or caller.sent[number + 1] > left
        if left >= 0.0 and (is_last or may_seal(left, waiting)):
            return _finish(caller, number, left, received, seconds, cut)
    return Result(seconds, cut, 0)


def _finish(caller, number, sealed_at, received, seconds, cut):
    """Answer what was read when the connection was sealed, and move the others."""
    left, moved = sealed_at, 0
    requests = list(zip(caller.sent, caller.sizes, strict=True))[number + 1 :]
    for sent, size in requests:
        if not moved and sent <= sealed_at:
            left = max(left, sent + WORK)
            received = max(received, left) + size / caller.pace
            if received <= END:
                seconds.append(received - sent)
            else:
                cut += 1
            continue
        if not moved:
            told_at = min(received, END)
        moved += 1
        left = max(sent, told_at) + RECONNECT + WORK
        received = max(received, left) + size / caller.pace
        seconds.append(received - sent)
    return Result(seconds, cut, moved)


def compare(pace, seed, draws=DRAWS):
    """Return by way the mean seconds, and the shares in time, cut and moved."""
    rng = random.Random(seed)
    callers = [draw(rng, pace) for _ in range(draws)]
    total = sum(len(caller.sent) for caller in callers)
    rows = {}
    for name, way in WAYS.items():
        results = [play(caller, way) for caller in callers]
        seconds = [s for result in results for s in result.seconds]
        rows[name] = (
            sum(seconds) / len(seconds),
            sum(s <= DEADLINE for s in seconds) / total,
            sum(result.cut for result in results) / total,
            sum(result.moved for result in results) / total,
        )
    return rows


def main():
    """Print the comparison for each pace and three seeds."""
    for pace_name, pace in PACES.items():
        for seed in (1, 2, 3):
            for name, row in compare(pace, seed).items():
                mean, in_time, cut, moved = row
                print(
                    f"{pace_name:10} seed {seed} {name:15} {mean:6.3f} s"
                    f" in time {in_time:.4f} cut {cut:.4f} moved {moved:.4f}"
                )


if __name__ == "__main__":
    main()
