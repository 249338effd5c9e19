"""Reads the requests of client connections and submits them to the exchange, one at a time on each.

The state of a connection and its responses are in `client_connection`.
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

# While a connection is not read, this often it is checked whether its client is still connected.
DISCONNECT_CHECK_INTERVAL_S = 0.05


class RequestLoop:
    """Serves connections: one call of `serve` runs for the lifetime of each.

    A connection is read also while a request of it is pending, as this is how a disconnect is noticed.
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
        self._system_has_data_age = False

    def detect_data_age(self, listening_socket: socket.socket) -> None:
        """Find out whether the system states the age of received data; see `last_data_age_ms`."""
        self._system_has_data_age = last_data_age_ms(listening_socket) is not None

    async def serve(self, connection: ClientConnection) -> None:
        """Serve a connection until it ends; then close it and release its descriptor.

        A pending request of it is cancelled. Never raises for what a client does.
        """
        try:
            await self._process_input(connection)
        except OSError:  # the client is disconnected
            pass
        except Exception as fault:  # a fault over one connection must not affect the others
            self._log.warn(f"a client connection failed: {fault!r}")
        finally:
            self._table.forget_requester(connection)
            was_pending = connection.has_pending_request
            connection.apply(ConnectionEvent.READING_ENDED)
            if was_pending:
                self._exchange.client_disconnected(connection.request_id)
            connection.writer.close()
            self._table.exclude_from_eviction(connection)
            try:
                with contextlib.suppress(OSError):
                    await connection.writer.wait_closed()  # a response may still be on its way
            finally:
                self._table.remove(connection)
                self._budget.release()

    async def _process_input(self, connection: ClientConnection) -> None:
        """Process what is received until nothing more may come."""
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
                invalid = step if isinstance(step, InvalidRequest) else self._handle(connection, step)
                if invalid is None:
                    # The responses to a client that reads none of them must not fill the memory.
                    await connection.writer.drain()
                else:
                    # It ends the connection: a client that repeats it at once has to connect again.
                    connection.send(invalid_request_as_http(invalid), is_last=True)

    def _receive(self, connection: ClientConnection, data: bytes, was_idle: bool) -> bool:
        """Take in what was read; return whether more may be read.

        `was_idle`: whether the connection was idle as the read began.
        """
        if connection.state is LINGERING_CLOSE:  # perhaps since the read began
            return connection.discard(len(data))
        if was_idle and connection.has_responded:
            connection.restart_timeout()
        now_s = self._table.loop.time()
        earliest_arrival_s = connection.earliest_arrival_s
        connection.earliest_arrival_s = None  # it holds for the first bytes only
        age_ms = None
        if self._system_has_data_age:
            age_ms = last_data_age_ms(connection.writer.get_extra_info("socket"))
        if age_ms is not None:
            # There may be unread bytes behind those that were read, which arrived no earlier.
            arrived_s = now_s - age_ms / 1000.0
            connection.receive(data, arrived_s, arrived_s)
        elif earliest_arrival_s is not None:
            connection.receive(data, now_s, earliest_arrival_s)
        else:
            connection.receive(data, now_s, now_s)
        return True

    async def _wait_for_response(self, connection: ClientConnection) -> bool:
        """Wait until the pending request has its response; return False if the client disconnects first."""
        connection.apply(ConnectionEvent.NEXT_REQUEST_COMPLETE)
        connection.response_sent.clear()
        while not connection.response_sent.is_set():
            try:
                async with asyncio.timeout(DISCONNECT_CHECK_INTERVAL_S):
                    await connection.response_sent.wait()
            except TimeoutError:
                if connection.is_disconnected():
                    return False
        return True

    def _handle(self, connection: ClientConnection, raw: RawRequest) -> InvalidRequest | None:
        """Submit a request, or respond to a readiness query; return why it is invalid, or None."""
        request = self._request_reader.read(raw)
        if isinstance(request, InvalidRequest):
            return request
        if isinstance(request, ReadinessQuery):
            connection.send(readiness_as_http(self._exchange.can_serve and not self._table.is_draining))
            return None
        if self._exchange.is_pending(request.client_request_id):
            return InvalidRequest(400, "X-Request-Id: that of a request which is still open")
        if not connection.has_submitted:
            self._table.count_requester(connection)
        connection.begin_request()
        request.is_disconnected = connection.is_disconnected
        now_s = self._table.loop.time()
        request.waited_ms = (now_s - raw.received_at_s) * 1000.0
        request.longest_wait_ms = (now_s - raw.earliest_arrival_s) * 1000.0
        request_id = self._exchange.submit(request, connection.respond)
        connection.request_id = request_id if connection.state is REQUEST_PENDING else 0
        return None
