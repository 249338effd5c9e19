"""Stand-ins for the second review: endpoints, discovery, clients and the platform that starts the proxies.

Python's standard library only. Everything listens on loopback addresses and free ports. The proxies are separate
processes, started with the `run` command of deploy/balancer.toml; only signals are sent to them. All times are
seconds of the monotonic clock, which all processes of one machine share.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
now = time.monotonic


class CannotRun(Exception):
    """The case could not run: a stand-in or a proxy did not start, or the machine was far too slow."""


# ---- HTTP ------------------------------------------------------------------------------------------------


@dataclass
class Message:
    """A complete HTTP message; header names are in lower case."""

    first_line: list[str]
    headers: dict[str, str]
    body: bytes
    first_byte_at: float = 0.0
    last_byte_at: float = 0.0


class MessageReader:
    """Splits a byte stream into messages that have a Content-Length, or no body."""

    def __init__(self) -> None:
        self._buffer = b""
        self._first_byte_at = 0.0

    def feed(self, data: bytes) -> list[Message]:
        """Add data and return the messages that are now complete."""
        at = now()
        if not self._buffer:
            self._first_byte_at = at
        self._buffer += data
        messages = []
        while True:
            head, separator, rest = self._buffer.partition(b"\r\n\r\n")
            if not separator:
                return messages
            lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                return messages
            messages.append(Message(lines[0].split(" ", 2), headers, rest[:length], self._first_byte_at, at))
            self._buffer = rest[length:]
            self._first_byte_at = at


def response(status: int, body: bytes, *extra: str) -> bytes:
    """Return an encoded response with a Content-Length."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *extra]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


# ---- endpoints -------------------------------------------------------------------------------------------


@dataclass
class Attempt:
    """A request that an endpoint has received completely."""

    endpoint: str
    request_id: str
    request_class: str
    key: str
    deadline_ms: float
    first_byte_at: float
    last_byte_at: float
    sent_body: bytes = b""  # the body of the 200 that was sent, if any


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.reader = MessageReader()
        self.last_message: Message | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.endpoint.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.endpoint.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            headers = message.headers
            attempt = Attempt(
                self.endpoint.name,
                headers.get("x-request-id", ""),
                headers.get("x-class", ""),
                headers.get("idempotency-key", ""),
                float(headers.get("x-deadline-ms", "0")),
                message.first_byte_at,
                message.last_byte_at,
            )
            self.last_message = message
            self.endpoint.attempts.append(attempt)
            self.endpoint.on_attempt(self, attempt)


class Endpoint:
    """A sound endpoint: serves each request after `service_s`, with a body that names request and endpoint."""

    def __init__(self, name: str, zone: str = "z1", group: int = 1, service_s: float = 0.02) -> None:
        self.name = name
        self.zone = zone
        self.group = group
        self.service_s = service_s
        self.since_ms = 0.0
        self.attempts: list[Attempt] = []
        self.connections: set[EndpointConnection] = set()
        self.port = 0
        self.random = random.Random(name)
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: EndpointConnection(self), HOST, self.port, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """The process ends: connections are reset and new ones are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            with contextlib.suppress(OSError, ValueError):
                connection.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            connection.transport.abort()

    def on_attempt(self, connection: EndpointConnection, attempt: Attempt) -> None:
        spread = self.random.uniform(0.5, 1.5)
        asyncio.get_running_loop().call_later(self.service_s * spread, self.serve, connection, attempt)

    def body_for(self, attempt: Attempt) -> bytes:
        return f"{attempt.request_id} by {self.name}\n".encode()

    def serve(self, connection: EndpointConnection, attempt: Attempt) -> None:
        if connection.transport.is_closing():
            return
        attempt.sent_body = self.body_for(attempt)
        connection.transport.write(response(200, attempt.sent_body))

    def entry(self, status: str = "ready") -> dict[str, Any]:
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "type": "m1",
            "group": self.group,
            "status": status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


# ---- discovery -------------------------------------------------------------------------------------------


class Discovery:
    """The discovery service, or the agent that pushes its lists; answers each call at once unless told otherwise.

    `call_s` is the time that it takes for each call. While `is_silent`, calls get no answer, then or later.
    """

    def __init__(self, index: int = 10) -> None:
        self.index = index
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.calls: list[tuple[float, str, str]] = []  # time, target, what became of it
        self.call_s = 0.0
        self.is_silent = False
        self.port = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def set(self, *entries: dict[str, Any]) -> None:
        """List these entries from now on, as one change."""
        self.index += 1
        for entry in entries:
            self.entries[entry["name"]] = entry
            if entry["status"] == "gone":
                del self.entries[entry["name"]]
            self.changes.append((self.index, entry))
        self._changed.set()
        self._changed = asyncio.Event()

    def document(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        messages = MessageReader()
        try:
            while data := await reader.read(65536):
                for message in messages.feed(data):
                    await self._answer(message.first_line[1], writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        called_at = now()
        if self.is_silent:
            self.calls.append((called_at, target, "silent"))
            return
        await asyncio.sleep(self.call_s)
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        document = self.document()
        if "since" in query:
            since = int(query["since"])
            until = now() + min(int(query.get("timeout_ms", "0")), 60_000) / 1000.0
            while self.index <= since and now() < until:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), until - now())
            if self.is_silent:
                self.calls.append((called_at, target, "silent"))
                return
            latest = {entry["name"]: entry for index, entry in self.changes if index > since}
            document = {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}
        body = json.dumps(document).encode()
        writer.write(response(200, body, "Content-Type: application/json"))
        self.calls.append((called_at, target, f"answered at {now():.3f} with index {self.index}"))


# ---- the platform ----------------------------------------------------------------------------------------


def free_port() -> int:
    with socket.create_server((HOST, 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


class Proxy:
    """One proxy process, started with `run` of the deploy file."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.port = free_port()
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.temporary = folder / f"{name}.tmp"
        self.temporary.mkdir()
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, discovery: str, known: dict[str, Any], settings: dict[str, Any], **limits: Any) -> None:
        document = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
            "known": known,
            "settings": settings,
        }
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(document))
        new_path.replace(self.config_path)

    async def start(self, timeout_s: float = 30.0) -> None:
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        environment |= {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": f"{HOST}:{self.port}",
            "BALANCER_CONFIG": str(self.config_path),
            "TMPDIR": str(self.temporary),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        until = now() + timeout_s
        while not await self.is_ready():
            if self.process.poll() is not None or now() > until:
                raise CannotRun(f"{self.name} did not become ready: {self.log_path.read_text()[-500:]}")
            await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b" 200 " in line

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def ended(self, timeout_s: float) -> int | None:
        """Wait until the process has ended; return its exit status, or None if it still runs."""
        assert self.process is not None
        until = now() + timeout_s
        while self.process.poll() is None and now() < until:
            await asyncio.sleep(0.01)
        return self.process.poll()

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""


# ---- clients ---------------------------------------------------------------------------------------------


@dataclass
class Result:
    """What a client sent, and what it got."""

    request_id: str
    request_class: str
    sent_at: float
    deadline_ms: int
    status: int = 0  # 0: no whole answer
    body: bytes = b""
    ended_at: float = 0.0
    note: str = ""


class Client:
    """Sends one request at a time on each connection, and opens a further connection when all are busy."""

    def __init__(self, port: int, name: str) -> None:
        self.port = port
        self.name = name
        self.results: list[Result] = []
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._count = 0

    def new_id(self) -> str:
        self._count += 1
        return f"{self.name}-{self._count:05d}-{random.getrandbits(32):08x}"

    async def send(
        self,
        request_class: str,
        method: str,
        deadline_ms: int,
        key: str = "",
        body: bytes = b"",
        tenant: str = "t1",
        target_key: str = "",
        patience_s: float = 1.0,
    ) -> Result:
        """Send a request and wait for its answer, until `patience_s` after its deadline."""
        request_id = self.new_id()
        data = encode_request(request_id, request_class, method, deadline_ms, key, body, tenant, target_key)
        result = Result(request_id, request_class, now(), deadline_ms)
        self.results.append(result)
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + patience_s):
                await self._exchange(result, data)
        except TimeoutError:
            result.note = "no answer in time"
        result.ended_at = now()
        return result

    async def _exchange(self, result: Result, data: bytes) -> None:
        for is_second in (False, True):
            is_reused = False
            reader = writer = None
            while self._idle:
                reader, writer = self._idle.pop()
                if not reader.at_eof() and not writer.is_closing():
                    is_reused = True
                    break
                writer.close()
                reader = writer = None
            try:
                if reader is None or writer is None:
                    reader, writer = await asyncio.open_connection(HOST, self.port)
            except OSError as error:
                result.note = f"not connected: {error.strerror}"
                return
            keeps = False
            received = b""
            try:
                result.sent_at = now()
                writer.write(data)
                messages = MessageReader()
                while chunk := await reader.read(65536):
                    received += chunk
                    complete = messages.feed(chunk)
                    if complete:
                        result.status = int(complete[0].first_line[1])
                        result.body = complete[0].body
                        keeps = complete[0].headers.get("connection", "").lower() != "close"
                        result.note = ""
                        return
                result.note = "connection ended without a whole answer"
            except OSError as error:
                result.note = f"connection reset: {error}"
            finally:
                if keeps:
                    self._idle.append((reader, writer))
                else:
                    writer.close()
            # A connection that ended under a request without a byte of an answer: the proxy may have closed it
            # between requests. The client sends that request once more on a new connection.
            if received or is_second or not is_reused:
                return

    def close(self) -> None:
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()


def encode_request(
    request_id: str,
    request_class: str,
    method: str,
    deadline_ms: int,
    key: str = "",
    body: bytes = b"",
    tenant: str = "t1",
    target_key: str = "",
) -> bytes:
    """Return an encoded client request."""
    path = f"/{request_class}/{target_key or request_id}"
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {request_class}",
        f"X-Tenant: {tenant}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# ---- a case ----------------------------------------------------------------------------------------------


class Record:
    """What was sent, answered and run; written to record.txt in the folder of the case."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self.started_at = now()

    def add(self, text: str, at: float | None = None) -> None:
        self._lines.append(f"{(now() if at is None else at) - self.started_at:9.3f}  {text}")

    def write(self) -> None:
        self._path.write_text("\n".join(sorted(self._lines)) + "\n")


@dataclass
class Case:
    """The surroundings of one case: its record, its folder, and whether its disruption happens."""

    record: Record
    folder: Path
    has_trouble: bool
    verdict: list[str] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    lag_s: float = 0.0  # the longest time by which this process itself was late

    def proxy(self, name: str) -> Proxy:
        proxy = Proxy(name, self.folder)
        self.proxies.append(proxy)
        return proxy

    def broken(self, text: str) -> None:
        """Note that the rule was broken."""
        self.verdict.append(text)
        self.record.add(f"BROKEN {text}")

    def record_traffic(self, clients: list[Client], endpoints: list[Endpoint]) -> None:
        add = self.record.add
        for client in clients:
            for result in client.results:
                add(f"{result.request_id} sent, {result.request_class}, {result.deadline_ms} ms", result.sent_at)
                answer = f"{result.status} {result.body[:60]!r}" if result.status else "nothing"
                add(f"{result.request_id} got {answer} {result.note}".rstrip(), result.ended_at)
        for endpoint in endpoints:
            for attempt in endpoint.attempts:
                text = f"{attempt.request_id} at {endpoint.name}, X-Deadline-Ms {attempt.deadline_ms:.0f}"
                add(text, attempt.last_byte_at)

    async def watch_lag(self) -> None:
        while True:
            before = now()
            await asyncio.sleep(0.01)
            self.lag_s = max(self.lag_s, now() - before - 0.01)


def run_case(case_file: str, play: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case and exit with 1 if its rule was broken, 0 if it held, 2 if it could not run."""
    here = Path(case_file).resolve().parent
    record = Record(here / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    status = COULD_NOT_RUN
    # A script that is told to end still ends its proxies.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        case = Case(record, Path(folder), has_trouble)

        async def limited() -> None:
            watch = asyncio.get_running_loop().create_task(case.watch_lag())
            try:
                async with asyncio.timeout(110.0):
                    await play(case)
            finally:
                watch.cancel()

        try:
            asyncio.run(limited())
            status = BROKEN if case.verdict else HELD
        except (CannotRun, TimeoutError, OSError) as error:
            record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
        except Exception:
            record.add(f"could not run: {traceback.format_exc()}")
            traceback.print_exc()
        finally:
            for proxy in case.proxies:
                proxy.kill()
                record.add(f"log of {proxy.name}: {proxy.log().strip()}")
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
    record.add(f"disruption: {'yes' if has_trouble else 'no'}; late by at most {1000 * case.lag_s:.1f} ms")
    record.add(f"exit {status}: {words[status]}")
    record.write()
    for line in case.verdict[:5]:
        print(line)
    print(f"{words[status]} ({len(case.verdict)} breaks)")
    sys.exit(status)


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: two proxies, three classes, discovery that is asked."""
    base: dict[str, Any] = {
        "tier": 0,
        "tiers": ["gateway"],
        "zone": 0,
        "zones": ["z1", "z2"],
        "shapes": ["m1"],
        "my_number": 0,
        "siblings": 1,
        "discovery": "on_request",
        "weights": "rough",
        "classes": [
            {"name": "check", "slo_ms": 400, "deadline_ms": 1000, "effect": "free", "importance": 1},
            {"name": "once", "slo_ms": 300, "deadline_ms": 750, "effect": "single_shot", "importance": 2},
            {
                "name": "batch",
                "slo_ms": 500,
                "deadline_ms": 2000,
                "effect": "guarded",
                "dedup_scope": "cell",
                "memory_span_ms": 10000,
                "importance": 5,
            },
        ],
        "customers": [{"name": "t1", "quota_rps": 1000, "share": 1.0}],
        "bounds": {
            "cancel": True,
            "conn_idle_ms": 10000,
            "dial_timeout_ms": 75,
            "max_attempts": 5,
            "max_open": 10000,
            "may_duplicate": True,
            "peers": False,
            "probes": True,
            "retry_after": False,
            "streams_per_conn": 1,
        },
        "rules": {
            "answer_slack_ms": 8,
            "ask_within_ms": 10000,
            "cold_from": 0.3,
            "cold_ms": 8900,
            "drain_grace_ms": 250,
            "overload_factor": 4,
            "tip_after_ms": 1000,
        },
        "quantum_ms": 2,
    }
    for name, value in changes.items():
        base[name] = {**base[name], **value} if isinstance(value, dict) and name in base else value
    return base


async def open_loop(rate: float, seconds: float, send: Callable[[], Awaitable[Any]], seed: int = 1) -> None:
    """Call `send` at random moments, `rate` times a second, and wait for the last of them."""
    generator = random.Random(seed)
    tasks = []
    next_at = now()
    until = next_at + seconds
    while next_at < until:
        await asyncio.sleep(max(next_at - now(), 0.0))
        tasks.append(asyncio.get_running_loop().create_task(send()))  # type: ignore[arg-type]
        next_at += generator.expovariate(rate)
    await asyncio.gather(*tasks)
