"""Claims in HTTP: what an execute node is sent, and what its reply means."""

from __future__ import annotations

from dataclasses import dataclass

from alderspool.protocol.http_client import ClientWire, Reply
from lynxlift.interface import Status

BODY_LIMIT = 64 * 1024
# What belongs to one connection, or is stated anew for this one.
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length x-deadline-ms".split()
)


@dataclass(slots=True)
class ForwardRequest:
    """A submitter's request as it passes through: method, target, body and end-to-end headers unchanged."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class ExecuteNodeAnswer:
    """An execute node's own answer."""

    body: bytes
    content_type: bytes | None = None


def claim_wire() -> ClientWire:
    return ClientWire(BODY_LIMIT)


def compose_claim(wire: ClientWire, request: ForwardRequest, wait_ms: float) -> bytes:
    wait = (b"X-Deadline-Ms", b"%d" % max(int(wait_ms), 1))
    return wire.compose(request.method, request.target, [*request.headers, wait], request.body)


def read_outcome(reply: Reply) -> tuple[Status, ExecuteNodeAnswer | None]:
    """What a whole reply proves. Only the node's own word proves that a claim has not run."""
    if reply.status == 200:
        return Status.OK, ExecuteNodeAnswer(reply.body, reply.headers.get(b"content-type"))
    if reply.status in (503, 504) and reply.headers.get(b"x-not-run") == b"1":
        return Status.REJECTED, None
    return Status.ERROR, None  # it may have run


def compose_probe(wire: ClientWire, host: str) -> bytes:
    return wire.compose(b"GET", b"/health", [(b"Host", host.encode())])


def read_probe(reply: Reply) -> Status:
    return Status.OK if reply.status == 200 else Status.REJECTED
