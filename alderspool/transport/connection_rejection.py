"""Answers connections beyond the descriptor budget with a 503, so that no request stays unanswered.

Which connections are rejected is decided by the acceptor.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from alderspool.protocol.http_server import CONNECTION_REJECTED
from alderspool.transport.streams import READ_SIZE

# Rejected connections exceed the client side's share of the descriptors, so only a few may be open, and each
# only for a short time.
MAX_CONNECTIONS = 16
TIMEOUT_S = 0.1


class ConnectionRejector:
    """Owns rejected sockets until each has been sent a 503 and closed. Requests on them are discarded."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._timeouts: dict[socket.socket, asyncio.TimerHandle] = {}  # oldest first
        self._responded: set[socket.socket] = set()

    def __len__(self) -> int:
        return len(self._timeouts)

    def reject(self, connection: socket.socket) -> None:
        """Take ownership of a socket, and send a 503 when its request arrives or after TIMEOUT_S."""
        if len(self._timeouts) >= MAX_CONNECTIONS:
            oldest = next(iter(self._timeouts))
            self._close(oldest)
        connection.setblocking(False)
        self._timeouts[connection] = self._loop.call_later(TIMEOUT_S, self._close, connection)
        self._loop.add_reader(connection, self._on_readable, connection)

    def abort_all(self) -> None:
        """Close all rejected connections at once, sending a 503 to those that have not been sent one."""
        for connection in list(self._timeouts):
            self._close(connection)

    def _on_readable(self, connection: socket.socket) -> None:
        try:
            data = connection.recv(READ_SIZE)  # discarded: closing with unread bytes would send a reset
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        self._respond(connection)
        if not data:
            self._close(connection)

    def _respond(self, connection: socket.socket) -> None:
        if connection in self._responded:
            return
        self._responded.add(connection)
        with contextlib.suppress(OSError):  # the client has disconnected
            connection.send(CONNECTION_REJECTED)  # short, and the send buffer is empty: never a partial write
            connection.shutdown(socket.SHUT_WR)

    def _close(self, connection: socket.socket) -> None:
        self._respond(connection)
        self._loop.remove_reader(connection)
        self._timeouts.pop(connection).cancel()
        self._responded.discard(connection)
        connection.close()
