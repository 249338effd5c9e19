"""The states of a client connection, and their transitions as data.

Only the states: what a connection does in them is in `client_connection`. The enums are integers, as these
are hashed in C: several transitions are looked up per request.
"""

from __future__ import annotations

from enum import IntEnum, auto


class ConnectionState(IntEnum):
    """What a client connection is doing. At most one request of it is pending at a time."""

    IDLE = auto()  # nothing of a request has been received since the last response
    RECEIVING = auto()  # part of a request has been received, or a complete one that is not submitted yet
    REQUEST_PENDING = auto()  # a request has been submitted to the exchange; its response is outstanding
    NEXT_REQUEST_WAITING = auto()  # the same, and a further complete request waits behind it, nothing is read
    LINGERING_CLOSE = auto()  # our sending has ended; input is read and discarded until the client closes
    CLOSED = auto()  # nothing is read any more; a response may still be on its way


class ConnectionEvent(IntEnum):
    """What changes the state of a client connection."""

    REQUEST_STARTED = auto()  # something of a request has been received
    REQUEST_SUBMITTED = auto()
    NEXT_REQUEST_COMPLETE = auto()
    RESPONDED = auto()  # and nothing of a further request has been received
    RESPONDED_WITH_INPUT_LEFT = auto()  # and something of a further request has been received
    SENDING_ENDED = auto()
    READING_ENDED = auto()


# These are used several times per request, and looking up a member of an enum class takes 0.1 us.
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

# An event changes nothing in a state for which it has no entry.
TRANSITIONS: dict[tuple[ConnectionState, ConnectionEvent], ConnectionState] = {
    (IDLE, REQUEST_STARTED): RECEIVING,
    (RECEIVING, REQUEST_SUBMITTED): REQUEST_PENDING,
    (REQUEST_PENDING, ConnectionEvent.NEXT_REQUEST_COMPLETE): NEXT_REQUEST_WAITING,
    (RECEIVING, RESPONDED): IDLE,  # a response without the exchange, as to GET /ready
    (REQUEST_PENDING, RESPONDED): IDLE,
    (NEXT_REQUEST_WAITING, RESPONDED): IDLE,
    (REQUEST_PENDING, RESPONDED_WITH_INPUT_LEFT): RECEIVING,
    (NEXT_REQUEST_WAITING, RESPONDED_WITH_INPUT_LEFT): RECEIVING,
    (IDLE, ConnectionEvent.SENDING_ENDED): LINGERING_CLOSE,
    (RECEIVING, ConnectionEvent.SENDING_ENDED): LINGERING_CLOSE,
    **{(state, ConnectionEvent.READING_ENDED): CLOSED for state in ConnectionState},
}
