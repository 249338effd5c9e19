"""Races between two events, over sockets and in a forced order. Each test covers a row of docs/races.md."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
from collections.abc import Callable

import pytest
from flood import start_flood
from rig import (
    NOT_RUN,
    OK,
    SETTINGS,
    TEST_TIMEOUT_S,
    Rig,
    ScriptedServer,
    async_test,
    read_message,
    request,
    wait_for_target,
)

HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def close_with_reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset (RST) instead of a FIN."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def wait_for_earlier_events(rig: Rig) -> None:
    """Wait until the proxy has processed all earlier events, by a request that is served after them."""
    assert (await rig.get_response("look"))[0] == 200


# ---- client disconnects ---------------------------------------------------------------------------------


@async_test
@pytest.mark.parametrize("disconnect", ["close", "half-close", "reset"])
@pytest.mark.parametrize("pipelined_bytes", [0, 40000])
async def test_does_not_forward_a_request_if_the_client_disconnected_before_it_was_read(
    disconnect: str, pipelined_bytes: int
) -> None:
    """Clients send a complete request and disconnect while the proxy is stopped, so it finds both at once.

    With 40,000 bytes pipelined after the request, the proxy does not read as far as the end of the stream.
    """
    async with Rig(ScriptedServer("s1")) as rig:
        await wait_for_earlier_events(rig)  # opens the connection to the endpoint
        rig.proxy.send_signal(signal.SIGSTOP)
        for n in range(8):
            pipelined = request("pay") * (pipelined_bytes // len(request("pay")))
            _, writer = await rig.connect(request("pay", X_Request_Id=f"left-{n}") + pipelined)
            if disconnect == "reset":
                close_with_reset(writer)
            elif disconnect == "close":
                writer.close()
            else:
                writer.write_eof()
                continue
            # The socket is closed when the event loop runs again; the proxy must not continue before that.
            with contextlib.suppress(OSError):
                await writer.wait_closed()
        rig.proxy.send_signal(signal.SIGCONT)
        await wait_for_earlier_events(rig)
        assert [received[0][:9] for received in rig.endpoints[0].received_requests] == [b"GET /look"] * 2


@async_test
@pytest.mark.parametrize(
    ("pipelined_requests", "disconnect"), [(1, asyncio.StreamWriter.close), (400, close_with_reset)]
)
async def test_makes_no_retry_after_the_client_has_disconnected(
    pipelined_requests: int, disconnect: Callable
) -> None:
    """The endpoint rejects the attempt with X-Not-Run, but a retry would have no client left.

    As further requests wait, the proxy does not read the connection and cannot see the end of the stream.
    """
    release = asyncio.Event()

    async def respond_not_run(endpoint: ScriptedServer) -> bytes:
        if b"/look/" in endpoint.received_requests[-1][0]:
            return OK
        await release.wait()
        return NOT_RUN

    async with Rig(ScriptedServer("s1", respond_not_run), ScriptedServer("s2", respond_not_run)) as rig:
        _, writer = await rig.connect(request("pay") * (1 + pipelined_requests))
        while not sum(len(endpoint.received_requests) for endpoint in rig.endpoints):
            await asyncio.sleep(0.005)
        disconnect(writer)
        await wait_for_earlier_events(rig)
        release.set()
        await wait_for_earlier_events(rig)
        assert (
            sum(
                received[0].startswith(b"POST")
                for endpoint in rig.endpoints
                for received in endpoint.received_requests
            )
            == 1
        )


@async_test
async def test_cancels_the_attempt_if_the_client_disconnects_after_sending_unread_input() -> None:
    """While further requests wait, the connection is not read; a periodic check detects the disconnect."""
    bounds = SETTINGS["bounds"] | {"may_duplicate": True}
    async with Rig(ScriptedServer("s1", None), settings={"bounds": bounds}) as rig:
        _, writer = await rig.connect(request("pay", 60000) * 400)
        while not rig.endpoints[0].received_requests:
            await asyncio.sleep(0.005)
        close_with_reset(writer)
        await rig.endpoints[0].peer_closed.wait()


# ---- responses delimited by the end of the stream -------------------------------------------------------


@async_test
@pytest.mark.parametrize("class_name", ["pay", "look"])
async def test_response_without_length_is_complete_at_end_of_stream_and_incomplete_after_reset(
    class_name: str,
) -> None:
    """The first response is cut short by a reset; the second one ends with the stream."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.append(await read_message(reader))
        writer.write(HEAD_WITHOUT_LENGTH + b"half")
        await writer.drain()
        if len(received) == 1:
            await asyncio.sleep(0.1)  # by then the proxy has received the body so far
            close_with_reset(writer)
        else:
            writer.write(b" and half")
            writer.close()

    received: list[tuple] = []
    endpoint = ScriptedServer("s1")
    async with Rig(endpoint) as rig:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await rig.wait_for_calls(1)
        entries = [endpoint.entry(address=f"127.0.0.1:{port}", name=name) for name in ("s1", "s2")]
        rig.queue_list(*entries, index=5, snapshot=True)
        await rig.wait_for_calls(2)
        response = await rig.get_response(class_name)
        if class_name == "pay":  # it may have run, so it must not be retried
            assert (response[0], len(received)) == (502, 1)
            response = await rig.get_response(class_name)
        assert (response[0], response[2], len(received)) == (200, b"half and half", 2)
        server.close()


@async_test
async def test_endless_response_is_limited_in_size_and_time() -> None:
    chunk_bytes = 1

    async def respond_endlessly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(HEAD_WITHOUT_LENGTH)
        try:
            while True:
                writer.write(b"x" * chunk_bytes)
                await writer.drain()
                await asyncio.sleep(0.01)
        except OSError:
            ended.set()

    endpoint = ScriptedServer("s1")
    async with Rig(endpoint) as rig:
        server = await asyncio.start_server(respond_endlessly, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await rig.wait_for_calls(1)
        rig.queue_list(endpoint.entry(address=f"127.0.0.1:{port}"), index=5, snapshot=True)
        await rig.wait_for_calls(2)
        for size, status in ((1, 504), (20000, 502)):
            chunk_bytes = size
            ended = asyncio.Event()
            assert (await rig.get_response("pay", deadline_ms=400))[0] == status
            await ended.wait()
        server.close()


ENDLESS_TRAILER_BLOCK = b"a" * 65536
MAX_ENDLESS_BYTES = 24 * 1024 * 1024  # the kernel's buffers between two sockets hold less


@async_test
async def test_endless_trailer_of_a_response_ends_the_attempt_long_before_its_deadline() -> None:
    """Guards against review/3: trailers that never end were kept until the proxy was killed for memory."""
    sent_bytes = 0

    async def respond_endlessly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent_bytes
        await read_message(reader)
        writer.write(CHUNKED_HEAD + b"4\r\ndone\r\n0\r\nX-Checksum: ")
        with contextlib.suppress(OSError):
            while sent_bytes < MAX_ENDLESS_BYTES:
                writer.write(ENDLESS_TRAILER_BLOCK)
                await writer.drain()
                sent_bytes += len(ENDLESS_TRAILER_BLOCK)
        writer.transport.abort()

    endpoint = ScriptedServer("s1")
    async with Rig(endpoint) as rig:
        server = await asyncio.start_server(respond_endlessly, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await rig.wait_for_calls(1)
        rig.queue_list(endpoint.entry(address=f"127.0.0.1:{port}"), index=5, snapshot=True)
        await rig.wait_for_calls(2)
        assert (await rig.get_response("pay", deadline_ms=5000))[0] == 502
        assert sent_bytes < MAX_ENDLESS_BYTES
        server.close()


@async_test
async def test_endless_trailer_of_a_request_is_rejected_while_other_clients_are_served() -> None:
    """Guards against review/3 from the client side: the trailer was kept until the client's time was over."""
    async with Rig(ScriptedServer("s1")) as rig:
        reader, writer = await rig.connect(
            request("pay", Content_Length=None, Transfer_Encoding="chunked") + b"0\r\nX-Checksum: "
        )
        writer.write(ENDLESS_TRAILER_BLOCK)  # well under what a lingering close discards
        status, headers, _ = await read_message(reader)
        assert status.startswith(b"HTTP/1.1 413 ")
        assert headers["connection"] == "close"
        assert (await rig.get_response())[0] == 200
        writer.close()


# ---- input while a connection closes --------------------------------------------------------------------


@async_test
async def test_input_during_lingering_close_is_discarded_without_a_reset() -> None:
    """After a request with `Connection: close`, the client sends more requests during the response.

    The response is larger than the client's receive buffer, so that it is still being sent at that time.
    """
    body = b"x" * 65000

    async with Rig(ScriptedServer("s1", b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + body)) as rig:
        for _ in range(5):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", rig.port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
            writer.write(request("pay", Connection="close"))
            await reader.readexactly(1)
            for _ in range(3):
                writer.write(request("pay"))
                await asyncio.sleep(0.02)
            response = await reader.read()  # a reset would raise an exception here
            assert response.endswith(body)
            writer.close()
        assert len(rig.endpoints[0].received_requests) == 5


@async_test
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_pipelined_request_after_the_last_one_is_discarded(version: bytes) -> None:
    """A request with `Connection: close` is the last one on its connection.

    With HTTP/1.0 the proxy serves one request per connection, even with `Connection: keep-alive`.
    """
    connection_header = "close" if version == b"HTTP/1.1" else "keep-alive"
    async with Rig(ScriptedServer("s1")) as rig:
        sent = request("pay", Connection=connection_header) + request("pay", Connection=connection_header)
        reader, _writer = await rig.connect(sent.replace(b"HTTP/1.1", version))
        assert (await read_message(reader))[1]["connection"] == "close"
        assert await reader.read() == b""
        await wait_for_earlier_events(rig)
        assert sum(received[0].startswith(b"POST") for received in rig.endpoints[0].received_requests) == 1


@async_test
async def test_idle_timeout_closes_without_a_reset_and_discards_a_simultaneous_request() -> None:
    """After 2.1 s without a request the proxy closes the connection, by a lingering close.

    A request sent at that moment is not forwarded. Its client sees the end of the stream instead of a reset,
    and may send the request again.
    """
    async with Rig(ScriptedServer("s1")) as rig:
        reader, writer = await rig.connect(request("pay"))
        await read_message(reader)
        assert await reader.read() == b""  # the proxy has closed its write side
        for _ in range(2):
            writer.write(request("pay"))
            await wait_for_earlier_events(rig)
        assert not writer.transport.is_closing()  # after a reset the second write would have failed
        assert sum(received[0].startswith(b"POST") for received in rig.endpoints[0].received_requests) == 1


@async_test
async def test_idle_clients_do_not_delay_the_exit() -> None:
    async with Rig(ScriptedServer("s1")) as rig:
        connections = [await rig.connect(request("pay")) for _ in range(5)]
        for reader, _ in connections:
            await read_message(reader)
        rig.proxy.send_signal(signal.SIGTERM)
        for reader, _ in connections:
            assert await reader.read() == b""
        assert await asyncio.wait_for(rig.proxy.wait(), 3.0) == 0  # although no client has disconnected


# ---- descriptor limits ----------------------------------------------------------------------------------


class DescriptorCountingClient:
    """A client that counts the proxy's open descriptors before each request that it sends."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self.open_descriptors: list[int] = []

    async def send(self, count: int) -> list[int]:
        """Send `count` requests and return the statuses; a request without a response is sent again."""
        statuses: list[int] = []
        while len(statuses) < count:
            self.open_descriptors.append(len(os.listdir(f"/proc/{self._rig.proxy.pid}/fd")))
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                statuses.append((await self._rig.get_response("pay"))[0])
        return statuses


@async_test
async def test_idle_clients_on_all_descriptors_block_no_list_update_attempt_or_reload() -> None:
    """300 idle clients compete for the 256 descriptors of the rig; each connects again once it is evicted.

    They run in a process of their own, so that they delay nobody but the proxy. Meanwhile discovery fails,
    recovers and drains an endpoint, and a reload switches to another discovery. A client that is evicted
    before its request is read sends it again.
    """
    discovery_down = asyncio.Event()
    new_discovery = ScriptedServer(
        "discovery-2",
        lambda server: None if len(server.received_requests) > 1 else complete_list,
    )
    await new_discovery.start()

    def reply(server: ScriptedServer) -> bytes | None:
        if discovery_down.is_set():
            return b""
        is_poll_after_failure = (
            b"timeout_ms=1 " in server.received_requests[-1][0] and len(server.received_requests) > 3
        )
        return rig.list_response(drained.entry(status="draining"), index=9) if is_poll_after_failure else None

    rig = Rig(ScriptedServer("s1"), ScriptedServer("s2"), ScriptedServer("s3"))
    rig.discovery.reply = reply
    drained, removed, remaining = rig.endpoints
    async with rig:
        complete_list = rig.list_response(remaining.entry(), index=1, snapshot=True)
        idle_clients = await start_flood("idle", rig.port, TEST_TIMEOUT_S)
        client = DescriptorCountingClient(rig)
        while not client.open_descriptors or client.open_descriptors[-1] < 120:
            assert await client.send(1) in ([200], [503])
        discovery_down.set()
        assert 200 in await client.send(6)
        discovery_down.clear()
        await wait_for_target(rig.discovery, b"since=9&")
        before = len(drained.received_requests)
        assert 200 in await client.send(6)
        assert len(drained.received_requests) == before
        rig.reload(json.dumps(rig.config | {"discovery": f"127.0.0.1:{new_discovery.port}"}))
        await wait_for_target(new_discovery, b"since=1&")
        before = len(drained.received_requests), len(removed.received_requests)
        assert 200 in await client.send(6)
        assert (len(drained.received_requests), len(removed.received_requests)) == before
        assert max(client.open_descriptors) <= 256
        idle_clients.kill()
        await idle_clients.wait()
    new_discovery.server.close()
