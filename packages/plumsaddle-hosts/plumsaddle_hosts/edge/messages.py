"""
The messages that hosts send each other as datagrams, and their codec.
"""

import itertools
import zlib
from typing import Annotated

import msgspec

from plumsaddle_core.ops.peer_table import StoreStatus
from plumsaddle_core.ops.peer_updates import (
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

# Numbers are validated as they are decoded, since an invalid one would permanently
# corrupt totals and failure estimates.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86400.0)]
BytesPerSecond = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]
Ratio = Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)]
# The fields of `QuotaRow`.
QuotaFields = tuple[Count, Count, Count]
# The fields of `RunRecord`.
RunFields = tuple[str, str, bool]
# The fields of `LimitRow`.
LimitFields = tuple[str, Count, Annotated[float, msgspec.Meta(ge=-1.0, le=1e9)]]


class Hello(msgspec.Struct, array_like=True, tag="h"):
    """
    A request for the addresses of the other hosts of the sender's data centre.

    `version` is as in `Heartbeat`.
    """

    host: str
    data_centre: str
    address: str
    version: Count | None = None


class Members(msgspec.Struct, array_like=True, tag="m"):
    """
    An answer to `Hello`: hosts of its data centre, and a few of each other one.

    `version` is as in `Heartbeat`.
    """

    addresses: list[str]
    remote_hosts: dict[str, list[str]] = {}
    version: Count | None = None


class Heartbeat(msgspec.Struct, array_like=True):
    """
    A host's own state, sent once a second.

    `link_rate` is in bytes per second. `read_offsets` holds the next offset by topic of
    the store, and the seconds since the store confirmed it. `recovery_age` is the
    seconds since the store became available again. A hub also lists `members` of its
    data centre and a few `remote_hosts` per other data centre. `is_gateway` tells
    whether it opens connections to targets for other hosts.

    `store_era` is the era of the offsets, None if the host doesn't know eras. Once the
    store has come back from an older copy, they are in `restored_offsets`: hosts that
    don't know eras would misread them, and read the store themselves without them.
    `version` is the configuration in force, 0 if there is none yet, None if the host
    doesn't tell.
    """

    link_rate: BytesPerSecond
    store_status: StoreStatus
    read_offsets: dict[str, tuple[Count, Seconds]]
    recovery_age: Seconds
    members: list[str] = []
    remote_hosts: dict[str, list[str]] = {}
    is_gateway: bool = False
    store_era: Count | None = None
    restored_offsets: dict[str, tuple[Count, Seconds]] = {}
    version: Count | None = None


class HostUpdate(msgspec.Struct, array_like=True, tag="w"):
    """
    A host's requests in flight by tag of target, and its latest outcomes.

    `address` is the host's own, since hubs forward updates. `run_records`, `quotas` and
    `limits` hold the fields of `RunRecord`, `QuotaRow` and `LimitRow`, and `draining`
    the incarnations of targets that have announced that they are draining.
    """

    host: str
    address: str
    incarnation: Count
    number: Count
    in_flight: dict[int, Count]
    outcomes: list[tuple[Count, str, str, str, HealthSignal, Seconds]]
    counts: dict[str, tuple[Count, Count, Count, Count]]
    heartbeat: Heartbeat | None = None
    run_records: list[RunFields] = []
    quotas: list[QuotaFields] = []
    limits: list[LimitFields] = []
    draining: list[str] = []


class DataCentreQuotas(msgspec.Struct, array_like=True):
    """The quota rows of a data centre, and its live and missing host counts."""

    data_centre: str
    host_count: tuple[Count, Count]
    rows: list[QuotaFields] = []


class Bundle(msgspec.Struct, array_like=True, tag="b"):
    """
    Updates that a hub forwards to the hosts of its data centre.

    `host_updates` and `data_centre_updates` are encoded messages as received. `load` is
    the total of requests in flight in the other data centres listed in `data_centres`.
    `quotas` holds those received since the last bundle.
    """

    host_updates: list[msgspec.Raw] = []
    data_centre_updates: list[msgspec.Raw] = []
    data_centres: list[str] = []
    load: dict[int, Count] = {}
    quotas: list[DataCentreQuotas] = []


class CompressedBundle(msgspec.Struct, array_like=True, tag="z"):
    """An encoded `Bundle`, compressed."""

    data: bytes


class Records(msgspec.Struct, array_like=True, tag="r"):
    """
    Changes of a topic of the store, forwarded by a reader.

    `compressed` holds all records from `start_offset` up to `next_offset`, exclusive.
    `recovery_age` is the seconds since the store became available again. `era` is that
    of the offsets, None if the reader doesn't know eras.
    """

    topic: str
    start_offset: Count
    next_offset: Count
    recovery_age: Seconds
    compressed: bytes
    era: Count | None = None


class VersionRequest(msgspec.Struct, array_like=True, tag="v"):
    """
    A request for a part of the receiver's configuration.

    `version` is that of the parts received so far, 0 if there are none.
    """

    version: Count
    part: Count


class VersionPart(msgspec.Struct, array_like=True, tag="p"):
    """
    A part of the sender's configuration.

    The parts from 0 to `count`, exclusive, are the compressed record of `version`.
    """

    version: Count
    part: Count
    count: Count
    data: bytes


class DataCentreUpdate(msgspec.Struct, array_like=True, tag="f"):
    """
    An update for other data centres, forwarded once in each of them.

    `run_records`, `limits` and `draining` are as in `HostUpdate`. `gateways` holds the
    addresses of a few gateways of its data centre. `results` holds, by service, the
    requests that ended lately and those of them not served: once a second all services,
    otherwise those that are degraded there. `use_ages` holds the milliseconds since the
    last use of each of `used_tags`; former releases send none.
    """

    host: str
    incarnation: Count
    data_centre: str
    evidence: list[tuple[Count, str, Ratio]]
    used_tags: list[int]
    is_forwarded: bool = False
    run_records: list[RunFields] = []
    limits: list[LimitFields] = []
    draining: list[str] = []
    gateways: list[str] = []
    results: dict[str, tuple[Count, Count]] = {}
    use_ages: list[Count] = []


class DataCentreLoad(msgspec.Struct, array_like=True, tag="l"):
    """
    The total of a data centre's requests in flight, by tag of target.

    `host_count` holds its live and missing hosts, `quotas` the fields of `QuotaRow`.
    """

    data_centre: str
    host: str
    incarnation: Count
    number: Count
    counts: dict[int, Count]
    is_forwarded: bool = False
    host_count: tuple[Count, Count] = (1, 0)
    quotas: list[QuotaFields] = []


Message = (
    Hello
    | Members
    | HostUpdate
    | Bundle
    | CompressedBundle
    | Records
    | VersionRequest
    | VersionPart
    | DataCentreUpdate
    | DataCentreLoad
)
decode = msgspec.msgpack.Decoder(Message).decode
decode_bundle = msgspec.msgpack.Decoder(Bundle).decode
decode_host_update = msgspec.msgpack.Decoder(HostUpdate).decode
decode_data_centre_update = msgspec.msgpack.Decoder(DataCentreUpdate).decode
encode = msgspec.msgpack.Encoder().encode


def to_peer_update(update):
    """Convert a `HostUpdate`."""
    # A fast path, as most of the hundreds of updates per second contain neither.
    outcomes, counts = (), {}
    if update.outcomes:
        outcomes = tuple(OutcomeRecord(*fields) for fields in update.outcomes)
    if update.counts:
        counts = {name: Counts(*numbers) for name, numbers in update.counts.items()}
    return PeerUpdate(
        update.host,
        update.incarnation,
        update.number,
        update.in_flight,
        outcomes,
        counts,
    )


def to_remote_update(update):
    """Convert a `DataCentreUpdate`."""
    evidence = tuple(Evidence(*fields) for fields in update.evidence)
    ages = itertools.chain(update.use_ages, itertools.repeat(0))
    used = tuple(
        (tag, age / 1000) for tag, age in zip(update.used_tags, ages, strict=False)
    )
    return RemoteUpdate(update.host, update.incarnation, evidence, used)


def to_remote_load(load):
    """Convert a `DataCentreLoad`."""
    return RemoteLoad(
        load.data_centre, load.host, load.incarnation, load.number, load.counts
    )


def to_remote_load_total(bundle):
    """Return the `RemoteLoadTotal` of a `Bundle`, or None."""
    return (
        RemoteLoadTotal(tuple(bundle.data_centres), bundle.load)
        if bundle.data_centres
        else None
    )


# Bundles shorter than this (bytes) are not compressed. Longer ones repeat the names of
# hosts, routes and targets and shrink to a third, often into a single packet.
MIN_SIZE_TO_COMPRESS = 500
# Limit of a decompressed message, in bytes.
MAX_DECOMPRESSED_SIZE = 16_000_000


def encode_bundle(bundle):
    """Encode a `Bundle`, compressing it if it is long."""
    data = encode(bundle)
    return (
        data
        if len(data) < MIN_SIZE_TO_COMPRESS
        else encode(CompressedBundle(zlib.compress(data, 1)))
    )


def decompress_bundle(compressed):
    """
    Return the `Bundle` in a `CompressedBundle`.

    Raises:
      msgspec.DecodeError: If the data is invalid.
    """
    return decode_bundle(decompress(compressed.data))


def decompress(data):
    """
    Return decompressed bytes.

    Raises:
      msgspec.DecodeError: If the data is invalid.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_DECOMPRESSED_SIZE)
    except zlib.error as exc:
        raise msgspec.DecodeError(str(exc)) from exc
    if not decompressor.eof:
        raise msgspec.DecodeError("compressed data is truncated or too long")
    return decompressed


# Compressed bytes of records per datagram. Datagrams of many packets are lost more
# often, so hosts read longer changes from the store themselves.
MAX_RECORDS_SIZE = 24_000
_RecordRows = list[tuple[Count, str, bytes | None]]
_decode_rows = msgspec.msgpack.Decoder(_RecordRows).decode


def encode_records(records):
    """Encode and compress `KeyedRecord`s; return None if the result is too long."""
    compressed = zlib.compress(encode([tuple(record) for record in records]), 1)
    return compressed if len(compressed) <= MAX_RECORDS_SIZE else None


def decode_records(compressed):
    """
    Return the `KeyedRecord`s that `encode_records` encoded.

    Raises:
      msgspec.DecodeError: If the data is invalid.
    """
    return [KeyedRecord(*row) for row in _decode_rows(decompress(compressed))]
