"""Outlier detection: back-off, ejection, panic threshold, and circuit breakers by class and tenant.

Crashed, hanging, failing and full endpoints are treated alike: they get one trial at a time, and each
consecutive failure doubles the back-off, until a trial succeeds. A first failure costs next to nothing.
"""

from dataclasses import dataclass

from alderspool.balancer.endpoint import ANY, Circuit, EndpointState
from alderspool.balancer.events import AttemptStatus
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.request_state import EndedAttempt, RequestState
from alderspool.balancer.settings import Settings

MIN_TIMEOUT_FACTOR = 2.5  # a timeout counts against the endpoint from this many typical latencies on
EJECTED_AFTER_FAILURES = 3  # consecutive failures
PANIC_THRESHOLD = 0.5  # with a larger share ejected, the detector is more likely wrong than all of them bad
PANIC_MAX_DOUBLINGS = 2  # keeps the back-off short in panic mode, unless an endpoint reports that it is full
MAX_DOUBLINGS = 10
BACKOFF_TURNS = 2.0  # first back-off, in rotation turns of an endpoint that other instances try as well
MAX_BACKOFF_MS = 4000.0  # after any number of failures, so that recovery is noticed
MIN_ARRIVAL_RATE = 1e-6  # per ms
CIRCUIT_OPEN_MS = 3000.0  # after the first failure; doubles with each further one
MAX_CIRCUIT_OPEN_MS = 12_000.0
# After this many responses to attempts sent later, an open attempt is considered lost and takes no capacity.
WRITTEN_OFF_AFTER_RESPONSES = 4


def is_outlier(endpoint: EndpointState) -> bool:
    """Whether the endpoint is ejected: it gets a single trial after each back-off."""
    return endpoint.consecutive_failures >= EJECTED_AFTER_FAILURES


@dataclass(slots=True)
class OutlierDetector:
    """Backs off from endpoints, ejects them and opens their circuits, by the outcomes of their attempts."""

    settings: Settings
    latency: LatencyEstimates
    subset_size: int = 0
    sharing_instances: float = 1.0  # mean number of instances that use the same endpoint
    outlier_count: int = 0  # among the endpoints in use, at the last refresh
    is_panic: bool = False

    def is_fault_of_endpoint(self, status: int, latency_ms: float, traffic_class: int) -> bool:
        """Whether a failed attempt counts against the endpoint.

        A timeout of an attempt that was sent too late to be served does not.
        """
        if status == AttemptStatus.TIMEOUT:
            return latency_ms >= MIN_TIMEOUT_FACTOR * self.latency.typical_ms[traffic_class]
        return status not in (AttemptStatus.CANCELLED, AttemptStatus.NEVER_SENT)

    def record_success(self, endpoint: EndpointState, request: RequestState) -> None:
        """Reset the consecutive failures, and halve the failures of the request's circuits.

        Circuit failures are not reset, because a rate-limited class or tenant is still served now and then.
        """
        if endpoint.circuits:
            endpoint.halve_circuit_failures(request.circuit_keys)
        endpoint.consecutive_failures = 0

    def record_failure(
        self, endpoint: EndpointState, request: RequestState, ended: EndedAttempt, now: float
    ) -> bool:
        """Back off from the endpoint; return whether this failure ejects it."""
        # A timeout without any response to later attempts means that the endpoint is silent for all traffic:
        # it is not specific to the class or the tenant, and the back-off is enough.
        is_traffic_specific = ended.status in (AttemptStatus.ERROR, AttemptStatus.REJECTED) or (
            ended.status == AttemptStatus.TIMEOUT and ended.later_responses > 0
        )
        if is_traffic_specific and len(self.settings.classes) + len(self.settings.tenants) > 1:
            self._record_circuit_failures(endpoint, request, now)
        if ended.sent_at < endpoint.last_failure_at:
            return False  # attempts that are lost in the same pause count as one failure
        endpoint.consecutive_failures += 1
        endpoint.last_failure_at = now
        is_doubtful = self.is_panic and ended.status != AttemptStatus.REJECTED
        max_doublings = PANIC_MAX_DOUBLINGS if is_doubtful else MAX_DOUBLINGS
        doublings = min(endpoint.consecutive_failures - 1, max_doublings)
        backoff_ms = self._first_backoff_ms(request.traffic_class) * 2**doublings
        endpoint.blocked_until = now + min(backoff_ms, MAX_BACKOFF_MS)
        if ended.status == AttemptStatus.CONNECT_FAILED and is_outlier(endpoint):
            endpoint.is_process_lost = True
        return endpoint.consecutive_failures == EJECTED_AFTER_FAILURES

    def refresh(self) -> None:
        """Enter or leave panic mode: so many endpoints are ejected that the ejections are doubtful."""
        self.is_panic = self.outlier_count > PANIC_THRESHOLD * self.subset_size

    def _first_backoff_ms(self, traffic_class: int) -> float:
        """Return the back-off after a single failure.

        It spans a few turns of the endpoint in the rotation: a shorter one would not spare it any request.
        """
        typical_ms = self.latency.typical_ms[traffic_class]
        turn_ms = self.subset_size / max(self.latency.arrivals.rate, MIN_ARRIVAL_RATE)
        return max(typical_ms, min(BACKOFF_TURNS * turn_ms, self.sharing_instances * typical_ms))

    def _record_circuit_failures(self, endpoint: EndpointState, request: RequestState, now: float) -> None:
        """Open the circuit for this class and tenant together.

        The circuit for the class alone opens only once the class has failed for a second tenant, and that for
        the tenant alone once the tenant has failed with a second class.
        """
        keys = request.circuit_keys
        counterparts = (ANY, keys.tenant.tenant, keys.traffic_class.traffic_class)
        for key, counterpart in zip(keys, counterparts, strict=True):
            failures, open_until, first_counterpart = endpoint.circuits.get(key, Circuit(0, 0.0, counterpart))
            if counterpart == ANY or first_counterpart != counterpart or open_until:
                open_until = now + min(CIRCUIT_OPEN_MS * 2**failures, MAX_CIRCUIT_OPEN_MS)
                failures += 1
            endpoint.circuits[key] = Circuit(failures, open_until, first_counterpart)
