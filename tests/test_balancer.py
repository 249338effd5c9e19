"""The balancer as a whole: odd events, final responses, refresh, determinism."""

from __future__ import annotations

from conftest import UNSAFE, Driver, endpoint_id, finals, sends

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

S = AttemptStatus


def test_timeout_at_the_deadline_gets_one_final_response() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(2)
    (send,) = sends(d.request())
    d.now += 400.0
    assert d.outcome(send.id, 0, send.endpoint, S.TIMEOUT) == [Fail(send.id)]
    assert d.outcome(send.id, 0, send.endpoint, S.TIMEOUT) == []
    assert d.handle(ClientDisconnected(send.id)) == []
    assert d.lb.requests.pending == {}


def test_odd_but_legal_events_have_defined_results() -> None:
    d = Driver(peer_messages_allowed=True, instance_count=2)
    assert d.outcome(99, 0, endpoint_id(0)) == []
    assert d.handle(ClientDisconnected(99)) == []
    assert d.timer(timer_token(TimerKind.HEDGE, 12345)) == []
    assert d.handle(PeerMessage(7, b"?")) == []
    assert d.handle(HealthChecked(endpoint_id(9), S.TIMEOUT, 1.0, (float("nan"),))) == []
    assert (
        d.update_list(
            EndpointEntry(endpoint_id(5), availability=Availability.DRAINING), mode=UpdateMode.DELTA
        )
        == []
    )
    assert d.endpoints == {}
    d.update_list(
        EndpointEntry(endpoint_id(0), weight=0.0),
        EndpointEntry(endpoint_id(1), weight=float("nan"), started_at_ms=d.now + 1e6),
    )
    assert finals(d.request(left=0.0)) == [Reject(1, 0.0)]
    assert finals(d.request(left=-5.0)) == [Reject(2, 0.0)]
    assert sends(d.request(cls=0))


def test_same_events_give_same_actions() -> None:
    def run() -> list[Action]:
        d = Driver(seed=7, list_on_request=True)
        d.update_list(mode=UpdateMode.FAILED)
        d.list_endpoints(5)
        d.serve(50)
        return d.log

    assert run() == run()


def test_refreshes_less_often_where_few_requests_come() -> None:
    d = Driver()
    d.list_endpoints(2)
    d.serve(1)
    at = d.lb.refresh.last_at
    d.now += 200.0
    d.serve(1)
    assert d.lb.refresh.last_at == at
    d.now += 300.0
    d.serve(1)
    assert d.lb.refresh.last_at == d.now - 5.0
