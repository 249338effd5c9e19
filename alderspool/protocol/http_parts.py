"""Assembly of HTTP/1.1 messages from the callbacks of a parser, within size limits. No I/O.

Shared by both directions: `http_client` reads responses, `downstream` reads requests.

The parser is httptools (llhttp) in its strict mode. It rejects what two readers could understand differently,
such as Content-Length beside Transfer-Encoding, differing or malformed lengths, folded headers and bare line
feeds. What it leaves to its user is done here: limits on heads and bodies, and trailers kept apart.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

HEAD_LIMIT_BYTES = 16 * 1024
Headers = list[tuple[bytes, bytes]]


class CodecFailure(NamedTuple):
    """Why a connection can carry no further message: the status to respond with, and the reason in words."""

    status: int
    reason: str


HEAD_TOO_LARGE = CodecFailure(431, "head over 16 KiB")
BODY_TOO_LARGE = CodecFailure(413, "body over the limit")


class HttpParser(Protocol):
    """A parser of httptools, for requests or for responses."""

    def feed_data(self, data: bytes) -> None:
        """Parse some bytes; calls the `on_` methods of the collector."""


class HttpMessageCollector:
    """Collects the messages of one connection, one after the other.

    The first limit that is exceeded sets `fault`. From then on no body is collected any more, so that a
    sender without end cannot fill the memory. `headers`, `target` and `body` are those of the present or last
    message.

    Subclasses own the parser, pass it to `feed`, and override `head_done` and `message_done`.
    """

    def __init__(self, body_limit: int) -> None:
        """Limit each body to so many bytes."""
        self.failure: CodecFailure | None = None
        self.message_started = False  # part of a message has been read, its end has not
        self.head_whole = False  # the same, and its head is complete
        self.target = b""
        self.headers: Headers = []
        self._parts: list[bytes] = []  # of the body
        self._body_limit = body_limit
        self._body_size = 0
        self._incomplete_head_size = 0  # bytes fed since the last complete head or message
        self._message_count = 0  # complete messages

    def feed(self, parser: HttpParser, data: bytes) -> None:
        """Parse some bytes. Raises the errors of httptools."""
        count_before = self._message_count
        parser.feed_data(data)
        if self.head_whole or self._message_count != count_before:
            self._incomplete_head_size = 0
            return
        self._incomplete_head_size += len(data)
        if self._incomplete_head_size > HEAD_LIMIT_BYTES:  # a head without end, or empty lines before it
            self.failure = self.failure or HEAD_TOO_LARGE

    # ---- called by httptools -----------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.message_started = True
        self.head_whole = False
        self.target = b""
        self.headers = []
        self._parts = []
        self._body_size = 0

    def on_url(self, part: bytes) -> None:
        """Add a part of the request's target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, its name in lower case.

        Trailers come here too, after the body. They are dropped: they must not pass for headers.
        """
        if not self.head_whole:
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Check the size of the head, and the size that it states for the body, before any of that comes."""
        self.head_whole = True
        head_size = sum(len(name) + len(value) for name, value in self.headers) + len(self.target)
        if head_size > HEAD_LIMIT_BYTES:
            self.failure = self.failure or HEAD_TOO_LARGE
        for name, value in self.headers:
            if name == b"content-length" and int(value) > self._body_limit:
                self.failure = self.failure or BODY_TOO_LARGE
        self.head_done()

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        self._body_size += len(part)
        if self._body_size > self._body_limit:
            self.failure = self.failure or BODY_TOO_LARGE
        if self.failure is None:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        """End the message."""
        self.message_done()
        self._message_count += 1
        self.message_started = False
        self.head_whole = False

    @property
    def body(self) -> bytes:
        """The body collected so far."""
        return b"".join(self._parts)

    # ---- overridden by each direction ---------------------------------------------------------------

    def head_done(self) -> None:
        """Act on a complete head."""

    def message_done(self) -> None:
        """Act on a complete message, whose fields are still in place."""
