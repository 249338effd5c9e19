"""The pool of connections to endpoints, on real sockets: reuse, unsolicited and duplicate responses."""

from __future__ import annotations

import asyncio
import socket

import pytest
from rig import OK, SETTINGS, TEST_TIMEOUT_S, real

from alderspool.balancer.events import AttemptStatus
from alderspool.balancer.settings_reader import read_settings
from alderspool.program.config import flatten
from alderspool.protocol.duplicate_responses import MIN_DISTINCT_RESPONSES
from alderspool.protocol.upstream import ForwardedRequest, UpstreamResponse
from alderspool.routing.messages import Attempt
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.streams import connect, is_quiet
from alderspool.transport.upstream_connection import UpstreamConnection
from alderspool.transport.upstream_pool import MIN_RESPONSE_TIME_S, UpstreamPool

Outcome = tuple[int, AttemptStatus, bytes | None]


class RecordingExchange:
    """Stands in for the exchange: allows every attempt, and records how each ended."""

    def __init__(self) -> None:
        self.outcomes: asyncio.Queue[Outcome] = asyncio.Queue()

    def may_write(self, attempt: Attempt) -> bool:
        return True

    def time_left_ms(self, attempt: Attempt) -> float:
        return 1000.0

    def attempt_ended(
        self, attempt: Attempt, status: AttemptStatus, response: UpstreamResponse | None = None
    ) -> None:
        body = response.body if response is not None else None
        self.outcomes.put_nowait((attempt.number, status, body))


class PoolWithOneEndpoint:
    """A pool whose clock only the test moves, and an endpoint that sends what the test says."""

    def __init__(self, budget: DescriptorBudget | None = None) -> None:
        self.exchange = RecordingExchange()
        self.now_s = 5.0
        self.dispatched = 0
        settings = read_settings(flatten(SETTINGS | {"bounds": {"dial_timeout_ms": 5000.0}}))
        self.pool = UpstreamPool(self.exchange, settings, budget or DescriptorBudget(64))
        self.pool._now = lambda: self.now_s
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(TEST_TIMEOUT_S)

    def dispatch(self, endpoint: bytes = b"s1") -> int:
        """Dispatch one attempt; its number."""
        self.dispatched += 1
        number = self.dispatched
        host, port = self.server.getsockname()
        request = ForwardedRequest(b"GET", b"/look", [], b"")
        self.pool.dispatch(Attempt(number, number, endpoint, host, port, request, 0.0, 1e9))
        return number

    async def accept(self) -> socket.socket:
        connection, _ = await asyncio.get_running_loop().run_in_executor(None, self.server.accept)
        return connection

    async def next_outcome(self) -> Outcome:
        return await self.exchange.outcomes.get()


def response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@real
async def test_detects_input_after_the_last_response_before_reuse() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        reader, writer = await connect(*server.getsockname())
        endpoint, _ = server.accept()
        assert is_quiet(reader, writer)
        endpoint.send(OK)
        assert not is_quiet(reader, writer)  # in the kernel's buffer; the event loop has not read it yet
        while not reader.unread:
            await asyncio.sleep(0.005)
        assert not is_quiet(reader, writer)  # in the stream reader's buffer
        assert await reader.read(1000) == OK
        assert is_quiet(reader, writer)
        endpoint.close()
        assert not is_quiet(reader, writer)
        writer.close()


@real
@pytest.mark.parametrize(
    ("paused_s", "status"),
    [(0.0, AttemptStatus.RESET), (0.001, AttemptStatus.OK)],
    ids=["sooner-than-any-response", "after-a-pause-of-this-process"],
)
async def test_response_present_right_after_the_write_is_unsolicited_unless_time_passed(
    paused_s: float, status: AttemptStatus
) -> None:
    """What has arrived as soon as an attempt is written belongs to an earlier one, unless time passed."""
    assert (paused_s >= MIN_RESPONSE_TIME_S) == (status == AttemptStatus.OK)
    endpoint = PoolWithOneEndpoint()
    endpoint.dispatch()
    connection = await endpoint.accept()
    connection.sendall(response(b"1"))
    assert await endpoint.next_outcome() == (1, AttemptStatus.OK, b"1")
    write = endpoint.pool._write

    def write_and_receive_a_response(upstream: UpstreamConnection, attempt: Attempt) -> None:
        write(upstream, attempt)
        connection.sendall(response(b"2"))  # on the loopback interface it has arrived when this returns
        endpoint.now_s += paused_s

    endpoint.now_s += 1.0  # long enough for the connection to be reused
    endpoint.pool._write = write_and_receive_a_response
    endpoint.dispatch()
    assert (await endpoint.next_outcome())[:2] == (2, status)


@real
async def test_duplicate_response_is_not_taken_for_the_response_of_the_next_attempt() -> None:
    """The next attempt follows at once, and the duplicate some milliseconds later.

    Until it is known that responses differ, the connection is not reused and the attempt is written to
    another one; from then on the duplicate is recognised.
    """
    endpoint = PoolWithOneEndpoint()
    endpoint.dispatch()
    first = await endpoint.accept()
    first.sendall(response(b"1"))
    assert await endpoint.next_outcome() == (1, AttemptStatus.OK, b"1")
    endpoint.dispatch()
    second = await endpoint.accept()
    first.sendall(response(b"1"))  # the duplicate, while no attempt is on its connection
    second.sendall(response(b"2"))
    assert await endpoint.next_outcome() == (2, AttemptStatus.OK, b"2")
    while endpoint.dispatched < 2 + MIN_DISTINCT_RESPONSES:
        endpoint.now_s += 1.0
        body = b"%d" % endpoint.dispatch()
        second.sendall(response(body))
        assert await endpoint.next_outcome() == (endpoint.dispatched, AttemptStatus.OK, body)
    endpoint.now_s += 0.001
    endpoint.dispatch()
    second.sendall(response(body))  # a duplicate of the previous response
    assert await endpoint.next_outcome() == (endpoint.dispatched, AttemptStatus.RESET, None)
    endpoint.dispatch()
    (await endpoint.accept()).sendall(response(b"own"))
    assert await endpoint.next_outcome() == (endpoint.dispatched, AttemptStatus.OK, b"own")


@real
async def test_cancelled_attempt_closes_its_connection_and_is_not_reported() -> None:
    endpoint = PoolWithOneEndpoint()
    host, port = endpoint.server.getsockname()
    request = ForwardedRequest(b"GET", b"/look", [], b"")
    attempt = Attempt(1, 1, b"s1", host, port, request, 0.0, 1e9)
    endpoint.pool.dispatch(attempt)
    connection = await endpoint.accept()
    while not attempt.written:
        await asyncio.sleep(0.005)
    endpoint.pool.cancel(attempt)
    assert attempt.transport_handle is None
    connection.settimeout(TEST_TIMEOUT_S)
    loop = asyncio.get_running_loop()
    assert b"GET /look" in await loop.run_in_executor(None, connection.recv, 4096)
    assert await loop.run_in_executor(None, connection.recv, 4096) == b""
    assert endpoint.exchange.outcomes.empty()


@real
async def test_evicts_the_longest_idle_connection_when_descriptors_run_out() -> None:
    """The smallest budget is 8 descriptors: the ninth connection takes the place of the oldest."""
    endpoint = PoolWithOneEndpoint(DescriptorBudget(8))
    connections = []
    for number in range(1, 9):
        endpoint.dispatch(b"s%d" % number)
        connections.append(await endpoint.accept())
        connections[-1].sendall(response(b"x"))
        assert (await endpoint.next_outcome())[1] == AttemptStatus.OK
        endpoint.now_s += 0.1
    endpoint.dispatch(b"s9")
    (await endpoint.accept()).sendall(response(b"x"))
    assert (await endpoint.next_outcome())[1] == AttemptStatus.OK
    for connection in connections:
        connection.setblocking(False)
        assert connection.recv(4096).startswith(b"GET /look")
    assert connections[0].recv(4096) == b""
    for connection in connections[1:]:
        with pytest.raises(BlockingIOError):
            connection.recv(4096)
