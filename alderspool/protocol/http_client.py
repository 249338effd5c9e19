"""The asking half of HTTP/1.1 on one connection: a request's bytes out, its whole reply in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import h11

Headers = Iterable[tuple[bytes, bytes]]


class BrokenReplyError(Exception):
    """The reply ended early, is too long, or is no HTTP."""


@dataclass(slots=True)
class Reply:
    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ClientWire:
    def __init__(self, body_limit: int) -> None:
        self._limit = body_limit
        self._h11 = h11.Connection(h11.CLIENT)
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._size = 0

    def compose(self, method: bytes, target: bytes, headers: Headers, body: bytes = b"") -> bytes:
        """The bytes of a request, whole."""
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        fields = list(headers)
        if body or method != b"GET":
            fields.append((b"Content-Length", b"%d" % len(body)))
        out = self._h11.send(h11.Request(method=method, target=target, headers=fields))
        if body:
            out += self._h11.send(h11.Data(data=body))
        return out + (self._h11.send(h11.EndOfMessage()) or b"")

    def receive(self, data: bytes) -> Reply | None:
        """The reply once it is whole; b"" says that the connection has ended."""
        try:
            self._h11.receive_data(data)
            while True:
                event = self._h11.next_event()
                kind = type(event)
                if kind is h11.Response:
                    self._head, self._body, self._size = event, [], 0
                    stated = {
                        n: v for n, v in event.headers if n in (b"content-length", b"transfer-encoding")
                    }
                    if len(stated) != 1:
                        # None: its end could not be told from a break, and half an answer must not pass
                        # as one. Both: they contradict each other, and so would whoever reads it.
                        raise BrokenReplyError("a body without a stated length, or with two")
                    if int(stated.get(b"content-length", 0)) > self._limit:  # it need not come to be too long
                        raise BrokenReplyError("a body over the limit")
                elif kind is h11.Data:
                    self._size += len(event.data)
                    if self._size > self._limit:  # an endless body would fill the memory
                        raise BrokenReplyError("a body over the limit")
                    self._body.append(bytes(event.data))
                elif kind is h11.EndOfMessage:
                    head = self._head
                    return Reply(head.status_code, dict(head.headers), b"".join(self._body))
                elif event is h11.NEED_DATA:
                    if not data:
                        raise BrokenReplyError("the connection ended")
                    return None
                elif event is h11.PAUSED or kind is h11.ConnectionClosed:
                    raise BrokenReplyError("the connection ended or holds more than was asked for")
        except h11.RemoteProtocolError as fault:
            raise BrokenReplyError(str(fault)) from None

    @property
    def reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        return done and not self._h11.trailing_data[0]
