"""
The data of a host that runs on a platform with a registry of targets.

Here the platform lists the targets and the operators' configuration names routes
and services; `core/data.py` holds the texts of plumsaddle's own interface instead.
The two stand apart because the checks of those texts need a library that costs each
host 8 MB and start time, and nothing on this page needs it.
"""

import enum
import functools
from typing import Any, NamedTuple

from .features import Feature
from .ids import (
    Address,
    DataCentre,
    HostId,
    KeyDigest,
    ServiceName,
    TargetId,
    TargetIncarnation,
    WorkspaceName,
)


class RequestKind(enum.Enum):
    """What may be done with a request that failed half way."""

    IDEMPOTENT = "idempotent"
    ORDER = "order"
    UPLOAD = "upload"

    @property
    def is_idempotent(self):
        """Whether a request of this kind may run more than once."""
        return self is RequestKind.IDEMPOTENT


class TargetState(enum.Enum):
    """What the registry says of a target."""

    READY = "ready"
    DRAINING = "leaving"


class Target(NamedTuple):
    """
    One life of a worker process, as the registry lists it.

    `id` tells a target from a stranger that was given the same address. A target may
    start again under its id and then knows nothing of before; `started_at` is the Unix
    millisecond of its start, or 0 if its entry does not tell. `cold_for` are the
    seconds for which the target said it would still be slow, counted from `read_at`.
    """

    id: TargetId
    service: ServiceName
    address: Address
    centre: DataCentre
    slots: int
    state: TargetState
    warmup: float
    read_at: float
    started_at: int = 0

    @property
    def incarnation(self):
        """
        The name of this life, under which hosts keep and tell what they know of it.

        Whatever was learnt of a former life stands under another name, so that it can
        never be taken for news of this one, however late it arrives. The last 32 bits
        of the start are told, which repeat after 49 days.
        """
        return _life_of(self.id, self.started_at)


@functools.lru_cache(maxsize=65536)
def _life_of(target_id, started_at):
    """Return a life's name; each choice asks for those of all targets."""
    if not started_at:
        return TargetIncarnation(target_id)
    return TargetIncarnation(f"{target_id}~{started_at & 0xFFFFFFFF:x}")


def target_id_of(life):
    """Return the id of the target that an incarnation's name belongs to."""
    return TargetId(life.partition("~")[0])


class Share(NamedTuple):
    """A service's part of a route's requests; weights need not add up to anything."""

    service: ServiceName
    weight: float


class Route(NamedTuple):
    """
    Which requests go to which services, and what may be done with them.

    Times are in seconds. `rank` orders kinds of requests under load, and the lowest
    number is the most urgent. Requests of a public route need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    max_attempts: int
    timeout: float
    latency_objective: float
    priority: int
    is_public: bool = False


class Workspace(NamedTuple):
    """
    Whom requests belong to, by the key that they bear.

    `keys` are digests as `digest_of` gives them. All hosts together let through `rate`
    requests a second and a `burst` on top; a rate of 0.0 is no limit. `rank` goes
    before that of a request's route.
    """

    name: WorkspaceName
    keys: tuple[KeyDigest, ...]
    rate: float = 0.0
    burst: float = 0.0
    priority: int = 0


class Limits(NamedTuple):
    """What a caller may send, in bytes, and how slowly, in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class Configuration(NamedTuple):
    """
    One version of the operators' configuration, decoded.

    Without workspaces there are no keys, and everybody may ask.
    """

    version: int
    routes: tuple[Route, ...]
    connections: dict[ServiceName, int]
    limits: Limits
    workspaces: tuple[Workspace, ...] = ()


class Bounds(NamedTuple):
    """
    The figures that an installation promises, in seconds and shares.

    The defaults are those of the smaller installations, for a platform that leaves
    one out.
    """

    leaving: float = 2.0
    grace: float = 6.0
    contact: float = 3.0
    apply: float = 2.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_extra: float = 0.0
    floor_share: float = 0.7
    quota_window: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0


class HostSettings(NamedTuple):
    """
    What a host learns from its settings file.

    `link` is what the host's link carries, in bytes a second, or None if unknown. `off`
    are the mechanisms that an experiment does without.
    """

    id: HostId
    centre: DataCentre
    centres: tuple[DataCentre, ...]
    caller_address: Address
    readiness_address: Address
    peer_address: Address
    seeds: tuple[Address, ...]
    store_address: Address
    bounds: Bounds
    link_rate: float | None = None
    disabled_features: frozenset[Feature] = frozenset()

    @property
    def has_seeds(self):
        """Whether other hosts are named, so that this one need not be the only one."""
        return bool(set(self.seeds) - {self.peer_address})


class SendOutcome(enum.Enum):
    """What became of one send, as far as this host can know."""

    SUCCEEDED = "whole"
    NOT_RUN = "not-run"
    WRONG_TARGET = "wrong-target"
    FAILED = "failed"
    BROKEN = "broken"
    UNSIGNED = "unsigned"
    UNREACHABLE = "unreached"
    UNSENT = "unsent"
    TIMED_OUT = "timed-out"
    ABANDONED = "abandoned"


class Reply(NamedTuple):
    """
    A target's answer.

    `headers` are pairs of bytes as they came. `rest` is None for a whole answer,
    else it is what reads the part of the body that follows `body`.
    """

    status: int
    headers: list
    body: bytes
    rest: Any = None
