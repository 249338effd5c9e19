"""Messages between the parts of the client side: requests as received, invalid requests, responses to send.

Values only: they are read by `request_reader`, produced and encoded by `http_server`, and passed on by the
transport.
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
    """A complete request as received, not yet interpreted.

    The two times are seconds on the clock of the caller of `HttpServerCodec.receive`.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep: bool = True  # the client goes on using the connection
    received_at_s: float = 0.0  # when its last byte arrived
    earliest_arrival_s: float = 0.0  # it may have arrived as early as this


@dataclass(slots=True)
class InvalidRequest:
    """An invalid request: the proxy responds to it itself, and neither forwards nor counts it."""

    status: int
    why: str
    headers: Headers = field(default_factory=list)


class ReadinessQuery:
    """GET /ready: whether this proxy can serve."""


class ClientResponse(NamedTuple):
    """A response to a client, without the headers that depend on the connection."""

    status: int
    body: bytes
    headers: Headers


def as_client_response(final: FinalResponse) -> ClientResponse:
    """Return a request's final response in HTTP."""
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
    return ClientResponse(invalid.status, error_body(invalid.why), [*invalid.headers, JSON_CONTENT_TYPE])


def readiness_as_http(is_ready: bool) -> ClientResponse:
    """Return the response to GET /ready."""
    if is_ready:
        return ClientResponse(200, b"ready\n", [])
    return ClientResponse(503, error_body("not ready"), [])


def error_body(why: str) -> bytes:
    """Return the JSON body of a response that is not an endpoint's."""
    return msgspec.json.encode({"error": why}) + b"\n"
