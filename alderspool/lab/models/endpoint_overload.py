"""Effects of overload on an endpoint: lasting degradation, and a crash during slow start."""

from __future__ import annotations

from collections import deque

from alderspool.lab.models.endpoint_profile import EndpointProfile


class Degradation:
    """Slowdown that begins after lasting congestion and ends after the endpoint has been nearly idle."""

    def __init__(self, profile: EndpointProfile) -> None:
        self._profile = profile
        self.since_ms: float | None = None  # None: not degraded
        self._congested_since_ms: float | None = None
        self._idle_since_ms: float | None = None

    @property
    def slowdown(self) -> float:
        """The factor by which the endpoint is slower now; 1 if it is not degraded."""
        return 1.0 if self.since_ms is None else self._profile.degraded_slowdown

    def update(self, now_ms: float, attempt_count: int, utilisation: float) -> None:
        """Begin or end the degradation according to the current load."""
        profile = self._profile
        is_congested = attempt_count > profile.degradation_threshold * profile.cores
        is_idle = utilisation < profile.degradation_recovery_utilisation
        self._congested_since_ms = _since(is_congested, self._congested_since_ms, now_ms)
        self._idle_since_ms = _since(is_idle, self._idle_since_ms, now_ms)
        if self.since_ms is None:
            if _has_lasted(self._congested_since_ms, now_ms, profile.degradation_after_ms):
                self.since_ms = now_ms
            return
        has_recovered = _has_lasted(self._idle_since_ms, now_ms, profile.degradation_recovery_ms)
        if has_recovered or now_ms - self.since_ms >= profile.degradation_max_ms:
            self.since_ms = None
            self._congested_since_ms = None


def _since(is_met: bool, previous_ms: float | None, now_ms: float) -> float | None:
    """Return since when a condition has held without interruption; None if it does not hold now."""
    if not is_met:
        return None
    return now_ms if previous_ms is None else previous_ms


def _has_lasted(since_ms: float | None, now_ms: float, duration_ms: float) -> bool:
    return since_ms is not None and now_ms - since_ms >= duration_ms


class ColdOverloadDetector:
    """Detects overload in slow start from the work that arrives within a sliding window."""

    def __init__(self, profile: EndpointProfile) -> None:
        self._profile = profile
        self._arrived_work: deque[tuple[float, float]] = deque()  # (time in ms, work)

    def detects_overload(self, now_ms: float, work: float, warm_up_factor: float) -> bool:
        """Add work that arrives now; return whether the work in the window exceeds the overload limit."""
        profile = self._profile
        window_ms = profile.cold_overload_window_ms
        self._arrived_work.append((now_ms, work))
        while self._arrived_work[0][0] < now_ms - window_ms:
            self._arrived_work.popleft()
        capacity = profile.cores * profile.speed * warm_up_factor * window_ms
        return sum(arrived for _, arrived in self._arrived_work) > profile.cold_overload_factor * capacity
