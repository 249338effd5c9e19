"""Tests the endpoint table: the effect of updates, and which idle connections should be closed."""

from __future__ import annotations

import pytest

from alderspool.balancer.events import Availability, EndpointEntry, UpdateMode
from alderspool.routing.endpoint_table import EndpointTable
from alderspool.routing.messages import Endpoint, EndpointList

HOST = "10.0.0.1"
PORT = 80


def endpoint(
    endpoint_id: bytes, availability: Availability = Availability.READY, port: int = PORT
) -> Endpoint:
    return Endpoint(EndpointEntry(endpoint_id, availability=availability), HOST, port)


def update(*endpoints: Endpoint) -> EndpointList:
    return EndpointList(1, True, [*endpoints])


def table_of(*endpoints: Endpoint) -> EndpointTable:
    table = EndpointTable()
    table.apply(update(*endpoints), UpdateMode.FULL)
    return table


def test_empty_table_has_no_ready_endpoint() -> None:
    table = EndpointTable()

    assert not table.has_ready_endpoint
    assert table.get(b"s1") is None
    assert not table.is_ready_at(b"s1", HOST, PORT)


@pytest.mark.parametrize(
    ("availability", "is_listed", "is_ready"),
    [
        pytest.param(Availability.READY, True, True, id="ready"),
        pytest.param(Availability.DRAINING, True, False, id="draining"),
        pytest.param(Availability.GONE, False, False, id="gone"),
    ],
)
def test_availability_decides_whether_an_endpoint_is_listed_and_ready(
    availability: Availability, is_listed: bool, is_ready: bool
) -> None:
    listed = endpoint(b"s1", availability)

    table = table_of(listed)

    assert table.get(b"s1") is (listed if is_listed else None)
    assert list(table.ids) == ([b"s1"] if is_listed else [])
    assert table.has_ready_endpoint is is_ready
    assert table.is_ready_at(b"s1", HOST, PORT) is is_ready


@pytest.mark.parametrize(
    ("host", "port"), [pytest.param(HOST, 81, id="port"), pytest.param("10.0.0.2", PORT, id="host")]
)
def test_endpoint_is_not_ready_at_another_address(host: str, port: int) -> None:
    assert not table_of(endpoint(b"s1")).is_ready_at(b"s1", host, port)


def test_delta_keeps_endpoints_that_it_does_not_contain() -> None:
    table = table_of(endpoint(b"s1"), endpoint(b"s2"))

    to_close = table.apply(update(endpoint(b"s2", Availability.GONE), endpoint(b"s3")), UpdateMode.DELTA)

    assert list(table.ids) == [b"s1", b"s3"]
    assert to_close == [b"s2"]


@pytest.mark.parametrize("mode", [UpdateMode.FULL, UpdateMode.CACHED], ids=["full", "cached"])
def test_complete_list_replaces_the_table(mode: UpdateMode) -> None:
    table = table_of(endpoint(b"s1"), endpoint(b"s2"))

    to_close = table.apply(update(endpoint(b"s2")), mode)

    assert list(table.ids) == [b"s2"]
    assert to_close == [b"s1"]


@pytest.mark.parametrize(
    ("changed", "to_close"),
    [
        pytest.param(endpoint(b"s1"), [], id="unchanged"),
        pytest.param(endpoint(b"s1", Availability.DRAINING), [b"s1"], id="draining"),
        pytest.param(endpoint(b"s1", Availability.GONE), [b"s1"], id="gone"),
        pytest.param(endpoint(b"s1", port=81), [b"s1"], id="another_address"),
    ],
)
def test_update_returns_endpoints_whose_idle_connections_should_be_closed(
    changed: Endpoint, to_close: list[bytes]
) -> None:
    table = table_of(endpoint(b"s1"), endpoint(b"s2"))

    assert table.apply(update(changed), UpdateMode.DELTA) == to_close


# ---- new processes at known addresses --------------------------------------------------------------------


def started(endpoint_id: bytes, started_at_ms: float, port: int = PORT) -> Endpoint:
    """Return a ready endpoint whose process was started at this time."""
    return Endpoint(EndpointEntry(endpoint_id, started_at_ms=started_at_ms), HOST, port)


def test_idle_connections_to_an_endpoint_are_closed_when_its_process_is_started_anew() -> None:
    """Guards against a request that is written to a process that has gone, and may have run."""
    table = table_of(started(b"s1", 1000.0), started(b"s2", 1000.0, PORT + 1))

    assert table.apply(update(started(b"s1", 2000.0)), UpdateMode.DELTA) == [b"s1"]
    assert table.is_ready_at(b"s1", HOST, PORT)


def test_endpoint_stays_superseded_after_the_new_process_at_its_address_has_gone() -> None:
    table = table_of(started(b"s1", 1000.0))

    assert table.apply(update(started(b"s9", 2000.0)), UpdateMode.DELTA) == [b"s1"]
    assert not table.is_ready_at(b"s1", HOST, PORT)
    assert table.is_ready_at(b"s9", HOST, PORT)

    table.apply(update(endpoint(b"s9", Availability.GONE)), UpdateMode.DELTA)
    assert not table.has_ready_endpoint


def test_endpoints_of_one_address_with_the_same_start_time_are_all_kept() -> None:
    table = table_of(started(b"s1", 1000.0), started(b"s2", 1000.0))

    assert table.is_ready_at(b"s1", HOST, PORT)
    assert table.is_ready_at(b"s2", HOST, PORT)
    assert not table.superseded
