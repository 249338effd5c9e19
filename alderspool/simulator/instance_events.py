"""Events that create or remove a Balancer instance; used only on the simulator's wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

from alderspool.balancer.events import Event
from alderspool.balancer.settings import Settings

InstanceId = NewType("InstanceId", int)


@dataclass(slots=True)
class InstanceStarted:
    """A new instance of the Balancer starts, without the state of an earlier one."""

    seed: int
    settings: Settings


@dataclass(slots=True)
class InstanceKilled:
    """The instance was killed; its state is lost."""


InstanceEvent = Event | InstanceStarted | InstanceKilled
