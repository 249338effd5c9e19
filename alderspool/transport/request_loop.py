"""Reads requests from client connections and submits them to the exchange, one at a time per connection.

The state of a connection and the sending of its responses are in `client_connection`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from alderspool.protocol.client_messages import (
    InvalidRequest,
    RawRequest,
    ReadinessQuery,
    invalid_request_as_http,
    readiness_as_http,
)
from alderspool.protocol.http_server import CONTINUE, ENDED, NEED_DATA, PAUSED
from alderspool.protocol.request_reader import RequestReader
from alderspool.routing.exchange import Exchange
from alderspool.transport.arrival import last_data_age_ms
from alderspool.transport.client_connection import ClientConnection
from alderspool.transport.connection_state import IDLE, LINGERING_CLOSE, REQUEST_PENDING, ConnectionEvent
from alderspool.transport.connection_table import ConnectionTable
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.limited_log import FirstWarningLog
from alderspool.transport.streams import READ_SIZE

# How often to check for a client disconnect while the connection is not being read.
DISCONNECT_CHECK_INTERVAL_S = 0.05


class RequestLoop:
    """Serves client connections: each has one `serve` task, which runs for its whole lifetime.

    Reading continues while a request is pending, so that a client disconnect is detected.
    """

    def __init__(
        self,
        exchange: Exchange,
        request_reader: RequestReader,
        table: ConnectionTable,
        budget: DescriptorBudget,
        log: FirstWarningLog,
    ) -> None:
        self._exchange = exchange
        self._request_reader = request_reader
        self._table = table
        self._budget = budget
        self._log = log
        self._has_tcp_info = False

    def detect_tcp_info(self, listening_socket: socket.socket) -> None:
        """Detect whether the kernel reports the age of received data; see `last_data_age_ms`."""
        self._has_tcp_info = last_data_age_ms(listening_socket) is not None

    async def serve(self, connection: ClientConnection) -> None:
        """Serve a connection until it ends, then close it and release its descriptor.

        A request that is still pending is cancelled. Errors caused by the client are not raised.
        """
        try:
            await self._process_input(connection)
        except OSError:  # the client has disconnected
            pass
        except Exception as error:  # an error on one connection must not affect the others
            self._log.warn(f"a client connection failed: {error!r}")
        finally:
            self._table.uncount_keep_alive(connection)
            was_pending = connection.has_pending_request
            connection.apply_event(ConnectionEvent.READING_ENDED)
            if was_pending:
                self._exchange.client_disconnected(connection.request_id)
            connection.writer.close()
            connection.codec.close()
            self._table.exclude_from_eviction(connection)
            try:
                with contextlib.suppress(OSError):
                    await connection.writer.wait_closed()  # until a buffered response has been sent
            finally:
                self._table.remove(connection)
                self._budget.release()

    async def _process_input(self, connection: ClientConnection) -> None:
        """Read and process input until the connection ends."""
        while True:
            step = NEED_DATA if connection.state is LINGERING_CLOSE else connection.codec.next()
            if step is NEED_DATA:
                was_idle = connection.state is IDLE
                data = await connection.reader.read(READ_SIZE)
                if not data or not self._receive(connection, data, was_idle):
                    return
            elif step is PAUSED:
                if not await self._wait_for_response(connection):
                    return
            elif step is CONTINUE:
                connection.send_continue()
            elif step is ENDED:
                return
            else:
                invalid = step if isinstance(step, InvalidRequest) else self._handle_request(connection, step)
                if invalid is None:
                    # Apply backpressure: responses that the client does not read must not fill the memory.
                    await connection.writer.drain()
                else:
                    # Close the connection, so that a client must reconnect before it can repeat the request.
                    connection.send(invalid_request_as_http(invalid), is_last=True)

    def _receive(self, connection: ClientConnection, data: bytes, was_idle: bool) -> bool:
        """Pass received bytes to the connection; return whether to continue reading.

        `was_idle`: whether the connection was idle when the read began.
        """
        if connection.state is LINGERING_CLOSE:  # the lingering close may have begun during the read
            return connection.discard(len(data))
        if was_idle and connection.has_responded:
            connection.restart_timeout()
        now_s = self._table.loop.time()
        data_age_ms = None
        if self._has_tcp_info:
            data_age_ms = last_data_age_ms(connection.writer.get_extra_info("socket"))
        if data_age_ms is None:
            data_age_ms = 0.0
        # The age is that of the newest bytes in the kernel, which may still be unread. The bytes just read
        # arrived no later than those.
        connection.receive(data, now_s - data_age_ms / 1000.0)
        return True

    async def _wait_for_response(self, connection: ClientConnection) -> bool:
        """Wait until the pending request has been answered; return False if the client disconnects first."""
        connection.apply_event(ConnectionEvent.NEXT_REQUEST_COMPLETE)
        connection.response_sent.clear()
        while not connection.response_sent.is_set():
            try:
                async with asyncio.timeout(DISCONNECT_CHECK_INTERVAL_S):
                    await connection.response_sent.wait()
            except TimeoutError:
                if connection.is_disconnected():
                    return False
        return True

    def _handle_request(self, connection: ClientConnection, raw: RawRequest) -> InvalidRequest | None:
        """Submit a request, or answer a readiness query; return the error if the request is invalid."""
        request = self._request_reader.read(raw)
        if isinstance(request, InvalidRequest):
            return request
        if isinstance(request, ReadinessQuery):
            connection.send(readiness_as_http(self._exchange.can_serve and not self._table.is_draining))
            return None
        if self._exchange.is_pending(request.client_request_id):
            return InvalidRequest(400, "X-Request-Id: that of a request which is still open")
        if not connection.has_submitted:
            self._table.count_keep_alive(connection)
        connection.begin_request()
        request.is_disconnected = connection.is_disconnected
        now_s = self._table.loop.time()
        request.waited_ms = (now_s - raw.received_at_s) * 1000.0
        request_id = self._exchange.submit(request, connection.respond)
        connection.request_id = request_id if connection.state is REQUEST_PENDING else 0
        return None
