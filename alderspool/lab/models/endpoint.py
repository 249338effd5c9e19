"""Model of an endpoint: cores, queue, connections, slow start, key cache and faults.

Each core of an endpoint of speed 1 does 1 ms of work per ms. Time advances in steps of at most `STEP_MS`, and
the speed is constant within a step. Completion times are therefore exact except for changes of the speed
within a step.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import Enum

import numpy as np

from alderspool.lab.models.deduplication import DeduplicationScope
from alderspool.lab.models.endpoint_overload import ColdOverloadDetector, Degradation
from alderspool.lab.models.endpoint_profile import EndpointProfile

STEP_MS = 10.0  # longest time for which the warm-up factor and the degradation are taken as constant
_UTILISATION_TIME_CONSTANT_MS = 500.0
_WORK_TOLERANCE = 1e-9  # an attempt with no more work left than this is complete


class OfferResult(Enum):
    """Immediate result of offering an attempt to an endpoint."""

    ACCEPTED = "accepted"  # running or queued; `advance` will return its completion
    REJECTED_FULL = "rejected: full"  # not run
    REJECTED_DRAINING = "rejected: draining"  # not run
    DUPLICATE = "duplicate"  # not run: its idempotency key was seen before; gets a success response
    SILENT = "silent"  # not run, and gets no response
    DOWN = "down"  # not run: the endpoint has no process


@dataclass(slots=True)
class EndpointAttempt:
    """An attempt that is sent to an endpoint."""

    id: int
    work: float  # in ms of one core of speed 1
    key: int = -1  # key of the request in the key cache; -1: none
    idempotency_key: str | None = None
    work_left: float = 0.0


@dataclass(frozen=True)
class Completion:
    """Completion of an attempt."""

    id: int
    at_ms: float
    is_error: bool  # whether the response is an error


class KeyCache:
    """LRU cache of the keys that an endpoint has used recently; a cached key saves work."""

    def __init__(self, profile: EndpointProfile) -> None:
        self._profile = profile
        self._used_at_ms: OrderedDict[int, float] = OrderedDict()

    def access(self, now_ms: float, key: int) -> bool:
        """Return whether the key is cached, and cache it or renew its expiry."""
        if key < 0 or not self._profile.cached_key_saving:
            return False
        is_cached = now_ms - self._used_at_ms.get(key, -math.inf) <= self._profile.key_cache_ms
        self._used_at_ms[key] = now_ms
        self._used_at_ms.move_to_end(key)
        if len(self._used_at_ms) > self._profile.key_cache_size:
            self._used_at_ms.popitem(last=False)
        return is_cached


class EndpointModel:
    """An endpoint and its current process.

    Times passed in must not decrease. At each point in time, call `advance` before any other method. The
    attributes `slowdown`, `is_silent` and `is_draining` are set by the caller.
    """

    def __init__(
        self,
        profile: EndpointProfile,
        random: np.random.Generator,
        deduplication: DeduplicationScope | None = None,
        now_ms: float = 0.0,
    ) -> None:
        self.profile = profile
        self._random = random
        self._deduplication = deduplication
        self.slowdown = 1.0
        self.is_silent = False
        self.is_draining = False
        self._start_process(now_ms, -math.inf)

    def _start_process(self, now_ms: float, started_at_ms: float) -> None:
        self.is_up = True
        self._now_ms = now_ms
        self.started_at_ms = started_at_ms
        self._running: list[EndpointAttempt] = []
        self._queue: deque[EndpointAttempt] = deque()
        self._key_cache = KeyCache(self.profile)
        self._cold_overload_detector = ColdOverloadDetector(self.profile)
        self._degradation = Degradation(self.profile)
        self.connections = 0
        self.utilisation = 0.0  # moving average of the share of busy cores
        self.work_done = 0.0
        self.work_wasted = 0.0  # work left of running attempts when they were cancelled

    # ---- process and connections -----------------------------------------------------------------

    def crash(self) -> None:
        """End the process; its attempts and connections are lost."""
        self.is_up = False
        self._running = []
        self._queue = deque()
        self.connections = 0

    def restart(self, now_ms: float) -> None:
        """Start a new process in slow start, with empty caches."""
        self.is_silent = False
        self.is_draining = False
        self._start_process(now_ms, now_ms)

    def connect(self) -> bool:
        """Open a connection, which costs work; return False if the endpoint is down or has too many."""
        if not self.is_up or self.connections >= self.profile.max_connections:
            return False
        self.connections += 1
        self._add_overhead(self.profile.handshake_work)
        return True

    def disconnect(self) -> None:
        """Close a connection."""
        self.connections = max(self.connections - 1, 0)

    def check_health(self) -> bool:
        """Return whether the endpoint passes a health check, which costs work."""
        if not self.is_up or self.is_silent:
            return False
        self._add_overhead(self.profile.health_check_work)
        return not self.is_draining

    def _add_overhead(self, work: float) -> None:
        """Do work that belongs to no attempt and delays the running ones."""
        if work and self._running:
            for attempt in self._running:
                attempt.work_left += work / len(self._running)
        self.work_done += work

    # ---- attempts --------------------------------------------------------------------------------

    def offer(self, now_ms: float, attempt: EndpointAttempt) -> OfferResult:
        """Run, queue or reject an attempt whose request has been received completely."""
        rejection = self._check_admission(now_ms, attempt)
        if rejection is not None:
            return rejection
        is_cached = self._key_cache.access(now_ms, attempt.key)
        attempt.work_left = attempt.work * (1.0 - self.profile.cached_key_saving if is_cached else 1.0)
        self._queue.append(attempt)
        self._start_queued()
        self._crash_if_overloaded_in_slow_start(now_ms, attempt.work_left)
        return OfferResult.ACCEPTED if self.is_up else OfferResult.DOWN

    def _check_admission(self, now_ms: float, attempt: EndpointAttempt) -> OfferResult | None:
        """Return why the attempt is not run; None if it is, and its idempotency key is then recorded."""
        result = None
        if not self.is_up:
            result = OfferResult.DOWN
        elif self.is_silent:
            result = OfferResult.SILENT
        elif self.is_draining:
            result = OfferResult.REJECTED_DRAINING
        elif len(self._running) >= self.profile.max_running and len(self._queue) >= self.profile.max_queued:
            result = OfferResult.REJECTED_FULL
        elif (
            attempt.idempotency_key is not None
            and self._deduplication is not None
            and self._deduplication.is_duplicate(now_ms, attempt.idempotency_key)
        ):
            result = OfferResult.DUPLICATE
        return result

    def cancel(self, attempt_id: int) -> None:
        """Cancel an attempt.

        A queued attempt is removed. If the profile has `can_cancel_running`, a running one is stopped;
        otherwise it continues to run, and the work left counts as wasted.
        """
        self._queue = deque(attempt for attempt in self._queue if attempt.id != attempt_id)
        for attempt in [attempt for attempt in self._running if attempt.id == attempt_id]:
            if self.profile.can_cancel_running:
                self._running.remove(attempt)
            else:
                self.work_wasted += attempt.work_left
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.profile.max_running:
            self._running.append(self._queue.popleft())

    def _crash_if_overloaded_in_slow_start(self, now_ms: float, work: float) -> None:
        warm_up_factor = self.warm_up_factor(now_ms)
        if self.profile.cold_overload_factor == math.inf or warm_up_factor >= 1.0:
            return
        if self._cold_overload_detector.detects_overload(now_ms, work, warm_up_factor):
            self.crash()

    # ---- load and rate ---------------------------------------------------------------------------

    @property
    def attempt_count(self) -> int:
        """Number of running and queued attempts."""
        return len(self._running) + len(self._queue)

    @property
    def degraded_since_ms(self) -> float | None:
        """Since when the endpoint has been degraded by congestion; None if it is not."""
        return self._degradation.since_ms

    def warm_up_factor(self, now_ms: float) -> float:
        """Return the share of the full capacity at this time; it rises linearly during slow start."""
        profile = self.profile
        age_ms = now_ms - self.started_at_ms
        if age_ms >= profile.slow_start_ms:
            return 1.0
        initial = profile.initial_capacity_share
        return initial + (1.0 - initial) * age_ms / profile.slow_start_ms

    def rate(self, now_ms: float) -> float:
        """Return the work that one core does per ms at this time."""
        profile = self.profile
        excess_attempts = 0.0
        if profile.congestion_threshold < math.inf:
            excess_attempts = max(self.attempt_count - profile.congestion_threshold * profile.cores, 0.0)
        congestion = 1.0 + profile.congestion_cost * excess_attempts
        warm_up_factor = self.warm_up_factor(now_ms)
        return profile.speed * warm_up_factor / congestion / self._degradation.slowdown / self.slowdown

    # ---- time ------------------------------------------------------------------------------------

    def next_event_at(self) -> float:
        """Return when to call `advance` next: at a completion or the end of a step; infinity if idle."""
        if not self.is_up or not self._running:
            return math.inf
        rate = min(1.0, self.profile.cores / len(self._running)) * self.rate(self._now_ms)
        min_work_left = min(attempt.work_left for attempt in self._running)
        return self._now_ms + min(min_work_left / rate, STEP_MS)

    def advance(self, now_ms: float) -> list[Completion]:
        """Run the attempts until now; return the completions in order of time. A silent endpoint has none."""
        completions: list[Completion] = []
        while self._now_ms < now_ms:
            until_ms = now_ms
            if self._running or self._degradation.since_ms is not None:
                until_ms = min(now_ms, self._now_ms + STEP_MS, self.next_event_at())
            self._run_until(until_ms)
            completions += self._remove_completed(until_ms)
            self._start_queued()
        return completions

    def _remove_completed(self, now_ms: float) -> list[Completion]:
        completions = []
        for attempt in [attempt for attempt in self._running if attempt.work_left <= _WORK_TOLERANCE]:
            self._running.remove(attempt)
            error_rate = self.profile.error_rate
            is_error = bool(error_rate) and self._random.random() < error_rate
            if not self.is_silent:
                completions.append(Completion(attempt.id, now_ms, is_error))
        return completions

    def _run_until(self, until_ms: float) -> None:
        """Run for one step, which must not contain a completion before its end."""
        duration_ms = until_ms - self._now_ms
        cores = self.profile.cores
        if self._running:
            work = duration_ms * self.rate(self._now_ms) * min(1.0, cores / len(self._running))
            for attempt in self._running:
                attempt.work_left -= work
                self.work_done += work
        utilisation = min(len(self._running), cores) / cores
        weight = 1.0 - math.exp(-duration_ms / _UTILISATION_TIME_CONSTANT_MS)
        self.utilisation += (utilisation - self.utilisation) * weight
        self._now_ms = until_ms
        self._degradation.update(until_ms, self.attempt_count, self.utilisation)
