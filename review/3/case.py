"""An answer that never ends must not make the proxy grow over its limit on memory."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import harness as h

SECONDS = 45.0
REQUESTS_PER_S = 200.0  # "A proxy receives 200 to 320 requests a second"
SPOILT_SHARE = 0.1  # of the answers: "many spoilt answers"
MEMORY_MB = 192  # the largest limit of the pages: "the limits are at most 192 MB"
BACKENDS = 4
WORK_S = (0.015, 0.04)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BLOCK = b"a" * 65536
MAX_UNSENT_BYTES = 128 * 1024


class SpoilingBackend(h.Backend):
    """A backend some of whose answers never end: the last field behind the body keeps coming."""

    spoilt = 0

    def answer(self, connection: h.BackendConnection, request_id: str, target: str) -> None:
        if h.has_trouble() and not connection.is_lost and random.random() < SPOILT_SHARE:
            task = asyncio.get_running_loop().create_task(
                self._answer_without_end(connection, request_id, target)
            )
            connection.task = task  # type: ignore[attr-defined]
            return
        super().answer(connection, request_id, target)

    async def _answer_without_end(
        self, connection: h.BackendConnection, request_id: str, target: str
    ) -> None:
        SpoilingBackend.spoilt += 1
        body = h.answer_body(request_id, target)
        transport = connection.transport
        transport.write(HEAD + b"%x\r\n%b\r\n0\r\nX-Checksum: " % (len(body), body))
        sent = 0
        while not connection.is_lost:
            if transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
                transport.write(BLOCK)
                sent += len(BLOCK)
            await asyncio.sleep(0)
        self.record.line(
            f"spoilt   {request_id} at {self.name}: {sent / 1e6:.1f} MB until the proxy ended it"
        )


async def play(record: h.Record, folder: Path) -> bool:
    backends = [
        SpoilingBackend(f"s-{number}", record, lambda _: random.uniform(*WORK_S), group=number // 2)
        for number in range(BACKENDS)
    ]
    for backend in backends:
        await backend.start()
    discovery = h.Discovery(backends)
    await discovery.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    proxy = h.Proxy("n0", folder, h.sms_settings(), discovery, limits)
    platform = None
    try:
        await proxy.start()
        platform = asyncio.create_task(h.kill_over_memory(proxy, MEMORY_MB, record))
        traffic = h.Traffic(h.Clients(proxy), record)
        await traffic.play(REQUESTS_PER_S, SECONDS, may_go_on=lambda: not platform.done())
        was_killed = platform.done()
    finally:
        if platform is not None:
            platform.cancel()
        await proxy.stop()
    record.say(
        f"{traffic.summary()}; answers without end {SpoilingBackend.spoilt};"
        f" peak memory {proxy.peak_memory_mb:.0f} of {MEMORY_MB} MB"
    )
    return not was_killed


h.run_case(Path(__file__).resolve().parent, play)
