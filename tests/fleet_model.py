"""A small fleet in virtual time round Balancers alone: the way into a jam and out, which event lists lack.

Nodes have two cores, a queue and a speed; they may fall silent, die and come back cold, slow down, drain, or
choke on what they hold. Clients lay out their arrivals ahead and ask once more when refused. Times in ms;
work in ms of a core of speed 1. The rules are checked at every action; work in time is counted by the second
in which it was first asked for.
"""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from alderspool.balancer.actions import Action, Cancel, Fail, Reject, Send, SetTimer
from alderspool.balancer.balancer import Balancer
from alderspool.balancer.events import (
    NEVER_RAN,
    AttemptStatus,
    Availability,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    Outcome,
    Request,
    TimerFired,
    UpdateMode,
)
from alderspool.balancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant

S, A = AttemptStatus, Availability
CLASSES = [
    RequestClass("status", 400.0, 1000.0, priority_weight=1.0),
    RequestClass("otp", 150.0, 750.0, Idempotency.NON_IDEMPOTENT, priority_weight=2.0),
    RequestClass(
        "batch", 500.0, 2000.0, Idempotency.KEYED, DeduplicationScope.CELL, 10_000.0, priority_weight=5.0
    ),
]
WORK, SHARE = (85.0, 48.0, 100.0), (0.40, 0.36, 0.24)  # mean work of each class; part of the requests
TENANTS = (0.55, 0.36, 0.09)
QUOTA = 0.8  # of what the fleet can do, all tenants together
CORES, COLD, COLD_MS = 2, 0.4, 4000.0
CHOKE_HELD, CHOKE_AFTER, CHOKE_SLOWER = 10, 2000.0, 3.0  # holding more for so long makes a node slower
CHOKE_BUSY, CHOKE_REST, CHOKE_MOST = (
    0.3,
    2500.0,
    22_000.0,
)  # until it was so idle for so long, or the last passed
DEATH_TOLD = 1500.0  # the list tells of a death so late
NET, TICK, SLACK = 1.0, 2.0, 8.0  # one way; a proxy handles what has come in once a tick


@dataclass
class SimulatedRequest:
    id: int
    cls: int
    tenant: int
    work: float
    due: float  # its client waits until then
    aim: float
    second: int  # in which it was first asked
    again: bool = False
    tries: list[SimulatedAttempt] = field(default_factory=list)


@dataclass
class SimulatedAttempt:
    proxy: Proxy
    request: SimulatedRequest
    number: int
    node: EndpointNode
    sent: float
    status: int | None = None  # as told to the proxy
    ran: bool = False
    called_off: bool = False


@dataclass
class EndpointNode:
    id: bytes
    speed: float
    cell: int
    started: float = 0.0
    state: int = A.READY
    alive: bool = True
    silent: bool = False
    slower: float = 1.0
    running: int = 0
    life: int = 0  # what a process before the last death ran ends nowhere
    queue: deque[SimulatedAttempt] = field(default_factory=deque)
    choked_at: float | None = None
    crowded_since: float | None = None
    idle_since: float | None = None
    busy: float = 0.0  # EWMA of the part of its cores at work

    def rate(self, now: float) -> float:
        warm = min(COLD + (1.0 - COLD) * (now - self.started) / COLD_MS, 1.0) if self.started else 1.0
        return self.speed * warm / self.slower / (CHOKE_SLOWER if self.choked_at is not None else 1.0)

    def entry(self) -> EndpointEntry:
        return EndpointEntry(self.id, 1.0, self.cell, self.started, self.state)


@dataclass
class Proxy:
    lb: Balancer
    open: dict[int, SimulatedRequest] = field(default_factory=dict)  # taken, without a final answer
    known: dict[int, SimulatedRequest] = field(default_factory=dict)
    listed: dict[bytes, int] = field(default_factory=dict)
    inbox: list[Event] = field(default_factory=list)
    ticking: bool = False


class Fleet:
    """`load` is what is asked over what the fleet can do; `flood` multiplies the first tenant's part."""

    def __init__(
        self,
        seed: int,
        load: float,
        nodes: int = 6,
        proxies: int = 2,
        only: int | None = None,
        flood: float = 1.0,
        **settings: object,
    ) -> None:
        self.random = Random(seed)
        self.now = self.start = 1_000_000.0
        self.seq = self.asked = 0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes = [
            EndpointNode(bytes((10, 0, 0, i, 0, 80)), self.random.uniform(0.7, 2.2), i // 3)
            for i in range(nodes)
        ]
        self.capacity = CORES * sum(n.speed for n in self.nodes)  # ms of work a ms
        mean = WORK[only] if only is not None else sum(w * s for w, s in zip(WORK, SHARE, strict=True))
        self.shares = [float(i == only) for i in range(3)] if only is not None else [*SHARE]
        self.rate = load * self.capacity / mean  # requests a ms
        self.tenants = [TENANTS[0] * flood, *TENANTS[1:]]
        quota = 1000.0 * QUOTA * self.capacity / mean
        self.cfg = Settings(
            classes=CLASSES,
            tenants=[Tenant(str(i), s, s * quota) for i, s in enumerate(TENANTS)],
            instance_count=proxies,
            hedging_allowed=True,
            cancel_allowed=True,
            max_attempts=5,
            clock_step_ms=TICK,
            slow_start_ms=COLD_MS,
            initial_capacity_share=COLD,
            response_slack_ms=SLACK,
            **settings,
        )
        self.reached: list[SimulatedAttempt] = []  # all that came to a node, in order
        self.left: set[int] = set()  # seconds in which an attempt left
        self.able: set[int] = set()  # seconds throughout which a listed node answered
        self.unable: set[int] = set()
        self.offered: defaultdict[int, float] = defaultdict(float)
        self.in_time: defaultdict[int, float] = defaultdict(float)
        self.by_tenant = [[0.0, 0.0] for _ in TENANTS]  # work asked, work in time
        self.answers: Counter[int] = Counter()
        self.effects: Counter[int] = Counter()
        self.proxies = [self._proxy(i) for i in range(proxies)]
        self.at(0.0, self._arrive)
        self.at(20.0, self._look_at_nodes)

    # ---- time ------------------------------------------------------------------------------------

    def at(self, delay: float, what: Callable[[], None]) -> None:
        self.seq += 1
        heapq.heappush(self.heap, (self.now + delay, self.seq, what))

    def run(self, seconds: float) -> None:
        end = self.now + 1000.0 * seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = end

    def second(self) -> int:
        return int((self.now - self.start) / 1000.0)

    def service(self, first: int, last: int) -> float:
        """Work in time in these seconds, over what was asked or what the fleet can do, whichever is less."""
        span = range(first, last)
        could = min(sum(self.offered[s] for s in span), 1000.0 * self.capacity * len(span))
        return sum(self.in_time[s] for s in span) / could

    # ---- clients ------------------------------------------------------------------------------

    def _arrive(self) -> None:
        self.at(self.random.expovariate(self.rate), self._arrive)
        cls = self.random.choices(range(3), self.shares)[0]
        tenant = self.random.choices(range(3), self.tenants)[0]
        work = WORK[cls] * self.random.lognormvariate(-0.1, 0.45)
        c, self.asked = CLASSES[cls], self.asked + 1
        self._ask(
            SimulatedRequest(
                self.asked,
                cls,
                tenant,
                work,
                self.now + c.deadline_ms,
                self.now + c.latency_objective_ms,
                self.second(),
            )
        )
        self.offered[self.second()] += work
        self.by_tenant[tenant][0] += work

    def _ask(self, request: SimulatedRequest) -> None:
        proxy = self.proxies[self.random.randrange(len(self.proxies))]
        proxy.open[request.id] = proxy.known[request.id] = request
        self._tell(proxy, Request(request.id, request.due - self.now, request.cls, request.tenant))
        self.at(request.due - self.now + SLACK + TICK, lambda: self._must_be_answered(proxy, request))

    def _must_be_answered(self, proxy: Proxy, request: SimulatedRequest) -> None:
        assert request.id not in proxy.open or proxy not in self.proxies, f"request {request.id} lost"
        proxy.known.pop(request.id, None)

    def _refused(self, request: SimulatedRequest) -> None:
        if not request.again and request.due - self.now > 100.0:
            self.asked += 1
            later = SimulatedRequest(
                self.asked,
                request.cls,
                request.tenant,
                request.work,
                request.due,
                request.aim,
                request.second,
                True,
            )
            self.at(50.0, lambda: self._ask(later))

    # ---- proxies ---------------------------------------------------------------------------------

    def _proxy(self, number: int) -> Proxy:
        proxy = Proxy(Balancer(replace(self.cfg, instance_number=number), self.random.randrange(1 << 30)))
        self._act(proxy, proxy.lb.start(self.now))
        self._announce(proxy)
        return proxy

    def restart(self, number: int) -> None:
        """Killed: what it had taken is its clients' to repeat; its attempts run on, unheard."""
        self.proxies[number] = self._proxy(number)

    def _announce(self, proxy: Proxy) -> None:
        listed = [n for n in self.nodes if n.state != A.GONE]
        self._tell(proxy, EndpointListUpdate(UpdateMode.FULL, [n.entry() for n in listed]))

    def announce(self) -> None:
        for proxy in self.proxies:
            self._announce(proxy)

    def _tell(self, proxy: Proxy, event: Event) -> None:
        proxy.inbox.append(event)
        if not proxy.ticking:
            proxy.ticking = True
            self.at(TICK, lambda: self._handle(proxy))

    def _handle(self, proxy: Proxy) -> None:
        proxy.ticking = False
        events, proxy.inbox = proxy.inbox, []
        for event in events if proxy in self.proxies else []:
            if isinstance(event, EndpointListUpdate):
                proxy.listed = {e.id: e.availability for e in event.entries}
            elif isinstance(event, Outcome) and event.finished:
                event.finished = self._served(proxy.open.pop(event.id, None))
            self._act(proxy, proxy.lb.handle(self.now, event))

    def _served(self, request: SimulatedRequest | None) -> bool:
        if request is None:
            return False  # a second copy, or too late: it has its final answer
        self.answers[1] += 1
        if self.now <= request.aim:
            self.in_time[request.second] += request.work
            self.by_tenant[request.tenant][1] += request.work
        return True

    def _act(self, proxy: Proxy, actions: list[Action]) -> None:
        for a in actions:
            if isinstance(a, Send):
                self._send(proxy, proxy.open[a.id], a.endpoint)  # KeyError: sent after its final answer
            elif isinstance(a, Reject | Fail):
                request = proxy.open.pop(a.id)  # KeyError: a second final answer
                self.answers[2 if isinstance(a, Reject) else 3] += 1
                assert self.now <= request.due + SLACK
                if isinstance(a, Reject):
                    safe = CLASSES[request.cls].idempotency == Idempotency.IDEMPOTENT
                    assert safe or all(t.status in NEVER_RAN for t in request.tries), (
                        "refused what may have run"
                    )
                    self._refused(request)
            elif isinstance(a, SetTimer):
                token = a.token
                self.at(max(a.delay_ms, 0.01), lambda token=token: self._tell(proxy, TimerFired(token)))
            elif isinstance(a, Cancel):
                self._call_off(proxy.known[a.id].tries[a.attempt])

    def _send(self, proxy: Proxy, request: SimulatedRequest, server: bytes) -> None:
        assert proxy.listed[server] == A.READY, "sent to a node that is listed as draining or gone"
        maybe = [t for t in request.tries if t.status not in NEVER_RAN]
        if maybe:
            assert CLASSES[request.cls].idempotency != Idempotency.NON_IDEMPOTENT, (
                "sent again what must never run twice"
            )
            node = next(n for n in self.nodes if n.id == server)
            guarded = CLASSES[request.cls].idempotency == Idempotency.KEYED
            assert not guarded or node.cell == maybe[0].node.cell, "repeat outside its group"
        node = next(n for n in self.nodes if n.id == server)
        attempt = SimulatedAttempt(proxy, request, len(request.tries), node, self.now)
        request.tries.append(attempt)
        self.left.add(self.second())
        self.at(NET, lambda: self._reach(attempt))
        self.at(max(request.due - self.now, 0.0), lambda: self._end(attempt, S.TIMEOUT))

    def _end(self, attempt: SimulatedAttempt, status: int) -> None:
        """Tells the proxy how an attempt ended, once."""
        if attempt.status is not None:
            return
        attempt.status, request = int(status), attempt.request
        outcome = Outcome(
            request.id, attempt.number, attempt.node.id, status, self.now - attempt.sent, status == S.OK
        )
        self._tell(attempt.proxy, outcome)

    def _call_off(self, attempt: SimulatedAttempt) -> None:
        attempt.called_off = True
        self.at(NET, lambda: self._end(attempt, S.CANCELLED))

    # ---- nodes -----------------------------------------------------------------------------------

    def _reach(self, attempt: SimulatedAttempt) -> None:
        node = attempt.node
        self.reached.append(attempt)
        if not node.alive:
            self.at(NET, lambda: self._end(attempt, S.CONNECT_FAILED))
        elif not node.silent:
            node.queue.append(attempt)
            self._start(node)

    def _start(self, node: EndpointNode) -> None:
        while node.running < CORES and node.queue:
            attempt = node.queue.popleft()
            if attempt.called_off or attempt.status is not None:
                continue
            effects = self.effects
            effects[attempt.request.id] += 1
            once = CLASSES[attempt.request.cls].idempotency == Idempotency.NON_IDEMPOTENT
            assert not once or effects[attempt.request.id] == 1, "an effect twice"
            attempt.ran = True
            node.running += 1
            life = node.life
            took = attempt.request.work / node.rate(self.now)
            self.at(took, lambda a=attempt, life=life: self._done(node, a, life))

    def _done(self, node: EndpointNode, attempt: SimulatedAttempt, life: int) -> None:
        if life != node.life:
            return
        node.running -= 1
        if not node.silent:
            self.at(NET, lambda: self._end(attempt, S.OK))
        self._start(node)

    def _look_at_nodes(self) -> None:
        self.at(20.0, self._look_at_nodes)
        answering = any(n.alive and not n.silent and n.state == A.READY for n in self.nodes)
        (self.able if answering else self.unable).add(self.second())
        self.able -= self.unable
        for node in self.nodes:
            node.busy += (node.running / CORES - node.busy) * 0.04
            crowded, idle = node.running + len(node.queue) > CHOKE_HELD, node.busy < CHOKE_BUSY
            node.crowded_since = (node.crowded_since or self.now) if crowded else None
            node.idle_since = (node.idle_since or self.now) if idle else None
            if node.choked_at is None:
                if node.crowded_since and self.now - node.crowded_since > CHOKE_AFTER:
                    node.choked_at = self.now
            elif (
                node.idle_since
                and self.now - node.idle_since > CHOKE_REST
                or self.now - node.choked_at > CHOKE_MOST
            ):
                node.choked_at = None

    def die(self, node: EndpointNode) -> None:
        node.alive, node.running, node.life = False, 0, node.life + 1
        for proxy in self.proxies:
            for request in proxy.known.values():
                for attempt in request.tries:
                    if attempt.node is node and attempt.status is None:
                        self.at(NET, lambda a=attempt: self._end(a, S.RESET))
        node.queue.clear()
        self.at(DEATH_TOLD, lambda: self._told_dead(node))

    def _told_dead(self, node: EndpointNode) -> None:
        if not node.alive:
            node.state = A.GONE
            self.announce()

    def come_back(self, node: EndpointNode) -> None:
        node.alive, node.started, node.state, node.choked_at = True, self.now, A.READY, None
        self.announce()
