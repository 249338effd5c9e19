"""Stand-ins for the platform, discovery, backends and clients, shared by the cases of this review.

Everything runs on loopback addresses and free ports, with the standard library only. The proxies are separate
processes, started with the `run` command of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOLDS, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


def has_trouble() -> bool:
    """Whether the disruption is played (TROUBLE=0 turns it off)."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


class Record:
    """Writes record.txt in the case's folder: what was sent, answered and run, with the time in seconds."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def line(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self.line(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


# ---- settings ----------------------------------------------------------------------------------------------


def sms_settings(**changes: object) -> dict:
    """Settings of a small deployment of the site sms-gateway-main, under their names on the wire."""
    settings = {
        "bounds": {
            "cancel": True,
            "conn_idle_ms": 10000.0,
            "dial_timeout_ms": 75.0,
            "max_attempts": 5,
            "max_open": 4096,
            "may_duplicate": True,
            "peers": False,
            "probes": True,
            "retry_after": False,
            "streams_per_conn": 1,
        },
        "callers": {"marks_retry": False},
        "classes": [
            sms_class("status-check", "free", 400.0, 1000.0, 1.0),
            sms_class("otp-send", "single_shot", 150.0, 750.0, 2.0),
            sms_class("batch-submit", "guarded", 500.0, 2000.0, 5.0, "cell", 10000.0),
        ],
        "customers": [
            {"name": "indus-traders", "quota_rps": 400.0, "share": 0.55},
            {"name": "ravi-clinics", "quota_rps": 300.0, "share": 0.36},
            {"name": "margalla-stores", "quota_rps": 100.0, "share": 0.09},
        ],
        "discovery": "on_request",
        "my_number": 0,
        "quantum_ms": 2.0,
        "rules": {
            "answer_slack_ms": 8.0,
            "ask_within_ms": 10000.0,
            "cold_from": 0.3,
            "cold_ms": 8900.0,
            "drain_grace_ms": 250.0,
            "overload_factor": 4.0,
            "tip_after_ms": 1000.0,
        },
        "shapes": ["new-2core"],
        "siblings": 1,
        "weights": "rough",
        "zone": 0,
        "zones": ["lhr-dc", "isb-dc"],
    }
    for path, value in changes.items():
        part, _, name = path.partition("__")
        if name:
            settings[part][name] = value
        else:
            settings[part] = value
    return settings


def sms_class(
    name: str,
    effect: str,
    aim_ms: float,
    deadline_ms: float,
    worth: float,
    scope: str = "all",
    window_ms: float = 5000.0,
) -> dict:
    return {
        "name": name,
        "effect": effect,
        "slo_ms": aim_ms,
        "deadline_ms": deadline_ms,
        "importance": worth,
        "late_worth": 0.0,
        "dedup_scope": scope,
        "memory_span_ms": window_ms,
        "streaming": False,
    }


# ---- HTTP --------------------------------------------------------------------------------------------------


class HttpProtocol(asyncio.Protocol):
    """Splits the input into messages with Content-Length (all that these stand-ins and the proxy send)."""

    def __init__(self) -> None:
        self.buffer = b""
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        self.is_lost = True
        self.on_lost(error)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.buffer) < end + 4 + length:
                return
            body = self.buffer[end + 4 : end + 4 + length]
            self.buffer = self.buffer[end + 4 + length :]
            self.on_message(lines[0], headers, body)

    def on_message(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        raise NotImplementedError

    def on_lost(self, error: Exception | None) -> None:
        pass


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def request(
    request_class: str,
    effect: str,
    request_id: str,
    deadline_ms: int,
    key: str,
    tenant: str = "indus-traders",
    body: bytes = b"",
) -> bytes:
    """A client's request in the form of the protocol page."""
    method = "GET" if effect == "free" else "POST"
    lines = [
        f"{method} /{request_class}/{key} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        f"X-Class: {request_class}",
        f"X-Tenant: {tenant}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if effect == "guarded":
        lines.append(f"Idempotency-Key: {request_id}{request_id}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


# ---- backends ----------------------------------------------------------------------------------------------


class BackendConnection(HttpProtocol):
    def __init__(self, backend: Backend) -> None:
        super().__init__()
        self.backend = backend

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.backend.connections.add(self)

    def on_lost(self, error: Exception | None) -> None:
        self.backend.connections.discard(self)

    def on_message(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        method, target, _ = first_line.split(" ", 2)
        if target in ("/health", "/status/load"):
            self.transport.write(response(200))
            return
        self.backend.on_request(self, target, headers, body)


class Backend:
    """A sound backend: runs each request once for a while, then answers 200 with a body made for it alone."""

    def __init__(self, name: str, record: Record, work_s: Callable[[str], float], group: int = 0) -> None:
        self.name = name
        self.record = record
        self.work_s = work_s
        self.group = group
        self.port = 0
        self.status = "ready"
        self.runs = 0
        self.connections: set[BackendConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: BackendConnection(self), "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def on_request(
        self, connection: BackendConnection, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.runs += 1
        request_id = headers.get("x-request-id", "")
        self.record.line(
            f"run      {request_id} {target} at {self.name} told {headers.get('x-deadline-ms')} ms"
        )
        work_s = self.work_s(headers.get("x-class", ""))
        asyncio.get_running_loop().call_later(work_s, self.answer, connection, request_id, target)

    def answer(self, connection: BackendConnection, request_id: str, target: str) -> None:
        if not connection.is_lost:
            connection.transport.write(response(200, answer_body(request_id, target)))

    def entry(self) -> dict:
        return {
            "name": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": "lhr-dc",
            "type": "new-2core",
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": 0,
        }


def answer_body(request_id: str, target: str) -> bytes:
    return f"answer made for {request_id} {target}\n".encode()


# ---- discovery ---------------------------------------------------------------------------------------------


class DiscoveryConnection(HttpProtocol):
    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self.discovery = discovery

    def on_message(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        target = first_line.split(" ", 2)[1]
        query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&") if part)
        asyncio.get_running_loop().create_task(self.discovery.serve(self, query))


class Discovery:
    """A sound discovery service with a list that does not change by itself."""

    def __init__(self, backends: list[Backend]) -> None:
        self.backends = backends
        self.index = 41
        self.port = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: DiscoveryConnection(self), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def document(self, is_snapshot: bool, backends: list[Backend]) -> dict:
        return {"index": self.index, "snapshot": is_snapshot, "endpoints": [b.entry() for b in backends]}

    async def serve(self, connection: DiscoveryConnection, query: dict[str, str]) -> None:
        since = query.get("since")
        if since is None:
            document = self.document(True, self.backends)
        else:
            until = time.monotonic() + min(int(query.get("timeout_ms", "0")), 60_000) / 1000.0
            while int(since) >= self.index and time.monotonic() < until:
                await asyncio.sleep(0.01)
            changed = self.backends if int(since) < self.index else []
            document = self.document(False, changed)
        if not connection.is_lost:
            connection.transport.write(response(200, json.dumps(document).encode()))


# ---- the platform ------------------------------------------------------------------------------------------


class Proxy:
    """One proxy process, started as the platform does it."""

    def __init__(self, name: str, folder: Path, settings: dict, discovery: Discovery, limits: dict) -> None:
        self.name = name
        self.port = free_port()
        self._folder = folder
        self._config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": limits,
            "known": discovery.document(True, discovery.backends),
            "settings": settings,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.peak_memory_mb = 0.0

    async def start(self) -> None:
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._config))
        tmp = self._folder / f"{self.name}.tmp"
        tmp.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "TMPDIR": str(tmp),
            "BALANCER_CONFIG": str(path),
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self._config["listen"],
            "BALANCER_DISCOVERY": self._config["discovery"],
        }
        log = (self._folder / f"{self.name}.log").open("w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        until = time.monotonic() + 30.0
        while not await self._is_ready():
            if self.process.returncode is not None or time.monotonic() > until:
                raise CouldNotRunError(f"{self.name} did not become ready: {self.log()}")
            await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 5.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Resident memory of the process, as the platform sees it."""
        assert self.process is not None
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    def log(self) -> str:
        return (self._folder / f"{self.name}.log").read_text()[-2000:]

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def kill_over_memory(proxy: Proxy, limit_mb: float, record: Record) -> None:
    """Return once the proxy has been killed, as the platform does, for using more memory than its limit."""
    while True:
        memory_mb = proxy.memory_mb()
        proxy.peak_memory_mb = max(proxy.peak_memory_mb, memory_mb)
        if memory_mb > limit_mb:
            record.say(f"KILLED   {proxy.name} uses {memory_mb:.0f} MB, its limit is {limit_mb:.0f} MB")
            proxy.signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.02)


# ---- clients -----------------------------------------------------------------------------------------------


class ClientConnection(HttpProtocol):
    """One request at a time; `answered` is called with the status, the body, or the way in which it ended."""

    def __init__(self) -> None:
        super().__init__()
        self.answered: Callable[[int, bytes], None] | None = None
        self.will_close = False

    def on_message(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        status = int(first_line.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.will_close = True
        answered, self.answered = self.answered, None
        if answered is not None:
            answered(status, body)
        if self.will_close:
            self.transport.close()

    def on_lost(self, error: Exception | None) -> None:
        answered, self.answered = self.answered, None
        if answered is not None:
            answered(0, str(error or "closed").encode())


class Clients:
    """The usual clients: one request at a time on a connection, kept open; more when all are busy."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy
        self._idle: list[ClientConnection] = []

    async def send(self, data: bytes, timeout_s: float) -> tuple[int, bytes]:
        """Send a request and return status and body; status 0: the connection ended, -1: no answer in time.

        A connection that ends without an answer before anything else crossed the request: as the protocol
        page allows, the request is sent once more on a new connection.
        """
        is_reused = True
        while True:
            connection = None
            while self._idle and connection is None:
                candidate = self._idle.pop()
                if not candidate.is_lost and not candidate.will_close:
                    connection = candidate
            if connection is None:
                is_reused = False
                _, connection = await asyncio.get_running_loop().create_connection(
                    ClientConnection, "127.0.0.1", self._proxy.port
                )
            future = asyncio.get_running_loop().create_future()

            def answered(status: int, body: bytes, future: asyncio.Future = future) -> None:
                if not future.done():
                    future.set_result((status, body))

            connection.answered = answered
            connection.transport.write(data)
            try:
                status, body = await asyncio.wait_for(future, timeout_s)
            except TimeoutError:
                connection.transport.abort()
                return -1, b""
            if status == 0 and is_reused:
                is_reused = False
                continue
            if status > 0 and not connection.will_close:
                self._idle.append(connection)
            return status, body


# ---- traffic -----------------------------------------------------------------------------------------------

CLASSES = {  # name: effect, deadline, share of the requests
    "status-check": ("free", 1000, 0.40),
    "otp-send": ("single_shot", 750, 0.36),
    "batch-submit": ("guarded", 2000, 0.24),
}


class Traffic:
    """Open-loop traffic of the usual clients, with Poisson arrivals, the classes mixed as at the site."""

    def __init__(self, clients: Clients, record: Record) -> None:
        self._clients = clients
        self._record = record
        self.served = self.refused = self.failed = self.foreign = self.unanswered = 0

    async def play(
        self, rate: float, seconds: float, group: int = 1, may_go_on: Callable[[], bool] = lambda: True
    ) -> None:
        """Send requests, `group` of them at a time; return when all of them have ended."""
        loop = asyncio.get_running_loop()
        tasks = []
        at = loop.time()
        end = at + seconds
        while at < end and may_go_on():
            at += random.expovariate(rate / group)
            await asyncio.sleep(max(at - loop.time(), 0.0))
            tasks += [loop.create_task(self._send_one()) for _ in range(group)]
        await asyncio.gather(*tasks)

    async def _send_one(self) -> None:
        name = random.choices(list(CLASSES), [share for _, _, share in CLASSES.values()])[0]
        effect, deadline_ms, _ = CLASSES[name]
        request_id = f"{random.getrandbits(64):016x}"
        key = f"{random.randrange(900):016x}"
        body = b"" if effect == "free" else b"x" * 100
        self._record.line(f"sent     {request_id} {name}, {deadline_ms} ms left")
        try:
            status, answer = await self._clients.send(
                request(name, effect, request_id, deadline_ms, key, body=body), deadline_ms / 1000.0 + 0.6
            )
        except OSError as error:
            self._record.line(f"refused  {request_id}: no connection ({error})")
            self.refused += 1
            return
        self._record.line(f"answered {request_id} {status} {answer[:100]!r}")
        if status == 200 and answer == answer_body(request_id, f"/{name}/{key}"):
            self.served += 1
        elif status == 200:
            self.foreign += 1
            self._record.say(f"WRONG    {request_id} /{name}/{key} was served with {answer!r}")
        elif status in (429, 503):
            self.refused += 1
        elif status > 0:
            self.failed += 1
        else:
            self.unanswered += 1

    def summary(self) -> str:
        return (
            f"served {self.served}, refused {self.refused}, failed {self.failed},"
            f" served with another's or a spoilt answer {self.foreign}, without an answer {self.unanswered}"
        )


# ---- running a case ----------------------------------------------------------------------------------------


TIME_LIMIT_S = 115.0


async def _play_in_time(play: Callable[[Record, Path], object], record: Record, folder: Path) -> bool:
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):  # so that the processes of the case end with it
        loop.add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(play(record, folder), TIME_LIMIT_S)
    except (TimeoutError, asyncio.CancelledError):
        raise CouldNotRunError("it took too long, or was ended from outside") from None


def run_case(case_folder: Path, play: Callable[[Record, Path], object]) -> None:
    """Run `play(record, folder)`, which returns whether the rule held; exit with the code for it."""
    record = Record(case_folder)
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    code = COULD_NOT_RUN
    try:
        record.say(f"disruption: {'on' if has_trouble() else 'off'}")
        held = asyncio.run(_play_in_time(play, record, folder))
        code = HOLDS if held else BROKEN
        record.say("the rule held" if held else "the rule was broken")
    except CouldNotRunError as error:
        record.say(f"the case could not run: {error}")
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
        raise SystemExit(COULD_NOT_RUN) from error
    finally:
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
