"""Retry budget: limits retries and hedges to a share of the requests, as more would amplify an overload.

Retries of attempts that never ran count too, since each of these cost a connect or a rejection. A budget
configured in the settings applies in addition.
"""

from alderspool.balancer.containers import SlidingWindowCount
from alderspool.balancer.settings import Settings

TOKENS_PER_REQUEST = 0.2
MAX_TOKENS = 20.0
INITIAL_TOKENS = 10.0


class RetryBudget:
    """A token bucket filled by requests, and the configured budget over a sliding window."""

    def __init__(self, settings: Settings) -> None:
        self.tokens = INITIAL_TOKENS
        self._settings = settings
        self._has_configured_budget = settings.retry_budget_window_ms > 0.0
        self._requests = SlidingWindowCount(settings.retry_budget_window_ms)
        self._retries = SlidingWindowCount(settings.retry_budget_window_ms + settings.clock_step_ms)

    def deposit(self, now: float) -> None:
        """Credit a new request."""
        self.tokens = min(self.tokens + TOKENS_PER_REQUEST, MAX_TOKENS)
        if self._has_configured_budget:
            self._requests.add(now)

    def can_withdraw(self, now: float) -> bool:
        """Whether one more retry is within the budget.

        The window is one clock step longer for retries, and one shorter for requests, to be on the safe side.
        """
        if self._has_configured_budget:
            settings = self._settings
            start = now - settings.retry_budget_window_ms
            retries = self._retries.count_since(start - settings.clock_step_ms)
            requests = self._requests.count_since(start + settings.clock_step_ms)
            if retries + 1 > settings.retry_budget_floor + settings.retry_budget_ratio * requests:
                return False
        return self.tokens >= 1.0

    def withdraw(self, now: float) -> None:
        """Charge a retry or a hedge."""
        self.tokens -= 1.0
        if self._has_configured_budget:
            self._retries.add(now)
