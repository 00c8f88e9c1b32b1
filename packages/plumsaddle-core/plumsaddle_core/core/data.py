"""
Data types shared by the other modules.

The parser turns text into `Configuration` and `Settings`. All types are immutable, so
a request in flight keeps the configuration that it started with when a newer version
is applied.
"""

import enum
from typing import Annotated, NamedTuple

from pydantic import Field

from .ids import (
    TargetKey,
)

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
AddressText = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
PathPrefix = Annotated[str, Field(pattern=r"^/")]
Seconds = Annotated[float, Field(gt=0, le=86400)]
StatusCode = Annotated[int, Field(ge=400, le=599)]


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


class DetectionTradeoff(enum.Enum):
    """What ejection favours: few false ejections or a short detection time."""

    FALSE_EJECTIONS = "false-ejections"
    DETECTION_TIME = "detection-time"


class HealthState(enum.Enum):
    """The state of a target in a host's pool, which decides what it is sent."""

    HEALTHY = "good"
    EJECTED = "ejected"
    TRIAL = "trial"
    SLOW_START = "slow-start"
    DRAINING = "leaving"


class Outcome(enum.Enum):
    """Whether a request was executed, as far as known when its caller is answered."""

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class HealthSignal(enum.Enum):
    """What one finished or overdue attempt indicates about its target."""

    GOOD = "good"
    SLOW = "slow"
    FAILED = "failed"


class FailureKind(enum.Enum):
    """Why an attempt at a target failed."""

    CONNECT = "connect"
    BROKEN = "broken"
    STALLED = "stalled"
    DEADLINE = "deadline"
    OVERDUE = "overdue"
    UNFRAMED = "unframed"
    SHED = "shed"
    ERROR = "error"
    CALLER = "caller"


class ParseError(NamedTuple):
    """An error in a configuration or settings file, with its location and entry."""

    source: str
    line: int
    message: str
    entry: str

    def __str__(self):
        return f"{self.source}:{self.line}: {self.entry}: {self.message}"


class Target(NamedTuple):
    """One worker of a service, as listed in the configuration."""

    id: Name
    address: AddressText
    data_centre: Name
    leaving: bool = False

    @property
    def key(self):
        """
        The target's identity in health evidence: its id and address.

        If either changes, it is a new target, and evidence about the old one does not
        apply to it.
        """
        return TargetKey(f"{self.id}@{self.address}")


class Service(NamedTuple):
    """
    A service, its dependencies, and the limits on its targets.

    `slots` and `connections` are the maximum concurrent requests and connections per
    target. `floor` is the number of targets that ejection must leave in use. Times are
    in seconds, and `buffer_bytes` is in bytes. `shed_status` are the status codes with
    which a target reports that it did not execute the request.
    """

    name: Name
    floor: Annotated[int, Field(ge=1)]
    slots: Annotated[int, Field(ge=1, le=10000)]
    connections: Annotated[int, Field(ge=1, le=100000)]
    targets: Annotated[tuple[Target, ...], Field(min_length=1)]
    depends_on: tuple[Name, ...] = ()
    weighing: DetectionTradeoff = DetectionTradeoff.FALSE_EJECTIONS
    shed_status: tuple[StatusCode, ...] = (429,)
    buffer_bytes: Annotated[int, Field(ge=0, le=16777216)] = 262144
    stall_timeout: Seconds = 10.0
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    expect_continue: bool = False
    close_delimited: bool = False
    probe_path: PathPrefix | None = None
    record_answers: bool = True
    queue: Annotated[int, Field(ge=0, le=10000)] = 32


class Route(NamedTuple):
    """Maps requests to a service and sets their kind and deadline."""

    prefix: PathPrefix
    service: Name
    kind: RequestKind
    methods: Annotated[tuple[str, ...], Field(min_length=1)]
    deadline: Seconds = 30.0


class Configuration(NamedTuple):
    """A validated version of the configuration that operators publish."""

    deployment: Name
    service: Annotated[tuple[Service, ...], Field(min_length=1)]
    route: Annotated[tuple[Route, ...], Field(min_length=1)]
    hosts_max: Annotated[int, Field(ge=1, le=100000)] = 44
    order_window: Annotated[float, Field(ge=60, le=31536000)] = 86400.0


class Listeners(NamedTuple):
    """The addresses on which a host listens, one for each kind of client."""

    callers: AddressText
    operators: AddressText
    hosts: AddressText


class Platform(NamedTuple):
    """Access to the platform. Times are in seconds."""

    url: Annotated[str, Field(pattern=r"^https?://[^/]+(/[^ ]*)?$")]
    append_timeout: Seconds = 2.0
    read_wait: Seconds = 1.0
    checkpoint_every: Seconds = 3600.0
    hosts_every: Seconds = 2.0


class Peers(NamedTuple):
    """Discovery and authentication among hosts. Times are in seconds."""

    secret: Annotated[str, Field(min_length=16)]
    seeds: tuple[AddressText, ...] = ()
    every: Seconds = 1.0
    fanout: Annotated[int, Field(ge=1, le=16)] = 3


class Logs(NamedTuple):
    """Logging settings of a host."""

    level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"
    json: bool = False


class CallerBounds(NamedTuple):
    """
    Bounds on what a host does for its callers.

    The first four limit pipelined requests; see `PipelineLimits` in `core/traffic.py`.
    `buffered_mb` is the most megabytes of large responses that the host holds for slow
    callers. One that takes nothing for `stall_timeout` seconds is cut.
    """

    requests_per_connection: Annotated[int, Field(ge=1)] = 8
    bytes_per_connection: Annotated[int, Field(ge=1)] = 1_048_576
    requests_per_host: Annotated[int, Field(ge=1)] = 256
    bytes_per_host: Annotated[int, Field(ge=1)] = 16_777_216
    buffered_mb: Annotated[float, Field(ge=1, le=100000)] = 50.0
    stall_timeout: Seconds = 10.0


class Settings(NamedTuple):
    """
    The content of a host's settings file.

    `leave_wait` is the seconds for which a host still accepts requests after SIGTERM.
    `grace` is the seconds until the platform then kills it, None if it does not.
    """

    id: Name
    data_centre: Name
    listen: Listeners
    platform: Platform
    peers: Peers
    logs: Logs = Logs()
    leave_wait: Annotated[float, Field(ge=0, le=3600)] = 5.0
    callers: CallerBounds = CallerBounds()
    grace: Annotated[float, Field(gt=0, le=3600)] | None = None


class Refusal(NamedTuple):
    """An error response from plumsaddle itself instead of from a target."""

    reason: enum.Enum
    outcome: Outcome
    detail: str
    retry_after: int | None = None
