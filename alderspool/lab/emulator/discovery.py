"""Emulated discovery service: serves the endpoint list as a snapshot or a watch that waits for changes."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, urlsplit

from alderspool.lab.emulator.clock import now_ms, sleep_until
from alderspool.lab.emulator.http_server import READ_SIZE_BYTES, HttpServerCodec, encode_response
from alderspool.lab.emulator.loopback_listener import LoopbackListener
from alderspool.lab.models.discovery import DiscoveryModel, EndpointRecord

ENDPOINT_LIST_PATH = "/v1/endpoints"
WATCH_CHECK_INTERVAL_S = 0.02
MAX_WATCH_MS = 60_000.0


@dataclass(frozen=True)
class _ListQuery:
    """Query parameters of a request for the endpoint list."""

    since: int | None  # None: a snapshot; otherwise a watch for changes since this version
    timeout_ms: float

    @classmethod
    def parse(cls, query: str) -> _ListQuery:
        """Parse a query string. Raises ValueError if a number is malformed."""
        values = parse_qs(query)
        since = int(values["since"][0]) if "since" in values else None
        timeout_ms = min(float(values.get("timeout_ms", ["0"])[0]), MAX_WATCH_MS)
        return cls(since, timeout_ms)


class EmulatedDiscovery(LoopbackListener):
    """Serves the endpoint list of its model over HTTP."""

    def __init__(self, model: DiscoveryModel) -> None:
        super().__init__()
        self.model = model

    def report(self, record: EndpointRecord) -> None:
        """Report a change of an endpoint; it is listed after the delay that the model defines."""
        self.model.report(now_ms(), record)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection."""
        codec = HttpServerCodec()
        while data := await reader.read(READ_SIZE_BYTES):
            for request in codec.receive(data):
                writer.write(await self._respond(request.target))
            if codec.failure is not None:
                return

    async def _respond(self, target: str) -> bytes:
        parts = urlsplit(target)
        if parts.path != ENDPOINT_LIST_PATH:
            return encode_response(HTTPStatus.NOT_FOUND)
        try:
            query = _ListQuery.parse(parts.query)
        except ValueError:
            return encode_response(HTTPStatus.BAD_REQUEST)
        records = await self._wait_for_records(query)
        complete_at_ms = self.model.schedule_call(now_ms(), len(records))
        if complete_at_ms is None:
            return encode_response(HTTPStatus.SERVICE_UNAVAILABLE)
        await sleep_until(complete_at_ms)
        document = endpoint_list_document(self.model.version, records, is_snapshot=query.since is None)
        return encode_response(HTTPStatus.OK, json.dumps(document).encode())

    async def _wait_for_records(self, query: _ListQuery) -> list[EndpointRecord]:
        """Return the snapshot; for a watch, wait for changes until its timeout and return them."""
        self.model.advance(now_ms())
        if query.since is None:
            return self.model.snapshot()
        timeout_at_ms = now_ms() + query.timeout_ms
        while not self.model.changes_since(query.since) and now_ms() < timeout_at_ms:
            await asyncio.sleep(WATCH_CHECK_INTERVAL_S)
            self.model.advance(now_ms())
        return self.model.changes_since(query.since)


def endpoint_list_document(
    version: int, records: list[EndpointRecord], *, is_snapshot: bool
) -> dict[str, Any]:
    """Return the endpoint list in the form that the discovery service sends as JSON."""
    endpoints = [
        {
            "name": record.name,
            "address": record.address,
            "zone": record.zone,
            "type": record.type,
            "group": record.group,
            "status": record.status,
            "weight": record.weight,
            "since_ms": record.since_ms,
        }
        for record in records
    ]
    return {"index": version, "snapshot": is_snapshot, "endpoints": endpoints}
