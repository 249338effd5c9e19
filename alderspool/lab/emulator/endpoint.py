"""An endpoint on a socket: the model decides when and whether an answer comes, this carries it."""

from __future__ import annotations

import asyncio
import json
import math
import time
from dataclasses import dataclass, field

import numpy as np

from alderspool.lab.emulator.wire import Listener, Request, ServerWire, answer
from alderspool.lab.models.endpoint import EndpointModel, EndpointProfile, Rack, Verdict, Work

NOT_RUN = b"X-Not-Run: 1"


@dataclass(frozen=True)
class Load:
    """What a class of request asks of a node: mean core-ms and their coefficient of variation (lognormal)."""

    work: float
    cv: float = 0.4


@dataclass
class Seen:
    """What a node saw of one attempt; moments in s of time.time()."""

    node: str
    request: str
    cls: str
    came: float
    verdict: str
    ran: bool = False
    answered: float = 0.0
    extra: dict = field(default_factory=dict)


def clock_ms() -> float:
    """The models' time."""
    return time.monotonic() * 1000.0


class EndpointServer(Listener):
    """`records`: every attempt that came, for whoever judges the run."""

    def __init__(
        self,
        name: str,
        profile: EndpointProfile,
        loads: dict[str, Load],
        stream: np.random.Generator,
        rack: Rack | None = None,
        zone: str = "a",
        group: int = 0,
    ) -> None:
        super().__init__()
        self.name, self.zone, self.group = name, zone, group
        self.model = EndpointModel(profile, stream, rack, clock_ms())
        self.records: list[Seen] = []
        self.since_ms = 0.0  # the last start, Unix time; 0: long ago
        self._loads, self._stream = loads, stream
        self._open: dict[int, asyncio.Future[bytes]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._count = 0

    # ---- faults ------------------------------------------------------------------------------------

    def crash(self) -> None:
        self._advance()
        self.model.crash()
        self.kill()
        for future in self._open.values():
            future.cancel()
        self._open.clear()

    async def restart(self) -> None:
        """A new process at the same port; one that still ran ends first."""
        if self.model.up:
            self.crash()
        self.model.restart(clock_ms())
        self.since_ms = time.time() * 1000.0
        await self.open()

    # ---- requests ----------------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.model.connect():
            return
        wire = ServerWire()
        try:
            while data := await reader.read(65536):
                for request in wire.receive(data):
                    reply = await self._reply(request, reader)
                    if reply is None:
                        return
                    writer.write(reply)
                if wire.fault is not None:
                    return
        finally:
            self.model.disconnect()

    async def _reply(self, request: Request, reader: asyncio.StreamReader) -> bytes | None:
        """The answer; None ends the connection without one."""
        self._advance()
        if request.target in ("/health", "/status/load"):
            return answer(200 if self.model.probe() else 503)
        id = request.headers.get(b"x-request-id", b"").decode("latin-1")
        cls = request.target.strip("/").partition("/")[0]
        if not id or cls not in self._loads:
            return answer(404 if not id else 400)
        key = request.headers.get(b"idempotency-key")
        self._count += 1
        load, number = self._loads[cls], self._count
        sigma = math.sqrt(math.log(1.0 + load.cv**2))
        work = load.work * self._stream.lognormal(-(sigma**2) / 2.0, sigma)
        job = Work(number, work, hash_key(request.target), key.decode("latin-1") if key else None)
        verdict = self.model.offer(clock_ms(), job)
        seen = Seen(self.name, id, cls, time.time(), verdict.value)
        self.records.append(seen)
        if verdict in (Verdict.FULL, Verdict.DRAINING):
            return answer(503, b"", NOT_RUN)
        if verdict is Verdict.REPEAT:
            return self._body(seen)
        if verdict is Verdict.DOWN:
            return None
        future = self._open[number] = asyncio.get_running_loop().create_future()
        self._rearm()
        status = await self._ended_or_left(future, number, reader)
        if status is None:
            return None
        seen.ran, seen.answered = True, time.time()
        return self._body(seen) if status == 200 else answer(status)

    async def _ended_or_left(
        self, future: asyncio.Future, number: int, reader: asyncio.StreamReader
    ) -> int | None:
        """The status once it ran; None if the other side gave the attempt up before."""
        left = asyncio.ensure_future(reader.read(1))  # nothing more may come while its request is open
        try:
            await asyncio.wait((future, left), return_when=asyncio.FIRST_COMPLETED)
            if future.done() and not future.cancelled():
                return future.result()
            self._advance()
            self.model.cancel(number)
            return None
        finally:
            self._open.pop(number, None)
            left.cancel()
            await asyncio.wait((left,))  # two reads at once are none

    def _body(self, seen: Seen) -> bytes:
        return answer(200, json.dumps({"id": seen.request, "node": self.name}).encode())

    # ---- time --------------------------------------------------------------------------------------

    def _advance(self) -> None:
        for ended in self.model.advance(clock_ms()):
            future = self._open.get(ended.id)
            if future is not None and not future.done():
                future.set_result(500 if ended.error else 200)

    def _rearm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.model.due()
        if due < math.inf:
            delay = max(due - clock_ms(), 0.0) / 1000.0
            self._timer = asyncio.get_running_loop().call_later(delay, self._due)

    def _due(self) -> None:
        self._timer = None
        self._advance()
        self._rearm()


def hash_key(target: str) -> int:
    """What a request concerns, as a number that is the same in every process."""
    return int.from_bytes(target.encode()[-8:], "big")
