"""The server side of HTTP/1.1: decodes the requests of client connections and encodes the responses.

No sockets and no timers; requests are validated in `request_reader`.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Final, NamedTuple

import httptools

from alderspool.protocol.client_messages import ClientResponse, InvalidRequest, RawRequest, as_client_response
from alderspool.protocol.http_parts import CodecFailure, Headers, HttpMessageCollector
from alderspool.protocol.upstream import BODY_LIMIT_BYTES
from alderspool.routing.messages import Rejected

REQUEST_OVERHEAD_BYTES = 512  # memory of a complete request beside its header fields and its body
REQUEST_TIMEOUT = CodecFailure(408, "request not whole in time")
OUT_OF_MEMORY = CodecFailure(503, "refused; trying again is harmless")
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Every status that the proxy sends to clients.
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
    """Return the status line; the reason phrase is empty if REASON_PHRASES has none for the status."""
    return b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES.get(status, b""))


STATUS_LINES = {status: status_line(status) for status in REASON_PHRASES}


class CodecStatus(Enum):
    """What `HttpServerCodec.next` returns if there is no request to process."""

    NEED_DATA = "more data is needed to complete a request"
    PAUSED = "the next request waits for the response to the request in progress"
    CONTINUE = "the client waits for 100 Continue before it sends the body"
    ENDED = "an invalid request has been returned and no further input is read"


NEED_DATA: Final = CodecStatus.NEED_DATA
PAUSED: Final = CodecStatus.PAUSED
CONTINUE: Final = CodecStatus.CONTINUE
ENDED: Final = CodecStatus.ENDED


class EncodedResponse(NamedTuple):
    """An encoded response."""

    data: bytes
    closes_connection: bool  # the response has `Connection: close`


class HttpServerCodec(HttpMessageCollector[httptools.HttpRequestParser]):
    """Decodes the requests of one connection and encodes its responses.

    At most one request is in progress: `next` returns it, and `compose` encodes its response. Pipelined
    requests are decoded and queued until then. Invalid input is returned once as an InvalidRequest, and
    nothing is read after it.
    """

    def __init__(self) -> None:
        super().__init__(BODY_LIMIT_BYTES)
        self._parser = httptools.HttpRequestParser(self)
        self._complete_requests: deque[RawRequest] = deque()  # not yet returned by `next`
        self._complete_memory_bytes = 0  # memory of the complete requests and of the one in progress
        self._request_in_progress: RawRequest | None = None  # returned by `next`, no response yet
        self._is_http_1_1 = False  # of the request that is being received
        self._expects_continue = False
        self._failure_returned = False
        self._received_at_s = 0.0

    def receive(self, data: bytes, received_at_s: float = 0.0) -> None:
        """Decode data that was read from the connection.

        `received_at_s` is when the data arrived, on a clock of the caller's choice.
        """
        self._received_at_s = received_at_s
        while data and self.failure is None:
            try:
                self.feed(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The client asks to switch to another protocol. A server may ignore this: continue with the
                # data after the request, in a new parser.
                data = data[int(upgrade.args[0]) :]
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as error:
                self.fail(CodecFailure(400, str(error)))

    def head_done(self) -> None:
        """Check the HTTP version and the Host header of a request."""
        names = {name for name, _ in self.headers}
        version = self._parser.get_http_version()
        self._is_http_1_1 = version == "1.1"
        if version not in ("1.0", "1.1") or (self._is_http_1_1 and b"host" not in names):
            self.fail(CodecFailure(400, "no HTTP/1.1, or without Host"))
        self._expects_continue = b"expect" in names and (b"expect", b"100-continue") in self.headers

    def message_done(self) -> None:
        """Queue a complete request for `next`."""
        if self.failure is None:
            method = self._parser.get_method()
            keep_alive = self._parser.should_keep_alive() and self._is_http_1_1
            request = RawRequest(
                method,
                self.target,
                self.headers,
                self.body,
                keep_alive,
                self._received_at_s,
                self.message_memory_bytes + REQUEST_OVERHEAD_BYTES,
            )
            self._complete_requests.append(request)
            self._complete_memory_bytes += request.memory_bytes
        self._expects_continue = False

    def next(self) -> RawRequest | InvalidRequest | CodecStatus:
        """Return the next request, which is then in progress, or the reason why there is none."""
        if self._complete_requests:
            if self._request_in_progress is not None:
                return PAUSED
            self._request_in_progress = self._complete_requests.popleft()
            return self._request_in_progress
        if self.failure is not None:
            return self._next_failure(self.failure)
        if self._expects_continue and not self._body_size_bytes and self._request_in_progress is None:
            return CONTINUE
        return NEED_DATA

    def _next_failure(self, failure: tuple[int, str]) -> InvalidRequest | CodecStatus:
        if self._failure_returned:
            return ENDED
        if self._request_in_progress is not None:
            return PAUSED
        self._failure_returned = True
        return InvalidRequest(*failure)

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and no part of another one has been received."""
        return not (
            self.message_started or self._complete_requests or self._request_in_progress or self.failure
        )

    @property
    def has_complete_request(self) -> bool:
        """Whether a complete request is queued for `next`."""
        return bool(self._complete_requests)

    @property
    def can_return_request(self) -> bool:
        """Whether `next` returns a complete request."""
        return bool(self._complete_requests) and self._request_in_progress is None

    @property
    def has_further_input(self) -> bool:
        """Whether all or part of a request after the one in progress has been received."""
        return bool(self.message_started or self._complete_requests)

    @property
    def memory_bytes(self) -> int:
        """Estimate of the memory that the requests of this connection take, the one in progress included."""
        return self._complete_memory_bytes + self.message_memory_bytes

    def abandon_message(self, failure: CodecFailure) -> InvalidRequest | None:
        """Stop waiting for the rest of a request; return the error to send to the client.

        Returns None if a request is in progress or an error has already been returned.
        """
        if self._request_in_progress is not None or self._failure_returned:
            return None
        self.drop_message()
        self.failure = failure
        self._failure_returned = True
        return InvalidRequest(*failure)

    def compose_continue(self) -> bytes:
        """Return the interim response to `Expect: 100-continue`."""
        self._expects_continue = False
        return CONTINUE_RESPONSE

    def compose(self, status: int, body: bytes, headers: Headers, close: bool) -> EncodedResponse:
        """Encode the response to the request in progress, or to invalid input.

        `close` ends the connection with this response. The connection also ends if the client does not keep
        it alive, after a failure, and if no request is in progress.
        """
        request = self._request_in_progress
        self._request_in_progress = None
        if request is not None:
            self._complete_memory_bytes -= request.memory_bytes
        close = close or self.failure is not None or request is None or not request.keep_alive
        parts = [STATUS_LINES.get(status) or status_line(status)]
        for name, value in headers:
            parts += (name, b": ", value, b"\r\n")
        parts.append(b"Content-Length: %d\r\n" % len(body))
        if close:
            parts.append(b"Connection: close\r\n")
        parts.append(b"\r\n")
        if request is None or request.method != b"HEAD":  # a response to HEAD must not have a body
            parts.append(body)
        return EncodedResponse(b"".join(parts), close)


def compose_without_request(response: ClientResponse) -> bytes:
    """Encode a response for a connection that is closed without reading a request."""
    return HttpServerCodec().compose(response.status, response.body, response.headers, close=True).data


# Sent on connections that are rejected because the proxy is out of descriptors, without reading the request.
CONNECTION_REJECTED = compose_without_request(as_client_response(Rejected()))
