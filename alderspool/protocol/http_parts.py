"""Assembles HTTP/1.1 messages from the callbacks of httptools, within size limits. No I/O.

Shared by both directions: `http_server` reads requests, `http_client` reads responses.

httptools (llhttp) runs in strict mode and rejects ambiguous messages, which could be used for request
smuggling: Content-Length together with Transfer-Encoding, differing or malformed lengths, folded headers and
bare line feeds. It limits neither heads nor bodies nor what surrounds a body (chunk sizes, chunk extensions
and trailers), all of which a peer can send without end, and it does not separate trailers from headers; this
module does all of that.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, Protocol, TypeVar

HEAD_LIMIT_BYTES = 16 * 1024
# An object is kept for each header field, of which a head of 16 KiB can have 4,096.
MAX_HEADER_FIELDS = 1024
# Limit of the chunk framing (sizes, extensions) and trailers of one message. It grows with each byte of the
# body, so that a body in chunks of one byte, each with a short extension, is accepted.
FRAMING_LIMIT_BYTES = 16 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 16
# Memory of a header field beside its bytes: a tuple, a place in the list and two bytes objects.
FIELD_OVERHEAD_BYTES = 160
Headers = list[tuple[bytes, bytes]]


class CodecFailure(NamedTuple):
    """Why no further message can be read from a connection.

    `status` is the HTTP status to respond with, `reason` the text of the error.
    """

    status: int
    reason: str


HEAD_TOO_LARGE = CodecFailure(431, "head over 16 KiB")
TOO_MANY_HEADER_FIELDS = CodecFailure(431, f"over {MAX_HEADER_FIELDS} header fields")
BODY_TOO_LARGE = CodecFailure(413, "body over the limit")
FRAMING_TOO_LARGE = CodecFailure(413, "chunk framing and trailers over the limit")


class HttpParser(Protocol):
    """The interface that HttpRequestParser and HttpResponseParser of httptools have in common."""

    def feed_data(self, data: bytes) -> None:
        """Parse data; calls the `on_` methods of the collector."""


Parser = TypeVar("Parser", bound=HttpParser)


class HttpMessageCollector(Generic[Parser]):
    """Collects the messages of one connection, one at a time.

    The limits on the head and on chunk framing and trailers are applied after each piece that `feed` is
    given, so memory is bounded by them and by the size of the pieces.

    `failure` is set when a limit is exceeded, or by a subclass. The incomplete message is dropped then, and
    body data is discarded, so that an endless body cannot exhaust the memory. `headers`, `target` and `body`
    belong to the current message; between messages nothing of the last one is kept.

    Subclasses set `_parser`, which calls the `on_` methods, and override `head_done` and `message_done`.
    """

    _parser: Parser

    def __init__(self, body_limit_bytes: int) -> None:
        """Create a collector that limits each body to `body_limit_bytes`."""
        self.failure: CodecFailure | None = None
        self.message_started = False  # a message has started and is not complete
        self.head_complete = False  # a message has started, and its head is complete but the message is not
        self.target = b""
        self.headers: Headers = []
        self._body = bytearray()  # not a list of parts: an object for each small chunk would take far more
        self._body_limit_bytes = body_limit_bytes
        self._body_size_bytes = 0
        self._head_size_bytes = 0  # of the target and the header fields, once the head is complete
        self._message_bytes = 0  # bytes received for the incomplete message, of all its parts

    def feed(self, data: bytes) -> None:
        """Parse data.

        Raises HttpParserError for malformed input and HttpParserUpgrade for a protocol upgrade.
        """
        self._message_bytes += len(data)
        self._parser.feed_data(data)
        self._check_message_size()

    def _check_message_size(self) -> None:
        """Set `failure` if the incomplete message has more bytes than its head and body can account for."""
        if not self.head_complete:  # the head has no end so far, or only empty lines have been received
            if self._message_bytes > HEAD_LIMIT_BYTES:
                self.fail(HEAD_TOO_LARGE)
            return
        framing_limit_bytes = FRAMING_LIMIT_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self._body_size_bytes
        if self._message_bytes > HEAD_LIMIT_BYTES + self._body_size_bytes + framing_limit_bytes:
            self.fail(FRAMING_TOO_LARGE)

    def fail(self, failure: CodecFailure) -> None:
        """Drop the incomplete message and set `failure`, unless it is already set."""
        if self.failure is None:
            self.failure = failure
            self.drop_message()

    def drop_message(self) -> None:
        """Free the memory of the message that is being received."""
        self.headers = []
        self._body = bytearray()

    def close(self) -> None:
        """Free the memory of a connection that has ended; nothing may be received after it.

        The parser and this object refer to each other, and would wait for the garbage collector.
        """
        self.drop_message()
        del self._parser

    @property
    def message_memory_bytes(self) -> int:
        """Estimate of the memory that the message being received takes."""
        head_size_bytes = self._head_size_bytes if self.head_complete else self._message_bytes
        return head_size_bytes + len(self.headers) * FIELD_OVERHEAD_BYTES + len(self._body)

    # ---- called by httptools -----------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.message_started = True
        self.head_complete = False
        self.target = b""
        self.headers = []
        self._body_size_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header with its name in lower case.

        httptools also reports trailers here, after the body. They are dropped: taken for headers, they could
        change the meaning of the message.
        """
        if self.head_complete or self.failure is not None:
            return
        self.headers.append((name.lower(), value.strip(b" \t")))
        if len(self.headers) > MAX_HEADER_FIELDS:
            self.fail(TOO_MANY_HEADER_FIELDS)

    def on_headers_complete(self) -> None:
        """Check the size of the head and the Content-Length, before any of the body is received."""
        self.head_complete = True
        fields_size_bytes = sum(len(name) + len(value) for name, value in self.headers)
        self._head_size_bytes = fields_size_bytes + len(self.target)
        if self._head_size_bytes > HEAD_LIMIT_BYTES:
            self.fail(HEAD_TOO_LARGE)
        for name, value in self.headers:
            if name == b"content-length" and int(value) > self._body_limit_bytes:
                self.fail(BODY_TOO_LARGE)
        if self.failure is None:
            self.head_done()

    def on_body(self, part: bytes) -> None:
        """Append a part of the body unless a limit has been exceeded."""
        self._body_size_bytes += len(part)
        if self._body_size_bytes > self._body_limit_bytes:
            self.fail(BODY_TOO_LARGE)
        if self.failure is None:
            self._body += part

    def on_message_complete(self) -> None:
        """Finish the message."""
        self.message_done()
        self.headers = []
        if self._body_size_bytes:
            self._body = bytearray()  # `clear` would leave a byte behind, which keeps the heap fragmented
        self._message_bytes = 0  # the rest of the piece, which belongs to the next message, is not counted
        self.message_started = False
        self.head_complete = False

    @property
    def body(self) -> bytes:
        """The body collected so far."""
        return bytes(self._body)

    # ---- overridden by subclasses -------------------------------------------------------------------

    def head_done(self) -> None:
        """Handle a complete head; called before any of the body is received."""

    def message_done(self) -> None:
        """Handle a complete message, while `headers`, `target` and `body` are still those of the message."""
