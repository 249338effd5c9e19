"""Data types of the client side: received requests, invalid requests, and responses to send.

`http_server` decodes requests and encodes responses, `request_reader` validates the requests, and the
transport passes these values between them and the exchange.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from alderspool.protocol.http_parts import Headers
from alderspool.protocol.upstream import UpstreamResponse
from alderspool.routing.messages import FinalResponse, Rejected, Served

JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")


@dataclass(slots=True)
class RawRequest:
    """A complete request as received, not yet validated.

    `received_at_s` is on the clock that the caller of `HttpServerCodec.receive` uses.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool = True  # the client keeps the connection open for further requests
    received_at_s: float = 0.0  # arrival of the last byte
    memory_bytes: int = 0  # estimate of the memory that the request takes


@dataclass(slots=True)
class InvalidRequest:
    """An invalid request. The proxy responds with an error and neither forwards nor counts the request."""

    status: int
    reason: str
    headers: Headers = field(default_factory=list)


class ReadinessQuery:
    """A GET /ready request, which asks whether this proxy can serve requests."""


class ClientResponse(NamedTuple):
    """A response to a client, without the headers that depend on the connection."""

    status: int
    body: bytes
    headers: Headers


def as_client_response(final: FinalResponse) -> ClientResponse:
    """Convert the exchange's final response to an HTTP response."""
    if isinstance(final, Served):
        upstream_response: UpstreamResponse = final.payload
        content_type = upstream_response.content_type
        headers = [(b"Content-Type", content_type)] if content_type else []
        return ClientResponse(200, upstream_response.body, headers)
    if isinstance(final, Rejected):
        headers = [JSON_CONTENT_TYPE]
        if final.retry_after_ms > 0.0:
            headers.insert(0, (b"Retry-After", b"%.3f" % (final.retry_after_ms / 1000.0)))
        return ClientResponse(503, error_body("refused; trying again is harmless"), headers)
    status = 504 if final.timed_out else 502
    return ClientResponse(status, error_body("failed; it may have run"), [JSON_CONTENT_TYPE])


def invalid_request_as_http(invalid: InvalidRequest) -> ClientResponse:
    """Return the response to an invalid request."""
    return ClientResponse(invalid.status, error_body(invalid.reason), [*invalid.headers, JSON_CONTENT_TYPE])


def readiness_as_http(is_ready: bool) -> ClientResponse:
    """Return the response to GET /ready."""
    if is_ready:
        return ClientResponse(200, b"ready\n", [])
    return ClientResponse(503, error_body("not ready"), [])


def error_body(reason: str) -> bytes:
    """Return the JSON body of an error response that the proxy itself creates."""
    return msgspec.json.encode({"error": reason}) + b"\n"
