"""Load reports between instances that use the same endpoints."""

from __future__ import annotations

from conftest import LOAD_REPORT_TIMER, Driver, endpoint_id, sends

from alderspool.balancer.actions import (
    SendToPeer,
)
from alderspool.balancer.events import (
    PeerMessage,
)


def test_reported_load_counts_until_the_peer_is_silent() -> None:
    driver = Driver(peer_messages_allowed=True, instance_count=3)
    driver.set_endpoints(2)
    driver.policies.limit.per_endpoint = 2.0
    driver.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    driver.now += 1000.0
    driver.handle(PeerMessage(1, endpoint_id(0) + bytes((9,))))
    driver.handle(PeerMessage(2, endpoint_id(0) + bytes((0,))))
    driver.now += 500.0
    assert {sends(driver.request())[0].endpoint for _ in range(2)} == {endpoint_id(1)}
    driver.now += 5000.0
    driver.request()
    assert driver.endpoints[endpoint_id(0)].peer_in_flight == 0


def test_instance_keeps_its_own_share_of_the_limit() -> None:
    driver = Driver(peer_messages_allowed=True, instance_count=2)
    driver.set_endpoints(1)
    driver.policies.limit.per_endpoint = 4.0
    driver.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    driver.now += 1000.0
    driver.handle(PeerMessage(1, endpoint_id(0) + bytes((9,))))
    driver.now += 500.0
    assert [len(sends(driver.request())) for _ in range(3)] == [1, 1, 0]


def test_reports_changes_only_of_endpoints_that_the_peer_uses() -> None:
    driver = Driver(peer_messages_allowed=True, instance_count=7)
    driver.set_endpoints(2)
    driver.handle(PeerMessage(6, endpoint_id(0) + bytes((0,))))
    reports = [(a.peer, a.data[:6]) for _ in range(2) for a in driver.request() if isinstance(a, SendToPeer)]
    assert reports == [(6, endpoint_id(0))]
    full_report = [a for a in driver.timer(LOAD_REPORT_TIMER) if isinstance(a, SendToPeer)]
    assert [(a.peer, a.data) for a in full_report] == [
        (None, endpoint_id(0) + b"\1" + endpoint_id(1) + b"\1")
    ]


def test_reports_nothing_if_many_instances_share_an_endpoint() -> None:
    driver = Driver(peer_messages_allowed=True, instance_count=50)
    driver.set_endpoints(2)
    driver.handle(PeerMessage(6, endpoint_id(0) + bytes((0,))))
    driver.serve(3)
    driver.timer(LOAD_REPORT_TIMER)
    assert not [a for a in driver.log if isinstance(a, SendToPeer)]
