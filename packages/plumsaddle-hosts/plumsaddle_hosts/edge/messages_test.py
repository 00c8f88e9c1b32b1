"""
Messages between hosts of two releases.
"""

import msgspec

from plumsaddle_core.ops.peer_table import StoreStatus

from .messages import (
    DataCentreUpdate,
    Heartbeat,
    HostUpdate,
    LimitFields,
    RunFields,
    decode_data_centre_update,
    decode_host_update,
    encode,
)


class FormerHostUpdate(msgspec.Struct, array_like=True, tag="w"):
    """`HostUpdate` before it carried draining notices."""

    host: str
    address: str
    incarnation: int
    number: int
    in_flight: dict[int, int]
    outcomes: list
    counts: dict
    heartbeat: Heartbeat | None = None
    run_records: list[RunFields] = []
    quotas: list = []
    limits: list[LimitFields] = []


class FormerDataCentreUpdate(msgspec.Struct, array_like=True, tag="f"):
    """`DataCentreUpdate` before it carried draining notices."""

    host: str
    incarnation: int
    data_centre: str
    evidence: list
    used_tags: list[int]
    is_forwarded: bool = False
    run_records: list[RunFields] = []
    limits: list[LimitFields] = []


LIMITS = [("t1", 3, 2.5)]


def test_hosts_of_the_former_release_read_updates_with_draining_notices():
    """Guards against a fleet that falls silent while it is upgraded."""
    update = HostUpdate(
        "h1", "1.2.3.4:5", 6, 7, {8: 9}, [], {}, limits=LIMITS, draining=["t1", "t2"]
    )
    former = msgspec.msgpack.decode(encode(update), type=FormerHostUpdate)
    assert (former.host, former.number, former.limits) == ("h1", 7, LIMITS)
    remote = DataCentreUpdate("h1", 6, "x", [], [8], False, [], LIMITS, ["t1"])
    former = msgspec.msgpack.decode(encode(remote), type=FormerDataCentreUpdate)
    assert (former.data_centre, former.limits) == ("x", LIMITS)


def test_updates_of_the_former_release_are_read():
    """Guards against a fleet that falls silent while it is upgraded."""
    former = FormerHostUpdate("h1", "1.2.3.4:5", 6, 7, {8: 9}, [], {}, limits=LIMITS)
    update = decode_host_update(msgspec.msgpack.encode(former))
    assert (update.limits, update.draining) == (LIMITS, [])
    former = FormerDataCentreUpdate("h1", 6, "x", [], [8], limits=LIMITS)
    remote = decode_data_centre_update(msgspec.msgpack.encode(former))
    assert (remote.limits, remote.draining) == (LIMITS, [])


class FormerHeartbeat(msgspec.Struct, array_like=True):
    """`Heartbeat` before it told whether its host is a gateway."""

    link_rate: float
    store_status: StoreStatus
    read_offsets: dict
    recovery_age: float
    members: list[str] = []
    remote_hosts: dict = {}


def test_heartbeats_of_both_releases_are_read_by_the_other():
    """Guards against hosts of the former release that are asked for connections."""
    heartbeat = Heartbeat(1.0, StoreStatus.READING, {}, 0.0, ["a"], {}, True)
    former = msgspec.msgpack.decode(encode(heartbeat), type=FormerHeartbeat)
    assert former.members == ["a"]
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(former), type=Heartbeat)
    assert not read.is_gateway
    update = DataCentreUpdate("h1", 6, "x", [], [8], gateways=["1.2.3.4:5"])
    assert decode_data_centre_update(encode(update)).gateways == ["1.2.3.4:5"]
