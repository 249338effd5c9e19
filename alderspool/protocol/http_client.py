"""The client side of HTTP/1.1 on one connection: a request's bytes out, its complete response in. No I/O.

Used for the calls to endpoints and to discovery. One request at a time; interim (1xx) responses are skipped.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import httptools

from alderspool.protocol.http_parts import CodecFailure, HttpMessageCollector

MAX_INTERIM_RESPONSES = 8  # in front of a response; without a limit they could occupy its connection for ever
FIRST_FINAL_STATUS = 200  # statuses below are interim
TOO_MANY_INTERIM_RESPONSES = CodecFailure(502, "too many interim responses")
_LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class BrokenResponseError(Exception):
    """The response ended early, is too large, or is not HTTP."""


@dataclass(slots=True)
class HttpResponse:
    """A complete response, header names in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class HttpClientCodec(HttpMessageCollector):
    """Encodes the requests and decodes the responses of one connection.

    `reusable` says whether another request may follow on the connection. It turns false for good on the first
    sign that it may not: `Connection: close`, a response that ends with the stream, bytes behind a response.
    """

    def __init__(self, body_limit_bytes: int) -> None:
        """Limit the body of each response to so many bytes."""
        super().__init__(body_limit_bytes)
        self.reusable = True
        self._parser = httptools.HttpResponseParser(self)
        self._response: HttpResponse | None = None  # complete, not yet returned
        self._status = 0
        self._interim_count = 0
        self._awaits_response = False
        self._ends_with_stream = False  # a body without a length is complete when its sender ends the stream

    def compose(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
    ) -> bytes:
        """Return all bytes of a request, and expect its response from now on."""
        self._awaits_response = True
        self._interim_count = 0
        lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
        lines += [b"%b: %b\r\n" % field for field in headers]
        if body or method != b"GET":
            lines.append(b"Content-Length: %d\r\n" % len(body))
        return b"%b\r\n%b" % (b"".join(lines), body)

    def receive(self, data: bytes | None) -> HttpResponse | None:
        """Take the bytes that were read, and return the response once it is complete.

        b"" says that the sender has ended the stream. None says that the connection was reset, which ends no
        response: half a body would pass as complete. Raises BrokenResponseError.
        """
        if not data:
            self._end_stream(is_reset=data is None)
            return self._take_response()
        try:
            self.feed(self._parser, data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            if self._response is None:
                raise BrokenResponseError(str(error)) from None
        if self._response is None and self.failure is not None:
            raise BrokenResponseError(self.failure.reason)
        return self._take_response()

    def _end_stream(self, is_reset: bool) -> None:
        if is_reset or not self._ends_with_stream or self.failure is not None:
            raise BrokenResponseError("the connection ended")
        self.message_done()

    def _take_response(self) -> HttpResponse | None:
        response = self._response
        self._response = None
        return response

    def on_message_begin(self) -> None:
        """Start a new message; one that no request waits for makes the connection unusable."""
        if not self._awaits_response:  # a duplicate of the response, or an unsolicited one
            self.reusable = False
        self._ends_with_stream = False
        super().on_message_begin()

    def head_done(self) -> None:
        """Find out from the head how the body ends, and whether the connection stays open."""
        self._status = self._parser.get_status_code()
        if self._status < FIRST_FINAL_STATUS:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                self.failure = TOO_MANY_INTERIM_RESPONSES
        elif not any(name in _LENGTH_HEADERS for name, _ in self.headers):
            self._ends_with_stream = self._awaits_response
            self.reusable = False
        elif not self._parser.should_keep_alive():
            self.reusable = False

    def message_done(self) -> None:
        """Store the response, unless it is an interim or unsolicited one or exceeds a limit."""
        if self._awaits_response and self._status >= FIRST_FINAL_STATUS and self.failure is None:
            self._awaits_response = False
            self._ends_with_stream = False
            self._response = HttpResponse(self._status, dict(self.headers), self.body)
