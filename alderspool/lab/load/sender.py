"""Sends the planned requests of one worker, each at its planned time, independently of earlier responses."""

from __future__ import annotations

import asyncio
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from uuid import uuid4

from alderspool.lab.load.plan import Plan
from alderspool.lab.load.results import Outcome, RequestRecord, Result, Tag
from alderspool.lab.load.traffic import Idempotency
from alderspool.protocol.http_client import BrokenResponseError, HttpClientCodec

BODY_LIMIT_BYTES = 64 * 1024
READ_SIZE_BYTES = 64 * 1024
REQUEST_BODY = b"{}"
LATE_RESPONSE_WAIT_S = 1.0  # waiting time after the deadline, to measure the latency of late responses
MIN_TIMEOUT_S = 0.05
CONNECT_TIMEOUT_S = 5.0
PROGRESS_INTERVAL_S = 0.2
LATE_YIELD_INTERVAL = 64  # while behind the plan, the event loop runs after this many requests
REJECTED_STATUSES = frozenset((HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE))


@dataclass
class Connection:
    """A connection to the server; it carries one request at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    codec: HttpClientCodec

    async def exchange(self, request: bytes) -> int:
        """Send a request and return the status of its response.

        Raises OSError or BrokenResponseError if no valid response is received.
        """
        self.writer.write(request)
        await self.writer.drain()
        while True:
            response = self.codec.receive(await self.reader.read(READ_SIZE_BYTES))
            if response is not None:
                return response.status

    def is_usable(self) -> bool:
        """Return whether it can carry another request, that is, whether neither side has closed it."""
        return not self.reader.at_eof() and not self.writer.is_closing()


class Sender:
    """Sends the requests of a plan to one server.

    Opens another connection whenever all are busy, as a large number of clients would.
    """

    def __init__(self, host: str, port: int, plan: Plan, result: Result) -> None:
        self._host = host
        self._port = port
        self._plan = plan
        self._result = result
        self._idle_connections: list[Connection] = []
        self._start = 0.0

    async def run(self, start: float, report_sent: Callable[[int], None]) -> None:
        """Send all requests of the plan and wait until they have ended.

        Planned times are relative to `start`, a time of the clock time.monotonic.
        `report_sent` is called at intervals with the number of requests sent so far.
        """
        self._start = start
        cpu_before_s = _cpu_time_s()
        measurement_start = max(time.monotonic(), start)
        tasks: set[asyncio.Task[None]] = set()
        last_report = 0.0
        for request_index, planned_s in enumerate(self._plan.at_s.tolist()):
            await self._wait_until_planned(request_index, planned_s)
            task = asyncio.create_task(self._send_request(request_index, planned_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if time.monotonic() - last_report > PROGRESS_INTERVAL_S:
                last_report = time.monotonic()
                report_sent(request_index + 1)
        while tasks:
            await asyncio.wait(tasks)
        for connection in self._idle_connections:
            connection.writer.close()
        self._result.duration_s = time.monotonic() - measurement_start
        self._result.cpu_s = _cpu_time_s() - cpu_before_s

    async def _wait_until_planned(self, request_index: int, planned_s: float) -> None:
        delay_s = self._start + planned_s - time.monotonic()
        if delay_s > 0.0:
            await asyncio.sleep(delay_s)
        elif request_index % LATE_YIELD_INTERVAL == 0:
            await asyncio.sleep(0)  # behind the plan: let the event loop send requests and read responses

    async def _send_request(self, request_index: int, planned_s: float) -> None:
        plan = self._plan
        request_class = plan.classes[plan.class_index[request_index]]
        sent_s = self._now_s()
        time_left_s = request_class.deadline_ms / 1000.0 + LATE_RESPONSE_WAIT_S - (sent_s - planned_s)
        connection = None
        status = 0
        outcome = Outcome.UNCONNECTED
        try:
            async with asyncio.timeout(max(time_left_s, MIN_TIMEOUT_S)):
                connection = await self._get_connection()
                outcome = Outcome.BROKEN
                request = self._encode_request(connection, request_index, planned_s)
                status = await connection.exchange(request)
                outcome = _outcome_of(status)
        except TimeoutError:
            outcome = Outcome.TIMEOUT if connection is not None else Outcome.UNCONNECTED
        except (OSError, BrokenResponseError):
            pass  # `outcome` is already UNCONNECTED or BROKEN
        tag = Tag(request_class.name, plan.tenants[plan.tenant_index[request_index]], outcome)
        self._result.add_record(RequestRecord(tag, planned_s, sent_s, self._now_s(), status))
        if connection is not None:
            if status and connection.codec.reusable:
                self._idle_connections.append(connection)
            else:
                connection.writer.close()

    async def _get_connection(self) -> Connection:
        """Return an idle connection if there is a usable one, otherwise a new one."""
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable():
                return connection
            connection.writer.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        return Connection(reader, writer, HttpClientCodec(BODY_LIMIT_BYTES))

    def _encode_request(self, connection: Connection, request_index: int, planned_s: float) -> bytes:
        plan = self._plan
        request_class = plan.classes[plan.class_index[request_index]]
        time_left_ms = request_class.deadline_ms - 1000.0 * (self._now_s() - planned_s)
        headers = [
            (b"Host", self._host.encode()),
            (b"X-Request-Id", uuid4().hex.encode()),
            (b"X-Class", request_class.name.encode()),
            (b"X-Tenant", plan.tenants[plan.tenant_index[request_index]].encode()),
            (b"X-Deadline-Ms", b"%d" % max(time_left_ms, 1.0)),
        ]
        if request_class.idempotency is Idempotency.KEYED:
            headers.append((b"Idempotency-Key", uuid4().hex.encode()))
        target = f"/{request_class.name}/{plan.key[request_index]:x}".encode()
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return connection.codec.compose(b"GET", target, headers)
        return connection.codec.compose(b"POST", target, headers, REQUEST_BODY)

    def _now_s(self) -> float:
        """Return the time in s since the start of the run."""
        return time.monotonic() - self._start


def _outcome_of(status: int) -> Outcome:
    if status == HTTPStatus.OK:
        return Outcome.SERVED
    if status in REJECTED_STATUSES:
        return Outcome.REFUSED
    return Outcome.FAILED


def _cpu_time_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
