"""One worker's event loop: each planned request goes out at its moment, whatever became of others."""

from __future__ import annotations

import asyncio
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass
from uuid import uuid4

from alderspool.lab.load.plan import Plan
from alderspool.lab.load.results import Result
from alderspool.protocol.http_client import BrokenResponseError, HttpClientCodec

BODY_LIMIT = 64 * 1024
BODY = b"{}"
PATIENCE = 1.0  # s over the deadline that an answer is waited for: how late it came shall be known
_CONNECT_S = 5.0


@dataclass
class Link:
    """A connection; it carries one request at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    wire: HttpClientCodec


class Sender:
    """Sends a plan to one server. Opens a further connection whenever all are busy, as many clients would."""

    def __init__(self, host: str, port: int, plan: Plan, result: Result) -> None:
        self._host, self._port, self._plan, self._result = host, port, plan, result
        self._idle: list[Link] = []
        self._start = 0.0
        self.sent = 0

    async def run(self, start: float, tell: Callable[[int], None] | None = None) -> None:
        """Plays the plan from `start` (time.monotonic) on, until the last answer."""
        self._start, tasks = start, set[asyncio.Task]()
        cpu, wall = _cpu(), time.monotonic()
        at = self._plan.at.tolist()
        told = 0.0
        for number, moment in enumerate(at):
            ahead = start + moment - time.monotonic()
            if ahead > 0.0:
                await asyncio.sleep(ahead)
            elif number % 64 == 0:
                await asyncio.sleep(0)  # behind: answers are to be read all the same
            task = asyncio.create_task(self._request(number, moment))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            self.sent += 1
            if tell is not None and time.monotonic() - told > 0.2:
                told = time.monotonic()
                tell(self.sent)
        while tasks:
            await asyncio.wait(tasks)
        for link in self._idle:
            link.writer.close()
        self._result.wall_s, self._result.cpu_s = time.monotonic() - max(wall, start), _cpu() - cpu

    async def _request(self, number: int, planned: float) -> None:
        plan = self._plan
        cls = plan.classes[plan.cls[number]]
        outcome, status = "unconnected", 0
        sent, link = self._now(), None
        try:
            async with asyncio.timeout(max(cls.deadline_ms / 1000.0 + PATIENCE - (sent - planned), 0.05)):
                link = await self._connect()
                outcome = "broken"
                link.writer.write(self._compose(link, number, planned))
                await link.writer.drain()
                while (reply := link.wire.receive(await link.reader.read(65536))) is None:
                    pass
                status = reply.status
                outcome = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        except TimeoutError:
            outcome = "timeout" if link is not None else "unconnected"
        except (OSError, BrokenResponseError):
            pass  # the outcome says how far it came
        self._result.count(
            (cls.name, plan.tenants[plan.tenant[number]], outcome), planned, sent, self._now(), status
        )
        if link is not None:
            if status and link.wire.reusable:
                self._idle.append(link)
            else:
                link.writer.close()

    async def _connect(self) -> Link:
        while self._idle:
            link = self._idle.pop()
            # What the server closed meanwhile, or sent unasked, carries no request.
            if not link.reader.at_eof() and not link.writer.is_closing():
                return link
            link.writer.close()
        async with asyncio.timeout(_CONNECT_S):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        return Link(reader, writer, HttpClientCodec(BODY_LIMIT))

    def _compose(self, link: Link, number: int, planned: float) -> bytes:
        plan = self._plan
        cls = plan.classes[plan.cls[number]]
        left = cls.deadline_ms - 1000.0 * (self._now() - planned)
        headers = [
            (b"Host", self._host.encode()),
            (b"X-Request-Id", uuid4().hex.encode()),
            (b"X-Class", cls.name.encode()),
            (b"X-Tenant", plan.tenants[plan.tenant[number]].encode()),
            (b"X-Deadline-Ms", b"%d" % max(left, 1.0)),
        ]
        if cls.idempotency == "keyed":
            headers.append((b"Idempotency-Key", uuid4().hex.encode()))
        target = f"/{cls.name}/{plan.key[number]:x}".encode()
        if cls.idempotency == "free":
            return link.wire.compose(b"GET", target, headers)
        return link.wire.compose(b"POST", target, headers, BODY)

    def _now(self) -> float:
        return time.monotonic() - self._start


def _cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
