"""State records of requests, attempts and keys. The policy modules compute the times stored in them."""

from __future__ import annotations

from enum import IntEnum
from heapq import heappush
from math import inf
from typing import NamedTuple

from alderspool.balancer.endpoint import Attempt, CircuitKeys, circuit_keys
from alderspool.balancer.events import EndpointId, Request


class QueueRank(IntEnum):
    """Dispatch order of queued requests: the lowest rank goes first."""

    IN_TIME = 0
    OVER_QUOTA = 1  # the request's tenant exceeds its quota
    LATE = 2  # the request is unlikely to meet its latency objective


class KeyQueue:
    """Requests of one key, which must run one at a time in order of arrival. The first may be running."""

    __slots__ = ("quiesce_until", "requests")

    def __init__(self) -> None:
        self.requests: list[RequestState] = []
        self.quiesce_until = -inf  # until then, an attempt that ended here may still run at its endpoint

    def join(self, request: RequestState) -> None:
        """Append a request to the queue."""
        self.requests.append(request)
        request.key_queue = self
        request.awaits_key_turn = True


class KeyQueues:
    """The key queues of all keys in use."""

    __slots__ = ("by_key",)

    def __init__(self) -> None:
        self.by_key: dict[int, KeyQueue] = {}

    def of_key(self, key: int) -> KeyQueue:
        """Return the queue of a key, creating it if necessary."""
        return self.by_key.setdefault(key, KeyQueue())

    def drop_idle(self, now: float) -> None:
        """Drop the queues of keys that have quiesced and have no requests."""
        if self.by_key:
            self.by_key = {
                key: queue
                for key, queue in self.by_key.items()
                if queue.requests or queue.quiesce_until > now
            }


class RequestState:
    """A request that awaits its final response or has open attempts. Times are ms of the caller's clock."""

    __slots__ = (
        "attempts",
        "awaits_key_turn",
        "circuit_keys",
        "class_index",
        "deadline",
        "first_run_at",
        "first_run_cell",
        "first_run_zone",
        "id",
        "is_finished",
        "isolated_until",
        "key_queue",
        "may_have_run",
        "objective_at",
        "open_attempts",
        "queue_until",
        "rank",
        "respond_by",
        "traffic_class",
        "tried_endpoints",
    )

    # Set by the admission queue right after construction.
    respond_by: float  # latest time at which the balancer may send a rejection or failure of its own
    objective_at: float  # time at which the latency objective is missed
    queue_until: float  # if sent later, the request is unlikely to meet its latency objective
    isolated_until: float  # until then class isolation restricts it to its class's part of the endpoints

    def __init__(self, request: Request, traffic_class: int, deadline: float) -> None:
        self.id = request.id
        self.class_index = request.cls  # index into Settings.classes
        self.traffic_class = traffic_class  # class index, or part by cost hint where there is only one class
        self.circuit_keys: CircuitKeys = circuit_keys(traffic_class, request.tenant)
        self.deadline = deadline
        self.rank = QueueRank.IN_TIME
        self.attempts: list[Attempt | None] = []  # None: the attempt has ended
        self.tried_endpoints: list[EndpointId] = []
        self.open_attempts = 0
        self.is_finished = False  # has had its final response, or its client has disconnected
        self.key_queue: KeyQueue | None = None
        self.awaits_key_turn = False
        self.may_have_run = False  # some ended attempt is not proven never to have run
        # When, and to which zone and cell, the first attempt was sent that may have run.
        self.first_run_at = 0.0
        self.first_run_zone = 0
        self.first_run_cell = 0

    def begin_attempt(self, attempt: Attempt) -> None:
        """Record that an attempt was sent."""
        self.attempts.append(attempt)
        self.tried_endpoints.append(attempt.endpoint.id)
        self.open_attempts += 1

    def end_attempt(self, number: int) -> Attempt | None:
        """Record that an attempt has ended and return it; None if there is no such open attempt."""
        if number >= len(self.attempts):
            return None
        attempt = self.attempts[number]
        if attempt is not None:
            self.attempts[number] = None
            self.open_attempts -= 1
        return attempt


class EndedAttempt(NamedTuple):
    """The result of an attempt that has ended."""

    status: int  # an AttemptStatus
    sent_at: float
    latency_ms: float
    later_responses: int  # how many attempts sent to the endpoint later were served before this one ended


class QueueEntry(NamedTuple):
    """A heap entry of the admission queue, ordered by its first three fields.

    The sequence numbers are unique, so requests themselves are never compared.
    """

    rank: QueueRank
    negative_priority: float
    negative_sequence: int
    request: RequestState


class PriorityQueue:
    """Orders requests by rank, then by priority, highest first, then by time queued, latest first."""

    __slots__ = ("_sequence", "entries")

    def __init__(self) -> None:
        self.entries: list[QueueEntry] = []  # a heap
        self._sequence = 0

    def push(self, request: RequestState, priority: float) -> None:
        """Add a request."""
        self._sequence += 1
        heappush(self.entries, QueueEntry(request.rank, -priority, -self._sequence, request))
