"""Emulated endpoint: serves HTTP on a loopback port; its model decides whether and when it responds."""

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
_KEY_BYTES = 8  # number of bytes at the end of a target that form its key


@dataclass(frozen=True)
class WorkDistribution:
    """Lognormal distribution of the work of a class's requests, in ms of one core of speed 1."""

    mean: float
    coefficient_of_variation: float = 0.4

    def sample(self, random: np.random.Generator) -> float:
        """Draw the work of one request."""
        sigma = math.sqrt(math.log(1.0 + self.coefficient_of_variation**2))
        return self.mean * random.lognormal(-(sigma**2) / 2.0, sigma)


@dataclass(frozen=True)
class EndpointIdentity:
    """The fields of an endpoint list entry that do not depend on the endpoint's state."""

    name: str
    zone: str = "a"
    group: int = 0


@dataclass
class AttemptRecord:
    """An endpoint's record of an attempt. Times are Unix times in s."""

    endpoint: str
    request_id: str
    request_class: str
    arrived_at_s: float
    offer_result: OfferResult
    is_completed: bool = False  # whether it ran to its end
    responded_at_s: float = 0.0  # 0: not completed


class EmulatedEndpoint(LoopbackListener):
    """One endpoint. `records` holds all attempts in order of arrival, for the evaluation of a run."""

    def __init__(
        self,
        identity: EndpointIdentity,
        profile: EndpointProfile,
        work_by_class: Mapping[str, WorkDistribution],
        random: np.random.Generator,
        deduplication: DeduplicationScope | None = None,
    ) -> None:
        super().__init__()
        self.identity = identity
        self.model = EndpointModel(profile, random, deduplication, now_ms())
        self.records: list[AttemptRecord] = []
        self.since_ms = 0.0  # Unix time of the last start; 0: started long ago
        self._work_by_class = work_by_class
        self._random = random
        self._pending_statuses: dict[int, asyncio.Future[HTTPStatus]] = {}  # by id of an outstanding attempt
        self._timer: asyncio.TimerHandle | None = None
        self._attempt_count = 0

    @property
    def name(self) -> str:
        """The endpoint's name in the endpoint list."""
        return self.identity.name

    # ---- faults ----------------------------------------------------------------------------------

    def crash(self) -> None:
        """End the process: its connections are reset and its attempts are lost."""
        self._advance()
        self.model.crash()
        self.kill()
        for status in self._pending_statuses.values():
            status.cancel()
        self._pending_statuses.clear()

    async def restart(self) -> None:
        """Start a new process on the same port; crash the current one first if it is still up."""
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
        """Return the response, or None to close the connection without one."""
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
                return await self._respond_on_completion(attempt, record, reader)

    def _new_attempt(self, request: HttpRequest, request_class: str) -> EndpointAttempt:
        self._attempt_count += 1
        work = self._work_by_class[request_class].sample(self._random)
        idempotency_key = request.header(b"idempotency-key")
        return EndpointAttempt(self._attempt_count, work, key_from_target(request.target), idempotency_key)

    async def _respond_on_completion(
        self, attempt: EndpointAttempt, record: AttemptRecord, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Wait for the attempt; return the response, or None if the client or the endpoint disconnects."""
        self._pending_statuses[attempt.id] = asyncio.get_running_loop().create_future()
        self._reschedule()
        status = await self._wait_for_status(attempt.id, reader)
        if status is None:
            return None
        record.is_completed = True
        record.responded_at_s = time.time()
        return self._encode_success(record) if status == HTTPStatus.OK else encode_response(status)

    async def _wait_for_status(self, attempt_id: int, reader: asyncio.StreamReader) -> HTTPStatus | None:
        """Wait for an attempt and return its status.

        If the client disconnects or the endpoint crashes before, cancel the attempt and return None.
        """
        status = self._pending_statuses[attempt_id]
        # The client sends nothing more while its request is outstanding: the read ends when it disconnects.
        disconnected = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((status, disconnected), return_when=asyncio.FIRST_COMPLETED)
            if status.done() and not status.cancelled():
                return status.result()
            self._advance()
            self.model.cancel(attempt_id)
            return None
        finally:
            self._pending_statuses.pop(attempt_id, None)
            disconnected.cancel()
            await asyncio.wait((disconnected,))  # StreamReader allows only one read at a time

    def _encode_success(self, record: AttemptRecord) -> bytes:
        document = {"id": record.request_id, "node": self.name}
        return encode_response(HTTPStatus.OK, json.dumps(document).encode())

    # ---- time ------------------------------------------------------------------------------------

    def _advance(self) -> None:
        """Advance the model to now and pass on the statuses of completed attempts."""
        for completion in self.model.advance(now_ms()):
            status = self._pending_statuses.get(completion.id)
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
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._advance()
        self._reschedule()


def key_from_target(target: str) -> int:
    """Return the key of a request: a number that, unlike `hash()`, is the same in every process."""
    return int.from_bytes(target.encode()[-_KEY_BYTES:], "big")
