"""Test rig of the socket tests: the proxy in a process of its own, with scripted endpoints and discovery.

Everything runs on free loopback ports. Each test scripts how its servers respond.
"""

from __future__ import annotations

import asyncio
import functools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs

TEST_TIMEOUT_S = 30.0  # generous, so that no test fails only because the system is slow
SETTINGS = {
    "bounds": {"cancel": True, "may_duplicate": False, "max_attempts": 5, "conn_idle_ms": 10000.0},
    # `look` is idempotent, `pay` is not, and requests of `put` carry an idempotency key.
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
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
# 503 as by an overloaded endpoint; the second states that the request was not executed.
BARE_503 = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def async_test(test):
    """Decorate a coroutine test: run it in an event loop of its own, and fail it if it hangs."""

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
    """An HTTP server whose responses are scripted: an endpoint or discovery.

    `reply` is the response to every request, or a function (plain or async) that is called with this server
    and returns the response. None sends no response; b"" closes the connection. `entry_changes` override
    fields of its entry in the endpoint list.
    """

    def __init__(self, name: str, reply: Callable | bytes | None = OK, **entry_changes: object) -> None:
        self.name = name
        self.reply = reply
        self.entry_changes = entry_changes
        self.received_requests: list[tuple[bytes, dict[str, str], bytes]] = []
        self.accepted_connections = 0
        self.peer_closed = asyncio.Event()  # set once a client has closed a connection

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
                # No response arrives sooner than this over a network; over the loopback it could.
                await asyncio.sleep(0.001)
                if reply is not None:
                    writer.write(reply)
                    if not reply or b"Connection: close" in reply:
                        return
        except (OSError, asyncio.IncompleteReadError):
            self.peer_closed.set()
        finally:
            writer.close()

    def entry(self, **changes: object) -> dict[str, object]:
        """Return the entry of this server in the endpoint list, with these changes."""
        defaults = {"zone": "a", "type": "m2", "group": 0, "status": "ready", "weight": 1.0, "since_ms": 0}
        return (
            {"name": self.name, "address": f"127.0.0.1:{self.port}"} | defaults | self.entry_changes | changes
        )


async def wait_for_target(server: ScriptedServer, part: bytes) -> list[bytes]:
    """Wait until a request whose target contains `part` has arrived; return all targets up to it."""
    while True:
        targets = [received[0].split()[1] for received in server.received_requests]
        for index, target in enumerate(targets):
            if part in target:
                return targets[: index + 1]
        await asyncio.sleep(0.005)


def reserve_port() -> socket.socket:
    """Return a socket that is bound to a free loopback port and does not listen.

    While it is open, the system assigns the port to no other program. The proxy can listen on the port
    nevertheless, as both sockets set SO_REUSEADDR.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation


class Rig:
    """Discovery, endpoints and one proxy, started and stopped together as an async context manager.

    `settings` replace whole sections of SETTINGS, `limits` those of LIMITS. Without `await_ready`, entering
    the context does not wait until the proxy responds.
    """

    def __init__(
        self,
        *endpoints: ScriptedServer,
        settings: dict | None = None,
        limits: dict | None = None,
        await_ready: bool = True,
    ) -> None:
        self.endpoints = endpoints
        self.limits = LIMITS | (limits or {})
        self.settings = SETTINGS | (settings or {})
        self.await_ready = await_ready
        self.discovery = ScriptedServer("discovery", lambda server: self._respond_to_call())
        self._updates: asyncio.Queue[bytes] = asyncio.Queue()
        self._updates_sent = 0
        # When discovery was first called, and when it was first called after each update that it sent.
        self.discovery_call_times_s: list[float] = []

    async def _respond_to_call(self) -> bytes:
        """Return the next queued response; a watch that times out before gets a response without changes."""
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
        """Return an HTTP response of discovery with these entries."""
        text = json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}, indent=indent)
        body = text.replace("\n", "\r\n").encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def queue_list(self, *entries: dict, index: int = 2, snapshot: bool = False) -> None:
        """Queue a response of discovery with these entries."""
        self.queue_response(self.list_response(*entries, index=index, snapshot=snapshot))

    def queue_response(self, response: bytes) -> None:
        """Queue these bytes as the response of discovery to its next call."""
        self._updates.put_nowait(response)

    async def wait_for_calls(self, count: int) -> None:
        """Wait until `count` calls to discovery are recorded: its first, and the first after each update."""
        while len(self.discovery_call_times_s) < count:
            await asyncio.sleep(0.005)

    async def __aenter__(self) -> Rig:
        for scripted_server in (self.discovery, *self.endpoints):
            await scripted_server.start()
        self._port_reservation = reserve_port()
        self.port = self._port_reservation.getsockname()[1]
        self.config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
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
        command = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]
        self.proxy = await asyncio.create_subprocess_exec(
            *("/bin/sh", "-c", command.replace(".venv/bin/python", sys.executable)),
            env=os.environ
            | {"BALANCER_CONFIG": str(self.file), "BALANCER_DISCOVERY": self.config["discovery"]},
            cwd=root,
        )
        if self.await_ready:
            await self.wait_until_ready()
        return self

    async def wait_until_ready(self) -> None:
        """Wait until the proxy responds to GET /ready, with any status."""
        while await self.is_ready() is None:
            assert self.proxy.returncode is None
            await asyncio.sleep(0.02)

    @property
    def peak_memory_bytes(self) -> int:
        """The largest resident memory that the proxy has had."""
        status = Path(f"/proc/{self.proxy.pid}/status").read_text()
        peak_kib = next(line.split()[1] for line in status.splitlines() if line.startswith("VmHWM"))
        return int(peak_kib) * 1024

    async def wait_until_started(self) -> None:
        """Wait until the shell has executed the program, which then begins to load modules and settings."""
        while b"alderspool\0serve" not in Path(f"/proc/{self.proxy.pid}/cmdline").read_bytes():
            await asyncio.sleep(0.001)

    async def __aexit__(self, *exc_info: object) -> None:
        if self.proxy.returncode is None:
            self.proxy.kill()
            await self.proxy.wait()
        self._port_reservation.close()
        shutil.rmtree(self.file.parent)
        for scripted_server in (self.discovery, *self.endpoints):
            scripted_server.server.close()

    def reload(self, text: str) -> None:
        """Replace the configuration file, then make the proxy reload it by SIGHUP."""
        new_file = self.file.with_suffix(".new")
        new_file.write_text(text)
        new_file.replace(self.file)
        self.proxy.send_signal(signal.SIGHUP)

    async def is_ready(self) -> bool | None:
        """Return whether the proxy reports that it is ready; None if it does not respond."""
        try:
            return (await self.send_raw(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
        except (OSError, asyncio.IncompleteReadError):
            return None

    async def connect(self, data: bytes = b"") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the proxy, and send these bytes on it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        return reader, writer

    async def send_raw(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send these bytes on a new connection; return status, headers and body of the response."""
        reader, writer = await self.connect(data)
        try:
            status_line, headers, body = await read_message(reader)
            return int(status_line.split()[1]), headers, body
        finally:
            writer.close()

    async def get_response(
        self, class_name: str = "look", deadline_ms: int = 5000, **headers: str
    ) -> tuple[int, dict, bytes]:
        """Send a request on a new connection; return status, headers and body of the response."""
        return await self.send_raw(request(class_name, deadline_ms, **headers))


def request(class_name: str = "look", deadline_ms: int = 5000, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a request of this class with this deadline.

    `headers` replace the default ones, with underscores for hyphens in their names; None omits a header.
    """
    all_headers = {
        "Host": "api",
        "X-Class": class_name,
        "X-Tenant": "acme",
        "X-Deadline-Ms": str(deadline_ms),
    }
    all_headers["X-Request-Id"] = os.urandom(8).hex()
    if class_name == "put":
        all_headers["Idempotency-Key"] = "k1"
    if class_name != "look":
        all_headers["Content-Length"] = str(len(body))
    all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items() if value is not None)
    return (
        f"{'GET' if class_name == 'look' else 'POST'} /{class_name}/7f3a?x=1 HTTP/1.1\r\n{head}\r\n".encode()
        + body
    )
