"""Connections to endpoints: one attempt each at a time, reused while they are surely fresh."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine
from typing import Any

from alderspool.balancer.events import AttemptStatus, EndpointId
from alderspool.balancer.settings import Settings
from alderspool.protocol import upstream
from alderspool.protocol.duplicate_responses import DuplicateResponseDetector, fingerprint
from alderspool.protocol.http_client import BrokenResponseError, HttpClientCodec
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import Attempt
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.streams import READ_SIZE, CountingReader, connect, is_quiet, read_response

# A connection idle for this share of the node's limit is closed by us: the node may close it at any
# time up to the limit, and a attempt written into that moment would be lost without proof.
IDLE_SHARE = 0.6
SWEEP_S = 0.5
PROBE_S = 1.0
SOONEST_S = 0.00015  # no node answers so soon: the way there and back alone takes longer
Place = tuple[str, int]


class UpstreamConnection:
    """One connection to an endpoint, with the attempt that it carries."""

    __slots__ = ("attempt", "endpoint", "idle_since", "last", "place", "reader", "wire", "writer")

    def __init__(
        self, endpoint: EndpointId, place: Place, reader: CountingReader, writer: asyncio.StreamWriter
    ) -> None:
        self.endpoint, self.place, self.reader, self.writer = endpoint, place, reader, writer
        self.wire: HttpClientCodec = upstream.upstream_codec()
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.last: int | None = None  # the fingerprint of its last answer


class UpstreamPool:
    def __init__(self, exchange: Exchange, settings: Settings, budget: DescriptorBudget) -> None:
        self._exchange, self._budget = exchange, budget
        self._dial_s = settings.connect_timeout_ms / 1000.0
        self._idle_s = settings.idle_timeout_ms * IDLE_SHARE / 1000.0
        self._loop = asyncio.get_running_loop()
        self._now = self._loop.time
        self._second = DuplicateResponseDetector()
        self._idle: dict[EndpointId, deque[UpstreamConnection]] = {}  # the longest idle first
        self._tasks: set[asyncio.Task[None]] = set()
        budget.set_evictor(self._drop_longest_idle)
        self._loop.call_later(SWEEP_S, self._sweep)

    # ---- what the exchange asks for ------------------------------------------------------------

    def dispatch(self, attempt: Attempt) -> None:
        conn = self._take_idle(attempt)
        if conn is not None:
            begun = self._now()
            self._write(conn, attempt)
            if not is_quiet(conn.reader, conn.writer) and self._now() - begun < SOONEST_S:
                # Sooner than any answer: it came in while we wrote. The attempt is out, and may run. Had we
                # been kept from the processor meanwhile, it would most likely be the answer.
                conn.attempt = attempt.transport_handle = None
                conn.writer.transport.abort()
                self._exchange.attempt_ended(attempt, AttemptStatus.RESET)
        else:
            attempt.transport_handle = self._spawn(self._dial(attempt))

    def cancel(self, attempt: Attempt) -> None:
        transport_handle, attempt.transport_handle = attempt.transport_handle, None
        if isinstance(transport_handle, UpstreamConnection):
            transport_handle.attempt = None
            transport_handle.writer.transport.abort()
        elif transport_handle is not None:
            transport_handle.cancel()

    def close_idle(self, endpoint: EndpointId) -> None:
        for conn in self._idle.pop(endpoint, ()):
            conn.writer.transport.abort()

    def probe(self, endpoint: EndpointId, host: str, port: int) -> None:
        self._spawn(self._probe(endpoint, host, port))

    # ---- connections ---------------------------------------------------------------------------

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(work)
        self._tasks.add(task)  # the loop itself keeps only weak references
        task.add_done_callback(self._tasks.discard)
        return task

    def _take_idle(self, attempt: Attempt) -> UpstreamConnection | None:
        """The freshest idle connection to where the node is now, but for those that rest."""
        line = self._idle.get(attempt.endpoint)
        resting: list[UpstreamConnection] = []
        found = None
        while line and found is None:
            conn = line.pop()
            idle = self._now() - conn.idle_since
            # What came in after the last answer would pass for the answer to this attempt.
            if not is_quiet(conn.reader, conn.writer) or idle >= self._idle_s:
                conn.writer.transport.abort()
            elif conn.place != (attempt.host, attempt.port):
                conn.writer.transport.abort()
            elif not self._second.may_follow(conn.last, idle):
                resting.append(conn)
            else:
                found = conn
        if line is not None:
            line.extend(reversed(resting))
        return found

    async def _dial(self, attempt: Attempt) -> None:
        tight = self._budget.is_exhausted
        if not self._budget.try_make_room():
            self._exchange.attempt_ended(attempt, AttemptStatus.CONNECT_FAILED)  # no socket to dial with
            return
        if (
            tight
        ):  # what was let go is closed as the loop comes round: else a burst of dials is over the limit
            await asyncio.sleep(0)
        self._budget.acquire()
        try:
            try:
                async with asyncio.timeout(self._dial_s):
                    reader, writer = await connect(attempt.host, attempt.port)
            except (OSError, TimeoutError):
                self._exchange.attempt_ended(attempt, AttemptStatus.CONNECT_FAILED)
                return
            attempt.transport_handle = (
                None  # what is withdrawn from here on is not cancelled: this task closes it
            )
            conn = UpstreamConnection(attempt.endpoint, (attempt.host, attempt.port), reader, writer)
            try:
                if self._exchange.may_write(attempt):
                    self._write(conn, attempt)
                else:  # over, or its node began to drain while we dialled
                    self._exchange.attempt_ended(attempt, AttemptStatus.NEVER_SENT)
                    return
                await self._read(conn)
            finally:
                writer.transport.abort()
        finally:
            self._budget.release()

    def _write(self, conn: UpstreamConnection, attempt: Attempt) -> None:
        data = upstream.compose_attempt(conn.wire, attempt.payload, self._exchange.time_left_ms(attempt))
        attempt.transport_handle, conn.attempt = conn, attempt
        attempt.written = True  # from here on it may run, whatever becomes of the connection
        conn.writer.write(data)

    async def _read(self, conn: UpstreamConnection) -> None:
        """Reads until the connection ends; also while it idles, so that its end is noticed at once."""
        while True:
            try:
                data = await conn.reader.read(READ_SIZE)
            except OSError:
                data = None
            attempt = conn.attempt
            if attempt is None:  # it ended while idle, was withdrawn, or the node says what nobody asked
                self._forget(conn)
                return
            try:
                reply = conn.wire.receive(data)
            except BrokenResponseError:
                self._end(conn, attempt, AttemptStatus.RESET)
                return
            if reply is None:
                continue
            before, conn.last = conn.last, fingerprint(reply)
            if self._second.is_second(before, conn.last, self._now() - conn.idle_since):
                self._end(
                    conn, attempt, AttemptStatus.RESET
                )  # its own answer may be on the way; nobody can tell
                return
            status, answer = upstream.read_outcome(reply)
            reusable = conn.wire.reusable and bool(data)
            self._end(conn, attempt, status, answer, keep=reusable)
            if not reusable:
                return

    def _end(
        self,
        conn: UpstreamConnection,
        attempt: Attempt,
        status: AttemptStatus,
        answer: upstream.UpstreamResponse | None = None,
        keep: bool = False,
    ) -> None:
        conn.attempt = attempt.transport_handle = None
        if keep:
            conn.idle_since = self._now()
            self._idle.setdefault(conn.endpoint, deque()).append(conn)
        self._exchange.attempt_ended(attempt, status, answer)

    def _forget(self, conn: UpstreamConnection) -> None:
        line = self._idle.get(conn.endpoint)
        if line and conn in line:
            line.remove(conn)

    def _sweep(self) -> None:
        """Closes what has idled long, before the node does."""
        self._loop.call_later(SWEEP_S, self._sweep)
        oldest = self._now() - self._idle_s
        for endpoint, line in list(self._idle.items()):
            while line and line[0].idle_since <= oldest:
                line.popleft().writer.transport.abort()
            if not line:
                del self._idle[endpoint]

    def _drop_longest_idle(self) -> bool:
        """Gives a descriptor back, where one is to spare."""
        lines = [line for line in self._idle.values() if line]
        if not lines:
            return False
        min(lines, key=lambda line: line[0].idle_since).popleft().writer.transport.abort()
        return True

    async def _probe(self, endpoint: EndpointId, host: str, port: int) -> None:
        started, status = self._loop.time(), AttemptStatus.CONNECT_FAILED
        self._budget.acquire()
        try:
            async with asyncio.timeout(PROBE_S):
                reader, writer = await connect(host, port)
                try:
                    status, wire = AttemptStatus.TIMEOUT, upstream.upstream_codec()
                    writer.write(upstream.compose_health_check(wire, host))
                    status = upstream.read_health_check(await read_response(reader, wire))
                finally:
                    writer.transport.abort()
        except TimeoutError:
            pass
        except (OSError, BrokenResponseError):
            status = AttemptStatus.RESET if status == AttemptStatus.TIMEOUT else status
        finally:
            self._budget.release()
            self._exchange.health_check_ended(endpoint, status, (self._loop.time() - started) * 1000.0)
