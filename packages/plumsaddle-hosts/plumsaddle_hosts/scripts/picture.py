"""
A day's picture: answers, refusals and retries, targets, and versions by host.
"""

import math

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

WIDTH, HEIGHT = 12.0, 14.0
LEGEND_SIZE = 8


def draw_day(day, path):
    """
    Draw a day into a file.

    Args:
      day: The `Day`.
      path: The file's path; its ending decides the format.
    """
    figure = Figure(figsize=(WIDTH, HEIGHT), layout="constrained")
    FigureCanvasAgg(figure)
    answers, refusals, retries, targets, versions = figure.subplots(
        5, 1, sharex=True, height_ratios=(2, 2, 1, 3, 1)
    )
    _stack(answers, day.seconds, day.answers, "answers a second, by status")
    _stack(refusals, day.seconds, day.refusals, "refusals a second, by cause")
    _stack(retries, day.seconds, day.retries, "further sends a second, by reason")
    _draw_targets(figure, targets, day)
    _draw_versions(versions, day)
    versions.set_xlabel("seconds")
    figure.savefig(path)


def _stack(axes, seconds, counts, title):
    axes.set_title(title, loc="left")
    if counts:
        axes.stackplot(seconds, *counts.values(), labels=counts.keys(), step="post")
        axes.legend(loc="upper left", fontsize=LEGEND_SIZE, ncols=len(counts))


def _draw_targets(figure, axes, day):
    """Draw a row for each target; it is blank while the target has no work."""
    axes.set_title("targets: probability of failing at a send", loc="left")
    if not day.targets:
        return
    rows = [
        [math.nan if value is None else value for value in row]
        for row in day.targets.values()
    ]
    image = axes.imshow(
        rows,
        aspect="auto",
        interpolation="nearest",
        cmap="RdYlGn_r",
        vmin=0.0,
        vmax=0.7,
        extent=(0, len(day.seconds), len(rows), 0),
    )
    axes.set_ylabel("target")
    figure.colorbar(image, ax=axes)


def _draw_versions(axes, day):
    axes.set_title("version in force, one line a host", loc="left")
    for steps in day.versions.values():
        times = [at for at, _ in steps] + [len(day.seconds)]
        numbers = [version for _, version in steps] + [steps[-1][1]]
        axes.step(times, numbers, where="post", alpha=0.4)
