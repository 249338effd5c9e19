"""One client connection: its state, the sending of responses, and closing it.

`request_loop` reads and submits requests; `connection_table` handles eviction, timeouts and draining across
all connections.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple, Protocol

from alderspool.protocol.client_messages import ClientResponse, as_client_response, invalid_request_as_http
from alderspool.protocol.http_parts import CodecFailure
from alderspool.protocol.http_server import OUT_OF_MEMORY, REQUEST_TIMEOUT, HttpServerCodec
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
from alderspool.transport.memory_budget import MemoryBudget
from alderspool.transport.processing_turns import TurnTaker
from alderspool.transport.streams import (
    CountingReader,
    has_input_in_kernel,
    is_open_without_input,
    peer_has_closed,
)

# Keyed by the state and whether a response has been sent. A connection in a state without an entry must not
# be evicted: it has a pending request, or is closed.
EVICTION_CLASSES = {
    (IDLE, False): EvictionClass.UNSERVED_IDLE,
    (IDLE, True): EvictionClass.SERVED_IDLE,
    (RECEIVING, False): EvictionClass.UNSERVED_PARTIAL,
    (RECEIVING, True): EvictionClass.SERVED_PARTIAL,
    (LINGERING_CLOSE, False): EvictionClass.LINGERING,
    (LINGERING_CLOSE, True): EvictionClass.LINGERING,
}


# A response that changes no more than this is counted in the memory budget later, to save time.
UNCOUNTED_BYTES = 4 * 1024


class ReceivedData(NamedTuple):
    """A piece of input, and when it arrived on the clock of the event loop."""

    data: bytes
    received_at_s: float


class ConnectionOwner(Protocol):
    """The part of `ConnectionTable` that a connection uses."""

    @property
    def closes_after_response(self) -> bool:
        """Whether to close a connection after a response, unless further input has been received."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop; its clock is used for connection timeouts."""

    @property
    def memory(self) -> MemoryBudget:
        """The budget in which the connection's memory is counted."""

    def update_eviction(self, connection: ClientConnection) -> None:
        """Update the connection's place in the eviction order after a state change."""

    def uncount_keep_alive(self, connection: ClientConnection) -> None:
        """Stop counting a connection towards the limit on keep-alive connections."""


class ClientConnection:
    """One client connection, from its accept until its last byte is sent."""

    def __init__(
        self,
        owner: ConnectionOwner,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._owner = owner
        self.reader = reader
        self.writer = writer
        self.codec = HttpServerCodec()
        self.state = IDLE
        self.turn_taker = TurnTaker()
        # Input that has been read, and is parsed when the connection's turn comes.
        self.unparsed: ReceivedData | None = None
        # Everything before the request that is arriving had been read when it began to arrive: so the client
        # was still there then.
        self.is_caught_up = False
        self.memory_bytes = 0  # as counted in the owner's memory budget
        self.request_id = 0  # the exchange's id of the pending request; 0: none
        self.has_submitted = False  # a request has been submitted: counted as a keep-alive connection
        self.has_responded = False  # at least one response has been sent
        self.response_sent = asyncio.Event()
        # Timeouts are measured from this time: the accept, the last response, the first byte of a further
        # request, or the start of the lingering close, whichever came last.
        self.timeout_started_s = owner.loop.time()
        self._discarded_bytes = 0  # during the lingering close
        self._timeout_deferred = False  # see reject_incomplete

    # ---- state -----------------------------------------------------------------------------------

    def apply_event(self, event: ConnectionEvent) -> None:
        """Change the state according to TRANSITIONS."""
        self.state = TRANSITIONS.get((self.state, event), self.state)

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has been read since the last response."""
        return self.state is IDLE

    @property
    def is_ending(self) -> bool:
        """Whether the connection accepts no further requests."""
        return self.state is LINGERING_CLOSE or self.state is CLOSED

    @property
    def has_pending_request(self) -> bool:
        """Whether a request has been submitted and not been answered yet."""
        return self.state is REQUEST_PENDING or self.state is NEXT_REQUEST_WAITING

    @property
    def awaits_request(self) -> bool:
        """Whether the connection is neither processing a request nor ending."""
        return self.state is IDLE or self.state is RECEIVING

    @property
    def is_closing(self) -> bool:
        """Whether the socket is being closed, by the proxy or after a client disconnect."""
        return self.writer.transport.is_closing()

    @property
    def eviction_class(self) -> EvictionClass | None:
        """The eviction class; None if the connection must not be evicted."""
        return EVICTION_CLASSES.get((self.state, self.has_responded))

    def is_disconnected(self) -> bool:
        """Return whether the client has closed the connection, or only its write side, which counts the same.

        Also detects this while reading is paused because of a pending request, and while input is unread.
        """
        return peer_has_closed(self.writer)

    def may_hide_disconnect(self) -> bool:
        """Return whether the end of the connection may be behind input that the proxy has not read yet."""
        return has_input_in_kernel(self.writer)

    @property
    def is_read_ahead_full(self) -> bool:
        """Whether reading is paused, because the client has sent too much behind a request."""
        return not self.writer.transport.is_reading()  # type: ignore[attr-defined]  # of a read transport

    def is_open_without_input(self) -> bool:
        """Return whether the connection is open and has no unread or unparsed input."""
        return self.unparsed is None and is_open_without_input(self.reader, self.writer)

    # ---- requests and responses ------------------------------------------------------------------

    def restart_timeout(self) -> None:
        """Measure timeouts from now."""
        self.timeout_started_s = self._owner.loop.time()

    def parse(self) -> None:
        """Parse the input that has been read."""
        if self.unparsed is None:
            return
        received = self.unparsed
        self.unparsed = None
        self.codec.receive(received.data, received.received_at_s)
        if self.state is IDLE and not self.codec.is_idle:
            self.apply_event(REQUEST_STARTED)
        self.update_memory()
        self._owner.update_eviction(self)

    def begin_request(self) -> None:
        """Change the state just before a request is submitted."""
        self.apply_event(REQUEST_SUBMITTED)
        self._owner.update_eviction(self)

    def respond(self, final: FinalResponse) -> None:
        """Send the final response to the pending request. Used as the exchange's response callback."""
        self.request_id = 0
        self.send(as_client_response(final))

    def send(self, response: ClientResponse, is_last: bool = False) -> None:
        """Send a response; `is_last`: close the connection after it, whatever further input there is.

        Writes into the stream's buffer without waiting. Nothing is sent if the socket is already closing.
        """
        # With further input the connection stays open, to serve the request that has begun to arrive.
        close = is_last or (self._owner.closes_after_response and not self._has_further_input())
        self.timeout_started_s = self._owner.loop.time()
        self.has_responded = True
        self._timeout_deferred = False
        if self.writer.transport.is_closing():
            self.apply_event(RESPONDED_WITH_INPUT_LEFT)
            return
        encoded = self.codec.compose(response.status, response.body, response.headers, close)
        self.apply_event(RESPONDED if self.codec.is_idle else RESPONDED_WITH_INPUT_LEFT)
        self.writer.write(encoded.data)
        if self.memory_bytes > UNCOUNTED_BYTES or len(encoded.data) > UNCOUNTED_BYTES:
            self.update_memory()
        if encoded.closes_connection:
            self.begin_lingering_close()
        self._owner.update_eviction(self)
        self.response_sent.set()

    def _has_further_input(self) -> bool:
        return self.codec.has_further_input or not self.is_open_without_input()

    def send_continue(self) -> None:
        """Send 100 Continue, so that the client sends the request body."""
        self.writer.write(self.codec.compose_continue())

    # ---- closing -----------------------------------------------------------------------------------

    def begin_lingering_close(self) -> None:
        """Close the write side, and discard input from now on. See `lingering_close` for the reason."""
        if not self.awaits_request:
            return
        self.apply_event(ConnectionEvent.WRITE_SIDE_CLOSED)
        self.restart_timeout()
        self._owner.uncount_keep_alive(self)
        self._owner.update_eviction(self)
        with contextlib.suppress(OSError):  # the client has disconnected
            self.writer.write_eof()
        self.response_sent.set()

    def discard(self, byte_count: int) -> bool:
        """Count input discarded during the lingering close; return whether it is within the limit."""
        self._discarded_bytes += byte_count
        return not lingering_close.exceeds_limit(self._discarded_bytes)

    def discard_unparsed(self) -> None:
        """Discard input that has been read but not parsed when the lingering close began."""
        if self.unparsed is not None:
            self.discard(len(self.unparsed.data))
            self.unparsed = None

    def check_lingering_close(self, now_s: float) -> None:
        """Close or abort the connection if its lingering close has timed out."""
        unsent_bytes = self.writer.transport.get_write_buffer_size()
        step = lingering_close.next_step(now_s - self.timeout_started_s, unsent_bytes)
        if step is LingeringCloseStep.ABORT:
            self.abort()
        elif step is LingeringCloseStep.CLOSE:
            self.writer.close()

    def close_if_idle(self) -> bool:
        """If the connection is idle without unread input, begin a lingering close and return True."""
        if not self.is_idle or not self.is_open_without_input():
            return False
        self.begin_lingering_close()
        return True

    def reject_incomplete(self) -> bool:
        """End a connection that has sent only part of a request, with a 408; return whether it was ended.

        A connection with a complete request, which is about to be processed, stays open. If input is unread,
        for example after this process was suspended, it may be the rest of the request: then the timeout is
        deferred once.
        """
        if self.codec.has_complete_request:
            return False
        if not self._timeout_deferred and self.awaits_request and not self.is_open_without_input():
            self._timeout_deferred = True
            return False
        self._abandon_request(REQUEST_TIMEOUT)
        return True

    def _abandon_request(self, failure: CodecFailure) -> None:
        invalid = self.codec.abandon_message(failure) if self.awaits_request else None
        if invalid is not None:
            self.send(invalid_request_as_http(invalid), is_last=True)
        self.begin_lingering_close()

    # ---- memory ------------------------------------------------------------------------------------

    def update_memory(self) -> None:
        """Count what the connection holds now in the memory budget."""
        unparsed_bytes = len(self.unparsed.data) if self.unparsed is not None else 0
        unsent_bytes = self.writer.transport.get_write_buffer_size()
        held_bytes = self.reader.unread + unparsed_bytes + self.codec.memory_bytes + unsent_bytes
        self._owner.memory.change(held_bytes - self.memory_bytes)
        self.memory_bytes = held_bytes

    def release_memory(self) -> None:
        """Stop counting the connection in the memory budget."""
        self._owner.memory.change(-self.memory_bytes)
        self.memory_bytes = 0

    @property
    def exceeds_guaranteed_memory(self) -> bool:
        """Whether the connection holds more memory than every connection may always hold."""
        return self.memory_bytes > self._owner.memory.guaranteed_bytes

    @property
    def can_shed_memory(self) -> bool:
        """Whether the connection holds an incomplete request, which can be rejected."""
        return self.awaits_request and not self.codec.has_complete_request and not self.is_closing

    def shed_memory(self) -> None:
        """Reject an incomplete request, and free its memory. The client may safely send it again."""
        self._abandon_request(OUT_OF_MEMORY)
        self.update_memory()

    def abort(self) -> None:
        """Close the socket at once, and discard unsent data."""
        self.writer.transport.abort()
