"""
Two sets of plays of the users' bench, paired and compared.

    python -m plumsaddle_standins.pairs "hedges at 2.2" "hedges at 1.5" journal/*.json

reads entries of its journal, takes those whose `why` holds the one text or the other,
and pairs plays of the same deployment, day and seed. It prints for each pair the worth,
and over all pairs the mean difference of worth, of its parts, of each price and of what
is served by kind, with the interval of 95 of 100 and how many pairs it takes to tell a
hundredth.
"""

import json
import math
import statistics
import sys
from typing import NamedTuple

import fire

from plumsaddle_hosts.scripts.common import DONE, NOT_KNOWN, fail, say

# The difference of worth that a comparison should be able to tell.
TOLD_APART = 0.01
# Standard errors that an interval of 95 of 100 reaches to either side, by the number of
# pairs less one; beyond these the normal distribution's.
REACH = {
    1: 12.71,
    2: 4.30,
    3: 3.18,
    4: 2.78,
    5: 2.57,
    6: 2.45,
    7: 2.36,
    8: 2.31,
    9: 2.26,
}
REACH_MANY = 2.0


class Play(NamedTuple):
    """One day that was played: what tells it from others, and its figures by name."""

    site: str
    day: str
    seed: int
    is_small: bool
    figures: dict[str, float]

    @property
    def key(self):
        """What two plays of one pair have in common."""
        return self.site, self.day, self.seed, self.is_small


class Difference(NamedTuple):
    """The mean difference of a figure over pairs, half its interval, and the pairs."""

    name: str
    mean: float
    reach: float
    spread: float


def read_plays(texts, why):
    """
    Return the `Play`s of journal entries whose `why` holds a text.

    Args:
      texts: The entries, each as the bench has written it.
      why: The text.
    """
    plays = []
    for text in texts:
        entry = json.loads(text)
        if why not in (entry.get("why") or ""):
            continue
        is_small = "--small" in (entry.get("argv") or ())
        plays += [
            Play(entry["site"], day["name"], day["seed"], is_small, _figures(day))
            for day in entry.get("days") or ()
            if day.get("G") is not None
        ]
    return plays


def _figures(day):
    """Return a day's figures by name; prices are taken off, so they are below zero."""
    figures = {"worth": day["G"], "served": day["served"], "refused": day["refused"]}
    figures["rules broken"] = float(len(day.get("rules") or ()))
    figures |= {f"part {row[0]}": row[2] for row in day.get("parts") or ()}
    figures |= {f"price {row[0]}": -row[2] for row in day.get("prices") or ()}
    kinds = enumerate(day.get("by_class") or ())
    return figures | {f"kind {n}": worth for n, worth in kinds if worth is not None}


def pair(before, after):
    """Return pairs of `Play`s with the same key; later plays replace earlier ones."""
    others = {play.key: play for play in after}
    firsts = {play.key: play for play in before}
    return [(play, others[key]) for key, play in firsts.items() if key in others]


def compare(pairs):
    """Return a `Difference` for each figure that all plays of the pairs have."""
    names = [
        name
        for name in pairs[0][0].figures
        if all(name in play.figures for both in pairs for play in both)
    ]
    return [_compare(name, pairs) for name in names]


def _compare(name, pairs):
    gaps = [after.figures[name] - before.figures[name] for before, after in pairs]
    spread = statistics.stdev(gaps) if len(gaps) > 1 else math.inf
    reach = REACH.get(len(gaps) - 1, REACH_MANY) * spread / math.sqrt(len(gaps))
    return Difference(name, statistics.fmean(gaps), reach, spread)


def pairs_needed(spread):
    """Return how many pairs it takes to tell a hundredth of worth apart, or None."""
    if math.isinf(spread):
        return None
    return max(2, math.ceil((REACH_MANY * spread / TOLD_APART) ** 2))


def tell_pairs(pairs):
    """Return the lines that tell of pairs of plays."""
    lines = [
        f"{before.site} {before.day}{' small' if before.is_small else ''} "
        f"{before.seed}: {before.figures['worth']:.3f} {after.figures['worth']:.3f}"
        for before, after in pairs
    ]
    for found in compare(pairs):
        if found.mean or found.name == "worth":
            lines.append(f"{found.name}: {found.mean:+.4f} +- {found.reach:.4f}")
            if found.name == "worth":
                needed = pairs_needed(found.spread)
                lines.append(f"pairs to tell {TOLD_APART}: {needed}, here {len(pairs)}")
    return lines


def main(before, after, *journal):
    """
    Compare two sets of plays.

    Args:
      before: A text that the `why` of the one set's entries holds.
      after: The same of the other set's.
      journal: The files of the entries.
    """
    texts = []
    for path in journal:
        with open(path, encoding="utf-8") as file:
            texts.append(file.read())
    pairs = pair(read_plays(texts, str(before)), read_plays(texts, str(after)))
    if not pairs:
        fail("No play of the one set has a play of the other.", NOT_KNOWN)
    for line in tell_pairs(pairs):
        say(line)
    sys.exit(DONE)


if __name__ == "__main__":
    fire.Fire(main)
