"""Further tests of races between two events, over sockets and in a forced order, for rows of docs/races.md.

One row has no test: the end of a connection behind more bytes than our system buffers. A client sends 75,000
bytes and closes the connection. Our socket receives 16 KiB and closes its receive window, so the FIN stays in
the client's kernel, behind bytes that it may not send yet. No packet has notified our system of the close:
read, poll and TCP_INFO show the same as for a client that is still connected. A test could only assert that
there is no difference.
"""

from __future__ import annotations

import asyncio
import re
import signal
import socket
from pathlib import Path

import pytest
from rig import SETTINGS, TEST_TIMEOUT_S, Rig, ScriptedServer, async_test, read_message, request
from test_accept_queue import InProcessListener

from alderspool.balancer.events import AttemptStatus
from alderspool.balancer.settings import RequestClass, Settings
from alderspool.protocol.upstream import ForwardedRequest
from alderspool.routing.messages import Attempt
from alderspool.transport import connection_table, lingering_close
from alderspool.transport import upstream_pool as pool_module
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.upstream_pool import UpstreamPool

CHUNK_BYTES = 4096
SMALL_BUFFER_BYTES = 4096
PIPELINED_REQUESTS = 150
TCP_ESTABLISHED, TCP_SYN_SENT = "01", "02"  # connection states in /proc/net/tcp
SEND_BUFFER_LIMIT_BYTES = 1 << 20
# The most bytes that the client may have sent before the proxy reads them: the buffers of both sockets and
# of both streams.
MAX_IN_FLIGHT_BYTES = 160 * 1024
LAST_REQUEST = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


async def connect_with_small_buffers(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", port))
    return await asyncio.open_connection(sock=client, limit=1024)


@async_test
async def test_lingering_close_ends_after_256_kib(monkeypatch: pytest.MonkeyPatch) -> None:
    """The client continues to send after its last response; the timeouts are too long to end this first."""
    monkeypatch.setattr(lingering_close, "LINGER_TIMEOUT_S", 3600.0)
    monkeypatch.setattr(lingering_close, "UNREAD_RESPONSE_TIMEOUT_S", 3600.0)
    monkeypatch.setattr(connection_table, "IDLE_TIMEOUT_S", 3600.0)
    proxy = InProcessListener(100)
    reader, writer = await connect_with_small_buffers(proxy.port)
    writer.write(LAST_REQUEST)
    await read_message(reader)
    assert await reader.read() == b""
    sent_bytes = 0
    with pytest.raises(ConnectionError):
        while sent_bytes < 4 * lingering_close.LINGER_LIMIT_BYTES:
            writer.write(b"x" * CHUNK_BYTES)
            sent_bytes += CHUNK_BYTES
            await writer.drain()
    assert (
        lingering_close.LINGER_LIMIT_BYTES
        < sent_bytes
        < lingering_close.LINGER_LIMIT_BYTES + MAX_IN_FLIGHT_BYTES
    )
    await proxy.close()


def parse_statuses(stream: bytes) -> list[bytes]:
    """Return the statuses of the responses in a stream, and assert that each response is complete."""
    statuses = []
    while stream:
        head, _, stream = stream.partition(b"\r\n\r\n")
        (length,) = re.findall(rb"Content-Length: (\d+)", head)
        assert len(stream) >= int(length)
        stream = stream[int(length) :]
        statuses.append(head.split()[1])
    return statuses


@async_test
async def test_responses_that_are_still_being_sent_delay_the_exit() -> None:
    """One client leaves more responses unread than the kernel buffers, and begins to read during shutdown.

    It begins once another client's request to a silent endpoint has timed out and nothing is pending. Each
    response that the proxy has begun to send must arrive complete, and the connection must not be reset.
    """
    body = b"x" * 65000
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def reply(endpoint: ScriptedServer) -> bytes | None:
        return response if endpoint.received_requests[-1][0].startswith(b"POST") else None

    classes = [SETTINGS["classes"][0], SETTINGS["classes"][1] | {"deadline_ms": 300.0}]
    async with Rig(ScriptedServer("s1", reply), settings={"classes": classes}) as rig:
        slow_reader, slow_writer = await connect_with_small_buffers(rig.port)
        slow_writer.write(request("pay", 60000) * PIPELINED_REQUESTS)
        while len(rig.endpoints[0].received_requests) < 2:
            await asyncio.sleep(0.005)
        timed_out_reader, timed_out_writer = await rig.connect(request("look", 60000))
        while not any(received[0].startswith(b"GET") for received in rig.endpoints[0].received_requests):
            await asyncio.sleep(0.005)
        rig.proxy.send_signal(signal.SIGTERM)
        assert b" 504 " in (await read_message(timed_out_reader))[0]
        timed_out_writer.close()
        statuses = parse_statuses(await slow_reader.read())
        assert statuses.count(b"200") * len(body) > SEND_BUFFER_LIMIT_BYTES
        slow_writer.close()
        assert await rig.proxy.wait() == 0


class StubExchange:
    """Stub of the exchange for UpstreamPool: allows every attempt to be written, and records how it ended."""

    def __init__(self) -> None:
        self.statuses: list[AttemptStatus] = []

    def may_write(self, attempt: Attempt) -> bool:
        return True

    def time_left_ms(self, attempt: Attempt) -> float:
        return 1000.0

    def attempt_ended(self, attempt: Attempt, status: AttemptStatus, payload: object = None) -> None:
        self.statuses.append(status)


def count_connections_to(*ports: int) -> int:
    """Count the client sockets connecting or connected to these ports, as /proc/net/tcp lists them."""
    states = []
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, _, remote_address, state, *_ = line.split()
        if int(remote_address.rpartition(":")[2], 16) in ports:
            states.append(state)
    return sum(state in (TCP_ESTABLISHED, TCP_SYN_SENT) for state in states)


@async_test
@pytest.mark.skipif(not Path("/proc/net/tcp").exists(), reason="counts sockets in /proc/net/tcp")
async def test_new_connections_that_evict_idle_ones_stay_within_the_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Idle connections to one endpoint use up the budget; then attempts arrive for another endpoint.

    All these attempts arrive in one iteration of the event loop. Each connect counts the open sockets before
    it opens its own.
    """
    limit = 8
    old, new = ScriptedServer("s1"), ScriptedServer("s2")
    await old.start()
    await new.start()
    exchange = StubExchange()
    settings = Settings(
        classes=[RequestClass("look", latency_objective_ms=400.0, deadline_ms=1000.0)],
        connect_timeout_ms=TEST_TIMEOUT_S * 1000.0,  # long, so that a busy machine does not fail the test
    )
    pool = UpstreamPool(exchange, settings, DescriptorBudget(limit))
    open_before_connect: list[int] = []
    connect = pool_module.connect

    async def counting_connect(host: str, port: int) -> tuple:
        open_before_connect.append(count_connections_to(old.port, new.port))
        return await connect(host, port)

    monkeypatch.setattr(pool_module, "connect", counting_connect)
    for endpoint in (old, new):
        for number in range(limit):
            payload = ForwardedRequest(b"GET", b"/look/1", [(b"host", b"x")], b"")
            attempt = Attempt(
                number, 0, endpoint.name.encode(), "127.0.0.1", endpoint.port, payload, 0.0, 0.0
            )
            pool.dispatch(attempt)
        expected_count = len(exchange.statuses) + limit
        while len(exchange.statuses) < expected_count:
            await asyncio.sleep(0.001)
    assert exchange.statuses == [AttemptStatus.OK] * (2 * limit)
    assert (old.accepted_connections, new.accepted_connections, len(open_before_connect)) == (
        limit,
        limit,
        2 * limit,
    )
    assert max(open_before_connect) < limit
    pool.close_idle(b"s2")
    old.server.close()
    new.server.close()
