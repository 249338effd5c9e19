"""Timer tokens: the low bits hold the kind of the timer, the bits above them the id of its request."""

from __future__ import annotations

from enum import IntEnum


class TimerKind(IntEnum):
    """The purpose of a timer. The values appear in recorded traces of the simulator: do not change them."""

    QUEUE = 0  # check the admission queue
    HEDGE = 1  # consider a hedge for a request
    WATCH = 2  # poll discovery again
    LOAD_REPORT = 3  # send a full load report to the peers
    KEY_TURN = 4  # check whether a request may run as the next one of its key


KIND_BITS = 3
KIND_MASK = (1 << KIND_BITS) - 1


def timer_token(kind: TimerKind, request_id: int = 0) -> int:
    """Return the token of a timer; timers of the whole instance need no request id."""
    return request_id << KIND_BITS | kind
