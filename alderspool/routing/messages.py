"""What crosses the exchange: plain values, the same for every protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from alderspool.balancer.events import EndpointEntry, EndpointId


def _stays() -> bool:
    return False


@dataclass(slots=True)
class ClientRequest:
    """One request of a client. `payload` is the protocol's own and passes through unread. `gone`: whether
    its client has left by now; asked just before each attempt of it is written. Of `time_left_ms`, counted
    from its arrival, `waited_ms` have surely passed by now, and `longest_wait_ms` may have passed."""

    cls: int
    tenant: int
    key: int
    time_left_ms: float
    payload: Any
    client_request_id: bytes = b""  # the client's own id of it, unique among what is open; b"": none
    is_retry: bool = False
    cost_hint_ms: float = 0.0
    is_disconnected: Callable[[], bool] = _stays
    waited_ms: float = 0.0
    longest_wait_ms: float = 0.0


@dataclass(slots=True)
class Served:
    """An endpoint's answer; `payload` is the protocol's own."""

    payload: Any


@dataclass(slots=True)
class Rejected:
    """Refused: trying again is harmless."""

    retry_after_ms: float = 0.0  # 0 = no advice


@dataclass(slots=True)
class Failed:
    """Failed, with no word on whether it ran."""

    timed_out: bool = False


FinalResponse = Served | Rejected | Failed
ResponseCallback = Callable[[FinalResponse], None]


@dataclass(slots=True)
class Endpoint:
    """One line of the endpoint list, with the address that this proxy reaches it at."""

    entry: EndpointEntry
    host: str
    port: int


@dataclass(slots=True)
class EndpointList:
    """What discovery said: the whole list, or what changed."""

    revision: int
    is_complete: bool
    endpoints: list[Endpoint]


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one endpoint."""

    request_id: int
    number: int  # among the attempts of its request, from 0
    endpoint: EndpointId
    host: str
    port: int
    payload: Any
    started_at: float
    expires_at: float
    written: bool = False  # its last byte was handed over: it may have run
    ended: bool = False
    transport_handle: Any = None  # the endpoint side's own handle


class Upstream(Protocol):
    """The endpoint side, as the exchange sees it."""

    def dispatch(self, attempt: Attempt) -> None:
        """Sends it off; its end is told to the exchange, unless it is withdrawn before."""

    def cancel(self, attempt: Attempt) -> None:
        """Stops waiting for it, by closing its connection."""

    def close_idle(self, endpoint: EndpointId) -> None:
        """Closes the idle connections to a node."""

    def probe(self, endpoint: EndpointId, host: str, port: int) -> None:
        """Asks a node for its health; the result is told to the exchange."""


class Discovery(Protocol):
    """The source of the endpoint list, as the exchange sees it."""

    def watch(self, on: bool) -> None:
        """Starts or ends the watch on changes."""

    def fetch(self) -> None:
        """Asks for the whole list once."""
