"""The faults that the emulator can inject into an endpoint, and the actions that begin and end them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from alderspool.lab.emulator.endpoint import EmulatedEndpoint
from alderspool.lab.models.discovery import EndpointStatus

SLOW_FAULT_SLOWDOWN = 3.0


class FaultKind(StrEnum):
    """Kind of a fault."""

    CRASH = "crash"  # resets all connections and refuses new ones; ends with a restart in slow start
    SILENCE = "silence"  # accepts requests and never responds
    SLOW = "slow"  # runs at a third of its speed
    DRAIN = "drain"  # rejects new attempts; ends with a new process, as a deployment does


@dataclass(frozen=True)
class Fault:
    """A fault of one endpoint. Begins `at_s` after the start of the run and lasts for `duration_s`."""

    at_s: float
    kind: FaultKind
    endpoint: int  # index in the fleet's endpoints
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


FaultAction = Callable[[EmulatedEndpoint, StatusReporter], Awaitable[None]]


@dataclass(frozen=True)
class FaultActions:
    """The actions that begin and end a fault."""

    begin: FaultAction
    end: FaultAction


FAULT_ACTIONS: dict[FaultKind, FaultActions] = {
    FaultKind.CRASH: FaultActions(_crash, _restart),
    FaultKind.SILENCE: FaultActions(_begin_silence, _end_silence),
    FaultKind.SLOW: FaultActions(_slow_down, _restore_speed),
    FaultKind.DRAIN: FaultActions(_drain, _restart),
}
