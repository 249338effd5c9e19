"""What counts as told: by an agent from the first moment, by a watch that falls silent, after a move."""

from __future__ import annotations

import asyncio
import json

import pytest
from rig import SETTINGS, Party, Rig, real

from alderspool.program.config import flatten
from alderspool.transport import discovery
from lynxlift.interface import Settings

AGENT = {"discovery": "pushed"}


@real
async def test_what_the_agent_has_is_known_before_anybody_is_let_in() -> None:
    """The list in the configuration is old: s1, ready there, drains. The agent takes a while to say so."""
    async with Rig(Party("s1"), Party("s2"), settings=AGENT, await_ready=False) as rig:
        old, new = rig.nodes
        await rig.asked(1)
        await asyncio.sleep(0.5)
        assert await rig.ready() is None
        rig.tell(old.entry(status="draining"), new.entry(), index=7, snapshot=True)
        await rig.until_ready()
        assert [(await rig.ask("pay"))[0] for _ in range(6)] == [200] * 6
        assert (len(old.got), len(new.got)) == (0, 6)
        calls = [got[0].split()[1] for got in rig.discovery.got]
        assert calls[0] == b"/v1/endpoints"  # whole: it need not count as we do
        assert calls[1].startswith(b"/v1/endpoints?since=7&timeout_ms=3500")


@real
async def test_an_agent_that_stays_silent_does_not_keep_a_proxy_from_serving() -> None:
    async with Rig(Party("s1"), settings=AGENT) as rig:
        assert (await rig.ask())[0] == 200


@real
@pytest.mark.parametrize("settings", [AGENT, {}])
async def test_a_watch_that_falls_silent_is_opened_anew_at_once_and_hears_what_it_missed(settings) -> None:
    """Each call that waits stays without an answer. The drain comes with one that is answered at once."""

    def reply(party: Party) -> bytes | None:
        call = party.got[-1][0]
        if b"since=" not in call:
            return rig.list_of(old.entry(), new.entry(), index=4, snapshot=True)
        if b"&timeout_ms=1 " in call:
            return rig.list_of(old.entry(status="draining"), index=9)
        return None

    rules = SETTINGS["rules"] | {"ask_within_ms": 300.0}
    rig = Rig(Party("s1"), Party("s2"), settings=settings | {"rules": rules})
    old, new = rig.nodes
    rig.discovery.reply = reply
    async with rig:
        calls: list[bytes] = []
        while not (calls and b"since=9&" in calls[-1]):
            await asyncio.sleep(0.005)
            calls = [got[0].split()[1] for got in rig.discovery.got]
        silent, anew = calls[-3:-1]
        assert silent == anew.replace(
            b"_ms=1", b"_ms=300"
        )  # from where it had heard last, and nothing between
        assert rig.discovery.opened == 2
        assert [(await rig.ask("pay"))[0] for _ in range(6)] == [200] * 6
        assert (len(old.got), len(new.got)) == (0, 6)


@real
async def test_a_list_may_come_indented() -> None:
    async with Rig(Party("s1"), Party("s2")) as rig:
        old, new = rig.nodes
        await rig.asked(1)
        rig.tell_raw(rig.list_of(new.entry(), index=5, snapshot=True, indent="\t"))
        await rig.asked(2)
        assert [(await rig.ask())[0] for _ in range(4)] == [200] * 4
        assert (len(old.got), len(new.got)) == (0, 4)


@real
async def test_a_move_to_one_that_resets_then_is_silent_then_has_an_older_version() -> None:
    """The old list holds meanwhile, and whatever its number, the first whole list of the new one counts."""

    def reply(party: Party) -> bytes | None:
        number = len(party.got)
        if number == 3:
            return rig.list_of(new.entry(), index=0, snapshot=True)
        return b"" if number == 1 else None

    moved = Party("discovery-2", reply)
    await moved.start()
    async with Rig(Party("s1"), Party("s2")) as rig:
        old, new = rig.nodes
        rig.tell(old.entry(), index=99, snapshot=True)
        await rig.asked(2)
        rig.reload(json.dumps(rig.config | {"discovery": f"127.0.0.1:{moved.port}"}))
        while len(moved.got) < 3:
            assert (await rig.ask())[0] == 200 and not new.got
            await asyncio.sleep(0.02)
        while len(moved.got) < 4:
            await asyncio.sleep(0.005)
        before = len(old.got)
        assert [(await rig.ask())[0] for _ in range(4)] == [200] * 4
        assert (len(old.got), len(new.got)) == (before, 4)
        calls = [got[0].split()[1] for got in moved.got]
        assert calls[:3] == [b"/v1/endpoints"] * 3 and calls[3].startswith(b"/v1/endpoints?since=0&")
    moved.server.close()


class Told:
    """In the exchange's place."""

    failures = 0

    def list_failed(self, why: str) -> None:
        self.failures += 1


@real
async def test_all_who_are_moved_together_do_not_ask_a_failing_discovery_together(monkeypatch) -> None:
    """Forty proxies and a discovery that fails each call: their waits differ, double, and stay bounded."""
    down = Party("discovery", b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    await down.start()
    waits: dict[int, list[float]] = {}

    async def record(seconds: float, sleep=asyncio.sleep) -> None:
        task = asyncio.current_task().get_name()
        if task.isdigit():  # one of ours, not the scripted discovery's
            waits.setdefault(int(task), []).append(seconds)
            if len(waits[int(task)]) >= 6:
                raise asyncio.CancelledError
        await sleep(0.0)

    monkeypatch.setattr(discovery.asyncio, "sleep", record)
    settings, clients = Settings.from_pairs(flatten(SETTINGS)), []
    for seed in range(40):
        client = discovery.DiscoveryClient(("127.0.0.1", 9), Told(), settings, 1, seed)
        client.move(("127.0.0.1", down.port))
        client._watching.set_name(str(seed))
        clients.append(client)
    await asyncio.gather(*(c._watching for c in clients), return_exceptions=True)
    for n, most in enumerate((0.4, 0.8, 1.6, 3.2, 3.2, 3.2)):
        nth = [waits[seed][n] for seed in range(40)]
        assert all(most / 2 <= wait <= most for wait in nth)
        assert len({round(20 * wait / most) for wait in nth}) > 5  # spread over the range, in no waves
    down.server.close()
