"""One worker's event loop: each planned request is sent at its moment, whatever became of others."""

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
LATE_RESPONSE_WAIT_S = 1.0  # after the deadline, to learn how late a response comes
MIN_TIMEOUT_S = 0.05
CONNECT_TIMEOUT_S = 5.0
PROGRESS_INTERVAL_S = 0.2
LATE_YIELD_INTERVAL = 64  # requests sent in one go while behind the plan, before responses are read
REJECTED_STATUSES = frozenset((HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE))


@dataclass
class Connection:
    """A connection; it carries one request at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    codec: HttpClientCodec

    async def exchange(self, request: bytes) -> int:
        """Send a request and return the status of its response.

        Raises OSError or BrokenResponseError if there is none.
        """
        self.writer.write(request)
        await self.writer.drain()
        while True:
            response = self.codec.receive(await self.reader.read(READ_SIZE_BYTES))
            if response is not None:
                return response.status

    def is_usable(self) -> bool:
        """Return whether it can carry a request, which one that the server has closed cannot."""
        return not self.reader.at_eof() and not self.writer.is_closing()


class Sender:
    """Sends a plan to one server. Opens a further connection whenever all are busy, as many clients would."""

    def __init__(self, host: str, port: int, plan: Plan, result: Result) -> None:
        self._host = host
        self._port = port
        self._plan = plan
        self._result = result
        self._idle_connections: list[Connection] = []
        self._start = 0.0

    async def run(self, start: float, report_sent: Callable[[int], None]) -> None:
        """Play the plan from `start` (time.monotonic) on, until the last request has ended.

        `report_sent` is called from time to time with the number of requests sent so far.
        """
        self._start = start
        cpu_before_s = _cpu_time_s()
        measured_from = max(time.monotonic(), start)
        tasks: set[asyncio.Task[None]] = set()
        last_report = 0.0
        for number, planned_s in enumerate(self._plan.at_s.tolist()):
            await self._wait_for(number, planned_s)
            task = asyncio.create_task(self._request(number, planned_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if time.monotonic() - last_report > PROGRESS_INTERVAL_S:
                last_report = time.monotonic()
                report_sent(number + 1)
        while tasks:
            await asyncio.wait(tasks)
        for connection in self._idle_connections:
            connection.writer.close()
        self._result.duration_s = time.monotonic() - measured_from
        self._result.cpu_s = _cpu_time_s() - cpu_before_s

    async def _wait_for(self, number: int, planned_s: float) -> None:
        ahead_s = self._start + planned_s - time.monotonic()
        if ahead_s > 0.0:
            await asyncio.sleep(ahead_s)
        elif number % LATE_YIELD_INTERVAL == 0:
            await asyncio.sleep(0)  # behind the plan: responses are to be read all the same

    async def _request(self, number: int, planned_s: float) -> None:
        plan = self._plan
        request_class = plan.classes[plan.class_index[number]]
        sent_s = self._now_s()
        time_left_s = request_class.deadline_ms / 1000.0 + LATE_RESPONSE_WAIT_S - (sent_s - planned_s)
        connection = None
        status = 0
        outcome = Outcome.UNCONNECTED
        try:
            async with asyncio.timeout(max(time_left_s, MIN_TIMEOUT_S)):
                connection = await self._connect()
                outcome = Outcome.BROKEN
                request = self._compose(connection, number, planned_s)
                status = await connection.exchange(request)
                outcome = _outcome_of(status)
        except TimeoutError:
            outcome = Outcome.TIMEOUT if connection is not None else Outcome.UNCONNECTED
        except (OSError, BrokenResponseError):
            pass  # the outcome says how far the request came
        tag = Tag(request_class.name, plan.tenants[plan.tenant_index[number]], outcome)
        self._result.count(RequestRecord(tag, planned_s, sent_s, self._now_s(), status))
        if connection is not None:
            if status and connection.codec.reusable:
                self._idle_connections.append(connection)
            else:
                connection.writer.close()

    async def _connect(self) -> Connection:
        """Return an idle connection, or else a new one."""
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable():
                return connection
            connection.writer.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        return Connection(reader, writer, HttpClientCodec(BODY_LIMIT_BYTES))

    def _compose(self, connection: Connection, number: int, planned_s: float) -> bytes:
        plan = self._plan
        request_class = plan.classes[plan.class_index[number]]
        time_left_ms = request_class.deadline_ms - 1000.0 * (self._now_s() - planned_s)
        headers = [
            (b"Host", self._host.encode()),
            (b"X-Request-Id", uuid4().hex.encode()),
            (b"X-Class", request_class.name.encode()),
            (b"X-Tenant", plan.tenants[plan.tenant_index[number]].encode()),
            (b"X-Deadline-Ms", b"%d" % max(time_left_ms, 1.0)),
        ]
        if request_class.idempotency is Idempotency.KEYED:
            headers.append((b"Idempotency-Key", uuid4().hex.encode()))
        target = f"/{request_class.name}/{plan.key[number]:x}".encode()
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return connection.codec.compose(b"GET", target, headers)
        return connection.codec.compose(b"POST", target, headers, REQUEST_BODY)

    def _now_s(self) -> float:
        """Return the time since the start of the run."""
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
