"""Slow start: the warm-up factor and the token budget of endpoints that have just started.

A cold process that gets more work than it can do fails at all of it, so tokens limit what it gets.
"""

from dataclasses import dataclass
from math import inf

from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.latency_estimates import LatencyEstimates, WorkRate
from alderspool.balancer.settings import Settings

# A cold endpoint's budget is this multiple of its configured share of the work that warm endpoints serve. The
# configured share is a lower bound of what it can do, and work that it does not get falls to the warm ones.
BUDGET_FACTOR = 2.4
OVERLOAD_SHARE = 0.6  # caps that multiple at this share of cold_overload_factor: subsets cover unevenly
# An endpoint keeps one unused token and those of this share of the overload window; beyond that they expire.
WINDOW_SHARE_KEPT = 0.5


@dataclass(slots=True)
class SlowStart:
    """Token budgets of the endpoints that are warming up."""

    settings: Settings
    latency: LatencyEstimates
    work_rate: WorkRate

    def warm_up_factor(self, endpoint: EndpointState, now: float) -> float:
        """Return the share of its full capacity that the endpoint has at least reached by now."""
        age_ms = max(now - endpoint.started_at, 0.0)
        slow_start_ms = self.settings.slow_start_ms
        if endpoint.started_at <= 0.0 or age_ms >= slow_start_ms:
            return 1.0
        initial = self.settings.initial_capacity_share
        return initial + (1.0 - initial) * age_ms / slow_start_ms

    def refresh(self, endpoints: list[EndpointState], now: float, elapsed_ms: float) -> None:
        """Learn the work rate of the warm endpoints, and give the cold ones tokens for the elapsed time."""
        settings = self.settings
        budget_factor = min(BUDGET_FACTOR, OVERLOAD_SHARE * settings.cold_overload_factor)
        warm = [e for e in endpoints if e.warm_up_factor >= 1.0 and not e.consecutive_failures]
        self.work_rate.learn(warm, now, elapsed_ms)
        # Live weights drop under load, so an idle cold endpoint lists a multiple of the others' weight.
        max_size = self.work_rate.mean_size if warm and settings.weights_live else inf
        # The arrival rate includes retries and rejected work, so it is used only until the work rate of a
        # warm endpoint is known.
        total_size = sum(endpoint.size for endpoint in endpoints)
        work_rate = self.work_rate.per_size or self.latency.arrivals.rate / total_size
        for endpoint in endpoints:
            endpoint.cold_rate = inf
            factor = endpoint.warm_up_factor
            if factor < 1.0:
                rate = budget_factor * factor * min(endpoint.size, max_size) * work_rate
                endpoint.cold_rate = rate
                # Token counts start at random levels and unused tokens expire; otherwise hundreds of
                # instances would each spend a token at the same time.
                endpoint.cold_tokens += rate * elapsed_ms
                max_tokens = 1.0 + rate * WINDOW_SHARE_KEPT * settings.cold_overload_window_ms
                if endpoint.cold_tokens > max_tokens:
                    endpoint.cold_tokens -= 1.0
