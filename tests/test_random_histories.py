"""Random histories: every accepted request is concluded exactly once, in any order of events.

It is concluded by its final response, or when its client disconnects.

A history mixes requests, client disconnects, responses, endpoint lists and the graceful shutdown. The
listener, the exchange and the balancer are the real ones, and clients are real connections. The endpoints are
replaced by a list of running attempts, which the history ends at random.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest
from rig import SETTINGS, TEST_TIMEOUT_S, read_message, request

from alderspool.balancer.events import AttemptStatus, Availability, EndpointEntry
from alderspool.balancer.settings_reader import read_settings
from alderspool.program.config import flatten
from alderspool.protocol.downstream import RequestReader
from alderspool.protocol.upstream import UpstreamResponse
from alderspool.routing.clock import Clock
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import Attempt, Endpoint, EndpointList
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.listener import Listener

STEPS_PER_HISTORY = 60
FIRST_SHUTDOWN_STEP = 10
HISTORIES_PER_TEST = 100
MIN_RESPONSES_PER_TEST = 500
ENDPOINT_COUNT = 3
MAX_OUTSTANDING_PER_CLIENT = 2
SETTLE_ITERATIONS = 6  # of the event loop
MEMORY_MB = 192.0
DRAIN_POLL_INTERVAL_S = 0.001
OUTCOMES = (
    AttemptStatus.OK,
    AttemptStatus.OK,
    AttemptStatus.OK,
    AttemptStatus.ERROR,
    AttemptStatus.REJECTED,
    AttemptStatus.RESET,
    AttemptStatus.CONNECT_FAILED,
)


class ScriptedUpstream:
    """Stands in for the endpoints and discovery: attempts run until the history ends them."""

    def __init__(self) -> None:
        self.running: list[Attempt] = []

    def dispatch(self, attempt: Attempt) -> None:
        attempt.written = True
        self.running.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.running.remove(attempt)

    def close_idle(self, endpoint: bytes) -> None:
        pass

    def watch(self, on: bool) -> None:
        pass


class ClientModel:
    """One connection of a client, the ids of the requests sent completely on it, and their responses."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.sent_ids: list[str] = []
        self.unsent_bytes = b""  # of a request that was sent in part
        self.unsent_id = ""
        self.responses: list[tuple[int, str]] = []  # status and body
        self.has_disconnected = False
        self.is_closed = False  # by the proxy

    @property
    def may_send(self) -> bool:
        """Whether its connection is open, and at most one request on it awaits a response."""
        outstanding = len(self.sent_ids) - len(self.responses)
        return not self.has_disconnected and not self.is_closed and outstanding < MAX_OUTSTANDING_PER_CLIENT

    async def read_responses(self) -> None:
        """Read until the connection ends, then close it as clients do."""
        try:
            while True:
                status_line, headers, body = await read_message(self.reader)
                self.responses.append((int(status_line.split()[1]), body.decode()))
                if headers.get("connection") == "close":
                    self.is_closed = True
        except (asyncio.IncompleteReadError, OSError):
            self.is_closed = True
            self.writer.close()


class History:
    """One random sequence of events around a listener and an exchange."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.is_hedging_allowed = self.random.random() < 0.5
        bounds = {
            "cancel": True,
            "may_duplicate": self.is_hedging_allowed,
            "max_attempts": self.random.randint(1, 5),
        }
        settings = read_settings(flatten(SETTINGS | {"bounds": bounds}))
        self.upstream = ScriptedUpstream()
        self.exchange = Exchange(settings, seed, Clock())
        self.listener = Listener(self.exchange, RequestReader(settings), DescriptorBudget(1024), MEMORY_MB)
        self.exchange.start(
            self.upstream, self.upstream, endpoint_list([Availability.READY] * ENDPOINT_COUNT)
        )
        self.clients: list[ClientModel] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.is_accepting = True
        self.port = 0

    async def run(self) -> None:
        """Run all random steps with a graceful shutdown in between; wait until all connections are closed."""
        self.listener.bind("127.0.0.1", 0)
        self.listener.start_accepting()
        self.port = self.listener._socket.getsockname()[1]
        shutdown_calls = self.draw_shutdown_calls()
        for step in range(STEPS_PER_HISTORY):
            if step in shutdown_calls:
                shutdown_calls[step]()
            await self.run_random_step()
            if self.random.random() < 0.7:
                await self.settle()
        while self.listener.open_count:
            self.listener.reject_incomplete()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await asyncio.gather(*self.tasks)

    def draw_shutdown_calls(self) -> dict[int, Callable[[], None]]:
        """Return the three calls of a graceful shutdown, by the number of the step that each precedes."""
        steps = sorted(self.random.sample(range(FIRST_SHUTDOWN_STEP, STEPS_PER_HISTORY), 3))
        calls = (self.listener.start_draining, self.stop_accepting, self.exchange.fail_pending)
        return dict(zip(steps, calls, strict=True))

    async def run_random_step(self) -> None:
        perform_step = self.random.choice(
            (
                self.connect,
                self.send_request,
                self.send_request,
                self.send_part_of_request,
                self.end_attempt,
                self.disconnect_client,
            )
        )
        if self.random.random() < 0.9:
            await perform_step()
        else:
            self.update_endpoint_list()

    async def settle(self) -> None:
        """Let the event loop process the input and output that is pending."""
        for _ in range(SETTLE_ITERATIONS):
            await asyncio.sleep(0)

    # ---- random steps ----------------------------------------------------------------------------

    def stop_accepting(self) -> None:
        self.is_accepting = False
        self.listener.stop_accepting()

    async def connect(self) -> None:
        if self.is_accepting:
            client = ClientModel(*await asyncio.open_connection("127.0.0.1", self.port))
            self.clients.append(client)
            self.tasks.append(asyncio.create_task(client.read_responses()))

    async def send_request(self) -> None:
        """Send a complete request, or the rest of one that was sent in part."""
        client = await self.choose_client()
        if client is None:
            return
        if not client.unsent_bytes:
            self.compose_request(client)
        client.writer.write(client.unsent_bytes)
        client.sent_ids.append(client.unsent_id)
        client.unsent_bytes = b""

    async def send_part_of_request(self) -> None:
        client = await self.choose_client()
        if client is None or client.unsent_bytes:
            return
        self.compose_request(client)
        length = self.random.randint(1, len(client.unsent_bytes) - 1)
        client.writer.write(client.unsent_bytes[:length])
        client.unsent_bytes = client.unsent_bytes[length:]

    async def disconnect_client(self) -> None:
        if self.clients and self.random.random() < 0.3:
            client = self.random.choice(self.clients)
            client.has_disconnected = True
            client.writer.close()

    async def end_attempt(self) -> None:
        """End a running attempt; a response has the id of its request as its body."""
        if not self.upstream.running:
            return
        attempt = self.upstream.running.pop(self.random.randrange(len(self.upstream.running)))
        status = self.random.choice(OUTCOMES)
        request_id = dict(attempt.payload.headers)[b"x-request-id"]
        response = UpstreamResponse(request_id) if status == AttemptStatus.OK else None
        self.exchange.attempt_ended(attempt, status, response)

    def update_endpoint_list(self) -> None:
        choices = (Availability.READY, Availability.DRAINING)
        self.exchange.endpoint_list_received(
            endpoint_list([self.random.choice(choices) for _ in range(ENDPOINT_COUNT)])
        )

    async def choose_client(self) -> ClientModel | None:
        # Clients notice connections that the proxy has closed, and send nothing more on them.
        await self.settle()
        clients = [client for client in self.clients if client.may_send]
        return self.random.choice(clients) if clients else None

    def compose_request(self, client: ClientModel) -> None:
        client.unsent_id = f"r{self.random.getrandbits(40)}"
        time_left_ms = self.random.choice((20, 20000, 20000))
        request_class = self.random.choice(("look", "pay", "put"))
        client.unsent_bytes = request(request_class, time_left_ms, X_Request_Id=client.unsent_id)


def endpoint_list(availabilities: list[Availability]) -> EndpointList:
    endpoints = [
        Endpoint(EndpointEntry(b"s%d" % number, availability=availability), "127.0.0.1", 9)
        for number, availability in enumerate(availabilities)
    ]
    return EndpointList(1, True, endpoints)


async def run_history(seed: int) -> History:
    history = History(seed)
    await asyncio.wait_for(history.run(), TEST_TIMEOUT_S)
    return history


def check_client(client: ClientModel, seed: int) -> int:
    """Assert that each request has its own response, in order; return how many responses there are."""
    responses = client.responses
    # The last response may be a 408 to a request that was sent only in part.
    if client.unsent_bytes and responses and responses[-1][0] == 408:
        responses = responses[:-1]
    assert len(responses) == len(client.sent_ids), seed
    for (status, body), request_id in zip(responses, client.sent_ids, strict=True):
        assert status in (200, 502, 503, 504), seed
        assert status != 200 or body == request_id, seed
    return len(responses)


def check_exchange(history: History, seed: int) -> None:
    """Assert that each request was concluded once, and that none is left in the exchange."""
    counts = history.exchange.counts
    conclusions = counts.served + counts.rejected + counts.failed + counts.disconnected
    assert counts.accepted == conclusions, seed
    assert history.exchange.pending_count == 0, seed
    # If hedging is allowed, the balancer cancels the attempts that it no longer needs.
    assert not history.is_hedging_allowed or not history.upstream.running, seed


@pytest.mark.parametrize("first_seed", range(0, 4 * HISTORIES_PER_TEST, HISTORIES_PER_TEST))
def test_every_request_is_concluded_exactly_once_in_any_order_of_events(first_seed: int) -> None:
    response_count = 0
    for seed in range(first_seed, first_seed + HISTORIES_PER_TEST):
        history = asyncio.run(run_history(seed))
        for client in history.clients:
            if not client.has_disconnected:
                response_count += check_client(client, seed)
        check_exchange(history, seed)
    assert response_count > MIN_RESPONSES_PER_TEST  # histories without responses would prove nothing
