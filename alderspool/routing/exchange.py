"""The exchange: connects the client side, the endpoint side and discovery with the balancer.

It receives client requests, the outcomes of attempts and endpoint lists from the transport, passes them to
the balancer as events, and executes the balancer's actions. It makes no decisions itself and does not depend
on a wire protocol. Its modules:

- `pending_requests`: requests that await a response or have running attempts, and their deadlines;
- `endpoint_table`: the listed endpoints;
- `balancer_loop`: passes events to the balancer, one at a time, and its actions to their handlers;
- `action_handlers`, `attempts`, `final_responses`: execute the actions;
- `decision_log`, `counts`: logging and request counters for operators.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from alderspool.balancer.balancer import Balancer
from alderspool.balancer.events import (
    AttemptStatus,
    Availability,
    EndpointId,
    EndpointListUpdate,
    HealthChecked,
    Request,
    UpdateMode,
)
from alderspool.balancer.settings import Idempotency, Settings
from alderspool.routing.action_handlers import FleetActionHandlers, RequestActionHandlers
from alderspool.routing.attempts import AttemptController
from alderspool.routing.balancer_loop import BalancerLoop, BalancerProtocol
from alderspool.routing.clock import Clock
from alderspool.routing.counts import RequestCounts
from alderspool.routing.decision_log import DecisionLog
from alderspool.routing.endpoint_table import EndpointTable
from alderspool.routing.final_responses import FinalResponder
from alderspool.routing.messages import (
    Attempt,
    ClientRequest,
    Discovery,
    EndpointList,
    Rejected,
    ResponseCallback,
    Upstream,
)
from alderspool.routing.pending_requests import PendingRequest, PendingRequestTable


class Exchange:
    """Routes requests from clients to endpoints as its balancer decides.

    Every submitted request gets exactly one final response, unless its client disconnects first. Not
    thread-safe: it must be created and called on one event loop. `counts` holds the request counters that are
    logged when the program exits.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        create_balancer: Callable[[Settings, int], BalancerProtocol] = Balancer,
    ) -> None:
        """Create the exchange and its balancer.

        `start` must be called before the first request is submitted. `seed` initializes the balancer's random
        number generator.
        """
        self.counts = RequestCounts()
        self._settings = settings
        self._clock = clock
        self._log = DecisionLog()
        self._endpoints = EndpointTable()
        self._pending_requests = PendingRequestTable(
            clock, settings.response_slack_ms, self._deadline_passed, self._response_overdue
        )
        self._balancer_loop = BalancerLoop(
            create_balancer(settings, seed), clock, self._log, self._pending_requests.is_concluded
        )
        self._responder = FinalResponder(self._pending_requests, self._balancer_loop, self.counts, self._log)
        self._upstream: Upstream
        self._attempts: AttemptController
        self._is_closed = False
        self._consecutive_discovery_failures = 0

    def start(self, upstream: Upstream, discovery: Discovery, known: EndpointList) -> None:
        """Start the balancer.

        `known` is the last known endpoint list, possibly outdated. It is used until discovery sends a list.
        """
        self._upstream = upstream
        self._attempts = AttemptController(
            self._clock,
            self._pending_requests,
            self._endpoints,
            self._balancer_loop,
            self._responder,
            self.counts,
            upstream,
            self._settings,
        )
        request_handlers = RequestActionHandlers(
            self._clock, self._pending_requests, self._attempts, self._responder
        )
        fleet_handlers = FleetActionHandlers(
            self._balancer_loop,
            self._endpoints,
            upstream,
            discovery,
            self._log,
            self._settings.health_checks_allowed,
        )
        self._balancer_loop.start({**request_handlers.handlers, **fleet_handlers.handlers})
        if not self._settings.list_on_request:
            # In push mode the balancer does not poll discovery. Over sockets, discovery can only push updates
            # in response to an open watch.
            discovery.watch(True)
        self._apply_endpoint_list(known, UpdateMode.CACHED)

    # ---- called by the client side ---------------------------------------------------------------

    @property
    def can_serve(self) -> bool:
        """Whether at least one endpoint is ready."""
        return self._endpoints.has_ready_endpoint

    @property
    def pending_count(self) -> int:
        """The number of requests that still await their final response."""
        return len(self._pending_requests.awaiting_response)

    def is_pending(self, client_request_id: bytes) -> bool:
        """Return whether a request with this client-assigned id is pending or has running attempts.

        A second request with the same id could not be distinguished from the first: endpoints would treat it
        as a duplicate, and a response to one could be taken for a response to the other.
        """
        return self._pending_requests.has_client_request_id(client_request_id)

    def may_have_executed(self, request: ClientRequest) -> bool:
        """Return whether a request may have run already, under the same id, and must not run twice.

        A client that left before its response arrived may send its request again.
        """
        is_idempotent = self._settings.classes[request.cls].idempotency == Idempotency.IDEMPOTENT
        return not is_idempotent and self._pending_requests.may_have_run_abandoned(request.client_request_id)

    def submit(self, request: ClientRequest, respond: ResponseCallback) -> int:
        """Submit a request and return its id, or 0 if it was rejected without consulting the balancer.

        `respond` is called exactly once with the final response, possibly before this method returns. It is
        not called if the client disconnects first.
        """
        self.counts.accepted += 1
        time_left_ms = request.time_left_ms - request.waited_ms
        is_table_full = len(self._pending_requests) >= self._settings.max_pending_requests
        if self._is_closed or time_left_ms <= 0.0 or is_table_full:
            self.counts.rejected += 1
            respond(Rejected())
            return 0
        pending = self._pending_requests.add(request, respond, time_left_ms)
        self._balancer_loop.feed(
            Request(
                pending.id,
                time_left_ms,
                request.cls,
                request.tenant,
                request.key,
                request.cost_hint_ms,
                request.is_retry,
            )
        )
        return pending.id

    def fail_pending(self) -> None:
        """Fail all requests that await a response, and reject all that are submitted from now on.

        Called last before the program exits: a request without a response by then would never get one.
        """
        self._is_closed = True
        for pending in self._pending_requests.awaiting_response:
            self._responder.fail_without_balancer(pending)

    def client_disconnected(self, request_id: int) -> None:
        """Conclude a request whose client has disconnected. It no longer needs a response."""
        pending = self._pending_requests.get(request_id)
        if pending is not None:
            self._responder.disconnect(pending)

    # ---- called by the endpoint side -------------------------------------------------------------

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be written. Call it just before writing. See `AttemptController`."""
        return self._attempts.may_write(attempt)

    def time_left_ms(self, attempt: Attempt) -> float:
        """Return the remaining time to send to the endpoint with an attempt. See `AttemptController`."""
        return self._attempts.time_left_ms(attempt)

    def attempt_ended(self, attempt: Attempt, status: AttemptStatus, payload: object = None) -> None:
        """Handle the end of an attempt.

        The `payload` of the first attempt of a request that ends with OK becomes its final response.
        """
        self._attempts.finish(attempt, status, payload)

    def health_check_ended(self, endpoint: EndpointId, status: AttemptStatus, latency_ms: float) -> None:
        """Handle the result of a health check that was started by `Upstream.probe`."""
        self._balancer_loop.feed(HealthChecked(endpoint, status, latency_ms))

    # ---- called by discovery ---------------------------------------------------------------------

    def endpoint_list_received(self, endpoint_list: EndpointList) -> None:
        """Handle a complete endpoint list, or the changes to it."""
        if self._consecutive_discovery_failures:
            self._log.info(
                "discovery responds again after {} failed calls", self._consecutive_discovery_failures
            )
            self._consecutive_discovery_failures = 0
        self._apply_endpoint_list(
            endpoint_list, UpdateMode.FULL if endpoint_list.is_complete else UpdateMode.DELTA
        )

    def discovery_call_failed(self, reason: str) -> None:
        """Handle a failed call to discovery. The endpoint list stays unchanged."""
        self._consecutive_discovery_failures += 1
        if self._consecutive_discovery_failures == 1:  # logging every retry would fill the log
            self._log.warning("discovery call failed: {}", reason)
        self._balancer_loop.feed(EndpointListUpdate(UpdateMode.FAILED, []))

    def _apply_endpoint_list(self, update: EndpointList, mode: UpdateMode) -> None:
        for endpoint_id in self._endpoints.apply(update, mode):
            self._upstream.close_idle(endpoint_id)
        superseded = self._endpoints.superseded
        entries = [endpoint.entry for endpoint in update.endpoints if endpoint.entry.id not in superseded]
        entries += [
            replace(endpoint.entry, availability=Availability.GONE) for endpoint in superseded.values()
        ]
        self._balancer_loop.feed(EndpointListUpdate(mode, entries, update.revision))

    # ---- called by PendingRequestTable -----------------------------------------------------------

    def _deadline_passed(self, pending: PendingRequest) -> None:
        """Time out the running attempts, so that an unresponsive endpoint cannot delay the response."""
        self._attempts.expire_attempts(pending)

    def _response_overdue(self, pending: PendingRequest) -> None:
        """Fail a request that the balancer has not concluded, so that the client still gets a response."""
        self._log.error("request {} is overdue: the balancer has not concluded it", pending.id)
        self._responder.fail_without_balancer(pending)
