"""Graceful shutdown: every accepted request gets one complete response, whenever it arrives.

The first part tests the order and timing of the steps without sockets, in virtual time; the second part runs
the real program.
"""

from __future__ import annotations

import asyncio
import selectors
import signal
import time
from collections.abc import Coroutine
from enum import Enum

import pytest
from rig import SETTINGS, Rig, ScriptedServer, async_test, read_message, request

from alderspool.balancer.settings import RequestClass, Settings
from alderspool.program.graceful_shutdown import CHECK_INTERVAL_S, ShutdownBudget, shut_down

ACCEPT_S = 0.7  # new connections are accepted for this long after SIGTERM
POLL_INTERVAL_S = 0.005

# ---- without sockets ----------------------------------------------------------------------------


def settings_with_deadlines(*deadlines_ms: float) -> Settings:
    return Settings(classes=[RequestClass("c", 100.0, deadline_ms) for deadline_ms in deadlines_ms])


@pytest.mark.parametrize(
    ("deadlines_ms", "finish_s"),
    [
        pytest.param([300.0], 0.225, id="margin-is-a-quarter-of-a-short-deadline"),
        pytest.param([1000.0], 0.75, id="both-margins-are-equal-at-1-s"),
        pytest.param([2000.0], 1.75, id="margin-is-a-quarter-of-a-second"),
        pytest.param([300.0, 2000.0, 400.0], 1.75, id="longest-deadline-of-all-classes"),
        pytest.param([3000.0], 2.75, id="at-the-cap"),
        pytest.param([20000.0], 2.75, id="longer-deadline-counts-as-3-s"),
        pytest.param([300.0, 20000.0], 2.75, id="cap-applies-to-the-longest"),
    ],
)
def test_shutdown_budget_depends_on_the_longest_deadline(deadlines_ms: list[float], finish_s: float) -> None:
    budget = ShutdownBudget.from_settings(settings_with_deadlines(*deadlines_ms))
    assert budget.accept_s == ACCEPT_S
    assert budget.finish_s == pytest.approx(finish_s)
    assert budget.flush_s == 3.0
    assert budget.fail_pending_after_s == pytest.approx(ACCEPT_S + finish_s)
    assert budget.abort_after_s == pytest.approx(ACCEPT_S + finish_s + 3.0)


@pytest.mark.parametrize("deadline_ms", [1.0, 300.0, 999.0, 1000.0, 1001.0, 2999.0, 3000.0, 3001.0, 1e9])
def test_pending_requests_are_failed_before_the_earliest_sigkill(deadline_ms: float) -> None:
    budget = ShutdownBudget.from_settings(settings_with_deadlines(deadline_ms))
    earliest_sigkill_s = ACCEPT_S + min(deadline_ms / 1000.0, 3.0)
    assert ACCEPT_S < budget.fail_pending_after_s < earliest_sigkill_s


class Step(Enum):
    """The methods that the shutdown calls."""

    START_DRAINING = "start draining"
    STOP_ACCEPTING = "stop accepting"
    CLOSE_IDLE = "close idle"
    FAIL_PENDING = "fail pending"
    REJECT_INCOMPLETE = "reject incomplete"
    ABORT_ALL = "abort all"


class ShutdownRecorder:
    """Fake of the exchange and the listener that records the time of the first call of each method.

    `pending_until_s` is when the last request gets its response, and `open_until_s` when the last connection
    is closed, both in seconds of the loop's clock.
    """

    def __init__(self, pending_until_s: float = 0.0, open_until_s: float = 0.0) -> None:
        self._pending_until_s = pending_until_s
        self._open_until_s = open_until_s
        self.times_s: dict[Step, float] = {}

    def _record(self, step: Step) -> None:
        self.times_s.setdefault(step, asyncio.get_running_loop().time())

    @property
    def pending_count(self) -> int:
        return int(asyncio.get_running_loop().time() < self._pending_until_s)

    @property
    def open_count(self) -> int:
        return int(asyncio.get_running_loop().time() < self._open_until_s)

    def start_draining(self) -> None:
        self._record(Step.START_DRAINING)

    def stop_accepting(self) -> None:
        self._record(Step.STOP_ACCEPTING)

    def close_idle(self) -> None:
        self._record(Step.CLOSE_IDLE)

    def fail_pending(self) -> None:
        self._record(Step.FAIL_PENDING)

    def reject_incomplete(self) -> None:
        self._record(Step.REJECT_INCOMPLETE)

    def abort_all(self) -> None:
        self._record(Step.ABORT_ALL)


class VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances its clock by the timeout instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock that starts at 0: timers fire immediately, at their exact times."""

    def __init__(self) -> None:
        self._virtual_time = VirtualTimeSelector()
        super().__init__(self._virtual_time)

    def time(self) -> float:
        return self._virtual_time.now_s


def run_in_virtual_time(coroutine: Coroutine[None, None, None]) -> None:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(coroutine)


BUDGET = ShutdownBudget(accept_s=0.7, finish_s=2.75, flush_s=3.0)
NEVER_S = 1e9
CLOCK_TOLERANCE_S = 1e-6


def test_shutdown_ends_as_soon_as_accepting_stops_if_nothing_is_open() -> None:
    recorder = ShutdownRecorder()
    run_in_virtual_time(shut_down(recorder, recorder, BUDGET))
    assert list(recorder.times_s) == [
        Step.START_DRAINING,
        Step.STOP_ACCEPTING,
        Step.FAIL_PENDING,
        Step.ABORT_ALL,
    ]
    assert recorder.times_s[Step.START_DRAINING] == 0.0
    assert recorder.times_s[Step.STOP_ACCEPTING] == pytest.approx(0.7, abs=CLOCK_TOLERANCE_S)
    assert recorder.times_s[Step.ABORT_ALL] == recorder.times_s[Step.STOP_ACCEPTING]


def test_shutdown_steps_run_in_order_and_on_time_if_everything_hangs() -> None:
    recorder = ShutdownRecorder(pending_until_s=NEVER_S, open_until_s=NEVER_S)
    run_in_virtual_time(shut_down(recorder, recorder, BUDGET))
    assert list(recorder.times_s) == [
        Step.START_DRAINING,
        Step.STOP_ACCEPTING,
        Step.CLOSE_IDLE,
        Step.FAIL_PENDING,
        Step.REJECT_INCOMPLETE,
        Step.ABORT_ALL,
    ]
    for step, due_s in ((Step.STOP_ACCEPTING, 0.7), (Step.FAIL_PENDING, 3.45), (Step.ABORT_ALL, 6.45)):
        delay_s = recorder.times_s[step] - due_s
        assert -CLOCK_TOLERANCE_S <= delay_s <= CHECK_INTERVAL_S + CLOCK_TOLERANCE_S


@pytest.mark.parametrize(
    ("pending_until_s", "open_until_s"),
    [
        pytest.param(1.5, 0.0, id="last-request"),
        pytest.param(0.0, 1.5, id="last-connection"),
        pytest.param(1.5, 1.5, id="both"),
    ],
)
def test_shutdown_ends_after_the_last_request_and_connection(
    pending_until_s: float, open_until_s: float
) -> None:
    recorder = ShutdownRecorder(pending_until_s, open_until_s)
    run_in_virtual_time(shut_down(recorder, recorder, BUDGET))
    assert Step.REJECT_INCOMPLETE not in recorder.times_s
    for step in (Step.FAIL_PENDING, Step.ABORT_ALL):
        delay_s = recorder.times_s[step] - 1.5
        assert -CLOCK_TOLERANCE_S <= delay_s <= CHECK_INTERVAL_S + CLOCK_TOLERANCE_S


def test_shutdown_waits_for_the_responses_of_failed_requests_to_be_sent() -> None:
    recorder = ShutdownRecorder(pending_until_s=NEVER_S, open_until_s=5.0)
    run_in_virtual_time(shut_down(recorder, recorder, BUDGET))
    assert recorder.times_s[Step.FAIL_PENDING] == pytest.approx(
        3.45, abs=CHECK_INTERVAL_S + CLOCK_TOLERANCE_S
    )
    assert recorder.times_s[Step.REJECT_INCOMPLETE] == recorder.times_s[Step.FAIL_PENDING]
    delay_s = recorder.times_s[Step.ABORT_ALL] - 5.0
    assert -CLOCK_TOLERANCE_S <= delay_s <= CHECK_INTERVAL_S + CLOCK_TOLERANCE_S


# ---- the real program ---------------------------------------------------------------------------


async def status_of(reader: asyncio.StreamReader) -> int:
    return int((await read_message(reader))[0].split()[1])


async def start_shutdown(rig: Rig) -> float:
    """Send SIGTERM and wait until the proxy drains; return when the signal was sent."""
    sent_at_s = time.monotonic()
    rig.proxy.send_signal(signal.SIGTERM)
    while await rig.is_ready():
        await asyncio.sleep(POLL_INTERVAL_S)
    return sent_at_s


@async_test
@pytest.mark.parametrize("longest_deadline_ms", [300.0, 2000.0, 20000.0])
async def test_responds_before_the_earliest_sigkill_if_the_endpoint_hangs(longest_deadline_ms: float) -> None:
    """One request arrives before SIGTERM and one while connections are still accepted; the endpoint hangs.

    The deadlines of both requests are after the end of the shutdown. The shutdown waits for the longest
    deadline of the classes, but for no more than 3 s.
    """
    classes = [SETTINGS["classes"][1] | {"deadline_ms": longest_deadline_ms}]
    effective_deadline_s = min(longest_deadline_ms, 3000.0) / 1000.0
    async with Rig(ScriptedServer("s1", None), settings={"classes": classes}) as rig:
        before_sigterm = await rig.connect(request("pay", 60000))
        while not rig.endpoints[0].received_requests:
            await asyncio.sleep(POLL_INTERVAL_S)
        sent_at_s = await start_shutdown(rig)
        while_accepting = await rig.connect(request("pay", 60000))
        for reader, _ in (before_sigterm, while_accepting):
            assert await status_of(reader) == 504  # not rejected, as it may have run
        duration_s = time.monotonic() - sent_at_s
        assert duration_s > ACCEPT_S + 0.5 * effective_deadline_s  # not earlier than necessary
        assert duration_s < ACCEPT_S + effective_deadline_s + 0.5  # 0.5 s for a slow host
        assert await rig.proxy.wait() == 0


@async_test
async def test_serves_connections_in_the_accept_queue_when_it_stops_accepting() -> None:
    """The proxy is paused by SIGSTOP until it is due to stop accepting.

    Meanwhile the kernel queues connections for it, some with a complete request, some with half of one.
    """
    async with Rig(ScriptedServer("s1"), ScriptedServer("s2")) as rig:
        sent_at_s = await start_shutdown(rig)
        rig.proxy.send_signal(signal.SIGSTOP)
        complete_connections = [await rig.connect(request("pay")) for _ in range(20)]
        partial_connections = [await rig.connect(request("pay")[:40]) for _ in range(5)]
        await asyncio.sleep(sent_at_s + ACCEPT_S + 0.1 - time.monotonic())
        rig.proxy.send_signal(signal.SIGCONT)
        assert [await status_of(reader) for reader, _ in complete_connections] == [200] * 20
        for _, writer in partial_connections:
            # The rest of another request, which differs only in the id; any id will do.
            writer.write(request("pay")[40:])
        assert [await status_of(reader) for reader, _ in partial_connections] == [200] * 5
        assert await rig.proxy.wait() == 0


@async_test
async def test_serves_pipelined_requests_before_their_connection_ends() -> None:
    release = asyncio.Event()

    async def respond_when_released(scripted_server: ScriptedServer) -> bytes:
        await release.wait()
        return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

    async with Rig(ScriptedServer("s1", respond_when_released)) as rig:
        reader, _ = await rig.connect(request("pay") + request("pay") + request("look"))
        while not rig.endpoints[0].received_requests:
            await asyncio.sleep(POLL_INTERVAL_S)
        await start_shutdown(rig)
        release.set()
        responses = [await read_message(reader) for _ in range(3)]
        assert [status_line.split()[1] for status_line, _, _ in responses] == [b"200"] * 3
        assert [headers.get("connection") for _, headers, _ in responses] == [None, None, "close"]
        assert await reader.read() == b""
        assert await rig.proxy.wait() == 0


@async_test
async def test_incomplete_request_does_not_delay_the_shutdown_beyond_its_deadline() -> None:
    async with Rig(ScriptedServer("s1")) as rig:
        sent_at_s = await start_shutdown(rig)
        reader, writer = await rig.connect(request("pay")[:40])
        response = asyncio.create_task(reader.read())
        while not response.done():
            if not writer.is_closing():
                writer.write(b"x")
            await asyncio.sleep(0.1)
        assert b"HTTP/1.1 408" in response.result()
        assert await rig.proxy.wait() == 0
        assert time.monotonic() - sent_at_s < 10.0


@async_test
async def test_reads_input_received_during_a_pause_before_applying_the_idle_timeout() -> None:
    """The proxy has read half a request; the rest arrives while SIGSTOP pauses the proxy.

    The pause is longer than the idle timeout.
    """
    async with Rig(ScriptedServer("s1")) as rig:
        sent = request("pay")
        reader, writer = await rig.connect(sent[:40])
        assert await rig.is_ready()  # by now the proxy has read the half
        rig.proxy.send_signal(signal.SIGSTOP)
        writer.write(sent[40:])
        await asyncio.sleep(2.5)
        rig.proxy.send_signal(signal.SIGCONT)
        assert await status_of(reader) == 200
