"""State transitions of a client connection, and the limits of a lingering close. No I/O."""

from __future__ import annotations

import pytest

from alderspool.transport import lingering_close
from alderspool.transport.connection_state import TRANSITIONS, ConnectionEvent, ConnectionState
from alderspool.transport.lingering_close import LINGER_LIMIT_BYTES, LingeringCloseStep

State, Event = ConnectionState, ConnectionEvent


def state_after(*events: ConnectionEvent) -> ConnectionState:
    """Return the state that a new connection has after these events."""
    state = State.IDLE
    for event in events:
        state = TRANSITIONS.get((state, event), state)
    return state


@pytest.mark.parametrize(
    ("events", "state"),
    [
        pytest.param([], State.IDLE, id="new"),
        pytest.param([Event.REQUEST_STARTED], State.RECEIVING, id="partial-request"),
        pytest.param([Event.REQUEST_STARTED] * 2, State.RECEIVING, id="request-in-several-parts"),
        pytest.param(
            [Event.REQUEST_STARTED, Event.REQUEST_SUBMITTED], State.REQUEST_PENDING, id="request-pending"
        ),
        pytest.param(
            [Event.REQUEST_STARTED, Event.REQUEST_SUBMITTED, Event.REQUEST_STARTED],
            State.REQUEST_PENDING,
            id="part-of-a-request-behind-a-pending-one",
        ),
        pytest.param(
            [Event.REQUEST_STARTED, Event.REQUEST_SUBMITTED, Event.NEXT_REQUEST_COMPLETE],
            State.NEXT_REQUEST_WAITING,
            id="complete-request-behind-a-pending-one",
        ),
        pytest.param(
            [Event.REQUEST_STARTED, Event.REQUEST_SUBMITTED, Event.RESPONDED], State.IDLE, id="responded"
        ),
        pytest.param(
            [
                Event.REQUEST_STARTED,
                Event.REQUEST_SUBMITTED,
                Event.NEXT_REQUEST_COMPLETE,
                Event.RESPONDED_WITH_INPUT_LEFT,
            ],
            State.RECEIVING,
            id="responded-with-a-request-waiting",
        ),
        pytest.param([Event.REQUEST_STARTED, Event.RESPONDED], State.IDLE, id="readiness-query"),
        pytest.param([Event.WRITE_SIDE_CLOSED], State.LINGERING_CLOSE, id="idle-write-side-closed"),
        pytest.param(
            [Event.REQUEST_STARTED, Event.WRITE_SIDE_CLOSED],
            State.LINGERING_CLOSE,
            id="partial-request-write-side-closed",
        ),
    ],
)
def test_state_after_events(events: list[ConnectionEvent], state: ConnectionState) -> None:
    assert state_after(*events) is state


@pytest.mark.parametrize("event", [event for event in Event if event is not Event.READING_ENDED])
@pytest.mark.parametrize("state", [State.LINGERING_CLOSE, State.CLOSED])
def test_ending_connection_accepts_no_request(state: ConnectionState, event: ConnectionEvent) -> None:
    assert TRANSITIONS.get((state, event), state) is state


@pytest.mark.parametrize("state", list(State))
def test_connection_is_closed_when_reading_ends(state: ConnectionState) -> None:
    assert TRANSITIONS[state, Event.READING_ENDED] is State.CLOSED


@pytest.mark.parametrize("state", [State.REQUEST_PENDING, State.NEXT_REQUEST_WAITING])
def test_write_side_is_not_closed_while_a_request_is_pending(state: ConnectionState) -> None:
    assert (state, Event.WRITE_SIDE_CLOSED) not in TRANSITIONS


@pytest.mark.parametrize(
    ("elapsed_s", "unsent_bytes", "step"),
    [
        pytest.param(0.4, 0, LingeringCloseStep.CONTINUE, id="before-the-timeout"),
        pytest.param(0.6, 0, LingeringCloseStep.CLOSE, id="after-the-timeout"),
        pytest.param(0.6, 1, LingeringCloseStep.CONTINUE, id="response-not-sent-yet"),
        pytest.param(2.2, 1, LingeringCloseStep.ABORT, id="response-never-read"),
        pytest.param(2.2, 0, LingeringCloseStep.ABORT, id="close-does-not-complete"),
    ],
)
def test_lingering_close_step(elapsed_s: float, unsent_bytes: int, step: LingeringCloseStep) -> None:
    assert lingering_close.next_step(elapsed_s, unsent_bytes) is step


def test_lingering_close_discards_input_up_to_its_limit() -> None:
    assert not lingering_close.exceeds_limit(LINGER_LIMIT_BYTES)
    assert lingering_close.exceeds_limit(LINGER_LIMIT_BYTES + 1)
