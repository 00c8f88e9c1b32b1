"""
The picture of a run of the lab: what callers saw by second, and how long it took.
"""

import statistics
from collections import Counter, defaultdict

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

WIDTH, HEIGHT = 10.0, 7.0
FEWEST = 2


def draw_load(ended, path):
    """
    Draw ends by status and the times of whole answers into a file.

    Args:
      ended: A list of `Ended`.
      path: The file's path; its ending decides the format.
    """
    figure = Figure(figsize=(WIDTH, HEIGHT), layout="constrained")
    FigureCanvasAgg(figure)
    counts, times = figure.subplots(2, 1, sharex=True)
    seconds = range(int(max(end.started for end in ended)) + 1)
    by_status = defaultdict(Counter)
    by_second = defaultdict(list)
    for end in ended:
        by_status[str(end.status)][int(end.started)] += 1
        if end.status == 200:
            by_second[int(end.started)].append(1000 * end.seconds)
    rows = {word: [by_status[word][s] for s in seconds] for word in sorted(by_status)}
    counts.stackplot(seconds, *rows.values(), labels=rows.keys(), step="post")
    counts.set_title(
        "requests by the second in which they began, by status", loc="left"
    )
    counts.legend(loc="lower left")
    known = [s for s in seconds if len(by_second[s]) >= FEWEST]
    cuts = {s: statistics.quantiles(by_second[s], n=100) for s in known}
    times.plot(known, [cuts[s][49] for s in known], label="median")
    times.plot(known, [cuts[s][98] for s in known], label="99 of 100")
    times.set_title("whole answers, milliseconds", loc="left")
    times.set_xlabel("seconds")
    times.set_ylim(bottom=0)
    times.legend(loc="upper left")
    figure.savefig(path)
