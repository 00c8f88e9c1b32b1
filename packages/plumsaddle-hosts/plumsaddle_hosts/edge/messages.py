"""
The datagrams that hosts tell each other, and their codec.
"""

from typing import Annotated

import msgspec

from plumsaddle_core.ops.news import (
    Counts,
    Evidence,
    FarLoad,
    FarNews,
    OutcomeNote,
    PeerNews,
    Sign,
)

# What other hosts say is checked as it is decoded: one bad number in a message would
# otherwise spoil sums and beliefs for good.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86400.0)]
Ratio = Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]


class Hello(msgspec.Struct, array_like=True, tag="h"):
    """A host that looks for the others of its data centre."""

    host: str
    centre: str
    address: str


class Members(msgspec.Struct, array_like=True, tag="m"):
    """Addresses of hosts of the asker's data centre, and of some in each other one."""

    addresses: list[str]
    strangers: dict[str, list[str]] = {}


class Work(msgspec.Struct, array_like=True, tag="w"):
    """
    A host's work in flight and its last outcomes.

    A beat also names members, some hosts of other data centres, and how far the host
    has read each topic of the store.
    """

    host: str
    life: Count
    number: Count
    in_flight: dict[str, Count]
    outcomes: list[tuple[Count, str, str, str, Sign, Seconds]]
    counts: dict[str, tuple[Count, Count, Count, Count]]
    members: list[str] = []
    read: dict[str, Count] = {}
    strangers: dict[str, list[str]] = {}


class Far(msgspec.Struct, array_like=True, tag="f"):
    """What hosts of other data centres are told; passed on once in each of them."""

    host: str
    life: Count
    centre: str
    evidence: list[tuple[Count, str, Ratio]]
    used: list[str]
    is_passed_on: bool = False


class Load(msgspec.Struct, array_like=True, tag="l"):
    """What all hosts of a data centre have in flight, by tag of target."""

    centre: str
    host: str
    life: Count
    number: Count
    counts: dict[int, Count]
    is_passed_on: bool = False


decode = msgspec.msgpack.Decoder(Hello | Members | Work | Far | Load).decode
encode = msgspec.msgpack.Encoder().encode


def news_of(work):
    """Return the `PeerNews` of a `Work`."""
    outcomes = tuple(OutcomeNote(*fields) for fields in work.outcomes)
    counts = {service: Counts(*numbers) for service, numbers in work.counts.items()}
    return PeerNews(work.host, work.life, work.number, work.in_flight, outcomes, counts)


def far_news_of(far):
    """Return the `FarNews` of a `Far`."""
    evidence = tuple(Evidence(*fields) for fields in far.evidence)
    return FarNews(far.host, far.life, evidence, tuple(far.used))


def far_load_of(load):
    """Return the `FarLoad` of a `Load`."""
    return FarLoad(load.centre, load.host, load.life, load.number, load.counts)
