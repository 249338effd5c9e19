"""Weighted rotation: the ordinary path of the balancer, to be read first.

For each endpoint i and traffic class c it learns a speed figure P_c(i), the work served per ms in flight, and
blends the figures by the class mix into weights, W(i) = sum of share_c * P_c(i). Smooth weighted round robin
then spreads the requests: a pick adds to each endpoint's current weight its weight, takes the highest and
subtracts the total from it, so turns are even and interleaved. All other modules are exceptions to this.
"""

from dataclasses import dataclass
from math import exp, inf
from random import Random

from alderspool.balancer.class_isolation import ClassIsolation
from alderspool.balancer.connection_health import CONNECT_FAILURES_HIGH, ConnectionHealth
from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.events import AttemptStatus
from alderspool.balancer.latency import SPEED_DECAY_MS
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.request_state import RequestState
from alderspool.balancer.retry_rules import RetryRules
from alderspool.balancer.settings import Settings
from alderspool.balancer.subset import EndpointSubset

CLASS_PRIOR = 6.0  # attempts by which a class figure leans on the endpoint's overall one (rare classes)
SEED_PRIOR = 3.0  # attempts by which the figure of a new endpoint leans on its listed weight
FAILURE_COST = 4.0  # typical latencies in flight that a failure counts as: failing fast is not speed
MIN_WEIGHT = 0.03  # of the mean: each ready endpoint keeps some turns and can show that it has recovered
CROSS_ZONE_FACTOR = 10.0  # multiple of the crossing price by which the weight of other zones is lowered
FAIR_SHARE_SLACK = 1.3  # with more than this multiple of its share open (and one more) it is passed over
STALL_FACTOR = 2.5  # no response for so many typical latencies with attempts open: stalled, passed over
OPEN_CIRCUIT_PENALTY = 1e9  # in current weight: behind any endpoint that is only passed over


@dataclass(slots=True)
class Rotation:
    """Learns the weights at each refresh and picks an endpoint for each attempt."""

    settings: Settings
    random: Random
    latency: LatencyEstimates
    subset: EndpointSubset
    isolation: ClassIsolation
    connections: ConnectionHealth
    rules: RetryRules

    def learn_speeds(self, now: float, elapsed_ms: float) -> None:
        """Rebuild the overall speeds; open attempts count, so that one that swallows work sinks soon."""
        fade = exp(-elapsed_ms / SPEED_DECAY_MS)
        typical_ms = self.latency.typical_ms
        prior_ms = SEED_PRIOR * self.latency.mean_typical_ms
        mean_size = self.subset.endpoint_list.mean_size
        for endpoint in self.subset.selected:
            endpoint.fade_figures(fade, now, typical_ms)
            work = endpoint.served_work + prior_ms * endpoint.size / mean_size
            endpoint.speed = work / (sum(endpoint.in_flight_ms_by_class) + prior_ms)

    def rebuild_weights(self) -> None:
        """Blend the speed figures of the classes, each normalized to 100 over the endpoints, by share."""
        endpoints = self.subset.selected
        weights = [0.0] * len(endpoints)
        for index, share in enumerate(self.latency.mix.shares):
            typical_ms = self.latency.typical_ms[index]
            prior_ms = CLASS_PRIOR * typical_ms
            figures = [
                (endpoint.served_by_class[index] * typical_ms + prior_ms * endpoint.speed)
                / (endpoint.in_flight_ms_by_class[index] + prior_ms)
                for endpoint in endpoints
            ]
            scale = 100.0 * share / sum(figures)
            weights = [weight + figure * scale for weight, figure in zip(weights, figures, strict=True)]
        min_weight = MIN_WEIGHT * 100.0 / len(endpoints)
        remote_factor = max(1.0 - CROSS_ZONE_FACTOR * self.settings.cross_zone_cost, MIN_WEIGHT)
        for endpoint, weight in zip(endpoints, weights, strict=True):
            factor = endpoint.warm_up_factor
            if endpoint.zone != self.settings.zone:
                factor *= remote_factor
            endpoint.weight = max(weight, min_weight) * factor

    def update_fair_shares(self) -> None:
        """Set fair shares; start new endpoints at a random phase, else all begin with the same one."""
        total = sum(endpoint.weight for endpoint in self.subset.selected)
        for endpoint in self.subset.selected:
            endpoint.fair_share = FAIR_SHARE_SLACK * endpoint.weight / total if total > 0.0 else 0.0
            if endpoint.current_weight == -inf:
                endpoint.current_weight = 0.0
                if self.settings.instance_count > 1:
                    endpoint.current_weight = endpoint.weight - total * self.random.random()

    def record_failure(
        self, endpoint: EndpointState, traffic_class: int, status: int, latency_ms: float
    ) -> None:
        """Charge a failure to the speed figure."""
        typical_ms = self.latency.typical_ms[traffic_class]
        cost = 1.0 if status == AttemptStatus.REJECTED else FAILURE_COST
        endpoint.busy_ms_by_class[traffic_class] += max(latency_ms, cost * typical_ms)

    def stall_timeout_ms(self, request: RequestState) -> float:
        """Return the silence after which an endpoint with this request counts as stalled."""
        objective_ms = self.settings.classes[request.class_index].latency_objective_ms
        return min(STALL_FACTOR * self.latency.typical_ms[request.traffic_class], objective_ms)

    def pick(self, request: RequestState, now: float, total_in_flight: int) -> EndpointState | None:
        """Return the next endpoint of the rotation for this request; None: none has capacity for it."""
        traffic_class = request.traffic_class
        latency = self.latency
        min_tokens = min(latency.typical_ms[traffic_class] / latency.mean_typical_ms, 1.0)
        is_long = self.isolation.is_long[traffic_class]
        is_isolated = self.isolation.is_active and (is_long or now < request.isolated_until)
        endpoints = self.subset.selected
        tried = request.tried_endpoints if len(request.tried_endpoints) < len(endpoints) else ()
        is_bound = request.may_have_run or request.open_attempts > 0
        available = [
            endpoint
            for endpoint in endpoints
            if endpoint.weight > 0.0
            # Attempts that are written off take no capacity: what swallows some work is not full of it.
            and (
                endpoint.in_flight - endpoint.written_off < endpoint.own_limit
                or endpoint.in_flight - endpoint.written_off + endpoint.peer_in_flight < endpoint.limit
            )
            and (not is_isolated or endpoint.serves_long_work == is_long)
            and endpoint.blocked_until <= now
            and (endpoint.cold_rate == inf or endpoint.cold_tokens >= min_tokens)
            # Stalled: pauses and hangs show as silence long before a time-out.
            and (not endpoint.in_flight or now - endpoint.silent_since <= endpoint.stall_timeout_ms)
            and endpoint.id not in tried
            and (not is_bound or self.rules.is_in_scope(request, endpoint, now))
        ]
        best = fallback = None
        best_weight = fallback_weight = -inf
        total = 0.0
        prefers_open = self.connections.connect_failure_share > CONNECT_FAILURES_HIGH
        for endpoint in available:
            current_weight = endpoint.current_weight + endpoint.weight
            if endpoint.circuits and endpoint.has_open_circuit(request.circuit_keys, now):
                if now >= request.isolated_until:  # it has waited: better than none
                    current_weight -= OPEN_CIRCUIT_PENALTY
                    if current_weight > fallback_weight:
                        fallback = endpoint
                        fallback_weight = current_weight
                continue
            # It has far more than its share, or needs a new connection where these often fail: passed over.
            counted = endpoint.in_flight - endpoint.written_off
            is_over_share = counted > 1.0 + endpoint.fair_share * total_in_flight
            if is_over_share or (prefers_open and endpoint.in_flight >= endpoint.connections):
                if current_weight > fallback_weight:
                    fallback = endpoint
                    fallback_weight = current_weight
                continue
            endpoint.current_weight = current_weight
            total += endpoint.weight
            if current_weight > best_weight:
                best = endpoint
                best_weight = current_weight
        if best is None:
            return fallback
        best.current_weight -= total
        return best
