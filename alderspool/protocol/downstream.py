"""Re-exports the public names of the client side of the protocol for other packages."""

from __future__ import annotations

from alderspool.protocol.client_messages import InvalidRequest, RawRequest, ReadinessQuery, as_client_response
from alderspool.protocol.http_server import CONTINUE, NEED_DATA, PAUSED, HttpServerCodec
from alderspool.protocol.request_reader import RequestReader

__all__ = [
    "CONTINUE",
    "NEED_DATA",
    "PAUSED",
    "HttpServerCodec",
    "InvalidRequest",
    "RawRequest",
    "ReadinessQuery",
    "RequestReader",
    "as_client_response",
]
