"""An endpoint on a socket: its model decides when and whether a response comes, this transports it."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import numpy as np

from alderspool.lab.emulator.clock import now_ms
from alderspool.lab.emulator.http_server import (
    READ_SIZE_BYTES,
    HttpRequest,
    HttpServerCodec,
    encode_response,
)
from alderspool.lab.emulator.loopback_listener import LoopbackListener
from alderspool.lab.models.deduplication import DeduplicationScope
from alderspool.lab.models.endpoint import EndpointAttempt, EndpointModel, OfferResult
from alderspool.lab.models.endpoint_profile import EndpointProfile

NOT_RUN_HEADER = b"X-Not-Run: 1"
HEALTH_TARGETS = ("/health", "/status/load")
_KEY_BYTES = 8  # at the end of a target; they distinguish the keys


@dataclass(frozen=True)
class ClassWork:
    """The work of a request of some class: lognormal, in ms of a core of speed 1."""

    mean: float
    coefficient_of_variation: float = 0.4

    def draw(self, random: np.random.Generator) -> float:
        """Return the work of one request."""
        sigma = math.sqrt(math.log(1.0 + self.coefficient_of_variation**2))
        return self.mean * random.lognormal(-(sigma**2) / 2.0, sigma)


@dataclass(frozen=True)
class EndpointIdentity:
    """What the endpoint list says of an endpoint, whatever its state."""

    name: str
    zone: str = "a"
    group: int = 0


@dataclass
class AttemptRecord:
    """What an endpoint saw of one attempt; moments in s of time.time()."""

    endpoint: str
    request_id: str
    request_class: str
    arrived_at_s: float
    offer_result: OfferResult
    has_run: bool = False  # to its end
    responded_at_s: float = 0.0


class EmulatedEndpoint(LoopbackListener):
    """One endpoint. `records` has every attempt that arrived, in order, for those who evaluate a run."""

    def __init__(
        self,
        identity: EndpointIdentity,
        profile: EndpointProfile,
        work_by_class: Mapping[str, ClassWork],
        random: np.random.Generator,
        deduplication: DeduplicationScope | None = None,
    ) -> None:
        super().__init__()
        self.identity = identity
        self.model = EndpointModel(profile, random, deduplication, now_ms())
        self.records: list[AttemptRecord] = []
        self.since_ms = 0.0  # the last start, Unix time; 0: long ago
        self._work_by_class = work_by_class
        self._random = random
        self._statuses: dict[int, asyncio.Future[HTTPStatus]] = {}  # of outstanding attempts
        self._timer: asyncio.TimerHandle | None = None
        self._attempt_count = 0

    @property
    def name(self) -> str:
        """The name in the endpoint list."""
        return self.identity.name

    # ---- faults ----------------------------------------------------------------------------------

    def crash(self) -> None:
        """End the process: its connections are reset, its attempts lost."""
        self._advance()
        self.model.crash()
        self.kill()
        for status in self._statuses.values():
            status.cancel()
        self._statuses.clear()

    async def restart(self) -> None:
        """Start a new process at the same port; one that still runs ends first."""
        if self.model.is_up:
            self.crash()
        self.model.restart(now_ms())
        self.since_ms = time.time() * 1000.0
        await self.open()

    # ---- requests --------------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection."""
        if not self.model.connect():
            return
        codec = HttpServerCodec()
        try:
            while data := await reader.read(READ_SIZE_BYTES):
                for request in codec.receive(data):
                    response = await self._respond(request, reader)
                    if response is None:
                        return
                    writer.write(response)
                if codec.failure is not None:
                    return
        finally:
            self.model.disconnect()

    async def _respond(self, request: HttpRequest, reader: asyncio.StreamReader) -> bytes | None:
        """Return the response; None closes the connection without one."""
        self._advance()
        if request.target in HEALTH_TARGETS:
            is_healthy = self.model.check_health()
            return encode_response(HTTPStatus.OK if is_healthy else HTTPStatus.SERVICE_UNAVAILABLE)
        request_id = request.header(b"x-request-id")
        if request_id is None:
            return encode_response(HTTPStatus.NOT_FOUND)
        request_class = request.target.strip("/").partition("/")[0]
        if request_class not in self._work_by_class:
            return encode_response(HTTPStatus.BAD_REQUEST)
        attempt = self._new_attempt(request, request_class)
        offer_result = self.model.offer(now_ms(), attempt)
        record = AttemptRecord(self.name, request_id, request_class, time.time(), offer_result)
        self.records.append(record)
        return await self._respond_to_offer(attempt, record, reader)

    async def _respond_to_offer(
        self, attempt: EndpointAttempt, record: AttemptRecord, reader: asyncio.StreamReader
    ) -> bytes | None:
        match record.offer_result:
            case OfferResult.REJECTED_FULL | OfferResult.REJECTED_DRAINING:
                return encode_response(HTTPStatus.SERVICE_UNAVAILABLE, b"", NOT_RUN_HEADER)
            case OfferResult.DUPLICATE:
                return self._encode_success(record)
            case OfferResult.DOWN:
                return None
            case OfferResult.ACCEPTED | OfferResult.SILENT:
                return await self._run(attempt, record, reader)

    def _new_attempt(self, request: HttpRequest, request_class: str) -> EndpointAttempt:
        self._attempt_count += 1
        work = self._work_by_class[request_class].draw(self._random)
        idempotency_key = request.header(b"idempotency-key")
        return EndpointAttempt(self._attempt_count, work, key_of_target(request.target), idempotency_key)

    async def _run(
        self, attempt: EndpointAttempt, record: AttemptRecord, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Wait until the attempt has run; None if its peer disconnected before, or the process ended."""
        self._statuses[attempt.id] = asyncio.get_running_loop().create_future()
        self._reschedule()
        status = await self._status_unless_disconnected(attempt.id, reader)
        if status is None:
            return None
        record.has_run = True
        record.responded_at_s = time.time()
        return self._encode_success(record) if status == HTTPStatus.OK else encode_response(status)

    async def _status_unless_disconnected(
        self, attempt_id: int, reader: asyncio.StreamReader
    ) -> HTTPStatus | None:
        status = self._statuses[attempt_id]
        # The peer sends nothing more while its request is outstanding: a read ends when it disconnects.
        disconnected = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((status, disconnected), return_when=asyncio.FIRST_COMPLETED)
            if status.done() and not status.cancelled():
                return status.result()
            self._advance()
            self.model.cancel(attempt_id)
            return None
        finally:
            self._statuses.pop(attempt_id, None)
            disconnected.cancel()
            await asyncio.wait((disconnected,))  # a stream reader allows one read at a time

    def _encode_success(self, record: AttemptRecord) -> bytes:
        document = {"id": record.request_id, "node": self.name}
        return encode_response(HTTPStatus.OK, json.dumps(document).encode())

    # ---- time ------------------------------------------------------------------------------------

    def _advance(self) -> None:
        for completion in self.model.advance(now_ms()):
            status = self._statuses.get(completion.id)
            if status is not None and not status.done():
                status.set_result(HTTPStatus.INTERNAL_SERVER_ERROR if completion.is_error else HTTPStatus.OK)

    def _reschedule(self) -> None:
        """Set the timer for the model's next event."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_event_at_ms = self.model.next_event_at()
        if next_event_at_ms < math.inf:
            delay_s = max(next_event_at_ms - now_ms(), 0.0) / 1000.0
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        self._advance()
        self._reschedule()


def key_of_target(target: str) -> int:
    """Return what a request concerns, as a number that is the same in every process."""
    return int.from_bytes(target.encode()[-_KEY_BYTES:], "big")
