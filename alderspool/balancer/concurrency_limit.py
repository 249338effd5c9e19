"""Concurrency limit: as many open attempts as are answered well within their latency objective.

More would be late and slow endpoints down. All instances see the same latency and so meet at the same limit.

Quiesce: some endpoints, once slowed by too much work, stay slow until they are nearly idle. So where much is
slow even with hardly any load, all endpoints but one get nothing for a while, then that one gets nothing. If
that does not help, they are slow by nature, and only what misses its objective counts as slow from then on.
"""

from dataclasses import dataclass, field
from math import exp, inf

from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.events import AttemptStatus
from alderspool.balancer.moving_averages import WorkSums
from alderspool.balancer.outlier_detection import is_outlier

INITIAL_LIMIT = 3.0  # of a mean endpoint, before anything is learned
INITIAL_LIMIT_SHARED = 5.0  # of all instances that share it, where they send no load reports
MAX_LIMIT = 12.0
LATENCY_MEMORY_MS = 700.0  # of the moving shares of slow and late work
PRIOR_WORK = 1.0  # typical requests that were not slow, added to the moving shares
SLOW_SHARE_OF_OBJECTIVE = 0.5  # an attempt that takes more than this of its latency objective is slow
TARGET_SLOW_SHARE = 0.15  # of the work: less leaves endpoints idle, more makes much late
MIN_USED_SHARE = 0.7  # of the limit must be in use before it rises: else something else queues requests
FALL_PER_S = 4.0  # e-folds by which the limit falls with all work slow
RISE_PER_S = 3.0  # by which it rises with none slow, all instances together
LOW_LOAD = 1.0  # open attempts per endpoint, all instances together, with which none waits there
LOW_LOAD_SURE_MS = 1500.0  # what is slow with low load for so long is slow by itself
QUIESCE_MS = 5500.0  # what slowed endpoints need
QUIESCE_INTERVAL_MS = 20_000.0  # at least, between two: endpoints slow by nature must not often be idle
# An endpoint is emptied only if all that use it quiesce; with more sharing it, one's own part is just lost.
QUIESCE_MAX_SHARING = 4.0
QUIESCE_SILENCE_MS = 700.0  # after which the active endpoint is replaced
RELIEF_SHARE_OF_TYPICAL = 0.55  # latency at the active endpoint that ends the quiesce
RELIEF_GAIN = 0.2
LATE_ONLY_MAX_LOADS = 3.0  # low loads, the limit while only late work counts: peers would be pushed out
Endpoints = list[EndpointState]


@dataclass(slots=True)
class ConcurrencyLimit:
    """The learned limit of a mean endpoint, and the endpoints' limits that follow from it."""

    per_endpoint: float = INITIAL_LIMIT
    total: float = inf  # of all endpoints together; not applied with load reports, which limit each endpoint
    total_in_flight: int = 0
    counts_late_only: bool = False
    quiesce_until: float = -inf
    active_endpoint: EndpointState | None = None  # goes on while all others quiesce, and quiesces after them
    active_latency_ratio: float = 1.0  # moving average of its latency over the typical one meanwhile
    low_load_slow_since: float = -inf
    work: WorkSums = field(default_factory=WorkSums)  # in typical requests
    sharing_instances: float = 1.0
    has_load_reports: bool = False

    def set_sharing(self, sharing_instances: float, has_load_reports: bool, is_first: bool) -> None:
        """Take over how many share an endpoint; many start lower, as all at once they would overload it."""
        self.sharing_instances = sharing_instances
        self.has_load_reports = has_load_reports
        if is_first and not has_load_reports:
            self.per_endpoint = min(INITIAL_LIMIT, max(INITIAL_LIMIT_SHARED / sharing_instances, 1.0))

    def record_end(self, status: int, work: float, latency_ms: float, objective_ms: float) -> None:
        """Take in how an attempt at a warm endpoint ended: a cold one is slow at any load."""
        if status in (AttemptStatus.OK, AttemptStatus.TIMEOUT):
            self.work.ended += work
            if latency_ms > SLOW_SHARE_OF_OBJECTIVE * objective_ms:
                self.work.slow += work
            if latency_ms > objective_ms:
                self.work.late += work

    def record_active_latency(self, latency_ratio: float) -> None:
        """Take in the latency over the typical one of an attempt that the active endpoint served."""
        self.active_latency_ratio += (latency_ratio - self.active_latency_ratio) * RELIEF_GAIN

    def set_endpoint_limits(self, endpoints: Endpoints, mean_size: float) -> None:
        """Give each endpoint its limit by its size, and this instance its part of it."""
        for endpoint in endpoints:
            scaled = self.per_endpoint * endpoint.size / mean_size * endpoint.warm_up_factor
            endpoint.limit = max(1, int(scaled + 0.9))
            # Else the instance that has a response first would refill all capacity and starve its peers.
            endpoint.own_limit = endpoint.limit // (len(endpoint.in_flight_by_peer) + 1)
            if is_outlier(endpoint):  # half-open: one trial at a time
                endpoint.limit = 1
                endpoint.own_limit = 1

    def adjust_limit(self, now: float, elapsed_ms: float, is_queueing: bool) -> bool:
        """Adjust the limit; return whether a quiesce begins."""
        low_load = LOW_LOAD / self.sharing_instances
        slow_share = self._slow_share(now)
        if slow_share > TARGET_SLOW_SHARE:
            self.per_endpoint *= exp(FALL_PER_S * (TARGET_SLOW_SHARE - slow_share) * elapsed_ms / 1000.0)
        elif is_queueing and self.total_in_flight > MIN_USED_SHARE * self.total:
            headroom = 1.0 - slow_share / TARGET_SLOW_SHARE
            self.per_endpoint += RISE_PER_S / self.sharing_instances * headroom * elapsed_ms / 1000.0
        begins = False
        if self.counts_late_only or self.per_endpoint >= low_load or slow_share <= TARGET_SLOW_SHARE:
            self.low_load_slow_since = now
        elif now - self.low_load_slow_since > LOW_LOAD_SURE_MS:
            self.counts_late_only = True
            is_due = now > self.quiesce_until + QUIESCE_INTERVAL_MS
            begins = is_due and self.sharing_instances <= QUIESCE_MAX_SHARING
        if begins:
            self.quiesce_until = now + QUIESCE_MS
            self.active_endpoint = None
            self.active_latency_ratio = 1.0
        most = LATE_ONLY_MAX_LOADS * low_load if self.counts_late_only else MAX_LIMIT
        is_quiescing = now < self.quiesce_until
        self.per_endpoint = low_load if is_quiescing else min(max(self.per_endpoint, low_load), most)
        self.work.fade(exp(-elapsed_ms / LATENCY_MEMORY_MS))
        return begins

    def apply(self, endpoints: Endpoints, now: float, mean_size: float) -> None:
        """Quiesce endpoints; rebuild the total limit, in which stalled ones take no capacity from others."""
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

    def _slow_share(self, now: float) -> float:
        """Return the share of the work that was slow, or late where only that counts."""
        ended_work = self.work.ended + PRIOR_WORK
        slow_share = self.work.slow / ended_work
        if slow_share <= TARGET_SLOW_SHARE and now > self.quiesce_until + LATENCY_MEMORY_MS:
            self.counts_late_only = False
        return self.work.late / ended_work if self.counts_late_only else slow_share

    def _quiesce_others(
        self, endpoints: Endpoints, healthy: Endpoints, responsive: Endpoints, now: float
    ) -> None:
        """Give all endpoints but the active one nothing."""
        active = self.active_endpoint
        if self.active_latency_ratio < RELIEF_SHARE_OF_TYPICAL:  # it is quick again, with work: no need
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
