"""
Tests of the platform's routes against a naive search.
"""

import random
from collections import Counter

from hypothesis import given, strategies as st

from ..core.traffic import RequestKind, Route, Share
from .route_table import build_route_table, choose_service, find_route

PARTS = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=4)


ONE_SERVICE = (Share("s", 1.0),)


def _route(prefix, shares=ONE_SERVICE):
    kind = RequestKind.IDEMPOTENT
    return Route(prefix, "Records.Example", prefix, kind, shares, 2, 1.0, 1.0, 0)


def _prefix(parts):
    return "/" + "".join(f"{part}/" for part in parts)


@given(prefixes=st.lists(PARTS, max_size=8), path=PARTS, end=st.sampled_from(["", "c"]))
def test_the_longest_prefix_wins(prefixes, path, end):
    routes = [_route(_prefix(parts)) for parts in prefixes]
    wanted = _prefix(path) + end
    naive = [route.prefix for route in routes if wanted.startswith(route.prefix)]
    found = find_route(
        build_route_table(routes), "records.example:80", wanted + "?q=/a/"
    )
    assert (found.prefix if found else None) == max(naive, key=len, default=None)


def test_other_hosts_have_no_route():
    table = build_route_table([_route("/")])
    assert find_route(table, "other.example", "/") is None
    assert find_route(table, "", "/") is None


def test_shares_follow_their_weights():
    route = _route("/", (Share("a", 90.0), Share("b", 10.0), Share("c", 0.0)))
    rng = random.Random(1)
    counts = Counter(choose_service(route, rng) for _ in range(5000))
    assert counts["c"] == 0
    assert abs(counts["b"] / 5000 - 0.1) < 0.02
