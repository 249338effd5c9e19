"""The socket parts that the whole program cannot be brought to on demand."""

from __future__ import annotations

import asyncio
import signal

from rig import OK, Party, Rig, read_message, real, request


@real
async def test_idle_submitters_make_room_before_descriptors_run_out() -> None:
    """The rig allows 256 sockets; more submitters than that come, and each is served."""
    async with Rig(Party("s1")) as rig:
        kept = []
        for _ in range(300):
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            kept.append(writer)
            writer.write(request())
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
        for writer in kept:
            writer.close()


@real
async def test_a_second_request_sent_early_is_answered_second() -> None:
    async with Rig(Party("s1", OK)) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(request() + request("pay", body=b"b"))
        for _ in range(2):
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
        writer.close()
        assert [got[0].split()[0] for got in rig.nodes[0].got] == [b"GET", b"POST"]


@real
async def test_a_planned_restart_loses_no_request_of_busy_submitters() -> None:
    """A connection may end between requests, but only once its last answer has announced it."""

    async def submit(rig: Rig, served: list[str]) -> None:
        for _ in range(4):  # the first connection, and some that are opened while the proxy drains
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            last = ""
            while last != "close":
                writer.write(request("pay"))
                line, headers, _ = await read_message(reader)
                assert b" 200 " in line
                last = headers.get("connection", "")
                served.append(last)
            writer.close()

    async with Rig(Party("s1"), Party("s2")) as rig:
        served: list[str] = []
        submitters = [asyncio.create_task(submit(rig, served)) for _ in range(3)]
        while len(served) < 30:
            await asyncio.sleep(0.005)
        rig.proxy.send_signal(signal.SIGTERM)
        await asyncio.gather(*submitters)
        assert served.count("close") == 12
        assert await rig.proxy.wait() == 0
