"""Keeps track of idle connections, and selects which one to reuse and which ones to close.

Nothing here opens, writes to or closes a connection: the pool does that. The only access to a socket is a
connection's `is_open_without_input`.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from alderspool.balancer.events import EndpointId
from alderspool.protocol.duplicate_responses import DuplicateResponseDetector, ResponseFingerprint


class IdleConnection(Protocol):
    """The properties of a connection that the selection depends on."""

    @property
    def endpoint(self) -> EndpointId:
        """The endpoint to which the connection was opened."""

    @property
    def host(self) -> str:
        """The host to which it was opened; the endpoint's address may have changed since."""

    @property
    def port(self) -> int:
        """The port to which it was opened."""

    @property
    def idle_since_s(self) -> float:
        """When its last response was completed."""

    @property
    def last_fingerprint(self) -> ResponseFingerprint | None:
        """The fingerprint of its last response."""

    def is_open_without_input(self) -> bool:
        """Whether the connection is open and has no unread input."""


Connection = TypeVar("Connection", bound=IdleConnection)


@dataclass(slots=True)
class ReuseSelection(Generic[Connection]):
    """The selection for one attempt: the connection to reuse, if any, and unusable ones found on the way."""

    to_reuse: Connection | None
    to_close: list[Connection]


class IdleConnections(Generic[Connection]):
    """The idle connections of a pool, by endpoint and by idle time.

    Connections are added as they become idle, so both orders run from the longest idle to the most recently
    used one. The cost of an operation on one connection does not depend on the number of endpoints. Within an
    endpoint, removing the most recently used connection takes constant time, and removing any other one takes
    linear time.
    """

    def __init__(self, idle_timeout_s: float, duplicates: DuplicateResponseDetector) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._duplicates = duplicates
        # Maps every idle connection, longest idle first, to the list in `_by_endpoint` that contains it.
        self._by_idle_time: OrderedDict[Connection, list[Connection]] = OrderedDict()
        self._by_endpoint: dict[EndpointId, list[Connection]] = {}  # without empty lists

    def __len__(self) -> int:
        return len(self._by_idle_time)

    def add(self, connection: Connection) -> None:
        """Add a connection that has just become idle."""
        same_endpoint = self._by_endpoint.get(connection.endpoint)
        if same_endpoint is None:
            same_endpoint = self._by_endpoint[connection.endpoint] = []
        same_endpoint.append(connection)
        self._by_idle_time[connection] = same_endpoint

    def discard(self, connection: Connection) -> None:
        """Remove a connection; one that is not idle is ignored."""
        same_endpoint = self._by_idle_time.pop(connection, None)
        if same_endpoint is None:
            return
        if same_endpoint[-1] is connection:  # the usual case: it is taken for reuse
            same_endpoint.pop()
        else:
            same_endpoint.remove(connection)
        if not same_endpoint:
            del self._by_endpoint[connection.endpoint]

    def select(self, endpoint: EndpointId, host: str, port: int, now_s: float) -> ReuseSelection[Connection]:
        """Select the most recently used connection that can carry an attempt to this address.

        No connection is removed. Those on which a duplicate response may still arrive are neither reused nor
        reported as unusable.
        """
        unusable: list[Connection] = []
        for connection in reversed(self._by_endpoint.get(endpoint, ())):
            idle_s = now_s - connection.idle_since_s
            # Input that arrived after the last response would be taken for the response to the next attempt.
            is_usable = connection.is_open_without_input() and idle_s < self._idle_timeout_s
            if not is_usable or connection.port != port or connection.host != host:
                unusable.append(connection)
            elif self._duplicates.may_reuse(connection.last_fingerprint, idle_s):
                return ReuseSelection(connection, unusable)
        return ReuseSelection(None, unusable)

    def for_endpoint(self, endpoint: EndpointId) -> list[Connection]:
        """Return the idle connections to an endpoint, longest idle first."""
        return list(self._by_endpoint.get(endpoint, ()))

    def expired(self, now_s: float) -> list[Connection]:
        """Return the connections that have reached the idle timeout, longest idle first."""
        cutoff_s = now_s - self._idle_timeout_s
        expired: list[Connection] = []
        for connection in self._by_idle_time:
            if connection.idle_since_s > cutoff_s:
                break
            expired.append(connection)
        return expired

    def longest_idle(self) -> Connection | None:
        """Return the connection to evict first, or None if there is none."""
        return next(iter(self._by_idle_time), None)
