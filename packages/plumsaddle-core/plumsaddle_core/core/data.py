"""
The data that every other module shares.

Texts become `Configuration` in the parser; requests, answers and log records
become the small tuples below; the operations take them and return new ones. A
tuple never changes, so a request in flight keeps the configuration it began with
while a newer one is already in force for the next request.
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
    """What may be done with a request that failed half way."""

    IDEMPOTENT = "idempotent"
    ORDER = "order"
    UPLOAD = "upload"


class DetectionTradeoff(enum.Enum):
    """Which of the two measured errors a deployment would rather make."""

    FALSE_EJECTIONS = "false-ejections"
    DETECTION_TIME = "detection-time"


class HealthState(enum.Enum):
    """What a host lets a target do."""

    HEALTHY = "good"
    EJECTED = "ejected"
    TRIAL = "trial"
    SLOW_START = "slow-start"
    DRAINING = "leaving"


class Outcome(enum.Enum):
    """What is known of a request's effect when its caller is answered."""

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class HealthSignal(enum.Enum):
    """What one finished or overdue try says about its target."""

    GOOD = "good"
    SLOW = "slow"
    FAILED = "failed"


class FailureKind(enum.Enum):
    """How a try at a target went wrong."""

    CONNECT = "connect"
    BROKEN = "broken"
    STALLED = "stalled"
    DEADLINE = "deadline"
    OVERDUE = "overdue"
    UNFRAMED = "unframed"
    SHED = "shed"
    ERROR = "error"
    CALLER = "caller"


class Error(NamedTuple):
    """A mistake in a text: where it stands, what is wrong, and in which entry."""

    source: str
    line: int
    message: str
    entry: str

    def __str__(self):
        return f"{self.source}:{self.line}: {self.entry}: {self.message}"


class Target(NamedTuple):
    """One worker of a service, as the configuration names it."""

    id: Name
    address: AddressText
    data_centre: Name
    leaving: bool = False

    @property
    def key(self):
        """
        The target's identity for evidence: its id and its address together.

        A reused address with another id, or an id that moved, is another target,
        and nothing that was seen of the former one counts against it.
        """
        return TargetKey(f"{self.id}@{self.address}")


class Service(NamedTuple):
    """
    A service, what it depends on, and the limits on its targets.

    `slots` and `connections` are what one target takes at a time. `floor` is the
    number of targets that ejection must leave in. Times are in seconds, the buffer
    bound in bytes. `shed_status` are the statuses by which a target says that it
    has not run the request.
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
    """Which requests go to which service, as what kind, and for how long."""

    prefix: PathPrefix
    service: Name
    kind: RequestKind
    methods: Annotated[tuple[str, ...], Field(min_length=1)]
    deadline: Seconds = 30.0


class Configuration(NamedTuple):
    """The whole text that operators publish, checked."""

    deployment: Name
    service: Annotated[tuple[Service, ...], Field(min_length=1)]
    route: Annotated[tuple[Route, ...], Field(min_length=1)]
    hosts_max: Annotated[int, Field(ge=1, le=100000)] = 44
    order_window: Annotated[float, Field(ge=60, le=31536000)] = 86400.0


class Listeners(NamedTuple):
    """The addresses on which a host listens, one for each kind of visitor."""

    callers: AddressText
    operators: AddressText
    hosts: AddressText


class Platform(NamedTuple):
    """How a host reaches the platform. Times are in seconds."""

    url: Annotated[str, Field(pattern=r"^https?://[^/]+(/[^ ]*)?$")]
    append_timeout: Seconds = 2.0
    read_wait: Seconds = 1.0
    checkpoint_every: Seconds = 3600.0
    hosts_every: Seconds = 2.0


class Peers(NamedTuple):
    """How hosts find and trust each other. Times are in seconds."""

    secret: Annotated[str, Field(min_length=16)]
    seeds: tuple[AddressText, ...] = ()
    every: Seconds = 1.0
    fanout: Annotated[int, Field(ge=1, le=16)] = 3


class Logs(NamedTuple):
    """How a host writes its log."""

    level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"
    json: bool = False


class Settings(NamedTuple):
    """Everything a host learns from its settings file."""

    id: Name
    data_centre: Name
    listen: Listeners
    platform: Platform
    peers: Peers
    logs: Logs = Logs()
    leave_wait: Annotated[float, Field(ge=0, le=3600)] = 5.0


class Refusal(NamedTuple):
    """An answer that plumsaddle gives by itself instead of a target's."""

    reason: enum.Enum
    outcome: Outcome
    detail: str
    retry_after: int | None = None
