"""Typical and no-load latency by traffic class, the mix of classes, and the rate at which work arrives.

A traffic class is a request class; where there is only one, cost hints split it in two.
"""

from math import exp, inf

from alderspool.balancer.events import Request
from alderspool.balancer.moving_averages import ArrivalRate, ClassMix, MeansByClass
from alderspool.balancer.settings import Settings

MIX_MEMORY_MS = 10_000.0  # of the moving averages of class mix, latencies and traffic volume
FIGURE_MEMORY_MS = 4000.0  # of the speed figures: tens of samples, yet quick to notice a slowdown
MIX_PRIOR_REQUESTS = 30.0  # that the first mix counts for; equal counts would give the long nearly all
SPLIT_PRIOR = 1e-6  # first share of costly requests where cost hints split the only class
TYPICAL_SHARE_OF_OBJECTIVE = 0.25  # typical latency before anything is learned
NO_LOAD_SHARE_OF_TYPICAL = 0.5  # no-load latency before anything is learned
TYPICAL_PRIOR_RESPONSES = 3.0  # that the former typical latency counts for
MIN_RESPONSES = 0.5  # moving count below which the typical latency stays as it is
NO_LOAD_RISE = 1.003  # these steps settle at the 15th percentile
NO_LOAD_FALL = 0.983
HINT_GAIN = 0.02  # of the moving average of cost hints
COSTLY_FACTOR = 1.5  # multiple of the mean cost hint above which a request is costly


class LatencyEstimates:
    """Moving figures of the traffic: read on each request, rebuilt at each refresh. Times in ms."""

    def __init__(self, settings: Settings) -> None:
        objectives = [request_class.latency_objective_ms for request_class in settings.classes]
        mix = [MIX_PRIOR_REQUESTS * min(objectives) / objective for objective in objectives]
        typical_ms = [objective * TYPICAL_SHARE_OF_OBJECTIVE for objective in objectives]
        self.is_split_by_cost = len(objectives) == 1
        if self.is_split_by_cost:
            mix.append(SPLIT_PRIOR)
            typical_ms *= 2
        self.class_count = len(mix)
        self.mix = ClassMix(mix)
        self.typical = MeansByClass(typical_ms, TYPICAL_PRIOR_RESPONSES, MIN_RESPONSES)
        self.typical_ms = self.typical.means
        self.no_load_ms = [typical * NO_LOAD_SHARE_OF_TYPICAL for typical in typical_ms]
        self.mean_typical_ms = sum(typical_ms) / self.class_count
        self.arrivals = ArrivalRate(MIX_MEMORY_MS)  # of work, in requests of mean typical latency
        self.started_at = 0.0  # of this instance
        self._mean_hint_ms = 0.0

    def record_request(self, request: Request) -> int:
        """Count a request; return its traffic class."""
        traffic_class = request.cls
        hint_ms = request.cost_hint_ms
        if self.is_split_by_cost and 0.0 < hint_ms < inf:
            self._mean_hint_ms += (hint_ms - self._mean_hint_ms) * (HINT_GAIN if self._mean_hint_ms else 1.0)
            if hint_ms > COSTLY_FACTOR * self._mean_hint_ms:
                traffic_class = 1
        self.mix.counts[traffic_class] += 1.0
        self.arrivals.since_refresh += self.typical_ms[traffic_class] / self.mean_typical_ms
        return traffic_class

    def record_response(self, traffic_class: int, latency_ms: float) -> None:
        """Take in the latency of a served attempt."""
        self.typical.record(traffic_class, latency_ms)
        is_above = latency_ms > self.no_load_ms[traffic_class]
        self.no_load_ms[traffic_class] *= NO_LOAD_RISE if is_above else NO_LOAD_FALL

    def refresh(self, now: float, elapsed_ms: float) -> None:
        """Rebuild the figures that requests read."""
        fade = exp(-elapsed_ms / MIX_MEMORY_MS)
        self.mix.refresh(fade)
        self.typical.refresh(fade)
        mean = sum(share * ms for share, ms in zip(self.mix.shares, self.typical_ms, strict=True))
        self.mean_typical_ms = max(mean, 1e-3)
        self.arrivals.refresh(now - self.started_at + elapsed_ms, elapsed_ms)
