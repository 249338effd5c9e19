"""The endpoints of the fleet model: speed, slow start, queue, and degradation after lasting overload.

Times are in ms of virtual time; work is in ms of one core of speed 1.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from alderspool.balancer.events import Availability, EndpointEntry

if TYPE_CHECKING:
    from fleet_model import SimulatedAttempt

CORES = 2

INITIAL_CAPACITY_SHARE = 0.4  # of the full speed, when the process has just started
SLOW_START_MS = 4000.0

# An endpoint that holds more than this many attempts for this long is degraded: its speed is divided by the
# slowdown. This models an overload that outlasts its cause (metastable failure).
DEGRADE_ABOVE_ATTEMPTS = 10
DEGRADE_AFTER_MS = 2000.0
DEGRADED_SLOWDOWN = 3.0
# It recovers once its utilisation has been below this limit for this long, or after the maximum time.
RECOVERY_UTILISATION = 0.3
RECOVER_AFTER_MS = 2500.0
MAX_DEGRADED_MS = 22_000.0

UTILISATION_WEIGHT = 0.04  # weight of a new sample in the moving average


@dataclass
class EndpointNode:
    """One endpoint. `Fleet` runs its queue; tests set its fields to inject faults."""

    id: bytes
    speed: float
    cell: int
    started_at_ms: float = 0.0  # 0: long ago, no slow start
    availability: int = Availability.READY
    is_alive: bool = True
    silent: bool = False  # injected fault: accepts attempts and never responds
    slowdown_factor: float = 1.0  # injected fault: divides the speed
    running: int = 0  # number of attempts that are being executed, at most CORES
    incarnation: int = 0  # number of crashes; an execution that began before the last one has no effect
    queue: deque[SimulatedAttempt] = field(default_factory=deque)
    degraded_since: float | None = None
    congested_since: float | None = None
    idle_since: float | None = None
    utilisation: float = 0.0  # moving average of the share of its cores that are busy

    def core_speed(self, now_ms: float) -> float:
        """Return the work that one core does per ms at this moment."""
        warm_up_factor = 1.0
        if self.started_at_ms:
            age_ms = now_ms - self.started_at_ms
            warm_up_factor = INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * age_ms / SLOW_START_MS
            warm_up_factor = min(warm_up_factor, 1.0)
        degraded_slowdown = DEGRADED_SLOWDOWN if self.degraded_since is not None else 1.0
        return self.speed * warm_up_factor / self.slowdown_factor / degraded_slowdown

    def entry(self) -> EndpointEntry:
        """Return its entry in the endpoint list."""
        return EndpointEntry(self.id, 1.0, self.cell, self.started_at_ms, self.availability)

    def is_ready_and_responding(self) -> bool:
        """Return whether it is listed as ready and responds."""
        return self.is_alive and not self.silent and self.availability == Availability.READY

    def sample_load(self, now_ms: float) -> None:
        """Update the average utilisation, and begin or end the degradation that overload causes."""
        self.utilisation += (self.running / CORES - self.utilisation) * UTILISATION_WEIGHT
        is_congested = self.running + len(self.queue) > DEGRADE_ABOVE_ATTEMPTS
        is_idle = self.utilisation < RECOVERY_UTILISATION
        self.congested_since = (self.congested_since or now_ms) if is_congested else None
        self.idle_since = (self.idle_since or now_ms) if is_idle else None
        if self.degraded_since is None:
            if self.congested_since and now_ms - self.congested_since > DEGRADE_AFTER_MS:
                self.degraded_since = now_ms
            return
        has_recovered = self.idle_since is not None and now_ms - self.idle_since > RECOVER_AFTER_MS
        if has_recovered or now_ms - self.degraded_since > MAX_DEGRADED_MS:
            self.degraded_since = None

    def crash_process(self) -> None:
        """Lose the process and all executions in it; the caller empties the queue."""
        self.is_alive = False
        self.running = 0
        self.incarnation += 1

    def start_process(self, now_ms: float) -> None:
        """Start a new process, in slow start."""
        self.is_alive = True
        self.started_at_ms = now_ms
        self.availability = Availability.READY
        self.degraded_since = None
