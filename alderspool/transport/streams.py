"""Stream helpers shared by both sides of the proxy and discovery.

Some of them check the state of a socket without reading from it.
"""

from __future__ import annotations

import asyncio
import select

from alderspool.protocol.http_client import HttpClientCodec, HttpResponse

# The poll event with which Linux reports that the peer has closed its write side. Poll reports resets and
# hang-ups without being asked for them.
PEER_SHUTDOWN_EVENT = getattr(select, "POLLRDHUP", 0)
READ_SIZE = 16 * 1024  # bytes per read; also the buffer limit of the streams, which bounds read-ahead


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts the bytes that have been received but not read yet."""

    unread = 0
    last_received_at_s = 0.0  # when the transport last received bytes, in event loop time

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # the transport feeds only bytes
        """Buffer bytes that the transport has received."""
        self.last_received_at_s = self._loop.time()  # type: ignore[attr-defined]  # of StreamReader
        self.unread += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Read like `asyncio.StreamReader.read`."""
        data = await super().read(n)
        self.unread -= len(data)
        return data


def limit_read_size(writer: asyncio.StreamWriter, size: int = READ_SIZE) -> None:
    """Limit the transport's reads to `size` bytes.

    By default asyncio allocates 256 KiB for each read and releases the unused rest, which fragments the heap.
    """
    writer.transport.max_size = size  # type: ignore[attr-defined]  # of asyncio's selector transport


async def connect(host: str, port: int) -> tuple[CountingReader, asyncio.StreamWriter]:
    """Open a connection. Raises OSError."""
    loop = asyncio.get_running_loop()
    reader = CountingReader(limit=READ_SIZE, loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    limit_read_size(writer)
    return reader, writer


def is_open_without_input(reader: CountingReader, writer: asyncio.StreamWriter) -> bool:
    """Return whether the connection is open without unread input in the stream or the kernel buffer."""
    if reader.unread or reader.at_eof() or writer.transport.is_closing():
        return False
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
    return not poll.poll(0)


def has_input_in_kernel(writer: asyncio.StreamWriter) -> bool:
    """Return whether the kernel has input that the transport has not read, or the end of the stream."""
    if writer.transport.is_closing():
        return False
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def peer_has_closed(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has closed at least its write side, or the connection is lost.

    Also detects this while the stream is not being read, and while received bytes are still unread.
    """
    if writer.transport.is_closing():
        return True
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), PEER_SHUTDOWN_EVENT)
    return bool(poll.poll(0))


async def read_response(reader: asyncio.StreamReader, codec: HttpClientCodec) -> HttpResponse:
    """Read one complete response. Raises OSError, or BrokenResponseError if it is cut short."""
    response = None
    while response is None:
        response = codec.receive(await reader.read(READ_SIZE))
    return response
