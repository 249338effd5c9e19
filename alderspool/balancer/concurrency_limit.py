"""Concurrency limit: how many attempts may be open with responses well within the latency objective.

More open attempts would be late and slow the endpoints down. All instances observe the same latency, so their
limits converge.

Quiesce: some endpoints that were slowed by overload stay slow until they are nearly idle. If much of the work
is slow even at very low load, all endpoints but one get no requests for a while, and then that one gets none.
Endpoints that are still slow afterwards are slow by nature. Once work has been found slow at low load, only
work that misses its latency objective counts, until slow work has become rare again.
"""

from dataclasses import dataclass, field
from math import exp, inf

from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.events import AttemptStatus
from alderspool.balancer.moving_averages import WorkSums
from alderspool.balancer.outlier_detection import is_outlier

INITIAL_LIMIT = 3.0  # per mean endpoint, before anything is learned
INITIAL_LIMIT_SHARED = 5.0  # of all instances that share an endpoint, where they send no load reports
MAX_LIMIT = 12.0
SLOW_SHARE_DECAY_MS = 700.0  # e-folding time of the moving shares of slow and late work
PRIOR_WORK = 1.0  # typical requests that were not slow, added to the moving shares
SLOW_SHARE_OF_OBJECTIVE = 0.5  # an attempt that takes more than this share of its latency objective is slow
TARGET_SLOW_SHARE = 0.15  # of the work: a lower share leaves endpoints idle, a higher one makes much late
MIN_USED_SHARE = 0.7  # of the total limit in use before it rises; below, requests queue for another reason
FALL_PER_S = 4.0  # e-folds per second by which the limit falls, per unit of slow share above the target
RISE_PER_S = 3.0  # open attempts per second by which it rises with no slow work, over all instances
LOW_LOAD = 1.0  # open attempts per endpoint, over all instances, at which none has to wait at the endpoint
LOW_LOAD_CONFIRM_MS = 1500.0  # work that stays slow at low load for this long is not slow because of load
QUIESCE_MS = 5500.0  # time that endpoints slowed by overload need to recover
QUIESCE_INTERVAL_MS = 20_000.0  # minimum between two: endpoints slow by nature must not be idle often
# An endpoint becomes idle only if all instances that use it quiesce. If more share it, an instance that
# quiesces just loses its own part of the capacity.
QUIESCE_MAX_SHARING_INSTANCES = 4.0
QUIESCE_SILENCE_MS = 700.0  # the active endpoint is replaced after being silent for this long
RECOVERED_LATENCY_RATIO = 0.55  # latency at the active endpoint, over the typical one, that ends the quiesce
LATENCY_RATIO_GAIN = 0.2
# Maximum limit while only late work counts, in multiples of the low load; a higher one would crowd out peers.
LATE_ONLY_MAX_LOADS = 3.0
Endpoints = list[EndpointState]


@dataclass(slots=True)
class ConcurrencyLimit:
    """Learns the limit of a mean endpoint, and derives the limit of each endpoint from it."""

    per_endpoint: float = INITIAL_LIMIT
    total: float = inf  # of all endpoints; not used with load reports, where each endpoint is limited
    total_in_flight: int = 0
    counts_late_only: bool = False
    quiesce_until: float = -inf
    active_endpoint: EndpointState | None = None  # serves while all others quiesce, and quiesces after them
    active_latency_ratio: float = 1.0  # moving average of its latency over the typical one during a quiesce
    low_load_slow_since: float = -inf
    work: WorkSums = field(default_factory=WorkSums)  # in typical requests
    sharing_instances: float = 1.0
    has_load_reports: bool = False

    def set_sharing(self, sharing_instances: float, has_load_reports: bool, is_first: bool) -> None:
        """Set how many instances share an endpoint.

        Without load reports, the initial limit is lower the more instances there are, since they would
        overload the endpoint together.
        """
        self.sharing_instances = sharing_instances
        self.has_load_reports = has_load_reports
        if is_first and not has_load_reports:
            self.per_endpoint = min(INITIAL_LIMIT, max(INITIAL_LIMIT_SHARED / sharing_instances, 1.0))

    def record_end(self, status: int, work: float, latency_ms: float, objective_ms: float) -> None:
        """Record the outcome of an attempt at a warm endpoint; cold ones are slow at any load."""
        if status in (AttemptStatus.OK, AttemptStatus.TIMEOUT):
            self.work.ended += work
            if latency_ms > SLOW_SHARE_OF_OBJECTIVE * objective_ms:
                self.work.slow += work
            if latency_ms > objective_ms:
                self.work.late += work

    def record_active_latency(self, latency_ratio: float) -> None:
        """Record the latency, over the typical one, of an attempt that the active endpoint served."""
        self.active_latency_ratio += (latency_ratio - self.active_latency_ratio) * LATENCY_RATIO_GAIN

    def set_endpoint_limits(self, endpoints: Endpoints, mean_size: float) -> None:
        """Set the limit of each endpoint by its size, and the share of it reserved for this instance."""
        for endpoint in endpoints:
            scaled = self.per_endpoint * endpoint.size / mean_size * endpoint.warm_up_factor
            endpoint.limit = max(1, int(scaled + 0.9))
            # Without it, the instance that gets a response first would take all free capacity from its peers.
            endpoint.own_limit = endpoint.limit // (len(endpoint.in_flight_by_peer) + 1)
            if is_outlier(endpoint):  # half-open: one trial at a time
                endpoint.limit = 1
                endpoint.own_limit = 1

    def adjust_limit(self, now: float, elapsed_ms: float, is_queueing: bool) -> bool:
        """Adjust the limit to the share of slow work; return whether a quiesce begins."""
        low_load = LOW_LOAD / self.sharing_instances
        slow_share = self._update_slow_share(now)
        if slow_share > TARGET_SLOW_SHARE:
            self.per_endpoint *= exp(FALL_PER_S * (TARGET_SLOW_SHARE - slow_share) * elapsed_ms / 1000.0)
        elif is_queueing and self.total_in_flight > MIN_USED_SHARE * self.total:
            headroom = 1.0 - slow_share / TARGET_SLOW_SHARE
            self.per_endpoint += RISE_PER_S / self.sharing_instances * headroom * elapsed_ms / 1000.0
        begins_quiesce = False
        if self.counts_late_only or self.per_endpoint >= low_load or slow_share <= TARGET_SLOW_SHARE:
            self.low_load_slow_since = now
        elif now - self.low_load_slow_since > LOW_LOAD_CONFIRM_MS:
            self.counts_late_only = True
            is_quiesce_due = now > self.quiesce_until + QUIESCE_INTERVAL_MS
            begins_quiesce = is_quiesce_due and self.sharing_instances <= QUIESCE_MAX_SHARING_INSTANCES
        if begins_quiesce:
            self.quiesce_until = now + QUIESCE_MS
            self.active_endpoint = None
            self.active_latency_ratio = 1.0
        max_limit = LATE_ONLY_MAX_LOADS * low_load if self.counts_late_only else MAX_LIMIT
        is_quiescing = now < self.quiesce_until
        self.per_endpoint = low_load if is_quiescing else min(max(self.per_endpoint, low_load), max_limit)
        self.work.decay(exp(-elapsed_ms / SLOW_SHARE_DECAY_MS))
        return begins_quiesce

    def apply(self, endpoints: Endpoints, now: float, mean_size: float) -> None:
        """Quiesce endpoints where due, and recompute the total limit.

        A stalled endpoint adds no capacity to the total, but its open attempts are added on top, so that they
        take no capacity from the other endpoints.
        """
        healthy = [endpoint for endpoint in endpoints if not is_outlier(endpoint)]
        responsive = [
            endpoint
            for endpoint in healthy
            if not endpoint.in_flight or now - endpoint.silent_since <= endpoint.stall_timeout_ms
        ]
        if now < self.quiesce_until:
            self._quiesce_others(endpoints, healthy, responsive, now)
        elif self.active_endpoint is not None and now < self.quiesce_until + QUIESCE_MS:
            self.active_endpoint.limit = 0
            self.active_endpoint.own_limit = 0
        size = sum(endpoint.size * endpoint.warm_up_factor for endpoint in responsive)
        in_flight = sum(endpoint.in_flight for endpoint in responsive)
        self.total = max(self.per_endpoint * size / mean_size, 1.0) + self.total_in_flight - in_flight

    def _update_slow_share(self, now: float) -> float:
        """Return the share of the work that was slow, or late while only late work counts.

        Once slow work has become rare after a quiesce, it counts again: `counts_late_only` is reset here.
        """
        ended_work = self.work.ended + PRIOR_WORK
        slow_share = self.work.slow / ended_work
        if slow_share <= TARGET_SLOW_SHARE and now > self.quiesce_until + SLOW_SHARE_DECAY_MS:
            self.counts_late_only = False
        return self.work.late / ended_work if self.counts_late_only else slow_share

    def _quiesce_others(
        self, endpoints: Endpoints, healthy: Endpoints, responsive: Endpoints, now: float
    ) -> None:
        """Set the limit of all but the active endpoint to 0, or end the quiesce if that one has recovered."""
        active = self.active_endpoint
        if self.active_latency_ratio < RECOVERED_LATENCY_RATIO:  # it recovered under load: no need to quiesce
            self.quiesce_until = now - QUIESCE_MS
            self.active_endpoint = None
            self.counts_late_only = False
            return
        if active not in healthy or (active.in_flight and now - active.silent_since > QUIESCE_SILENCE_MS):
            active = next(iter(responsive), None)
            self.active_endpoint = active
        for endpoint in endpoints:
            endpoint.limit = 1 if active is None or endpoint is active else 0
            endpoint.own_limit = endpoint.limit
