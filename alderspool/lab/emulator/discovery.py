"""The discovery service on a socket: the complete endpoint list, or a watch that waits for changes."""

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
    """What a client requests of the list."""

    since: int | None  # None: the complete list at once; else a watch for changes since this version
    timeout_ms: float

    @classmethod
    def parse(cls, query: str) -> _ListQuery:
        """Read a query string. Raises ValueError."""
        values = parse_qs(query)
        since = int(values["since"][0]) if "since" in values else None
        timeout_ms = min(float(values.get("timeout_ms", ["0"])[0]), MAX_WATCH_MS)
        return cls(since, timeout_ms)


class EmulatedDiscovery(LoopbackListener):
    """Serves the list of its model."""

    def __init__(self, model: DiscoveryModel) -> None:
        super().__init__()
        self.model = model

    def report(self, record: EndpointRecord) -> None:
        """Take up a change of an endpoint now; it is listed after the model's delay."""
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
        records = await self._records(query)
        complete_at_ms = self.model.complete_call_at(now_ms(), len(records))
        if complete_at_ms is None:
            return encode_response(HTTPStatus.SERVICE_UNAVAILABLE)
        await sleep_until(complete_at_ms)
        document = list_document(self.model.version, records, is_snapshot=query.since is None)
        return encode_response(HTTPStatus.OK, json.dumps(document).encode())

    async def _records(self, query: _ListQuery) -> list[EndpointRecord]:
        """Return the snapshot, or the changes once there are any or the watch's time is over."""
        self.model.advance(now_ms())
        if query.since is None:
            return self.model.snapshot()
        timeout_at_ms = now_ms() + query.timeout_ms
        while not self.model.changes_since(query.since) and now_ms() < timeout_at_ms:
            await asyncio.sleep(WATCH_CHECK_INTERVAL_S)
            self.model.advance(now_ms())
        return self.model.changes_since(query.since)


def list_document(version: int, records: list[EndpointRecord], *, is_snapshot: bool) -> dict[str, Any]:
    """Return the list in the form that discovery sends as JSON."""
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
