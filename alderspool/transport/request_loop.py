"""Reads requests from client connections and submits them to the exchange, one at a time per connection.

The state of a connection and the sending of its responses are in `client_connection`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from functools import partial

from alderspool.protocol.client_messages import (
    InvalidRequest,
    RawRequest,
    ReadinessQuery,
    as_client_response,
    invalid_request_as_http,
    readiness_as_http,
)
from alderspool.protocol.http_server import CONTINUE, ENDED, NEED_DATA, PAUSED
from alderspool.protocol.request_reader import RequestReader
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import Rejected
from alderspool.transport.arrival import last_data_age_ms
from alderspool.transport.client_connection import ClientConnection, ReceivedData
from alderspool.transport.connection_state import LINGERING_CLOSE, REQUEST_PENDING, ConnectionEvent
from alderspool.transport.connection_table import ConnectionTable
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.limited_log import FirstWarningLog
from alderspool.transport.processing_turns import ProcessingTurns
from alderspool.transport.streams import READ_SIZE

# How often to check for a client disconnect while the connection is not being read.
DISCONNECT_CHECK_INTERVAL_S = 0.05
# A client that has sent nothing for this long has no further input on its way: longer than a round trip.
QUIET_TIME_S = 0.01
# Bytes that are parsed at a time. A few of them can complete many requests, which are then held until their
# turn comes.
PARSE_SIZE = 4 * 1024


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
        self._turns = ProcessingTurns(table.loop, table.loop.time)
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
        while await self._process_next(connection):
            pass

    async def _process_next(self, connection: ClientConnection) -> bool:
        """Wait for what comes next on a connection, and process it; return False at its end."""
        if connection.state is LINGERING_CLOSE:
            data = await connection.reader.read(READ_SIZE)
            return bool(data) and connection.discard(len(data))
        if connection.codec.can_return_request:
            return await self._read_ahead(connection) and await self._take_turn(connection, self._handle_next)
        step = connection.codec.next()
        if step is NEED_DATA:
            return await self._read(connection) and await self._take_turn(connection, self._parse)
        if step is PAUSED:
            connection.apply_event(ConnectionEvent.NEXT_REQUEST_COMPLETE)
            return await self._wait_for_response(connection)
        if step is CONTINUE:
            connection.send_continue()
        elif isinstance(step, InvalidRequest):
            # The client must reconnect before it can repeat the request.
            connection.send(invalid_request_as_http(step), is_last=True)
        return step is not ENDED

    async def _read(self, connection: ClientConnection) -> bool:
        """Read a piece of input to be parsed; return False at the end of input.

        Reading goes on while a request is pending, as that detects a client disconnect at once. What is read
        then is parsed only after the response, when it can be processed: parsed requests take much more
        memory.
        """
        was_idle = connection.is_idle
        was_caught_up = not connection.reader.unread
        data = await connection.reader.read(PARSE_SIZE)
        if not data:
            return False
        if connection.state is LINGERING_CLOSE:  # the lingering close may have begun during the read
            return connection.discard(len(data))
        if was_idle and connection.has_responded:
            connection.restart_timeout()
        if connection.is_idle:
            connection.is_caught_up = was_caught_up
        connection.unparsed = ReceivedData(data, self._arrival_time_s(connection))
        return not connection.has_pending_request or await self._wait_for_response(connection)

    async def _read_ahead(self, connection: ClientConnection) -> bool:
        """Read as far as possible before a request that has waited behind another is processed.

        A client may have sent much at once and left: then the end of the connection is behind what it has
        sent, and part of that may still be on its way. Returns False if the client has disconnected.
        """
        while not connection.is_disconnected():
            quiet_s = self._table.loop.time() - connection.reader.last_received_at_s
            is_quiet = quiet_s >= QUIET_TIME_S and not connection.may_hide_disconnect()
            if is_quiet or connection.is_read_ahead_full:
                return True
            await asyncio.sleep(max(QUIET_TIME_S - quiet_s, 0.0))
        return False

    async def _take_turn(
        self, connection: ClientConnection, process: Callable[[ClientConnection], None]
    ) -> bool:
        """Run a step of processing when the connection's turn comes.

        Returns False if the client was found to have disconnected.
        """
        has_waited = await self._turns.run(connection.turn_taker, partial(process, connection))
        # Apply backpressure: responses that the client does not read must not fill the memory.
        await connection.writer.drain()
        return not (has_waited and connection.is_disconnected())

    def _parse(self, connection: ClientConnection) -> None:
        """Parse what has been read. Process the request that this completes, if nothing was before it."""
        if connection.state is LINGERING_CLOSE:  # begun during the wait
            connection.discard_unparsed()
            return
        connection.parse()
        if self._table.memory.is_exceeded and self._table.shed_memory():
            self._log.warn("memory budget exceeded: large incomplete requests are rejected")
        if connection.is_caught_up:
            self._handle_next(connection)

    def _handle_next(self, connection: ClientConnection) -> None:
        """Process the next complete request, if there is one."""
        if connection.codec.can_return_request and connection.state is not LINGERING_CLOSE:
            step = connection.codec.next()
            assert isinstance(step, RawRequest)
            self._handle(connection, step)

    def _arrival_time_s(self, connection: ClientConnection) -> float:
        """Return when the bytes just read arrived, on the clock of the event loop."""
        now_s = self._table.loop.time()
        data_age_ms = None
        if self._has_tcp_info:
            data_age_ms = last_data_age_ms(connection.writer.get_extra_info("socket"))
        if data_age_ms is None:
            data_age_ms = 0.0
        # The age is that of the newest bytes in the kernel, which may still be unread. The bytes just read
        # arrived no later than those.
        return now_s - data_age_ms / 1000.0

    async def _wait_for_response(self, connection: ClientConnection) -> bool:
        """Wait until the pending request has been answered; return False if the client disconnects first."""
        connection.response_sent.clear()
        while not connection.response_sent.is_set():
            try:
                async with asyncio.timeout(DISCONNECT_CHECK_INTERVAL_S):
                    await connection.response_sent.wait()
            except TimeoutError:
                if connection.is_disconnected():
                    return False
        return True

    def _handle(self, connection: ClientConnection, raw: RawRequest) -> None:
        """Process a complete request; if it is invalid, respond with the error and close the connection."""
        invalid = self._handle_request(connection, raw)
        if invalid is not None:
            connection.send(invalid_request_as_http(invalid), is_last=True)

    def _handle_request(self, connection: ClientConnection, raw: RawRequest) -> InvalidRequest | None:
        """Submit a request, or answer a readiness query; return the error if the request is invalid."""
        was_caught_up = connection.is_caught_up
        connection.is_caught_up = False
        # If reading is paused, nobody can tell whether the client is still there.
        may_have_left = connection.is_read_ahead_full and not was_caught_up
        is_over_memory = self._table.memory.is_exceeded and connection.exceeds_guaranteed_memory
        if may_have_left or is_over_memory:
            connection.send(as_client_response(Rejected()))
            return None
        request = self._request_reader.read(raw)
        if isinstance(request, InvalidRequest):
            return request
        if isinstance(request, ReadinessQuery):
            connection.send(readiness_as_http(self._exchange.can_serve and not self._table.is_draining))
            return None
        if self._exchange.is_pending(request.client_request_id):
            return InvalidRequest(400, "X-Request-Id: that of a request which is still open")
        if self._exchange.may_have_executed(request):
            return InvalidRequest(400, "X-Request-Id: that of a request which may have run")
        if not connection.has_submitted:
            self._table.count_keep_alive(connection)
        connection.begin_request()
        request.is_disconnected = connection.is_disconnected
        request.may_hide_disconnect = connection.may_hide_disconnect
        now_s = self._table.loop.time()
        request.waited_ms = (now_s - raw.received_at_s) * 1000.0
        request_id = self._exchange.submit(request, connection.respond)
        connection.request_id = request_id if connection.state is REQUEST_PENDING else 0
        return None
