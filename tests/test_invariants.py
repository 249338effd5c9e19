"""Long seeded sequences of legal events: the rules hold whatever comes. Checks invariants, models nothing."""

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

S = AttemptStatus
NEVER_RAN = {int(s) for s in NEVER_RAN}


class World:
    """Plays random legal events to one Balancer and holds its actions against the rules."""

    def __init__(self, seed: int) -> None:
        r = self.random = Random(seed)
        classes = [
            RequestClass(
                str(i),
                latency_objective_ms=r.choice([50.0, 200.0, 1500.0]),
                deadline_ms=r.choice([1600.0, 3000.0]),
                idempotency=r.choice(list(Idempotency)),
                deduplication_scope=r.choice(list(DeduplicationScope)),
                deduplication_window_ms=r.choice([300.0, 5000.0]),
                late_priority_weight=r.choice([0.0, 0.3]),
                ordered_by_key=r.random() < 0.5,
            )
            for i in range(r.randint(1, 3))
        ]
        self.cfg = Settings(
            classes=classes,
            tenants=[Tenant("a", 0.5, 3.0), Tenant("b", 0.5, 3.0)][: r.randint(0, 2)],
            instance_count=r.randint(1, 4),
            list_on_request=r.random() < 0.5,
            max_attempts=r.randint(1, 4),
            hedging_allowed=r.random() < 0.5,
            cancel_allowed=r.random() < 0.5,
            peer_messages_allowed=r.random() < 0.5,
            retry_after=r.random() < 0.5,
            cross_zone_cost=r.choice([0.0, 0.05, 0.5]),
            clock_step_ms=2.0,
            response_slack_ms=8.0,
            rejected_may_have_run=r.random() < 0.5,
            key_quiesce_ms=r.choice([0.0, 50.0]),
            retry_budget_window_ms=r.choice([0.0, 500.0]),
            retry_budget_floor=r.choice([0.0, 2.0]),
            retry_budget_ratio=r.choice([0.0, 0.15]),
        )
        self.no_proof = {2} if self.cfg.rejected_may_have_run else set()
        self.taken: list[float] = []  # when a request came
        self.extra: list[float] = []  # when one got an attempt beyond its first
        self.keys: dict[int, list[int]] = {}  # ordered requests by key, as taken
        self.quiesced_until: dict[int, float] = {}
        self.keys_of: dict[int, int] = {}
        self.ordered: set[int] = set()
        self.now = 1000.0
        self.lb = Balancer(self.cfg, seed)
        self.trace: list[object] = []
        self.listed: dict[bytes, EndpointEntry] = {}
        self.open: dict[int, tuple[Request, float]] = {}  # unanswered: request, deadline
        self.attempts: dict[int, list[list]] = {}  # per request: [server entry, sent, status or None, due]
        self.timers: list[tuple[float, int]] = []
        self.last_request_id = 0
        self.check(self.lb.start(self.now))

    def check(self, actions: list[Action]) -> None:
        self.trace.append(actions)
        for a in actions:
            if isinstance(a, Send):
                self.check_send(a)
            elif isinstance(a, Reject | Fail):
                request, deadline = self.open.pop(a.id)  # KeyError: a second final response
                assert self.now <= deadline + self.cfg.response_slack_ms
                if isinstance(a, Reject):
                    c = self.cfg.classes[request.cls]
                    by_all = (
                        c.idempotency == Idempotency.KEYED and c.deduplication_scope == DeduplicationScope.ALL
                    )
                    maybe = any(self.maybe_ran(t) for t in self.attempts[a.id])
                    assert c.idempotency == Idempotency.IDEMPOTENT or by_all or not maybe
            elif isinstance(a, SetTimer):
                self.timers.append((self.now + max(a.delay_ms, 1.0), a.token))
            elif isinstance(a, Cancel):
                assert self.cfg.cancel_allowed and a.attempt < len(self.attempts[a.id])
            elif isinstance(a, SendToPeer):
                assert self.cfg.peer_messages_allowed and len(a.data) <= 256

    def check_send(self, a: Send) -> None:
        request, deadline = self.open[a.id]  # KeyError: sent for a request that has ended
        entry = self.listed[a.endpoint]
        assert entry.availability == Availability.READY
        attempts = self.attempts[a.id]
        assert len(attempts) < self.cfg.max_attempts
        c = self.cfg.classes[request.cls]
        if not self.cfg.hedging_allowed:
            assert all(t[2] is not None for t in attempts)
        maybe = [t for t in attempts if self.maybe_ran(t)]
        if c.idempotency == Idempotency.NON_IDEMPOTENT:
            assert not maybe
        if c.idempotency == Idempotency.KEYED and maybe:
            assert self.now <= maybe[0][1] + c.deduplication_window_ms
            first = maybe[0][0]
            if c.deduplication_scope != DeduplicationScope.ALL:
                assert (
                    entry.zone == first.zone
                    if c.deduplication_scope == DeduplicationScope.ZONE
                    else entry.cell == first.cell
                )
        if attempts and self.cfg.retry_budget_window_ms:
            since = self.now - self.cfg.retry_budget_window_ms
            self.extra.append(self.now)
            made, taken = (sum(t > since for t in times) for times in (self.extra, self.taken))
            assert made <= self.cfg.retry_budget_floor + self.cfg.retry_budget_ratio * taken
        if c.ordered_by_key and request.key:
            assert attempts or self.now >= self.quiesced_until.get(
                request.key, 0.0
            )  # its own retries need not wait
            for earlier in self.keys[request.key]:
                if earlier == request.id:
                    break
                has_ended = all(t[2] is not None for t in self.attempts.get(earlier, []))
                assert earlier not in self.open and has_ended, "out of turn"
        attempts.append([entry, self.now, None, min(deadline, self.now + self.random.expovariate(1 / 60.0))])

    def maybe_ran(self, attempt: list) -> bool:
        return attempt[2] not in NEVER_RAN - self.no_proof

    def step(self) -> None:
        r = self.random
        self.now += r.choice([0.0, 1.0, 2.0, 5.0])
        for due, token in sorted(t for t in self.timers if t[0] <= self.now):
            self.timers.remove((due, token))
            self.handle(TimerFired(token))
        for rid in list(self.attempts):
            for number, t in enumerate(self.attempts[rid]):
                if t[2] is None and t[3] <= self.now:
                    self.end_attempt(rid, number, t)
            if rid not in self.open and all(t[2] is not None for t in self.attempts[rid]):
                del self.attempts[rid]
        for rid, (_, deadline) in self.open.items():
            assert self.now <= deadline + self.cfg.response_slack_ms, f"request {rid} lost"
        kind = r.random()
        if kind < 0.5:
            self.last_request_id += 1
            left = r.choice([-5.0, 0.0, 30.0, 400.0, 1500.0, 1500.0, 1500.0])
            request = Request(self.last_request_id, left, r.randrange(len(self.cfg.classes)), r.randint(0, 2))
            request.cost_hint_ms = r.choice([0.0, 1.0, 500.0, float("nan")])
            self.open[request.id] = request, self.now + left
            self.attempts[request.id] = []
            self.taken.append(self.now)
            request.key = r.choice([0, 1, 1, 2])
            self.keys_of[request.id] = request.key
            if self.cfg.classes[request.cls].ordered_by_key:
                self.keys.setdefault(request.key, []).append(request.id)
                self.ordered.add(request.id)
            self.handle(request)
        elif kind < 0.53:
            self.change_list()
        elif kind < 0.55 and self.open:
            rid = r.choice(list(self.open))
            del self.open[rid]
            self.handle(ClientDisconnected(rid))
        elif kind < 0.6:
            self.handle(PeerMessage(r.randint(0, 5), endpoint_id(r.randint(0, 9)) + bytes(r.randint(0, 2))))
        elif kind < 0.62:
            self.handle(Outcome(10**6, 0, endpoint_id(0), 1, 1.0, True))
        elif kind < 0.63:
            self.handle(HealthChecked(endpoint_id(0), 3, 1.0))

    def end_attempt(self, rid: int, number: int, t: list) -> None:
        overdue = rid in self.open and self.now >= self.open[rid][1]
        mood = (self.now // 700.0) % 3  # calm, failing, silent
        status = self.random.choice([[1], [0, 1, 2, 4, 5, 6, 7], [3]][int(mood)])
        if status == S.TIMEOUT and not overdue and rid in self.open:
            t[3] = self.open[rid][1]
            return
        t[2] = int(S.TIMEOUT) if overdue else status
        if t[2] == S.OK:
            self.open.pop(rid, None)
        if rid in self.ordered and t[2] in (S.TIMEOUT, S.RESET, S.CANCELLED):
            self.quiesced_until[self.keys_of[rid]] = self.now + self.cfg.key_quiesce_ms
        report = self.random.choice([(), (float("nan"), float("inf"))])
        finished = rid not in self.open
        self.handle(Outcome(rid, number, t[0].id, t[2], self.now - t[1], finished, report))

    def change_list(self) -> None:
        r = self.random
        mode = r.choice([UpdateMode.DELTA, UpdateMode.FULL, UpdateMode.CACHED, UpdateMode.FAILED])
        entries = []
        for n in [] if mode == UpdateMode.FAILED else r.sample(range(10), r.randint(0, 8)):
            state = r.choice([0, 0, 0, 3, 1] if mode == UpdateMode.DELTA else [0, 0, 3])
            started = r.choice([0.0, self.now - 50.0, self.now + 1e5])
            size = r.choice([0.0, 1.0, 4.0, float("nan"), float("inf")])
            entries.append(EndpointEntry(endpoint_id(n), size, n // 3, started, state, n // 4))
        if mode in (UpdateMode.FULL, UpdateMode.CACHED):
            self.listed = {}
        self.listed |= {e.id: e for e in entries}
        self.handle(EndpointListUpdate(mode, entries))

    def handle(self, event: Event) -> None:
        self.check(self.lb.handle(self.now, event))


def play(seed: int, steps: int = 3000) -> World:
    world = World(seed)
    for _ in range(steps):
        world.step()
    return world


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_under_any_legal_events(seed: int) -> None:
    world = play(seed)
    assert sum(isinstance(a, Send) for actions in world.trace for a in actions) > 15
    # bounded memory: no state remains of requests that ended long ago
    assert set(world.lb.requests.pending) <= set(world.attempts) | set(world.open)
    assert len(world.lb.policies.queue.waiting.entries) <= len(world.open) + 50
    waiting = {id(r) for queue in world.lb.policies.queue.key_queues.by_key.values() for r in queue.requests}
    assert waiting <= {id(r) for r in world.lb.requests.pending.values()}


def test_same_events_give_same_actions_over_long_runs() -> None:
    assert play(3).trace == play(3).trace
