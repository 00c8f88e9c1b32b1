"""
Header names of the platform, and decoders of its records into plumsaddle's types.

The platform's names are confined to this module. A field has a comment where the
platform's name for it is misleading.
"""

import hashlib
import re
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Success

from plumsaddle_core.core.traffic import (
    Configuration,
    Limits,
    NoticeError,
    RequestKind,
    Route,
    Share,
    Target,
    TargetNotices,
    TargetState,
    Workspace,
)
from plumsaddle_core.ops.workspaces import key_digest

from ..utils.addresses import is_address

# Headers of requests and responses.
REQUEST_ID = "Request-Id"
# The milliseconds that the sender waits from the arrival of the request: a duration,
# not a point in time.
TIME_LEFT = "Deadline-Ms"
# The id of a target's incarnation, not of a machine.
TARGET_ID = "Target-Instance"
# The target's signature of its response.
SIGNATURE = "Response-Signature"
NOT_RUN = "Not-Executed"
RETRY_AFTER = "Retry-After"
# Response headers: the requests per second that a target accepts from all hosts
# together, and "1" if the target is about to exit.
RATE_LIMIT = "Server-Limit"
DRAINING = "Server-Leaving"
KEEP_ALIVE = "Keep-Alive"
# A header of requests to targets: the name of the request's workspace.
WORKSPACE = "Tenant"
# A header of the store's responses: a number that grows each time the store comes back
# from an older copy of itself.
STORE_ERA = "Store-Era"

# Topics and keys of the store.
OPERATOR_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"

KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ORDER,
    "upload": RequestKind.UPLOAD,
    "download": RequestKind.DOWNLOAD,
}
# The length of the digest of an entry of the configuration, in bytes.
DIGEST_BYTES = 16
# Larger values in a target's entry are rejected as errors.
MAX_SLOTS = 100_000
MAX_WARMUP_MS = 86_400_000
MAX_STARTED_AT_MS = 2**53
# Larger numbers in a configuration are errors. Hosts exchange versions as integers of
# 64 bits, and JSON's numbers are exact up to this one.
MAX_NUMBER = 2**53
# Bytes of a malformed header that are logged.
MAX_LOGGED_VALUE = 40
STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


class _Entry(msgspec.Struct):
    """A target's entry in the registry; only `born` may be missing."""

    service: str
    address: str
    zone: str
    # The version of the target's software, not of a configuration.
    version: str
    slots: int
    state: str
    # The rest of the target's slow start, counted from when it wrote the entry.
    warmup_left_ms: int
    # Counts the target's writes since its start, so it is reset by a restart.
    sequence: int
    # The target's start as a Unix time in milliseconds; some platforms lack it.
    born: int = 0


_decode_entry = msgspec.json.Decoder(_Entry).decode


def decode_target(target_id, data, now):
    """
    Decode and validate the registry's entry of a target.

    Entries come from untrusted writers. A field of the wrong type isn't converted:
    requests sent to a wrong address or beyond a target's slots are lost.

    Args:
      target_id: The key of the entry.
      data: The entry's bytes.
      now: The current time, in seconds.
    Returns:
      A `Success` of a `Target`, or a `Failure` of the text of the first error.
    """
    try:
        entry = _decode_entry(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Failure(str(exc))
    error = _find_error(target_id, entry)
    if error is not None:
        return Failure(error)
    return Success(
        Target(
            target_id,
            entry.service,
            entry.address,
            entry.zone,
            entry.slots,
            STATES[entry.state],
            entry.warmup_left_ms / 1000,
            now,
            entry.born,
            entry.sequence,
        )
    )


def _find_error(target_id, entry):
    """Return the first error in an entry whose fields have the right types, or None."""
    # The id is sent in a header, so it must not contain line breaks.
    if not (target_id.isascii() and target_id.isprintable()) or " " in target_id:
        return "the id is not a single word of printable ASCII"
    if entry.state not in STATES:
        return f"unknown state {entry.state!r}"
    if not is_address(entry.address):
        return f"the address {entry.address!r} is not of the form IP:PORT"
    if not 0 < entry.slots <= MAX_SLOTS:
        return f"the number of slots, {entry.slots}, is out of range"
    if not 0 <= entry.warmup_left_ms <= MAX_WARMUP_MS:
        return f"the warm-up of {entry.warmup_left_ms} ms is out of range"
    if not 0 <= entry.born <= MAX_STARTED_AT_MS:
        return f"the start time {entry.born} is out of range"
    return None


_match_era = re.compile(r"[0-9]{1,15}", re.ASCII).fullmatch


def decode_era(headers):
    """Return the era in the headers of a store's response, or None."""
    text = headers.get(STORE_ERA, "").strip()
    return int(text) if _match_era(text) else None


_match_decimal = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch
_FLAGS = {b"1": True, b"0": False}
_NO_NOTICES = TargetNotices()


def _decode_decimal(text):
    return float(text) if _match_decimal(text) else None


def _decode_keep_alive(text):
    """Return the timeout of a `Keep-Alive` header in seconds, or None."""
    for parameter in text.split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None


class _NoticeHeader(NamedTuple):
    """
    How a header is decoded into a field of `TargetNotices`.

    `decode` returns None for a text of another form, and `choose` the more restrictive
    one of two values. `reports_malformed` tells whether such a text is an error.
    """

    name: str
    field: str
    decode: Callable
    choose: Callable
    reports_malformed: bool = True


_NOTICE_HEADERS = {
    header.name.lower().encode(): header
    for header in (
        _NoticeHeader(RATE_LIMIT, "rate_limit", _decode_decimal, min),
        _NoticeHeader(DRAINING, "is_draining", _FLAGS.get, max),
        _NoticeHeader(RETRY_AFTER, "retry_after", _decode_decimal, max),
        # It may have other parameters only.
        _NoticeHeader(KEEP_ALIVE, "idle_timeout", _decode_keep_alive, min, False),
    )
}


def decode_notices(status, headers):
    """
    Decode what a target says about itself in the head of a response.

    Values of another form are rejected, because a wrong guess could block the target or
    lift its limit. Of several values the most restrictive one applies.

    Args:
      status: The response's status.
      headers: Pairs of name and value, as bytes.
    Returns:
      The `TargetNotices`.
    """
    fields, malformed = {}, {}
    for name, text in headers:
        header = _NOTICE_HEADERS.get(name.lower())
        # With other statuses `Retry-After` may be about the resource, not the target.
        if header is None or (header.name == RETRY_AFTER and status != 503):
            continue
        value = header.decode(text.strip())
        if value is None:
            malformed.setdefault(header, text.strip())
        elif header.field in fields:
            fields[header.field] = header.choose(fields[header.field], value)
        else:
            fields[header.field] = value
    if not fields and not malformed:
        return _NO_NOTICES
    errors = tuple(
        NoticeError(header.name, text[:MAX_LOGGED_VALUE].decode("latin-1"))
        for header, text in malformed.items()
        if header.reports_malformed and header.field not in fields
    )
    return TargetNotices(errors=errors, **fields)


class _Version(msgspec.Struct):
    """A version of the configuration, with its entries undecoded."""

    version: Any
    resources: list[msgspec.Raw]


_decode_version = msgspec.json.Decoder(_Version).decode


class ConfigurationDecoder:
    """
    Decodes versions of the operators' configuration one after the other.

    Most versions change a few entries of thousands, and decoding all of them would
    delay the requests in flight. Entries whose bytes are the same as in the previous
    version are therefore not decoded again.
    """

    def __init__(self):
        # Decoded entries of the latest valid version by digest of their bytes.
        self._entries = {}

    def decode(self, data):
        """
        Decode a version.

        Args:
          data: The record's bytes.
        Returns:
          A `Configuration`, or None if it is malformed.
        """
        try:
            return self._decode(_decode_version(data))
        except (
            msgspec.DecodeError,
            AttributeError,
            KeyError,
            OverflowError,
            RecursionError,
            TypeError,
            ValueError,
        ):
            return None

    def _decode(self, version):
        entries = {}
        decoded = []
        for raw in version.resources:
            digest = hashlib.blake2b(raw, digest_size=DIGEST_BYTES).digest()
            entry = entries.get(digest) or self._entries.get(digest)
            entries[digest] = entry = entry or _decode_resource(raw)
            decoded.append(entry)
        cfg = _assemble(_integer(version.version), decoded)
        self._entries = entries
        return cfg


def decode_configuration(data):
    """
    Decode a version of the operators' configuration without any previous one.

    The argument and the result are those of `ConfigurationDecoder.decode`.
    """
    return ConfigurationDecoder().decode(data)


def _decode_resource(raw):
    """Return the kind, the name and the decoded value of an entry."""
    entry = msgspec.json.decode(raw)
    spec = entry["spec"]
    kind = entry["entry_kind"]
    if kind == "limits":
        return kind, None, _decode_limits(spec)
    decode = ENTRY_DECODERS.get(kind)
    if decode is None:
        return kind, None, None
    name = entry["metadata"]["name"]
    return kind, name, decode(name, spec)


def _assemble(number, entries):
    """Return the `Configuration` of decoded entries."""
    by_kind = {kind: [] for kind in ("routes", "services", "limits", "tenants")}
    for kind, name, value in entries:
        if kind in by_kind:
            by_kind[kind].append((name, value))
    if not by_kind["limits"]:
        raise ValueError("the configuration has no limits")
    return Configuration(
        number,
        tuple(route for _, route in by_kind["routes"]),
        dict(by_kind["services"]),
        by_kind["limits"][-1][1],
        tuple(workspace for _, workspace in by_kind["tenants"]),
    )


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"expected a string, not {type(value).__name__}")
    return value


def _integer(value, least=0):
    """Return a whole number, or raise `ValueError` if it is out of range."""
    number = int(value)
    if not least <= number <= MAX_NUMBER:
        raise ValueError("a number is out of range")
    return number


def _number(value):
    """Return a number as a float, or raise `ValueError` if it is out of range."""
    number = float(value)
    if not 0.0 <= number <= MAX_NUMBER:
        raise ValueError("a number is out of range")
    return number


def _decode_service(name, spec):
    """Return the limit of one target's connections, from all its callers together."""
    return _integer(spec.get("max_conns", 0))


def _decode_route(name, spec):
    if "traffic_split" in spec:
        shares = tuple(
            Share(_text(part["service"]), _number(part["weight"]))
            for part in spec["traffic_split"]
        )
    else:
        shares = (Share(_text(spec["service"]), 1.0),)
    if not any(share.weight for share in shares):
        raise ValueError("a route has no service")
    return Route(
        _text(name),
        _text(spec["host"]),
        _text(spec["path_prefix"]),
        KINDS[spec["route_type"]],
        shares,
        # Includes the first attempt.
        _integer(spec.get("max_attempts", 1)),
        _integer(spec["timeout_ms"]) / 1000,
        # The objective for a response's latency, not a measured latency.
        _integer(spec["target_latency_ms"]) / 1000,
        _integer(spec.get("priority", 0), -MAX_NUMBER),
        # Whether requests without a key are allowed; only a JSON `true` counts.
        spec.get("public", False) is True,
    )


def _decode_workspace(name, spec):
    if not name.isascii() or not name.isprintable() or name != name.strip() or not name:
        # The name is sent in a header, so it must not contain line breaks.
        raise ValueError(
            "the name of a workspace is empty, padded or not printable ASCII"
        )
    # The limits of all hosts together, not of each host.
    rate, burst = (_number(spec.get(field) or 0.0) for field in ("rate_per_s", "burst"))
    return Workspace(
        name,
        tuple(key_digest(key.encode()) for key in spec.get("api_keys", ())),
        rate,
        burst,
        _integer(spec.get("priority") or 0, -MAX_NUMBER),
    )


def _decode_limits(spec):
    return Limits(
        _integer(spec["max_header_bytes"]),
        _integer(spec["max_body_bytes"]),
        _integer(spec["header_timeout_ms"]) / 1000,
        _integer(spec["idle_timeout_ms"]) / 1000,
    )


# The decoders of entries that have a name, by kind.
ENTRY_DECODERS = {
    "routes": _decode_route,
    "services": _decode_service,
    "tenants": _decode_workspace,
}
