"""The pool of connections to endpoints: one attempt at a time on each, reused only if known to be open.

Opens connections, writes attempts, reads responses and reports outcomes to the exchange. The selection among
idle connections is in `idle_connections.py`, the states of a connection in `upstream_connection.py`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from alderspool.balancer.events import AttemptStatus, EndpointId
from alderspool.balancer.settings import Settings
from alderspool.protocol.duplicate_responses import DuplicateResponseDetector, fingerprint
from alderspool.protocol.http_client import BrokenResponseError, HttpResponse
from alderspool.protocol.upstream import UpstreamResponse, compose_attempt, read_outcome
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import Attempt
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.health_check import check_health
from alderspool.transport.idle_connections import IdleConnections
from alderspool.transport.streams import READ_SIZE, connect
from alderspool.transport.upstream_connection import TransportHandle, UpstreamConnection

# A connection is closed when it has been idle for this share of the endpoint's own idle timeout. The endpoint
# may close it at any time up to that timeout, and an attempt written at that moment would be lost without
# proof that it was not executed.
IDLE_TIMEOUT_SHARE = 0.6
SWEEP_INTERVAL_S = 0.5
# No response arrives sooner after its request was written, because the network round trip alone takes longer.
MIN_RESPONSE_TIME_S = 0.00015


class UpstreamPool:
    """Sends attempts to endpoints and reports the outcome of each to the exchange.

    Owns the connections, the tasks that read from them, and the upstream share of the descriptor budget. The
    exchange calls `dispatch`, `cancel`, `close_idle` and `probe`; none of them blocks, or raises when an
    endpoint fails. Each dispatched attempt is reported exactly once by calling `Exchange.attempt_ended`,
    possibly before `dispatch` returns. Cancelled attempts are not reported.
    """

    def __init__(self, exchange: Exchange, settings: Settings, budget: DescriptorBudget) -> None:
        self._exchange = exchange
        self._budget = budget
        self._connect_timeout_s = settings.connect_timeout_ms / 1000.0
        self._loop = asyncio.get_running_loop()
        self._now = self._loop.time
        self._duplicates = DuplicateResponseDetector()
        idle_timeout_s = settings.idle_timeout_ms * IDLE_TIMEOUT_SHARE / 1000.0
        self._idle: IdleConnections[UpstreamConnection] = IdleConnections(idle_timeout_s, self._duplicates)
        self._tasks: set[asyncio.Task[None]] = set()
        budget.set_evictor(self._evict_longest_idle)
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # ---- called by the exchange ----------------------------------------------------------------

    def dispatch(self, attempt: Attempt) -> None:
        """Write the attempt to an idle connection, or start opening one for it."""
        connection = self._take_idle(attempt)
        if connection is None:
            attempt.transport_handle = self._spawn(self._run_connection(attempt))
            return
        write_started_at_s = self._now()
        self._write(connection, attempt)
        if not connection.is_open_without_input() and self._now() - write_started_at_s < MIN_RESPONSE_TIME_S:
            # The input arrived too soon to be the response to this attempt: it belongs to an earlier one and
            # arrived during the write. The attempt has been written and may be executed. The elapsed time is
            # checked because, if this process was descheduled during the write, the input is most likely the
            # attempt's own response.
            connection.close()
            self._exchange.attempt_ended(attempt, AttemptStatus.RESET)

    def cancel(self, attempt: Attempt) -> None:
        """Stop connecting, or close the connection that carries the attempt, without reporting its end."""
        handle: TransportHandle = attempt.transport_handle
        attempt.transport_handle = None
        if isinstance(handle, UpstreamConnection):
            handle.close()
        elif handle is not None:
            handle.cancel()

    def close_idle(self, endpoint: EndpointId) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self._idle.for_endpoint(endpoint):
            self._close_idle_connection(connection)

    def probe(self, endpoint: EndpointId, host: str, port: int) -> None:
        """Start a health check; its result is reported by calling `Exchange.health_check_ended`."""
        self._spawn(self._run_health_check(endpoint, host, port))

    # ---- idle connections ----------------------------------------------------------------------

    def _take_idle(self, attempt: Attempt) -> UpstreamConnection | None:
        """Take an idle connection to the endpoint's current address, and close unusable ones on the way."""
        selection = self._idle.select(attempt.endpoint, attempt.host, attempt.port, self._now())
        for unusable in selection.to_close:
            self._close_idle_connection(unusable)
        if selection.to_reuse is not None:
            self._idle.discard(selection.to_reuse)
        return selection.to_reuse

    def _sweep(self) -> None:
        """Close connections that have reached the idle timeout, before their endpoints do."""
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        for connection in self._idle.expired(self._now()):
            self._close_idle_connection(connection)

    def _evict_longest_idle(self) -> bool:
        """Close the longest idle connection to free its descriptor; return whether there was one."""
        connection = self._idle.longest_idle()
        if connection is None:
            return False
        self._close_idle_connection(connection)
        return True

    def _close_idle_connection(self, connection: UpstreamConnection) -> None:
        self._idle.discard(connection)
        connection.close()

    # ---- connect, write, read ------------------------------------------------------------------

    async def _run_connection(self, attempt: Attempt) -> None:
        """Open a connection for the attempt, and read from the connection until it ends."""
        must_evict = self._budget.is_exhausted
        if not self._budget.try_make_room():
            # No descriptor is available for a connection.
            self._exchange.attempt_ended(attempt, AttemptStatus.CONNECT_FAILED)
            return
        if must_evict:
            # An evicted connection is closed in the next iteration of the event loop: without this wait, a
            # burst of new connections would exceed the limit.
            await asyncio.sleep(0)
        self._budget.acquire()
        try:
            connection = await self._connect(attempt)
            if connection is None:
                self._exchange.attempt_ended(attempt, AttemptStatus.CONNECT_FAILED)
                return
            try:
                if not self._exchange.may_write(attempt):
                    # While connecting, the request ended or the endpoint started to drain.
                    self._exchange.attempt_ended(attempt, AttemptStatus.NEVER_SENT)
                    return
                self._write(connection, attempt)
                await self._read(connection)
            finally:
                connection.close()
                connection.codec.close()
        finally:
            self._budget.release()

    async def _connect(self, attempt: Attempt) -> UpstreamConnection | None:
        """Open a connection to the attempt's endpoint; return None if that fails or times out."""
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await connect(attempt.host, attempt.port)
        except (OSError, TimeoutError):
            return None
        # From here on `cancel` must not cancel this task, which has an open connection to close.
        attempt.transport_handle = None
        return UpstreamConnection(attempt.endpoint, attempt.host, attempt.port, reader, writer)

    def _write(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        time_left_ms = self._exchange.time_left_ms(attempt)
        data = compose_attempt(connection.codec, attempt.payload, time_left_ms)
        connection.write_attempt(attempt, data)

    async def _read(self, connection: UpstreamConnection) -> None:
        """Read until the connection ends, also while it is idle, so that a close is noticed immediately."""
        keep_reading = True
        while keep_reading:
            try:
                data = await connection.reader.read(READ_SIZE)
            except OSError:
                data = None
            attempt = connection.attempt
            if attempt is None:
                # The connection ended while idle, its attempt was cancelled, or the input is unsolicited.
                self._idle.discard(connection)
                return
            keep_reading = self._receive(connection, attempt, data)

    def _receive(self, connection: UpstreamConnection, attempt: Attempt, data: bytes | None) -> bool:
        """Process what was read while an attempt is pending; return whether to continue reading.

        `data` is empty at the end of the stream, and None if the connection was reset.
        """
        try:
            response = connection.codec.receive(data)
        except BrokenResponseError:
            self._retire(connection, attempt, AttemptStatus.RESET)
            return False
        if response is None:
            return True
        if self._is_duplicate(connection, response):
            # The attempt's own response may or may not still arrive; the two cases cannot be distinguished.
            self._retire(connection, attempt, AttemptStatus.RESET)
            return False
        outcome = read_outcome(response)
        if not data or not connection.codec.reusable:
            self._retire(connection, attempt, outcome.status, outcome.response)
            return False
        connection.become_idle(self._now())
        self._idle.add(connection)
        self._exchange.attempt_ended(attempt, outcome.status, outcome.response)
        return True

    def _is_duplicate(self, connection: UpstreamConnection, response: HttpResponse) -> bool:
        previous = connection.last_fingerprint
        connection.last_fingerprint = fingerprint(response)
        elapsed_s = self._now() - connection.idle_since_s
        return self._duplicates.is_duplicate(previous, connection.last_fingerprint, elapsed_s)

    def _retire(
        self,
        connection: UpstreamConnection,
        attempt: Attempt,
        status: AttemptStatus,
        response: UpstreamResponse | None = None,
    ) -> None:
        """Report the end of an attempt whose connection cannot be reused."""
        connection.retire()
        self._exchange.attempt_ended(attempt, status, response)

    # ---- health checks and tasks ---------------------------------------------------------------

    async def _run_health_check(self, endpoint: EndpointId, host: str, port: int) -> None:
        started_at_s = self._loop.time()
        status = AttemptStatus.CONNECT_FAILED
        self._budget.acquire()
        try:
            status = await check_health(host, port)
        finally:
            self._budget.release()
            latency_ms = (self._loop.time() - started_at_s) * 1000.0
            self._exchange.health_check_ended(endpoint, status, latency_ms)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)  # the event loop itself keeps only weak references
        task.add_done_callback(self._tasks.discard)
        return task
