"""An endpoint: cores, queue, slots, cold start, key memory, crowding, choke, tip-over. Work in core-ms.

A node of speed 1 does one core-ms of work a ms on each core. All rates are constant within a step of `STEP`
ms, so a finish is exact but for what changes within one step.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

import numpy as np

STEP = 10.0  # ms; the cold ramp and the choke are looked at this often
_BUSY_MEMORY = 500.0  # ms over which the busy share is averaged


@dataclass(frozen=True)
class EndpointProfile:
    """What a node is like. Times in ms, work in core-ms; `queue` counts what waits beyond the slots."""

    cores: int = 2
    speed: float = 1.0
    slots: int = 2  # requests in work at once
    queue: int = 50
    initial_capacity_share: float = 0.4  # share of the capacity at the start
    slow_start_ms: float = 0.0  # 0: never cold
    cold_overload_factor: float = math.inf  # a cold node sent over this multiple of what it can do falls over
    cold_overload_window_ms: float = 1000.0
    key_gain: float = 0.0  # share of the work that a known key saves
    key_ms: float = 5000.0
    keys: int = 100
    crowd_at: float = math.inf  # held a core; beyond it each further one costs `crowd_cost` of the efficiency
    crowd_cost: float = 0.0
    choke_at: float = math.inf  # held a core for `choke_over_ms`: `choke_slower` times slower,
    choke_over_ms: float = 2000.0
    choke_slower: float = 3.0
    choke_below: float = 0.3  # until busy less than this for `choke_rest_ms`, or for `choke_most_ms`
    choke_rest_ms: float = 3000.0
    choke_most_ms: float = 22_000.0
    handshake_work: float = 0.0
    probe_work: float = 0.0
    connections: int = 10_000
    error_rate: float = 0.0
    stops_running: bool = False  # whether a cancel also ends what runs


class Verdict(Enum):
    """What becomes of an offered attempt at once."""

    TAKEN = "taken"  # runs or waits; its end comes from `advance`
    FULL = "full"  # turned away, not run
    DRAINING = "draining"  # turned away, not run
    REPEAT = "repeat"  # a repeat that the rack drops: answered as the first was, without running
    SILENT = "silent"  # swallowed: nothing ever comes
    DOWN = "down"  # nobody there


@dataclass(slots=True)
class Work:
    """One attempt. `once_key`: what the rack drops repeats by, None if the class has none."""

    id: int
    work: float
    key: int = -1
    once_key: str | None = None
    left: float = 0.0
    repeat: bool = False


@dataclass(frozen=True)
class Ended:
    """An attempt that ran to its end at this moment; `error`: answered with an error."""

    id: int
    at: float
    error: bool


@dataclass
class Rack:
    """Nodes that share knowledge of which keyed requests have come: a repeat is dropped for `span_ms`."""

    span_ms: float = 10_000.0
    seen: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def is_repeat(self, now: float, key: str) -> bool:
        """Whether the key came within the span; remembers it if not."""
        while self.seen and next(iter(self.seen.values())) < now - self.span_ms:
            self.seen.popitem(last=False)
        if key in self.seen:
            return True
        self.seen[key] = now
        return False


class EndpointModel:
    """One process. `now` never goes back; call `advance` before anything else at a moment."""

    def __init__(
        self,
        profile: EndpointProfile,
        stream: np.random.Generator,
        rack: Rack | None = None,
        now: float = 0.0,
    ) -> None:
        self.profile, self._stream, self._rack = profile, stream, rack
        self.slower = 1.0  # a fault: this many times slower
        self.silent = self.draining = False
        self._boot(now, warm=True)

    def _boot(self, now: float, warm: bool) -> None:
        self.up, self._now = True, now
        self.started = -math.inf if warm else now
        self._running: list[Work] = []
        self._waiting: deque[Work] = deque()
        self._keys: OrderedDict[int, float] = OrderedDict()
        self._sent: deque[tuple[float, float]] = deque()  # while cold: when, how much work came
        self.connections = 0
        self.busy = 0.0  # share of the cores at work, averaged
        self.choked_at: float | None = None
        self._crowded_since: float | None = None
        self._idle_since: float | None = None
        self.ran = self.wasted = 0.0  # core-ms done; of that for attempts called off

    # ---- what the world does to it -----------------------------------------------------------------

    def crash(self) -> None:
        """The process dies: what it held is lost."""
        self.up = False
        self._running, self._waiting, self.connections = [], deque(), 0

    def restart(self, now: float) -> None:
        """A new process, cold, with nothing remembered."""
        self.silent = self.draining = False
        self._boot(now, warm=False)

    def connect(self) -> bool:
        """A new connection: costs work; False if the table is full or nobody is there."""
        if not self.up or self.connections >= self.profile.connections:
            return False
        self.connections += 1
        self._spend(self.profile.handshake_work)
        return True

    def disconnect(self) -> None:
        self.connections = max(self.connections - 1, 0)

    def probe(self) -> bool:
        """Whether it answers that it is well; costs work."""
        if not self.up or self.silent:
            return False
        self._spend(self.profile.probe_work)
        return not self.draining

    def _spend(self, work: float) -> None:
        """Work beside the requests: it delays what runs."""
        if work and self._running:
            for job in self._running:
                job.left += work / len(self._running)
        self.ran += work

    def offer(self, now: float, job: Work) -> Verdict:
        """A whole request has arrived."""
        if not self.up:
            return Verdict.DOWN
        if self.silent:
            return Verdict.SILENT
        if self.draining:
            return Verdict.DRAINING
        p = self.profile
        if len(self._running) >= p.slots and len(self._waiting) >= p.queue:
            return Verdict.FULL
        if job.once_key is not None and self._rack is not None and self._rack.is_repeat(now, job.once_key):
            return Verdict.REPEAT
        job.left = job.work * (1.0 - p.key_gain if self._knows(now, job.key) else 1.0)
        self._waiting.append(job)
        self._fill()
        self._tip(now, job.left)
        return Verdict.TAKEN if self.up else Verdict.DOWN

    def cancel(self, id: int) -> None:
        """Called off: what waits is dropped; what runs goes on for nobody, or stops where nodes can."""
        self._waiting = deque(job for job in self._waiting if job.id != id)
        for job in [j for j in self._running if j.id == id]:
            if self.profile.stops_running:
                self._running.remove(job)
            else:
                self.wasted += job.left
        self._fill()

    # ---- time ------------------------------------------------------------------------------------

    @property
    def held(self) -> int:
        return len(self._running) + len(self._waiting)

    def warmth(self, now: float) -> float:
        """Share of its capacity that it has by now: rises evenly from `cold_from`."""
        p, age = self.profile, now - self.started
        return (
            1.0
            if age >= p.slow_start_ms
            else p.initial_capacity_share + (1.0 - p.initial_capacity_share) * age / p.slow_start_ms
        )

    def rate(self, now: float) -> float:
        """Core-ms of work that one core does a ms, at this moment."""
        p = self.profile
        crowd = max(self.held - p.crowd_at * p.cores, 0.0) if p.crowd_at < math.inf else 0.0
        choke = p.choke_slower if self.choked_at is not None else 1.0
        return p.speed * self.warmth(now) / (1.0 + p.crowd_cost * crowd) / choke / self.slower

    def due(self) -> float:
        """When to call `advance` next: a finish, or the end of a step while anything may change."""
        if not self.up or not self._running:
            return math.inf
        share = min(1.0, self.profile.cores / len(self._running)) * self.rate(self._now)
        return self._now + min(min(job.left for job in self._running) / share, STEP)

    def advance(self, now: float) -> list[Ended]:
        """Works until `now`; what ended meanwhile, in order of time. A silent node ends nothing."""
        ended: list[Ended] = []
        while self._now < now:
            calm = not self._running and self.choked_at is None  # nothing changes but the busy share
            until = now if calm else min(now, self._now + STEP, self.due())
            self._work(until)
            for job in [j for j in self._running if j.left <= 1e-9]:
                self._running.remove(job)
                error = bool(self.profile.error_rate) and self._stream.random() < self.profile.error_rate
                if not self.silent:
                    ended.append(Ended(job.id, until, error))
            self._fill()
        return ended

    def _work(self, until: float) -> None:
        span, p = until - self._now, self.profile
        if self._running:
            done = span * self.rate(self._now) * min(1.0, p.cores / len(self._running))
            for job in self._running:
                job.left -= done
                self.ran += done
        at_work = min(len(self._running), p.cores) / p.cores
        self.busy += (at_work - self.busy) * (1.0 - math.exp(-span / _BUSY_MEMORY))
        self._now = until
        self._choke(until)

    def _choke(self, now: float) -> None:
        p = self.profile
        crowded, idle = self.held > p.choke_at * p.cores, self.busy < p.choke_below
        self._crowded_since = (
            (now if self._crowded_since is None else self._crowded_since) if crowded else None
        )
        self._idle_since = (now if self._idle_since is None else self._idle_since) if idle else None
        if self.choked_at is None:
            if crowded and now - self._crowded_since >= p.choke_over_ms:
                self.choked_at = now
        elif idle and now - self._idle_since >= p.choke_rest_ms or now - self.choked_at >= p.choke_most_ms:
            self.choked_at = self._crowded_since = None

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self.profile.slots:
            self._running.append(self._waiting.popleft())

    def _knows(self, now: float, key: int) -> bool:
        """Whether it met the key lately; it remembers so many, the latest ones."""
        if key < 0 or not self.profile.key_gain:
            return False
        known = now - self._keys.get(key, -math.inf) <= self.profile.key_ms
        self._keys[key] = now
        self._keys.move_to_end(key)
        if len(self._keys) > self.profile.keys:
            self._keys.popitem(last=False)
        return known

    def _tip(self, now: float, work: float) -> None:
        """A cold node that was sent too much within the window falls over, and stays down."""
        p = self.profile
        if p.cold_overload_factor == math.inf or self.warmth(now) >= 1.0:
            return
        self._sent.append((now, work))
        while self._sent[0][0] < now - p.cold_overload_window_ms:
            self._sent.popleft()
        can = p.cores * p.speed * self.warmth(now) * p.cold_overload_window_ms
        if sum(sent for _, sent in self._sent) > p.cold_overload_factor * can:
            self.crash()
