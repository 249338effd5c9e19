"""The set of open client connections: eviction, timeouts, draining, and the limit on keep-alive connections.

Decides which connections to close; the closing itself is in `client_connection`, accepting in `acceptor`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from alderspool.transport.client_connection import ClientConnection
from alderspool.transport.connection_state import LINGERING_CLOSE
from alderspool.transport.eviction import EvictionOrder
from alderspool.transport.memory_budget import MemoryBudget

# A client that has not sent a complete request after this time is sent a 408, or its connection is closed if
# it has sent nothing. Receiving more of the request does not extend the time. Measured from the accept, the
# last response, or the first byte of a further request.
IDLE_TIMEOUT_S = 2.1
# A client that has just connected is about to send a request: while draining, a new connection is kept open
# for this long.
NEW_CONNECTION_GRACE_S = 0.3
TIMEOUT_CHECK_INTERVAL_S = 0.2


class ConnectionTable:
    """Owns the open client connections.

    `max_keep_alive_connections`: while more connections than this have submitted a request, a connection is
    closed after its response; see `exceeds_keep_alive_limit`. `memory`: the budget for what the connections
    hold together.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_keep_alive_connections: int, memory: MemoryBudget
    ) -> None:
        self.loop = loop
        self.memory = memory
        self.is_draining = False
        self._connections: dict[ClientConnection, None] = {}  # oldest first
        self._eviction_order: EvictionOrder[ClientConnection] = EvictionOrder()
        self._keep_alive_count = 0  # connections that have submitted a request and are not ending
        self._max_keep_alive_connections = max_keep_alive_connections

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[ClientConnection]:
        return iter(self._connections)

    def add(self, connection: ClientConnection) -> None:
        """Add a new connection."""
        self._connections[connection] = None
        self.update_eviction(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection whose socket is closed."""
        self._connections.pop(connection, None)
        connection.release_memory()

    # ---- keeping connections open after a response -------------------------------------------------

    @property
    def exceeds_keep_alive_limit(self) -> bool:
        """Whether more connections have been used for requests than may be kept alive.

        While idle, they would block new clients for up to the idle timeout. Connections that have not
        submitted a request are not counted, so a flood of them does not end keep-alive for other clients.
        """
        return self._keep_alive_count > self._max_keep_alive_connections

    @property
    def closes_after_response(self) -> bool:
        """Whether to close a connection after a response, unless further input has been received."""
        return self.is_draining or self._keep_alive_count > self._max_keep_alive_connections

    def count_keep_alive(self, connection: ClientConnection) -> None:
        """Count a connection that is about to submit its first request."""
        connection.has_submitted = True
        self._keep_alive_count += 1

    def uncount_keep_alive(self, connection: ClientConnection) -> None:
        """Stop counting a connection that is ending."""
        if connection.has_submitted:
            self._keep_alive_count -= 1
            connection.has_submitted = False

    # ---- eviction ------------------------------------------------------------------------------------

    def update_eviction(self, connection: ClientConnection) -> None:
        """Update a connection's place in the eviction order; to be called after each state change."""
        eviction_class = connection.eviction_class
        if eviction_class is None or connection.writer.transport.is_closing():
            self._eviction_order.remove(connection)
        else:
            self._eviction_order.place(connection, eviction_class)

    def exclude_from_eviction(self, connection: ClientConnection) -> None:
        """Remove a connection that is being closed from the eviction order."""
        self._eviction_order.remove(connection)

    def evict_one(self) -> bool:
        """Close the first evictable connection in eviction order; return whether there was one.

        The descriptor is needed at once, so there is no lingering close. This loses nothing, because the last
        response arrived long ago and the client of an idle connection sends its next request on a new one.
        """
        connection = self._first_evictable()
        if connection is None:
            return False
        self._eviction_order.remove(connection)
        connection.writer.close()
        return True

    def _first_evictable(self) -> ClientConnection | None:
        for connection in self._eviction_order.candidates():
            if connection.is_closing:  # its descriptor is about to be freed anyway
                continue
            if connection.state is LINGERING_CLOSE or connection.close_if_idle():
                return connection
            if not connection.is_idle and connection.reject_incomplete():
                return connection
        return None

    # ---- memory --------------------------------------------------------------------------------------

    def shed_memory(self) -> bool:
        """Reject incomplete requests, the largest first, until the memory budget is met.

        Connections within their guaranteed part are spared. Returns whether any request was rejected.
        """
        has_shed = False
        while self.memory.is_exceeded:
            candidates = [connection for connection in self._connections if connection.can_shed_memory]
            largest = max(candidates, key=lambda connection: connection.memory_bytes, default=None)
            if largest is None or not largest.exceeds_guaranteed_memory:
                break
            largest.shed_memory()
            has_shed = True
        return has_shed

    # ---- timeouts ------------------------------------------------------------------------------------

    def check_timeouts(self) -> None:
        """Check the timeouts of all connections, and schedule the next check."""
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self.check_timeouts)
        now_s = self.loop.time()
        for connection in list(self._connections):
            connection.update_memory()
            if connection.is_ending:
                connection.check_lingering_close(now_s)
            elif connection.awaits_request and connection.timeout_started_s < now_s - IDLE_TIMEOUT_S:
                _end_timed_out(connection)

    # ---- draining ------------------------------------------------------------------------------------

    def close_idle(self) -> None:
        """Close the idle connections, except those accepted within NEW_CONNECTION_GRACE_S."""
        grace_start_s = self.loop.time() - NEW_CONNECTION_GRACE_S
        for connection in list(self._connections):
            if connection.has_responded or connection.timeout_started_s < grace_start_s:
                connection.close_if_idle()

    def reject_incomplete(self) -> None:
        """Close the idle connections, and reject requests that have been received only in part."""
        for connection in list(self._connections):
            if connection.awaits_request and not connection.close_if_idle():
                connection.reject_incomplete()

    def abort_all(self) -> None:
        """Close all connections at once, and discard unsent data."""
        for connection in list(self._connections):
            connection.abort()


def _end_timed_out(connection: ClientConnection) -> None:
    if not connection.close_if_idle() and not connection.is_idle:
        connection.reject_incomplete()
