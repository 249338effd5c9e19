"""The balancer as a whole: final responses, unusual events, determinism and refreshes."""

from __future__ import annotations

from conftest import UNSAFE, Driver, endpoint_id, final_actions, sends

from alderspool.balancer.actions import (
    Action,
    Fail,
    Reject,
)
from alderspool.balancer.events import (
    AttemptStatus,
    Availability,
    ClientDisconnected,
    EndpointEntry,
    HealthChecked,
    PeerMessage,
    UpdateMode,
)
from alderspool.balancer.timers import TimerKind, timer_token


def test_timeout_at_the_deadline_gets_one_final_response() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(2)
    (send,) = sends(driver.request())
    driver.now += 400.0
    assert driver.outcome(send.id, 0, send.endpoint, AttemptStatus.TIMEOUT) == [Fail(send.id)]
    assert driver.outcome(send.id, 0, send.endpoint, AttemptStatus.TIMEOUT) == []
    assert driver.handle(ClientDisconnected(send.id)) == []
    assert driver.lb.requests.pending == {}


def test_unusual_but_valid_events_have_defined_results() -> None:
    driver = Driver(peer_messages_allowed=True, instance_count=2)
    assert driver.outcome(99, 0, endpoint_id(0)) == []
    assert driver.handle(ClientDisconnected(99)) == []
    assert driver.timer(timer_token(TimerKind.HEDGE, 12345)) == []
    assert driver.handle(PeerMessage(7, b"?")) == []
    assert driver.handle(HealthChecked(endpoint_id(9), AttemptStatus.TIMEOUT, 1.0, (float("nan"),))) == []
    assert (
        driver.update_list(
            EndpointEntry(endpoint_id(5), availability=Availability.DRAINING), mode=UpdateMode.DELTA
        )
        == []
    )
    assert driver.endpoints == {}
    driver.update_list(
        EndpointEntry(endpoint_id(0), weight=0.0),
        EndpointEntry(endpoint_id(1), weight=float("nan"), started_at_ms=driver.now + 1e6),
    )
    assert final_actions(driver.request(time_left_ms=0.0)) == [Reject(1, 0.0)]
    assert final_actions(driver.request(time_left_ms=-5.0)) == [Reject(2, 0.0)]
    assert sends(driver.request(class_index=0))


def test_same_events_give_same_actions() -> None:
    def run() -> list[Action]:
        driver = Driver(seed=7, list_on_request=True)
        driver.update_list(mode=UpdateMode.FAILED)
        driver.set_endpoints(5)
        driver.serve(50)
        return driver.log

    assert run() == run()


def test_refreshes_less_often_when_requests_are_rare() -> None:
    driver = Driver()
    driver.set_endpoints(2)
    driver.serve(1)
    first_refresh_at = driver.lb.refresh.last_at
    driver.now += 200.0
    driver.serve(1)
    assert driver.lb.refresh.last_at == first_refresh_at
    driver.now += 300.0
    driver.serve(1)
    assert driver.lb.refresh.last_at == driver.now - 5.0
