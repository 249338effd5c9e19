"""Outlier detection: back-off, ejection, panic threshold, and circuit breakers by class and tenant.

Crashed, hanging, failing and full endpoints alike get one trial at a time, each failure in a row doubling the
wait, until one is served. A first failure costs next to nothing.
"""

from dataclasses import dataclass

from alderspool.balancer.endpoint import ANY, Circuit, EndpointState
from alderspool.balancer.events import AttemptStatus
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.request_state import EndedAttempt, RequestState
from alderspool.balancer.settings import Settings

FAIR_TIMEOUT_FACTOR = 2.5  # a time-out counts against its endpoint from this many typical latencies on
EJECTED_AFTER_FAILURES = 3  # in a row
PANIC_THRESHOLD = 0.5  # with more than this ejected, the detector is likelier wrong than so many endpoints
PANIC_MAX_DOUBLINGS = 2  # in panic the back-off stays short, unless an endpoint says that it is full
MAX_DOUBLINGS = 10
BACKOFF_TURNS = 2.0  # the first back-off lasts this many turns of an endpoint, where others try it as well
MAX_BACKOFF_MS = 4000.0  # however many failures, so that recovery is noticed
MIN_ARRIVAL_RATE = 1e-6  # per ms
CIRCUIT_OPEN_MS = 3000.0  # after the first failure; doubles with each further one
MAX_CIRCUIT_OPEN_MS = 12_000.0
WRITTEN_OFF_AFTER_RESPONSES = 4  # to attempts sent later: an attempt is lost and takes no capacity any longer


def is_outlier(endpoint: EndpointState) -> bool:
    """Whether the endpoint is ejected: it gets one trial at a time, after each back-off."""
    return endpoint.consecutive_failures >= EJECTED_AFTER_FAILURES


@dataclass(slots=True)
class OutlierDetector:
    """Judges endpoints by how their attempts end."""

    settings: Settings
    latency: LatencyEstimates
    subset_size: int = 0
    sharing_instances: float = 1.0  # that use the same endpoints
    outlier_count: int = 0  # of the endpoints in use, at the last refresh
    is_panic: bool = False

    def is_fault_of_endpoint(self, status: int, latency_ms: float, traffic_class: int) -> bool:
        """Whether a failure speaks of the endpoint: an attempt sent too late to be served speaks of us."""
        if status == AttemptStatus.TIMEOUT:
            return latency_ms >= FAIR_TIMEOUT_FACTOR * self.latency.typical_ms[traffic_class]
        return status not in (AttemptStatus.CANCELLED, AttemptStatus.NEVER_SENT)

    def record_success(self, endpoint: EndpointState, request: RequestState) -> None:
        """End the back-off; halve the failures of circuits: a rate-limited kind is served now and then."""
        if endpoint.circuits:
            endpoint.halve_circuit_failures(request.circuit_keys)
        endpoint.consecutive_failures = 0

    def record_failure(
        self, endpoint: EndpointState, request: RequestState, ended: EndedAttempt, now: float
    ) -> bool:
        """Back off from the endpoint; return whether this failure ejects it."""
        # Without any response meanwhile it is silent to all: no kind is to blame, the back-off is enough.
        is_by_kind = ended.status in (AttemptStatus.ERROR, AttemptStatus.REJECTED) or (
            ended.status == AttemptStatus.TIMEOUT and ended.later_responses > 0
        )
        if is_by_kind and len(self.settings.classes) + len(self.settings.tenants) > 1:
            self._record_circuit_failures(endpoint, request, now)
        if ended.sent_at < endpoint.last_failure_at:
            return False  # attempts lost together, in one pause, are one failure
        endpoint.consecutive_failures += 1
        endpoint.last_failure_at = now
        is_in_doubt = self.is_panic and ended.status != AttemptStatus.REJECTED
        max_doublings = PANIC_MAX_DOUBLINGS if is_in_doubt else MAX_DOUBLINGS
        doublings = min(endpoint.consecutive_failures - 1, max_doublings)
        backoff_ms = self._first_backoff_ms(request.traffic_class) * 2**doublings
        endpoint.blocked_until = now + min(backoff_ms, MAX_BACKOFF_MS)
        if ended.status == AttemptStatus.CONNECT_FAILED and is_outlier(endpoint):
            endpoint.is_process_lost = True
        return endpoint.consecutive_failures == EJECTED_AFTER_FAILURES

    def refresh(self) -> None:
        """Decide whether so many endpoints are outliers that this is in doubt."""
        self.is_panic = self.outlier_count > PANIC_THRESHOLD * self.subset_size

    def _first_backoff_ms(self, traffic_class: int) -> float:
        """Return the back-off after one failure: a few turns of the endpoint, as less spares it nothing."""
        typical_ms = self.latency.typical_ms[traffic_class]
        turn_ms = self.subset_size / max(self.latency.arrivals.rate, MIN_ARRIVAL_RATE)
        return max(typical_ms, min(BACKOFF_TURNS * turn_ms, self.sharing_instances * typical_ms))

    def _record_circuit_failures(self, endpoint: EndpointState, request: RequestState, now: float) -> None:
        """Open the circuit of this class and tenant; that of either alone once a second kind has failed."""
        keys = request.circuit_keys
        counterparts = (ANY, keys.tenant.tenant, keys.traffic_class.traffic_class)
        for key, counterpart in zip(keys, counterparts, strict=True):
            failures, open_until, first_counterpart = endpoint.circuits.get(key, Circuit(0, 0.0, counterpart))
            if counterpart == ANY or first_counterpart != counterpart or open_until:
                open_until = now + min(CIRCUIT_OPEN_MS * 2**failures, MAX_CIRCUIT_OPEN_MS)
                failures += 1
            endpoint.circuits[key] = Circuit(failures, open_until, first_counterpart)
