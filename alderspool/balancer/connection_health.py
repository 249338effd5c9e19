"""Connection health: how long idle connections are trusted, and when open ones are preferred to new ones."""

from dataclasses import dataclass

from alderspool.balancer.events import AttemptStatus

# When a connection is reset after being idle for longer than MIN_TRUSTED_IDLE_MS, the trusted idle time drops
# to TRUST_MARGIN of that idle time. It then grows again, by a factor of e in about TRUST_REGROWTH_MS.
MIN_TRUSTED_IDLE_MS = 300.0
TRUST_MARGIN = 0.7
TRUST_REGROWTH_MS = 20_000.0
INITIAL_TRUSTED_IDLE_MS = 1e6
CONNECT_FAILURES_HIGH = 0.1  # open connections are preferred above this share of failed connects
CONNECT_FAILURES_LOW = 0.02  # negligible: below it, connections may be closed and reopened
CONNECT_FAILURE_GAIN = 0.05  # gain of the moving average of that share


@dataclass(slots=True)
class ConnectionHealth:
    """Learned reliability of connections, over all endpoints."""

    connect_failure_share: float = 0.0
    trusted_idle_ms: float = INITIAL_TRUSTED_IDLE_MS  # after this, it may have been dropped unnoticed

    def is_stale(self, idle_ms: float) -> bool:
        """Whether a connection that has been idle for this long should be closed and reopened."""
        return idle_ms > self.trusted_idle_ms and self.connect_failure_share < CONNECT_FAILURES_LOW

    def record_end(self, status: int, idle_ms: float) -> None:
        """Record the outcome of an attempt, and how long its connection had been idle before it."""
        was_dropped = status == AttemptStatus.RESET and idle_ms > MIN_TRUSTED_IDLE_MS
        if was_dropped and self.connect_failure_share < CONNECT_FAILURES_LOW:
            self.trusted_idle_ms = max(min(self.trusted_idle_ms, TRUST_MARGIN * idle_ms), MIN_TRUSTED_IDLE_MS)
        failed = 1.0 if status == AttemptStatus.CONNECT_FAILED else 0.0
        self.connect_failure_share += (failed - self.connect_failure_share) * CONNECT_FAILURE_GAIN

    def refresh(self, elapsed_ms: float) -> None:
        """Let the trusted idle time grow for the elapsed time."""
        self.trusted_idle_ms *= 1.0 + elapsed_ms / TRUST_REGROWTH_MS
