"""Slow start: the warm-up factor of endpoints that have just started, and the token budget that spares them.

A cold process that gets more than it can do fails at all of it, so its part is limited by tokens.
"""

from dataclasses import dataclass
from math import inf

from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.latency_estimates import LatencyEstimates, WorkRate
from alderspool.balancer.settings import Settings

# Multiple of its stated share of what warm endpoints do that a cold one gets: the stated share is the least
# that it can do, and what it does not get falls to the warm ones.
BUDGET_FACTOR = 2.4
OVERLOAD_SHARE = 0.6  # but no more than this share of the multiple that overloads it: subsets cover unevenly
WINDOW_SHARE_KEPT = 0.5  # of the overload window: unused tokens beyond one and this much lapse


@dataclass(slots=True)
class SlowStart:
    """Budgets of the endpoints that warm up."""

    settings: Settings
    latency: LatencyEstimates
    work_rate: WorkRate

    def warm_up_factor(self, endpoint: EndpointState, now: float) -> float:
        """Return the share of its capacity that the endpoint surely has by now."""
        age_ms = max(now - endpoint.started_at, 0.0)
        slow_start_ms = self.settings.slow_start_ms
        if endpoint.started_at <= 0.0 or age_ms >= slow_start_ms:
            return 1.0
        initial = self.settings.initial_capacity_share
        return initial + (1.0 - initial) * age_ms / slow_start_ms

    def refresh(self, endpoints: list[EndpointState], now: float, elapsed_ms: float) -> None:
        """Learn from the warm endpoints, and give the others their tokens for the time that has passed."""
        settings = self.settings
        budget_factor = min(BUDGET_FACTOR, OVERLOAD_SHARE * settings.cold_overload_factor)
        warm = [e for e in endpoints if e.warm_up_factor >= 1.0 and not e.consecutive_failures]
        self.work_rate.learn(warm, now, elapsed_ms)
        # Live weights sink under load: an empty cold endpoint lists a multiple of the others'.
        top_size = self.work_rate.mean_size if warm and settings.weights_live else inf
        # What arrives counts retries and rejected work: it serves only until a warm endpoint was seen.
        total_size = sum(endpoint.size for endpoint in endpoints)
        work_rate = self.work_rate.per_size or self.latency.arrivals.rate / total_size
        for endpoint in endpoints:
            endpoint.cold_rate = inf
            factor = endpoint.warm_up_factor
            if factor < 1.0:
                rate = budget_factor * factor * min(endpoint.size, top_size) * work_rate
                endpoint.cold_rate = rate
                # They start at random levels and lapse unused: else hundreds of instances spend one at once.
                endpoint.cold_tokens += rate * elapsed_ms
                kept = 1.0 + rate * WINDOW_SHARE_KEPT * settings.cold_overload_window_ms
                if endpoint.cold_tokens > kept:
                    endpoint.cold_tokens -= 1.0
