"""The clients' HTTP: their requests as submissions, and the answers to them as bytes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b

import httptools
import msgspec

from alderspool.balancer.settings import Idempotency, Settings
from alderspool.protocol.endpoint_list import as_setting
from alderspool.protocol.http_parts import HttpMessageCollector
from alderspool.protocol.upstream import BODY_LIMIT, HOP_BY_HOP, ForwardedRequest, UpstreamResponse
from alderspool.routing.messages import ClientRequest, Failed, FinalResponse, Rejected, Served

LONGEST_WAIT_MS = 3_600_000
_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(slots=True)
class RawRequest:
    """A whole request as it came in."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep: bool = True  # the client goes on using the connection
    received_at_s: float = 0.0  # when its last byte arrived, on the clock of who feeds the wire
    earliest_arrival_s: float = 0.0  # it may have arrived as early as this


@dataclass(slots=True)
class InvalidRequest:
    """Bad input: answered here, and never told to anyone."""

    status: int
    why: str
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


class ReadinessQuery:
    """GET /ready: whether this proxy can serve."""


NEED_DATA, PAUSED, CONTINUE, ENDED = "need data", "paused", "continue", "ended"


class RequestReader:
    """Turns raw requests into submissions, by the settings' classes and tenants."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {as_setting(c.name): i for i, c in enumerate(settings.classes)}
        self._effects = [c.idempotency for c in settings.classes]
        self._tenants = {as_setting(t.name): i for i, t in enumerate(settings.tenants)}

    def read(self, raw: RawRequest) -> ClientRequest | InvalidRequest | ReadinessQuery:
        path = raw.target.partition(b"?")[0]
        if path == b"/ready":
            return ReadinessQuery() if raw.method == b"GET" else _wrong_method(b"GET")
        parts = path.split(b"/")
        name = as_setting(parts[1].decode("latin-1")) if len(parts) > 1 and not parts[0] else ""
        cls = self._classes.get(name)
        if cls is None:
            return InvalidRequest(404, "unknown path")
        wanted = b"GET" if self._effects[cls] == Idempotency.IDEMPOTENT else b"POST"
        if raw.method != wanted:
            return _wrong_method(wanted)
        seen: dict[bytes, bytes] = {}
        passed: list[tuple[bytes, bytes]] = []
        for key, value in raw.headers:
            if key in _SINGLE and key in seen:
                return InvalidRequest(400, f"{key.decode()}: given twice")
            seen[key] = value
            if key not in HOP_BY_HOP:
                passed.append((key, value))
        if b"host" not in seen:  # HTTP/1.0 may do without; what we send on may not
            passed.append((b"Host", b"execute-node"))
        return self._submission(raw, cls, name, parts, seen, passed)

    def _submission(
        self,
        raw: RawRequest,
        cls: int,
        name: str,
        parts: list[bytes],
        seen: dict[bytes, bytes],
        passed: list[tuple[bytes, bytes]],
    ) -> ClientRequest | InvalidRequest:
        if as_setting(seen.get(b"x-class", b"").decode("latin-1")) != name:
            return InvalidRequest(400, "X-Class: missing, unknown or not the path's")
        tenant = 0
        if self._tenants:
            found = self._tenants.get(as_setting(seen.get(b"x-tenant", b"").decode("latin-1")))
            if found is None:
                return InvalidRequest(400, "X-Tenant: missing or unknown")
            tenant = found
        wait = seen.get(b"x-deadline-ms", b"")
        if not (wait.isdigit() and len(wait) <= 7 and 0 < int(wait) <= LONGEST_WAIT_MS):
            return InvalidRequest(400, "X-Deadline-Ms: missing or not a whole number of milliseconds")
        if not seen.get(b"x-request-id"):
            return InvalidRequest(400, "X-Request-Id: missing")
        # The key decides what a repeat does: one missing, or where none belongs, contradicts the class.
        if bool(seen.get(b"idempotency-key")) != (self._effects[cls] == Idempotency.KEYED):
            return InvalidRequest(400, "Idempotency-Key: not as the class demands")
        if raw.body and raw.method == b"GET":
            return InvalidRequest(400, "a GET with a body")
        return ClientRequest(
            cls,
            tenant,
            _key_of(parts[-1]) if len(parts) > 2 else 0,
            float(wait),
            ForwardedRequest(raw.method, raw.target, passed, raw.body),
            client_request_id=seen[b"x-request-id"],
            is_retry=seen.get(b"x-retry") == b"1",
            cost_hint_ms=_hint(seen.get(b"x-cost-hint")),
        )


_SINGLE = frozenset(b"x-class x-tenant x-deadline-ms x-request-id idempotency-key".split())


def _wrong_method(allowed: bytes) -> InvalidRequest:
    return InvalidRequest(405, "wrong method", [(b"Allow", allowed)])


def _key_of(part: bytes) -> int:
    """A stable 64-bit hash, the same at every proxy; 0 would say that there is no key."""
    return (int.from_bytes(blake2b(part, digest_size=8).digest(), "big") or 1) if part else 0


def _hint(value: bytes | None) -> float:
    """The anticipated work in ms; only advice, so what cannot be read is no hint."""
    try:
        hint = float(value) if value and len(value) < 32 else 0.0
    except ValueError:
        return 0.0
    return hint if 0.0 < hint < 1e9 else 0.0


class HttpServerCodec(HttpMessageCollector):
    """One client's connection: bytes in, whole requests out; answers in, bytes out."""

    def __init__(self) -> None:
        super().__init__(BODY_LIMIT)
        self._parser = httptools.HttpRequestParser(self)
        self._whole: deque[RawRequest] = deque()  # read, not yet taken
        self._taken: RawRequest | None = None  # its answer is owed
        self._awaits_go_on = self._broken = False
        self._received_at_s = self._earliest_arrival_s = 0.0

    def receive(
        self, data: bytes, received_at_s: float = 0.0, earliest_arrival_s: float | None = None
    ) -> None:
        """`received_at_s`: when these bytes arrived. `earliest_arrival_s`: where that is not known for sure,
        when they may have arrived at the earliest."""
        self._received_at_s = received_at_s
        self._earliest_arrival_s = received_at_s if earliest_arrival_s is None else earliest_arrival_s
        while data and self.fault is None:
            try:
                return self.feed(self._parser, data)
            except httptools.HttpParserUpgrade as pause:
                # It would speak another protocol from here on. We go on in this one, as a server may.
                data = data[int(pause.args[0]) :]
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as fault:
                self.fault = (400, str(fault))

    def head_done(self) -> None:
        seen = {name for name, _ in self.headers}
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1") or version == "1.1" and b"host" not in seen:
            self.fault = self.fault or (400, "no HTTP/1.1, or without Host")
        self._awaits_go_on = b"expect" in seen and (b"expect", b"100-continue") in self.headers

    def message_done(self) -> None:
        if self.fault is None:
            method = self._parser.get_method()
            keep = self._parser.should_keep_alive() and self._parser.get_http_version() == "1.1"
            request = RawRequest(method, self.target, self.headers, self.body, keep)
            request.received_at_s = self._received_at_s
            request.earliest_arrival_s = self._earliest_arrival_s
            self._whole.append(request)
        self._awaits_go_on = False

    def next(self) -> RawRequest | InvalidRequest | str:
        """What came next; NEED_DATA, PAUSED (another request is still out), CONTINUE or ENDED."""
        if self._whole:
            if self._taken is not None:
                return PAUSED
            self._taken = self._whole.popleft()
            return self._taken
        if self.fault is not None:
            if self._broken:
                return ENDED
            if self._taken is not None:
                return PAUSED
            self._broken = True
            return InvalidRequest(*self.fault)
        if self._awaits_go_on and not self._parts and self._taken is None:
            return CONTINUE
        return NEED_DATA

    @property
    def idle(self) -> bool:
        """Whether nothing of a request has come since the last answer."""
        return not (self.begun or self._whole or self._taken or self.fault)

    @property
    def waiting(self) -> bool:
        """Whether a whole request is there that was not taken yet."""
        return bool(self._whole)

    @property
    def more(self) -> bool:
        """Whether something of a further request has been read behind the one that is out."""
        return bool(self.begun or self._whole)

    def too_slow(self) -> InvalidRequest | None:
        """For a request of which a part is still missing after too long."""
        if self._taken is not None or self._broken:
            return None
        self.fault, self._broken = (408, "request not whole in time"), True
        return InvalidRequest(*self.fault)

    def go_on(self) -> bytes:
        """The interim answer to `Expect: 100-continue`."""
        self._awaits_go_on = False
        return b"HTTP/1.1 100 Continue\r\n\r\n"

    def compose(
        self, status: int, body: bytes, headers: list[tuple[bytes, bytes]], close: bool
    ) -> tuple[bytes, bool]:
        """An answer's bytes, and whether the connection ends with it."""
        taken, self._taken = self._taken, None
        close = close or self.fault is not None or taken is None or not taken.keep
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, _REASONS.get(status, b""))]
        lines += [b"%b: %b\r\n" % field for field in headers]
        lines.append(b"Content-Length: %d\r\n" % len(body))
        if close:
            lines.append(b"Connection: close\r\n")
        if taken is not None and taken.method == b"HEAD":  # to HEAD goes the head alone
            body = b""
        return b"%b\r\n%b" % (b"".join(lines), body), close


def as_http(answer: FinalResponse) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
    """AttemptStatus, body and headers of a final answer."""
    if isinstance(answer, Served):
        endpoint: UpstreamResponse = answer.payload
        return 200, endpoint.body, [(b"Content-Type", endpoint.content_type)] if endpoint.content_type else []
    if isinstance(answer, Rejected):
        advice = answer.retry_after_ms
        later = [(b"Retry-After", b"%.3f" % (advice / 1000.0))] if advice > 0.0 else []
        return 503, error_body("refused; trying again is harmless"), [*later, _JSON]
    assert isinstance(answer, Failed)
    return (504 if answer.timed_out else 502), error_body("failed; it may have run"), [_JSON]


_JSON = (b"Content-Type", b"application/json")


def error_body(why: str) -> bytes:
    return msgspec.json.encode({"error": why}) + b"\n"


def rejection_http(rejection: InvalidRequest) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
    return rejection.status, error_body(rejection.why), [*rejection.headers, _JSON]


def _connection_rejector() -> bytes:
    status, body, headers = as_http(Rejected())
    return HttpServerCodec().compose(status, body, headers, True)[0]


CONNECTION_REJECTED = _connection_rejector()  # the answer to whoever finds no place, whatever it asks
