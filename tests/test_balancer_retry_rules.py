"""Retry rules: where and until when a request may be retried, given its idempotency."""

from __future__ import annotations

import pytest
from conftest import UNSAFE, Driver, endpoint_id, final_actions, sends

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

NEVER_RAN_STATUSES = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NEVER_SENT)


MAY_HAVE_RUN_STATUSES = (
    AttemptStatus.ERROR,
    AttemptStatus.TIMEOUT,
    AttemptStatus.RESET,
    AttemptStatus.CANCELLED,
)


def _end_first_attempt(
    idempotency: Idempotency, deduplication_scope: DeduplicationScope, status: AttemptStatus
) -> tuple[Driver, list[Action]]:
    request_class = RequestClass(
        "c", 4000.0, 8000.0, idempotency, deduplication_scope, deduplication_window_ms=1000.0
    )
    driver = Driver([request_class], max_attempts=3)
    driver.update_list(*(EndpointEntry(endpoint_id(i), cell=i // 2, zone=i // 2) for i in range(6)))
    (send,) = sends(driver.request())
    driver.now += 20.0
    return driver, driver.outcome(send.id, 0, send.endpoint, status)


@pytest.mark.parametrize("status", NEVER_RAN_STATUSES)
@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_attempt_that_never_ran_is_retried_anywhere(idempotency: Idempotency, status: AttemptStatus) -> None:
    _, actions = _end_first_attempt(idempotency, DeduplicationScope.CELL, status)
    assert len(sends(actions)) == 1 and not final_actions(actions)


@pytest.mark.parametrize("status", MAY_HAVE_RUN_STATUSES)
def test_non_idempotent_request_that_may_have_run_fails_without_rejection(status: AttemptStatus) -> None:
    _, actions = _end_first_attempt(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, status)
    assert not sends(actions) and final_actions(actions) == [Fail(1)]


@pytest.mark.parametrize("status", MAY_HAVE_RUN_STATUSES)
@pytest.mark.parametrize("deduplication_scope", list(DeduplicationScope))
def test_keyed_request_that_may_have_run_stays_in_its_deduplication_scope(
    deduplication_scope: DeduplicationScope, status: AttemptStatus
) -> None:
    driver, actions = _end_first_attempt(Idempotency.KEYED, deduplication_scope, status)
    first, retry = sends(driver.log)[0], sends(actions)
    assert len(retry) == 1
    if deduplication_scope != DeduplicationScope.ALL:
        assert retry[0].endpoint[3] // 2 == first.endpoint[3] // 2
    driver.now += 1000.0  # after the deduplication window: no more attempts
    last = driver.outcome(1, 1, retry[0].endpoint, AttemptStatus.TIMEOUT)
    assert not sends(last)
    assert [type(a) for a in final_actions(last)] == [
        Reject if deduplication_scope == DeduplicationScope.ALL else Fail
    ]


def test_retry_is_sent_only_within_the_deduplication_window() -> None:
    """A retry may wait long for its connection after it was decided on. A first attempt has no such limit."""
    driver, actions = _end_first_attempt(Idempotency.KEYED, DeduplicationScope.CELL, AttemptStatus.RESET)
    assert len(sends(actions)) == 1
    assert driver.lb.may_begin(driver.now + 900.0, 1) and not driver.lb.may_begin(driver.now + 1000.0, 1)
    (first,) = sends(driver.request())
    assert driver.lb.may_begin(driver.now + 1000.0, first.id) and not driver.lb.may_begin(driver.now, 99)


@pytest.mark.parametrize("status", MAY_HAVE_RUN_STATUSES + NEVER_RAN_STATUSES)
def test_idempotent_request_is_retried_until_attempts_are_used_up(status: AttemptStatus) -> None:
    driver, actions = _end_first_attempt(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, status)
    driver.outcome(1, 1, sends(actions)[0].endpoint, status)
    third = sends(driver.log)[2]
    assert driver.outcome(1, 2, third.endpoint, status)[-1] == Reject(1, 0.0)


@pytest.mark.parametrize("may_have_run", [False, True])
def test_rejection_by_endpoint_proves_nothing_if_rejected_may_have_run(may_have_run: bool) -> None:
    guarded = RequestClass(
        "g", 200.0, 400.0, Idempotency.KEYED, DeduplicationScope.CELL, deduplication_window_ms=4000.0
    )
    driver = Driver([UNSAFE, guarded], rejected_may_have_run=may_have_run)
    driver.update_list(*(EndpointEntry(endpoint_id(i), cell=i) for i in range(4)))
    (send,) = sends(driver.request(0))
    actions = driver.outcome(send.id, 0, send.endpoint, AttemptStatus.REJECTED)
    assert (final_actions(actions) == [Fail(1)]) == may_have_run and bool(sends(actions)) != may_have_run
    (send,) = sends(driver.request(1))
    actions = driver.outcome(send.id, 0, send.endpoint, AttemptStatus.REJECTED)
    assert bool(sends(actions)) != may_have_run  # no other endpoint is in its cell
