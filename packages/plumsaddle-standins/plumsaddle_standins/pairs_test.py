"""
Tests of comparing two sets of plays.
"""

import json

import pytest

from .pairs import compare, main, pair, pairs_needed, read_plays


def _entry(why, worth, seed=1, argv=(), **more):
    day = {
        "name": "calm",
        "seed": seed,
        "G": worth,
        "served": 0.9,
        "refused": 0.0,
        "rules": [],
        "parts": [["whole day", 0.35, (worth or 0.0) + 0.1]],
        "prices": [["calls", 100.0, 0.1 - (worth or 0.0) / 10]],
        "by_class": [worth, None],
        **more,
    }
    return json.dumps({"why": why, "argv": list(argv), "site": "s", "days": [day]})


TEXTS = [
    _entry("trial: one", 0.50),
    _entry("trial: one", 0.60, seed=2),
    _entry("trial: one", 0.90, seed=3),
    _entry("trial: two", 0.52),
    _entry("trial: two", 0.64, seed=2),
    _entry("trial: two", 0.70, seed=3, argv=["--small"]),
    _entry("trial: two", None, seed=3),
    json.dumps({"why": "trial: one", "site": "s", "days": None}),
]


def test_plays_are_paired_by_site_day_seed_and_size():
    pairs = pair(read_plays(TEXTS, "one"), read_plays(TEXTS, "two"))
    assert [before.seed for before, _ in pairs] == [1, 2]
    found = {difference.name: difference for difference in compare(pairs)}
    assert found["worth"].mean == pytest.approx(0.03)
    assert found["part whole day"].mean == pytest.approx(0.03)
    assert found["price calls"].mean == pytest.approx(0.003)
    assert found["kind 0"].mean == pytest.approx(0.03)
    assert "kind 1" not in found
    assert found["worth"].reach > 0.03


def test_pairs_needed_grow_with_the_spread():
    assert pairs_needed(0.001) == 2
    assert pairs_needed(0.05) == 100
    assert pairs_needed(float("inf")) is None


def test_the_command_tells_both_worths(tmp_path, capsys):
    paths = []
    for number, text in enumerate(TEXTS):
        paths.append(tmp_path / f"{number}.json")
        paths[-1].write_text(text)
    with pytest.raises(SystemExit):
        main("one", "two", *map(str, paths))
    out = capsys.readouterr().out.splitlines()
    assert out[0] == "s calm 1: 0.500 0.520"
    assert any(line.startswith("worth: +0.0300 +- ") for line in out)
