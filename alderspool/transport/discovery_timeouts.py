"""Timeouts of the calls to discovery, as shares of the time within which an update must be known."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from alderspool.balancer.settings import Settings

# The protocol treats the proxy as notified of an update this long after the update was made,
# whether or not it was received.
UPDATE_NOTIFIED_AFTER_S = 6.0

# Shares of that time, which must suffice in this case: a watch stalls right after its call was sent, and
# discovery rejects the first call after that, up to 3 s after it was made. The wait and grace of the watch,
# the timeout of that call and the backoff after it add up to 0.73. The rest is left for a second call, which
# discovery may queue for 1.5 s, and for delays on a CPU core that is shared with other programs.
WATCH_WAIT_SHARE = 0.1
WATCH_GRACE_SHARE = 0.05
CALL_SHARE = 0.53
CONNECT_SHARE = 0.15
INITIAL_BACKOFF_SHARE = 0.05
MAX_BACKOFF_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class DiscoveryTimeouts:
    """The timeouts and backoff limits of the calls to discovery, in seconds."""

    watch_wait_s: float  # how long discovery may hold a watch while there is no update
    watch_grace_s: float  # a watch without a response this long after its wait has ended is stalled
    call_s: float  # timeout of a call without a wait, including connecting; longer than discovery queues it
    connect_s: float  # shorter than call_s: an unreachable discovery must not use up the call's timeout
    initial_backoff_s: float  # the longest delay after a first failed call
    max_backoff_s: float  # the longest delay after any number of failed calls

    @classmethod
    def from_settings(cls, settings: Settings) -> DiscoveryTimeouts:
        """Divide the configured maximum age of the list, or the protocol's 6 s if that is less."""
        max_age_s = (settings.list_max_age_ms or inf) / 1000.0
        total_s = min(UPDATE_NOTIFIED_AFTER_S, max_age_s)
        return cls(
            watch_wait_s=WATCH_WAIT_SHARE * total_s,
            watch_grace_s=WATCH_GRACE_SHARE * total_s,
            call_s=CALL_SHARE * total_s,
            connect_s=CONNECT_SHARE * total_s,
            initial_backoff_s=INITIAL_BACKOFF_SHARE * total_s,
            max_backoff_s=MAX_BACKOFF_SHARE * total_s,
        )
