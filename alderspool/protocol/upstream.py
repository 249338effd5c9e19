"""HTTP towards endpoints: the request that an attempt sends, and what the response proves.

Values in, values out: no sockets and no decisions on retries.
"""

from __future__ import annotations

from dataclasses import dataclass

from alderspool.balancer.events import AttemptStatus
from alderspool.protocol.http_client import HttpClientCodec, HttpResponse

BODY_LIMIT_BYTES = 64 * 1024  # bytes, of a request as of a response
MIN_DEADLINE_MS = 1  # the smallest X-Deadline-Ms that is sent
# Not forwarded: headers that concern one connection only, and those that are set anew for each attempt.
NOT_FORWARDED_HEADERS = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length x-deadline-ms".split()
)
STATUS_OK = 200
NOT_RUN_STATUSES = (503, 504)  # with the header set to 1, they say that the request was not executed
NOT_RUN_HEADER = b"x-not-run"


@dataclass(slots=True)
class ForwardedRequest:
    """A client's request as it is forwarded: method, target, body and end-to-end headers unchanged."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class UpstreamResponse:
    """What is forwarded to the client of an endpoint's successful response."""

    body: bytes
    content_type: bytes | None = None


@dataclass(slots=True)
class AttemptOutcome:
    """What a complete response proves of its attempt. `response` is set only where the status is OK."""

    status: AttemptStatus
    response: UpstreamResponse | None = None


def upstream_codec() -> HttpClientCodec:
    """Return the codec for one new connection to an endpoint."""
    return HttpClientCodec(BODY_LIMIT_BYTES)


def compose_attempt(codec: HttpClientCodec, request: ForwardedRequest, time_left_ms: float) -> bytes:
    """Return the bytes of one attempt, with the time for which the proxy will wait for the response."""
    deadline_ms = max(int(time_left_ms), MIN_DEADLINE_MS)
    headers = [*request.headers, (b"X-Deadline-Ms", b"%d" % deadline_ms)]
    return codec.compose(request.method, request.target, headers, request.body)


def read_outcome(response: HttpResponse) -> AttemptOutcome:
    """Return what a complete response proves.

    Only the endpoint's explicit statement (503 or 504 with `X-Not-Run: 1`) proves that the attempt was not
    executed; after any other failure it may have been.
    """
    if response.status == STATUS_OK:
        content_type = response.headers.get(b"content-type")
        return AttemptOutcome(AttemptStatus.OK, UpstreamResponse(response.body, content_type))
    if response.status in NOT_RUN_STATUSES and response.headers.get(NOT_RUN_HEADER) == b"1":
        return AttemptOutcome(AttemptStatus.REJECTED)
    return AttemptOutcome(AttemptStatus.ERROR)


def compose_health_check(codec: HttpClientCodec, host: str) -> bytes:
    """Return the bytes of a health check's request."""
    return codec.compose(b"GET", b"/health", [(b"Host", host.encode())])


def read_health_check(response: HttpResponse) -> AttemptStatus:
    """Return what the response to a health check says: OK, or REJECTED for any status but 200."""
    if response.status == STATUS_OK:
        return AttemptStatus.OK
    return AttemptStatus.REJECTED
