"""Moving averages of the traffic: typical and no-load latency by class, the class mix and the arrival rate.

The typical latency of a class is its mean, the no-load latency a low percentile. A traffic class is a request
class; if there is only one, cost hints split it in two. The time constants, priors and thresholds are defined
in `latency`.
"""

from __future__ import annotations

from math import exp, inf

from alderspool.balancer import latency
from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.events import Request
from alderspool.balancer.moving_averages import ArrivalRate, ClassMix, MeansByClass
from alderspool.balancer.settings import Settings


class LatencyEstimates:
    """Traffic estimates, read for each request and recomputed at each refresh. Times are milliseconds."""

    def __init__(self, settings: Settings) -> None:
        objectives = [request_class.latency_objective_ms for request_class in settings.classes]
        class_counts = [latency.MIX_PRIOR_REQUESTS * min(objectives) / objective for objective in objectives]
        typical_ms = [objective * latency.TYPICAL_SHARE_OF_OBJECTIVE for objective in objectives]
        self.is_split_by_cost = len(objectives) == 1
        if self.is_split_by_cost:
            class_counts.append(latency.COSTLY_PRIOR_REQUESTS)
            typical_ms *= 2
        self.class_count = len(class_counts)
        self.mix = ClassMix(class_counts)
        self.typical = MeansByClass(typical_ms, latency.TYPICAL_PRIOR_RESPONSES, latency.MIN_RESPONSES)
        self.typical_ms = self.typical.means
        self.no_load_ms = [typical * latency.NO_LOAD_SHARE_OF_TYPICAL for typical in typical_ms]
        self.mean_typical_ms = sum(typical_ms) / self.class_count
        self.arrivals = ArrivalRate(latency.TRAFFIC_DECAY_MS)  # of work, in requests of mean typical latency
        self.started_at = 0.0  # start of this instance
        self._mean_hint_ms = 0.0

    def record_request(self, request: Request) -> int:
        """Record the arrival of a request; return its traffic class."""
        traffic_class = request.cls
        hint_ms = request.cost_hint_ms
        if self.is_split_by_cost and 0.0 < hint_ms < inf:
            gain = latency.HINT_GAIN if self._mean_hint_ms else 1.0
            self._mean_hint_ms += (hint_ms - self._mean_hint_ms) * gain
            if hint_ms > latency.COSTLY_FACTOR * self._mean_hint_ms:
                traffic_class = 1
        self.mix.counts[traffic_class] += 1.0
        self.arrivals.since_refresh += self.typical_ms[traffic_class] / self.mean_typical_ms
        return traffic_class

    def record_response(self, traffic_class: int, latency_ms: float) -> None:
        """Update the estimates with the latency of a served attempt."""
        self.typical.record(traffic_class, latency_ms)
        is_above_estimate = latency_ms > self.no_load_ms[traffic_class]
        self.no_load_ms[traffic_class] *= latency.NO_LOAD_RISE if is_above_estimate else latency.NO_LOAD_FALL

    def refresh(self, now: float, elapsed_ms: float) -> None:
        """Recompute the estimates from the samples recorded so far."""
        decay = exp(-elapsed_ms / latency.TRAFFIC_DECAY_MS)
        self.mix.refresh(decay)
        self.typical.refresh(decay)
        mean = sum(share * ms for share, ms in zip(self.mix.shares, self.typical_ms, strict=True))
        self.mean_typical_ms = max(mean, 1e-3)
        self.arrivals.refresh(now - self.started_at + elapsed_ms, elapsed_ms)


class WorkRate:
    """Moving average of the rate at which endpoints serve work, relative to their size."""

    def __init__(self, estimates: LatencyEstimates) -> None:
        self.per_size = 0.0  # requests of mean typical latency, per ms and unit of size
        self.mean_size = 0.0  # mean size of the endpoints at the last update
        self._estimates = estimates

    def learn(self, endpoints: list[EndpointState], now: float, elapsed_ms: float) -> None:
        """Update the average with the work that these endpoints served; leave it if there are none."""
        served_work = 0.0
        size = 0.0
        for endpoint in endpoints:
            served_work += endpoint.served_work
            size += endpoint.size
        if size:
            self.mean_size = size / len(endpoints)
            observed_ms = min(latency.SPEED_DECAY_MS, now - self._estimates.started_at + elapsed_ms)
            work_rate = served_work / (self._estimates.mean_typical_ms * observed_ms) / size
            self.per_size += (work_rate - self.per_size) * self._estimates.arrivals.gain
