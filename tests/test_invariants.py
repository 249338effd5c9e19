"""Invariants of one Balancer over long seeded sequences of random valid events.

Every action is checked against the rules. The events are drawn independently; no fleet is modelled.
"""

from __future__ import annotations

from random import Random

import pytest
from conftest import endpoint_id

from alderspool.balancer.actions import Action, Cancel, Fail, Reject, Send, SendToPeer, SetTimer
from alderspool.balancer.balancer import Balancer
from alderspool.balancer.events import (
    NEVER_RAN,
    AttemptStatus,
    Availability,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    HealthChecked,
    Outcome,
    PeerMessage,
    Request,
    TimerFired,
    UpdateMode,
)
from alderspool.balancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant

Status = AttemptStatus
NEVER_RAN = {int(status) for status in NEVER_RAN}


class EventFuzzer:
    """Feeds random valid events to one Balancer and asserts that each of its actions is permitted.

    The settings are drawn from the seed as well. Times are in ms.
    """

    def __init__(self, seed: int) -> None:
        random = self.random = Random(seed)
        classes = [
            RequestClass(
                str(number),
                latency_objective_ms=random.choice([50.0, 200.0, 1500.0]),
                deadline_ms=random.choice([1600.0, 3000.0]),
                idempotency=random.choice(list(Idempotency)),
                deduplication_scope=random.choice(list(DeduplicationScope)),
                deduplication_window_ms=random.choice([300.0, 5000.0]),
                late_priority_weight=random.choice([0.0, 0.3]),
                ordered_by_key=random.random() < 0.5,
            )
            for number in range(random.randint(1, 3))
        ]
        self.settings = Settings(
            classes=classes,
            tenants=[Tenant("a", 0.5, 3.0), Tenant("b", 0.5, 3.0)][: random.randint(0, 2)],
            instance_count=random.randint(1, 4),
            list_on_request=random.random() < 0.5,
            max_attempts=random.randint(1, 4),
            hedging_allowed=random.random() < 0.5,
            cancel_allowed=random.random() < 0.5,
            peer_messages_allowed=random.random() < 0.5,
            retry_after=random.random() < 0.5,
            cross_zone_cost=random.choice([0.0, 0.05, 0.5]),
            clock_step_ms=2.0,
            response_slack_ms=8.0,
            rejected_may_have_run=random.random() < 0.5,
            key_quiesce_ms=random.choice([0.0, 50.0]),
            retry_budget_window_ms=random.choice([0.0, 500.0]),
            retry_budget_floor=random.choice([0.0, 2.0]),
            retry_budget_ratio=random.choice([0.0, 0.15]),
        )
        # Statuses in NEVER_RAN that do not prove it with these settings: REJECTED (2), if it may have run.
        self.unproven_statuses = {2} if self.settings.rejected_may_have_run else set()
        self.request_times: list[float] = []
        self.extra_attempt_times: list[float] = []  # of attempts beyond the first of a request
        self.ordered_ids_by_key: dict[int, list[int]] = {}  # in order of arrival
        self.key_quiesced_until: dict[int, float] = {}
        self.key_by_id: dict[int, int] = {}
        self.ordered_ids: set[int] = set()  # requests of classes that are ordered by key
        self.now = 1000.0
        self.balancer = Balancer(self.settings, seed)
        self.trace: list[object] = []
        self.listed: dict[bytes, EndpointEntry] = {}
        self.pending: dict[int, tuple[Request, float]] = {}  # without a final response: request, deadline
        # By request id: lists of [endpoint entry, time sent, status or None while open, time of its end].
        self.attempts: dict[int, list[list]] = {}
        self.timers: list[tuple[float, int]] = []  # time to fire, token
        self.last_request_id = 0
        self.check_actions(self.balancer.start(self.now))

    def check_actions(self, actions: list[Action]) -> None:
        self.trace.append(actions)
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Reject | Fail):
                request, deadline = self.pending.pop(action.id)  # KeyError: a second final response
                assert self.now <= deadline + self.settings.response_slack_ms
                if isinstance(action, Reject):
                    request_class = self.settings.classes[request.cls]
                    is_deduplicated_by_all = (
                        request_class.idempotency == Idempotency.KEYED
                        and request_class.deduplication_scope == DeduplicationScope.ALL
                    )
                    may_have_run = any(self.may_have_run(attempt) for attempt in self.attempts[action.id])
                    assert (
                        request_class.idempotency == Idempotency.IDEMPOTENT
                        or is_deduplicated_by_all
                        or not may_have_run
                    )
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + max(action.delay_ms, 1.0), action.token))
            elif isinstance(action, Cancel):
                assert self.settings.cancel_allowed and action.attempt < len(self.attempts[action.id])
            elif isinstance(action, SendToPeer):
                assert self.settings.peer_messages_allowed and len(action.data) <= 256

    def check_send(self, send: Send) -> None:
        """Assert that a new attempt is permitted, and record it with a random time of its end."""
        request, deadline = self.pending[send.id]  # KeyError: sent after the final response
        entry = self.listed[send.endpoint]
        assert entry.availability == Availability.READY
        attempts = self.attempts[send.id]
        assert len(attempts) < self.settings.max_attempts
        request_class = self.settings.classes[request.cls]
        if not self.settings.hedging_allowed:
            assert all(attempt[2] is not None for attempt in attempts)
        possibly_run = [attempt for attempt in attempts if self.may_have_run(attempt)]
        if request_class.idempotency == Idempotency.NON_IDEMPOTENT:
            assert not possibly_run
        if request_class.idempotency == Idempotency.KEYED and possibly_run:
            assert self.now <= possibly_run[0][1] + request_class.deduplication_window_ms
            first_entry = possibly_run[0][0]
            if request_class.deduplication_scope != DeduplicationScope.ALL:
                assert (
                    entry.zone == first_entry.zone
                    if request_class.deduplication_scope == DeduplicationScope.ZONE
                    else entry.cell == first_entry.cell
                )
        if attempts and self.settings.retry_budget_window_ms:
            window_start = self.now - self.settings.retry_budget_window_ms
            self.extra_attempt_times.append(self.now)
            extra_attempts, requests = (
                sum(time > window_start for time in times)
                for times in (self.extra_attempt_times, self.request_times)
            )
            assert (
                extra_attempts
                <= self.settings.retry_budget_floor + self.settings.retry_budget_ratio * requests
            )
        if request_class.ordered_by_key and request.key:
            # A retry of the request itself need not wait for the key to quiesce.
            assert attempts or self.now >= self.key_quiesced_until.get(request.key, 0.0)
            for earlier_id in self.ordered_ids_by_key[request.key]:
                if earlier_id == request.id:
                    break
                has_ended = all(attempt[2] is not None for attempt in self.attempts.get(earlier_id, []))
                assert earlier_id not in self.pending and has_ended, (
                    "sent while an earlier request of its key is open"
                )
        attempts.append([entry, self.now, None, min(deadline, self.now + self.random.expovariate(1 / 60.0))])

    def may_have_run(self, attempt: list) -> bool:
        return attempt[2] not in NEVER_RAN - self.unproven_statuses

    def step(self) -> None:
        """Advance the time, feed what is due, then feed one random event or none."""
        random = self.random
        self.now += random.choice([0.0, 1.0, 2.0, 5.0])
        for fires_at, token in sorted(timer for timer in self.timers if timer[0] <= self.now):
            self.timers.remove((fires_at, token))
            self.handle(TimerFired(token))
        for request_id in list(self.attempts):
            for number, attempt in enumerate(self.attempts[request_id]):
                if attempt[2] is None and attempt[3] <= self.now:
                    self.end_attempt(request_id, number, attempt)
            if request_id not in self.pending and all(
                attempt[2] is not None for attempt in self.attempts[request_id]
            ):
                del self.attempts[request_id]
        for request_id, (_, deadline) in self.pending.items():
            assert self.now <= deadline + self.settings.response_slack_ms, (
                f"request {request_id} has had no final response"
            )
        event_draw = random.random()
        if event_draw < 0.5:
            self.last_request_id += 1
            time_left_ms = random.choice([-5.0, 0.0, 30.0, 400.0, 1500.0, 1500.0, 1500.0])
            request = Request(
                self.last_request_id,
                time_left_ms,
                random.randrange(len(self.settings.classes)),
                random.randint(0, 2),
            )
            request.cost_hint_ms = random.choice([0.0, 1.0, 500.0, float("nan")])
            self.pending[request.id] = request, self.now + time_left_ms
            self.attempts[request.id] = []
            self.request_times.append(self.now)
            request.key = random.choice([0, 1, 1, 2])
            self.key_by_id[request.id] = request.key
            if self.settings.classes[request.cls].ordered_by_key:
                self.ordered_ids_by_key.setdefault(request.key, []).append(request.id)
                self.ordered_ids.add(request.id)
            self.handle(request)
        elif event_draw < 0.53:
            self.update_endpoint_list()
        elif event_draw < 0.55 and self.pending:
            request_id = random.choice(list(self.pending))
            del self.pending[request_id]
            self.handle(ClientDisconnected(request_id))
        elif event_draw < 0.6:
            self.handle(
                PeerMessage(
                    random.randint(0, 5), endpoint_id(random.randint(0, 9)) + bytes(random.randint(0, 2))
                )
            )
        elif event_draw < 0.62:
            self.handle(Outcome(10**6, 0, endpoint_id(0), 1, 1.0, True))
        elif event_draw < 0.63:
            self.handle(HealthChecked(endpoint_id(0), 3, 1.0))

    def end_attempt(self, request_id: int, number: int, attempt: list) -> None:
        """End an attempt with a random status; a time-out before the deadline is put off until then."""
        is_overdue = request_id in self.pending and self.now >= self.pending[request_id][1]
        # Phases of 700 ms: all attempts succeed; any status but TIMEOUT; all time out.
        # Overdue attempts time out in each phase.
        phase = (self.now // 700.0) % 3
        status = self.random.choice([[1], [0, 1, 2, 4, 5, 6, 7], [3]][int(phase)])
        if status == Status.TIMEOUT and not is_overdue and request_id in self.pending:
            attempt[3] = self.pending[request_id][1]
            return
        attempt[2] = int(Status.TIMEOUT) if is_overdue else status
        if attempt[2] == Status.OK:
            self.pending.pop(request_id, None)
        if request_id in self.ordered_ids and attempt[2] in (Status.TIMEOUT, Status.RESET, Status.CANCELLED):
            self.key_quiesced_until[self.key_by_id[request_id]] = self.now + self.settings.key_quiesce_ms
        load_report = self.random.choice([(), (float("nan"), float("inf"))])
        is_finished = request_id not in self.pending
        self.handle(
            Outcome(
                request_id,
                number,
                attempt[0].id,
                attempt[2],
                self.now - attempt[1],
                is_finished,
                load_report,
            )
        )

    def update_endpoint_list(self) -> None:
        """Feed an update of the endpoint list with random entries, some with invalid weights."""
        random = self.random
        mode = random.choice([UpdateMode.DELTA, UpdateMode.FULL, UpdateMode.CACHED, UpdateMode.FAILED])
        entries = []
        for number in [] if mode == UpdateMode.FAILED else random.sample(range(10), random.randint(0, 8)):
            availability = random.choice([0, 0, 0, 3, 1] if mode == UpdateMode.DELTA else [0, 0, 3])
            started_at = random.choice([0.0, self.now - 50.0, self.now + 1e5])
            weight = random.choice([0.0, 1.0, 4.0, float("nan"), float("inf")])
            entries.append(
                EndpointEntry(endpoint_id(number), weight, number // 3, started_at, availability, number // 4)
            )
        if mode in (UpdateMode.FULL, UpdateMode.CACHED):
            self.listed = {}
        self.listed |= {entry.id: entry for entry in entries}
        self.handle(EndpointListUpdate(mode, entries))

    def handle(self, event: Event) -> None:
        self.check_actions(self.balancer.handle(self.now, event))


def run_fuzzer(seed: int, steps: int = 3000) -> EventFuzzer:
    fuzzer = EventFuzzer(seed)
    for _ in range(steps):
        fuzzer.step()
    return fuzzer


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_for_any_valid_events(seed: int) -> None:
    fuzzer = run_fuzzer(seed)
    assert sum(isinstance(action, Send) for actions in fuzzer.trace for action in actions) > 15
    # Memory stays bounded: no state remains of requests that ended long ago.
    assert set(fuzzer.balancer.requests.pending) <= set(fuzzer.attempts) | set(fuzzer.pending)
    assert len(fuzzer.balancer.policies.queue.waiting.entries) <= len(fuzzer.pending) + 50
    queued = {
        id(request)
        for queue in fuzzer.balancer.policies.queue.key_queues.by_key.values()
        for request in queue.requests
    }
    assert queued <= {id(request) for request in fuzzer.balancer.requests.pending.values()}


def test_same_events_give_same_actions_over_long_runs() -> None:
    assert run_fuzzer(3).trace == run_fuzzer(3).trace
