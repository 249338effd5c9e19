"""The asking half of HTTP/1.1 on one connection: a request's bytes out, its whole reply in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import httptools

from alderspool.protocol.http_parts import HttpMessageCollector

MOST_INTERIM = 8  # 1xx answers in front of a reply; without end they would hold its connection for ever


class BrokenResponseError(Exception):
    """The reply ended early, is too long, or is no HTTP."""


@dataclass(slots=True)
class HttpResponse:
    status: int
    headers: dict[bytes, bytes]
    body: bytes


class HttpClientCodec(HttpMessageCollector):
    def __init__(self, body_limit: int) -> None:
        super().__init__(body_limit)
        self._parser = httptools.HttpResponseParser(self)
        self._reply: HttpResponse | None = None
        self._interim = 0
        self._status = 0
        self._asked = False  # a request is out
        self._until_end = False  # a body without a length: it is whole as its sender ends the stream
        self.reusable = True  # whether another request may follow on this connection

    def compose(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
    ) -> bytes:
        """The bytes of a request, whole."""
        self._asked, self._interim = True, 0
        lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
        lines += [b"%b: %b\r\n" % field for field in headers]
        if body or method != b"GET":
            lines.append(b"Content-Length: %d\r\n" % len(body))
        return b"%b\r\n%b" % (b"".join(lines), body)

    def receive(self, data: bytes | None) -> HttpResponse | None:
        """The reply once it is whole; b"" says that the sender has ended the stream, None that the connection
        was reset, which is no end: half an answer would pass as whole."""
        if not data:
            if data is None or not self._until_end or self.fault is not None:
                raise BrokenResponseError("the connection ended")
            self.message_done()
            return self._whole()
        try:
            self.feed(self._parser, data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            self.reusable = False
            if self._reply is None:
                raise BrokenResponseError(str(fault)) from None
        if self._reply is None and self.fault is not None:
            raise BrokenResponseError(self.fault[1])
        return self._whole()

    def _whole(self) -> HttpResponse | None:
        reply, self._reply = self._reply, None
        return reply

    def on_message_begin(self) -> None:
        if not self._asked:  # a second copy of the reply, or what else nobody asked for
            self.reusable = False
        self._until_end = False
        super().on_message_begin()

    def head_done(self) -> None:
        self._status = self._parser.get_status_code()
        if self._status < 200:
            self._interim += 1
            if self._interim > MOST_INTERIM:
                self.fault = (502, "interim answers without end")
        elif not any(n in (b"content-length", b"transfer-encoding") for n, _ in self.headers):
            self._until_end, self.reusable = self._asked, False
        elif not self._parser.should_keep_alive():
            self.reusable = False

    def message_done(self) -> None:
        if self._asked and self._status >= 200 and self.fault is None:
            self._asked = self._until_end = False
            self._reply = HttpResponse(self._status, dict(self.headers), self.body)
