"""Weighted rotation, the balancer's default policy. Read this module first.

For each endpoint i and traffic class c it learns a speed P_c(i), the work served per ms in flight, and
combines the speeds by the class mix into weights, W(i) = sum of share_c * P_c(i). Smooth weighted round robin
then spreads the requests: each pick adds every endpoint's weight to its current weight, takes the endpoint
with the highest current weight and subtracts the total weight from it, so turns are even and interleaved.
The other policy modules handle the cases in which this is not enough.
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

# Prior of an endpoint's speed for one class: this many attempts at its overall speed. It keeps a few samples
# of a rare class from deciding the weight.
CLASS_PRIOR_ATTEMPTS = 6.0
LISTED_WEIGHT_PRIOR_ATTEMPTS = 3.0  # prior of an endpoint's overall speed, taken from its listed weight
FAILURE_COST = 4.0  # typical latencies charged for a failure; otherwise failing fast would look like speed
MIN_WEIGHT = 0.03  # share of the mean weight that each ready endpoint keeps, so that its recovery is noticed
CROSS_ZONE_FACTOR = 10.0  # weights in other zones are reduced by this multiple of Settings.cross_zone_cost
# An endpoint is passed over if it has more than this multiple of its share of the open attempts, plus one.
FAIR_SHARE_SLACK = 1.3
STALL_FACTOR = 2.5  # an endpoint silent for this many typical latencies with open attempts is stalled
OPEN_CIRCUIT_PENALTY = 1e9  # subtracted from the current weight: ranks last among the fallback endpoints


@dataclass(slots=True)
class Rotation:
    """Learns the endpoint weights at each refresh and picks an endpoint for each attempt."""

    settings: Settings
    random: Random
    latency: LatencyEstimates
    subset: EndpointSubset
    isolation: ClassIsolation
    connections: ConnectionHealth
    rules: RetryRules

    def learn_speeds(self, now: float, elapsed_ms: float) -> None:
        """Recompute the overall speed of each endpoint.

        The time of open attempts counts too, so an endpoint that accepts requests but does not respond loses
        speed quickly.
        """
        decay = exp(-elapsed_ms / SPEED_DECAY_MS)
        typical_ms = self.latency.typical_ms
        prior_ms = LISTED_WEIGHT_PRIOR_ATTEMPTS * self.latency.mean_typical_ms
        mean_size = self.subset.endpoint_list.mean_size
        for endpoint in self.subset.selected:
            endpoint.decay_statistics(decay, now, typical_ms)
            work = endpoint.served_work + prior_ms * endpoint.size / mean_size
            endpoint.speed = work / (sum(endpoint.in_flight_ms_by_class) + prior_ms)

    def rebuild_weights(self) -> None:
        """Recompute the weights: the speeds for each class, scaled to a sum of 100, weighted by its share."""
        endpoints = self.subset.selected
        weights = [0.0] * len(endpoints)
        for index, share in enumerate(self.latency.mix.shares):
            typical_ms = self.latency.typical_ms[index]
            prior_ms = CLASS_PRIOR_ATTEMPTS * typical_ms
            speeds = [
                (endpoint.served_by_class[index] * typical_ms + prior_ms * endpoint.speed)
                / (endpoint.in_flight_ms_by_class[index] + prior_ms)
                for endpoint in endpoints
            ]
            scale = 100.0 * share / sum(speeds)
            weights = [weight + speed * scale for weight, speed in zip(weights, speeds, strict=True)]
        min_weight = MIN_WEIGHT * 100.0 / len(endpoints)
        remote_factor = max(1.0 - CROSS_ZONE_FACTOR * self.settings.cross_zone_cost, MIN_WEIGHT)
        for endpoint, weight in zip(endpoints, weights, strict=True):
            factor = endpoint.warm_up_factor
            if endpoint.zone != self.settings.zone:
                factor *= remote_factor
            endpoint.weight = max(weight, min_weight) * factor

    def update_fair_shares(self) -> None:
        """Set the fair share of each endpoint, and add new endpoints to the rotation.

        With several instances, a new endpoint starts at a random phase; otherwise all instances would begin
        with the same endpoint.
        """
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
        """Charge a failure as time in flight, which lowers the endpoint's speed."""
        typical_ms = self.latency.typical_ms[traffic_class]
        cost = 1.0 if status == AttemptStatus.REJECTED else FAILURE_COST
        endpoint.busy_ms_by_class[traffic_class] += max(latency_ms, cost * typical_ms)

    def stall_timeout_ms(self, request: RequestState) -> float:
        """Return how long an endpoint that holds this request may be silent before it counts as stalled."""
        objective_ms = self.settings.classes[request.class_index].latency_objective_ms
        return min(STALL_FACTOR * self.latency.typical_ms[request.traffic_class], objective_ms)

    def pick(self, request: RequestState, now: float, total_in_flight: int) -> EndpointState | None:
        """Return the endpoint for the next attempt of the request, or None if none may take it now."""
        traffic_class = request.traffic_class
        latency = self.latency
        min_tokens = min(latency.typical_ms[traffic_class] / latency.mean_typical_ms, 1.0)
        is_long = self.isolation.is_long[traffic_class]
        is_isolated = self.isolation.is_active and (is_long or now < request.isolated_until)
        endpoints = self.subset.selected
        tried = request.tried_endpoints if len(request.tried_endpoints) < len(endpoints) else ()
        may_run_twice = request.may_have_run or request.open_attempts > 0
        # Written-off attempts use no capacity: an endpoint that lost some requests is not full of them.
        # A paused or hanging endpoint is recognized by its silence (stall_timeout_ms) long before a timeout.
        available = [
            endpoint
            for endpoint in endpoints
            if endpoint.weight > 0.0
            and (
                endpoint.in_flight - endpoint.written_off < endpoint.own_limit
                or endpoint.in_flight - endpoint.written_off + endpoint.peer_in_flight < endpoint.limit
            )
            and (not is_isolated or endpoint.serves_long_work == is_long)
            and endpoint.blocked_until <= now
            and (endpoint.cold_rate == inf or endpoint.cold_tokens >= min_tokens)
            and (not endpoint.in_flight or now - endpoint.silent_since <= endpoint.stall_timeout_ms)
            and endpoint.id not in tried
            and (not may_run_twice or self.rules.may_repeat_at(request, endpoint, now))
        ]
        best = fallback = None
        best_weight = fallback_weight = -inf
        total = 0.0
        prefers_open_connections = self.connections.connect_failure_share > CONNECT_FAILURES_HIGH
        for endpoint in available:
            current_weight = endpoint.current_weight + endpoint.weight
            if endpoint.circuits and endpoint.has_open_circuit(request.circuit_keys, now):
                # After the isolation time, an endpoint with an open circuit is better than none.
                if now >= request.isolated_until:
                    current_weight -= OPEN_CIRCUIT_PENALTY
                    if current_weight > fallback_weight:
                        fallback = endpoint
                        fallback_weight = current_weight
                continue
            # Pass over endpoints that have far more than their fair share of the open attempts, and those
            # that would need a new connection while connects often fail.
            counted_in_flight = endpoint.in_flight - endpoint.written_off
            is_over_share = counted_in_flight > 1.0 + endpoint.fair_share * total_in_flight
            if is_over_share or (prefers_open_connections and endpoint.in_flight >= endpoint.connections):
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
