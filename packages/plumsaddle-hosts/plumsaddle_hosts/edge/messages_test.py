"""
Messages between hosts of two releases.
"""

import msgspec

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
