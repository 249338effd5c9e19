"""What all who read from a stream share."""

from __future__ import annotations

import asyncio

from alderspool.protocol.http_client import ClientWire, Reply

READ_SIZE = 64 * 1024  # at a time; also what a stream buffers before it makes the sender wait


async def read_reply(reader: asyncio.StreamReader, wire: ClientWire) -> Reply:
    """The whole reply to what was sent. Raises OSError, or BrokenReplyError where it is cut short."""
    while (reply := wire.receive(await reader.read(READ_SIZE))) is None:
        pass
    return reply
