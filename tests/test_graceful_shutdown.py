"""The ending: whatever was taken before the proxy leaves has one whole answer, at whatever moment it came."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest
from rig import SETTINGS, Party, Rig, read_message, real, request

DOOR_S = 0.7  # the door stays open so long after SIGTERM


async def status_of(reader: asyncio.StreamReader) -> int:
    return int((await read_message(reader))[0].split()[1])


async def draining(rig: Rig) -> float:
    """Sends SIGTERM and waits until it is obeyed; when it was sent."""
    told = time.monotonic()
    rig.proxy.send_signal(signal.SIGTERM)
    while await rig.ready():
        await asyncio.sleep(0.005)
    return told


@real
@pytest.mark.parametrize("longest", [300.0, 2000.0, 20000.0])
async def test_what_no_node_answers_is_answered_before_sigkill_may_come(longest: float) -> None:
    """One taken before SIGTERM and one while the door is open, at a hung node, with time left beyond the
    end; 3 s stand for a longer deadline."""
    classes = [SETTINGS["classes"][1] | {"deadline_ms": longest}]
    async with Rig(Party("s1", None), settings={"classes": classes}) as rig:
        before = await rig.connect(request("pay", 60000))
        while not rig.endpoints[0].got:
            await asyncio.sleep(0.005)
        told = await draining(rig)
        within = await rig.connect(request("pay", 60000))
        for reader, _ in (before, within):
            assert await status_of(reader) == 504  # it may have run: no refusal
        took = time.monotonic() - told
        assert took > DOOR_S + 0.5 * min(longest, 3000.0) / 1000.0  # not sooner than needed
        assert took < DOOR_S + min(longest, 3000.0) / 1000.0 + 0.5  # and what a busy machine adds
        assert await rig.proxy.wait() == 0


@real
async def test_who_stands_behind_the_door_as_it_closes_is_let_in_and_answered() -> None:
    """The proxy is stopped until its door should have closed; meanwhile the system takes connections for it,
    some with a whole request, some with half of one."""
    async with Rig(Party("s1"), Party("s2")) as rig:
        told = await draining(rig)
        rig.proxy.send_signal(signal.SIGSTOP)
        whole = [await rig.connect(request("pay")) for _ in range(20)]
        halves = [await rig.connect(request("pay")[:40]) for _ in range(5)]
        await asyncio.sleep(told + DOOR_S + 0.1 - time.monotonic())
        rig.proxy.send_signal(signal.SIGCONT)
        assert [await status_of(reader) for reader, _ in whole] == [200] * 20
        for _, writer in halves:
            writer.write(request("pay")[40:])  # its id is another one from there on, which is no matter
        assert [await status_of(reader) for reader, _ in halves] == [200] * 5
        assert await rig.proxy.wait() == 0


@real
async def test_what_has_come_behind_a_request_is_answered_too_before_its_connection_ends() -> None:
    release = asyncio.Event()

    async def late(party: Party) -> bytes:
        await release.wait()
        return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

    async with Rig(Party("s1", late)) as rig:
        reader, _ = await rig.connect(request("pay") + request("pay") + request("look"))
        while not rig.endpoints[0].got:
            await asyncio.sleep(0.005)
        await draining(rig)
        release.set()
        answers = [await read_message(reader) for _ in range(3)]
        assert [a[0].split()[1] for a in answers] == [b"200"] * 3
        assert [a[1].get("connection") for a in answers] == [None, None, "close"]
        assert await reader.read() == b""
        assert await rig.proxy.wait() == 0


@real
async def test_half_a_request_holds_the_ending_up_no_longer_than_its_last_moment() -> None:
    async with Rig(Party("s1")) as rig:
        told = await draining(rig)
        reader, writer = await rig.connect(request("pay")[:40])
        done = asyncio.create_task(reader.read())
        while not done.done():
            if not writer.is_closing():
                writer.write(b"x")
            await asyncio.sleep(0.1)
        assert b"HTTP/1.1 408" in done.result()
        assert await rig.proxy.wait() == 0
        assert time.monotonic() - told < 10.0


@real
async def test_what_came_while_we_were_paused_is_looked_at_before_patience_ends_its_connection() -> None:
    """Half a request was read; its rest comes while the proxy is stopped for longer than its patience."""
    async with Rig(Party("s1")) as rig:
        sent = request("pay")
        reader, writer = await rig.connect(sent[:40])
        assert await rig.ready()  # by now the half is read
        rig.proxy.send_signal(signal.SIGSTOP)
        writer.write(sent[40:])
        await asyncio.sleep(2.5)
        rig.proxy.send_signal(signal.SIGCONT)
        assert await status_of(reader) == 200
