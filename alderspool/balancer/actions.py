"""Actions: what a balancer asks its caller to do. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from alderspool.balancer.events import EndpointId


@dataclass(slots=True)
class Send:
    """Send one attempt of a request to an endpoint."""

    id: int
    endpoint: EndpointId
    timeout_ms: float = 0.0  # 0: the attempt may last until the request's deadline


@dataclass(slots=True)
class Reject:
    """Final response to the client: rejected, and safe to retry."""

    id: int
    retry_after_ms: float = 0.0  # value for Retry-After; 0: none


@dataclass(slots=True)
class Fail:
    """Final response to the client: failed, and the request may have been executed."""

    id: int


@dataclass(slots=True)
class Cancel:
    """Cancel an open attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to an endpoint."""

    endpoint: EndpointId


@dataclass(slots=True)
class SetTimer:
    """Deliver a TimerFired event with `token` after the delay."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class Watch:
    """Start watching the endpoint list for updates, or stop."""

    on: bool = True


@dataclass(slots=True)
class FetchList:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: EndpointId


@dataclass(slots=True)
class SendToPeer:
    """Send a message to another proxy instance."""

    data: bytes
    peer: int | None = None  # instance number; None: every other instance


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Send | Reject | Fail | Cancel | CheckHealth | SetTimer | Watch | FetchList | CloseIdle | SendToPeer | Log
)
