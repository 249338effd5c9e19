"""Records of requests, attempts and keys. They choose nothing: policy modules set their times."""

from __future__ import annotations

from enum import IntEnum
from heapq import heappush
from math import inf
from typing import NamedTuple

from alderspool.balancer.endpoint import Attempt, CircuitKeys, circuit_keys
from alderspool.balancer.events import EndpointId, Request


class QueueRank(IntEnum):
    """Which queued requests are dispatched first: the lowest rank."""

    IN_TIME = 0
    OVER_QUOTA = 1  # its tenant sends more than its quota
    LATE = 2  # it can hardly meet its latency objective any more


class KeyQueue:
    """Requests of one key that must run one at a time, in order of arrival; the first may be running."""

    __slots__ = ("quiesce_until", "requests")

    def __init__(self) -> None:
        self.requests: list[RequestState] = []
        self.quiesce_until = -inf  # an attempt whose outcome is known may still be running until then

    def join(self, request: RequestState) -> None:
        """Put a request at the end."""
        self.requests.append(request)
        request.key_queue = self
        request.awaits_key_turn = True


class KeyQueues:
    """The queues of all keys in use."""

    __slots__ = ("by_key",)

    def __init__(self) -> None:
        self.by_key: dict[int, KeyQueue] = {}

    def of_key(self, key: int) -> KeyQueue:
        """Return the queue of a key."""
        return self.by_key.setdefault(key, KeyQueue())

    def drop_idle(self, now: float) -> None:
        """Drop what is known of keys without requests that have quiesced."""
        if self.by_key:
            self.by_key = {
                key: queue
                for key, queue in self.by_key.items()
                if queue.requests or queue.quiesce_until > now
            }


class RequestState:
    """A request without its final response, or with open attempts. Times are of the caller's clock, in ms."""

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

    # Set by the admission queue as soon as it has the record.
    respond_by: float  # the last moment for a final response of the balancer's own
    objective_at: float
    queue_until: float  # sent later it would hardly meet its latency objective
    isolated_until: float  # until then it keeps to its part of the fleet

    def __init__(self, request: Request, traffic_class: int, deadline: float) -> None:
        self.id = request.id
        self.class_index = request.cls  # into Settings.classes
        self.traffic_class = traffic_class  # the same, or its part by cost where there is one class
        self.circuit_keys: CircuitKeys = circuit_keys(traffic_class, request.tenant)
        self.deadline = deadline
        self.rank = QueueRank.IN_TIME
        self.attempts: list[Attempt | None] = []  # None: ended
        self.tried_endpoints: list[EndpointId] = []
        self.open_attempts = 0
        self.is_finished = False  # has had its final response, or its client has disconnected
        self.key_queue: KeyQueue | None = None
        self.awaits_key_turn = False
        self.may_have_run = False  # by an attempt that has ended
        self.first_run_at = 0.0  # when and where the first attempt went that may have run
        self.first_run_zone = 0
        self.first_run_cell = 0

    def begin_attempt(self, attempt: Attempt) -> None:
        """Record an attempt as sent."""
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
    """What is known of an attempt that has ended."""

    status: int
    sent_at: float
    latency_ms: float
    later_responses: int  # to attempts that were sent to the endpoint later


class QueueEntry(NamedTuple):
    """An entry of the admission queue's heap; the numbers are its order and never all alike."""

    rank: QueueRank
    negative_priority: float
    negative_sequence: int
    request: RequestState


class PriorityQueue:
    """Requests by rank, then by priority, then the youngest first."""

    __slots__ = ("_sequence", "entries")

    def __init__(self) -> None:
        self.entries: list[QueueEntry] = []  # a heap
        self._sequence = 0

    def push(self, request: RequestState, priority: float) -> None:
        """Put in a request."""
        self._sequence += 1
        heappush(self.entries, QueueEntry(request.rank, -priority, -self._sequence, request))
