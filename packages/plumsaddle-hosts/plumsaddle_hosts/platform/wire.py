"""
The names of the users' platform, decoded once into plumsaddle's own types.

Nothing here decides anything, and no other module knows these names. A field has a
comment where the platform's name for it misleads.
"""

import re

import msgspec
from returns.result import Failure, Success

from plumsaddle_core.core.traffic import (
    Configuration,
    Limits,
    RequestKind,
    Route,
    Share,
    Target,
    TargetState,
    Workspace,
)
from plumsaddle_core.ops.workspaces import key_digest

from ..utils.addresses import is_address

# Headers of requests and answers.
REQUEST_ID = "Request-Id"
# Milliseconds that the sender will wait, counted from when the request arrives; a
# length of time, not a point in time.
TIME_LEFT = "Deadline-Ms"
# The id of one start of a target, not of a machine.
TARGET_ID = "Target-Instance"
# The target's proof that the answer is its own.
SIGNATURE = "Response-Signature"
NOT_RUN = "Not-Executed"
RETRY_AFTER = "Retry-After"
# The requests a second that a target takes from all hosts together, in its answers.
RATE_LIMIT = "Server-Limit"
# The name of the workspace that a request belongs to, as targets are told it.
WORKSPACE = "Tenant"

# Topics and keys of the store.
OPERATOR_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"

KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ORDER,
    "upload": RequestKind.UPLOAD,
}
# Figures beyond these are mistakes: a target with more slots is no one process, and
# none warms up for a day. Later starts do not fit a timestamp.
SLOTS_MOST = 100_000
WARM_UP_MOST_MS = 86_400_000
BORN_MOST = 2**53
# Bytes of an unreadable rate limit that a log line shows.
RATE_LIMIT_SHOWN = 40
STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


class _Entry(msgspec.Struct):
    """What a target says of itself in the registry; no field may be missing."""

    service: str
    address: str
    zone: str
    # The version of the target's software, not of a configuration.
    version: str
    slots: int
    state: str
    # How much longer the target stays slow after its start, from when it wrote this.
    warmup_left_ms: int
    # Counts a target's writes since its start, so it goes back when that starts again.
    sequence: int
    # The Unix millisecond of the target's start; not every platform tells it.
    born: int = 0


_decode_entry = msgspec.json.Decoder(_Entry).decode


def decode_target(target_id, data, now):
    """
    Decode the registry's entry of a target.

    Anybody may have written it. A field of another type is not guessed at: work that
    goes to a wrong address or past a target's slots is lost.

    Args:
      target_id: The key under which the entry stands.
      data: The entry's bytes.
      now: The present, in seconds.
    Returns:
      A `Success` of a `Target`, or a `Failure` of the reason why it names none that
      can be used, as text.
    """
    try:
        entry = _decode_entry(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Failure(str(exc))
    mistake = _find_mistake(target_id, entry)
    if mistake is not None:
        return Failure(mistake)
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
        )
    )


def _find_mistake(target_id, entry):
    """Return what is wrong with an entry whose fields have the right types, or None."""
    # The id goes into a header, so it must not hold what would end one.
    if not (target_id.isascii() and target_id.isprintable()) or " " in target_id:
        return "the id is no word"
    if entry.state not in STATES:
        return f"the state {entry.state!r} is not known"
    if not is_address(entry.address):
        return f"{entry.address!r} is no IP:PORT"
    if not 0 < entry.slots <= SLOTS_MOST:
        return f"{entry.slots} slots"
    if not 0 <= entry.warmup_left_ms <= WARM_UP_MOST_MS:
        return f"{entry.warmup_left_ms} ms of warming up"
    if not 0 <= entry.born <= BORN_MOST:
        return f"born at {entry.born}"
    return None


_RATE_LIMIT_NAME = RATE_LIMIT.lower().encode()
_decode_rate = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?").fullmatch


def decode_rate_limit(headers):
    """
    Decode the rate limit that an answer names.

    Of several the lowest counts. What is no plain decimal number is not guessed at: a
    mistake of the target's could shut it out, or lift its limit.

    Args:
      headers: Pairs of bytes as they came.
    Returns:
      A `Success` of requests a second, or of None if the answer names none; a `Failure`
      of the start of the text if there is only such that cannot be read.
    """
    named = [value for name, value in headers if name.lower() == _RATE_LIMIT_NAME]
    if not named:
        return Success(None)
    rates = [float(text) for text in named if _decode_rate(text)]
    if not rates:
        return Failure(named[0][:RATE_LIMIT_SHOWN].decode("latin-1"))
    return Success(min(rates))


def decode_configuration(data):
    """
    Decode a version of the operators' configuration.

    Args:
      data: The record's bytes.
    Returns:
      A `Configuration`, or None if it cannot be read.
    """
    try:
        return _decode_configuration(msgspec.json.decode(data))
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


def _decode_configuration(text):
    routes = []
    connections = {}
    limits = None
    workspaces = []
    for entry in text["resources"]:
        spec = entry["spec"]
        if entry["entry_kind"] == "routes":
            routes.append(_decode_route(entry["metadata"]["name"], spec))
        elif entry["entry_kind"] == "services":
            # The bound holds for one target and all its callers together.
            connections[entry["metadata"]["name"]] = int(spec.get("max_conns", 0))
        elif entry["entry_kind"] == "limits":
            limits = _decode_limits(spec)
        elif entry["entry_kind"] == "tenants":
            workspaces.append(_decode_workspace(entry["metadata"]["name"], spec))
    if limits is None:
        raise ValueError("the configuration has no limits")
    return Configuration(
        int(text["version"]), tuple(routes), connections, limits, tuple(workspaces)
    )


def _decode_route(name, spec):
    if "traffic_split" in spec:
        shares = tuple(
            Share(part["service"], float(part["weight"]))
            for part in spec["traffic_split"]
        )
    else:
        shares = (Share(spec["service"], 1.0),)
    return Route(
        name,
        spec["host"],
        spec["path_prefix"],
        KINDS[spec["route_type"]],
        shares,
        # The number of targets, the first one included.
        int(spec.get("max_attempts", 1)),
        int(spec["timeout_ms"]) / 1000,
        # The time for a full-valued answer, not a measured latency.
        int(spec["target_latency_ms"]) / 1000,
        int(spec.get("priority", 0)),
        # Everybody may ask, with or without a key; the text has it as a true or false.
        spec.get("public", False) is True,
    )


def _decode_workspace(name, spec):
    if not name.isascii() or not name.isprintable() or name != name.strip() or not name:
        # It goes into a header, so it must not hold what would end one.
        raise ValueError("the name of a workspace is no word")
    # Of all hosts together, and not of one.
    rate, burst = (float(spec.get(field) or 0.0) for field in ("rate_per_s", "burst"))
    if rate < 0 or burst < 0:
        raise ValueError("a limit of a workspace is below zero")
    return Workspace(
        name,
        tuple(key_digest(key.encode()) for key in spec.get("api_keys", ())),
        rate,
        burst,
        int(spec.get("priority") or 0),
    )


def _decode_limits(spec):
    return Limits(
        int(spec["max_header_bytes"]),
        int(spec["max_body_bytes"]),
        int(spec["header_timeout_ms"]) / 1000,
        int(spec["idle_timeout_ms"]) / 1000,
    )
