"""
The datagrams that hosts tell each other, and their codec.
"""

import zlib
from typing import Annotated

import msgspec

from plumsaddle_core.ops.neighbours import StoreStatus
from plumsaddle_core.ops.news import (
    Counts,
    Evidence,
    HealthSignal,
    OutcomeRecord,
    PeerUpdate,
    RemoteLoad,
    RemoteLoadTotal,
    RemoteUpdate,
)

from ..platform.store import KeyedRecord

# What other hosts say is checked as it is decoded: one bad number in a message would
# otherwise spoil sums and beliefs for good.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86400.0)]
BytesPerSecond = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
Ratio = Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]
# A tag of a workspace, and what was asked and let through of it, as `QuotaRow`.
QuotaFields = tuple[Count, Count, Count]
# A request's key, a life of a target, and whether that ended under it.
RunFields = tuple[str, str, bool]
# A target's incarnation, a version, and the rate limit that it names, as `LimitRow`.
LimitFields = tuple[str, Count, Annotated[float, msgspec.Meta(ge=-1.0, le=1e9)]]


class Hello(msgspec.Struct, array_like=True, tag="h"):
    """A host that looks for the others of its data centre."""

    host: str
    centre: str
    address: str


class Members(msgspec.Struct, array_like=True, tag="m"):
    """Addresses of hosts of the asker's data centre, and of some in each other one."""

    addresses: list[str]
    strangers: dict[str, list[str]] = {}


class Heartbeat(msgspec.Struct, array_like=True):
    """
    What a host says of itself once a second.

    `link` is what its link carries, in bytes a second. `read` is how far it has read
    each topic of the store, and how many seconds ago the store said so. `returned` is
    how many seconds ago the store came back. A hub also names hosts of its data centre,
    and some of other ones.
    """

    link: BytesPerSecond
    contact: StoreStatus
    read: dict[str, tuple[Count, Seconds]]
    returned: Seconds
    members: list[str] = []
    strangers: dict[str, list[str]] = {}


class HostUpdate(msgspec.Struct, array_like=True, tag="w"):
    """
    A host's work in flight, by tag of target, and its last outcomes.

    `address` is the host's own, since a hub passes its message on. `runs` are what
    became of targets under requests, as `RunRecord`, `quotas` what workspaces asked,
    and `limits` the rate limits that targets name, as `LimitRow`.
    """

    host: str
    address: str
    life: Count
    number: Count
    in_flight: dict[int, Count]
    outcomes: list[tuple[Count, str, str, str, HealthSignal, Seconds]]
    counts: dict[str, tuple[Count, Count, Count, Count]]
    beat: Heartbeat | None = None
    runs: list[RunFields] = []
    quotas: list[QuotaFields] = []
    limits: list[LimitFields] = []


class DataCentreQuotas(msgspec.Struct, array_like=True):
    """What workspaces asked of a data centre; `hosts` are heard there, or missing."""

    centre: str
    hosts: tuple[Count, Count]
    rows: list[QuotaFields] = []


class Bundle(msgspec.Struct, array_like=True, tag="b"):
    """
    What a hub tells the hosts of its data centre together.

    `works` and `fars` are encoded `Work`s and `Far`s as they came. `centres` are the
    other data centres whose work in flight is in `load`. `asked` are what workspaces
    asked of those that were heard since the last bundle.
    """

    works: list[msgspec.Raw] = []
    fars: list[msgspec.Raw] = []
    centres: list[str] = []
    load: dict[int, Count] = {}
    asked: list[DataCentreQuotas] = []


class CompressedBundle(msgspec.Struct, array_like=True, tag="z"):
    """An encoded `Bundle`, compressed."""

    data: bytes


class Records(msgspec.Struct, array_like=True, tag="r"):
    """
    Changes of a topic of the store, passed on by a reader.

    They are all records from offset `start` to before `next`. `returned` is how many
    seconds ago the store came back.
    """

    topic: str
    start: Count
    next: Count
    returned: Seconds
    packed: bytes


class DataCentreUpdate(msgspec.Struct, array_like=True, tag="f"):
    """What hosts of other data centres are told; passed on once in each of them."""

    host: str
    life: Count
    centre: str
    evidence: list[tuple[Count, str, Ratio]]
    used: list[int]
    is_passed_on: bool = False
    runs: list[RunFields] = []
    limits: list[LimitFields] = []


class DataCentreLoad(msgspec.Struct, array_like=True, tag="l"):
    """
    What all hosts of a data centre have in flight, by tag of target.

    `hosts` are how many they are and how many are missing, and `quotas` what workspaces
    asked of them.
    """

    centre: str
    host: str
    life: Count
    number: Count
    counts: dict[int, Count]
    is_passed_on: bool = False
    hosts: tuple[Count, Count] = (1, 0)
    quotas: list[QuotaFields] = []


Message = (
    Hello
    | Members
    | HostUpdate
    | Bundle
    | CompressedBundle
    | Records
    | DataCentreUpdate
    | DataCentreLoad
)
decode = msgspec.msgpack.Decoder(Message).decode
decode_bundle = msgspec.msgpack.Decoder(Bundle).decode
decode_host_update = msgspec.msgpack.Decoder(HostUpdate).decode
decode_data_centre_update = msgspec.msgpack.Decoder(DataCentreUpdate).decode
encode = msgspec.msgpack.Encoder().encode


def to_peer_update(work):
    """Return the `PeerUpdate` of a `Work`."""
    # Most messages tell neither; hosts take some hundreds of them a second.
    outcomes, counts = (), {}
    if work.outcomes:
        outcomes = tuple(OutcomeRecord(*fields) for fields in work.outcomes)
    if work.counts:
        counts = {name: Counts(*numbers) for name, numbers in work.counts.items()}
    return PeerUpdate(
        work.host, work.life, work.number, work.in_flight, outcomes, counts
    )


def to_remote_update(far):
    """Return the `RemoteUpdate` of a `Far`."""
    evidence = tuple(Evidence(*fields) for fields in far.evidence)
    return RemoteUpdate(far.host, far.life, evidence, tuple(far.used))


def to_remote_load(load):
    """Return the `RemoteLoad` of a `Load`."""
    return RemoteLoad(load.centre, load.host, load.life, load.number, load.counts)


def to_remote_load_total(bundle):
    """Return the `RemoteLoadTotal` of a `Bundle`, or None if it has none."""
    return (
        RemoteLoadTotal(tuple(bundle.centres), bundle.load) if bundle.centres else None
    )


# Bundles shorter than this (bytes) are sent as they are. Longer ones name the same
# hosts, routes and targets again and again and shrink to a third, which fits into one
# packet and lets a hub with a small link tell more often.
MIN_SIZE_TO_COMPRESS = 500
# Bytes that a message may have unpacked: a configuration has a hundredth of this.
MAX_DECOMPRESSED_SIZE = 16_000_000


def encode_bundle(bundle):
    """Return the bytes of a `Bundle`, compressed if it is long."""
    data = encode(bundle)
    return (
        data
        if len(data) < MIN_SIZE_TO_COMPRESS
        else encode(CompressedBundle(zlib.compress(data, 1)))
    )


def decompress_bundle(packed):
    """
    Return the `Bundle` of a `Packed`.

    Raises:
      msgspec.DecodeError: If it cannot be read.
    """
    return decode_bundle(_decompress(packed.data))


def _decompress(data):
    try:
        return zlib.decompressobj().decompress(data, MAX_DECOMPRESSED_SIZE)
    except zlib.error as exc:
        raise msgspec.DecodeError(str(exc)) from exc


# Bytes of records that are passed on in one datagram, packed. A link drops a datagram
# of many packets more easily; what is longer each host reads from the store itself.
MAX_RECORDS_SIZE = 24_000
_RecordRows = list[tuple[Count, str, bytes | None]]
_decode_rows = msgspec.msgpack.Decoder(_RecordRows).decode


def encode_records(records):
    """Return the bytes of a list of `KeyedRecord`, or None if they are too many."""
    packed = zlib.compress(encode([tuple(record) for record in records]), 1)
    return packed if len(packed) <= MAX_RECORDS_SIZE else None


def decode_records(packed):
    """
    Return the `KeyedRecord`s of `pack_records`.

    Raises:
      msgspec.DecodeError: If they cannot be read.
    """
    return [KeyedRecord(*row) for row in _decode_rows(_decompress(packed))]
