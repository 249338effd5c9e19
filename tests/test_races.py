"""Races between two events, on sockets and in a forced order: each test is a row of docs/races.md."""

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
from rig import NOT_RUN, OK, SETTINGS, Rig, ScriptedServer, read_message, real, request, wait_for_target

NO_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def settled(rig: Rig) -> None:
    """Wait until the proxy has processed all earlier events: a request sent after them has been served."""
    assert (await rig.get_response("look"))[0] == 200


# ---- the client disconnects ------------------------------------------------------------------------------


@real
@pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])
@pytest.mark.parametrize("behind", [0, 40000])
async def test_forwards_nothing_of_a_client_that_disconnected_before_its_request_was_read(
    how: str, behind: int
) -> None:
    """A complete request and the end of its connection are unread together, as the proxy was stopped.

    With much input behind the request, the proxy does not read up to the end of the stream.
    """
    async with Rig(ScriptedServer("s1")) as rig:
        await settled(rig)  # opens the connection to the endpoint
        rig.proxy.send_signal(signal.SIGSTOP)
        for n in range(8):
            more = request("pay") * (behind // len(request("pay")))
            _, writer = await rig.connect(request("pay", X_Request_Id=f"left-{n}") + more)
            if how == "resets":
                reset(writer)
            elif how == "closes":
                writer.close()
            else:
                writer.write_eof()
                continue
            # Until the loop runs again the socket is still open, and the proxy would go on before its end.
            with contextlib.suppress(OSError):
                await writer.wait_closed()
        rig.proxy.send_signal(signal.SIGCONT)
        await settled(rig)
        assert [got[0][:9] for got in rig.endpoints[0].received_requests] == [b"GET /look"] * 2


@real
@pytest.mark.parametrize(("behind", "leave"), [(1, asyncio.StreamWriter.close), (400, reset)])
async def test_makes_no_retry_after_the_client_has_disconnected(behind: int, leave: Callable) -> None:
    """With further requests sent behind the first, nothing more is read; then its endpoint rejects it."""
    release = asyncio.Event()

    async def busy(scripted_server: ScriptedServer) -> bytes:
        if b"/look/" in scripted_server.received_requests[-1][0]:
            return OK
        await release.wait()
        return NOT_RUN

    async with Rig(ScriptedServer("s1", busy), ScriptedServer("s2", busy)) as rig:
        _, writer = await rig.connect(request("pay") * (1 + behind))
        while not sum(len(endpoint.received_requests) for endpoint in rig.endpoints):
            await asyncio.sleep(0.005)
        leave(writer)
        await settled(rig)
        release.set()
        await settled(rig)
        assert (
            sum(
                got[0].startswith(b"POST") for endpoint in rig.endpoints for got in endpoint.received_requests
            )
            == 1
        )


@real
async def test_cancels_the_attempt_of_a_client_that_disconnected_behind_unread_input() -> None:
    """It is not read while its request is pending; a periodic check detects the disconnect."""
    bounds = SETTINGS["bounds"] | {"may_duplicate": True}
    async with Rig(ScriptedServer("s1", None), settings={"bounds": bounds}) as rig:
        _, writer = await rig.connect(request("pay", 60000) * 400)
        while not rig.endpoints[0].received_requests:
            await asyncio.sleep(0.005)
        reset(writer)
        await rig.endpoints[0].peer_closed.wait()


# ---- responses that end with the stream -----------------------------------------------------------


@real
@pytest.mark.parametrize("cls", ["pay", "look"])
async def test_response_without_length_is_complete_at_end_of_stream_and_incomplete_after_reset(
    cls: str,
) -> None:
    """The first response is reset in its body, the second one ends."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        got.append(await read_message(reader))
        writer.write(NO_LENGTH + b"half")
        await writer.drain()
        if len(got) == 1:
            await asyncio.sleep(0.1)  # it has arrived by then
            reset(writer)
        else:
            writer.write(b" and half")
            writer.close()

    got: list[tuple] = []
    endpoint = ScriptedServer("s1")
    async with Rig(endpoint) as rig:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await rig.wait_for_calls(1)
        lines = [endpoint.entry(address=f"127.0.0.1:{port}", name=name) for name in ("s1", "s2")]
        rig.queue_list(*lines, index=5, snapshot=True)
        await rig.wait_for_calls(2)
        first = await rig.get_response(cls)
        if cls == "pay":  # it may have run, and must not be retried
            assert (first[0], len(got)) == (502, 1)
            first = await rig.get_response(cls)
        assert (first[0], first[2], len(got)) == (200, b"half and half", 2)
        server.close()


@real
async def test_endless_response_is_limited_in_size_and_time() -> None:
    step = 1

    async def drip(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(NO_LENGTH)
        try:
            while True:
                writer.write(b"x" * step)
                await writer.drain()
                await asyncio.sleep(0.01)
        except OSError:
            ended.set()

    endpoint = ScriptedServer("s1")
    async with Rig(endpoint) as rig:
        server = await asyncio.start_server(drip, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await rig.wait_for_calls(1)
        rig.queue_list(endpoint.entry(address=f"127.0.0.1:{port}"), index=5, snapshot=True)
        await rig.wait_for_calls(2)
        for size, status in ((1, 504), (20000, 502)):
            step = size
            ended = asyncio.Event()
            assert (await rig.get_response("pay", deadline_ms=400))[0] == status
            await ended.wait()
        server.close()


# ---- input as a connection ends ----------------------------------------------------------------


@real
async def test_input_during_lingering_close_is_discarded_without_a_reset() -> None:
    """After a request with `Connection: close`, the client sends another one during the response.

    The response is larger than what the client's system receives at a time.
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
            response = await reader.read()  # to its end: a reset would raise here
            assert response.endswith(body)
            writer.close()
        assert len(rig.endpoints[0].received_requests) == 5


@real
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_pipelined_request_behind_the_last_one_is_discarded(version: bytes) -> None:
    """The first request is the last one of its connection, by its header or by its version.

    With HTTP/1.0 the proxy serves one request per connection.
    """
    token = "close" if version == b"HTTP/1.1" else "keep-alive"
    async with Rig(ScriptedServer("s1")) as rig:
        sent = request("pay", Connection=token) + request("pay", Connection=token)
        reader, _writer = await rig.connect(sent.replace(b"HTTP/1.1", version))
        assert (await read_message(reader))[1]["connection"] == "close"
        assert await reader.read() == b""
        await settled(rig)
        assert sum(got[0].startswith(b"POST") for got in rig.endpoints[0].received_requests) == 1


@real
async def test_idle_timeout_closes_without_a_reset_and_discards_a_simultaneous_request() -> None:
    """After 2.1 s without a request the proxy ends the connection.

    A request sent just then is not forwarded; its client sees the end of the stream and may send it again.
    """
    async with Rig(ScriptedServer("s1")) as rig:
        reader, writer = await rig.connect(request("pay"))
        await read_message(reader)
        assert await reader.read() == b""  # the proxy has ended its sending
        for _ in range(2):
            writer.write(request("pay"))
            await settled(rig)
        assert not writer.transport.is_closing()  # after a reset the second would have failed
        assert sum(got[0].startswith(b"POST") for got in rig.endpoints[0].received_requests) == 1


@real
async def test_idle_client_does_not_delay_the_exit() -> None:
    async with Rig(ScriptedServer("s1")) as rig:
        kept = [await rig.connect(request("pay")) for _ in range(5)]
        for reader, _ in kept:
            await read_message(reader)
        rig.proxy.send_signal(signal.SIGTERM)
        for reader, _ in kept:
            assert await reader.read() == b""
        assert await asyncio.wait_for(rig.proxy.wait(), 3.0) == 0  # though no client has disconnected


# ---- descriptors -----------------------------------------------------------------------------------------


async def reconnect_forever(port: int) -> None:
    """Connect, send nothing, and connect again as soon as the connection ends."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await reader.read()
            writer.close()


class RequestsUnderPressure:
    """Sends requests, and counts the proxy's open descriptors before each."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self.open_descriptors: list[int] = []

    async def send(self, count: int) -> list[int]:
        """Return the statuses of so many responses; requests without a response are sent again."""
        statuses: list[int] = []
        while len(statuses) < count:
            self.open_descriptors.append(len(os.listdir(f"/proc/{self._rig.proxy.pid}/fd")))
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                statuses.append((await self._rig.get_response("pay"))[0])
        return statuses


@real
async def test_idle_clients_on_every_descriptor_block_no_list_update_attempt_or_reload() -> None:
    """The rig allows 256 descriptors. Each idle client that is evicted connects again at once.

    Meanwhile discovery goes down, is back with a drain, and the configuration moves to another discovery. A
    client that is evicted before its request is read sends it again.
    """
    down = asyncio.Event()
    moved = ScriptedServer(
        "discovery-2",
        lambda scripted_server: None if len(scripted_server.received_requests) > 1 else complete_list,
    )
    await moved.start()

    def reply(scripted_server: ScriptedServer) -> bytes | None:
        if down.is_set():
            return b""
        is_back = (
            b"timeout_ms=1 " in scripted_server.received_requests[-1][0]
            and len(scripted_server.received_requests) > 3
        )
        return rig.list_response(old.entry(status="draining"), index=9) if is_back else None

    rig = Rig(ScriptedServer("s1"), ScriptedServer("s2"), ScriptedServer("s3"))
    rig.discovery.reply = reply
    old, new, newest = rig.endpoints
    async with rig:
        complete_list = rig.list_response(newest.entry(), index=1, snapshot=True)
        idle_clients = [asyncio.create_task(reconnect_forever(rig.port)) for _ in range(300)]
        requests = RequestsUnderPressure(rig)
        while not requests.open_descriptors or requests.open_descriptors[-1] < 120:
            assert await requests.send(1) in ([200], [503])
        down.set()
        assert 200 in await requests.send(6)
        down.clear()
        await wait_for_target(rig.discovery, b"since=9&")
        before = len(old.received_requests)
        assert 200 in await requests.send(6)
        assert len(old.received_requests) == before
        rig.reload(json.dumps(rig.config | {"discovery": f"127.0.0.1:{moved.port}"}))
        await wait_for_target(moved, b"since=1&")
        before = len(old.received_requests), len(new.received_requests)
        assert 200 in await requests.send(6)
        assert (len(old.received_requests), len(new.received_requests)) == before
        assert max(requests.open_descriptors) <= 256
        for task in idle_clients:
            task.cancel()
        await asyncio.gather(*idle_clients, return_exceptions=True)
    moved.server.close()
