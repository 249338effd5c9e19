"""Events: what a balancer is notified of.

Times are milliseconds of the caller's clock, which never runs backwards.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

EndpointId = bytes  # opaque; the simulator's wire uses six bytes


class Availability(IntEnum):
    """What the endpoint list says of an endpoint."""

    READY = 0
    GONE = 1
    DRAINING = 3


class UpdateMode(IntEnum):
    """How an update changes the endpoint list."""

    DELTA = 0
    FULL = 1
    CACHED = 2  # the list as this instance last held it, possibly stale
    FAILED = 3  # a call to discovery failed; no entries


class AttemptStatus(IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    REJECTED = 2  # by an endpoint at its limit: never ran, unless Settings.rejected_may_have_run
    TIMEOUT = 3
    CONNECT_FAILED = 4  # never ran
    RESET = 5
    CANCELLED = 6
    NEVER_SENT = 7  # never ran


# What proves that an attempt never ran; REJECTED only unless Settings.rejected_may_have_run.
NEVER_RAN = frozenset((AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NEVER_SENT))


@dataclass(slots=True)
class EndpointEntry:
    """One line of the endpoint list."""

    id: EndpointId
    weight: float = 1.0
    cell: int = 0
    started_at_ms: float = 0.0  # 0: long ago
    availability: int = Availability.READY
    zone: int = 0
    endpoint_type: int = 0


@dataclass(slots=True)
class EndpointListUpdate:
    """The endpoint list, or what changed in it."""

    mode: int  # an UpdateMode
    entries: list[EndpointEntry]
    revision: int = 0


@dataclass(slots=True)
class Request:
    """A client's request has come in."""

    id: int
    time_left_ms: float
    cls: int = 0  # index into Settings.classes
    tenant: int = 0  # index into Settings.tenants
    key: int = 0  # 0: none
    cost_hint_ms: float = 0.0  # 0: none
    is_retry: bool = False


@dataclass(slots=True)
class Outcome:
    """An attempt has ended."""

    id: int  # of the request
    attempt: int  # number among the attempts of the request, from 0
    endpoint: EndpointId
    status: int  # an AttemptStatus
    latency_ms: float
    finished: bool  # the request has had its final response
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class ResponseStarted:
    """The head of a streamed response has come."""

    id: int
    attempt: int
    endpoint: EndpointId
    latency_ms: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request has gone: no response is wanted any longer."""

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
    """A timer that a SetTimer action asked for."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Bytes that another instance has sent."""

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
