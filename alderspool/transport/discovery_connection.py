"""One HTTP connection to discovery, reused from call to call."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from alderspool.protocol.endpoint_list import ListRequest, compose_list_request, discovery_codec
from alderspool.protocol.http_client import HttpClientCodec, HttpResponse
from alderspool.transport.streams import connect, read_response

Address = tuple[str, int]  # IP address and port


@dataclass(frozen=True, slots=True)
class _OpenConnection:
    """The streams of an established connection, and the HTTP codec that has processed all of its bytes."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    codec: HttpClientCodec


class DiscoveryConnection:
    """Carries one call at a time, and connects when a call finds no open connection.

    The caller must close it, also after a failed or cancelled call. Connecting is not retried: a second
    attempt to connect within one call would exceed the timeout of the call.
    """

    def __init__(self, address: Address, connect_timeout_s: float) -> None:
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._connection: _OpenConnection | None = None

    async def call(self, request: ListRequest) -> HttpResponse:
        """Send a request and return the complete response.

        Raises OSError (including TimeoutError, if connecting times out) and BrokenResponseError. There is no
        timeout for the response.
        """
        if self._connection is None:
            self._connection = await self._connect()
        connection = self._connection
        host, _ = self._address
        connection.writer.write(compose_list_request(connection.codec, host, request))
        response = await read_response(connection.reader, connection.codec)
        if not connection.codec.reusable:
            self.close()
        return response

    def close(self) -> None:
        """Abort the connection, if there is one; the next call opens a new one."""
        if self._connection is not None:
            self._connection.writer.transport.abort()
            self._connection = None

    async def _connect(self) -> _OpenConnection:
        codec = discovery_codec()
        async with asyncio.timeout(self._connect_timeout_s):
            reader, writer = await connect(*self._address)
        return _OpenConnection(reader, writer, codec)
