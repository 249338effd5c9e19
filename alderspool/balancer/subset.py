"""Subset selection: the part of the endpoint list that this instance uses.

With many instances and many endpoints, an instance that used all endpoints would get too few samples to learn
anything about each, and its connections would be idle.
"""

from dataclasses import dataclass, field
from math import inf

from alderspool.balancer.endpoint import EndpointState, rotation_order
from alderspool.balancer.endpoint_list import EndpointList
from alderspool.balancer.latency import MIX_PRIOR_REQUESTS, TRAFFIC_DECAY_MS
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.outlier_detection import is_outlier
from alderspool.balancer.settings import Settings

MIN_SUBSET_SIZE = 6  # few enough endpoints to learn about each, enough to lose some
INSTANCES_PER_ENDPOINT = 6.0  # target number of instances that use each endpoint, to even out their load
SHRINK_MARGIN = 0.3  # shrink only by more than this share: what was learned about dropped endpoints is lost
GOLDEN_RATIO = 0.6180339887  # multiples of it modulo 1 are evenly spread for any subset of the instances
REMOVED_KEPT_MS = 30_000.0  # how long removed endpoints keep their place in the order


@dataclass(slots=True)
class EndpointSubset:
    """The endpoints that this instance uses, in rotation order."""

    settings: Settings
    endpoint_list: EndpointList
    latency: LatencyEstimates
    selected: list[EndpointState] = field(default_factory=list)
    sharing_instances: float = 1.0  # mean number of instances that use the same endpoint
    ready_count: int = 0
    size: float = inf

    def needs_resize(self, now: float) -> bool:
        """Whether the traffic calls for a larger or a much smaller subset."""
        target_size = self._target_size(now)
        return target_size >= self.size + 1.0 or target_size < (1.0 - SHRINK_MARGIN) * self.size

    def reselect(self, now: float) -> None:
        """Select the subset again, from the endpoints that are ready now."""
        ring = self.endpoint_list.ready_ring()
        start = int(self.settings.instance_number * GOLDEN_RATIO % 1.0 * len(ring))
        self.ready_count = len(ring)
        self.size = self._target_size(now)
        self.selected = []
        remaining = self.size
        for endpoint in ring[start:] + ring[:start]:
            if remaining > 0.0:
                self.selected.append(endpoint)
                if not is_outlier(endpoint):  # outliers are selected in addition to the target size
                    remaining -= 1.0
        self.selected.sort(key=rotation_order)
        coverage = min(self._base_size() / max(self.ready_count, 1), 1.0)
        self.sharing_instances = max(self.settings.instance_count * coverage, 1.0)

    def _base_size(self) -> float:
        return max(MIN_SUBSET_SIZE, INSTANCES_PER_ENDPOINT * self.ready_count / self.settings.instance_count)

    def _target_size(self, now: float) -> float:
        """Return how many endpoints to use.

        An instance that gets more than its share of the quotas' traffic uses more endpoints; otherwise it
        would overload those of its subset.
        """
        quota_rps = sum(tenant.quota_rps for tenant in self.settings.tenants)
        planned_rate = quota_rps / 1000.0 / self.settings.instance_count  # of a mean instance, per ms
        if planned_rate <= 0.0:
            return self._base_size()
        observed_ms = min(now - self.latency.started_at, TRAFFIC_DECAY_MS)
        arrived = self.latency.arrivals.rate * observed_ms + MIX_PRIOR_REQUESTS
        planned = planned_rate * observed_ms + MIX_PRIOR_REQUESTS
        return self._base_size() * max(arrived / planned, 1.0)
