"""HTTP/1.1 towards clients: one codec per connection, bytes in and requests out, responses in and bytes out.

No sockets and no timers here; the interpretation of a request is in `request_reader`.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Final, NamedTuple

import httptools

from alderspool.protocol.client_messages import ClientResponse, InvalidRequest, RawRequest, as_client_response
from alderspool.protocol.http_parts import Headers, CodecFailure, HttpMessageCollector
from alderspool.protocol.upstream import BODY_LIMIT
from alderspool.routing.messages import Rejected

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# All statuses that a client can be sent.
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def status_line(status: int) -> bytes:
    """Return the status line; the reason phrase is empty for a status without one."""
    return b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES.get(status, b""))


STATUS_LINES = {status: status_line(status) for status in REASON_PHRASES}


class CodecStatus(Enum):
    """What `HttpServerCodec.next` returns where there is no request to process."""

    NEED_DATA = "no complete request has been received"
    PAUSED = "the next request waits until the one in progress has its response"
    CONTINUE = "the client waits for 100 Continue before it sends the body"
    ENDED = "an invalid request has been returned; nothing behind it is read"


NEED_DATA: Final = CodecStatus.NEED_DATA
PAUSED: Final = CodecStatus.PAUSED
CONTINUE: Final = CodecStatus.CONTINUE
ENDED: Final = CodecStatus.ENDED


class EncodedResponse(NamedTuple):
    """A response as bytes."""

    data: bytes
    closes_connection: bool  # it announces that the connection ends with it


class HttpServerCodec(HttpMessageCollector):
    """Reads the requests of one connection and encodes its responses.

    At most one request is in progress: `next` returns it, and `compose` encodes its response. Requests
    behind it are collected and wait. Invalid input is returned once, and nothing is read after it.
    """

    def __init__(self) -> None:
        super().__init__(BODY_LIMIT)
        self._parser = httptools.HttpRequestParser(self)
        self._complete: deque[RawRequest] = deque()  # received, not yet returned by `next`
        self._in_progress: RawRequest | None = None  # returned by `next`, without a response yet
        self._is_http_1_1 = False  # the request that is being received
        self._expects_continue = False
        self._fault_returned = False
        self._received_at_s = 0.0
        self._earliest_arrival_s = 0.0

    def receive(
        self, data: bytes, received_at_s: float = 0.0, earliest_arrival_s: float | None = None
    ) -> None:
        """Feed bytes that were read.

        `received_at_s`: when they arrived. `earliest_arrival_s`: where that is not certain, when they may
        have arrived at the earliest.
        """
        self._received_at_s = received_at_s
        self._earliest_arrival_s = received_at_s if earliest_arrival_s is None else earliest_arrival_s
        while data and self.failure is None:
            try:
                self.feed(self._parser, data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The client offers another protocol for what follows. A server may ignore the offer.
                data = data[int(upgrade.args[0]) :]
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as fault:
                self.failure = CodecFailure(400, str(fault))

    def head_done(self) -> None:
        """Check the version and Host of a request whose head is complete."""
        names = {name for name, _ in self.headers}
        version = self._parser.get_http_version()
        self._is_http_1_1 = version == "1.1"
        if version not in ("1.0", "1.1") or (self._is_http_1_1 and b"host" not in names):
            self.failure = self.failure or CodecFailure(400, "no HTTP/1.1, or without Host")
        self._expects_continue = b"expect" in names and (b"expect", b"100-continue") in self.headers

    def message_done(self) -> None:
        """Collect a request that is complete."""
        if self.failure is None:
            method = self._parser.get_method()
            keep = self._parser.should_keep_alive() and self._is_http_1_1
            request = RawRequest(
                method,
                self.target,
                self.headers,
                self.body,
                keep,
                self._received_at_s,
                self._earliest_arrival_s,
            )
            self._complete.append(request)
        self._expects_continue = False

    def next(self) -> RawRequest | InvalidRequest | CodecStatus:
        """Return the next request, which is then in progress, or why there is none."""
        if self._complete:
            if self._in_progress is not None:
                return PAUSED
            self._in_progress = self._complete.popleft()
            return self._in_progress
        if self.failure is not None:
            return self._next_fault(self.failure)
        if self._expects_continue and not self._parts and self._in_progress is None:
            return CONTINUE
        return NEED_DATA

    def _next_fault(self, fault: tuple[int, str]) -> InvalidRequest | CodecStatus:
        if self._fault_returned:
            return ENDED
        if self._in_progress is not None:
            return PAUSED
        self._fault_returned = True
        return InvalidRequest(*fault)

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and nothing of a further one has been received."""
        return not (self.message_started or self._complete or self._in_progress or self.failure)

    @property
    def has_complete_request(self) -> bool:
        """Whether a complete request waits for `next`."""
        return bool(self._complete)

    @property
    def has_further_input(self) -> bool:
        """Whether something has been received behind the request in progress."""
        return bool(self.message_started or self._complete)

    def time_out(self) -> InvalidRequest | None:
        """Give up a request that is not complete in time; return the error that its client is to get."""
        if self._in_progress is not None or self._fault_returned:
            return None
        self.failure = CodecFailure(408, "request not whole in time")
        self._fault_returned = True
        return InvalidRequest(*self.failure)

    def compose_continue(self) -> bytes:
        """Return the interim response to `Expect: 100-continue`."""
        self._expects_continue = False
        return CONTINUE_RESPONSE

    def compose(self, status: int, body: bytes, headers: Headers, close: bool) -> EncodedResponse:
        """Encode the response to the request in progress, or to input that never became a request.

        `close`: the connection is to end with it. It does so too where the client or a fault demands it.
        """
        request = self._in_progress
        self._in_progress = None
        close = close or self.failure is not None or request is None or not request.keep
        parts = [STATUS_LINES.get(status) or status_line(status)]
        for name, value in headers:
            parts += (name, b": ", value, b"\r\n")
        parts.append(b"Content-Length: %d\r\n" % len(body))
        if close:
            parts.append(b"Connection: close\r\n")
        parts.append(b"\r\n")
        if request is None or request.method != b"HEAD":  # the response to HEAD has no body
            parts.append(body)
        return EncodedResponse(b"".join(parts), close)


def compose_closing(response: ClientResponse) -> bytes:
    """Encode a response for a connection of which no request is read."""
    return HttpServerCodec().compose(response.status, response.body, response.headers, close=True).data


# The response on a connection for which the proxy has no descriptor left, whatever its request is.
CONNECTION_REJECTED = compose_closing(as_client_response(Rejected()))
