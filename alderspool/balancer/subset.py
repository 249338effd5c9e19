"""Subset selection: the part of the endpoint list that this instance uses.

Where many instances meet many endpoints, each would know nothing of any and its connections would idle.
"""

from dataclasses import dataclass, field
from math import inf

from alderspool.balancer.endpoint import EndpointState, rotation_order
from alderspool.balancer.endpoint_list import EndpointList
from alderspool.balancer.latency import TRAFFIC_DECAY_MS, MIX_PRIOR_REQUESTS
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.outlier_detection import is_outlier
from alderspool.balancer.settings import Settings

MIN_SUBSET_SIZE = 6  # few enough endpoints to know each, enough to lose some
INSTANCES_PER_ENDPOINT = 6.0  # the subset is so large that about so many use each endpoint, to even out
SHRINK_MARGIN = 0.3  # kept though it could shrink by this share: what was learned would be lost
GOLDEN_RATIO = 0.6180339887  # its multiples are even among any part of the instances
REMOVED_KEPT_MS = 30_000.0  # removed endpoints keep their place in the order for so long


@dataclass(slots=True)
class EndpointSubset:
    """The endpoints that this instance uses, in rotation order."""

    settings: Settings
    endpoint_list: EndpointList
    latency: LatencyEstimates
    selected: list[EndpointState] = field(default_factory=list)
    sharing_instances: float = 1.0  # that use the same endpoints, on average
    ready_count: int = 0
    size: float = inf

    def needs_resize(self, now: float) -> bool:
        """Whether the traffic needs a larger or a much smaller subset."""
        wanted = self._wanted_size(now)
        return wanted >= self.size + 1.0 or wanted < (1.0 - SHRINK_MARGIN) * self.size

    def reselect(self, now: float) -> None:
        """Select from the endpoints that are ready now."""
        ring = self.endpoint_list.ready_ring()
        start = int(self.settings.instance_number * GOLDEN_RATIO % 1.0 * len(ring))
        self.ready_count = len(ring)
        self.size = self._wanted_size(now)
        self.selected = []
        missing = self.size
        for endpoint in ring[start:] + ring[:start]:
            if missing > 0.0:
                self.selected.append(endpoint)
                if not is_outlier(endpoint):  # outliers do not fill the subset
                    missing -= 1.0
        self.selected.sort(key=rotation_order)
        coverage = min(self._base_size() / max(self.ready_count, 1), 1.0)
        self.sharing_instances = max(self.settings.instance_count * coverage, 1.0)

    def _base_size(self) -> float:
        return max(MIN_SUBSET_SIZE, INSTANCES_PER_ENDPOINT * self.ready_count / self.settings.instance_count)

    def _wanted_size(self, now: float) -> float:
        """Return how many endpoints to use: more with more traffic, or a busy instance fills its own."""
        quota_rps = sum(tenant.quota_rps for tenant in self.settings.tenants)
        planned_rate = quota_rps / 1000.0 / self.settings.instance_count  # a mean instance's, per ms
        if planned_rate <= 0.0:
            return self._base_size()
        known_ms = min(now - self.latency.started_at, TRAFFIC_DECAY_MS)
        arrived = self.latency.arrivals.rate * known_ms + MIX_PRIOR_REQUESTS
        planned = planned_rate * known_ms + MIX_PRIOR_REQUESTS
        return self._base_size() * max(arrived / planned, 1.0)
