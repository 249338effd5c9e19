"""Events: the notifications that a balancer receives.

Times are milliseconds of the caller's clock, which is monotonic.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

EndpointId = bytes  # opaque; six bytes in the simulator's wire format and in load reports


class Availability(IntEnum):
    """The state of an endpoint in the endpoint list."""

    READY = 0
    GONE = 1
    DRAINING = 3


class UpdateMode(IntEnum):
    """How an update changes the endpoint list."""

    DELTA = 0
    FULL = 1
    CACHED = 2  # the complete list that this instance held last, possibly stale
    FAILED = 3  # a call to discovery failed; the update has no entries


class AttemptStatus(IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    REJECTED = 2  # by an endpoint at its limit; never ran, unless Settings.rejected_may_have_run is set
    TIMEOUT = 3
    CONNECT_FAILED = 4  # never ran
    RESET = 5  # connection lost, or response cut short or invalid
    CANCELLED = 6
    NEVER_SENT = 7  # never ran


# Statuses that prove that an attempt never ran; REJECTED only if Settings.rejected_may_have_run is not set.
NEVER_RAN = frozenset((AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NEVER_SENT))


@dataclass(slots=True)
class EndpointEntry:
    """One entry of the endpoint list."""

    id: EndpointId
    weight: float = 1.0
    cell: int = 0
    started_at_ms: float = 0.0  # start of the endpoint's process; 0: long ago
    availability: int = Availability.READY
    zone: int = 0
    endpoint_type: int = 0


@dataclass(slots=True)
class EndpointListUpdate:
    """The complete endpoint list, or the changes to it."""

    mode: int  # an UpdateMode
    entries: list[EndpointEntry]
    revision: int = 0


@dataclass(slots=True)
class Request:
    """A request has arrived from a client."""

    id: int
    time_left_ms: float  # until the client's deadline
    cls: int = 0  # index into Settings.classes
    tenant: int = 0  # index into Settings.tenants
    key: int = 0  # 0: none
    cost_hint_ms: float = 0.0  # 0: none
    is_retry: bool = False


@dataclass(slots=True)
class Outcome:
    """An attempt has ended."""

    id: int  # of the request
    attempt: int  # index of the attempt within the request, from 0
    endpoint: EndpointId
    status: int  # an AttemptStatus
    latency_ms: float
    finished: bool  # the final response of the request has been sent to its client
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class ResponseStarted:
    """The head of a streamed response has arrived."""

    id: int
    attempt: int
    endpoint: EndpointId
    latency_ms: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has disconnected and no longer waits for a response."""

    id: int


@dataclass(slots=True)
class HealthChecked:
    """A health check has ended."""

    endpoint: EndpointId
    status: int  # an AttemptStatus
    latency_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class TimerFired:
    """A timer that was set by a SetTimer action has expired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message from another proxy instance."""

    sender: int
    data: bytes


Event = (
    EndpointListUpdate
    | Request
    | Outcome
    | ResponseStarted
    | ClientDisconnected
    | HealthChecked
    | TimerFired
    | PeerMessage
)
