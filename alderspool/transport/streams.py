"""Reading from streams: what both sides of the proxy and discovery share.

Includes the checks that look at a socket without reading from it.
"""

from __future__ import annotations

import asyncio
import select
import socket

from alderspool.protocol.http_client import HttpClientCodec, HttpResponse

# The poll event by which Linux reports that the peer has ended its sending. Resets and hang-ups are reported
# without being requested.
PEER_ENDED_EVENT = getattr(select, "POLLRDHUP", 0)
READ_SIZE = 16 * 1024  # bytes at a time; also what a stream buffers before it stops reading from the socket


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts the bytes received and not yet read."""

    unread = 0

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # the transport feeds only bytes
        """Buffer bytes that the transport has received."""
        self.unread += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Read as `asyncio.StreamReader.read` does."""
        data = await super().read(n)
        self.unread -= len(data)
        return data


def bound_reads(writer: asyncio.StreamWriter, size: int = READ_SIZE) -> None:
    """Limit the transport's reads to `size` bytes.

    asyncio allocates 256 KiB for each read and gives back what was not needed, which fragments the heap.
    """
    writer.transport.max_size = size  # type: ignore[attr-defined]  # of asyncio's selector transport


async def connect(host: str, port: int) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Open a connection. Raises OSError."""
    loop = asyncio.get_running_loop()
    reader = CountingReader(limit=READ_SIZE, loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    bound_reads(writer)
    return reader, writer


def is_open_without_input(reader: CountingReader, writer: asyncio.StreamWriter) -> bool:
    """Return whether the connection is open with nothing unread, here or in the system's buffer."""
    if reader.unread or reader.at_eof() or writer.transport.is_closing():
        return False
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
    return not poll.poll(0)


def has_input(connection: socket.socket) -> bool:
    """Return whether a read of this socket would return at once: with bytes, an end or an error."""
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has ended its sending, or the connection is lost.

    Detected also while nobody reads, and behind bytes that are still unread.
    """
    if writer.transport.is_closing():
        return True
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), PEER_ENDED_EVENT)
    return bool(poll.poll(0))


async def read_response(reader: asyncio.StreamReader, codec: HttpClientCodec) -> HttpResponse:
    """Read one complete response. Raises OSError, or BrokenResponseError where it is cut short."""
    response = None
    while response is None:
        response = codec.receive(await reader.read(READ_SIZE))
    return response
