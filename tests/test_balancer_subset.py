"""Subset selection over many instances and endpoints."""

from __future__ import annotations

from collections import Counter

from conftest import driver_with_endpoints

from alderspool.balancer.events import (
    Availability,
    EndpointEntry,
    UpdateMode,
)


def test_subsets_of_many_instances_cover_all_endpoints_evenly() -> None:
    used = Counter(
        endpoint.id for k in range(200) for endpoint in driver_with_endpoints(k, 200, 100).selected
    )
    assert len(used) == 100
    assert set(used.values()) <= set(range(10, 15))  # 200 x 6 / 100 = 12 instances per endpoint


def test_few_instances_together_use_every_endpoint() -> None:
    assert len(driver_with_endpoints(0, 1, 100).selected) == 100
    assert (
        len({endpoint.id for k in range(20) for endpoint in driver_with_endpoints(k, 20, 100).selected})
        == 100
    )


def test_outliers_do_not_count_towards_the_subset_size() -> None:
    driver = driver_with_endpoints(0, 200, 100)
    before = {endpoint.id for endpoint in driver.selected}
    for endpoint in driver.selected[:5]:
        endpoint.consecutive_failures = 5
    driver.now += 1000.0
    driver.request()
    after = {endpoint.id for endpoint in driver.selected}
    assert before < after and len(after) == len(before) + 5


def test_returning_endpoint_gets_its_former_place_in_the_subset() -> None:
    driver = driver_with_endpoints(3, 200, 100)
    before = [endpoint.id for endpoint in driver.selected]
    removed = [
        EndpointEntry(i, zone=driver.endpoints[i].zone, availability=Availability.GONE) for i in before[:2]
    ]
    driver.update_list(*removed, mode=UpdateMode.DELTA)
    assert len(driver.selected) == 6 and set(before[2:]) < {endpoint.id for endpoint in driver.selected}
    driver.now += 5000.0
    driver.update_list(
        *(EndpointEntry(i, zone=driver.endpoints[i].zone) for i in before[:2]), mode=UpdateMode.DELTA
    )
    assert [endpoint.id for endpoint in driver.selected] == before
