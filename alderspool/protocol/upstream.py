"""HTTP towards endpoints: encodes attempts and health checks, and classifies the responses.

No I/O and no decisions about retries.
"""

from __future__ import annotations

from dataclasses import dataclass

from alderspool.balancer.events import AttemptStatus
from alderspool.protocol.http_client import HttpClientCodec, HttpResponse

BODY_LIMIT_BYTES = 64 * 1024  # applies to requests and to responses
MIN_DEADLINE_MS = 1  # the smallest X-Deadline-Ms that is sent
# Hop-by-hop headers, and headers that are set again for each attempt.
NOT_FORWARDED_HEADERS = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length x-deadline-ms".split()
)
STATUS_OK = 200
NOT_RUN_STATUSES = (503, 504)  # together with `X-Not-Run: 1`: the request was not executed
NOT_RUN_HEADER = b"x-not-run"


@dataclass(slots=True)
class ForwardedRequest:
    """A client's request as it is forwarded: unchanged, but with the end-to-end headers only."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class UpstreamResponse:
    """The part of an endpoint's successful response that is forwarded to the client."""

    body: bytes
    content_type: bytes | None = None


@dataclass(slots=True)
class AttemptOutcome:
    """The outcome of an attempt, derived from a complete response.

    `response` is set only if `status` is OK.
    """

    status: AttemptStatus
    response: UpstreamResponse | None = None


def upstream_codec() -> HttpClientCodec:
    """Create the codec for a new connection to an endpoint."""
    return HttpClientCodec(BODY_LIMIT_BYTES)


def compose_attempt(codec: HttpClientCodec, request: ForwardedRequest, time_left_ms: float) -> bytes:
    """Encode an attempt.

    The endpoint receives `time_left_ms`, for which the proxy will wait for the response, as X-Deadline-Ms.
    """
    deadline_ms = max(int(time_left_ms), MIN_DEADLINE_MS)
    headers = [*request.headers, (b"X-Deadline-Ms", b"%d" % deadline_ms)]
    return codec.compose(request.method, request.target, headers, request.body)


def read_outcome(response: HttpResponse) -> AttemptOutcome:
    """Classify the complete response to an attempt.

    Only 503 or 504 with `X-Not-Run: 1` proves that the endpoint did not execute the attempt. After any other
    unsuccessful response it may have been executed.
    """
    if response.status == STATUS_OK:
        content_type = response.headers.get(b"content-type")
        return AttemptOutcome(AttemptStatus.OK, UpstreamResponse(response.body, content_type))
    if response.status in NOT_RUN_STATUSES and response.headers.get(NOT_RUN_HEADER) == b"1":
        return AttemptOutcome(AttemptStatus.REJECTED)
    return AttemptOutcome(AttemptStatus.ERROR)


def compose_health_check(codec: HttpClientCodec, host: str) -> bytes:
    """Encode the request of a health check."""
    return codec.compose(b"GET", b"/health", [(b"Host", host.encode())])


def read_health_check(response: HttpResponse) -> AttemptStatus:
    """Return the result of a health check: OK for status 200, REJECTED for any other."""
    if response.status == STATUS_OK:
        return AttemptStatus.OK
    return AttemptStatus.REJECTED
