"""Where and when a request may have a further attempt, by its idempotency."""

from __future__ import annotations

import pytest
from conftest import UNSAFE, Driver, endpoint_id, finals, sends

from alderspool.balancer.actions import (
    Action,
    Fail,
    Reject,
)
from alderspool.balancer.events import (
    AttemptStatus,
    EndpointEntry,
)
from alderspool.balancer.settings import DeduplicationScope, Idempotency, RequestClass

S = AttemptStatus


NEVER = (S.REJECTED, S.CONNECT_FAILED, S.NEVER_SENT)


MAYBE = (S.ERROR, S.TIMEOUT, S.RESET, S.CANCELLED)


def _effect_case(
    idempotency: Idempotency, deduplication_scope: DeduplicationScope, status: S
) -> tuple[Driver, list[Action]]:
    c = RequestClass("c", 4000.0, 8000.0, idempotency, deduplication_scope, deduplication_window_ms=1000.0)
    d = Driver([c], max_attempts=3)
    d.update_list(*(EndpointEntry(endpoint_id(i), cell=i // 2, zone=i // 2) for i in range(6)))
    (send,) = sends(d.request())
    d.now += 20.0
    return d, d.outcome(send.id, 0, send.endpoint, status)


@pytest.mark.parametrize("status", NEVER)
@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_attempt_that_never_ran_is_retried_anywhere(idempotency: Idempotency, status: S) -> None:
    _, actions = _effect_case(idempotency, DeduplicationScope.CELL, status)
    assert len(sends(actions)) == 1 and not finals(actions)


@pytest.mark.parametrize("status", MAYBE)
def test_non_idempotent_that_may_have_run_fails_without_rejection(status: S) -> None:
    _, actions = _effect_case(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, status)
    assert not sends(actions) and finals(actions) == [Fail(1)]


@pytest.mark.parametrize("status", MAYBE)
@pytest.mark.parametrize("deduplication_scope", list(DeduplicationScope))
def test_keyed_that_may_have_run_stays_in_its_deduplication_scope(
    deduplication_scope: DeduplicationScope, status: S
) -> None:
    d, actions = _effect_case(Idempotency.KEYED, deduplication_scope, status)
    first, again = sends(d.log)[0], sends(actions)
    assert len(again) == 1
    if deduplication_scope != DeduplicationScope.ALL:
        assert again[0].endpoint[3] // 2 == first.endpoint[3] // 2
    d.now += 1000.0  # past the memory of the first send: no more attempts
    last = d.outcome(1, 1, again[0].endpoint, S.TIMEOUT)
    assert not sends(last)
    assert [type(a) for a in finals(last)] == [
        Reject if deduplication_scope == DeduplicationScope.ALL else Fail
    ]


def test_retry_begins_only_within_the_deduplication_window() -> None:
    """Decided in time, it then waited for its connection. Of a first attempt nothing is remembered."""
    d, actions = _effect_case(Idempotency.KEYED, DeduplicationScope.CELL, S.RESET)
    assert len(sends(actions)) == 1
    assert d.lb.may_begin(d.now + 900.0, 1) and not d.lb.may_begin(d.now + 1000.0, 1)
    (first,) = sends(d.request())
    assert d.lb.may_begin(d.now + 1000.0, first.id) and not d.lb.may_begin(d.now, 99)


@pytest.mark.parametrize("status", MAYBE + NEVER)
def test_idempotent_is_retried_until_attempts_are_used_up(status: S) -> None:
    d, actions = _effect_case(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, status)
    d.outcome(1, 1, sends(actions)[0].endpoint, status)
    third = sends(d.log)[2]
    assert d.outcome(1, 2, third.endpoint, status)[-1] == Reject(1, 0.0)


@pytest.mark.parametrize("may_have_run", [False, True])
def test_rejection_by_endpoint_proves_nothing_where_stated(may_have_run: bool) -> None:
    guarded = RequestClass(
        "g", 200.0, 400.0, Idempotency.KEYED, DeduplicationScope.CELL, deduplication_window_ms=4000.0
    )
    d = Driver([UNSAFE, guarded], rejected_may_have_run=may_have_run)
    d.update_list(*(EndpointEntry(endpoint_id(i), cell=i) for i in range(4)))
    (s,) = sends(d.request(0))
    actions = d.outcome(s.id, 0, s.endpoint, S.REJECTED)
    assert (finals(actions) == [Fail(1)]) == may_have_run and bool(sends(actions)) != may_have_run
    (s,) = sends(d.request(1))
    actions = d.outcome(s.id, 0, s.endpoint, S.REJECTED)
    assert bool(sends(actions)) != may_have_run  # no other server is in its cell
