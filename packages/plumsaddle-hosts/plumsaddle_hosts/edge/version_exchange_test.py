"""
Tests of getting a version of the configuration from another host.
"""

import os
import random

import msgspec
import pytest

from plumsaddle_core.ops.version_reports import ARRIVAL_GRACE

from .messages import VersionPart, VersionRequest, decode
from .version_exchange import PART_SIZE, REQUEST_TIMEOUT, VersionExchange


class State:
    """The configuration of one host, as the exchange uses it."""

    def __init__(self, version=0, data=b""):
        self.version, self.cfg_data = version, data

    def apply_first_version(self, at):
        pass

    def apply_received_version(self, data):
        self.version, _, self.cfg_data = data.partition(b" ")
        self.version = int(self.version)


# Random bytes, which don't shrink: several parts.
LONG = b"7 " + os.urandom(3 * PART_SIZE)


class Pair:
    """Host `a`, which has no version, and host `b`, which has one of several parts."""

    def __init__(self):
        self.sent = []
        self.asking = self._make(State())
        self.answering = self._make(State(7, LONG))

    def _make(self, state):
        return VersionExchange(state, self._send, random.Random(1), lambda *args: None)

    def _send(self, data, address):
        self.sent.append((decode(data), address))

    def deliver(self, at, loses=lambda message: False):
        """Deliver messages until none is left, but for those that get lost."""
        while self.sent:
            message, _ = self.sent.pop(0)
            if loses(message):
                continue
            if isinstance(message, VersionRequest):
                self.answering.answer(message, "a")
            else:
                self.asking.add_part(message, "b", at)

    @property
    def received(self):
        return self.asking._knowledge.cfg_data


def test_a_version_of_several_parts_is_received():
    pair = Pair()
    pair.asking.note_report("b", 7, 0.0)
    pair.deliver(0.0)
    assert pair.received == LONG[2:]
    assert pair.asking.own_version == 7
    pair.asking.tick(5.0)
    assert not pair.sent


@pytest.mark.parametrize("lost", [VersionRequest, VersionPart])
def test_a_lost_message_is_made_up_for(lost):
    """Guards against a host that waits for good for a part of a version."""
    pair = Pair()
    pair.asking.note_report("b", 7, 0.0)
    pair.deliver(0.0, lambda message: isinstance(message, lost) and message.part == 1)
    assert not pair.received
    pair.asking.tick(REQUEST_TIMEOUT / 2)
    assert not pair.sent
    pair.asking.tick(REQUEST_TIMEOUT)
    pair.deliver(REQUEST_TIMEOUT)
    assert pair.received == LONG[2:]


def test_parts_of_different_versions_are_not_mixed():
    """Guards against a configuration that no operator has published."""
    pair = Pair()
    pair.asking.note_report("b", 7, 0.0)
    newer = State(8, b"8 " + os.urandom(2 * PART_SIZE))

    def publish(message):
        if isinstance(message, VersionRequest) and message.part == 2:
            pair.answering._knowledge = newer
        return False

    pair.deliver(0.0, publish)
    assert pair.asking.own_version == 8
    assert pair.received == newer.cfg_data[2:]


def test_parts_that_nobody_asked_for_are_ignored():
    """Guards against versions that a late or forged datagram brings."""
    pair = Pair()
    pair.asking.add_part(VersionPart(9, 0, 1, b"x"), "b", 0.0)
    pair.asking.note_report("b", 7, 0.0)
    pair.asking.add_part(VersionPart(9, 0, 1, b"x"), "c", 0.0)
    assert not pair.received
    with pytest.raises(msgspec.DecodeError):
        pair.asking.add_part(VersionPart(9, 0, 1, b"x"), "b", 0.0)
    assert not pair.received


def test_hosts_that_do_not_tell_their_version_are_not_asked():
    """Guards against messages that hosts of a former release cannot decode."""
    pair = Pair()
    pair.asking.note_report("b", None, 0.0)
    pair.asking.tick(ARRIVAL_GRACE)
    assert not pair.sent
