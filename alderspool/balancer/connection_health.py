"""Connections: which idle ones are trusted, and when open ones are preferred to new ones."""

from dataclasses import dataclass

from alderspool.balancer.events import AttemptStatus

# A loss on a connection idle for over the first sets the trusted time to this share of it; it regrows.
MIN_TRUSTED_IDLE_MS = 300.0
TRUST_MARGIN = 0.7
TRUST_REGROWTH_MS = 20_000.0
INITIAL_TRUSTED_IDLE_MS = 1e6
CONNECT_FAILURES_HIGH = 0.1  # share of attempts that fail to connect from which open connections go first
CONNECT_FAILURES_LOW = 0.02  # as good as none: below it connections may be closed and opened anew
CONNECT_FAILURE_GAIN = 0.05  # of the moving average


@dataclass(slots=True)
class ConnectionHealth:
    """What was learned of connections, over all endpoints."""

    connect_failure_share: float = 0.0
    trusted_idle_ms: float = INITIAL_TRUSTED_IDLE_MS  # idle for longer it may have been dropped unseen

    def is_stale(self, idle_ms: float) -> bool:
        """Whether a connection that has been idle for so long is closed and opened anew."""
        return idle_ms > self.trusted_idle_ms and self.connect_failure_share < CONNECT_FAILURES_LOW

    def record_end(self, status: int, idle_ms: float) -> None:
        """Take in how an attempt ended, and how long its connection had been idle before it."""
        was_dropped = status == AttemptStatus.RESET and idle_ms > MIN_TRUSTED_IDLE_MS
        if was_dropped and self.connect_failure_share < CONNECT_FAILURES_LOW:
            self.trusted_idle_ms = max(min(self.trusted_idle_ms, TRUST_MARGIN * idle_ms), MIN_TRUSTED_IDLE_MS)
        failed = 1.0 if status == AttemptStatus.CONNECT_FAILED else 0.0
        self.connect_failure_share += (failed - self.connect_failure_share) * CONNECT_FAILURE_GAIN

    def refresh(self, elapsed_ms: float) -> None:
        """Let the trusted time regrow."""
        self.trusted_idle_ms *= 1.0 + elapsed_ms / TRUST_REGROWTH_MS
