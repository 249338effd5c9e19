"""Actions: what a balancer wants done. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from alderspool.balancer.events import EndpointId


@dataclass(slots=True)
class Send:
    """Send one attempt of a request to an endpoint."""

    id: int
    endpoint: EndpointId
    timeout_ms: float = 0.0  # 0: until the request's deadline


@dataclass(slots=True)
class Reject:
    """Final response: trying again is harmless."""

    id: int
    retry_after_ms: float = 0.0  # 0: no advice


@dataclass(slots=True)
class Fail:
    """Final response: failed, and it may have run."""

    id: int


@dataclass(slots=True)
class Cancel:
    """Give up an attempt that is out."""

    id: int
    attempt: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check."""

    endpoint: EndpointId


@dataclass(slots=True)
class SetTimer:
    """Deliver a TimerFired event with this token after the delay."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class Watch:
    """Open the watch on the endpoint list, or end it."""

    on: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask for the whole endpoint list once."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: EndpointId


@dataclass(slots=True)
class SendToPeer:
    """Send bytes to another instance."""

    data: bytes
    peer: int | None = None  # None: every other instance


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Send | Reject | Fail | Cancel | CheckHealth | SetTimer | Watch | FetchList | CloseIdle | SendToPeer | Log
)
