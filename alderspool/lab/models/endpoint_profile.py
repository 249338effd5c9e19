"""Parameters of the endpoint model."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class EndpointProfile:
    """Fixed properties of an endpoint. Work is in ms of one core of speed 1."""

    cores: int = 2
    speed: float = 1.0
    max_running: int = 2  # attempts that run at the same time
    max_queued: int = 50  # attempts that wait for one of them to end
    max_connections: int = 10_000

    initial_capacity_share: float = 0.4  # share of the full capacity right after a start
    slow_start_ms: float = 0.0  # 0: no slow start
    # During slow start, the endpoint crashes if the work that arrives within the window exceeds this multiple
    # of its capacity.
    cold_overload_factor: float = math.inf
    cold_overload_window_ms: float = 1000.0

    cached_key_saving: float = 0.0  # share of the work that a cached key saves; 0: no key cache
    key_cache_ms: float = 5000.0
    key_cache_size: int = 100

    congestion_threshold: float = math.inf  # attempts for each core
    congestion_cost: float = 0.0  # added to the slowdown factor by each attempt over the threshold

    # An endpoint with more attempts than the threshold for `degradation_after_ms` becomes slower. This ends
    # after `degradation_max_ms` or, before that, once the utilisation of the endpoint has been below
    # `degradation_recovery_utilisation` for `degradation_recovery_ms`.
    degradation_threshold: float = math.inf  # attempts for each core
    degradation_after_ms: float = 2000.0
    degraded_slowdown: float = 3.0
    degradation_recovery_utilisation: float = 0.3
    degradation_recovery_ms: float = 3000.0
    degradation_max_ms: float = 22_000.0

    handshake_work: float = 0.0
    health_check_work: float = 0.0
    error_rate: float = 0.0  # share of completed attempts with an error response
    can_cancel_running: bool = False  # whether it can stop a cancelled attempt that is running
