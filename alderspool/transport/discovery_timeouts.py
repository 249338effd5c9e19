"""How the time within which an update must be known is divided among the calls to discovery."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from alderspool.balancer.settings import Settings

# The protocol page: an update counts as notified this long after it was made, received or not.
UPDATE_NOTIFIED_AFTER_S = 6.0

# Shares of that time. A watch may stall right after its call was sent, and discovery may reject the first
# call after that, up to 3 s after it was made. The watch's wait and grace, one complete call and the backoff
# after its failure add up to 0.73. The rest is left for a second call, which may wait in discovery's queue
# for a second and a half, and for a CPU core that is shared with other programs.
WATCH_WAIT_SHARE = 0.1
WATCH_GRACE_SHARE = 0.05
CALL_SHARE = 0.53
CONNECT_SHARE = 0.15
INITIAL_BACKOFF_SHARE = 0.05
MAX_BACKOFF_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class DiscoveryTimeouts:
    """The timeouts and backoff limits of the calls to discovery, in seconds."""

    watch_wait_s: float  # how long discovery may delay its response to a watch while there is no update
    watch_grace_s: float  # a watch whose response is later than this after its wait has stalled
    call_s: float  # for a call that asks for no wait, connecting included; longer than discovery queues one
    connect_s: float  # shorter than a call: an unreachable discovery must not use up the call's time
    initial_backoff_s: float  # the longest wait after a first failed call
    max_backoff_s: float  # the longest wait after any number of failed calls

    @classmethod
    def from_settings(cls, settings: Settings) -> DiscoveryTimeouts:
        """Divide the operators' maximum age of the list, or the protocol's 6 s where that is less."""
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
