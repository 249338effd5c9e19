"""Who cannot be let in is refused in words: else its request would be left without an answer."""

from __future__ import annotations

import asyncio
import socket

from alderspool.protocol.downstream import CONNECTION_REJECTED
from alderspool.transport.streams import READ_SIZE

# Such connections are beyond the clients' part of the descriptors: there are few, and for a moment.
MOST = 16
PATIENCE_S = 0.1


class ConnectionRejector:
    """Connections that get one refusal each and nothing else; their requests are not read."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[socket.socket, asyncio.TimerHandle] = {}  # the oldest first
        self._told: set[socket.socket] = set()

    def __len__(self) -> int:
        return len(self._waiting)

    def refuse(self, sock: socket.socket) -> None:
        """Takes the socket over. The refusal goes out as its request comes, at the latest as it ends."""
        if len(self._waiting) >= MOST:
            self._end(next(iter(self._waiting)))
        sock.setblocking(False)
        self._waiting[sock] = self._loop.call_later(PATIENCE_S, self._end, sock)
        self._loop.add_reader(sock, self._look, sock)

    def abort_all(self) -> None:
        """Ends them all, each with its refusal."""
        for sock in list(self._waiting):
            self._end(sock)

    def _look(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(READ_SIZE)  # read away: closing over it would reset the connection
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        self._tell(sock)
        if not data:
            self._end(sock)

    def _tell(self, sock: socket.socket) -> None:
        if sock not in self._told:
            self._told.add(sock)
            try:
                sock.send(CONNECTION_REJECTED)  # a few bytes into an empty buffer: all of it or nothing
                sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass  # it has gone

    def _end(self, sock: socket.socket) -> None:
        self._tell(sock)
        self._loop.remove_reader(sock)
        self._waiting.pop(sock).cancel()
        self._told.discard(sock)
        sock.close()
