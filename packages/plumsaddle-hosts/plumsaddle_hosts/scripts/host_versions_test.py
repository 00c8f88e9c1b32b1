"""
Tests of what the log of a host tells about its versions.
"""

from .events import Event
from .host_versions import tell_host_versions


def test_versions_and_restored_stores_are_told_in_order():
    restored = {
        "topic": "keyed.op",
        "era": 2,
        "at": 7,
        "former_era": 1,
        "former": 10,
    }
    events = [
        Event(100.0, "h1", "store", "host started", {}),
        Event(100.5, "h1", "store", "version", {"version": 21, "former": None}),
        Event(101.0, "h2", "store", "version", {"version": 24, "former": 21}),
        Event(102.0, "h1", "store", "store restored", restored),
        Event(
            103.25,
            "h1",
            "store",
            "version",
            {"version": 24, "former": 21, "source": "host"},
        ),
    ]
    assert tell_host_versions(events, "h1") == [
        "+0.500 s version 21 in force (was none), from the store",
        "+2.000 s keyed.op listed again in era 2 (was 1), at 7 (was 10)",
        "+3.250 s version 24 in force (was 21), from the host",
    ]
