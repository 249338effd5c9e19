"""One direction of an HTTP/1.1 connection: what the parser says of it, put together within bounds.

The parser is httptools (llhttp), strict: it refuses what two readers could read differently, such as
Content-Length beside Transfer-Encoding, differing or odd lengths, folded headers and bare line feeds.
"""

from __future__ import annotations

HEAD_LIMIT = 16 * 1024
Headers = list[tuple[bytes, bytes]]


class HttpMessageCollector:
    """Collects messages, one after the other. What is too long sets `fault`, and from then on nothing
    more is collected: who sends without end must not fill the memory."""

    def __init__(self, body_limit: int) -> None:
        self._limit = body_limit
        self.fault: tuple[int, str] | None = None
        self.begun = self.head_whole = False
        self._fed = 0  # while no head is whole
        self._count = 0  # whole messages
        self._parts: list[bytes] = []

    def feed(self, parser: object, data: bytes) -> None:
        """Raises httptools' errors."""
        before = self._count
        parser.feed_data(data)
        self._fed = 0 if self.head_whole or self._count != before else self._fed + len(data)
        if self._fed > HEAD_LIMIT:  # a head that never ends, or line ends before it
            self.fault = self.fault or (431, "head over 16 KiB")

    # ---- httptools calls these -------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self.begun, self.head_whole = True, False
        self.target, self._size = b"", 0
        self._parts = []
        self.headers: Headers = []

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.head_whole:  # trailers come after the body: they must not pass for the head's
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        self.head_whole = True
        if sum(len(n) + len(v) for n, v in self.headers) + len(self.target) > HEAD_LIMIT:
            self.fault = self.fault or (431, "head over 16 KiB")
        for name, value in self.headers:
            if name == b"content-length" and int(value) > self._limit:  # it need not come to be too long
                self.fault = self.fault or (413, "body over the limit")
        self.head_done()

    def on_body(self, part: bytes) -> None:
        self._size += len(part)
        if self._size > self._limit:
            self.fault = self.fault or (413, "body over the limit")
        if self.fault is None:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        self.message_done()
        self._count += 1
        self.begun = self.head_whole = False

    @property
    def body(self) -> bytes:
        return b"".join(self._parts)

    # ---- for each side to fill in ------------------------------------------------------------------

    def head_done(self) -> None:
        """The head is whole."""

    def message_done(self) -> None:
        """The message is whole."""
