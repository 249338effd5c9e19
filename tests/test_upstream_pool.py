"""The pool of connections to endpoints, on real sockets: reuse, unsolicited and duplicate responses."""

from __future__ import annotations

import asyncio
import socket

import pytest
from rig import OK, SETTINGS, TEST_TIMEOUT_S, async_test

from alderspool.balancer.events import AttemptStatus
from alderspool.balancer.settings_reader import read_settings
from alderspool.program.config import flatten
from alderspool.protocol.duplicate_responses import MIN_DISTINCT_RESPONSES
from alderspool.protocol.upstream import ForwardedRequest, UpstreamResponse
from alderspool.routing.messages import Attempt
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.streams import connect, is_open_without_input
from alderspool.transport.upstream_connection import UpstreamConnection
from alderspool.transport.upstream_pool import MIN_RESPONSE_TIME_S, UpstreamPool

Outcome = tuple[int, AttemptStatus, bytes | None]


class RecordingExchange:
    """A fake exchange that allows every attempt and records its outcome."""

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


class PoolHarness:
    """A pool with a manually advanced clock, and the listening socket of an endpoint run by the test."""

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
        """Dispatch one attempt and return its number."""
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


@async_test
async def test_detects_input_after_the_last_response_before_reuse() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        reader, writer = await connect(*server.getsockname())
        endpoint_socket, _ = server.accept()
        assert is_open_without_input(reader, writer)
        endpoint_socket.send(OK)
        # The input is in the kernel's buffer; the event loop has not read it yet.
        assert not is_open_without_input(reader, writer)
        while not reader.unread:
            await asyncio.sleep(0.005)
        assert not is_open_without_input(reader, writer)  # now in the stream reader's buffer
        assert await reader.read(1000) == OK
        assert is_open_without_input(reader, writer)
        endpoint_socket.close()
        assert not is_open_without_input(reader, writer)
        writer.close()


@async_test
@pytest.mark.parametrize(
    ("elapsed_s", "status"),
    [(0.0, AttemptStatus.RESET), (0.001, AttemptStatus.OK)],
    ids=["sooner-than-any-response", "after-a-pause-of-this-process"],
)
async def test_response_present_right_after_the_write_is_unsolicited_unless_time_passed(
    elapsed_s: float, status: AttemptStatus
) -> None:
    """Input that is present immediately after the write belongs to an earlier attempt: RESET is reported.

    If time passed during the write, it may be the attempt's own response and is accepted.
    """
    assert (elapsed_s >= MIN_RESPONSE_TIME_S) == (status == AttemptStatus.OK)
    harness = PoolHarness()
    harness.dispatch()
    connection = await harness.accept()
    connection.sendall(response(b"1"))
    assert await harness.next_outcome() == (1, AttemptStatus.OK, b"1")
    original_write = harness.pool._write

    def write_and_receive_a_response(upstream: UpstreamConnection, attempt: Attempt) -> None:
        original_write(upstream, attempt)
        connection.sendall(response(b"2"))  # on the loopback interface, it has arrived when sendall returns
        harness.now_s += elapsed_s

    harness.now_s += 1.0  # long enough for the connection to be reused
    harness.pool._write = write_and_receive_a_response
    harness.dispatch()
    assert (await harness.next_outcome())[:2] == (2, status)


@async_test
async def test_duplicate_response_is_not_taken_for_the_response_of_the_next_attempt() -> None:
    """An endpoint sends a response twice, and the duplicate arrives some milliseconds later.

    Until enough distinct responses have been seen, the connection is not reused immediately, and the next
    attempt is written to another one. After that, it is reused and the duplicate is recognised.
    """
    harness = PoolHarness()
    harness.dispatch()
    first = await harness.accept()
    first.sendall(response(b"1"))
    assert await harness.next_outcome() == (1, AttemptStatus.OK, b"1")
    harness.dispatch()
    second = await harness.accept()
    first.sendall(response(b"1"))  # the duplicate, while its connection carries no attempt
    second.sendall(response(b"2"))
    assert await harness.next_outcome() == (2, AttemptStatus.OK, b"2")
    while harness.dispatched < 2 + MIN_DISTINCT_RESPONSES:
        harness.now_s += 1.0
        body = b"%d" % harness.dispatch()
        second.sendall(response(body))
        assert await harness.next_outcome() == (harness.dispatched, AttemptStatus.OK, body)
    harness.now_s += 0.001
    harness.dispatch()
    second.sendall(response(body))  # a duplicate of the previous response
    assert await harness.next_outcome() == (harness.dispatched, AttemptStatus.RESET, None)
    harness.dispatch()
    (await harness.accept()).sendall(response(b"own"))
    assert await harness.next_outcome() == (harness.dispatched, AttemptStatus.OK, b"own")


@async_test
async def test_cancelled_attempt_closes_its_connection_and_is_not_reported() -> None:
    harness = PoolHarness()
    host, port = harness.server.getsockname()
    request = ForwardedRequest(b"GET", b"/look", [], b"")
    attempt = Attempt(1, 1, b"s1", host, port, request, 0.0, 1e9)
    harness.pool.dispatch(attempt)
    connection = await harness.accept()
    while not attempt.written:
        await asyncio.sleep(0.005)
    harness.pool.cancel(attempt)
    assert attempt.transport_handle is None
    connection.settimeout(TEST_TIMEOUT_S)
    loop = asyncio.get_running_loop()
    assert b"GET /look" in await loop.run_in_executor(None, connection.recv, 4096)
    assert await loop.run_in_executor(None, connection.recv, 4096) == b""
    assert harness.exchange.outcomes.empty()


@async_test
async def test_evicts_the_longest_idle_connection_when_descriptors_run_out() -> None:
    """The smallest budget is 8 descriptors, so opening a ninth connection closes the longest idle one."""
    harness = PoolHarness(DescriptorBudget(8))
    connections = []
    for number in range(1, 9):
        harness.dispatch(b"s%d" % number)
        connections.append(await harness.accept())
        connections[-1].sendall(response(b"x"))
        assert (await harness.next_outcome())[1] == AttemptStatus.OK
        harness.now_s += 0.1
    harness.dispatch(b"s9")
    (await harness.accept()).sendall(response(b"x"))
    assert (await harness.next_outcome())[1] == AttemptStatus.OK
    for connection in connections:
        connection.setblocking(False)
        assert connection.recv(4096).startswith(b"GET /look")
    assert connections[0].recv(4096) == b""
    for connection in connections[1:]:
        with pytest.raises(BlockingIOError):
            connection.recv(4096)
