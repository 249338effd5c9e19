"""What counts as told: by an agent from the first moment, by a watch that falls silent, after a move."""

from __future__ import annotations

import asyncio
import json
import time

import pytest
from rig import BARE_503, SETTINGS, Party, Rig, calls_until, real

from alderspool.balancer.settings_reader import read_settings
from alderspool.program.config import flatten
from alderspool.transport import discovery

AGENT = {"discovery": "pushed"}
TERM_S = 2.0  # within which a change counts as told, in some tests: a third of the pages', to be quick


def within(term_s: float) -> dict:
    return {"rules": SETTINGS["rules"] | {"ask_within_ms": 1000.0 * term_s}}


@real
async def test_what_the_agent_has_is_known_before_anybody_is_let_in() -> None:
    """The list in the configuration is old: s1, ready there, drains. The agent takes a while to say so."""
    async with Rig(Party("s1"), Party("s2"), settings=AGENT, await_ready=False) as rig:
        old, new = rig.endpoints
        await rig.asked(1)
        await asyncio.sleep(0.5)
        assert await rig.ready() is None
        rig.tell(old.entry(status="draining"), new.entry(), index=7, snapshot=True)
        await rig.until_ready()
        assert [(await rig.ask("pay"))[0] for _ in range(6)] == [200] * 6
        assert (len(old.got), len(new.got)) == (0, 6)
        calls = [got[0].split()[1] for got in rig.discovery.got]
        assert calls[0] == b"/v1/endpoints"  # whole: it need not count as we do
        assert calls[1].startswith(b"/v1/endpoints?since=7&timeout_ms=600")


@real
async def test_an_agent_that_stays_silent_does_not_keep_a_proxy_from_serving() -> None:
    async with Rig(Party("s1"), settings=AGENT) as rig:
        assert (await rig.ask())[0] == 200


@real
@pytest.mark.parametrize("settings", [AGENT, {}])
async def test_a_watch_that_falls_silent_is_opened_anew_at_once_and_hears_what_it_missed(settings) -> None:
    """Each call that waits stays without an answer. The drain comes with the second that is answered at once;
    the first one is the asking at the start."""
    opened = 0

    def reply(party: Party) -> bytes | None:
        nonlocal opened
        if b"&timeout_ms=200 " in party.got[-1][0]:
            return None
        opened += 1
        if opened == 1:
            return rig.list_of(old.entry(), new.entry(), index=4, snapshot=True)
        return rig.list_of(old.entry(status="draining"), index=9)

    rig = Rig(Party("s1"), Party("s2"), settings=settings | within(TERM_S))
    old, new = rig.endpoints
    rig.discovery.reply = reply
    async with rig:
        calls = await calls_until(rig.discovery, b"since=9&")
        wanted = ("since=4&timeout_ms=200", "since=4&timeout_ms=1", "since=9&timeout_ms=200")
        assert calls[-3:] == [
            f"/v1/endpoints?{query}".encode() for query in wanted
        ]  # from where it had heard last
        assert [(await rig.ask("pay"))[0] for _ in range(6)] == [200] * 6
        assert (len(old.got), len(new.got)) == (0, 6)


@real
@pytest.mark.parametrize("failure", ["silent", "refused", "garbage", "reset", "unheard of"])
async def test_what_a_silent_watch_missed_is_heard_within_the_term_though_a_further_call_fails(
    failure,
) -> None:
    """The watch is silent from its first moment, and the call after it fails too: as slowly as it can, at
    once, or with what is no list; the one after that stands in discovery's queue for long. The drain is known
    before it counts as told."""
    heard_of: list[float] = []

    async def reply(party: Party) -> bytes | None:
        if not heard_of:
            heard_of.append(0.0)
            return rig.list_of(old.entry(), new.entry(), index=4, snapshot=True)
        if b"&timeout_ms=1 " not in party.got[-1][0]:
            heard_of[0] = heard_of[0] or time.monotonic()
            return None
        heard_of.append(time.monotonic())
        if len(heard_of) == 2:
            return {
                "silent": None,
                "refused": BARE_503,
                "garbage": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
                "reset": b"",
                "unheard of": rig.list_of({"name": "s1", "address": "127.0.0.1:1", "status": "resting"}),
            }[failure]
        await asyncio.sleep(0.2 * TERM_S)
        return rig.list_of(old.entry(status="draining"), index=9)

    rig = Rig(Party("s1"), Party("s2"), settings=within(TERM_S))
    old, new = rig.endpoints
    rig.discovery.reply = reply
    async with rig:
        await calls_until(rig.discovery, b"since=9&")
        assert time.monotonic() - heard_of[0] < TERM_S
        assert [(await rig.ask("pay"))[0] for _ in range(6)] == [200] * 6
        assert (len(old.got), len(new.got)) == (0, 6)


@real
async def test_an_older_version_on_a_watch_has_the_whole_list_asked_for() -> None:
    """Discovery has lost its memory and counts anew: nothing of its versions can be told from ours."""

    def reply(party: Party) -> bytes | None:
        call = party.got[-1][0]
        if b"since=" not in call:
            return rig.list_of(new.entry(), index=2, snapshot=True)
        if b"since=40&" in call:  # as if s1, which drains by now, had come back
            return rig.list_of(old.entry(), index=1)
        if b"since=2&" in call:
            return None
        return rig.list_of(old.entry(status="draining"), new.entry(), index=40, snapshot=True)

    rig = Rig(Party("s1"), Party("s2"))
    old, new = rig.endpoints
    rig.discovery.reply = reply
    async with rig:
        calls = await calls_until(rig.discovery, b"since=2&")
        assert [call[:23] for call in calls[-3:]] == [
            b"/v1/endpoints?since=40&",
            b"/v1/endpoints",
            b"/v1/endpoints?since=2&t",
        ]
        assert [(await rig.ask("pay"))[0] for _ in range(6)] == [200] * 6
        assert (len(old.got), len(new.got)) == (0, 6)


@real
async def test_versions_that_go_back_each_time_do_not_make_a_storm_of_calls() -> None:
    """Two that do not know of each other may answer in turn: whole lists of 40, changes of 1."""

    def reply(party: Party) -> bytes:
        whole = b"since=" not in party.got[-1][0]
        return Rig.list_of(None, index=40 if whole else 1, snapshot=whole)

    confused = Party("discovery", reply)
    await confused.start()
    settings = read_settings(flatten(SETTINGS))
    client = discovery.DiscoveryClient(("127.0.0.1", confused.port), Told(), settings, 40)
    client.watch(True)
    await asyncio.sleep(1.0)
    client.watch(False)
    assert 4 <= len(confused.got) <= 20  # two for each wait of 0.15 s or more
    confused.server.close()


@real
async def test_no_fault_of_any_kind_ends_the_asking() -> None:
    """Whoever takes the list in fails with what nobody expected: the same news is asked for again."""

    class Failing(Told):
        left, told = 3, 0

        def list_received(self, told: object) -> None:
            self.left -= 1
            if self.left >= 0:
                raise ZeroDivisionError("nobody expected that")
            self.told += 1

    up = Party("discovery", Rig.list_of(None, index=7))
    await up.start()
    exchange = Failing()
    settings = read_settings(flatten(SETTINGS | within(0.2)))
    client = discovery.DiscoveryClient(("127.0.0.1", up.port), exchange, settings, 5)
    client.watch(True)
    while not exchange.told:
        await asyncio.sleep(0.005)
    assert exchange.failures == 3 and {got[0].split()[1] for got in up.got[:4]} == {
        b"/v1/endpoints?since=5&timeout_ms=1"
    }
    client.watch(False)
    up.server.close()


@real
@pytest.mark.parametrize("slow", [0.0, 0.4])
async def test_an_agent_that_is_back_is_heard_at_once(slow: float) -> None:
    """It was silent while discovery was down, to watches and other calls alike; what it has at its return
    counts as told at once. A call has just come as it is back; the next one must not wait for that one. Nor
    must an agent be left for good that takes a while for each answer."""
    back = asyncio.Event()

    async def reply(party: Party) -> bytes | None:
        if len(party.got) == 1:
            return rig.list_of(old.entry(), new.entry(), index=4, snapshot=True)
        if not back.is_set():
            return None
        await asyncio.sleep(slow)
        return rig.list_of(old.entry(status="draining"), index=9)

    rig = Rig(Party("s1"), Party("s2"), settings=AGENT)
    old, new = rig.endpoints
    rig.discovery.reply = reply
    async with rig:
        await calls_until(rig.discovery, b"timeout_ms=1")
        known = len(rig.discovery.got)
        while len(rig.discovery.got) < known + 3:
            await asyncio.sleep(0.001)
        back.set()
        returned = time.monotonic()
        await calls_until(rig.discovery, b"since=9&")
        assert time.monotonic() - returned < slow + 1.0  # 0.15 s, and what a busy machine adds
        assert [(await rig.ask("pay"))[0] for _ in range(6)] == [200] * 6
        assert (len(old.got), len(new.got)) == (0, 6)


@real
async def test_a_list_may_come_indented() -> None:
    async with Rig(Party("s1"), Party("s2")) as rig:
        old, new = rig.endpoints
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
        old, new = rig.endpoints
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

    def list_received(self, told: object) -> None:
        pass

    def list_call_failed(self, why: str) -> None:
        self.failures += 1


@real
@pytest.mark.parametrize("what", ["moved", "reset"])
async def test_all_who_fail_together_do_not_ask_discovery_together(what: str, monkeypatch) -> None:
    """Forty proxies are moved to a discovery that fails each call, or lose their watches to one that does
    from then on: their waits differ, double, and stay bounded."""
    waits: dict[int, list[float]] = {}
    heard: set[bytes] = set()

    def reply(party: Party) -> bytes:
        since = party.got[-1][0].partition(b"since=")[2].partition(b"&")[0]
        if not since or since in heard:
            return BARE_503 if what == "moved" else b""
        heard.add(since)
        return Rig.list_of(None, index=int(since))

    async def record(seconds: float, sleep=asyncio.sleep) -> None:
        task = asyncio.current_task().get_name()
        if task.isdigit():  # one of ours, not the scripted discovery's
            waits.setdefault(int(task), []).append(seconds)
            if len(waits[int(task)]) >= 6:
                raise asyncio.CancelledError
        await sleep(0.0)

    failing = Party("discovery", reply)
    await failing.start()
    monkeypatch.setattr(asyncio, "sleep", record)
    settings, clients = read_settings(flatten(SETTINGS)), []
    place = ("127.0.0.1", failing.port)
    for seed in range(40):
        first = ("127.0.0.1", 9) if what == "moved" else place
        client = discovery.DiscoveryClient(first, Told(), settings, seed, seed)
        client.move_to(place) if what == "moved" else client.watch(True)
        client._watch_task.set_name(str(seed))
        clients.append(client)
    await asyncio.gather(*(c._watch_task for c in clients), return_exceptions=True)
    assert len(heard) == (0 if what == "moved" else 40)
    assert failing.opened == 6 * 40  # one before each wait: no call dials twice
    wanted = (0.3, 0.6, 1.2, 1.2, 1.2, 1.2) if what == "moved" else (0.3, 0.3, 0.6, 1.2, 1.2, 1.2)
    for n, most in enumerate(wanted):
        nth = [waits[seed][n] for seed in range(40)]
        assert all(most / 2 <= wait <= most for wait in nth)
        assert len({round(20 * wait / most) for wait in nth}) > 5  # spread over the range, in no waves
    failing.server.close()
