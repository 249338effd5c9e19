"""One client connection: its state, its responses, and how it ends.

Reading and submitting requests is in `request_loop`; what concerns all connections together (eviction,
timeouts, draining) is in `connection_table`.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol

from alderspool.protocol.client_messages import ClientResponse, as_client_response, invalid_request_as_http
from alderspool.protocol.http_server import HttpServerCodec
from alderspool.routing.messages import FinalResponse
from alderspool.transport import lingering_close
from alderspool.transport.connection_state import (
    CLOSED,
    IDLE,
    LINGERING_CLOSE,
    NEXT_REQUEST_WAITING,
    RECEIVING,
    REQUEST_PENDING,
    REQUEST_STARTED,
    REQUEST_SUBMITTED,
    RESPONDED,
    RESPONDED_WITH_INPUT_LEFT,
    TRANSITIONS,
    ConnectionEvent,
)
from alderspool.transport.eviction import EvictionClass
from alderspool.transport.lingering_close import LingeringCloseStep
from alderspool.transport.streams import CountingReader, has_ended, is_quiet

# By the state, and whether a response has been sent. States without an entry: it must not be evicted, as a
# request is pending.
EVICTION_CLASSES = {
    (IDLE, False): EvictionClass.UNSERVED_IDLE,
    (IDLE, True): EvictionClass.SERVED_IDLE,
    (RECEIVING, False): EvictionClass.UNSERVED_PARTIAL,
    (RECEIVING, True): EvictionClass.SERVED_PARTIAL,
    (LINGERING_CLOSE, False): EvictionClass.LINGERING,
    (LINGERING_CLOSE, True): EvictionClass.LINGERING,
}


class ConnectionOwner(Protocol):
    """What a connection needs of the table that it is in."""

    @property
    def closes_after_response(self) -> bool:
        """Whether a connection is to end with a response unless further input has been received."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop, whose clock times the connections."""

    def update_eviction(self, connection: ClientConnection) -> None:
        """Note that the state of a connection has changed."""

    def forget_requester(self, connection: ClientConnection) -> None:
        """Stop counting a connection among those that have sent a request."""


class ClientConnection:
    """One client connection, from its accept until its last byte is sent.

    `earliest_arrival_s`: what the client sends first may have arrived as early as this, on the event loop's
    clock; None: it cannot have waited in the accept queue.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        earliest_arrival_s: float | None,
    ) -> None:
        self._owner = owner
        self.reader = reader
        self.writer = writer
        self.codec = HttpServerCodec()
        self.state = IDLE
        self.request_id = 0  # of the pending request in the exchange; 0: none
        self.has_submitted = False  # a request of it has been submitted
        self.has_responded = False  # at least one response has been sent
        self.response_sent = asyncio.Event()
        # Timeouts count from here: the connecting, the last response, the first byte of a further request, or
        # the begin of the lingering close.
        self.timeout_started_s = owner.loop.time()
        self.earliest_arrival_s = earliest_arrival_s
        self._discarded_bytes = 0  # in the lingering close
        self._timeout_deferred = False  # see reject_incomplete

    # ---- state -----------------------------------------------------------------------------------

    def apply(self, event: ConnectionEvent) -> None:
        """Change the state by the table of transitions."""
        self.state = TRANSITIONS.get((self.state, event), self.state)

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has been read since the last response."""
        return self.state is IDLE

    @property
    def is_ending(self) -> bool:
        """Whether it processes no further requests."""
        return self.state is LINGERING_CLOSE or self.state is CLOSED

    @property
    def has_pending_request(self) -> bool:
        """Whether the response to a submitted request is outstanding."""
        return self.state is REQUEST_PENDING or self.state is NEXT_REQUEST_WAITING

    @property
    def awaits_request(self) -> bool:
        """Whether it is neither processing a request nor ending."""
        return self.state is IDLE or self.state is RECEIVING

    @property
    def is_closing(self) -> bool:
        """Whether its socket is being closed, by us or since the client is disconnected."""
        return self.writer.transport.is_closing()

    @property
    def eviction_class(self) -> EvictionClass | None:
        """What its eviction would cost; None: it may not be evicted, as a request is pending."""
        return EVICTION_CLASSES.get((self.state, self.has_responded))

    def is_disconnected(self) -> bool:
        """Return whether its client has closed the connection or ended its sending, which count as the same.

        Detected also while nothing is read since a request is pending, and behind input that is unread.
        """
        return has_ended(self.writer)

    def is_quiet(self) -> bool:
        """Return whether it is open with no unread input."""
        return is_quiet(self.reader, self.writer)

    # ---- requests and responses ------------------------------------------------------------------

    def restart_timeout(self) -> None:
        """Let the timeouts count from now."""
        self.timeout_started_s = self._owner.loop.time()

    def receive(self, data: bytes, received_at_s: float, earliest_arrival_s: float) -> None:
        """Take in bytes of requests that were read; for the times see `HttpServerCodec.receive`."""
        self.codec.receive(data, received_at_s, earliest_arrival_s)
        if self.state is IDLE and not self.codec.is_idle:
            self.apply(REQUEST_STARTED)
        self._owner.update_eviction(self)

    def begin_request(self) -> None:
        """Note that a request of it is about to be submitted."""
        self.apply(REQUEST_SUBMITTED)
        self._owner.update_eviction(self)

    def respond(self, final: FinalResponse) -> None:
        """Send the final response to the pending request."""
        self.request_id = 0
        self.send(as_client_response(final))

    def send(self, response: ClientResponse, is_last: bool = False) -> None:
        """Send a response; `is_last`: nothing that follows on this connection is to be read.

        Writes into the stream's buffer and does not wait. Nothing is sent where the socket is closing.
        """
        # A connection with further input stays open: the request that has begun to arrive is to be served.
        close = is_last or (self._owner.closes_after_response and not self._has_further_input())
        self.timeout_started_s = self._owner.loop.time()
        self.has_responded = True
        self._timeout_deferred = False
        if self.writer.transport.is_closing():
            self.apply(RESPONDED_WITH_INPUT_LEFT)
            return
        encoded = self.codec.compose(response.status, response.body, response.headers, close)
        self.apply(RESPONDED if self.codec.is_idle else RESPONDED_WITH_INPUT_LEFT)
        self.writer.write(encoded.data)
        if encoded.closes_connection:
            self.begin_lingering_close()
        self._owner.update_eviction(self)
        self.response_sent.set()

    def _has_further_input(self) -> bool:
        return self.codec.has_further_input or not self.is_quiet()

    def send_continue(self) -> None:
        """Send the interim response that lets the client send the body of its request."""
        self.writer.write(self.codec.compose_continue())

    # ---- the end of the connection ----------------------------------------------------------------

    def begin_lingering_close(self) -> None:
        """End our sending; from now on input is discarded. See `lingering_close` for the reason."""
        if not self.awaits_request:
            return
        self.apply(ConnectionEvent.SENDING_ENDED)
        self.restart_timeout()
        self._owner.forget_requester(self)
        self._owner.update_eviction(self)
        with contextlib.suppress(OSError):  # the client is disconnected
            self.writer.write_eof()
        self.response_sent.set()

    def discard(self, byte_count: int) -> bool:
        """Count input that is discarded in the lingering close; return whether more of it may be read."""
        self._discarded_bytes += byte_count
        return not lingering_close.exceeds_limit(self._discarded_bytes)

    def check_lingering_close(self, now_s: float) -> None:
        """End a lingering close that has reached a time limit."""
        unsent_bytes = self.writer.transport.get_write_buffer_size()
        step = lingering_close.next_step(now_s - self.timeout_started_s, unsent_bytes)
        if step is LingeringCloseStep.ABORT:
            self.abort()
        elif step is LingeringCloseStep.CLOSE:
            self.writer.close()

    def close_if_idle(self) -> bool:
        """Begin the lingering close of an idle connection without unread input; return whether it was one."""
        if not self.is_idle or not self.is_quiet():
            return False
        self.begin_lingering_close()
        return True

    def reject_incomplete(self) -> bool:
        """End a connection that has sent only part of a request, with a 408; return whether it was ended.

        A complete request that is about to be processed is left alone. Where input is unread, as after a
        pause of this process, the rest of the request may be there: then the end is deferred, once.
        """
        if self.codec.has_complete_request:
            return False
        if not self._timeout_deferred and self.awaits_request and not self.is_quiet():
            self._timeout_deferred = True
            return False
        invalid = self.codec.time_out() if self.awaits_request else None
        if invalid is not None:
            self.send(invalid_request_as_http(invalid), is_last=True)
        self.begin_lingering_close()
        return True

    def abort(self) -> None:
        """Close the socket at once and drop what is not sent yet."""
        self.writer.transport.abort()
