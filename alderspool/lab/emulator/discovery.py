"""The discovery service on a socket: the list whole, or a watch that waits for what changed."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from alderspool.lab.emulator.endpoint import clock_ms
from alderspool.lab.emulator.wire import Listener, ServerWire, answer
from alderspool.lab.models.discovery import Discovery, Entry

LOOK_S = 0.02  # a waiting watch looks this often for news


class DiscoveryServer(Listener):
    def __init__(self, model: Discovery) -> None:
        super().__init__()
        self.model = model

    def report(self, entry: Entry) -> None:
        self.model.report(clock_ms(), entry)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire = ServerWire()
        while data := await reader.read(65536):
            for request in wire.receive(data):
                writer.write(await self._reply(request.target))
            if wire.fault is not None:
                return

    async def _reply(self, target: str) -> bytes:
        parts = urlsplit(target)
        if parts.path != "/v1/endpoints":
            return answer(404)
        asked = parse_qs(parts.query)
        try:
            since = int(asked["since"][0]) if "since" in asked else None
            wait = min(float(asked.get("timeout_ms", ["0"])[0]), 60_000.0)
        except ValueError:
            return answer(400)
        self.model.advance(clock_ms())
        until = clock_ms() + wait
        while since is not None and not self.model.changes(since) and clock_ms() < until:
            await asyncio.sleep(LOOK_S)
            self.model.advance(clock_ms())
        entries = self.model.listed() if since is None else self.model.changes(since)
        at = self.model.call(clock_ms(), len(entries))
        if at is None:
            return answer(503)
        await asyncio.sleep(max(at - clock_ms(), 0.0) / 1000.0)
        return answer(200, json.dumps(document(self.model.index, entries, since is None)).encode())


def document(index: int, entries: list[Entry], whole: bool) -> dict:
    """The list in discovery's form."""
    lines = [
        {"name": e.name, "address": e.address, "zone": e.zone, "type": e.type, "group": e.group}
        | {"status": e.status, "weight": e.weight, "since_ms": e.since_ms}
        for e in entries
    ]
    return {"index": index, "snapshot": whole, "endpoints": lines}
