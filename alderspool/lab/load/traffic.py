"""What traffic is like, as read from a TOML file: every key is typed and checked, errors are one line."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec

from alderspool.lab.errors import InputError

MAX_PLANNED_REQUESTS = 5_000_000  # in one run: a mistake in a unit must not fill the memory

PositiveNumber = Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class Idempotency(StrEnum):
    """How often a request may be executed; the values are those of the file's key `effect`."""

    IDEMPOTENT = "free"  # sent as GET
    NON_IDEMPOTENT = "once"  # sent as POST
    KEYED = "keyed"  # sent as POST with an idempotency key


class Shape(StrEnum):
    """How the rate varies over the run.

    `CONSTANT` is evenly spaced; all others are Poisson arrivals.
    """

    CONSTANT = "constant"
    POISSON = "poisson"  # of an even rate
    RAMP = "ramp"  # from nothing to twice the mean
    WAVE = "wave"  # swings by `swing` of the mean every `period` seconds
    STEP = "step"  # `swing` below the mean in the first half, as much above it in the second
    EVENING = "evening"  # a Ramadan evening: a low before sunset, then a steep rise to a long peak


class TrafficClass(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests. `share` is relative to those of the other classes."""

    name: str
    share: PositiveNumber
    deadline_ms: PositiveNumber
    idempotency: Idempotency = msgspec.field(default=Idempotency.IDEMPOTENT, name="effect")


class TrafficTenant(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A tenant. `share` is relative to those of the other tenants."""

    name: str
    share: PositiveNumber


def _default_classes() -> list[TrafficClass]:
    return [
        TrafficClass("status-check", 0.40, 1000.0),
        TrafficClass("otp-send", 0.36, 750.0, Idempotency.NON_IDEMPOTENT),
        TrafficClass("batch-submit", 0.24, 2000.0, Idempotency.KEYED),
    ]


def _default_tenants() -> list[TrafficTenant]:
    return [TrafficTenant("large", 0.55), TrafficTenant("middle", 0.36), TrafficTenant("small", 0.09)]


class Traffic(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The traffic of one run. `rate` is the mean, in requests a second; `period` is in s."""

    rate: PositiveNumber = 100.0
    seconds: PositiveNumber = 10.0
    seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    shape: Shape = Shape.POISSON
    swing: Share = 0.3
    period: PositiveNumber = 10.0
    keys: Annotated[int, msgspec.Meta(ge=1, le=10**7)] = 1000  # distinct ones
    zipf: Annotated[float, msgspec.Meta(ge=0.0, le=5.0)] = 1.0  # exponent of the keys' frequencies
    classes: Annotated[list[TrafficClass], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=_default_classes
    )
    tenants: Annotated[list[TrafficTenant], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=_default_tenants
    )


def read_traffic(path: Path | None) -> Traffic:
    """Read the traffic of a file; without a file return the built-in one.

    Raises InputError with the file, the key and the reason.
    """
    if path is None:
        return Traffic()
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Traffic)
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:  # a ValidationError names the key, other errors the line
        raise InputError(f"{path}: {error}") from error


def with_overrides(traffic: Traffic, **overrides: float | None) -> Traffic:
    """Return the traffic with values of the command line in place of the file's, checked like these.

    An override that is None is not given. Raises InputError.
    """
    given = {key: value for key, value in overrides.items() if value is not None}
    try:
        traffic = msgspec.convert(msgspec.to_builtins(traffic) | given, type=Traffic)
    except msgspec.ValidationError as error:
        raise InputError(f"command line: {error}") from error
    planned_requests = traffic.rate * traffic.seconds
    if planned_requests > MAX_PLANNED_REQUESTS:
        raise InputError(f"rate x seconds: {planned_requests:.0f} requests, over {MAX_PLANNED_REQUESTS}")
    return traffic
