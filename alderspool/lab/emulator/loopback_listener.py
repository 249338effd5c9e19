"""A listener on a loopback port that can be killed, like a process that crashes, and opened again."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

_LISTEN_BACKLOG = 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s


class LoopbackListener:
    """Owns a listening socket and its connections; subclasses implement `serve` for a connection."""

    def __init__(self) -> None:
        self.port = 0  # 0: not opened yet
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as `host:port`."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Start listening, on a free port the first time and on the same port from then on."""
        self._server = await asyncio.start_server(
            self._on_connection, "127.0.0.1", self.port, backlog=_LISTEN_BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """Reset all connections and refuse new ones, as when a process dies."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            # With a linger time of 0, the kernel sends a reset on close, as it does when a process dies.
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            # Each of these errors means that the peer has disconnected or that the run has ended; either way
            # the task of this connection ends here.
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; it is closed when this returns."""
        raise NotImplementedError
