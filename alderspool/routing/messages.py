"""The values and protocols at the border of the exchange; the same for every wire protocol.

The client side and the endpoint side know each other only through these types. Times are milliseconds;
points in time are on the clock of `alderspool.routing.clock`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from alderspool.balancer.events import EndpointEntry, EndpointId


def _never_disconnected() -> bool:
    return False


@dataclass(slots=True)
class ClientRequest:
    """One request of a client, as the client side submits it.

    `time_left_ms` counts from its arrival. Until it is submitted the request may have waited, unread or in
    the accept queue: surely for `waited_ms`, and for `longest_wait_ms` at most.
    """

    cls: int  # index into Settings.classes
    tenant: int  # index into Settings.tenants
    key: int  # 0: none
    time_left_ms: float  # from its arrival until its deadline
    payload: Any  # belongs to the wire protocol; the exchange passes it through unread
    client_request_id: bytes = b""  # the client's own id, unique among the pending requests; b"": none
    is_retry: bool = False
    cost_hint_ms: float = 0.0  # 0: none
    is_disconnected: Callable[[], bool] = _never_disconnected  # called just before each attempt is written
    waited_ms: float = 0.0
    longest_wait_ms: float = 0.0


@dataclass(slots=True)
class Served:
    """Final response: an endpoint served the request."""

    payload: Any  # belongs to the wire protocol


@dataclass(slots=True)
class Rejected:
    """Final response: rejected; a retry is harmless."""

    retry_after_ms: float = 0.0  # 0: no advice


@dataclass(slots=True)
class Failed:
    """Final response: failed; the request may have run or not."""

    timed_out: bool = False


FinalResponse = Served | Rejected | Failed
ResponseCallback = Callable[[FinalResponse], None]


@dataclass(slots=True)
class Endpoint:
    """One line of the endpoint list, with the address at which this proxy reaches the endpoint."""

    entry: EndpointEntry
    host: str
    port: int


@dataclass(slots=True)
class EndpointList:
    """A response of discovery: the complete list, or what changed in it."""

    revision: int
    is_complete: bool
    endpoints: list[Endpoint]


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one endpoint.

    Created by the exchange; the endpoint side sets `written` and `transport_handle`.
    """

    request_id: int
    number: int  # among the attempts of its request, from 0
    endpoint: EndpointId
    host: str
    port: int
    payload: Any  # of the ClientRequest
    started_at: float
    expires_at: float
    written: bool = False  # its last byte was handed to the transport: it may have run
    ended: bool = False
    transport_handle: Any = None  # the endpoint side's own


class Upstream(Protocol):
    """The endpoint side, as the exchange sees it."""

    def dispatch(self, attempt: Attempt) -> None:
        """Send an attempt to its endpoint.

        Its end is reported by `Exchange.attempt_ended`, unless the attempt is cancelled before.
        """

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for the response to an attempt, and close its connection."""

    def close_idle(self, endpoint: EndpointId) -> None:
        """Close the idle connections to an endpoint."""

    def probe(self, endpoint: EndpointId, host: str, port: int) -> None:
        """Send a health check; its result is reported by `Exchange.health_check_ended`."""


class Discovery(Protocol):
    """The source of the endpoint list, as the exchange sees it."""

    def watch(self, on: bool) -> None:
        """Start or end the watch for changes of the endpoint list."""

    def fetch(self) -> None:
        """Poll the complete endpoint list once."""
