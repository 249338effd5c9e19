"""What all who read from a stream share."""

from __future__ import annotations

import asyncio
import select
import socket

from alderspool.protocol.http_client import HttpClientCodec, HttpResponse

ENDED = getattr(select, "POLLRDHUP", 0)  # what Linux tells of an end; resets and hang-ups are always told
READ_SIZE = 16 * 1024  # at a time; also what a stream buffers before it makes the sender wait


class CountingReader(asyncio.StreamReader):
    """A stream reader that knows what has come in and was not yet read."""

    unread = 0

    def feed_data(self, data: bytes) -> None:
        self.unread += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        data = await super().read(n)
        self.unread -= len(data)
        return data


def bound_reads(writer: asyncio.StreamWriter, size: int = READ_SIZE) -> None:
    """asyncio asks for 256 KiB at a time and gives back what was not needed: the heap falls to pieces."""
    writer.transport.max_size = size


async def connect(host: str, port: int) -> tuple[CountingReader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    reader = CountingReader(limit=READ_SIZE, loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    bound_reads(writer)
    return reader, writer


def is_quiet(reader: CountingReader, writer: asyncio.StreamWriter) -> bool:
    """Whether nothing has come in that nobody has read yet, here or in the system's buffer."""
    if reader.unread or reader.at_eof() or writer.transport.is_closing():
        return False
    return not has_input(writer.get_extra_info("socket"))


def has_input(connection: socket.socket) -> bool:
    """Whether a read of this socket would tell something at once: bytes, an end or a fault."""
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(writer: asyncio.StreamWriter) -> bool:
    """Whether the other side has ended its sending or is gone: seen also behind bytes that nobody has
    read yet, and where nobody is reading."""
    if writer.transport.is_closing():
        return True
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), ENDED)
    return bool(poll.poll(0))


async def read_response(reader: asyncio.StreamReader, wire: HttpClientCodec) -> HttpResponse:
    """The whole reply to what was sent. Raises OSError, or BrokenReplyError where it is cut short."""
    while (reply := wire.receive(await reader.read(READ_SIZE))) is None:
        pass
    return reply
