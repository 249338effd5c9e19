"""Schedule: when what was learned is rebuilt, and when discovery is polled again after a failed call."""

REFRESH_INTERVAL_MS = 100.0  # far under human time, rare enough to be cheap
MIN_REFRESH_REQUESTS = 4.0  # but not before so much work came, in requests of mean typical latency
MAX_REFRESH_INTERVAL_MS = 500.0  # or so long passed
MIN_ELAPSED_MS = 1e-3
MAX_ELAPSED_MS = 1000.0  # a longer pause between two refreshes counts as this long
FIRST_POLL_BACKOFF_MS = 1000.0  # doubles with each further failure
# A drain counts as notified 6 s after it was made, heard or not: discovery is polled again within this.
MAX_POLL_BACKOFF_MS = 4000.0
MAX_LOG_LINES = 60  # per life of an instance


def is_refresh_due(age_ms: float, arrived_work: float) -> bool:
    """Whether the traffic since the last refresh, at least one interval ago, is enough for the next."""
    return arrived_work >= MIN_REFRESH_REQUESTS or age_ms >= MAX_REFRESH_INTERVAL_MS


def poll_backoff_ms(earlier_failures: int, list_max_age_ms: float, random_share: float) -> float:
    """Return the wait before the next poll: jittered, and sooner than the list is stale."""
    backoff_ms = min(FIRST_POLL_BACKOFF_MS * 2.0**earlier_failures, MAX_POLL_BACKOFF_MS, list_max_age_ms)
    return backoff_ms * (0.5 + 0.5 * random_share)
