"""Types and interfaces between the exchange and its users, independent of the wire protocol.

The client side and the endpoint side depend on these types only, not on each other. Durations are in
milliseconds, and timestamps are in milliseconds of `alderspool.routing.clock.Clock`.
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
    """A client's request, as the client side submits it.

    `time_left_ms` counts from the arrival of the request. Between its arrival and its submission, the request
    has waited in the accept queue, unread in the socket, or behind another request, for `waited_ms`.
    """

    cls: int  # index into Settings.classes
    tenant: int  # index into Settings.tenants
    key: int  # 0: no key
    time_left_ms: float  # from arrival until the deadline
    payload: Any  # defined by the wire protocol; the exchange passes it through unread
    client_request_id: bytes = b""  # assigned by the client, unique among the pending requests; b"": none
    is_retry: bool = False
    cost_hint_ms: float = 0.0  # 0: no hint
    is_disconnected: Callable[[], bool] = _never_disconnected  # called just before each attempt is written
    # Whether the client may have disconnected without a way to tell; called before each retry or hedge.
    may_hide_disconnect: Callable[[], bool] = _never_disconnected
    waited_ms: float = 0.0  # 0 for a wait in the kernel that the kernel does not report


@dataclass(slots=True)
class Served:
    """Final response: an endpoint served the request."""

    payload: Any  # the response, as defined by the wire protocol


@dataclass(slots=True)
class Rejected:
    """Final response: the request was rejected, and the client may safely retry it."""

    retry_after_ms: float = 0.0  # 0: no advice to the client


@dataclass(slots=True)
class Failed:
    """Final response: the request failed; it may have run."""

    timed_out: bool = False


FinalResponse = Served | Rejected | Failed
ResponseCallback = Callable[[FinalResponse], None]


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list, with the address at which the proxy reaches the endpoint."""

    entry: EndpointEntry
    host: str
    port: int


@dataclass(slots=True)
class EndpointList:
    """A response from discovery: the complete endpoint list, or the changes to it."""

    revision: int
    is_complete: bool  # False: only the entries that changed
    endpoints: list[Endpoint]


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to have a request served by one endpoint.

    Created by the exchange. The endpoint side sets `written` and `transport_handle`.
    """

    request_id: int
    number: int  # index among the attempts of the request, from 0
    endpoint: EndpointId
    host: str
    port: int
    payload: Any  # the payload of the ClientRequest
    started_at: float
    expires_at: float
    written: bool = False  # its last byte was handed to the transport, so it may have run
    ended: bool = False
    transport_handle: Any = None  # used by the endpoint side only


class Upstream(Protocol):
    """The interface of the endpoint side that the exchange uses."""

    def dispatch(self, attempt: Attempt) -> None:
        """Send an attempt to its endpoint.

        Its end must be reported to `Exchange.attempt_ended`, unless the attempt is cancelled first.
        """

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for the response to an attempt, and close its connection."""

    def close_idle(self, endpoint: EndpointId) -> None:
        """Close the idle connections to an endpoint."""

    def probe(self, endpoint: EndpointId, host: str, port: int) -> None:
        """Send a health check. Its result must be reported to `Exchange.health_check_ended`."""


class Discovery(Protocol):
    """The interface of the discovery client that the exchange uses."""

    def watch(self, on: bool) -> None:
        """Start or stop watching the endpoint list for changes."""

    def fetch(self) -> None:
        """Request the complete endpoint list once."""
