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


def endpoint_id(index: int) -> bytes:
    return bytes((10, 0, 0, index, 31, 144))


class Driver:
    """Feeds events to one Balancer, at the time `now` in ms, and records its actions in `log`."""

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
        """All endpoints that the balancer has state for, by id."""
        return self.policies.endpoint_list.endpoints_by_id

    @property
    def selected(self) -> list[EndpointState]:
        """The subset of endpoints that the balancer uses."""
        return self.policies.subset.selected

    def refresh(self) -> None:
        """Refresh the statistics of all policies, at the time of the last event."""
        self.lb.refresh.run(self.lb.requests.now)

    def handle(self, event: Event) -> list[Action]:
        """Feed one event; return the actions and append them to the log."""
        actions = self.lb.handle(self.now, event)
        self.log += actions
        return actions

    def update_list(self, *entries: EndpointEntry, mode: int = UpdateMode.FULL) -> list[Action]:
        """Feed an update of the endpoint list."""
        return self.handle(EndpointListUpdate(mode, [*entries]))

    def set_endpoints(self, count: int, **fields: object) -> None:
        """Feed a complete list of `count` ready endpoints; `fields` are those of each entry."""
        self.update_list(*(EndpointEntry(endpoint_id(index), **fields) for index in range(count)))

    def request(
        self, class_index: int = 0, time_left_ms: float | None = None, **fields: object
    ) -> list[Action]:
        """Feed a request with the next id, from 1 on; its deadline is by default that of its class."""
        self.last_request_id += 1
        time_left_ms = self.cfg.classes[class_index].deadline_ms if time_left_ms is None else time_left_ms
        return self.handle(Request(self.last_request_id, time_left_ms, class_index, **fields))

    def outcome(
        self,
        request_id: int,
        attempt: int,
        endpoint: bytes,
        status: int = AttemptStatus.OK,
        finished: bool | None = None,
    ) -> list[Action]:
        """Feed the outcome of an attempt, by default one that was served and concludes the request."""
        finished = status == AttemptStatus.OK if finished is None else finished
        return self.handle(Outcome(request_id, attempt, endpoint, status, 5.0, finished))

    def timer(self, token: int) -> list[Action]:
        """Feed the expiry of a timer."""
        return self.handle(TimerFired(token))

    def serve(self, count: int, latency_ms: float = 5.0, class_index: int = 0) -> list[bytes]:
        """Serve requests one after another, each with this latency; return the endpoint of each."""
        used_endpoints = []
        for _ in range(count):
            (send,) = sends(self.request(class_index))
            self.now += latency_ms
            self.outcome(send.id, 0, send.endpoint)
            used_endpoints.append(send.endpoint)
        return used_endpoints


def sends(actions: list[Action]) -> list[Send]:
    """Return the Send actions among these."""
    return [action for action in actions if isinstance(action, Send)]


def final_actions(actions: list[Action]) -> list[Action]:
    """Return the actions among these that conclude a request without a response of an endpoint."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def driver_with_endpoints(
    instance_number: int, instance_count: int, endpoint_count: int, **settings: object
) -> Driver:
    """Return a driver of one of several instances, with ready endpoints in two zones."""
    driver = Driver(instance_number=instance_number, instance_count=instance_count, **settings)
    driver.update_list(
        *(
            EndpointEntry(bytes((10, index * 7 % 256, 0, index, 31, 144)), zone=index % 2)
            for index in range(endpoint_count)
        )
    )
    return driver
