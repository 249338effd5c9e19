"""The periodic refresh: recomputes weights, limits and estimates in a fixed order.

Between two refreshes, dispatching a request only reads them.
"""

from __future__ import annotations

from math import exp, inf

from alderspool.balancer.latency import TRAFFIC_DECAY_MS
from alderspool.balancer.load_reports import PEER_SILENCE_MS
from alderspool.balancer.outlier_detection import is_outlier
from alderspool.balancer.policies import Policies
from alderspool.balancer.schedule import (
    MAX_ELAPSED_MS,
    MIN_ELAPSED_MS,
    REFRESH_INTERVAL_MS,
    is_refresh_due,
)
from alderspool.balancer.settings import Settings


class Refresh:
    """Runs the refresh of all policies when `schedule` says that it is due."""

    def __init__(self, settings: Settings, policies: Policies) -> None:
        self.last_at = -inf
        self._settings = settings
        self._policies = policies

    def is_due(self, now: float) -> bool:
        """Return whether enough time and traffic have passed since the last refresh."""
        age_ms = now - self.last_at
        if age_ms < REFRESH_INTERVAL_MS:
            return False
        return is_refresh_due(age_ms, self._policies.latency.arrivals.since_refresh)

    def reselect(self, now: float) -> None:
        """Reselect the subset and update the policies that depend on its size or its sharing instances."""
        policies = self._policies
        subset = policies.subset
        is_first = not subset.ready_count
        subset.reselect(now)
        policies.outliers.subset_size = len(subset.selected)
        policies.outliers.sharing_instances = subset.sharing_instances
        policies.load_reports.set_sharing_instances(subset.sharing_instances)
        policies.limit.set_sharing(subset.sharing_instances, policies.load_reports.is_sending, is_first)

    def run(self, now: float) -> bool:
        """Run the refresh; return whether a quiesce begins."""
        policies = self._policies
        subset = policies.subset
        outlier_count = sum(1 for endpoint in subset.selected if is_outlier(endpoint))
        if outlier_count != policies.outliers.outlier_count or subset.needs_resize(now):
            self.reselect(now)
        policies.outliers.outlier_count = outlier_count
        elapsed_ms = min(max(now - self.last_at, MIN_ELAPSED_MS), MAX_ELAPSED_MS)
        self.last_at = now
        policies.connections.refresh(elapsed_ms)
        policies.queue.tenant_rps.decay(exp(-elapsed_ms / TRAFFIC_DECAY_MS))
        policies.latency.refresh(now, elapsed_ms)
        policies.queue.key_queues.drop_idle(now)  # also while no endpoint is ready, and requests are rejected
        if not subset.selected:
            return False
        policies.outliers.refresh()
        self._rebuild_weights(now, elapsed_ms)
        begins_quiesce = self._rebuild_limits(now, elapsed_ms)
        if self._settings.peer_messages_allowed:
            policies.load_reports.peers.expire_silent_peers(now, PEER_SILENCE_MS)
        return begins_quiesce

    def _rebuild_weights(self, now: float, elapsed_ms: float) -> None:
        policies = self._policies
        endpoints = policies.subset.selected
        policies.endpoint_list.mean_size = sum(endpoint.size for endpoint in endpoints) / len(endpoints)
        for endpoint in endpoints:
            endpoint.warm_up_factor = policies.slow_start.warm_up_factor(endpoint, now)
        policies.rotation.learn_speeds(now, elapsed_ms)
        policies.slow_start.refresh(endpoints, now, elapsed_ms)
        policies.rotation.rebuild_weights()
        policies.isolation.refresh(endpoints)
        policies.rotation.update_fair_shares()

    def _rebuild_limits(self, now: float, elapsed_ms: float) -> bool:
        policies = self._policies
        endpoints = policies.subset.selected
        mean_size = policies.endpoint_list.mean_size
        policies.limit.set_endpoint_limits(endpoints, mean_size)
        is_queueing = bool(policies.queue.waiting.entries)
        begins_quiesce = policies.limit.adjust_limit(now, elapsed_ms, is_queueing)
        policies.limit.apply(endpoints, now, mean_size)
        return begins_quiesce
