"""Events that concern a Balancer instance as a whole (the simulator's wire only)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NewType

from alderspool.balancer.events import Event
from alderspool.balancer.settings import Settings

InstanceId = NewType("InstanceId", int)


@dataclass(slots=True)
class InstanceStarted:
    """A new instance of the Balancer is to be created, without any state."""

    seed: int
    settings: Settings


@dataclass(slots=True)
class InstanceKilled:
    """The instance is dead, with all its state."""


InstanceEvent = Event | InstanceStarted | InstanceKilled
