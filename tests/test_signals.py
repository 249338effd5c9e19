"""Signals at any moment, repeated and in any order: none ends the program but in peace, none is missed."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest
from rig import OK, SETTINGS, Party, Rig, real, request

from alderspool.program.app import run
from alderspool.program.config import load
from alderspool.program.signals import NUMBERS, EarlySignals
from alderspool.transport.listener import Listener


def moved_to(rig: Rig, place: Party) -> str:
    return json.dumps(rig.config | {"discovery": f"127.0.0.1:{place.port}"})


@real
async def test_sighup_while_loading_is_no_crash_and_the_news_is_not_missed() -> None:
    """From the first moment of the program until it serves, one every few ms; with the first the new file
    is there, and whether it was read before or after, in the end it holds."""
    new = Party("discovery-2", None)
    await new.start()
    async with Rig(Party("s1"), await_ready=False) as rig:
        await rig.loading()
        rig.reload(moved_to(rig, new))
        while await rig.ready() is None:
            rig.proxy.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.005)
        while not new.got:
            await asyncio.sleep(0.005)
        assert (await rig.ask())[0] == 200 and rig.proxy.returncode is None
    new.server.close()


@real
async def test_sigterm_while_loading_ends_it_without_letting_anybody_in() -> None:
    async with Rig(Party("s1"), await_ready=False) as rig:
        await rig.loading()
        while rig.proxy.returncode is None:
            rig.proxy.send_signal(signal.SIGTERM)
            assert await rig.ready() is None
            await asyncio.sleep(0.005)
        assert rig.proxy.returncode in (0, -signal.SIGTERM)  # it may not have been its own yet


@pytest.fixture
def early() -> Iterator[EarlySignals]:
    before = {number: signal.getsignal(number) for number in NUMBERS}
    yield EarlySignals()
    for number, handler in before.items():
        signal.signal(number, handler)


def test_each_early_signal_is_handed_over_once(early: EarlySignals) -> None:
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGHUP):
        os.kill(os.getpid(), number)
    obeyed: list[int] = []
    obey = {number: partial(obeyed.append, number) for number in NUMBERS}
    early.hand_over(obey)
    early.hand_over(obey)
    assert obeyed == [signal.SIGHUP, signal.SIGTERM]  # in the order given: news first, then the end


def test_told_to_end_before_it_serves_it_lets_nobody_in(
    early: EarlySignals, tmp_path: Path, monkeypatch
) -> None:
    doc = {"listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "seed": "1", "settings": SETTINGS}
    (tmp_path / "config.json").write_text(json.dumps(doc))
    let_in: list[Listener] = []
    monkeypatch.setattr(Listener, "bind", lambda listener, host, port: None)
    monkeypatch.setattr(Listener, "start_accepting", let_in.append)
    os.kill(os.getpid(), signal.SIGTERM)
    run(load({"BALANCER_CONFIG": str(tmp_path / "config.json")}), early)
    assert let_in == []


@real
@pytest.mark.parametrize(
    "numbers",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP, signal.SIGINT),
        (signal.SIGHUP,) * 5 + (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    ],
)
@pytest.mark.parametrize("file", ["half", "moved"])
async def test_signals_in_the_drain_lose_nothing(numbers: tuple[int, ...], file: str) -> None:
    """With a request at a node, SIGHUP with a half-written file or with one that moves discovery."""
    release = asyncio.Event()

    async def late(party: Party) -> bytes:
        await release.wait()
        return OK

    new = Party("discovery-2", None)
    await new.start()
    async with Rig(Party("s1", late)) as rig:
        taken = asyncio.create_task(rig.raw(request("pay")))
        while not rig.endpoints[0].got:
            await asyncio.sleep(0.005)
        rig.reload(moved_to(rig, new)[: 200 if file == "half" else None])
        for number in numbers:
            rig.proxy.send_signal(number)
            await asyncio.sleep(0.02)
        while await rig.ready():
            await asyncio.sleep(0.005)
        release.set()
        assert (await taken)[0] == 200
        assert await rig.proxy.wait() == 0
    new.server.close()
