"""HTTP/1.1 server codec of the emulated services: one request at a time on a connection."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import httptools

from alderspool.protocol.http_parts import CodecFailure, HttpMessageCollector

BODY_LIMIT_BYTES = 64 * 1024
READ_SIZE_BYTES = 64 * 1024


@dataclass(slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes

    def header(self, name: bytes) -> str | None:
        """Return the value of a header; None if it is absent or empty."""
        value = self.headers.get(name)
        return value.decode("latin-1") if value else None


class HttpServerCodec(HttpMessageCollector[httptools.HttpRequestParser]):
    """Decodes requests. `failure` is set if the input is invalid or too large; no further requests follow."""

    def __init__(self) -> None:
        super().__init__(BODY_LIMIT_BYTES)
        self._parser = httptools.HttpRequestParser(self)
        self._completed: list[HttpRequest] = []

    def receive(self, data: bytes) -> list[HttpRequest]:
        """Decode data that was read from the connection; return the requests that it completes."""
        try:
            self.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(CodecFailure(HTTPStatus.BAD_REQUEST, str(error)))
        completed = self._completed
        self._completed = []
        return completed

    def message_done(self) -> None:
        """Add a complete request, unless it is too large; called by HttpMessageCollector."""
        if self.failure is not None:
            return
        method = self._parser.get_method().decode()
        target = self.target.decode("latin-1")
        self._completed.append(HttpRequest(method, target, dict(self.headers), self.body))


def encode_response(status: int, body: bytes = b"", *header_lines: bytes) -> bytes:
    """Encode a complete response; the header lines are given without their line ends."""
    lines = b"".join(b"%b\r\n" % line for line in header_lines)
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), lines, body)
