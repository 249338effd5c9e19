"""Which connections are trusted or preferred."""

from __future__ import annotations

from conftest import UNSAFE, Driver, sends

from alderspool.balancer.actions import (
    CloseIdle,
    Send,
    SetTimer,
)
from alderspool.balancer.events import (
    AttemptStatus,
)

S = AttemptStatus


def test_prefers_open_connections_where_connects_often_fail() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(3)
    (send,) = sends(d.request())
    d.outcome(send.id, 0, send.endpoint)  # one connection is open now
    assert len(set(d.serve(6))) == 3
    for s in d.endpoints.values():
        s.connections = int(s.id == send.endpoint)
    d.policies.connections.connect_failure_share = 0.5
    assert set(d.serve(6)) == {send.endpoint}
    d.request()
    assert sends(d.request())  # a preference: with none free, a new one is opened


def test_reopens_connections_idle_for_as_long_as_a_lost_one() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(1)
    d.serve(3)
    assert not [a for a in d.log if isinstance(a, CloseIdle)]
    d.now += 1000.0
    (send,) = sends(d.request())
    d.now += 300.0
    d.outcome(send.id, 0, send.endpoint, S.RESET)
    d.now += 500.0
    d.serve(1)
    d.now += 800.0
    assert [type(a) for a in d.request() if not isinstance(a, SetTimer)] == [CloseIdle, Send]
    d.policies.connections.connect_failure_share = 0.5  # but not where connects fail
    d.outcome(d.next_id, 0, send.endpoint)
    d.now += 800.0
    assert not [a for a in d.request() if isinstance(a, CloseIdle)]
