"""Helpers of the balancer tests: a driver that feeds events to a Balancer; endpoints are not modelled."""

from __future__ import annotations

from alderspool.balancer.actions import Action, Fail, Reject, Send
from alderspool.balancer.balancer import Balancer
from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.events import (
    AttemptStatus,
    EndpointEntry,
    EndpointId,
    EndpointListUpdate,
    Event,
    Outcome,
    Request,
    TimerFired,
    UpdateMode,
)
from alderspool.balancer.settings import Idempotency, RequestClass, Settings
from alderspool.balancer.timers import TimerKind, timer_token

IDEMPOTENT = RequestClass("free", latency_objective_ms=200.0, deadline_ms=400.0)
UNSAFE = RequestClass(
    "unsafe", latency_objective_ms=200.0, deadline_ms=400.0, idempotency=Idempotency.NON_IDEMPOTENT
)

QUEUE_TIMER = timer_token(TimerKind.QUEUE)
LOAD_REPORT_TIMER = timer_token(TimerKind.LOAD_REPORT)


def endpoint_id(n: int) -> bytes:
    return bytes((10, 0, 0, n, 31, 144))


class Driver:
    """Feeds one Balancer and remembers what it did."""

    def __init__(self, classes: list[RequestClass] | None = None, seed: int = 1, **settings: object) -> None:
        settings.setdefault("clock_step_ms", 1.0)
        self.cfg = Settings(classes=classes or [IDEMPOTENT], **settings)
        self.lb = Balancer(self.cfg, seed)
        self.policies = self.lb.policies
        self.now = 1_000_000.0
        self.last_request_id = 0
        self.log: list[Action] = self.lb.start(self.now)

    @property
    def endpoints(self) -> dict[EndpointId, EndpointState]:
        """All endpoints that the balancer knows, by id."""
        return self.policies.endpoint_list.endpoints_by_id

    @property
    def selected(self) -> list[EndpointState]:
        """The subset that the balancer uses."""
        return self.policies.subset.selected

    def refresh(self) -> None:
        """Rebuild all that was learned, at the time of the last event."""
        self.lb.refresh.run(self.lb.requests.now)

    def handle(self, event: Event) -> list[Action]:
        """Feed one event; return the actions and keep them in the log."""
        actions = self.lb.handle(self.now, event)
        self.log += actions
        return actions

    def update_list(self, *entries: EndpointEntry, mode: int = UpdateMode.FULL) -> list[Action]:
        """Feed an update of the endpoint list."""
        return self.handle(EndpointListUpdate(mode, [*entries]))

    def set_endpoints(self, n: int, **fields: object) -> None:
        """Feed a complete endpoint list with n ready endpoints."""
        self.update_list(*(EndpointEntry(endpoint_id(i), **fields) for i in range(n)))

    def request(
        self, class_index: int = 0, time_left_ms: float | None = None, **fields: object
    ) -> list[Action]:
        """Feed a request with the next id, from 1 on; its deadline is by default that of its class."""
        self.last_request_id += 1
        time_left_ms = self.cfg.classes[class_index].deadline_ms if time_left_ms is None else time_left_ms
        return self.handle(Request(self.last_request_id, time_left_ms, class_index, **fields))

    def outcome(
        self,
        rid: int,
        attempt: int,
        endpoint: bytes,
        status: int = AttemptStatus.OK,
        finished: bool | None = None,
    ) -> list[Action]:
        """Feed the outcome of an attempt."""
        finished = status == AttemptStatus.OK if finished is None else finished
        return self.handle(Outcome(rid, attempt, endpoint, status, 5.0, finished))

    def timer(self, token: int) -> list[Action]:
        """Fire a timer."""
        return self.handle(TimerFired(token))

    def serve(self, n: int, latency_ms: float = 5.0, class_index: int = 0) -> list[bytes]:
        """Serve n requests in sequence, each with this latency; return the endpoints that served them."""
        used = []
        for _ in range(n):
            (send,) = sends(self.request(class_index))
            self.now += latency_ms
            self.outcome(send.id, 0, send.endpoint)
            used.append(send.endpoint)
        return used


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


def final_actions(actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, Reject | Fail)]


def driver_with_endpoints(number: int, instance_count: int, servers: int, **settings: object) -> Driver:
    d = Driver(instance_number=number, instance_count=instance_count, **settings)
    d.update_list(
        *(EndpointEntry(bytes((10, i * 7 % 256, 0, i, 31, 144)), zone=i % 2) for i in range(servers))
    )
    return d
