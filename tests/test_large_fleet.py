"""What one proxy does must be harmless when each of forty does it: many Balancers, counted together."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from heapq import heappop, heappush
from random import Random

import pytest
from conftest import IDEMPOTENT, Driver, sends
from fleet_model import Fleet

from alderspool.balancer.actions import Send, SetTimer
from alderspool.balancer.events import (
    AttemptStatus,
    Availability,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    Outcome,
    Request,
    TimerFired,
    UpdateMode,
)
from alderspool.balancer.settings import Tenant

PROXIES = 40


def nodes(*sizes: int) -> list[EndpointEntry]:
    """So many ready endpoints in each zone, with ids that tell nothing."""
    r = Random(1)
    return [EndpointEntry(r.randbytes(6), zone=zone) for zone, n in enumerate(sizes) for _ in range(n)]


def crowd(entries: list[EndpointEntry], **settings: object) -> list[Driver]:
    """All proxies, half of them in either zone."""
    drivers = [
        Driver(instance_number=k, instance_count=PROXIES, zone=k % 2, seed=k, **settings)
        for k in range(PROXIES)
    ]
    for d in drivers:
        d.update_list(*entries)
    return drivers


@pytest.mark.parametrize("gone", [(0, 0), (15, 10)])
@pytest.mark.parametrize("sizes", [(30, 30), (43, 17)])
def test_each_node_is_used_by_about_as_many_proxies(sizes: tuple[int, int], gone: tuple[int, int]) -> None:
    """Half a subset from each zone, and subsets stretched over a gap in the list: up to 24 users."""
    entries = nodes(*sizes)
    left = {
        i for zone, n in enumerate(gone) for i in sorted(e.id for e in entries if e.zone == zone)[5 : 5 + n]
    }
    drivers = crowd(entries)
    for d in drivers:
        drained = (EndpointEntry(i, availability=Availability.DRAINING) for i in left)
        d.update_list(*drained, mode=UpdateMode.DELTA)
    used = Counter(s.id for d in drivers for s in d.selected)
    assert set(used) == {e.id for e in entries} - left
    even = sum(used.values()) / len(used)
    assert even - 2 <= min(used.values()) and max(used.values()) <= even + 2


@pytest.mark.parametrize(
    ("proxies", "sizes"),
    [(230, (10,) * 40), (230, (300, 10)), (1024, (12, 12)), (7, (512, 512)), (1024, (3, 5))],
)
def test_each_node_is_used_by_about_as_many_proxies_at_any_size(proxies: int, sizes: tuple[int, ...]) -> None:
    """More zones than anybody has named, many more proxies than nodes, many more nodes than proxies."""
    entries, used = nodes(*sizes), Counter()
    for k in range(proxies):
        d = Driver(instance_number=k, instance_count=proxies, seed=k)
        d.update_list(*entries)
        used.update(s.id for s in d.selected)
    assert len(used) == len(entries)
    even = sum(used.values()) / len(used)
    assert even - 3 <= min(used.values()) and max(used.values()) <= even + 3


def test_subset_stays_mostly_the_same_when_a_few_nodes_are_removed() -> None:
    """What was learned of a node, and the connections to it, are lost with its place in the subset."""
    entries = nodes(35, 25)
    drivers = crowd(entries)
    before, gone = [{s.id for s in d.selected} for d in drivers], {e.id for e in entries[::10]}
    for d in drivers:
        d.update_list(*(e for e in entries if e.id not in gone))
    kept = sum(len(b & {s.id for s in d.selected}) for b, d in zip(before, drivers, strict=True))
    assert kept > 0.7 * sum(len(b - gone) for b in before)


def test_cold_nodes_are_used_as_they_warm_up() -> None:
    """With half of the fleet back cold the warm half bore nearly all, choked, and stayed so."""
    fleet = Fleet(1, 0.7, nodes=20, proxies=20, cold_overload_factor=4.0)
    fleet.run(4)
    back, others = fleet.nodes[::2], fleet.nodes[1::2]
    for node in back:
        fleet.die(node)
    fleet.run(0.1)
    for node in back:
        fleet.come_back(node)
    fleet.reached.clear()
    fleet.run(3)
    cold = sum(a.request.work for a in fleet.reached if a.node in back) / sum(n.speed for n in back)
    warm = sum(a.request.work for a in fleet.reached if a.node in others) / sum(n.speed for n in others)
    assert cold > 0.42 * warm  # they can do 0.4 to 0.82 of the others' work; was 0.29


def test_cold_node_gets_less_from_all_proxies_than_overloads_it() -> None:
    """Whatever is asked, and though no limit on what is out holds anyone back: the budget alone."""
    entries = nodes(30, 30)
    drivers = crowd(entries, cold_overload_factor=4.0, initial_capacity_share=0.3, slow_start_ms=8900.0)
    served, node, sent = 0, entries[0].id, 0
    for d in drivers:
        served += len(d.serve(200, took=50.0))
        d.update_list(EndpointEntry(node, started_at_ms=d.now), mode=UpdateMode.DELTA)
        end = d.now + 1000.0
        while d.now < end:  # ten times as much, each answered at once
            sent += d.serve(1)[0] == node
    warm = served / 10.0 / len(entries)  # what a warm node does in a second
    assert 0 < sent < 4.0 * 0.3 * warm


def test_requests_that_just_take_longer_are_not_hedged() -> None:
    """Every hedge is work for all: where each proxy hedges one request in twelve, that is a load."""
    fleet = Fleet(3, 0.6, nodes=12, proxies=8)
    fleet.run(8)
    copies, total = sum(a.number > 0 for a in fleet.reached), len(fleet.reached)
    assert total > 1000 and copies < 0.02 * total  # was 0.09


def lose(d: Driver, bad: set[bytes], status: AttemptStatus, n: int, kinds: int = 1) -> int:
    """n requests, 20 a second but for those that a bad node loses at once; how many it lost."""
    r, lost = Random(d.cfg.instance_number), 0
    for _ in range(n):
        d.now += 10.0
        for send in sends(d.request(r.randrange(kinds), tenant=r.randrange(kinds))):
            lost += (fails := send.endpoint in bad)
            d.now += 1.0 if fails else 40.0
            d.outcome(send.id, 0, send.endpoint, status if fails else AttemptStatus.OK, True)
    return lost


def test_failing_node_costs_few_requests_though_each_proxy_sees_little_of_it() -> None:
    """A first wait of one usual latency was over before the node's next turn: it was no wait at all."""
    lost = 0
    for d in crowd(nodes(30, 30), classes=[IDEMPOTENT] * 3, tenants=[Tenant(name) for name in "xyz"]):
        lose(d, set(), AttemptStatus.OK, 100, kinds=3)
        lost += lose(d, {d.selected[0].id}, AttemptStatus.ERROR, 100, kinds=3)
    assert lost / PROXIES < 3.5  # 3.95 without


def test_cold_budget_follows_the_nodes_that_respond() -> None:
    """Dead nodes that the list still names do nothing: counted as warm, they halved the budget."""
    budgets = []
    for dead in (0, 4):
        d = crowd(nodes(30, 30), cold_overload_factor=4.0, initial_capacity_share=0.3, slow_start_ms=8900.0)[
            0
        ]
        lose(d, {s.id for s in d.selected[:dead]}, AttemptStatus.CONNECT_FAILED, 400)
        cold = d.selected[-1]
        d.update_list(EndpointEntry(cold.id, zone=cold.zone, started_at_ms=d.now), mode=UpdateMode.DELTA)
        budgets.append(cold.cold_rate / d.policies.latency.arrivals.rate)  # nine answer in either case
    assert budgets[1] > 0.9 * budgets[0] > 0.0


def at_rate(d: Driver, each_ms: float, seconds: float, took: float) -> Counter[bytes]:
    """One request every so many ms, each served after `took` ms; how many each node got."""
    got, out = Counter[bytes](), list[tuple[float, Send]]()
    end = d.now + 1000.0 * seconds
    while d.now < end:
        while out and out[0][0] <= d.now:
            send = out.pop(0)[1]
            d.handle(Outcome(send.id, 0, send.endpoint, AttemptStatus.OK, took, True))
        for send in sends(d.request()):
            got[send.endpoint] += 1
            out.append((d.now + took, send))
        d.now += each_ms
    return got


@pytest.mark.parametrize("times", [1, 3, 6])
def test_proxy_with_a_multiple_of_the_traffic_uses_as_many_times_more_nodes(times: int) -> None:
    """Six nodes took all of a proxy with six times the mean: on a calm day a dozen proxies rejected half."""
    quota = [Tenant("a", 1.0, 8.0 * PROXIES)]  # a mean proxy has eight requests a second
    d = crowd(nodes(60, 60), tenants=quota)[0]
    at_rate(d, 125.0 / times, 12.0, took=60.0)
    last = at_rate(d, 125.0 / times, 6.0, took=60.0)
    mean = 6.0 * 120 / PROXIES  # each node is used by about six proxies
    assert 0.7 * mean * times <= len(last) <= 1.2 * mean * times


def test_no_proxy_quiesces_alone_among_many_that_share_nodes() -> None:
    """A quiesce empties nodes only if all keep it: alone it rejected nearly all for 5.5 s, for nothing."""
    d = crowd(nodes(30, 30))[0]
    at_rate(d, 200.0, 2.0, took=60.0)
    got = at_rate(d, 200.0, 8.0, took=300.0)  # slow by what the others send, whatever this one does
    assert sum(got.values()) >= 35 and len(got) > 4


COLD_MS, TIP_MS, UPDATE_MS = 8900.0, 1000.0, 10_000.0


def sent_by(d: Driver, r: Random, each_ms: float, update: list[EndpointEntry]) -> list[tuple[bytes, float]]:
    """What one proxy sends where, and when. It gets the update up to 1.5 s late."""
    begun, sent, number = d.now, [], 0
    todo: list[tuple[float, int, Event]] = []

    def plan(after: float, event: Event) -> None:
        nonlocal number
        number += 1
        heappush(todo, (d.now + after, number, event))

    plan(UPDATE_MS + r.uniform(0.0, 1500.0), EndpointListUpdate(UpdateMode.DELTA, update, 2))
    plan(r.expovariate(1.0 / each_ms), Request(1, 2000.0))
    while todo[0][0] < begun + UPDATE_MS + COLD_MS:
        d.now, _, event = heappop(todo)
        if type(event) is Request:
            plan(r.expovariate(1.0 / each_ms), Request(event.id + 1, 2000.0))
        for action in d.handle(event):
            if type(action) is Send:
                sent.append((action.endpoint, d.now))
                plan(
                    r.uniform(30.0, 90.0), Outcome(action.id, 0, action.endpoint, AttemptStatus.OK, 0.0, True)
                )
            elif type(action) is SetTimer:
                plan(action.delay_ms, TimerFired(action.token))
    return sent


@pytest.mark.parametrize(("factor", "least"), [(2.5, 0.1), (2.0, 0.1)])
@pytest.mark.parametrize(("proxies", "warm", "cold"), [(20, 12, 4), (30, 20, 8), (200, 100, 40)])
def test_attempts_of_all_proxies_at_cold_nodes_stay_within_chance_of_their_budget(
    proxies: int, warm: int, cold: int, factor: float, least: float
) -> None:
    """As they come three in four of the others go, and what is asked would fill those that stay twice over.
    One proxy in six has four times the traffic of most. In no window of the time that tips a node does one
    get more than 2 root N + 2 beyond its budget of N, where a warm one can do `carry` requests a second."""
    carry = 25.0
    r = Random(proxies)
    old, new = nodes(warm // 2, warm // 2), nodes(cold // 2, cold // 2)
    for entry in new:
        entry.id, entry.started_at_ms = b"new" + entry.id, 1_000_000.0 + UPDATE_MS
    left = [replace(e, availability=Availability.GONE) for n, e in enumerate(old) if n % 4]
    shares = [r.choice((0.5, 0.7, 1.0, 1.0, 1.0, 4.0)) for _ in range(proxies)]
    asked = 0.8 * carry * warm  # a second, by all
    settings = {"cold_overload_factor": factor, "initial_capacity_share": least, "slow_start_ms": COLD_MS}
    settings |= {"cold_overload_window_ms": TIP_MS}
    settings |= {"instance_count": proxies, "tenants": [Tenant("x", 1.0, asked)]}
    got: dict[bytes, list[float]] = {entry.id: [] for entry in new}
    for k, share in enumerate(shares):
        d = Driver(instance_number=k, zone=k % 2, seed=k, **settings)
        d.update_list(*old)
        for server, at in sent_by(d, r, 1000.0 * sum(shares) / share / asked, [*left, *new]):
            if server in got:
                got[server].append(at - 1_000_000.0 - UPDATE_MS)
    assert sum(map(len, got.values())) > 0.1 * cold * carry * COLD_MS / 1000.0  # they are used
    for times in map(sorted, got.values()):
        for first, at in enumerate(times):
            warmth = least + (1.0 - least) * at / COLD_MS
            budget = factor * warmth * carry * TIP_MS / 1000.0
            assert sum(t < at + TIP_MS for t in times[first:]) <= budget + 2.0 * budget**0.5 + 2.0
