"""Class isolation: long work keeps to its part of the fleet, as short work behind it would be late.

The part is the first endpoints of the rotation order, on which all instances agree without messages.
"""

from math import inf

from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.outlier_detection import is_outlier
from alderspool.balancer.settings import Settings

# A class is long if even its no-load latency exceeds the first share of the latency objective of a class
# that has at least the second share of the requests.
LONG_SHARE_OF_OBJECTIVE = 0.75
MIN_SHARE_OF_REQUESTS = 0.1
MIN_PART_OF_ENDPOINT = 0.5  # of its size must be needed for long work, or the endpoint serves the short
ISOLATED_SHARE_OF_OBJECTIVE = 0.2  # short work waits so long for its part, then it may go anywhere


class ClassIsolation:
    """Which classes are long, and which endpoints serve them."""

    def __init__(self, settings: Settings, latency: LatencyEstimates) -> None:
        self.is_long = [False] * latency.class_count
        self.is_active = False
        self._classes = settings.classes
        self._latency = latency

    def refresh(self, endpoints: list[EndpointState]) -> None:
        """Divide the endpoints between long and short work, in proportion to it."""
        shares = self._latency.mix.shares
        no_load_ms = self._latency.no_load_ms
        objectives = [
            request_class.latency_objective_ms
            for request_class, share in zip(self._classes, shares, strict=False)
            if share > MIN_SHARE_OF_REQUESTS
        ]
        longest_short_ms = LONG_SHARE_OF_OBJECTIVE * min(objectives, default=inf)
        self.is_long = [latency_ms > longest_short_ms for latency_ms in no_load_ms]
        self.is_active = any(self.is_long)
        part = 0.0
        if self.is_active and not all(self.is_long):
            work = [share * latency_ms for share, latency_ms in zip(shares, no_load_ms, strict=True)]
            long_work = sum(amount for amount, long in zip(work, self.is_long, strict=True) if long)
            healthy_size = sum(
                endpoint.size * endpoint.warm_up_factor for endpoint in endpoints if not is_outlier(endpoint)
            )
            part = healthy_size * long_work / sum(work)
        for endpoint in endpoints:
            size = endpoint.size * endpoint.warm_up_factor
            endpoint.serves_long_work = not is_outlier(endpoint) and part >= MIN_PART_OF_ENDPOINT * size
            if endpoint.serves_long_work:
                part -= size
