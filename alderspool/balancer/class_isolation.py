"""Class isolation: long work runs on its own part of the fleet, as short work queued behind it would be late.

That part consists of the first endpoints in rotation order, so all instances agree on it without messages.
"""

from math import inf

from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.outlier_detection import is_outlier
from alderspool.balancer.settings import Settings

# A class is long if its no-load latency alone exceeds LONG_SHARE_OF_OBJECTIVE of the latency objective of any
# class with more than MIN_SHARE_OF_REQUESTS of the requests.
LONG_SHARE_OF_OBJECTIVE = 0.75
MIN_SHARE_OF_REQUESTS = 0.1
MIN_LONG_SHARE_OF_ENDPOINT = 0.5  # an endpoint serves long work only if this share of it is needed for that
# For this share of its latency objective a short request waits for an endpoint that serves short work; after
# that it may go to any endpoint.
ISOLATED_SHARE_OF_OBJECTIVE = 0.2


class ClassIsolation:
    """Determines which traffic classes are long, and which endpoints serve them."""

    def __init__(self, settings: Settings, latency: LatencyEstimates) -> None:
        self.is_long = [False] * latency.class_count
        self.is_active = False
        self._classes = settings.classes
        self._latency = latency

    def refresh(self, endpoints: list[EndpointState]) -> None:
        """Find the long classes, and divide the endpoints in proportion to the long and the short work."""
        shares = self._latency.mix.shares
        no_load_ms = self._latency.no_load_ms
        objectives = [
            request_class.latency_objective_ms
            for request_class, share in zip(self._classes, shares, strict=False)
            if share > MIN_SHARE_OF_REQUESTS
        ]
        max_short_ms = LONG_SHARE_OF_OBJECTIVE * min(objectives, default=inf)
        self.is_long = [latency_ms > max_short_ms for latency_ms in no_load_ms]
        self.is_active = any(self.is_long)
        remaining_size = 0.0  # that long work still needs
        if self.is_active and not all(self.is_long):
            work = [share * latency_ms for share, latency_ms in zip(shares, no_load_ms, strict=True)]
            long_work = sum(amount for amount, long in zip(work, self.is_long, strict=True) if long)
            healthy_size = sum(
                endpoint.size * endpoint.warm_up_factor for endpoint in endpoints if not is_outlier(endpoint)
            )
            remaining_size = healthy_size * long_work / sum(work)
        for endpoint in endpoints:
            size = endpoint.size * endpoint.warm_up_factor
            endpoint.serves_long_work = (
                not is_outlier(endpoint) and remaining_size >= MIN_LONG_SHARE_OF_ENDPOINT * size
            )
            if endpoint.serves_long_work:
                remaining_size -= size
