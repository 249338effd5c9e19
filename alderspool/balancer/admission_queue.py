"""Admission queue: requests that wait for capacity, or for the earlier requests of their key.

In an overload, serving the oldest request first would make all of them late. Requests are therefore served by
rank (those of tenants within their quota first), then by priority weight, then newest first. A request that
can hardly meet its latency objective any more is either ranked as late or given up.
"""

from math import inf

from alderspool.balancer.class_isolation import ISOLATED_SHARE_OF_OBJECTIVE
from alderspool.balancer.events import Request
from alderspool.balancer.latency import TRAFFIC_DECAY_MS
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.moving_averages import DecayingSums
from alderspool.balancer.request_state import KeyQueue, KeyQueues, PriorityQueue, QueueRank, RequestState
from alderspool.balancer.settings import Settings

# A request may be queued until QUEUE_MARGIN_TYPICAL typical latencies before its latency objective, but for
# MIN_QUEUE_SHARE to MAX_QUEUE_SHARE of the objective. Sent later, it would hardly be in time.
QUEUE_MARGIN_TYPICAL = 1.5
MIN_QUEUE_SHARE = 0.1
MAX_QUEUE_SHARE = 0.4
CHECK_INTERVAL_MS = 8.0  # between checks of the queue while requests are in it
# A rejection is due this many clock steps, plus one check interval, before the deadline of the request.
RESPONSE_MARGIN_CLOCK_STEPS = 2
# A dispatch stops once so many requests have found no endpoint: one that fits few must not block the others.
CANDIDATES_PER_DISPATCH = 4
MAX_KEY_QUEUE = 32  # requests of one key that are queued or running
KEY_TIMER_MARGIN_MS = 0.01
# A request with less time left than FIRST_TRY_SHARE of the longest seen is taken for a client's retry, whose
# latency objective ends when that of the client's first try does. If in calm traffic fewer requests than
# MIN_UNIFORM_DEADLINE_SHARE have the full time left, clients use different deadlines, and no request is taken
# for a retry.
FIRST_TRY_SHARE = 0.95
MIN_UNIFORM_DEADLINE_SHARE = 0.8
UNIFORM_DEADLINE_GAIN = 0.01
FIRST_TRY_CLOCK_STEPS = 3  # tolerance of the comparison


class AdmissionQueue:
    """Holds the queued requests, by priority and by key. It does not send any itself."""

    def __init__(self, settings: Settings, latency: LatencyEstimates) -> None:
        self.waiting = PriorityQueue()
        self.key_queues = KeyQueues()
        self.is_timer_set = False
        # Share of the requests in calm traffic that arrive with about the longest time left, by class.
        self.uniform_deadline_share = [1.0] * len(settings.classes)
        self.tenant_rps = DecayingSums(len(settings.tenants))
        self.last_given_up_at = -inf
        self._longest_time_left_ms = [0.0] * len(settings.classes)
        self._settings = settings
        self._latency = latency

    def new_request(self, event: Request, traffic_class: int, now: float) -> RequestState:
        """Return the state of a new request, with the times until which it may be queued."""
        request = RequestState(event, traffic_class, now + event.time_left_ms)
        objective_ms = self._objective_left_ms(event, now)
        queue_ms = objective_ms - QUEUE_MARGIN_TYPICAL * self._latency.typical_ms[traffic_class]
        queue_ms = min(max(queue_ms, MIN_QUEUE_SHARE * objective_ms), MAX_QUEUE_SHARE * objective_ms)
        request.objective_at = now + objective_ms
        request.queue_until = now + queue_ms
        request.isolated_until = now + ISOLATED_SHARE_OF_OBJECTIVE * objective_ms
        margin_ms = RESPONSE_MARGIN_CLOCK_STEPS * self._settings.clock_step_ms
        request.respond_by = request.deadline - CHECK_INTERVAL_MS - margin_ms
        if self._settings.tenants and self._count_and_check_quota(event.tenant):
            request.rank = QueueRank.OVER_QUOTA
        return request

    def push(self, request: RequestState) -> None:
        """Queue a request."""
        self.waiting.push(request, self._settings.classes[request.class_index].priority_weight)

    def expire_or_rank_as_late(self, request: RequestState, now: float) -> bool:
        """Handle a request whose time in the queue is over; return whether it is to be given up.

        If it is not, it is ranked as late and stays until `respond_by`.
        """
        is_late_useless = self._settings.classes[request.class_index].late_priority_weight <= 0.0
        if now >= request.respond_by or is_late_useless:
            return True
        request.rank = QueueRank.LATE
        request.queue_until = request.respond_by
        return False

    def join_key_queue(self, request: RequestState, key: int, now: float) -> bool:
        """Queue a request behind the others of its key; return False if the key cannot serve it in time."""
        queue = self.key_queues.of_key(key)
        ahead = len(queue.requests)
        needed_ms = (ahead + 1) * self._latency.typical_ms[request.traffic_class]
        if ahead >= MAX_KEY_QUEUE or (ahead and now + needed_ms > request.objective_at):
            return False
        queue.join(request)
        return True

    def key_turn_delay_ms(self, request: RequestState, queue: KeyQueue, now: float) -> float | None:
        """Return None if the request is first in its queue and the key has quiesced.

        Otherwise, return the delay in ms after which to check again.
        """
        is_first = queue.requests[0] is request
        if is_first and now >= queue.quiesce_until:
            return None
        check_at = min(request.respond_by, queue.quiesce_until if is_first else inf)
        if now <= request.queue_until:
            check_at = min(check_at, request.queue_until)
        return max(check_at - now, 0.0) + KEY_TIMER_MARGIN_MS

    def _objective_left_ms(self, event: Request, now: float) -> float:
        """Return how much is left of the latency objective.

        For a client's retry, the time since the first try is subtracted, so that a wave of client retries is
        not served too late.
        """
        request_class = self._settings.classes[event.cls]
        longest_ms = min(event.time_left_ms, request_class.deadline_ms)
        longest_ms = max(self._longest_time_left_ms[event.cls], longest_ms)
        self._longest_time_left_ms[event.cls] = longest_ms
        margin_ms = FIRST_TRY_CLOCK_STEPS * self._settings.clock_step_ms
        is_first_try = event.time_left_ms > FIRST_TRY_SHARE * longest_ms - margin_ms
        # Calm traffic contains no client retries, so it shows whether clients use different deadlines.
        if now - self.last_given_up_at > request_class.deadline_ms:
            sample = 1.0 if is_first_try else 0.0
            self.uniform_deadline_share[event.cls] += (
                sample - self.uniform_deadline_share[event.cls]
            ) * UNIFORM_DEADLINE_GAIN
        if is_first_try or self.uniform_deadline_share[event.cls] < MIN_UNIFORM_DEADLINE_SHARE:
            return request_class.latency_objective_ms
        return request_class.latency_objective_ms + event.time_left_ms - request_class.deadline_ms

    def _count_and_check_quota(self, tenant: int) -> bool:
        """Count a request of the tenant; return whether it exceeds its quota and waits behind the others."""
        tenants = self._settings.tenants
        if tenant >= len(tenants):
            return False
        self.tenant_rps.values[tenant] += 1000.0 / TRAFFIC_DECAY_MS
        quota_rps = tenants[tenant].quota_rps / self._settings.instance_count
        return 0.0 < quota_rps < self.tenant_rps.values[tenant]
