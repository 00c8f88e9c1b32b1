"""
Data types of a host that runs on a platform with a registry of targets.

The platform lists the targets, and the operators' configuration defines routes and
services. `core/data.py` has the types of plumsaddle's own configuration format. They
are separate modules because `core/data.py` imports pydantic, which a host on a
platform does not need and which adds memory use and start-up time.
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

# Bytes that a host holds for slow callers if its memory limit is unknown.
DEFAULT_BUFFERED_BYTES = 50_000_000


class RequestKind(enum.Enum):
    """How a request may be retried after it was partly processed."""

    IDEMPOTENT = "idempotent"
    ORDER = "order"
    UPLOAD = "upload"
    # An idempotent request with a large response.
    DOWNLOAD = "download"

    @property
    def is_idempotent(self):
        """Whether a request of this kind may run more than once."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD)


class SchedulingMode(enum.Enum):
    """
    Whether hosts schedule requests, instead of sending each one as it comes.

    With `AUTO` they do if the configuration in force has routes with large responses,
    which keep slots for long and delay whatever waits behind them.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class TargetState(enum.Enum):
    """The state of a target according to the registry."""

    READY = "ready"
    DRAINING = "leaving"


class Target(NamedTuple):
    """
    One incarnation of a worker process, as the registry lists it.

    `id` distinguishes targets that are given the same address in turn. A target that
    restarts keeps its id but no state; `started_at` is the time of its start in Unix
    milliseconds, or 0 if its entry has none. `warmup` is the number of seconds after
    `read_at` for which the target announced that it would be slow. `sequence` numbers
    the entries that it has written since its start; None if it is unknown.
    """

    id: TargetId
    service: ServiceName
    address: Address
    data_centre: DataCentre
    slots: int
    state: TargetState
    warmup: float
    read_at: float
    started_at: int = 0
    sequence: int | None = None

    @property
    def incarnation(self):
        """
        The identifier under which hosts store and exchange data on this incarnation.

        Late messages on a previous incarnation have another identifier, so they are
        not applied to this one. It contains the low 32 bits of the start time, which
        repeat after 49 days.
        """
        return _incarnation_of(self.id, self.started_at)


@functools.lru_cache(maxsize=65536)
def _incarnation_of(target_id, started_at):
    """Return an incarnation's identifier; cached, as every target choice needs it."""
    if not started_at:
        return TargetIncarnation(target_id)
    return TargetIncarnation(f"{target_id}~{started_at & 0xFFFFFFFF:x}")


def target_id_of(incarnation):
    """Return the target id that an incarnation's identifier contains."""
    return TargetId(incarnation.partition("~")[0])


class Share(NamedTuple):
    """A service's share of a route's requests; weights are relative."""

    service: ServiceName
    weight: float


class Route(NamedTuple):
    """
    Maps requests to services and sets how they are handled.

    Times are in seconds. `priority` orders requests under load; the lowest number is
    the most urgent. Requests of a public route need no API key.
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
    A tenant, identified by the API keys of its requests.

    `keys` are digests as returned by `key_digest`. All hosts together admit `rate`
    requests per second and a `burst` on top; a rate of 0.0 means no limit. `priority`
    takes precedence over that of a request's route.
    """

    name: WorkspaceName
    keys: tuple[KeyDigest, ...]
    rate: float = 0.0
    burst: float = 0.0
    priority: int = 0


class Limits(NamedTuple):
    """Limits on a caller's request: sizes in bytes, timeouts in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class Configuration(NamedTuple):
    """
    One decoded version of the operators' configuration.

    If there are no workspaces, requests need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    connections: dict[ServiceName, int]
    limits: Limits
    workspaces: tuple[Workspace, ...] = ()

    @property
    def has_downloads(self):
        """Whether any route has large responses."""
        return any(route.kind is RequestKind.DOWNLOAD for route in self.routes)


class Bounds(NamedTuple):
    """
    The service levels of an installation; times are in seconds.

    The defaults apply to whatever the settings file leaves out.
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


class PipelineLimits(NamedTuple):
    """
    Limits on requests that are read behind others on callers' connections.

    `requests_per_connection` is the number of requests of a connection that run at the
    same time. A host works on at most `requests_per_host` requests whose turn has not
    come, and holds `bytes_per_connection` and `bytes_per_host` for requests behind
    others and for responses that wait for their turn.
    """

    requests_per_connection: int = 8
    bytes_per_connection: int = 1_048_576
    requests_per_host: int = 256
    bytes_per_host: int = 16_777_216


class HostSettings(NamedTuple):
    """
    The content of a host's settings file.

    `link_rate` is the capacity of the host's network link in bytes per second, or None
    if unknown. `buffered_bytes` is the most that it holds of large responses for
    callers that read slower than targets send. `memory_limit` is the bytes that the
    process may take, or None if unknown.
    With `request_queue`, requests wait on the host while scheduling is on.
    """

    id: HostId
    data_centre: DataCentre
    data_centres: tuple[DataCentre, ...]
    caller_address: Address
    readiness_address: Address
    peer_address: Address
    seeds: tuple[Address, ...]
    store_address: Address
    bounds: Bounds
    link_rate: float | None = None
    disabled_features: frozenset[Feature] = frozenset()
    scheduling: SchedulingMode = SchedulingMode.AUTO
    request_queue: bool = False
    pipeline_limits: PipelineLimits = PipelineLimits()
    buffered_bytes: int = DEFAULT_BUFFERED_BYTES
    memory_limit: int | None = None

    @property
    def has_seeds(self):
        """Whether the seeds name any other host."""
        return bool(set(self.seeds) - {self.peer_address})


class NoticeError(NamedTuple):
    """A header that could not be decoded, and the start of its value."""

    header: str
    text: str


class TargetNotices(NamedTuple):
    """
    What a target says about itself in the head of a response.

    `rate_limit` is the requests per second that it accepts from all hosts together.
    `retry_after` is the seconds for which it wants no requests from this host, and
    `idle_timeout` the seconds after which it closes an idle connection. A target that
    is draining is about to exit.
    """

    rate_limit: float | None = None
    is_draining: bool = False
    retry_after: float | None = None
    idle_timeout: float | None = None
    errors: tuple[NoticeError, ...] = ()


class SendOutcome(enum.Enum):
    """The result of sending a request to one target, as far as this host knows."""

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
    # The host's own path to the target has broken.
    PATH_LOST = "path-lost"


class Reply(NamedTuple):
    """
    A target's response.

    `headers` are pairs of bytes as received. `rest` is None if `body` is complete,
    otherwise an object that reads the remainder of the body.
    """

    status: int
    headers: list
    body: bytes
    rest: Any = None
