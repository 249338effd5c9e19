"""Timer tokens: the kind of a timer in the low bits, the request that it is for above them."""

from __future__ import annotations

from enum import IntEnum


class TimerKind(IntEnum):
    """What is due when a timer fires. The values are part of the recorded traces of the simulator."""

    QUEUE = 0  # the admission queue is looked at
    HEDGE = 1  # a request may be hedged
    WATCH = 2  # discovery is polled again
    LOAD_REPORT = 3  # peers get a full load report
    KEY_TURN = 4  # a request may be the next of its key


KIND_BITS = 3
KIND_MASK = (1 << KIND_BITS) - 1


def timer_token(kind: TimerKind, request_id: int = 0) -> int:
    """Return the token of a timer; without a request it is for the whole instance."""
    return request_id << KIND_BITS | kind
