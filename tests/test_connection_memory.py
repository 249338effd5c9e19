"""Memory that all client connections hold together, whatever each sends within its limits."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

import pytest
from rig import Rig, ScriptedServer, async_test, request

from alderspool.protocol.upstream import BODY_LIMIT_BYTES
from alderspool.transport.memory_budget import BYTES_PER_MB, MemoryBudget

CLIENT_COUNT = 500
LIMITS = {"memory_mb": 96, "sockets": 1024}
SHORT_FIELDS = b"ab:c\r\n" * 950  # a head may have 1,024 fields
PIECES = 8
STAY_S = 1.0
REJECTED_WITHIN_S = 0.5


def request_with_short_fields() -> bytes:
    """Return a valid request whose head has nearly as many fields as are allowed."""
    return request("look").replace(b"\r\n\r\n", b"\r\n" + SHORT_FIELDS + b"\r\n")


def four_requests_with_short_fields() -> bytes:
    """Return pipelined requests, each with many fields."""
    return b"".join(request_with_short_fields() for _ in range(4))


def unfinished_head() -> bytes:
    """Return most of a head with many fields."""
    return request_with_short_fields()[:-2]


def unfinished_body() -> bytes:
    """Return a request without the end of its body, which has the largest size that is allowed."""
    return request("pay", body=b"b" * BODY_LIMIT_BYTES)[:-1]


def body_in_short_chunks() -> bytes:
    """Return a request without the end of its body, in chunks of two bytes."""
    chunks = b"2\r\nab\r\n" * (BODY_LIMIT_BYTES // 2)
    return request("pay", Content_Length=None, Transfer_Encoding="chunked") + chunks


def flood(port: int, create: Callable[[], bytes]) -> None:
    """Connect many clients, have each send its data piece by piece, then wait and close all connections."""
    clients = [(socket.create_connection(("127.0.0.1", port)), create()) for _ in range(CLIENT_COUNT)]
    for piece in range(PIECES):
        for client, data in clients:
            size = -(-len(data) // PIECES)
            client.setblocking(False)
            try:
                client.send(data[piece * size : (piece + 1) * size])
            except OSError:  # the proxy does not read this client, or has closed its connection
                continue
        time.sleep(STAY_S / PIECES)
    for client, _ in clients:
        client.close()


@pytest.mark.parametrize(
    "create", [four_requests_with_short_fields, unfinished_head, unfinished_body, body_in_short_chunks]
)
@async_test
async def test_clients_that_send_as_much_as_is_allowed_do_not_exhaust_the_memory(
    create: Callable[[], bytes],
) -> None:
    """Guards against a crash for memory by hundreds of connections that are each within their limits."""
    async with Rig(ScriptedServer("s1"), limits=LIMITS) as rig:
        flooding = asyncio.create_task(asyncio.to_thread(flood, rig.port, create))
        while not flooding.done():
            assert (await rig.get_response())[0] in (200, 503)
        await flooding
        assert rig.peak_memory_bytes < LIMITS["memory_mb"] * BYTES_PER_MB
        assert (await rig.get_response())[0] == 200


@async_test
async def test_large_incomplete_requests_are_rejected_and_small_ones_served_when_memory_runs_out() -> None:
    """Guards against a sound client that pays for the memory that others hold."""
    async with Rig(ScriptedServer("s1"), limits={"memory_mb": 4, "sockets": 256}) as rig:
        small_request = request("pay", body=b"small")
        small = await rig.connect(small_request[:-1])
        large = [await rig.connect(unfinished_body()) for _ in range(20)]
        status_lines = [asyncio.create_task(reader.readline()) for reader, _ in large]
        rejected, still_open = await asyncio.wait(status_lines, timeout=REJECTED_WITHIN_S)
        assert still_open
        assert {status_line.result().split()[1] for status_line in rejected} == {b"503"}
        reader, writer = small
        writer.write(small_request[-1:])
        assert (await reader.readline()).split()[1] == b"200"
        for status_line in still_open:
            status_line.cancel()
        for _, writer in (small, *large):
            writer.close()


def test_guaranteed_parts_of_all_connections_are_within_the_memory_budget() -> None:
    budget = MemoryBudget(1_000_000, max_connections=100)
    assert budget.guaranteed_bytes * 100 <= 1_000_000
    budget.change(1_000_000)
    assert not budget.is_exceeded
    budget.change(1)
    assert budget.is_exceeded
