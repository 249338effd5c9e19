"""Attempts in HTTP: what an endpoint is sent, and what its reply means."""

from __future__ import annotations

from dataclasses import dataclass

from alderspool.balancer.events import AttemptStatus
from alderspool.protocol.http_client import HttpClientCodec, HttpResponse

BODY_LIMIT = 64 * 1024
# What belongs to one connection, or is stated anew for this one.
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length x-deadline-ms".split()
)


@dataclass(slots=True)
class ForwardedRequest:
    """A client's request as it passes through: method, target, body and end-to-end headers unchanged."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class UpstreamResponse:
    """An endpoint's own answer."""

    body: bytes
    content_type: bytes | None = None


def upstream_codec() -> HttpClientCodec:
    return HttpClientCodec(BODY_LIMIT)


def compose_attempt(wire: HttpClientCodec, request: ForwardedRequest, wait_ms: float) -> bytes:
    wait = (b"X-Deadline-Ms", b"%d" % max(int(wait_ms), 1))
    return wire.compose(request.method, request.target, [*request.headers, wait], request.body)


def read_outcome(reply: HttpResponse) -> tuple[AttemptStatus, UpstreamResponse | None]:
    """What a whole reply proves. Only the node's own word proves that a attempt has not run."""
    if reply.status == 200:
        return AttemptStatus.OK, UpstreamResponse(reply.body, reply.headers.get(b"content-type"))
    if reply.status in (503, 504) and reply.headers.get(b"x-not-run") == b"1":
        return AttemptStatus.REJECTED, None
    return AttemptStatus.ERROR, None  # it may have run


def compose_health_check(wire: HttpClientCodec, host: str) -> bytes:
    return wire.compose(b"GET", b"/health", [(b"Host", host.encode())])


def read_health_check(reply: HttpResponse) -> AttemptStatus:
    return AttemptStatus.OK if reply.status == 200 else AttemptStatus.REJECTED
