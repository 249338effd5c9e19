"""All client connections together: eviction, timeouts, draining, and how many may stay open.

Each connection carries out what is decided here; accepting is in `acceptor`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from alderspool.transport.client_connection import ClientConnection
from alderspool.transport.connection_state import LINGERING_CLOSE
from alderspool.transport.eviction import EvictionOrder

# A client that has not sent a complete request is sent a 408, or closed where it has sent nothing, after this
# time, whatever it has sent of the request. Counted from its connecting, its last response, or the first byte
# of a further request.
IDLE_TIMEOUT_S = 2.1
# A client that has just connected did so to send a request: while draining, its connection is kept this long.
NEW_CONNECTION_GRACE_S = 0.3
SWEEP_INTERVAL_S = 0.2


class ConnectionTable:
    """Owns the open client connections.

    `max_kept_connections`: while more connections than this have submitted a request, a response ends its
    connection (`crowded`).
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_kept_connections: int) -> None:
        self.loop = loop
        self.is_draining = False
        self._connections: dict[ClientConnection, None] = {}  # the oldest first
        self._eviction_order: EvictionOrder[ClientConnection] = EvictionOrder()
        self._requesters = 0  # connections that have submitted a request and are not ending
        self._max_kept_connections = max_kept_connections

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[ClientConnection]:
        return iter(self._connections)

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that has just been made."""
        self._connections[connection] = None
        self.update_eviction(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection whose socket is closed."""
        self._connections.pop(connection, None)

    # ---- keeping connections open after a response -------------------------------------------------

    @property
    def crowded(self) -> bool:
        """Whether many clients hold a connection after a request of theirs.

        Their idle connections would keep new clients out for as long as the idle timeout. Connections that
        have not sent a request do not count: a flood of those changes nothing here.
        """
        return self._requesters > self._max_kept_connections

    @property
    def closes_after_response(self) -> bool:
        """Whether a connection is to end with a response unless further input has been received."""
        return self.is_draining or self._requesters > self._max_kept_connections

    def count_requester(self, connection: ClientConnection) -> None:
        """Count a connection that is about to submit its first request."""
        connection.has_submitted = True
        self._requesters += 1

    def forget_requester(self, connection: ClientConnection) -> None:
        """Stop counting a connection that ends."""
        if connection.has_submitted:
            self._requesters -= 1
            connection.has_submitted = False

    # ---- eviction ------------------------------------------------------------------------------------

    def update_eviction(self, connection: ClientConnection) -> None:
        """Update a connection's place in the order of eviction, after each change of its state."""
        eviction_class = connection.eviction_class
        if eviction_class is None or connection.writer.transport.is_closing():
            self._eviction_order.remove(connection)
        else:
            self._eviction_order.place(connection, eviction_class)

    def exclude_from_eviction(self, connection: ClientConnection) -> None:
        """Take a connection that is being closed out of the order of eviction."""
        self._eviction_order.remove(connection)

    def evict_one(self) -> bool:
        """Close one connection without a pending request, in the order of EvictionClass, if there is any.

        Its descriptor is needed now, so there is no lingering close; its last response has long arrived. The
        client of an idle connection sends its next request on a new one.
        """
        connection = self._first_evictable()
        if connection is None:
            return False
        self._eviction_order.remove(connection)
        connection.writer.close()
        return True

    def _first_evictable(self) -> ClientConnection | None:
        for connection in self._eviction_order.candidates():
            if connection.is_closing:  # its descriptor is being freed already
                continue
            if connection.state is LINGERING_CLOSE or connection.close_if_idle():
                return connection
            if not connection.is_idle and connection.reject_incomplete():
                return connection
        return None

    # ---- timeouts ------------------------------------------------------------------------------------

    def start_sweeping(self) -> None:
        """Check the timeouts of all connections now, and at intervals from now on."""
        self.loop.call_later(SWEEP_INTERVAL_S, self.start_sweeping)
        now_s = self.loop.time()
        for connection in list(self._connections):
            if connection.is_ending:
                connection.check_lingering_close(now_s)
            elif connection.awaits_request and connection.timeout_started_s < now_s - IDLE_TIMEOUT_S:
                _end_timed_out(connection)

    # ---- draining ------------------------------------------------------------------------------------

    def close_idle(self) -> None:
        """Close the idle connections, except those that have just been made."""
        newest_s = self.loop.time() - NEW_CONNECTION_GRACE_S
        for connection in list(self._connections):
            if connection.has_responded or connection.timeout_started_s < newest_s:
                connection.close_if_idle()

    def reject_incomplete(self) -> None:
        """Close the idle connections, and reject the requests that have been received only in part."""
        for connection in list(self._connections):
            if connection.awaits_request and not connection.close_if_idle():
                connection.reject_incomplete()

    def abort_all(self) -> None:
        """Close all connections at once, and drop what is not sent yet."""
        for connection in list(self._connections):
            connection.abort()


def _end_timed_out(connection: ClientConnection) -> None:
    if not connection.close_if_idle() and not connection.is_idle:
        connection.reject_incomplete()
