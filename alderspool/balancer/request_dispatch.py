"""Request dispatch: takes each request from arrival through its attempts to its final response.

The dispatcher carries out what the policies decide and reports requests and outcomes to them. All thresholds
and choices belong to the policies.
"""

from __future__ import annotations

from heapq import heappop, heappush
from math import inf

from alderspool.balancer import hedging
from alderspool.balancer.actions import Action, Cancel, CloseIdle, Fail, Log, Reject, Send, SetTimer
from alderspool.balancer.admission_queue import CANDIDATES_PER_DISPATCH, CHECK_INTERVAL_MS
from alderspool.balancer.endpoint import Attempt, EndpointState
from alderspool.balancer.events import AttemptStatus, Outcome, Request
from alderspool.balancer.outlier_detection import WRITTEN_OFF_AFTER_RESPONSES
from alderspool.balancer.policies import Policies
from alderspool.balancer.request_state import EndedAttempt, QueueEntry, RequestState
from alderspool.balancer.retry_rules import MAY_STILL_BE_RUNNING
from alderspool.balancer.schedule import MAX_LOG_LINES
from alderspool.balancer.settings import Settings
from alderspool.balancer.timers import TimerKind, timer_token


class RequestDispatcher:
    """Owns the pending requests.

    For each event the caller sets `now`, resets `actions`, and afterwards reads the actions from there.
    """

    def __init__(self, settings: Settings, policies: Policies) -> None:
        self.now = 0.0
        self.actions: list[Action] = []
        self.pending: dict[int, RequestState] = {}
        self.policies = policies
        self._settings = settings
        self._queue = policies.queue
        self._cancels_open_attempts = hedging.cancels_open_attempts(settings)
        self._log_lines_left = MAX_LOG_LINES

    def accept(self, event: Request) -> None:
        """Dispatch, queue, reject or fail a new request."""
        policies = self.policies
        if event.cls >= len(self._settings.classes):
            event.cls = 0
        traffic_class = policies.latency.record_request(event)
        policies.retry_budget.deposit(self.now)
        request = self._queue.new_request(event, traffic_class, self.now)
        self.pending[event.id] = request
        if self._give_up_if_expired(request):
            return
        if not (event.key and self._settings.classes[event.cls].ordered_by_key):
            self._dispatch_or_queue(request)
        elif self._queue.join_key_queue(request, event.key, self.now):
            self.check_key_turn(request)
        else:
            self._give_up(request)
        if self._queue.waiting.entries:
            self.dispatch_queued()

    def finish_attempt(self, event: Outcome) -> None:
        """Record an outcome in the statistics, and finish, retry or give up its request."""
        request = self._end_attempt(event)
        if request is not None:
            self._finish_or_retry(request, event)
        if self._queue.waiting.entries:
            self.dispatch_queued()

    def send_hedge(self, request_id: int) -> None:
        """Send a hedge if the request has exactly one open attempt and may have another."""
        request = self.pending.get(request_id)
        if request is None or request.open_attempts != 1:
            return
        typical_ms = self.policies.latency.typical_ms[request.traffic_class]
        can_help = hedging.can_meet_objective(request, self.now, typical_ms)
        if can_help and self.policies.retry_rules.may_attempt(request, self.now):
            endpoint = self._pick_endpoint(request)
            if endpoint is not None:
                self._send_attempt(request, endpoint)

    def handle_client_disconnected(self, request_id: int) -> None:
        """Finish a request whose client no longer waits for a response."""
        if request_id in self.pending:
            self._finish(self.pending[request_id])

    def handle_response_started(self, request_id: int) -> None:
        """Remove the deadline of a request whose response is being streamed."""
        if request_id in self.pending:
            self.pending[request_id].deadline = inf

    def check_key_turn(self, request: RequestState) -> None:
        """Dispatch a request if it is first in its key queue and the key has quiesced; else set a timer."""
        if request.key_queue is None or request.is_finished or not request.awaits_key_turn:
            return
        if self._give_up_if_expired(request):
            return
        delay_ms = self._queue.key_turn_delay_ms(request, request.key_queue, self.now)
        if delay_ms is None:
            request.awaits_key_turn = False
            self._dispatch_or_queue(request)
        else:
            self.actions.append(SetTimer(timer_token(TimerKind.KEY_TURN, request.id), delay_ms))

    def check_queue(self) -> None:
        """Check all queued requests, as none may stay queued beyond its deadline."""
        self._queue.is_timer_set = False
        self.dispatch_queued(is_sweep=True)
        self._set_queue_timer()

    def dispatch_queued(self, is_sweep: bool = False) -> None:
        """Send queued requests while there is capacity.

        Stops after CANDIDATES_PER_DISPATCH requests that no endpoint can take; a sweep checks all the others
        for expiry as well.
        """
        now = self.now
        entries = self._queue.waiting.entries
        without_endpoint: list[QueueEntry] = []
        while entries and (is_sweep or len(without_endpoint) < CANDIDATES_PER_DISPATCH):
            entry = heappop(entries)
            request = entry.request
            # `_give_up_if_expired` compares the times too; doing it here saves a sweep thousands of calls.
            may_be_expired = now > request.queue_until or now >= request.respond_by
            if request.is_finished or (may_be_expired and self._give_up_if_expired(request)):
                continue
            if request.rank != entry.rank:
                self._enqueue(request)
                continue
            endpoint = (
                self._pick_endpoint(request) if len(without_endpoint) < CANDIDATES_PER_DISPATCH else None
            )
            if endpoint is None:
                without_endpoint.append(entry)
            else:
                self._send_attempt(request, endpoint)
        for entry in without_endpoint:
            heappush(entries, entry)

    def log(self, text: str) -> None:
        """Write a line to the log, unless the limit of MAX_LOG_LINES is reached."""
        if self._log_lines_left > 0:
            self._log_lines_left -= 1
            self.actions.append(Log(text))

    def _dispatch_or_queue(self, request: RequestState) -> None:
        # Requests that are already queued go first.
        endpoint = None if self._queue.waiting.entries else self._pick_endpoint(request)
        if endpoint is None:
            self._enqueue(request)
        else:
            self._send_attempt(request, endpoint)

    def _enqueue(self, request: RequestState) -> None:
        self._queue.push(request)
        self._set_queue_timer()

    def _set_queue_timer(self) -> None:
        if not self._queue.is_timer_set and self._queue.waiting.entries:
            self._queue.is_timer_set = True
            self.actions.append(SetTimer(timer_token(TimerKind.QUEUE), CHECK_INTERVAL_MS))

    def _pick_endpoint(self, request: RequestState) -> EndpointState | None:
        policies = self.policies
        if request.attempts and not policies.retry_budget.can_withdraw(self.now):
            return None
        limit = policies.limit
        if limit.total_in_flight >= limit.total and not limit.has_load_reports:
            return None
        return policies.rotation.pick(request, self.now, limit.total_in_flight)

    def _send_attempt(self, request: RequestState, endpoint: EndpointState) -> None:
        policies = self.policies
        now = self.now
        traffic_class = request.traffic_class
        # From this attempt on the request may run, so its time and place decide where retries may go.
        if not (request.may_have_run or request.open_attempts):
            request.first_run_at = now
            request.first_run_zone = endpoint.zone
            request.first_run_cell = endpoint.cell
        if request.attempts:
            policies.retry_budget.withdraw(now)
        idle_ms = now - endpoint.silent_since if endpoint.connections > endpoint.in_flight else 0.0
        if idle_ms > 0.0 and policies.connections.is_stale(idle_ms):
            self.actions.append(CloseIdle(endpoint.id))
            idle_ms = 0.0
        sequence_number = endpoint.begin_attempt(
            now, traffic_class, policies.rotation.stall_timeout_ms(request)
        )
        request.begin_attempt(Attempt(endpoint, now, idle_ms, sequence_number))
        policies.limit.total_in_flight += 1
        typical_ms = policies.latency.typical_ms[traffic_class]
        if endpoint.cold_rate < inf:
            endpoint.cold_tokens -= typical_ms / policies.latency.mean_typical_ms
        self.actions.append(Send(request.id, endpoint.id))
        if policies.load_reports.is_sending:
            self.actions.extend(policies.load_reports.on_change(endpoint))
        if self._settings.hedging_allowed and policies.retry_rules.may_attempt(request, now):
            token = timer_token(TimerKind.HEDGE, request.id)
            self.actions.append(SetTimer(token, hedging.hedge_delay_ms(typical_ms)))

    def _end_attempt(self, event: Outcome) -> RequestState | None:
        """Record an outcome in all statistics; return its request, or None if the attempt is not open."""
        request = self.pending.get(event.id)
        attempt = None if request is None else request.end_attempt(event.attempt)
        if request is None or attempt is None:
            return None
        policies = self.policies
        status = event.status
        endpoint = attempt.endpoint
        is_served = status == AttemptStatus.OK
        later_responses = endpoint.end_attempt(
            self.now, request.traffic_class, attempt, is_served, WRITTEN_OFF_AFTER_RESPONSES
        )
        policies.limit.total_in_flight -= 1
        if request.key_queue is not None and status in MAY_STILL_BE_RUNNING:
            request.key_queue.quiesce_until = self.now + self._settings.key_quiesce_ms
        policies.connections.record_end(status, attempt.connection_idle_ms)
        if status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET):
            endpoint.connections = endpoint.in_flight
        latency_ms = self.now - attempt.sent_at
        if endpoint.cold_rate == inf:
            work = policies.latency.typical_ms[request.traffic_class] / policies.latency.mean_typical_ms
            objective_ms = self._settings.classes[request.class_index].latency_objective_ms
            policies.limit.record_end(status, work, latency_ms, objective_ms)
        if is_served:
            self._record_success(request, endpoint, latency_ms)
        else:
            ended = EndedAttempt(status, attempt.sent_at, latency_ms, later_responses)
            self._record_failure(request, endpoint, ended)
        if policies.load_reports.is_sending:
            self.actions.extend(policies.load_reports.on_change(endpoint))
        return request

    def _record_success(self, request: RequestState, endpoint: EndpointState, latency_ms: float) -> None:
        policies = self.policies
        traffic_class = request.traffic_class
        policies.outliers.record_success(endpoint, request)
        endpoint.served_by_class[traffic_class] += 1.0
        endpoint.busy_ms_by_class[traffic_class] += latency_ms
        if endpoint is policies.limit.active_endpoint:
            policies.limit.record_active_latency(latency_ms / policies.latency.typical_ms[traffic_class])
        policies.latency.record_response(traffic_class, latency_ms)
        if endpoint.is_process_lost:
            endpoint.mark_restarted(self.now)

    def _record_failure(self, request: RequestState, endpoint: EndpointState, ended: EndedAttempt) -> None:
        policies = self.policies
        if not policies.outliers.is_fault_of_endpoint(ended.status, ended.latency_ms, request.traffic_class):
            endpoint.busy_ms_by_class[request.traffic_class] += ended.latency_ms
            return
        policies.rotation.record_failure(endpoint, request.traffic_class, ended.status, ended.latency_ms)
        if policies.outliers.record_failure(endpoint, request, ended, self.now):
            failures = endpoint.consecutive_failures
            self.log(f"eject {endpoint.id.hex()}: {failures} failures in a row, last status {ended.status}")

    def _finish_or_retry(self, request: RequestState, event: Outcome) -> None:
        """Finish a request after one of its attempts has ended, or retry it, or give it up."""
        policies = self.policies
        if event.status not in policies.retry_rules.never_ran_statuses:
            request.may_have_run = True
        if event.finished and not request.is_finished:
            self._finish(request)
        if request.is_finished and not request.open_attempts:
            self._remove(request)
        if request.is_finished or request.open_attempts:
            return
        rules = policies.retry_rules
        may_retry = rules.may_attempt(request, self.now) and rules.is_retry_useful(request, self.now)
        if may_retry and policies.retry_budget.can_withdraw(self.now):
            self._dispatch_or_queue(request)
        else:
            self._give_up(request)

    def _finish(self, request: RequestState) -> None:
        """Mark a request as finished, and cancel its open attempts if hedging and cancelling are allowed."""
        request.is_finished = True
        if self._cancels_open_attempts:
            for number, attempt in enumerate(request.attempts):
                if attempt is not None:
                    self.actions.append(Cancel(request.id, number))
        if not request.open_attempts:
            self._remove(request)

    def _give_up_if_expired(self, request: RequestState) -> bool:
        """Give up a request that was queued for too long; return whether it is finished."""
        now = self.now
        is_due = now > request.queue_until or now >= request.respond_by
        if is_due and self._queue.expire_or_rank_as_late(request, now):
            self._give_up(request)
        return request.is_finished

    def _give_up(self, request: RequestState) -> None:
        """Send a final response: a rejection if a retry is harmless, else a failure."""
        self._queue.last_given_up_at = self.now
        if self.policies.retry_rules.may_reject(request):
            self.actions.append(Reject(request.id, self.policies.retry_rules.retry_after_ms(request)))
        else:
            self.actions.append(Fail(request.id))
        self._finish(request)

    def _remove(self, request: RequestState) -> None:
        """Drop a finished request without open attempts, and check the next request of its key.

        Only now may that one be sent: requests of a key run one at a time.
        """
        if self.pending.pop(request.id, None) is not None and request.key_queue is not None:
            waiting = request.key_queue.requests
            waiting.remove(request)
            if waiting:
                self.check_key_turn(waiting[0])
