"""The helper of the socket tests: the real program, with scripted servers as its endpoints and discovery.

Everything runs on free ports of the loopback; a test scripts what each server does. Nothing is modelled here.
"""

from __future__ import annotations

import asyncio
import functools
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs

TEST_TIMEOUT_S = 30.0  # generous: a slow system must not change a verdict
SETTINGS = {
    "bounds": {"cancel": True, "may_duplicate": False, "max_attempts": 5, "conn_idle_ms": 10000.0},
    "classes": [
        {"name": "look", "slo_ms": 400.0, "deadline_ms": 1000.0, "effect": "free"},
        {"name": "pay", "slo_ms": 400.0, "deadline_ms": 1000.0, "effect": "single_shot"},
        {"name": "put", "slo_ms": 400.0, "deadline_ms": 2000.0, "effect": "guarded", "dedup_scope": "cell"}
        | {"memory_span_ms": 10000.0},
    ],
    "customers": [{"name": "acme", "share": 1.0, "quota_rps": 0.0}],
    "discovery": "on_request",
    "rules": {"drain_grace_ms": 250.0, "cold_from": 0.3, "cold_ms": 20000.0, "overload_factor": 4.0},
    "shapes": ["m2"],
    "weights": "nominal",
    "zones": ["a", "b"],
}
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
BARE_503 = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def real(test):
    """Run a coroutine test under a time limit that only a hang reaches."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), TEST_TIMEOUT_S))

    return run


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[str, str], bytes]:
    """Return the first line, headers and body of a request or response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0].encode(), headers, body


class ScriptedServer:
    """A scripted server. `reply` gives the response to each request; None: no response; b"": close.

    `line` has changes to its entry in the endpoint list.
    """

    def __init__(self, name: str, reply: Callable | bytes | None = OK, **line: object) -> None:
        self.name = name
        self.reply = reply
        self.entry_changes = line
        self.received_requests: list[tuple[bytes, dict[str, str], bytes]] = []
        self.accepted_connections = 0  # connections
        self.peer_closed = asyncio.Event()  # a client has closed its connection

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        try:
            while True:
                self.received_requests.append(await read_message(reader))
                reply = self.reply(self) if callable(self.reply) else self.reply
                reply = await reply if asyncio.iscoroutine(reply) else reply
                await asyncio.sleep(
                    0.001
                )  # across a network no response comes sooner; on the loopback it could
                if reply is not None:
                    writer.write(reply)
                    if not reply or b"Connection: close" in reply:
                        return
        except (OSError, asyncio.IncompleteReadError):
            self.peer_closed.set()
        finally:
            writer.close()

    def entry(self, **changes: object) -> dict[str, object]:
        """Return its entry in the endpoint list."""
        line = {"zone": "a", "type": "m2", "group": 0, "status": "ready", "weight": 1.0, "since_ms": 0}
        return {"name": self.name, "address": f"127.0.0.1:{self.port}"} | line | self.entry_changes | changes


async def wait_for_target(scripted_server: ScriptedServer, part: bytes) -> list[bytes]:
    """Wait for a request target that contains `part`; return all targets up to it."""
    while True:
        targets = [got[0].split()[1] for got in scripted_server.received_requests]
        for index, target in enumerate(targets):
            if part in target:
                return targets[: index + 1]
        await asyncio.sleep(0.005)


class Rig:
    """Discovery, endpoints and the proxy, started together."""

    def __init__(
        self, *endpoints: ScriptedServer, settings: dict | None = None, await_ready: bool = True
    ) -> None:
        self.endpoints = endpoints
        self.settings = SETTINGS | (settings or {})
        self.await_ready = await_ready
        self.discovery = ScriptedServer("discovery", lambda scripted_server: self._list())
        self._updates: asyncio.Queue[bytes] = asyncio.Queue()
        self._updates_sent = 0
        self.discovery_call_times_s: list[
            float
        ] = []  # times of the first call to discovery, and of the first after each update

    async def _list(self) -> bytes:
        """Return the next update; to a watch whose time is over, a response without changes."""
        if len(self.discovery_call_times_s) == self._updates_sent:
            self.discovery_call_times_s.append(time.monotonic())
        query = parse_qs(self.discovery.received_requests[-1][0].split()[1].partition(b"?")[2].decode())
        try:
            async with asyncio.timeout(int(query["timeout_ms"][0]) / 1000.0 if query else None):
                update = await self._updates.get()
        except TimeoutError:
            return self.list_response(index=int(query["since"][0]))
        self._updates_sent += 1
        return update

    def list_response(
        self, *entries: dict, index: int = 2, snapshot: bool = False, indent: str | None = None
    ) -> bytes:
        """Return a response of discovery with these entries."""
        text = json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}, indent=indent)
        doc = text.replace("\n", "\r\n").encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(doc), doc)

    def queue_list(self, *entries: dict, index: int = 2, snapshot: bool = False) -> None:
        """Let discovery respond to its next call with these entries."""
        self.queue_response(self.list_response(*entries, index=index, snapshot=snapshot))

    def queue_response(self, response: bytes) -> None:
        """Let discovery respond to its next call with these bytes."""
        self._updates.put_nowait(response)

    async def wait_for_calls(self, count: int) -> None:
        """Wait until discovery was called so often, calls after an update being counted once."""
        while len(self.discovery_call_times_s) < count:
            await asyncio.sleep(0.005)

    async def __aenter__(self) -> Rig:
        for scripted_server in (self.discovery, *self.endpoints):
            await scripted_server.start()
        placeholder = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        self.port = placeholder.sockets[0].getsockname()[1]
        placeholder.close()
        self.config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {
                "index": 1,
                "snapshot": True,
                "endpoints": [endpoint.entry() for endpoint in self.endpoints],
            },
            "settings": self.settings,
        }
        self.file = Path(tempfile.mkdtemp(prefix="alderspool-")) / "config.json"
        self.file.write_text(json.dumps(self.config))
        root = Path(__file__).parent.parent
        run = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]
        self.proxy = await asyncio.create_subprocess_exec(
            *("/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)),
            env=os.environ
            | {"BALANCER_CONFIG": str(self.file), "BALANCER_DISCOVERY": self.config["discovery"]},
            cwd=root,
        )
        if self.await_ready:
            await self.wait_until_ready()
        return self

    async def wait_until_ready(self) -> None:
        """Wait until the proxy responds."""
        while await self.is_ready() is None:
            assert self.proxy.returncode is None
            await asyncio.sleep(0.02)

    async def wait_until_started(self) -> None:
        """Wait until the shell has started the program, which loads from then on."""
        while b"alderspool\0serve" not in Path(f"/proc/{self.proxy.pid}/cmdline").read_bytes():
            await asyncio.sleep(0.001)

    async def __aexit__(self, *fault: object) -> None:
        if self.proxy.returncode is None:
            self.proxy.kill()
            await self.proxy.wait()
        shutil.rmtree(self.file.parent)
        for scripted_server in (self.discovery, *self.endpoints):
            scripted_server.server.close()

    def reload(self, text: str) -> None:
        """Replace the configuration file, and send the proxy SIGHUP."""
        new = self.file.with_suffix(".new")
        new.write_text(text)
        new.replace(self.file)
        self.proxy.send_signal(signal.SIGHUP)

    async def is_ready(self) -> bool | None:
        """Return whether the proxy is ready; None: it does not respond."""
        try:
            return (await self.send_raw(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
        except (OSError, asyncio.IncompleteReadError):
            return None

    async def connect(self, sent: bytes = b"") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, and send these bytes on it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(sent)
        return reader, writer

    async def send_raw(self, request: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send these bytes on a new connection; return status, headers and body of the response."""
        reader, writer = await self.connect(request)
        try:
            line, headers, body = await read_message(reader)
            return int(line.split()[1]), headers, body
        finally:
            writer.close()

    async def get_response(
        self, cls: str = "look", deadline_ms: int = 5000, **headers: str
    ) -> tuple[int, dict, bytes]:
        """Send a request on a new connection; return status, headers and body of the response."""
        return await self.send_raw(request(cls, deadline_ms, **headers))


def request(cls: str = "look", deadline_ms: int = 5000, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a request with this deadline; a header that is None is left out."""
    lines = {"Host": "api", "X-Class": cls, "X-Tenant": "acme", "X-Deadline-Ms": str(deadline_ms)}
    lines["X-Request-Id"] = os.urandom(8).hex()
    if cls == "put":
        lines["Idempotency-Key"] = "k1"
    if cls != "look":
        lines["Content-Length"] = str(len(body))
    lines |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items() if value is not None)
    return f"{'GET' if cls == 'look' else 'POST'} /{cls}/7f3a?x=1 HTTP/1.1\r\n{head}\r\n".encode() + body
