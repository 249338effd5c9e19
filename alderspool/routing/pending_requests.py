"""The table of pending requests, with their states and deadlines.

A request enters the table when it is submitted. It leaves once it is concluded (a final response was given,
or its client disconnected) and its last attempt has ended. The table does not know the balancer; it calls
back when a deadline passes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from alderspool.routing.clock import MS_PER_S, Clock
from alderspool.routing.messages import Attempt, ClientRequest, ResponseCallback

MAX_REQUEST_ID = (1 << 32) - 1  # ids wrap round to 1 after this; 0 is no id


class PendingState(Enum):
    """How far a request has come.

    The only transitions are from AWAITING_RESPONSE to one of the others, in `PendingRequestTable.conclude`.
    """

    AWAITING_RESPONSE = "awaiting response"
    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "client disconnected"


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its final response, or has attempts that have not ended."""

    id: int
    request: ClientRequest
    respond: ResponseCallback
    deadline: float  # ms on the Clock
    earliest_deadline: float  # if it waited as long as it may have waited before it was submitted
    timer: asyncio.TimerHandle  # for the deadline, then for the overdue response
    state: PendingState = PendingState.AWAITING_RESPONSE
    # Whether it needs no further response. Follows from `state`; a field since it is read several times per
    # request, and CPython 3.11 takes 0.1 us to look up a member of an enum (measured).
    is_concluded: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    running_attempts: int = 0  # those that have not ended


PendingCallback = Callable[[PendingRequest], None]


class PendingRequestTable:
    """Owns the pending requests, their ids and their timers.

    `on_deadline` is called once a request's deadline has passed, also when the request is concluded but
    attempts have not ended. `on_overdue` is called `response_slack_ms` later if there is still no conclusion.
    """

    def __init__(
        self,
        clock: Clock,
        response_slack_ms: float,
        on_deadline: PendingCallback,
        on_overdue: PendingCallback,
    ) -> None:
        """Start with no request; needs a running event loop."""
        self._clock = clock
        self._response_slack_s = response_slack_ms / MS_PER_S
        self._on_deadline = on_deadline
        self._on_overdue = on_overdue
        self._loop = asyncio.get_running_loop()
        self._pending: dict[int, PendingRequest] = {}
        self._client_request_ids: set[bytes] = set()
        self._last_id = 0

    def __len__(self) -> int:
        """Return how many requests are in the table, concluded or not."""
        return len(self._pending)

    @property
    def awaiting_response(self) -> list[PendingRequest]:
        """The requests without a conclusion, in order of submission."""
        return [pending for pending in self._pending.values() if not pending.is_concluded]

    def get(self, request_id: int) -> PendingRequest | None:
        """Return a request of the table, or None."""
        return self._pending.get(request_id)

    def has_client_request_id(self, client_request_id: bytes) -> bool:
        """Return whether a request with the client's own id is in the table."""
        return client_request_id in self._client_request_ids

    def is_concluded(self, request_id: int) -> bool:
        """Return whether a request needs no further response; true also if it has left the table."""
        pending = self._pending.get(request_id)
        return pending is None or pending.is_concluded

    def add(self, request: ClientRequest, respond: ResponseCallback, time_left_ms: float) -> PendingRequest:
        """Give a request an id, and start its deadline in `time_left_ms` from now."""
        request_id = self._last_id % MAX_REQUEST_ID + 1
        self._last_id = request_id
        deadline = self._clock.now() + time_left_ms
        earliest_deadline = deadline - max(request.longest_wait_ms - request.waited_ms, 0.0)
        timer = self._loop.call_at(self._clock.loop_time(deadline), self._deadline_passed, request_id)
        pending = PendingRequest(request_id, request, respond, deadline, earliest_deadline, timer)
        self._pending[request_id] = pending
        self._client_request_ids.add(request.client_request_id)
        return pending

    def conclude(self, pending: PendingRequest, state: PendingState) -> bool:
        """Move a request to its final state; return False, and change nothing, if it already has one."""
        if pending.is_concluded:
            return False
        pending.state = state
        pending.is_concluded = True
        return True

    def remove_if_finished(self, pending: PendingRequest) -> None:
        """Remove a request that is concluded and has no running attempt. May be called again."""
        if pending.running_attempts or not pending.is_concluded:
            return
        pending.timer.cancel()
        if self._pending.pop(pending.id, None) is not None:
            self._client_request_ids.discard(pending.request.client_request_id)

    def _deadline_passed(self, request_id: int) -> None:
        pending = self._pending.get(request_id)
        if pending is None:
            return
        self._on_deadline(pending)
        if not pending.is_concluded:
            pending.timer = self._loop.call_later(self._response_slack_s, self._overdue, request_id)

    def _overdue(self, request_id: int) -> None:
        pending = self._pending.get(request_id)
        if pending is not None and not pending.is_concluded:
            self._on_overdue(pending)
