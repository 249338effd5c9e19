"""Admission queue: requests that wait for capacity, or for the earlier requests of their key.

In an overload the oldest first would make all late. So requests go by their tenant's quota, then by priority
weight, then the youngest first, and what can hardly be in time any more is late or given up.
"""

from math import inf

from alderspool.balancer.class_isolation import ISOLATED_SHARE_OF_OBJECTIVE
from alderspool.balancer.events import Request
from alderspool.balancer.latency import TRAFFIC_DECAY_MS
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.moving_averages import FadingSums
from alderspool.balancer.request_state import KeyQueue, KeyQueues, PriorityQueue, QueueRank, RequestState
from alderspool.balancer.settings import Settings

# A request is queued until its latency objective less so many typical latencies, between these shares of it:
# to send it later would hardly be in time.
QUEUE_MARGIN_TYPICAL = 1.5
MIN_QUEUE_SHARE = 0.1
MAX_QUEUE_SHARE = 0.4
CHECK_INTERVAL_MS = 8.0  # while requests are queued
RESPONSE_MARGIN_CLOCK_STEPS = 2  # before the deadline, on top of one check interval
CANDIDATES_PER_DISPATCH = 4  # one that fits few endpoints must not stop the others
MAX_KEY_QUEUE = 32  # requests of one key
KEY_TIMER_MARGIN_MS = 0.01
# A client's later attempt has less time left than this share of the longest seen, and its objective ends with
# the first one's. Not where even in calm traffic less than the second share of the requests have it all.
FIRST_TRY_SHARE = 0.95
MIN_ALIKE_SHARE = 0.8
ALIKE_GAIN = 0.01
FIRST_TRY_CLOCK_STEPS = 3


class AdmissionQueue:
    """Queued requests, by priority and by key. It sends nothing itself."""

    def __init__(self, settings: Settings, latency: LatencyEstimates) -> None:
        self.waiting = PriorityQueue()
        self.key_queues = KeyQueues()
        self.is_timer_set = False
        self.alike_share = [1.0] * len(settings.classes)  # of calm requests that have about as much time left
        self.tenant_rps = FadingSums(len(settings.tenants))
        self.last_given_up_at = -inf
        self._longest_time_left_ms = [0.0] * len(settings.classes)
        self._settings = settings
        self._latency = latency

    def new_request(self, event: Request, traffic_class: int, now: float) -> RequestState:
        """Return the record of a request that has come in, with the times until which it may be queued."""
        request = RequestState(event, traffic_class, now + event.time_left_ms)
        objective_ms = self._objective_left_ms(event, now)
        queue_ms = objective_ms - QUEUE_MARGIN_TYPICAL * self._latency.typical_ms[traffic_class]
        queue_ms = min(max(queue_ms, MIN_QUEUE_SHARE * objective_ms), MAX_QUEUE_SHARE * objective_ms)
        request.objective_at = now + objective_ms
        request.queue_until = now + queue_ms
        request.isolated_until = now + ISOLATED_SHARE_OF_OBJECTIVE * objective_ms
        margin_ms = RESPONSE_MARGIN_CLOCK_STEPS * self._settings.clock_step_ms
        request.respond_by = request.deadline - CHECK_INTERVAL_MS - margin_ms
        if self._settings.tenants and self._is_over_quota(event.tenant):
            request.rank = QueueRank.OVER_QUOTA
        return request

    def push(self, request: RequestState) -> None:
        """Queue a request."""
        self.waiting.push(request, self._settings.classes[request.class_index].priority_weight)

    def try_expire(self, request: RequestState, now: float) -> bool:
        """Whether a request is given up that was queued until its time; if not it goes behind the others."""
        is_late_useless = self._settings.classes[request.class_index].late_priority_weight <= 0.0
        if now >= request.respond_by or is_late_useless:
            return True
        request.rank = QueueRank.LATE
        request.queue_until = request.respond_by
        return False

    def join_key_queue(self, request: RequestState, key: int, now: float) -> bool:
        """Queue a request behind those of its key; return False if the key cannot serve it in time."""
        queue = self.key_queues.of_key(key)
        ahead = len(queue.requests)
        needed_ms = (ahead + 1) * self._latency.typical_ms[request.traffic_class]
        if ahead >= MAX_KEY_QUEUE or (ahead and now + needed_ms > request.objective_at):
            return False
        queue.join(request)
        return True

    def key_turn_delay_ms(self, request: RequestState, queue: KeyQueue, now: float) -> float | None:
        """Return None if it is the turn of the request and its key has quiesced, else when to check again."""
        is_first = queue.requests[0] is request
        if is_first and now >= queue.quiesce_until:
            return None
        check_at = min(request.respond_by, queue.quiesce_until if is_first else inf)
        if now <= request.queue_until:
            check_at = min(check_at, request.queue_until)
        return max(check_at - now, 0.0) + KEY_TIMER_MARGIN_MS

    def _objective_left_ms(self, event: Request, now: float) -> float:
        """Return the rest of the latency objective: a wave of client retries must not be served too late."""
        request_class = self._settings.classes[event.cls]
        longest_ms = min(event.time_left_ms, request_class.deadline_ms)
        longest_ms = max(self._longest_time_left_ms[event.cls], longest_ms)
        self._longest_time_left_ms[event.cls] = longest_ms
        margin_ms = FIRST_TRY_CLOCK_STEPS * self._settings.clock_step_ms
        is_first_try = event.time_left_ms > FIRST_TRY_SHARE * longest_ms - margin_ms
        # Calm traffic has no retries in it, so it shows whether clients differ in the time that they give.
        if now - self.last_given_up_at > request_class.deadline_ms:
            sample = 1.0 if is_first_try else 0.0
            self.alike_share[event.cls] += (sample - self.alike_share[event.cls]) * ALIKE_GAIN
        if is_first_try or self.alike_share[event.cls] < MIN_ALIKE_SHARE:
            return request_class.latency_objective_ms
        return request_class.latency_objective_ms + event.time_left_ms - request_class.deadline_ms

    def _is_over_quota(self, tenant: int) -> bool:
        """Whether a tenant sends more than its quota: it waits behind all others."""
        tenants = self._settings.tenants
        if tenant >= len(tenants):
            return False
        self.tenant_rps.values[tenant] += 1000.0 / TRAFFIC_DECAY_MS
        quota_rps = tenants[tenant].quota_rps / self._settings.instance_count
        return 0.0 < quota_rps < self.tenant_rps.values[tenant]
