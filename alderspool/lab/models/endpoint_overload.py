"""How overload harms an endpoint: the lasting slowdown ("choke"), and the crash during slow start."""

from __future__ import annotations

from collections import deque

from alderspool.lab.models.endpoint_profile import EndpointProfile


class Choke:
    """Slowdown that begins after lasting congestion and ends after the endpoint was nearly idle."""

    def __init__(self, profile: EndpointProfile) -> None:
        self._profile = profile
        self.since_ms: float | None = None
        self._congested_since_ms: float | None = None
        self._idle_since_ms: float | None = None

    @property
    def slowdown(self) -> float:
        """The factor by which it is slower now."""
        return 1.0 if self.since_ms is None else self._profile.degraded_slowdown

    def update(self, now_ms: float, attempt_count: int, utilisation: float) -> None:
        """Begin or end the slowdown by the load at this moment."""
        profile = self._profile
        is_congested = attempt_count > profile.choke_threshold * profile.cores
        is_idle = utilisation < profile.choke_recovery_busy_share
        self._congested_since_ms = _since(is_congested, self._congested_since_ms, now_ms)
        self._idle_since_ms = _since(is_idle, self._idle_since_ms, now_ms)
        if self.since_ms is None:
            if _has_lasted(self._congested_since_ms, now_ms, profile.choke_after_ms):
                self.since_ms = now_ms
            return
        has_recovered = _has_lasted(self._idle_since_ms, now_ms, profile.choke_recovery_ms)
        if has_recovered or now_ms - self.since_ms >= profile.choke_max_ms:
            self.since_ms = None
            self._congested_since_ms = None


def _since(holds: bool, previous_ms: float | None, now_ms: float) -> float | None:
    """Return the moment since which a condition holds; None if it does not hold now."""
    if not holds:
        return None
    return now_ms if previous_ms is None else previous_ms


def _has_lasted(since_ms: float | None, now_ms: float, duration_ms: float) -> bool:
    return since_ms is not None and now_ms - since_ms >= duration_ms


class ColdOverload:
    """Work that an endpoint was sent during slow start, within a sliding window."""

    def __init__(self, profile: EndpointProfile) -> None:
        self._profile = profile
        self._arrivals: deque[tuple[float, float]] = deque()  # moment in ms, work

    def is_exceeded_by(self, now_ms: float, work: float, warm_up_factor: float) -> bool:
        """Count the work that arrived; return whether the window now has more than the endpoint survives."""
        profile = self._profile
        window_ms = profile.cold_overload_window_ms
        self._arrivals.append((now_ms, work))
        while self._arrivals[0][0] < now_ms - window_ms:
            self._arrivals.popleft()
        capacity = profile.cores * profile.speed * warm_up_factor * window_ms
        return sum(arrived for _, arrived in self._arrivals) > profile.cold_overload_factor * capacity
