"""The answering half of HTTP/1.1 for the emulator's parties: one request at a time on a connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

import httptools

from alderspool.protocol.http_parts import HttpFault, HttpMessageCollector

BODY_LIMIT = 64 * 1024


@dataclass(slots=True)
class Request:
    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes


class ServerWire(HttpMessageCollector):
    """Bytes in, whole requests out; `fault` once what came is no HTTP."""

    def __init__(self) -> None:
        super().__init__(BODY_LIMIT)
        self._parser = httptools.HttpRequestParser(self)
        self._whole: list[Request] = []

    def receive(self, data: bytes) -> list[Request]:
        try:
            self.feed(self._parser, data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            self.fault = self.fault or HttpFault(400, str(fault))
        whole, self._whole = self._whole, []
        return whole

    def message_done(self) -> None:
        method = self._parser.get_method().decode()
        self._whole.append(Request(method, self.target.decode("latin-1"), dict(self.headers), self.body))


def answer(status: int, body: bytes = b"", *headers: bytes) -> bytes:
    """The bytes of an answer, whole."""
    lines = b"".join(b"%b\r\n" % line for line in headers)
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), lines, body)


class Listener:
    """A loopback listener that may go away and come back at the same port. `serve` is a connection's life."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.EndpointState | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listens: at a free port the first time, at the same one from then on."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """As when a process dies: connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            # Without lingering the kernel sends a reset, as it does for a process that died.
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side has gone, or the run has ended: this task ends here either way
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError
