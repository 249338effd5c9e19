"""Tests the table of pending requests: ids, states, removal and deadlines."""

from __future__ import annotations

import asyncio

import pytest
from rig import async_test

from alderspool.routing.abandoned_request_ids import KEPT_MS, MAX_IDS, AbandonedRequestIds
from alderspool.routing.clock import Clock
from alderspool.routing.messages import ClientRequest
from alderspool.routing.pending_requests import (
    MAX_REQUEST_ID,
    PendingRequest,
    PendingRequestTable,
    PendingState,
)

LONG_TIME_LEFT_MS = 20000.0
RESPONSE_SLACK_MS = 10.0
FINAL_STATES = [state for state in PendingState if state is not PendingState.AWAITING_RESPONSE]


class Setup:
    """A table of pending requests that records its callbacks."""

    def __init__(self) -> None:
        self.past_deadline: list[PendingRequest] = []
        self.overdue: list[PendingRequest] = []
        self.was_overdue = asyncio.Event()
        self.table = PendingRequestTable(
            Clock(), RESPONSE_SLACK_MS, on_deadline=self.past_deadline.append, on_overdue=self._on_overdue
        )

    def _on_overdue(self, pending: PendingRequest) -> None:
        self.overdue.append(pending)
        self.was_overdue.set()

    def add(
        self, time_left_ms: float = LONG_TIME_LEFT_MS, client_request_id: bytes = b"r-1"
    ) -> PendingRequest:
        request = ClientRequest(0, 0, 0, time_left_ms, "payload", client_request_id)
        return self.table.add(request, lambda response: None, time_left_ms)


def for_each_final_state(test):
    return pytest.mark.parametrize("state", FINAL_STATES, ids=lambda state: state.value)(test)


@async_test
async def test_added_request_awaits_its_response() -> None:
    setup = Setup()

    pending = setup.add()

    assert setup.table.get(pending.id) is pending
    assert setup.table.awaiting_response == [pending]
    assert setup.table.has_client_request_id(b"r-1")
    assert not setup.table.is_concluded(pending.id)
    assert pending.state is PendingState.AWAITING_RESPONSE


@async_test
async def test_request_ids_start_at_1_and_wrap_around_to_1() -> None:
    setup = Setup()
    assert setup.add().id == 1
    setup.table._last_id = MAX_REQUEST_ID - 1

    assert [setup.add().id, setup.add().id] == [MAX_REQUEST_ID, 1]


@for_each_final_state
@async_test
async def test_request_is_concluded_once(state: PendingState) -> None:
    setup = Setup()
    pending = setup.add()

    assert setup.table.conclude(pending, state)
    assert pending.is_concluded
    assert setup.table.is_concluded(pending.id)
    assert setup.table.awaiting_response == []

    for later_state in FINAL_STATES:
        assert not setup.table.conclude(pending, later_state)
    assert pending.state is state


@async_test
async def test_request_without_conclusion_stays_in_the_table() -> None:
    setup = Setup()
    pending = setup.add()

    setup.table.remove_if_finished(pending)

    assert setup.table.get(pending.id) is pending


@async_test
async def test_concluded_request_stays_in_the_table_until_its_attempts_have_ended() -> None:
    setup = Setup()
    pending = setup.add()
    pending.running_attempts = 1
    setup.table.conclude(pending, PendingState.SERVED)

    setup.table.remove_if_finished(pending)
    assert len(setup.table) == 1
    assert setup.table.has_client_request_id(b"r-1")

    pending.running_attempts = 0
    setup.table.remove_if_finished(pending)
    setup.table.remove_if_finished(pending)
    assert len(setup.table) == 0
    assert setup.table.get(pending.id) is None
    assert not setup.table.has_client_request_id(b"r-1")
    assert pending.timer.cancelled()


@async_test
async def test_unknown_request_counts_as_concluded() -> None:
    assert Setup().table.is_concluded(7)


@async_test
async def test_request_is_overdue_once_the_response_slack_after_its_deadline_has_passed() -> None:
    setup = Setup()
    pending = setup.add(time_left_ms=5.0)
    loop = asyncio.get_running_loop()
    submitted_at = loop.time()

    await setup.was_overdue.wait()

    assert setup.past_deadline == [pending]
    assert setup.overdue == [pending]
    assert loop.time() - submitted_at >= RESPONSE_SLACK_MS / 1000.0


@async_test
async def test_request_that_is_concluded_by_its_deadline_is_not_overdue() -> None:
    setup = Setup()
    concluded = setup.add(time_left_ms=5.0)
    concluded.running_attempts = 1  # keeps it in the table
    setup.table.conclude(concluded, PendingState.FAILED)
    control = setup.add(time_left_ms=10.0)

    await setup.was_overdue.wait()

    assert setup.past_deadline == [concluded, control]
    assert setup.overdue == [control]


@async_test
async def test_deadline_callback_is_not_called_for_a_removed_request() -> None:
    setup = Setup()
    removed = setup.add(time_left_ms=5.0)
    setup.table.conclude(removed, PendingState.SERVED)
    setup.table.remove_if_finished(removed)
    control = setup.add(time_left_ms=10.0)

    await setup.was_overdue.wait()

    assert setup.past_deadline == [control]


# ---- ids of requests whose clients have left -------------------------------------------------------------


def test_abandoned_id_is_forgotten_after_its_time() -> None:
    ids = AbandonedRequestIds()
    ids.record(b"r-1", now=0.0)
    assert ids.contains(b"r-1", KEPT_MS - 1.0)
    assert not ids.contains(b"r-1", KEPT_MS)
    ids.record(b"r-2", now=KEPT_MS)
    assert len(ids) == 1


def test_abandoned_ids_are_limited_in_number() -> None:
    """Guards against memory that grows with ever new ids."""
    ids = AbandonedRequestIds()
    for number in range(MAX_IDS + 1):
        ids.record(b"%d" % number, now=0.0)
    assert len(ids) == MAX_IDS
    assert not ids.contains(b"0", 0.0)
    assert ids.contains(b"%d" % MAX_IDS, 0.0)
