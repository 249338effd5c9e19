"""The submitters' HTTP: their requests as submissions, and the answers to them as bytes."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

import h11
import msgspec

from alderspool.protocol.claims import BODY_LIMIT, HOP_BY_HOP, ExecuteNodeAnswer, ForwardRequest
from alderspool.protocol.machine_list import as_setting
from alderspool.routing.messages import Failed, FinalAnswer, RequeueNotice, Served, Submission
from lynxlift.interface import Effect, Settings

LONGEST_WAIT_MS = 3_600_000
HEAD_LIMIT = 16 * 1024
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


@dataclass(slots=True)
class Rejection:
    """Bad input: answered here, and never told to anyone."""

    status: int
    why: str
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


class ReadyQuery:
    """GET /ready: whether this proxy can serve."""


NEED_DATA, PAUSED, CONTINUE, ENDED = "need data", "paused", "continue", "ended"


class Reader:
    """Turns raw requests into submissions, by the settings' classes and tenants."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {as_setting(c.name): i for i, c in enumerate(settings.classes)}
        self._effects = [c.effect for c in settings.classes]
        self._tenants = {as_setting(t.name): i for i, t in enumerate(settings.tenants)}

    def read(self, raw: RawRequest) -> Submission | Rejection | ReadyQuery:
        path = raw.target.partition(b"?")[0]
        if path == b"/ready":
            return ReadyQuery() if raw.method == b"GET" else _wrong_method(b"GET")
        parts = path.split(b"/")
        name = as_setting(parts[1].decode("latin-1")) if len(parts) > 1 and not parts[0] else ""
        cls = self._classes.get(name)
        if cls is None:
            return Rejection(404, "unknown path")
        wanted = b"GET" if self._effects[cls] == Effect.FREE else b"POST"
        if raw.method != wanted:
            return _wrong_method(wanted)
        seen: dict[bytes, bytes] = {}
        passed: list[tuple[bytes, bytes]] = []
        for key, value in raw.headers:
            if key in _SINGLE and key in seen:
                return Rejection(400, f"{key.decode()}: given twice")
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
    ) -> Submission | Rejection:
        if as_setting(seen.get(b"x-class", b"").decode("latin-1")) != name:
            return Rejection(400, "X-Class: missing, unknown or not the path's")
        tenant = 0
        if self._tenants:
            found = self._tenants.get(as_setting(seen.get(b"x-tenant", b"").decode("latin-1")))
            if found is None:
                return Rejection(400, "X-Tenant: missing or unknown")
            tenant = found
        wait = seen.get(b"x-deadline-ms", b"")
        if not (wait.isdigit() and len(wait) <= 7 and 0 < int(wait) <= LONGEST_WAIT_MS):
            return Rejection(400, "X-Deadline-Ms: missing or not a whole number of milliseconds")
        if not seen.get(b"x-request-id"):
            return Rejection(400, "X-Request-Id: missing")
        # The key decides what a repeat does: one missing, or where none belongs, contradicts the class.
        if bool(seen.get(b"idempotency-key")) != (self._effects[cls] == Effect.GUARDED):
            return Rejection(400, "Idempotency-Key: not as the class demands")
        if raw.body and raw.method == b"GET":
            return Rejection(400, "a GET with a body")
        return Submission(
            cls,
            tenant,
            _key_of(parts[-1]) if len(parts) > 2 else 0,
            float(wait),
            ForwardRequest(raw.method, raw.target, passed, raw.body),
            name=seen[b"x-request-id"],
            is_repeat=seen.get(b"x-retry") == b"1",
            cost_hint_ms=_hint(seen.get(b"x-cost-hint")),
        )


_SINGLE = frozenset(b"x-class x-tenant x-deadline-ms x-request-id idempotency-key".split())


def _wrong_method(allowed: bytes) -> Rejection:
    return Rejection(405, "wrong method", [(b"Allow", allowed)])


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


class SubmitterWire:
    """One submitter's connection: bytes in, whole requests out; answers in, bytes out."""

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._broken = False

    def receive(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except RuntimeError:  # bytes after the end: h11 takes none, and there is nobody to answer
            self._broken = True

    def next(self) -> RawRequest | Rejection | str:
        """What came next; NEED_DATA, PAUSED (another request is still out), CONTINUE or ENDED."""
        if self._broken:
            return ENDED
        try:
            while True:
                event = self._h11.next_event()
                kind = type(event)
                if kind is h11.Request:
                    self._head, self._body, self._size = event, [], 0
                    if _states_both(event):
                        # Whoever goes by the other one sees a second request in this one's body.
                        return self._break_off(400, "Content-Length and Transfer-Encoding")
                    if _stated_length(event) > BODY_LIMIT:  # no need to wait for all of it
                        return self._break_off(413, "body over 64 KiB")
                    if sum(len(n) + len(v) for n, v in event.headers) + len(event.target) > HEAD_LIMIT:
                        # h11 bounds only a head that comes in pieces; a large one would go on to a node.
                        return self._break_off(431, "head over 16 KiB")
                    if self._h11.they_are_waiting_for_100_continue:
                        return CONTINUE
                elif kind is h11.Data:
                    self._size += len(event.data)
                    if self._size > BODY_LIMIT:  # buffered whole: an endless body would fill the memory
                        return self._break_off(413, "body over 64 KiB")
                    self._body.append(bytes(event.data))
                elif kind is h11.EndOfMessage:
                    head = self._head
                    return RawRequest(head.method, head.target, list(head.headers), b"".join(self._body))
                elif event is h11.NEED_DATA:
                    return NEED_DATA
                elif event is h11.PAUSED:
                    return PAUSED
                else:
                    return ENDED
        except h11.RemoteProtocolError as fault:
            return self._break_off(fault.error_status_hint, str(fault))

    def _break_off(self, status: int, why: str) -> Rejection | str:
        self._broken = True
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return ENDED  # its answer is already out
        return Rejection(status if status in _REASONS else 400, why)

    @property
    def idle(self) -> bool:
        """Whether nothing of a request has come since the last answer."""
        return self._h11.their_state is h11.IDLE and not self._h11.trailing_data[0]

    def too_slow(self) -> Rejection | None:
        """For a request of which a part is still missing after too long."""
        step = self._break_off(408, "request not whole in time")
        return step if isinstance(step, Rejection) else None

    def go_on(self) -> bytes:
        """The interim answer to `Expect: 100-continue`."""
        return self._h11.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def compose(
        self, status: int, body: bytes, headers: list[tuple[bytes, bytes]], close: bool
    ) -> tuple[bytes, bool]:
        """An answer's bytes, and whether the connection ends with it."""
        fields = [*headers, (b"Content-Length", b"%d" % len(body))]
        if close or self._broken:
            fields.append((b"Connection", b"close"))
        head = h11.Response(status_code=status, headers=fields, reason=_REASONS.get(status, b""))
        out = (self._h11.send(head) or b"") + (self._h11.send(h11.Data(data=body)) or b"")
        out += self._h11.send(h11.EndOfMessage()) or b""
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return out, False
        return out, True


def _states_both(head: h11.Request) -> bool:
    names = {name for name, _ in head.headers}
    return b"content-length" in names and b"transfer-encoding" in names


def _stated_length(head: h11.Request) -> int:
    return int(next((value for name, value in head.headers if name == b"content-length"), 0))


def as_http(answer: FinalAnswer) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
    """Status, body and headers of a final answer."""
    if isinstance(answer, Served):
        node: ExecuteNodeAnswer = answer.payload
        return 200, node.body, [(b"Content-Type", node.content_type)] if node.content_type else []
    if isinstance(answer, RequeueNotice):
        advice = answer.retry_after_ms
        later = [(b"Retry-After", b"%.3f" % (advice / 1000.0))] if advice > 0.0 else []
        return 503, error_body("refused; trying again is harmless"), [*later, _JSON]
    assert isinstance(answer, Failed)
    return (504 if answer.timed_out else 502), error_body("failed; it may have run"), [_JSON]


_JSON = (b"Content-Type", b"application/json")


def error_body(why: str) -> bytes:
    return msgspec.json.encode({"error": why}) + b"\n"


def rejection_http(rejection: Rejection) -> tuple[int, bytes, list[tuple[bytes, bytes]]]:
    return rejection.status, error_body(rejection.why), [*rejection.headers, _JSON]
