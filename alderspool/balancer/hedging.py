"""Hedging: a second attempt while the first is open, as that sits on a paused or slowed endpoint."""

from alderspool.balancer.request_state import RequestState
from alderspool.balancer.settings import Settings

DELAY_FACTOR = 3.0  # typical latencies after which a hedge goes out; sooner it hits what just takes longer
MIN_TIME_LEFT_FACTOR = 0.3  # typical latencies that must be left of the latency objective


def hedge_delay_ms(typical_ms: float) -> float:
    """Return the time after an attempt at which a hedge is due."""
    return DELAY_FACTOR * typical_ms


def can_meet_objective(request: RequestState, now: float, typical_ms: float) -> bool:
    """Whether a hedge that goes out now may still be in time."""
    return now + MIN_TIME_LEFT_FACTOR * typical_ms <= request.objective_at


def cancels_open_attempts(settings: Settings) -> bool:
    """Whether open attempts of a finished request are cancelled: only where hedges are made at all."""
    return settings.cancel_allowed and settings.hedging_allowed
