"""Schedule of the refreshes, and of discovery polls after a failed call."""

REFRESH_INTERVAL_MS = 100.0  # minimum; well below human reaction time, rare enough to be cheap
MIN_REFRESH_REQUESTS = 4.0  # work that must have arrived before, in requests of mean typical latency
MAX_REFRESH_INTERVAL_MS = 500.0  # however little work has arrived
MIN_ELAPSED_MS = 1e-3
MAX_ELAPSED_MS = 1000.0  # a longer time between two refreshes counts as this long
FIRST_POLL_BACKOFF_MS = 1000.0  # doubles with each further failure
# An update counts as notified 6 s after it was made, even if discovery was unreachable: poll again sooner.
MAX_POLL_BACKOFF_MS = 4000.0
MAX_LOG_LINES = 60  # in the lifetime of an instance


def is_refresh_due(age_ms: float, arrived_work: float) -> bool:
    """Whether a refresh is due, given that the last one is at least one refresh interval old."""
    return arrived_work >= MIN_REFRESH_REQUESTS or age_ms >= MAX_REFRESH_INTERVAL_MS


def poll_backoff_ms(earlier_failures: int, list_max_age_ms: float, random_share: float) -> float:
    """Return the jittered delay before the next poll, which is at most the maximum age of the list."""
    backoff_ms = min(FIRST_POLL_BACKOFF_MS * 2.0**earlier_failures, MAX_POLL_BACKOFF_MS, list_max_age_ms)
    return backoff_ms * (0.5 + 0.5 * random_share)
