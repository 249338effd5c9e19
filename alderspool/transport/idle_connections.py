"""Which idle connection to reuse, and which to close. Decisions only: the pool acts on them.

Nothing here opens, writes to or closes a connection; `is_open_without_input` of a connection is the only thing that is
asked of the outside.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from alderspool.balancer.events import EndpointId
from alderspool.protocol.duplicate_responses import DuplicateResponseDetector, ResponseFingerprint


class IdleConnection(Protocol):
    """What the decisions need to know of a connection."""

    @property
    def endpoint(self) -> EndpointId:
        """The endpoint that the connection leads to."""

    @property
    def host(self) -> str:
        """The host that it was opened to; the endpoint may have moved since."""

    @property
    def port(self) -> int:
        """The port that it was opened to."""

    @property
    def idle_since_s(self) -> float:
        """When its last response was complete."""

    @property
    def last_fingerprint(self) -> ResponseFingerprint | None:
        """The fingerprint of its last response."""

    def is_open_without_input(self) -> bool:
        """Whether the connection is open and nothing unread has arrived on it."""


Connection = TypeVar("Connection", bound=IdleConnection)


@dataclass(slots=True)
class Choice(Generic[Connection]):
    """What to do for one attempt: the connection to reuse, if any, and those found unfit while choosing."""

    reuse: Connection | None
    close: list[Connection]


class IdleConnections(Generic[Connection]):
    """The idle connections of a pool, by endpoint and by age.

    Connections are added as they become idle, so that both orders are from the longest idle to the most
    recently used one. No operation on one connection costs more where there are more endpoints; within one
    endpoint, removing the most recently used connection is constant, and removing another one is linear.
    """

    def __init__(self, idle_timeout_s: float, duplicates: DuplicateResponseDetector) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._duplicates = duplicates
        # Every idle connection, the longest idle first, with the list of its endpoint that it is in.
        self._by_age: OrderedDict[Connection, list[Connection]] = OrderedDict()
        self._by_endpoint: dict[EndpointId, list[Connection]] = {}  # none of the lists is empty

    def __len__(self) -> int:
        return len(self._by_age)

    def add(self, connection: Connection) -> None:
        """Add a connection that has become idle just now."""
        of_endpoint = self._by_endpoint.get(connection.endpoint)
        if of_endpoint is None:
            of_endpoint = self._by_endpoint[connection.endpoint] = []
        of_endpoint.append(connection)
        self._by_age[connection] = of_endpoint

    def discard(self, connection: Connection) -> None:
        """Remove a connection; one that is not idle is ignored."""
        of_endpoint = self._by_age.pop(connection, None)
        if of_endpoint is None:
            return
        if of_endpoint[-1] is connection:  # the usual case: reuse takes the most recently used one
            of_endpoint.pop()
        else:
            of_endpoint.remove(connection)
        if not of_endpoint:
            del self._by_endpoint[connection.endpoint]

    def choose(self, endpoint: EndpointId, host: str, port: int, now_s: float) -> Choice[Connection]:
        """Choose the most recently used connection that is fit to carry an attempt to this address.

        Nothing is removed. Connections that a duplicate response may still reach are left idle.
        """
        unfit: list[Connection] = []
        for connection in reversed(self._by_endpoint.get(endpoint, ())):
            idle_s = now_s - connection.idle_since_s
            # What arrived after the last response would be taken for the response to the next attempt.
            is_fit = connection.is_open_without_input() and idle_s < self._idle_timeout_s
            if not is_fit or connection.port != port or connection.host != host:
                unfit.append(connection)
            elif self._duplicates.may_reuse(connection.last_fingerprint, idle_s):
                return Choice(connection, unfit)
        return Choice(None, unfit)

    def of_endpoint(self, endpoint: EndpointId) -> list[Connection]:
        """Return the connections of one endpoint, the longest idle first."""
        return list(self._by_endpoint.get(endpoint, ()))

    def expired(self, now_s: float) -> list[Connection]:
        """Return the connections that have reached the idle timeout, the longest idle first."""
        cutoff_s = now_s - self._idle_timeout_s
        found: list[Connection] = []
        for connection in self._by_age:
            if connection.idle_since_s > cutoff_s:
                break
            found.append(connection)
        return found

    def longest_idle(self) -> Connection | None:
        """Return the connection to evict first, or None if there is none."""
        return next(iter(self._by_age), None)
