"""The laboratory's models by tables: known work in, the moments worked out by hand out."""

from __future__ import annotations

import math

import numpy as np
import pytest

from alderspool.lab.models.client import ClientModel, Habits
from alderspool.lab.models.discovery import Delays, Discovery, Entry, started
from alderspool.lab.models.endpoint import EndpointModel, EndpointProfile, Rack, Verdict, Work
from alderspool.lab.models.front import Front


def stream(seed: int = 1) -> np.random.Generator:
    return np.random.default_rng(seed)


def node(rack: Rack | None = None, **profile: object) -> EndpointModel:
    return EndpointModel(EndpointProfile(**profile), stream(), rack)


def play(n: EndpointModel, *jobs: tuple[float, float], until: float = 10_000.0) -> dict[int, float]:
    """Offers (moment, work) in turn; when each ended."""
    ended: dict[int, float] = {}
    for id, (at, work) in enumerate(jobs):
        ended |= {e.id: e.at for e in n.advance(at)}
        assert n.offer(at, Work(id, work)) is Verdict.TAKEN
    return ended | {e.id: e.at for e in n.advance(until)}


@pytest.mark.parametrize(
    ("profile", "jobs", "ends"),
    [
        ({}, [(0.0, 100.0)], [100.0]),
        ({"speed": 2.0}, [(0.0, 100.0)], [50.0]),
        ({}, [(0.0, 100.0), (0.0, 60.0)], [100.0, 60.0]),  # a core each
        ({}, [(0.0, 100.0), (0.0, 60.0), (0.0, 30.0)], [100.0, 60.0, 90.0]),  # the third waits for a slot
        ({"slots": 4}, [(0.0, 50.0)] * 4, [100.0] * 4),  # four share two cores
        ({"slots": 4}, [(0.0, 50.0), (0.0, 50.0), (0.0, 25.0)], [62.5, 62.5, 37.5]),
        ({}, [(0.0, 40.0), (1000.0, 40.0)], [40.0, 1040.0]),
        ({"crowd_at": 1.0, "crowd_cost": 0.5}, [(0.0, 50.0)] * 3, [75.0, 75.0, 125.0]),
    ],
)
def test_work_ends_when_cores_and_slots_say(profile: dict, jobs: list, ends: list[float]) -> None:
    ended = play(node(**profile), *jobs)
    assert [ended[id] for id in range(len(jobs))] == pytest.approx(ends, abs=0.01)


def test_a_cold_node_gains_evenly() -> None:
    n = node(initial_capacity_share=0.2, slow_start_ms=1000.0)
    n.crash()
    n.restart(5000.0)
    assert [n.warmth(5000.0 + at) for at in (0.0, 500.0, 1000.0, 9000.0)] == pytest.approx(
        [0.2, 0.6, 1.0, 1.0]
    )
    n.advance(5000.0)
    n.offer(5000.0, Work(1, 600.0))
    (ended,) = n.advance(9000.0)  # 600 ms of work done between 0.2 and 1.0 in 1000 ms
    assert ended.at == pytest.approx(6000.0, abs=10.0)


@pytest.mark.parametrize(("work", "up"), [(350.0, True), (450.0, False)])
def test_a_cold_node_tips_over_beyond_the_multiple_of_what_it_can_do(work: float, up: bool) -> None:
    n = node(
        initial_capacity_share=0.5,
        slow_start_ms=1e9,
        cold_overload_factor=4.0,
        cold_overload_window_ms=100.0,
        queue=99,
    )  # 2 x 0.5 x 100 x 4
    n.restart(0.0)
    for id in range(10):
        n.offer(0.0, Work(id, work / 10.0))
    assert n.up is up
    assert (n.offer(1.0, Work(99, 1.0)) is Verdict.DOWN) is not up


def test_a_warm_node_does_not_tip() -> None:
    n = node(cold_overload_factor=1.0, cold_overload_window_ms=100.0, queue=99)
    for id in range(50):
        n.offer(0.0, Work(id, 100.0))
    assert n.up


def test_known_keys_take_less_work_until_forgotten_or_displaced() -> None:
    n = node(key_gain=0.5, key_ms=1000.0, keys=2)
    took = []
    for at, key in ((0.0, 1), (500.0, 1), (1600.0, 1), (1700.0, 2), (1800.0, 3), (1900.0, 1)):
        n.advance(at)
        n.offer(at, Work(int(at), 100.0, key))
        (ended,) = n.advance(at + 100.0)
        took.append(ended.at - at)
    assert took == pytest.approx([100.0, 50.0, 100.0, 100.0, 100.0, 100.0])


def test_a_rack_drops_repeats_for_its_span_at_any_of_its_nodes() -> None:
    rack, other = Rack(1000.0), Rack(1000.0)
    a, b, c = node(rack), node(rack), node(other)
    assert a.offer(0.0, Work(1, 1.0, once_key="k")) is Verdict.TAKEN
    assert b.offer(900.0, Work(2, 1.0, once_key="k")) is Verdict.REPEAT
    assert c.offer(900.0, Work(3, 1.0, once_key="k")) is Verdict.TAKEN  # runs twice: another rack
    assert b.offer(1001.0, Work(4, 1.0, once_key="k")) is Verdict.TAKEN
    assert len(rack.seen) == 1


def test_what_a_node_turns_away_and_what_it_swallows() -> None:
    n = node(queue=1)
    assert [n.offer(0.0, Work(i, 50.0)) for i in range(4)] == [Verdict.TAKEN] * 3 + [Verdict.FULL]
    n.draining = True
    assert n.offer(0.0, Work(9, 1.0)) is Verdict.DRAINING
    assert len(n.advance(200.0)) == 3  # it completes what it has
    n.draining, n.silent = False, True
    assert n.offer(200.0, Work(10, 1.0)) is Verdict.SILENT and not n.probe()
    assert n.advance(400.0) == []
    n.crash()
    assert n.offer(400.0, Work(11, 1.0)) is Verdict.DOWN and not n.connect() and n.due() == math.inf


def test_a_crash_loses_what_was_held_and_a_silent_node_ends_nothing() -> None:
    n = node()
    n.offer(0.0, Work(1, 50.0))
    n.crash()
    n.restart(10.0)
    assert n.advance(500.0) == [] and n.held == 0
    n.offer(500.0, Work(2, 50.0))
    n.silent = True
    assert n.advance(1000.0) == []


@pytest.mark.parametrize(("stops", "third"), [(False, 130.0), (True, 60.0)])
def test_a_cancel_drops_what_waits_and_what_runs_only_where_nodes_can(stops: bool, third: float) -> None:
    n = node(cores=1, slots=1, stops_running=stops)
    n.offer(0.0, Work(0, 100.0))
    n.offer(0.0, Work(1, 100.0))
    n.offer(0.0, Work(2, 30.0))
    n.advance(30.0)
    n.cancel(0)
    n.cancel(1)
    ended = {e.id: e.at for e in n.advance(1000.0)}
    assert ended[2] == pytest.approx(third) and 1 not in ended
    assert n.wasted == pytest.approx(0.0 if stops else 70.0)


def test_a_crowd_chokes_a_node_until_it_was_nearly_idle() -> None:
    profile = {"choke_at": 2.0, "choke_over_ms": 500.0, "choke_slower": 3.0, "choke_rest_ms": 300.0}
    n = node(queue=99, **profile)
    for id in range(20):
        n.offer(0.0, Work(id, 100.0))  # 1000 ms of work for both cores
    n.advance(490.0)
    assert n.choked_at is None
    n.advance(520.0)
    assert n.choked_at is not None and n.rate(520.0) == pytest.approx(1 / 3)
    ended = n.advance(10_000.0)
    assert max(e.at for e in ended) == pytest.approx(500.0 + 3 * 500.0, abs=30.0)
    assert n.choked_at is None  # idle since
    assert node(queue=99, **profile, choke_most_ms=100.0).choked_at is None


def test_a_choke_ends_by_itself_after_the_longest_time() -> None:
    n = node(queue=999, choke_at=2.0, choke_over_ms=100.0, choke_most_ms=400.0, choke_rest_ms=1e9)
    for id in range(400):
        n.offer(0.0, Work(id, 100.0))
    n.advance(300.0)
    assert n.choked_at == pytest.approx(100.0, abs=20.0)
    n.advance(519.0)
    assert n.choked_at is None


def test_a_slow_node_and_errors() -> None:
    n = node(error_rate=0.5)
    n.slower = 3.0
    assert play(n, (0.0, 50.0))[0] == pytest.approx(150.0)
    for id in range(1000):
        n.offer(10_000.0, Work(id, 0.1)) if n.held < 40 else None
    errors = [e.error for e in n.advance(20_000.0)]
    assert len(errors) == 40 and 10 < sum(errors) < 30


def test_handshakes_and_probes_cost_work_and_connections_are_capped() -> None:
    n = node(cores=1, slots=1, connections=2, handshake_work=5.0, probe_work=1.0)
    n.offer(0.0, Work(1, 100.0))
    assert [n.connect(), n.connect(), n.connect()] == [True, True, False]
    assert n.probe()
    (ended,) = n.advance(1000.0)
    assert ended.at == pytest.approx(111.0)
    n.disconnect()
    assert n.connect()


def test_the_same_seed_gives_the_same_story() -> None:
    def story(seed: int) -> list[bool]:
        n = EndpointModel(EndpointProfile(error_rate=0.3, queue=500), stream(seed))
        for id in range(300):
            n.offer(0.0, Work(id, 1.0))
        return [e.error for e in n.advance(1000.0)]

    assert story(4) == story(4) != story(5)


# ---- discovery, front, clients ----------------------------------------------------------------


def test_news_is_late_by_its_kind_and_a_watch_tells_what_changed_since() -> None:
    d = Discovery(Delays(ready=100.0, draining=50.0, gone=300.0))
    d.report(0.0, Entry("a", "x:1"))
    d.report(0.0, Entry("b", "x:2"))
    assert not d.advance(99.0) and d.listed() == [] and d.due() == 100.0
    assert d.advance(100.0) and [e.name for e in d.listed()] == ["a", "b"]
    seen = d.index
    assert d.changes(seen) == []
    d.report(200.0, Entry("a", "x:1", status="draining"))
    d.advance(250.0)
    assert [(e.name, e.status) for e in d.changes(seen)] == [("a", "draining")]
    d.report(300.0, Entry("a", "x:1", status="gone"))
    d.report(400.0, started(d.listed()[1], 400.0))  # b restarted: the same node, a new start
    d.advance(600.0)
    assert [(e.name, e.since_ms) for e in d.listed()] == [("b", 400.0)]
    assert {(e.name, e.status) for e in d.changes(seen)} == {("a", "gone"), ("b", "ready")}


def test_one_server_takes_calls_in_turn_and_fails_those_that_waited_too_long() -> None:
    d = Discovery(call_ms=10.0, line_ms=5.0, timeout_ms=100.0)
    assert [d.call(0.0, 8), d.call(0.0, 8), d.call(0.0, 8), d.call(0.0, 8)] == [50.0, 100.0, 150.0, None]
    assert d.call(200.0, 0) == 210.0
    d.up = False
    assert d.call(300.0, 0) is None


def test_the_front_spreads_and_notices_a_death_late() -> None:
    front = Front(["p", "q"], stream(), notice_ms=1000.0)
    assert front.pick(0.0) is None
    front.ready("p")
    assert {front.pick(0.0) for _ in range(20)} == {"p"}
    front.ready("q")
    picks = [front.pick(0.0) for _ in range(1000)]
    assert picks.count("q") == pytest.approx(500, abs=60)
    front.died(100.0, "q")
    assert "q" in {front.pick(1099.0) for _ in range(50)}
    assert {front.pick(1100.0) for _ in range(50)} == {"p"}
    front.ready("q")
    assert "q" in {front.pick(1200.0) for _ in range(50)}
    front.died(1300.0, "q")
    front.ready("q")  # back before the front noticed
    assert "q" in {front.pick(9000.0) for _ in range(50)}


@pytest.mark.parametrize(
    ("habits", "after", "again"),
    [
        (Habits(retries=0), [100.0], [None]),
        (Habits(retries=1, backoff_ms=50.0), [100.0, 200.0], [150.0, None]),
        (Habits(retries=2, backoff_ms=50.0, doubling=True), [100.0, 200.0], [150.0, 300.0]),
        (Habits(retries=1, backoff_ms=50.0), [960.0], [None]),  # its deadline comes first
        (Habits(retries=1, backoff_ms=50.0, honours_retry_after=1.0), [100.0], [400.0]),
    ],
)
def test_a_client_asks_again_as_its_habits_say(habits: Habits, after: list, again: list) -> None:
    s = ClientModel(habits, 1000.0, 0.0, stream())
    for at, expected in zip(after, again, strict=True):
        s.try_once(at - 50.0)
        assert s.refused(at, retry_after_ms=300.0) == expected


def test_a_try_waits_its_share_of_the_deadline_or_what_is_left_of_it() -> None:
    s = ClientModel(Habits(try_share=0.7), 1000.0, 0.0, stream())
    assert s.try_once(0.0) == 700.0 and s.try_once(800.0) == pytest.approx(200.0)
    assert ClientModel(Habits(impatient=1.0), 1000.0, 0.0, stream()).try_once(0.0) == 100.0
