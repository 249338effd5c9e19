"""Signals sent at any time, repeatedly and in any order: none crashes the program, and none is lost."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest
from rig import OK, SETTINGS, Rig, ScriptedServer, async_test, request

from alderspool.program.app import run
from alderspool.program.config import load
from alderspool.program.signals import HANDLED_SIGNALS, StartupSignals
from alderspool.transport.listener import Listener

POLL_INTERVAL_S = 0.005


def config_with_discovery_at(rig: Rig, discovery: ScriptedServer) -> str:
    """Return the text of the rig's configuration file with the address of another discovery server."""
    return json.dumps(rig.config | {"discovery": f"127.0.0.1:{discovery.port}"})


@async_test
async def test_sighup_while_loading_neither_ends_the_program_nor_is_lost() -> None:
    """SIGHUP is sent every few milliseconds from the start of the program until it serves.

    The new configuration file is in place before the first SIGHUP. Whether the program read its configuration
    before or after that, it has to use the new discovery address in the end.
    """
    new_discovery = ScriptedServer("discovery-2", None)
    await new_discovery.start()
    async with Rig(ScriptedServer("s1"), await_ready=False) as rig:
        await rig.wait_until_started()
        rig.reload(config_with_discovery_at(rig, new_discovery))
        while await rig.is_ready() is None:
            rig.proxy.send_signal(signal.SIGHUP)
            await asyncio.sleep(POLL_INTERVAL_S)
        while not new_discovery.received_requests:
            await asyncio.sleep(POLL_INTERVAL_S)
        assert (await rig.get_response())[0] == 200
        assert rig.proxy.returncode is None
    new_discovery.server.close()


@async_test
async def test_sigterm_while_loading_ends_the_program_before_it_accepts() -> None:
    async with Rig(ScriptedServer("s1"), await_ready=False) as rig:
        await rig.wait_until_started()
        while rig.proxy.returncode is None:
            rig.proxy.send_signal(signal.SIGTERM)
            assert await rig.is_ready() is None
            await asyncio.sleep(POLL_INTERVAL_S)
        # The first SIGTERM may come before the program has installed its own handler.
        assert rig.proxy.returncode in (0, -signal.SIGTERM)


@pytest.fixture
def startup_signals() -> Iterator[StartupSignals]:
    """Record the signals sent to this process, and restore the previous handlers after the test."""
    previous_handlers = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    yield StartupSignals()
    for number, handler in previous_handlers.items():
        signal.signal(number, handler)


def test_replays_each_startup_signal_once_in_the_order_of_the_handlers(
    startup_signals: StartupSignals,
) -> None:
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGHUP):
        os.kill(os.getpid(), number)
    handled: list[int] = []
    handlers = {number: partial(handled.append, number) for number in HANDLED_SIGNALS}
    startup_signals.replay(handlers)
    startup_signals.replay(handlers)
    assert handled == [signal.SIGHUP, signal.SIGTERM]  # the reload comes before the shutdown


def test_accepts_nothing_if_sigterm_arrived_during_start_up(
    startup_signals: StartupSignals, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    doc = {"listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "seed": "1", "settings": SETTINGS}
    (tmp_path / "config.json").write_text(json.dumps(doc))
    accepting_listeners: list[Listener] = []
    monkeypatch.setattr(Listener, "bind", lambda listener, host, port: None)
    monkeypatch.setattr(Listener, "start_accepting", accepting_listeners.append)
    os.kill(os.getpid(), signal.SIGTERM)
    run(load({"BALANCER_CONFIG": str(tmp_path / "config.json")}), startup_signals)
    assert accepting_listeners == []


@async_test
@pytest.mark.parametrize(
    "numbers",
    [
        pytest.param((signal.SIGTERM, signal.SIGTERM), id="sigterm-twice"),
        pytest.param((signal.SIGHUP, signal.SIGTERM), id="sighup-sigterm"),
        pytest.param((signal.SIGTERM, signal.SIGHUP, signal.SIGINT), id="sigterm-sighup-sigint"),
        pytest.param(
            (signal.SIGHUP,) * 5 + (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM), id="many-of-each"
        ),
    ],
)
@pytest.mark.parametrize(
    "file_length",
    [pytest.param(200, id="incomplete-file"), pytest.param(None, id="new-discovery-address")],
)
async def test_loses_no_request_to_signals_while_draining(
    numbers: tuple[signal.Signals, ...], file_length: int | None
) -> None:
    """The signals arrive while a request is pending.

    SIGHUP finds an incomplete configuration file, or one with a new discovery address.
    """
    release = asyncio.Event()

    async def respond_when_released(scripted_server: ScriptedServer) -> bytes:
        await release.wait()
        return OK

    new_discovery = ScriptedServer("discovery-2", None)
    await new_discovery.start()
    async with Rig(ScriptedServer("s1", respond_when_released)) as rig:
        response = asyncio.create_task(rig.send_raw(request("pay")))
        while not rig.endpoints[0].received_requests:
            await asyncio.sleep(POLL_INTERVAL_S)
        rig.reload(config_with_discovery_at(rig, new_discovery)[:file_length])
        for number in numbers:
            rig.proxy.send_signal(number)
            await asyncio.sleep(0.02)
        while await rig.is_ready():
            await asyncio.sleep(POLL_INTERVAL_S)
        release.set()
        assert (await response)[0] == 200
        assert await rig.proxy.wait() == 0
    new_discovery.server.close()
