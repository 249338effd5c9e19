"""A discrete-event model of a small fleet, to test how Balancers behave in overload and recover from it.

Only the Balancer is the program's own code; clients, proxies, network and endpoints are modelled in virtual
time. Endpoints may stop responding, crash and restart in slow start, slow down, drain, or degrade after
lasting overload (see `fleet_endpoint`). Clients send requests as a Poisson process, whatever the responses
are, and retry a rejected request once. Times are in ms; work is in ms of one core of speed 1.

The model asserts at every action of a Balancer that it is permitted: no second execution of a non-idempotent
request, no attempt at an endpoint that is not listed as ready, one final response in time. Work completed
within the latency objective is counted in the second in which the client first sent the request.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from enum import IntEnum
from functools import partial
from random import Random
from typing import Any

from fleet_endpoint import CORES, INITIAL_CAPACITY_SHARE, SLOW_START_MS, EndpointNode
from virtual_time import VirtualTime

from alderspool.balancer.actions import Action, Cancel, Fail, Reject, Send, SetTimer
from alderspool.balancer.balancer import Balancer
from alderspool.balancer.events import (
    NEVER_RAN,
    AttemptStatus,
    Availability,
    EndpointListUpdate,
    Event,
    Outcome,
    Request,
    TimerFired,
    UpdateMode,
)
from alderspool.balancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant

__all__ = ["CORES", "EndpointNode", "FinalResponse", "Fleet", "SimulatedAttempt", "SimulatedRequest"]

CLASSES = [
    RequestClass("status", 400.0, 1000.0, priority_weight=1.0),
    RequestClass("otp", 150.0, 750.0, Idempotency.NON_IDEMPOTENT, priority_weight=2.0),
    RequestClass(
        "batch", 500.0, 2000.0, Idempotency.KEYED, DeduplicationScope.CELL, 10_000.0, priority_weight=5.0
    ),
]
MEAN_WORK_BY_CLASS = (85.0, 48.0, 100.0)
REQUEST_SHARE_BY_CLASS = (0.40, 0.36, 0.24)
REQUEST_SHARE_BY_TENANT = (0.55, 0.36, 0.09)
TOTAL_QUOTA_SHARE = 0.8  # sum of all tenants' quotas over the capacity of the fleet
# The work of a request is lognormal, with a mean close to that of its class.
WORK_LOG_MEAN = -0.1
WORK_LOG_DEVIATION = 0.45

START_MS = 1_000_000.0
NETWORK_DELAY_MS = 1.0  # one way
PROXY_STEP_MS = 2.0  # a proxy collects events for this long, then handles them together
RESPONSE_SLACK_MS = 8.0
CRASH_LISTING_DELAY_MS = 1500.0  # from the crash of an endpoint to the endpoint list without it
CLIENT_BACKOFF_MS = 50.0
CLIENT_MIN_TIME_LEFT_MS = 100.0  # a client with less time left does not retry
SAMPLE_INTERVAL_MS = 20.0
MIN_TIMER_DELAY_MS = 0.01


class FinalResponse(IntEnum):
    """How a request concluded."""

    SERVED = 1
    REJECTED = 2
    FAILED = 3


@dataclass
class SimulatedRequest:
    """One request of a client. A retry by the client is a request of its own."""

    id: int
    request_class: int
    tenant: int
    work: float
    deadline_at_ms: float
    objective_at_ms: float
    first_sent_second: int  # second of the run in which the client first sent it
    is_client_retry: bool = False
    attempts: list[SimulatedAttempt] = field(default_factory=list)

    @property
    def idempotency(self) -> Idempotency:
        """The idempotency of its class: whether it may be executed more than once."""
        return CLASSES[self.request_class].idempotency


@dataclass
class SimulatedAttempt:
    """One attempt of a proxy to have an endpoint execute a request."""

    proxy: Proxy
    request: SimulatedRequest
    number: int
    node: EndpointNode
    sent_at_ms: float
    status: AttemptStatus | None = None  # as reported to the proxy; None: outstanding
    is_cancelled: bool = False


@dataclass
class Proxy:
    """A Balancer with its pending requests and the events that wait for its next step."""

    lb: Balancer
    # Requests by id: those without a final response, and all until deadline and response slack have passed.
    pending: dict[int, SimulatedRequest] = field(default_factory=dict)
    unexpired: dict[int, SimulatedRequest] = field(default_factory=dict)
    availability: dict[bytes, int] = field(default_factory=dict)  # of each endpoint in the last list received
    inbox: list[Event] = field(default_factory=list)
    is_step_scheduled: bool = False


class Fleet:
    """Endpoints, proxies and clients in virtual time.

    `load` is the ratio of the work that clients request to the capacity of the fleet. `only` restricts the
    requests to the class with this index. `flood` multiplies the requests of the first tenant. `settings` are
    passed on to the Balancers.
    """

    def __init__(
        self,
        seed: int,
        load: float,
        nodes: int = 6,
        proxies: int = 2,
        only: int | None = None,
        flood: float = 1.0,
        **settings: Any,
    ) -> None:
        self.random = Random(seed)
        self.time = VirtualTime(START_MS)
        self.request_count = 0
        self.nodes = [
            EndpointNode(bytes((10, 0, 0, number, 0, 80)), self.random.uniform(0.7, 2.2), number // 3)
            for number in range(nodes)
        ]
        self.capacity = CORES * sum(node.speed for node in self.nodes)  # ms of work per ms
        self._class_shares = list(REQUEST_SHARE_BY_CLASS)
        mean_work = sum(
            work * share for work, share in zip(MEAN_WORK_BY_CLASS, REQUEST_SHARE_BY_CLASS, strict=True)
        )
        if only is not None:
            self._class_shares = [float(number == only) for number in range(len(CLASSES))]
            mean_work = MEAN_WORK_BY_CLASS[only]
        self._tenant_shares = [REQUEST_SHARE_BY_TENANT[0] * flood, *REQUEST_SHARE_BY_TENANT[1:]]
        self._requests_per_ms = load * self.capacity / mean_work
        quota_rps = 1000.0 * TOTAL_QUOTA_SHARE * self.capacity / mean_work
        self._settings = _balancer_settings(quota_rps, proxies, settings)

        self.arrived_attempts: list[SimulatedAttempt] = []  # at any endpoint, in order of arrival
        self.seconds_with_attempts: set[int] = set()  # those in which a proxy sent an attempt
        self.responsive_seconds: set[int] = set()  # those with a ready, responding endpoint throughout
        self._unresponsive_seconds: set[int] = set()
        self.offered: defaultdict[int, float] = defaultdict(float)  # work of new requests, by second
        # Work of requests served within their latency objective, by second in which they were first sent.
        self.work_in_time: defaultdict[int, float] = defaultdict(float)
        # Work offered and work in time of each tenant.
        self.work_by_tenant = [[0.0, 0.0] for _ in REQUEST_SHARE_BY_TENANT]
        self.response_counts: Counter[int] = Counter()  # by FinalResponse
        self._executions: Counter[int] = Counter()  # by request id
        self.proxies = [self._start_proxy(number) for number in range(proxies)]
        self.time.call_later(0.0, self._send_new_request)
        self.time.call_later(SAMPLE_INTERVAL_MS, self._sample_endpoints)

    # ---- time and results ------------------------------------------------------------------------

    @property
    def now(self) -> float:
        """The virtual time in ms."""
        return self.time.now_ms

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.time.run(1000.0 * seconds)

    def elapsed_s(self) -> int:
        """Return the whole seconds since the start."""
        return int((self.now - START_MS) / 1000.0)

    def goodput(self, first: int, last: int) -> float:
        """Return the share of the achievable work that was done in time, in seconds `first` to `last` - 1.

        Achievable is the work offered or the capacity of the fleet, whichever is smaller.
        """
        seconds = range(first, last)
        offered = sum(self.offered[second] for second in seconds)
        achievable = min(offered, 1000.0 * self.capacity * len(seconds))
        return sum(self.work_in_time[second] for second in seconds) / achievable

    # ---- faults ----------------------------------------------------------------------------------

    def restart_proxy(self, number: int) -> None:
        """Replace a proxy by a new one; its pending requests are lost, but its attempts still run."""
        self.proxies[number] = self._start_proxy(number)

    def kill_endpoint(self, node: EndpointNode) -> None:
        """Crash an endpoint: its outstanding attempts are reset; later it leaves the endpoint list."""
        node.crash_process()
        for proxy in self.proxies:
            for request in proxy.unexpired.values():
                for attempt in request.attempts:
                    if attempt.node is node and attempt.status is None:
                        self._report_after_network_delay(attempt, AttemptStatus.RESET)
        node.queue.clear()
        self.time.call_later(CRASH_LISTING_DELAY_MS, partial(self._list_as_gone, node))

    def _list_as_gone(self, node: EndpointNode) -> None:
        if not node.is_alive:
            node.availability = Availability.GONE
            self.publish_endpoint_list()

    def restart_endpoint(self, node: EndpointNode) -> None:
        """Start a new process of an endpoint, in slow start, and publish the list immediately."""
        node.start_process(self.now)
        self.publish_endpoint_list()

    def publish_endpoint_list(self) -> None:
        """Send the current endpoint list to all proxies."""
        for proxy in self.proxies:
            self._send_endpoint_list(proxy)

    # ---- clients ---------------------------------------------------------------------------------

    def _send_new_request(self) -> None:
        self.time.call_later(self.random.expovariate(self._requests_per_ms), self._send_new_request)
        class_number = self.random.choices(range(len(CLASSES)), self._class_shares)[0]
        tenant = self.random.choices(range(len(REQUEST_SHARE_BY_TENANT)), self._tenant_shares)[0]
        work = MEAN_WORK_BY_CLASS[class_number] * self.random.lognormvariate(
            WORK_LOG_MEAN, WORK_LOG_DEVIATION
        )
        request_class = CLASSES[class_number]
        request = SimulatedRequest(
            id=self._next_request_id(),
            request_class=class_number,
            tenant=tenant,
            work=work,
            deadline_at_ms=self.now + request_class.deadline_ms,
            objective_at_ms=self.now + request_class.latency_objective_ms,
            first_sent_second=self.elapsed_s(),
        )
        self._send_request(request)
        self.offered[self.elapsed_s()] += work
        self.work_by_tenant[tenant][0] += work

    def _next_request_id(self) -> int:
        self.request_count += 1
        return self.request_count

    def _send_request(self, request: SimulatedRequest) -> None:
        proxy = self.proxies[self.random.randrange(len(self.proxies))]
        proxy.pending[request.id] = request
        proxy.unexpired[request.id] = request
        time_left_ms = request.deadline_at_ms - self.now
        self._deliver(proxy, Request(request.id, time_left_ms, request.request_class, request.tenant))
        check_after_ms = time_left_ms + RESPONSE_SLACK_MS + PROXY_STEP_MS
        self.time.call_later(check_after_ms, partial(self._assert_concluded, proxy, request))

    def _assert_concluded(self, proxy: Proxy, request: SimulatedRequest) -> None:
        assert request.id not in proxy.pending or proxy not in self.proxies, f"request {request.id} lost"
        proxy.unexpired.pop(request.id, None)

    def _schedule_client_retry(self, rejected: SimulatedRequest) -> None:
        time_left_ms = rejected.deadline_at_ms - self.now
        if rejected.is_client_retry or time_left_ms <= CLIENT_MIN_TIME_LEFT_MS:
            return
        retry = replace(rejected, id=self._next_request_id(), is_client_retry=True, attempts=[])
        self.time.call_later(CLIENT_BACKOFF_MS, partial(self._send_request, retry))

    # ---- proxies ---------------------------------------------------------------------------------

    def _start_proxy(self, number: int) -> Proxy:
        settings = replace(self._settings, instance_number=number)
        proxy = Proxy(Balancer(settings, self.random.randrange(1 << 30)))
        self._execute_actions(proxy, proxy.lb.start(self.now))
        self._send_endpoint_list(proxy)
        return proxy

    def _send_endpoint_list(self, proxy: Proxy) -> None:
        entries = [node.entry() for node in self.nodes if node.availability != Availability.GONE]
        self._deliver(proxy, EndpointListUpdate(UpdateMode.FULL, entries))

    def _deliver(self, proxy: Proxy, event: Event) -> None:
        proxy.inbox.append(event)
        if not proxy.is_step_scheduled:
            proxy.is_step_scheduled = True
            self.time.call_later(PROXY_STEP_MS, partial(self._handle_inbox, proxy))

    def _handle_inbox(self, proxy: Proxy) -> None:
        proxy.is_step_scheduled = False
        events = proxy.inbox
        proxy.inbox = []
        if proxy not in self.proxies:
            return  # it has been replaced meanwhile
        for event in events:
            if isinstance(event, EndpointListUpdate):
                proxy.availability = {entry.id: entry.availability for entry in event.entries}
            elif isinstance(event, Outcome) and event.finished:
                event.finished = self._conclude_as_served(proxy.pending.pop(event.id, None))
            self._execute_actions(proxy, proxy.lb.handle(self.now, event))

    def _conclude_as_served(self, request: SimulatedRequest | None) -> bool:
        if request is None:
            return False  # the other attempt of a hedge was first, or the request was rejected or failed
        self.response_counts[FinalResponse.SERVED] += 1
        if self.now <= request.objective_at_ms:
            self.work_in_time[request.first_sent_second] += request.work
            self.work_by_tenant[request.tenant][1] += request.work
        return True

    def _execute_actions(self, proxy: Proxy, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                # `pending` raises KeyError if the request already has its final response.
                self._send_attempt(proxy, proxy.pending[action.id], action.endpoint)
            elif isinstance(action, Reject):
                self._reject(proxy, action)
            elif isinstance(action, Fail):
                self._conclude(proxy, action.id, FinalResponse.FAILED)
            elif isinstance(action, SetTimer):
                fire = partial(self._fire_timer, proxy, action.token)
                self.time.call_later(max(action.delay_ms, MIN_TIMER_DELAY_MS), fire)
            elif isinstance(action, Cancel):
                self._cancel_attempt(proxy.unexpired[action.id].attempts[action.attempt])

    def _fire_timer(self, proxy: Proxy, token: int) -> None:
        self._deliver(proxy, TimerFired(token))

    def _conclude(self, proxy: Proxy, request_id: int, response: FinalResponse) -> SimulatedRequest:
        request = proxy.pending.pop(request_id)  # KeyError if it already has one
        self.response_counts[response] += 1
        assert self.now <= request.deadline_at_ms + RESPONSE_SLACK_MS
        return request

    def _reject(self, proxy: Proxy, action: Reject) -> None:
        request = self._conclude(proxy, action.id, FinalResponse.REJECTED)
        is_idempotent = request.idempotency == Idempotency.IDEMPOTENT
        assert is_idempotent or all(attempt.status in NEVER_RAN for attempt in request.attempts), (
            "rejected a request that may have been executed"
        )
        self._schedule_client_retry(request)

    # ---- attempts --------------------------------------------------------------------------------

    def _send_attempt(self, proxy: Proxy, request: SimulatedRequest, endpoint: bytes) -> None:
        assert proxy.availability[endpoint] == Availability.READY, (
            "sent to an endpoint that is listed as draining or gone"
        )
        node = next(node for node in self.nodes if node.id == endpoint)
        _assert_may_be_sent(request, node)
        attempt = SimulatedAttempt(proxy, request, len(request.attempts), node, self.now)
        request.attempts.append(attempt)
        self.seconds_with_attempts.add(self.elapsed_s())
        self.time.call_later(NETWORK_DELAY_MS, partial(self._handle_arrival, attempt))
        timeout_ms = max(request.deadline_at_ms - self.now, 0.0)
        self.time.call_later(timeout_ms, partial(self._report_outcome, attempt, AttemptStatus.TIMEOUT))

    def _report_outcome(self, attempt: SimulatedAttempt, status: AttemptStatus) -> None:
        """Report the outcome of an attempt to its proxy, unless one has been reported already."""
        if attempt.status is not None:
            return
        attempt.status = status
        outcome = Outcome(
            attempt.request.id,
            attempt.number,
            attempt.node.id,
            status,
            self.now - attempt.sent_at_ms,
            status == AttemptStatus.OK,
        )
        self._deliver(attempt.proxy, outcome)

    def _report_after_network_delay(self, attempt: SimulatedAttempt, status: AttemptStatus) -> None:
        self.time.call_later(NETWORK_DELAY_MS, partial(self._report_outcome, attempt, status))

    def _cancel_attempt(self, attempt: SimulatedAttempt) -> None:
        attempt.is_cancelled = True
        self._report_after_network_delay(attempt, AttemptStatus.CANCELLED)

    # ---- endpoints -------------------------------------------------------------------------------

    def _handle_arrival(self, attempt: SimulatedAttempt) -> None:
        node = attempt.node
        self.arrived_attempts.append(attempt)
        if not node.is_alive:
            self._report_after_network_delay(attempt, AttemptStatus.CONNECT_FAILED)
        elif not node.silent:
            node.queue.append(attempt)
            self._start_queued(node)

    def _start_queued(self, node: EndpointNode) -> None:
        while node.running < CORES and node.queue:
            attempt = node.queue.popleft()
            if attempt.is_cancelled or attempt.status is not None:
                continue
            self._count_execution(attempt.request)
            node.running += 1
            duration_ms = attempt.request.work / node.core_speed(self.now)
            self.time.call_later(duration_ms, partial(self._complete, node, attempt, node.incarnation))

    def _count_execution(self, request: SimulatedRequest) -> None:
        self._executions[request.id] += 1
        is_non_idempotent = request.idempotency == Idempotency.NON_IDEMPOTENT
        assert not is_non_idempotent or self._executions[request.id] == 1, (
            "a non-idempotent request ran twice"
        )

    def _complete(self, node: EndpointNode, attempt: SimulatedAttempt, incarnation: int) -> None:
        if incarnation != node.incarnation:
            return
        node.running -= 1
        if not node.silent:
            self._report_after_network_delay(attempt, AttemptStatus.OK)
        self._start_queued(node)

    def _sample_endpoints(self) -> None:
        self.time.call_later(SAMPLE_INTERVAL_MS, self._sample_endpoints)
        if any(node.is_ready_and_responding() for node in self.nodes):
            self.responsive_seconds.add(self.elapsed_s())
        else:
            self._unresponsive_seconds.add(self.elapsed_s())
        self.responsive_seconds -= self._unresponsive_seconds
        for node in self.nodes:
            node.sample_load(self.now)


def _balancer_settings(quota_rps: float, instance_count: int, overrides: dict[str, Any]) -> Settings:
    return Settings(
        classes=CLASSES,
        tenants=[
            Tenant(str(number), share, share * quota_rps)
            for number, share in enumerate(REQUEST_SHARE_BY_TENANT)
        ],
        instance_count=instance_count,
        hedging_allowed=True,
        cancel_allowed=True,
        max_attempts=5,
        clock_step_ms=PROXY_STEP_MS,
        slow_start_ms=SLOW_START_MS,
        initial_capacity_share=INITIAL_CAPACITY_SHARE,
        response_slack_ms=RESPONSE_SLACK_MS,
        **overrides,
    )


def _assert_may_be_sent(request: SimulatedRequest, node: EndpointNode) -> None:
    """Assert that the idempotency of the request permits another attempt, at this endpoint."""
    may_have_run = [attempt for attempt in request.attempts if attempt.status not in NEVER_RAN]
    if not may_have_run:
        return
    assert request.idempotency != Idempotency.NON_IDEMPOTENT, "retried a non-idempotent request"
    is_keyed = request.idempotency == Idempotency.KEYED
    assert not is_keyed or node.cell == may_have_run[0].node.cell, "retried outside the deduplication scope"
