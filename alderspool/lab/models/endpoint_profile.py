"""What an endpoint of the model is like."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class EndpointProfile:
    """The fixed properties of an endpoint. Times in ms; work in ms of a core of speed 1."""

    cores: int = 2
    speed: float = 1.0
    max_running: int = 2
    max_queued: int = 50  # beyond those that run
    max_connections: int = 10_000

    initial_capacity_share: float = 0.4  # of the capacity, right after a start
    slow_start_ms: float = 0.0  # 0: no slow start
    cold_overload_factor: float = (
        math.inf
    )  # sent over this multiple of its capacity in slow start, it crashes
    cold_overload_window_ms: float = 1000.0

    cached_key_saving: float = 0.0  # share of the work that is saved for a cached key
    key_cache_ms: float = 5000.0
    key_cache_size: int = 100

    congestion_threshold: float = math.inf  # attempts for each core
    congestion_cost: float = 0.0  # loss of efficiency by each attempt over the threshold

    choke_threshold: float = math.inf  # attempts for each core; more for `choke_after_ms` make it slower
    choke_after_ms: float = 2000.0
    degraded_slowdown: float = 3.0
    choke_recovery_busy_share: float = 0.3  # less busy than this for `choke_recovery_ms` ends it
    choke_recovery_ms: float = 3000.0
    choke_max_ms: float = 22_000.0

    handshake_work: float = 0.0
    health_check_work: float = 0.0
    error_rate: float = 0.0
    stops_cancelled: bool = False  # whether a cancelled attempt that runs is stopped
