"""Two events that cross, on sockets, in a forced order: each test is a row of docs/crossings.md."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
from collections.abc import Callable

import pytest
from rig import NOT_RUN, OK, SETTINGS, Party, Rig, calls_until, read_message, real, request

NO_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def settled(rig: Rig) -> None:
    """Until the proxy has done all that it was told before: a request of ours has gone through all of it."""
    assert (await rig.ask("look"))[0] == 200


# ---- the client leaves ----------------------------------------------------------------------------------


@real
@pytest.mark.parametrize("how", ["closes", "ends its sending", "resets"])
@pytest.mark.parametrize("behind", [0, 40000])
async def test_who_left_before_its_request_was_read_has_nothing_forwarded(how: str, behind: int) -> None:
    """Its whole request and the end of its connection lie unread together: the proxy is stopped meanwhile.
    With much behind the request nobody would read up to the end."""
    async with Rig(Party("s1")) as rig:
        await settled(rig)  # its node has a connection that need not be made
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
        rig.proxy.send_signal(signal.SIGCONT)
        await settled(rig)
        assert [got[0][:9] for got in rig.endpoints[0].got] == [b"GET /look"] * 2


@real
@pytest.mark.parametrize(("behind", "leave"), [(1, asyncio.StreamWriter.close), (400, reset)])
async def test_who_left_while_its_request_was_out_has_no_further_attempt(
    behind: int, leave: Callable
) -> None:
    """It sends more behind its request, so that nobody reads on, and goes; then its node turns it away."""
    release = asyncio.Event()

    async def busy(party: Party) -> bytes:
        if b"/look/" in party.got[-1][0]:
            return OK
        await release.wait()
        return NOT_RUN

    async with Rig(Party("s1", busy), Party("s2", busy)) as rig:
        _, writer = await rig.connect(request("pay") * (1 + behind))
        while not sum(len(endpoint.got) for endpoint in rig.endpoints):
            await asyncio.sleep(0.005)
        leave(writer)
        await settled(rig)
        release.set()
        await settled(rig)
        assert sum(got[0].startswith(b"POST") for endpoint in rig.endpoints for got in endpoint.got) == 1


@real
async def test_who_left_behind_more_than_is_read_has_its_attempt_ended() -> None:
    """Not read from while its request is out: it is looked at now and then, and its attempt is called off."""
    bounds = SETTINGS["bounds"] | {"may_duplicate": True}
    async with Rig(Party("s1", None), settings={"bounds": bounds}) as rig:
        _, writer = await rig.connect(request("pay", 60000) * 400)
        while not rig.endpoints[0].got:
            await asyncio.sleep(0.005)
        reset(writer)
        await rig.endpoints[0].ended.wait()


# ---- replies whose end is that of the stream -----------------------------------------------------------


@real
@pytest.mark.parametrize("cls", ["pay", "look"])
async def test_a_reply_without_a_length_is_whole_as_its_stream_ends_and_cut_by_a_reset(cls: str) -> None:
    """The first is reset in its body, the second ends."""

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
    endpoint = Party("s1")
    async with Rig(endpoint) as rig:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await rig.asked(1)
        lines = [endpoint.entry(address=f"127.0.0.1:{port}", name=name) for name in ("s1", "s2")]
        rig.tell(*lines, index=5, snapshot=True)
        await rig.asked(2)
        first = await rig.ask(cls)
        if cls == "pay":  # it may have run, and may not be repeated
            assert (first[0], len(got)) == (502, 1)
            first = await rig.ask(cls)
        assert (first[0], first[2], len(got)) == (200, b"half and half", 2)
        server.close()


@real
async def test_a_reply_that_never_ends_is_bounded_in_size_and_in_time() -> None:
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

    endpoint = Party("s1")
    async with Rig(endpoint) as rig:
        server = await asyncio.start_server(drip, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        await rig.asked(1)
        rig.tell(endpoint.entry(address=f"127.0.0.1:{port}"), index=5, snapshot=True)
        await rig.asked(2)
        for size, status in ((1, 504), (20000, 502)):
            step = size
            ended = asyncio.Event()
            assert (await rig.ask("pay", wait=400))[0] == status
            await ended.wait()
        server.close()


# ---- a connection that ends as bytes come ----------------------------------------------------------------


@real
async def test_what_comes_as_a_connection_ends_is_not_taken_and_resets_nothing() -> None:
    """The client has asked for the end of its connection. The answer is still on its way, more than its
    system takes at a time, when it sends another request."""
    body = b"x" * 65000

    async with Rig(Party("s1", b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + body)) as rig:
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
            answer = await reader.read()  # to its end: a reset would be an error here
            assert answer.endswith(body)
            writer.close()
        assert len(rig.endpoints[0].got) == 5


@real
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
async def test_what_was_read_behind_the_last_request_is_not_taken(version: bytes) -> None:
    """The first is the last on its connection, by its own word or by its version, which we keep for one
    request only; another whole one came along with it."""
    token = "close" if version == b"HTTP/1.1" else "keep-alive"
    async with Rig(Party("s1")) as rig:
        sent = request("pay", Connection=token) + request("pay", Connection=token)
        reader, writer = await rig.connect(sent.replace(b"HTTP/1.1", version))
        assert (await read_message(reader))[1]["connection"] == "close"
        assert await reader.read() == b""
        await settled(rig)
        assert sum(got[0].startswith(b"POST") for got in rig.endpoints[0].got) == 1


@real
async def test_a_resting_connection_is_ended_without_a_reset_and_what_crosses_is_not_taken() -> None:
    """After 2.1 s without a request it is ended. What its client sends just then goes nowhere, and it sees
    an end, upon which it may send the request once more."""
    async with Rig(Party("s1")) as rig:
        reader, writer = await rig.connect(request("pay"))
        await read_message(reader)
        assert await reader.read() == b""  # ended
        for _ in range(2):
            writer.write(request("pay"))
            await settled(rig)
        assert not writer.transport.is_closing()  # after a reset the second would have failed
        assert sum(got[0].startswith(b"POST") for got in rig.endpoints[0].got) == 1


@real
async def test_who_rests_until_the_proxy_ends_it_does_not_hold_the_ending_up() -> None:
    async with Rig(Party("s1")) as rig:
        kept = [await rig.connect(request("pay")) for _ in range(5)]
        for reader, _ in kept:
            await read_message(reader)
        rig.proxy.send_signal(signal.SIGTERM)
        for reader, _ in kept:
            assert await reader.read() == b""
        assert await asyncio.wait_for(rig.proxy.wait(), 3.0) == 0  # though none of them has gone


# ---- descriptors -----------------------------------------------------------------------------------------


@real
async def test_idle_clients_on_every_descriptor_keep_neither_news_nor_attempts_nor_a_move_out() -> None:
    """The rig allows 256. Whoever is let go comes again at once, while discovery goes down, is back with a
    drain, and the configuration moves elsewhere. Who was let go before its request was read asks again."""
    down = asyncio.Event()
    moved = Party("discovery-2", lambda party: None if len(party.got) > 1 else whole)
    await moved.start()

    async def idle() -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
                await reader.read()
                writer.close()
            except OSError:
                pass

    def reply(party: Party) -> bytes | None:
        if down.is_set():
            return b""
        back = b"timeout_ms=1 " in party.got[-1][0] and len(party.got) > 3
        return rig.list_of(old.entry(status="draining"), index=9) if back else None

    rig = Rig(Party("s1"), Party("s2"), Party("s3"))
    rig.discovery.reply = reply
    old, new, newest = rig.endpoints
    async with rig:
        whole = rig.list_of(newest.entry(), index=1, snapshot=True)
        crowd = [asyncio.create_task(idle()) for _ in range(300)]
        held: list[int] = []

        async def ask(n: int) -> list[int]:
            told = []
            while len(told) < n:
                held.append(len(os.listdir(f"/proc/{rig.proxy.pid}/fd")))
                try:
                    told.append((await rig.ask("pay"))[0])
                except (OSError, asyncio.IncompleteReadError):
                    pass
            return told

        while not held or held[-1] < 120:
            assert await ask(1) in ([200], [503])
        down.set()
        assert 200 in await ask(6)
        down.clear()
        await calls_until(rig.discovery, b"since=9&")
        before = len(old.got)
        assert 200 in await ask(6) and len(old.got) == before
        rig.reload(json.dumps(rig.config | {"discovery": f"127.0.0.1:{moved.port}"}))
        await calls_until(moved, b"since=1&")
        before = len(old.got), len(new.got)
        assert 200 in await ask(6) and (len(old.got), len(new.got)) == before
        assert max(held) <= 256
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
    moved.server.close()
