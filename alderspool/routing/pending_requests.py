"""The table of pending requests, with their states and deadlines.

A request is added when it is submitted. It is removed once it is concluded (the final response was given, or
the client disconnected) and its last attempt has ended. The table does not depend on the balancer; it reports
passed deadlines through callbacks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from alderspool.routing.abandoned_request_ids import AbandonedRequestIds
from alderspool.routing.clock import MS_PER_S, Clock
from alderspool.routing.messages import Attempt, ClientRequest, ResponseCallback

MAX_REQUEST_ID = (1 << 32) - 1  # the next id after this is 1 again; 0 is not a valid id


class PendingState(Enum):
    """State of a request.

    AWAITING_RESPONSE is the initial state, and the others are final. The state changes only in
    `PendingRequestTable.conclude`.
    """

    AWAITING_RESPONSE = "awaiting response"
    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "client disconnected"


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its final response or has running attempts."""

    id: int
    request: ClientRequest
    respond: ResponseCallback
    deadline: float  # in Clock milliseconds
    timer: asyncio.TimerHandle  # first for `deadline`, then for the overdue response
    state: PendingState = PendingState.AWAITING_RESPONSE
    # Whether no further response is needed. Redundant with `state`, but stored for speed: it is read several
    # times per request, and looking up an enum member takes 0.1 us in CPython 3.11.
    is_concluded: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    running_attempts: int = 0  # number of attempts that have not ended
    may_have_run: bool = False  # an attempt has ended without proof that it never ran


PendingCallback = Callable[[PendingRequest], None]


class PendingRequestTable:
    """Manages the pending requests, their ids and their timers.

    `on_deadline` is called when the deadline of a request passes, even if the request is concluded and only
    attempts are still running. `on_overdue` is called `response_slack_ms` later if the request is still not
    concluded.
    """

    def __init__(
        self,
        clock: Clock,
        response_slack_ms: float,
        on_deadline: PendingCallback,
        on_overdue: PendingCallback,
    ) -> None:
        """Create an empty table. Must be called with a running event loop."""
        self._clock = clock
        self._response_slack_s = response_slack_ms / MS_PER_S
        self._on_deadline = on_deadline
        self._on_overdue = on_overdue
        self._loop = asyncio.get_running_loop()
        self._pending: dict[int, PendingRequest] = {}
        self._client_request_ids: set[bytes] = set()
        self._abandoned_ids = AbandonedRequestIds()
        self._last_id = 0

    def __len__(self) -> int:
        """Return the number of requests in the table, including concluded ones."""
        return len(self._pending)

    @property
    def awaiting_response(self) -> list[PendingRequest]:
        """The requests that are not concluded, in order of submission."""
        return [pending for pending in self._pending.values() if not pending.is_concluded]

    def get(self, request_id: int) -> PendingRequest | None:
        """Return a request by its id, or None if it is not in the table."""
        return self._pending.get(request_id)

    def has_client_request_id(self, client_request_id: bytes) -> bool:
        """Return whether a request with this client-assigned id is in the table."""
        return client_request_id in self._client_request_ids

    def may_have_run_abandoned(self, client_request_id: bytes) -> bool:
        """Return whether a request with this id may have run, and its client left before a response."""
        return self._abandoned_ids.contains(client_request_id, self._clock.now())

    def is_concluded(self, request_id: int) -> bool:
        """Return whether a request needs no further response. True also if it is not in the table."""
        pending = self._pending.get(request_id)
        return pending is None or pending.is_concluded

    def add(self, request: ClientRequest, respond: ResponseCallback, time_left_ms: float) -> PendingRequest:
        """Add a request under a new id, with its deadline `time_left_ms` from now, and start its timer."""
        request_id = self._last_id % MAX_REQUEST_ID + 1
        self._last_id = request_id
        deadline = self._clock.now() + time_left_ms
        timer = self._loop.call_at(self._clock.loop_time(deadline), self._deadline_passed, request_id)
        pending = PendingRequest(request_id, request, respond, deadline, timer)
        self._pending[request_id] = pending
        self._client_request_ids.add(request.client_request_id)
        return pending

    def conclude(self, pending: PendingRequest, state: PendingState) -> bool:
        """Set the final state of a request. Return False and change nothing if it already has one."""
        if pending.is_concluded:
            return False
        pending.state = state
        pending.is_concluded = True
        return True

    def remove_if_finished(self, pending: PendingRequest) -> None:
        """Remove a request if it is concluded and has no running attempts. Safe to call repeatedly."""
        if pending.running_attempts or not pending.is_concluded:
            return
        pending.timer.cancel()
        if self._pending.pop(pending.id, None) is not None:
            self._client_request_ids.discard(pending.request.client_request_id)
            if pending.may_have_run and pending.state is PendingState.CLIENT_DISCONNECTED:
                self._abandoned_ids.record(pending.request.client_request_id, self._clock.now())

    def _deadline_passed(self, request_id: int) -> None:
        pending = self._pending.get(request_id)
        if pending is None:
            return
        self._on_deadline(pending)
        if not pending.is_concluded:
            pending.timer = self._loop.call_later(self._response_slack_s, self._response_overdue, request_id)

    def _response_overdue(self, request_id: int) -> None:
        pending = self._pending.get(request_id)
        if pending is not None and not pending.is_concluded:
            self._on_overdue(pending)
