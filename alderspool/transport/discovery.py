"""Discovery client: keeps the endpoint list up to date with a long-poll watch that is reopened when it ends.

`discovery_watch` contains the states and transitions of the watch, `discovery_timeouts` and
`discovery_backoff` the timeouts and retry delays, `discovery_connection` the HTTP connection, and
`discovery_agent_poll` the polling of an unresponsive local agent.
"""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random
from typing import Protocol

from alderspool.balancer.settings import Settings
from alderspool.protocol.endpoint_list import ListRequest, read_list
from alderspool.protocol.http_client import HttpResponse
from alderspool.routing.messages import EndpointList
from alderspool.transport.discovery_agent_poll import AGENT_POLL_INTERVAL_S, AgentPoller
from alderspool.transport.discovery_backoff import JitteredBackoff
from alderspool.transport.discovery_connection import Address, DiscoveryConnection
from alderspool.transport.discovery_timeouts import DiscoveryTimeouts
from alderspool.transport.discovery_watch import (
    TRANSITIONS,
    NextCall,
    RevisionWentBackError,
    Transition,
    WatchEvent,
    WatchState,
    classify_failure,
)

MIN_WAIT_MS = 1  # the shortest wait that a call can request: discovery responds immediately
# Delay before the next call when a watch returns early without an update, so that a discovery service that
# never waits is not called in a busy loop. Must be below 0.2 s: discovery keeps a watch open only if the next
# call arrives within that time.
EARLY_RESPONSE_DELAY_S = 0.1
MAX_REASON_LENGTH = 200  # of an error text in the log, in characters


class EndpointListObserver(Protocol):
    """Receives the endpoint lists and failures of a discovery client; implemented by the exchange."""

    def endpoint_list_received(self, endpoint_list: EndpointList, /) -> None:
        """Apply a complete list or an update."""

    def discovery_call_failed(self, reason: str, /) -> None:
        """Handle a failed call; the list known so far stays valid."""


class DiscoveryClient:
    """Watches the endpoint list from one event loop.

    Owns the connections to discovery and the watch task. While watching is enabled, the task never ends by
    itself: after any response and any error it makes the next call in time. Errors are reported to the
    observer as text and never raised.
    """

    def __init__(
        self,
        address: Address,
        observer: EndpointListObserver,
        settings: Settings,
        revision: int,
        seed: int = 0,
    ) -> None:
        """Start from the configured list, whose revision is `revision`; `seed` seeds the backoff jitter."""
        self._address = address
        self._observer = observer
        self._settings = settings
        self._timeouts = DiscoveryTimeouts.from_settings(settings)
        self._backoff = JitteredBackoff(
            self._timeouts.initial_backoff_s, self._timeouts.max_backoff_s, Random(seed)
        )
        self._uses_local_agent = not settings.list_on_request
        # The protocol treats the proxy as notified of the local agent's list from startup on, so the
        # configured list may be outdated and the agent's complete list is requested first. Without an agent,
        # discovery is polled for changes since the configured list.
        self._state = WatchState.FULL_LIST_NEEDED if self._uses_local_agent else WatchState.NOT_WATCHING
        self._revision = revision
        self._has_list = asyncio.Event()
        self._watch_task: asyncio.Task[None] | None = None
        # A former watch task, which ends with the call that it was making when the address changed.
        self._superseded_task: asyncio.Task[None] | None = None
        self._is_calling = False  # the watch task waits for the response to a call

    async def wait_for_list(self, timeout_s: float) -> bool:
        """Wait for the first list; return whether one was received within the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._has_list.wait()
        except TimeoutError:
            return False
        return True

    def watch(self, on: bool) -> None:
        """Start or stop the watch; no effect if it is already in the requested state."""
        if not on:
            self._stop()
        elif self._watch_task is None:
            self._watch_task = asyncio.get_running_loop().create_task(self._run_watch(self._address))

    def fetch(self) -> None:
        """Request the complete list now, then watch for changes since its revision.

        No effect while the complete list is already being requested.
        """
        if not self._is_requesting_full_list:
            self._transition(WatchEvent.FULL_LIST_REQUESTED)
            self._stop()
            self.watch(True)

    def switch_address(self, address: Address) -> None:
        """Switch to the discovery service at another address; no effect if it is the current one.

        Revisions of the new service may be unrelated to those of the old one, so its complete list is
        requested before any changes. A watch of the old service is given up.

        A request for the complete list is not: if addresses change faster than discovery responds, no list
        would ever arrive. Its response is accepted until a later call has had one. Of several such requests
        the oldest is kept, as it is the next to be answered.
        """
        if address == self._address:
            return
        self._address = address
        if self._is_requesting_full_list and self._superseded_task is None:
            self._superseded_task = self._watch_task
            self._watch_task = None
        self._transition(WatchEvent.FULL_LIST_REQUESTED)
        self._cancel_watch_task()
        self.watch(True)

    @property
    def _is_requesting_full_list(self) -> bool:
        return (
            self._watch_task is not None and self._is_calling and self._state is WatchState.FULL_LIST_NEEDED
        )

    def _stop(self) -> None:
        self._cancel_watch_task()
        self._cancel_superseded_task()

    def _cancel_watch_task(self) -> None:
        self._is_calling = False
        if self._watch_task is not None:
            # The task is suspended at an await and ends there; a response to an outstanding call is dropped.
            self._watch_task.cancel()
            self._watch_task = None

    def _cancel_superseded_task(self) -> None:
        if self._superseded_task is not None:
            self._superseded_task.cancel()
            self._superseded_task = None

    def _is_superseded(self) -> bool:
        return asyncio.current_task() is self._superseded_task

    async def _run_watch(self, address: Address) -> None:
        connection = DiscoveryConnection(address, self._timeouts.connect_s)
        failures = 0
        try:
            while not self._is_superseded():
                try:
                    await self._update_list(connection)
                    failures = 0
                    continue
                except Exception as error:  # any error: a watch task that ended here would go unnoticed
                    connection.close()
                    if self._is_superseded():
                        return
                    self._is_calling = False
                    transition = self._transition(classify_failure(error))
                    if transition.is_failure:
                        failures += 1
                        self._observer.discovery_call_failed(_failure_reason(error))
                if transition.next_call is NextCall.AFTER_BACKOFF:
                    await asyncio.sleep(self._retry_delay_s(failures))
        finally:
            connection.close()
            if self._is_superseded():
                self._superseded_task = None

    def _transition(self, event: WatchEvent) -> Transition:
        transition = TRANSITIONS[self._state, event]
        self._state = transition.next_state
        return transition

    def _retry_delay_s(self, failures: int) -> float:
        if self._uses_local_agent:
            return AGENT_POLL_INTERVAL_S
        return self._backoff.delay_s(failures)

    async def _update_list(self, connection: DiscoveryConnection) -> None:
        """Make the call that is due in the current state, and pass the received list to the observer."""
        state = self._state
        known_revision = self._revision
        clock = asyncio.get_running_loop().time
        called_at_s = clock()
        self._is_calling = True
        response = await self._call(connection)
        endpoint_list = read_list(response, self._settings)
        if self._is_superseded():
            self._observer.endpoint_list_received(endpoint_list)
            self._has_list.set()
            return
        self._is_calling = False
        revision = endpoint_list.revision
        if state is not WatchState.FULL_LIST_NEEDED and revision < known_revision:
            # A different discovery service responded, or the same one after a loss of its data: its revisions
            # cannot be compared with ours.
            raise RevisionWentBackError(f"revision {revision} after {known_revision}")
        self._cancel_superseded_task()
        self._observer.endpoint_list_received(endpoint_list)
        self._revision = revision
        self._transition(WatchEvent.LIST_RECEIVED)
        self._has_list.set()
        if state is WatchState.WATCHING and revision == known_revision:
            is_early = clock() - called_at_s < min(EARLY_RESPONSE_DELAY_S, self._timeouts.watch_wait_s)
            if is_early:
                await asyncio.sleep(EARLY_RESPONSE_DELAY_S)

    async def _call(self, connection: DiscoveryConnection) -> HttpResponse:
        timeouts = self._timeouts
        if self._state is WatchState.WATCHING:
            wait_ms = max(int(1000.0 * timeouts.watch_wait_s), MIN_WAIT_MS)
            async with asyncio.timeout(timeouts.watch_wait_s + timeouts.watch_grace_s):
                return await connection.call(ListRequest(self._revision, wait_ms))
        if self._state is WatchState.NOT_WATCHING and self._uses_local_agent:
            return await self._poll_until_response(ListRequest(self._revision, MIN_WAIT_MS))
        since_revision = self._revision if self._state is WatchState.NOT_WATCHING else None
        request = ListRequest(since_revision, MIN_WAIT_MS)
        async with asyncio.timeout(timeouts.call_s):
            if self._uses_local_agent:
                return await self._poll_until_response(request)
            return await connection.call(request)

    async def _poll_until_response(self, request: ListRequest) -> HttpResponse:
        poll = partial(self._poll_agent, self._address, request)
        return await AgentPoller(poll, self._report_unresponsive_agent).first_response()

    async def _poll_agent(self, address: Address, request: ListRequest) -> HttpResponse:
        connection = DiscoveryConnection(address, self._timeouts.connect_s)
        try:
            return await connection.call(request)
        finally:
            connection.close()

    def _report_unresponsive_agent(self) -> None:
        self._observer.discovery_call_failed("the local agent does not respond")


def _failure_reason(error: Exception) -> str:
    return str(error)[:MAX_REASON_LENGTH] or type(error).__name__
