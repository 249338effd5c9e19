"""A listener on a loopback port that can disappear, as its process does in a crash, and return."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

_ACCEPT_QUEUE = 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s


class LoopbackListener:
    """Owns the listening socket and its connections; subclasses define what happens on a connection."""

    def __init__(self) -> None:
        self.port = 0  # 0: not opened yet
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as `host:port`."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listen: at a free port the first time, and at the same one from then on."""
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", self.port, backlog=_ACCEPT_QUEUE
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """Reset all connections and refuse new ones, as when a process dies."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            # Without lingering the kernel sends a reset, as it does for a process that died.
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
