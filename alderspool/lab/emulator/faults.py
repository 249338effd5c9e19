"""The faults that the emulator can inject into an endpoint: how each begins and ends."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from alderspool.lab.emulator.endpoint import EmulatedEndpoint
from alderspool.lab.models.discovery import EndpointStatus

SLOW_FAULT_SLOWDOWN = 3.0


class FaultKind(StrEnum):
    """Kinds of fault."""

    CRASH = "crash"  # connections are reset, new ones refused; ends with a restart in slow start
    SILENCE = "silence"  # takes requests and never responds
    SLOW = "slow"  # a third of its speed
    DRAIN = "drain"  # ends as a deployment does: with a new process


@dataclass(frozen=True)
class Fault:
    """A fault of one endpoint: begins at `at_s` of the run and lasts `duration_s`."""

    at_s: float
    kind: FaultKind
    endpoint: int  # its number in the fleet
    duration_s: float


class StatusReporter(Protocol):
    """Reports the status of an endpoint to discovery."""

    def report(self, endpoint: EmulatedEndpoint, status: EndpointStatus) -> None:
        """Report that the endpoint has this status from now on."""


async def _crash(endpoint: EmulatedEndpoint, reporter: StatusReporter) -> None:
    endpoint.crash()
    reporter.report(endpoint, EndpointStatus.GONE)


async def _restart(endpoint: EmulatedEndpoint, reporter: StatusReporter) -> None:
    await endpoint.restart()
    reporter.report(endpoint, EndpointStatus.READY)


async def _begin_silence(endpoint: EmulatedEndpoint, reporter: StatusReporter) -> None:
    endpoint.model.is_silent = True


async def _end_silence(endpoint: EmulatedEndpoint, reporter: StatusReporter) -> None:
    endpoint.model.is_silent = False


async def _slow_down(endpoint: EmulatedEndpoint, reporter: StatusReporter) -> None:
    endpoint.model.slowdown = SLOW_FAULT_SLOWDOWN


async def _restore_speed(endpoint: EmulatedEndpoint, reporter: StatusReporter) -> None:
    endpoint.model.slowdown = 1.0


async def _drain(endpoint: EmulatedEndpoint, reporter: StatusReporter) -> None:
    endpoint.model.is_draining = True
    reporter.report(endpoint, EndpointStatus.DRAINING)


FaultStep = Callable[[EmulatedEndpoint, StatusReporter], Awaitable[None]]


@dataclass(frozen=True)
class FaultSteps:
    """What makes a fault begin, and what ends it."""

    begin: FaultStep
    end: FaultStep


FAULT_STEPS: dict[FaultKind, FaultSteps] = {
    FaultKind.CRASH: FaultSteps(_crash, _restart),
    FaultKind.SILENCE: FaultSteps(_begin_silence, _end_silence),
    FaultKind.SLOW: FaultSteps(_slow_down, _restore_speed),
    FaultKind.DRAIN: FaultSteps(_drain, _restart),
}
