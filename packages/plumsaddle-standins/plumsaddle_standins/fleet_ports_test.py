"""
Tests of the ports that the stand-ins listen on.
"""

import socket

import pytest

from . import fleet


class _Drawn:
    """A generator that draws what it is told."""

    def __init__(self, *numbers):
        self._numbers = list(numbers)

    def randrange(self, *bounds):
        return self._numbers.pop(0)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_somebody_listens_on_is_not_given(kind, monkeypatch):
    """
    A test fails now and then when two runs go on side by side.

    Hosts take datagrams at the port that they were given, and the other run's host
    already did: only connections had been looked for.
    """
    with socket.socket(type=kind) as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        free = fleet.free_ports(1)[0]
        fleet.GIVEN.discard(free)
        monkeypatch.setattr(fleet, "PORTS", _Drawn(port, free))
        assert fleet.free_ports(1) == [free]
