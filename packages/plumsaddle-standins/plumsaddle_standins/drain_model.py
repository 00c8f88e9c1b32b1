"""
How long a draining host awaits bodies that still arrive: three ways.

    python -m plumsaddle_standins.drain_model

Callers upload in pieces, some of them with a pause, while their host is stopped. An
upload that is refused is sent again to another host, if its caller's deadline leaves
time for it. All is in virtual time; the ways are played on the same draws.
"""

import random
from typing import NamedTuple

from plumsaddle_core.ops.draining import BodyProgress, latest_start

# Seconds after SIGTERM at which remaining requests are refused.
END = 5.7
DEADLINE = 4.0
# Median seconds of work, and its spread as the sigma of a lognormal.
WORK, SPREAD = 0.36, 0.35
RECONNECT = 0.024
PIECES = 30
# Seconds of a body that show its pace.
MIN_PACE_TIME = 0.5
DRAWS = 5000


class Upload(NamedTuple):
    """One upload: `arrivals` are the times of its pieces, from SIGTERM on."""

    began: float
    arrivals: list
    piece: int
    work: float

    @property
    def seconds(self):
        """How long its body takes to arrive."""
        return self.arrivals[-1] - self.began


def await_until_end(progress, start_by, at):
    """Await each body until the host ends."""
    return True


def await_until_latest_start(progress, start_by, at):
    """Refuse what has not arrived when it can't be served in time any more."""
    return at <= start_by


def refuse_by_pace(progress, start_by, at):
    """Refuse what will not have arrived by then at its pace."""
    is_known = progress.seconds >= MIN_PACE_TIME
    return at + (progress.time_left() if is_known else 0.0) <= start_by


WAYS = {
    f.__name__: f for f in (await_until_end, await_until_latest_start, refuse_by_pace)
}


def draw(rng):
    """Draw an upload."""
    began = rng.uniform(-1.0, 2.9)
    size = rng.choice((30_000, 60_000, 300_000, 500_000))
    pace = 10 ** rng.uniform(4.7, 6.3)
    pause_at = rng.randrange(PIECES) if rng.random() < 0.3 else None
    at, arrivals = began, []
    for number in range(PIECES):
        at += size / PIECES / pace
        if number == pause_at:
            at += rng.uniform(0.2, 1.5)
        arrivals.append(at)
    return Upload(began, arrivals, size // PIECES, WORK * rng.lognormvariate(0, SPREAD))


def play(upload, may_wait):
    """Return what became of an upload, and when: `served`, `moved`, `late` or `cut`."""
    start_by = latest_start(END, WORK)
    if may_wait is await_until_end:
        start_by = END
    for number, at in enumerate(upload.arrivals, 1):
        if at > start_by:
            return _move(upload, start_by)
        length = upload.piece * PIECES
        progress = BodyProgress(upload.piece * number, length, at - upload.began)
        if at > 0.0 and not may_wait(progress, start_by, at):
            return _move(upload, at)
    done = upload.arrivals[-1] + upload.work
    if done > END:
        return "cut", END
    return ("served" if done <= upload.began + DEADLINE else "late"), done


def _move(upload, refused_at):
    """Send a refused upload again, if its deadline leaves time."""
    done = max(refused_at, upload.began) + RECONNECT + upload.seconds + upload.work
    return ("moved" if done <= upload.began + DEADLINE else "late"), done


def compare(seed, draws=DRAWS):
    """Return by way the shares of outcomes, and the mean seconds of those in time."""
    rng = random.Random(seed)
    uploads = [draw(rng) for _ in range(draws)]
    rows = {}
    for name, way in WAYS.items():
        results = [(play(upload, way), upload.began) for upload in uploads]
        words = [word for (word, _), _ in results]
        seconds = [at - b for (word, at), b in results if word in ("served", "moved")]
        rows[name] = {
            word: words.count(word) / draws
            for word in ("served", "moved", "late", "cut")
        }
        rows[name]["seconds"] = sum(seconds) / len(seconds)
    return rows


def main():
    """Print the comparison for three seeds."""
    for seed in (1, 2, 3):
        for name, row in compare(seed).items():
            cells = "  ".join(f"{key} {value:.4f}" for key, value in row.items())
            print(f"seed {seed}  {name:25} {cells}")


if __name__ == "__main__":
    main()
