"""The states of a client connection and the table of their transitions.

What a connection does in each state is in `client_connection`. The enums are integers because these are
hashed in C, and several transitions are looked up per request.
"""

from __future__ import annotations

from enum import IntEnum, auto


class ConnectionState(IntEnum):
    """State of a client connection. At most one of its requests is pending at a time."""

    IDLE = auto()  # nothing of a request has been received since the last response
    RECEIVING = auto()  # part of a request has been received, or a complete one that is not submitted yet
    REQUEST_PENDING = auto()  # a request has been submitted to the exchange and not been answered yet
    NEXT_REQUEST_WAITING = auto()  # as REQUEST_PENDING, with a complete pipelined request; reading is paused
    LINGERING_CLOSE = auto()  # the write side is closed; input is discarded until the client closes
    CLOSED = auto()  # reading has ended; a buffered response may still be being sent


class ConnectionEvent(IntEnum):
    """Event that may change the state of a client connection."""

    REQUEST_STARTED = auto()  # the first bytes of a request have been received
    REQUEST_SUBMITTED = auto()
    NEXT_REQUEST_COMPLETE = auto()
    RESPONDED = auto()  # a response has been sent, and nothing of a further request has been received
    RESPONDED_WITH_INPUT_LEFT = auto()  # a response has been sent, and further input has been received
    WRITE_SIDE_CLOSED = auto()
    READING_ENDED = auto()


# Module-level aliases for the hot path: looking up a member on an enum class takes 0.1 us, and these are used
# several times per request.
IDLE = ConnectionState.IDLE
RECEIVING = ConnectionState.RECEIVING
REQUEST_PENDING = ConnectionState.REQUEST_PENDING
NEXT_REQUEST_WAITING = ConnectionState.NEXT_REQUEST_WAITING
LINGERING_CLOSE = ConnectionState.LINGERING_CLOSE
CLOSED = ConnectionState.CLOSED
REQUEST_STARTED = ConnectionEvent.REQUEST_STARTED
REQUEST_SUBMITTED = ConnectionEvent.REQUEST_SUBMITTED
RESPONDED = ConnectionEvent.RESPONDED
RESPONDED_WITH_INPUT_LEFT = ConnectionEvent.RESPONDED_WITH_INPUT_LEFT

# An event without an entry for the current state leaves the state unchanged.
TRANSITIONS: dict[tuple[ConnectionState, ConnectionEvent], ConnectionState] = {
    (IDLE, REQUEST_STARTED): RECEIVING,
    (RECEIVING, REQUEST_SUBMITTED): REQUEST_PENDING,
    (REQUEST_PENDING, ConnectionEvent.NEXT_REQUEST_COMPLETE): NEXT_REQUEST_WAITING,
    (RECEIVING, RESPONDED): IDLE,  # answered without the exchange, as GET /ready is
    (REQUEST_PENDING, RESPONDED): IDLE,
    (NEXT_REQUEST_WAITING, RESPONDED): IDLE,
    (REQUEST_PENDING, RESPONDED_WITH_INPUT_LEFT): RECEIVING,
    (NEXT_REQUEST_WAITING, RESPONDED_WITH_INPUT_LEFT): RECEIVING,
    (IDLE, ConnectionEvent.WRITE_SIDE_CLOSED): LINGERING_CLOSE,
    (RECEIVING, ConnectionEvent.WRITE_SIDE_CLOSED): LINGERING_CLOSE,
    **{(state, ConnectionEvent.READING_ENDED): CLOSED for state in ConnectionState},
}
