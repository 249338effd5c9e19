"""Retry rules: where a further attempt may go, and until when, given the idempotency of the request's class.

They are safety rules: a request must not run twice unless that does no harm.
"""

from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.events import NEVER_RAN, AttemptStatus
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.request_state import RequestState
from alderspool.balancer.settings import DeduplicationScope, Idempotency, Settings

# Statuses after which an attempt may still be running at its endpoint.
MAY_STILL_BE_RUNNING = (AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)
TRANSIT_CLOCK_STEPS = 4  # margin for transit: a retry is sent this long before the deduplication window ends


def never_ran_statuses(settings: Settings) -> tuple[AttemptStatus, ...]:
    """Return the statuses that prove that an attempt never ran."""
    may_have_run = {AttemptStatus.REJECTED} if settings.rejected_may_have_run else set()
    return tuple(sorted(NEVER_RAN - may_have_run))


class RetryRules:
    """Decides which requests may be repeated and where, by the settings of their class."""

    def __init__(self, settings: Settings, latency: LatencyEstimates) -> None:
        self._settings = settings
        self._latency = latency
        self._classes = settings.classes
        self.never_ran_statuses = never_ran_statuses(settings)

    def may_attempt(self, request: RequestState, now: float) -> bool:
        """Whether the first or a further attempt of the request may be sent now."""
        if request.is_finished or now >= request.deadline:
            return False
        if len(request.attempts) >= self._settings.max_attempts:
            return False
        if request.open_attempts and not self._settings.hedging_allowed:
            return False
        idempotency = self._classes[request.class_index].idempotency
        if idempotency == Idempotency.IDEMPOTENT or not (request.may_have_run or request.open_attempts):
            return True
        return idempotency == Idempotency.KEYED and now <= self.deduplicated_until(request)

    def is_retry_useful(self, request: RequestState, now: float) -> bool:
        """Whether a retry would still be useful if its response takes the no-load latency."""
        if now >= request.respond_by:
            return False
        is_late_useful = self._classes[request.class_index].late_priority_weight > 0.0
        no_load_ms = self._latency.no_load_ms[request.traffic_class]
        return is_late_useful or now + no_load_ms <= request.objective_at

    def may_repeat_at(self, request: RequestState, endpoint: EndpointState, now: float) -> bool:
        """Whether a request that may have run already may be repeated at this endpoint."""
        request_class = self._classes[request.class_index]
        if request_class.idempotency != Idempotency.KEYED or now > self.deduplicated_until(request):
            return request_class.idempotency == Idempotency.IDEMPOTENT
        if request_class.deduplication_scope == DeduplicationScope.ALL:
            return True
        if request_class.deduplication_scope == DeduplicationScope.ZONE:
            return endpoint.zone == request.first_run_zone
        return endpoint.cell == request.first_run_cell

    def may_begin(self, request: RequestState, now: float) -> bool:
        """Whether the latest attempt may still be sent.

        It may have waited long for its connection since it was decided on.
        """
        is_keyed = self._classes[request.class_index].idempotency == Idempotency.KEYED
        is_retry = len(request.attempts) > 1
        return not (is_keyed and is_retry) or now <= self.deduplicated_until(request)

    def may_reject(self, request: RequestState) -> bool:
        """Whether the final response may be a rejection, after which the client may safely try again."""
        request_class = self._classes[request.class_index]
        if request_class.idempotency == Idempotency.KEYED:
            is_harmless = request_class.deduplication_scope == DeduplicationScope.ALL
        else:
            is_harmless = request_class.idempotency == Idempotency.IDEMPOTENT
        return is_harmless or not (request.may_have_run or request.open_attempts)

    def retry_after_ms(self, request: RequestState) -> float:
        """Return the Retry-After time for the client of a rejected request; 0: none."""
        objective_ms = self._classes[request.class_index].latency_objective_ms
        return min(objective_ms, self._settings.max_retry_after_ms) if self._settings.retry_after else 0.0

    def deduplicated_until(self, request: RequestState) -> float:
        """Return the latest time at which a duplicate may be sent and is sure to be dropped on arrival."""
        window_ms = self._classes[request.class_index].deduplication_window_ms
        return request.first_run_at + window_ms - TRANSIT_CLOCK_STEPS * self._settings.clock_step_ms
