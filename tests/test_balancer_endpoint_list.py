"""Updates of the endpoint list, and polling of discovery."""

from __future__ import annotations

import pytest
from conftest import Driver, endpoint_id

from alderspool.balancer.actions import (
    Watch,
)
from alderspool.balancer.events import (
    Availability,
    EndpointEntry,
    UpdateMode,
)


@pytest.mark.parametrize("availability", [Availability.DRAINING, Availability.GONE])
def test_sends_nothing_to_draining_or_removed_endpoint(availability: Availability) -> None:
    driver = Driver()
    driver.set_endpoints(2)
    driver.update_list(EndpointEntry(endpoint_id(0), availability=availability), mode=UpdateMode.DELTA)
    assert set(driver.serve(10)) == {endpoint_id(1)}


def test_endpoint_missing_from_a_complete_list_is_removed() -> None:
    driver = Driver()
    driver.set_endpoints(3)
    driver.update_list(EndpointEntry(endpoint_id(2)))
    assert set(driver.serve(5)) == {endpoint_id(2)}
    driver.now += 60_000.0
    driver.update_list(EndpointEntry(endpoint_id(2)))
    assert list(driver.endpoints) == [endpoint_id(2)]  # endpoints removed long ago are dropped


def test_polled_discovery_is_watched_and_polled_again_with_backoff() -> None:
    driver = Driver(list_on_request=True)
    assert driver.log == [Watch()]
    backoffs_ms = []
    for _ in range(8):
        (timer,) = driver.update_list(mode=UpdateMode.FAILED)
        backoffs_ms.append(timer.delay_ms)
        driver.now += timer.delay_ms
        assert driver.timer(timer.token) == [Watch()]
    assert 500.0 <= backoffs_ms[0] <= 1000.0
    # An update counts as notified 6 s after it was made, so discovery must be polled again before that.
    assert backoffs_ms[0] < backoffs_ms[2] and max(backoffs_ms) <= 4000.0 < driver.cfg.list_max_age_ms
