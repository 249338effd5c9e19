"""Hedging: a second attempt while the first is still open, perhaps at a paused or slow endpoint."""

from alderspool.balancer.request_state import RequestState
from alderspool.balancer.settings import Settings

# A hedge is sent after this many typical latencies; sooner, it would duplicate what just takes longer.
DELAY_FACTOR = 3.0
MIN_TIME_LEFT_FACTOR = 0.3  # typical latencies that must remain of the latency objective


def hedge_delay_ms(typical_ms: float) -> float:
    """Return how long after an attempt a hedge is due."""
    return DELAY_FACTOR * typical_ms


def can_meet_objective(request: RequestState, now: float, typical_ms: float) -> bool:
    """Whether a hedge that is sent now may still meet the latency objective."""
    return now + MIN_TIME_LEFT_FACTOR * typical_ms <= request.objective_at


def cancels_open_attempts(settings: Settings) -> bool:
    """Whether open attempts of a finished request are cancelled; only if hedging is allowed too."""
    return settings.cancel_allowed and settings.hedging_allowed
