"""
Tests of which connection makes room for a new one.
"""

import pytest

from .caller_table import ACCEPT_BATCH, CallerState, CallerTable, max_connections


@pytest.mark.parametrize(
    "states, picked",
    [
        ("waiting waiting serving", 0),
        ("serving waiting closing", 2),
        ("receiving serving waiting", 2),
        ("serving receiving receiving", 1),
        ("serving arrived receiving", 2),
        ("serving arrived serving", "new"),
        ("undelivered serving waiting", 2),
        ("undelivered serving arrived", 0),
        ("unread serving receiving", 2),
        ("unread serving waiting", 2),
    ],
)
def test_no_request_that_has_arrived_makes_room(states, picked):
    """Guards against ordinary requests that are cut for hostile connections."""
    names = states.split()
    table = CallerTable(
        lambda conn: conn != "new" and names[conn] == "arrived",
        lambda conn: names[conn] not in ("undelivered", "unread"),
    )
    known = {"arrived": "receiving", "undelivered": "closing", "unread": "waiting"}
    for number, name in enumerate(names):
        table.add(number)
        table.note(number, CallerState(known.get(name, name)))
    table.add("new")
    assert table.pick("new") == picked
    for conn in (*range(len(names)), "new", "new"):
        table.remove(conn)
        table.note(conn, CallerState.WAITING)
    assert not len(table)


def test_callers_leave_descriptors_to_everything_else():
    """Guards against a host that can't reach its targets for hostile connections."""
    assert max_connections(256) + ACCEPT_BATCH == 128
    assert max_connections(4100) > 2500
    assert max_connections(10) == 1
