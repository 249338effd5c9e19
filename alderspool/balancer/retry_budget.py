"""Retry budget: attempts beyond the first for a share of the requests only, else they multiply an overload.

What never ran counts too: it cost a connection or a rejection. A budget stated by the settings comes on top.
"""

from alderspool.balancer.containers import SlidingWindowCount
from alderspool.balancer.settings import Settings

TOKENS_PER_REQUEST = 0.2
MAX_TOKENS = 20.0
INITIAL_TOKENS = 10.0


class RetryBudget:
    """The tokens that requests earn for retries, and the stated budget over a sliding window."""

    def __init__(self, settings: Settings) -> None:
        self.tokens = INITIAL_TOKENS
        self._settings = settings
        self._is_stated = settings.retry_budget_window_ms > 0.0
        self._requests = SlidingWindowCount()
        self._retries = SlidingWindowCount()

    def deposit(self, now: float) -> None:
        """Credit a request that has come in."""
        self.tokens = min(self.tokens + TOKENS_PER_REQUEST, MAX_TOKENS)
        if self._is_stated:
            self._requests.add(now)

    def can_withdraw(self, now: float) -> bool:
        """Whether one more retry is within the budget; a step of the clock is the margin of the window."""
        if self._is_stated:
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
        if self._is_stated:
            self._retries.add(now)
