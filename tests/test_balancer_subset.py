"""Subset selection over many instances and endpoints."""

from __future__ import annotations

from collections import Counter

from conftest import fleet

from alderspool.balancer.events import (
    Availability,
    EndpointEntry,
    UpdateMode,
)


def test_subsets_of_many_instances_cover_all_endpoints_evenly() -> None:
    used = Counter(s.id for k in range(200) for s in fleet(k, 200, 100).selected)
    assert len(used) == 100
    assert set(used.values()) <= set(range(10, 15))  # 200 x 6 / 100 = 12 instances a server


def test_few_instances_use_every_endpoint_between_them() -> None:
    assert len(fleet(0, 1, 100).selected) == 100
    assert len({s.id for k in range(20) for s in fleet(k, 20, 100).selected}) == 100


def test_outliers_do_not_fill_the_subset() -> None:
    d = fleet(0, 200, 100)
    before = {s.id for s in d.selected}
    for s in d.selected[:5]:
        s.consecutive_failures = 5
    d.now += 1000.0
    d.request()
    after = {s.id for s in d.selected}
    assert before < after and len(after) == len(before) + 5


def test_returning_endpoint_finds_its_place_in_the_subset() -> None:
    d = fleet(3, 200, 100)
    before = [s.id for s in d.selected]
    lost = [EndpointEntry(i, zone=d.endpoints[i].zone, availability=Availability.GONE) for i in before[:2]]
    d.update_list(*lost, mode=UpdateMode.DELTA)
    assert len(d.selected) == 6 and set(before[2:]) < {s.id for s in d.selected}
    d.now += 5000.0
    d.update_list(*(EndpointEntry(i, zone=d.endpoints[i].zone) for i in before[:2]), mode=UpdateMode.DELTA)
    assert [s.id for s in d.selected] == before
