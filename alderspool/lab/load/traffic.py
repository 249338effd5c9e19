"""Description of the traffic of a run, read from a TOML file. Keys are validated; errors fit on one line."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec

from alderspool.lab.errors import InputError

MAX_PLANNED_REQUESTS = 5_000_000  # in one run; keeps a rate or length in a wrong unit from exhausting memory

PositiveNumber = Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class Idempotency(StrEnum):
    """Whether repeating a request is safe. The values are those of the key `effect` in a traffic file."""

    IDEMPOTENT = "free"  # sent as GET
    NON_IDEMPOTENT = "once"  # sent as POST
    KEYED = "keyed"  # sent as POST with an idempotency key


class Shape(StrEnum):
    """How the rate varies over the run.

    With `CONSTANT`, arrivals are evenly spaced; with all others, they are a Poisson process.
    """

    CONSTANT = "constant"
    POISSON = "poisson"  # at a constant mean rate
    RAMP = "ramp"  # rises from zero to twice the mean
    WAVE = "wave"  # sine around the mean: amplitude `swing` x mean, period `period` s
    STEP = "step"  # mean - `swing` x mean in the first half, mean + `swing` x mean in the second
    EVENING = "evening"  # a Ramadan evening: low before sunset, then a steep rise to a long peak


class TrafficClass(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests. `share` is its weight relative to the other classes."""

    name: str
    share: PositiveNumber
    deadline_ms: PositiveNumber
    idempotency: Idempotency = msgspec.field(default=Idempotency.IDEMPOTENT, name="effect")


class TrafficTenant(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A tenant. `share` is its weight relative to the other tenants."""

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
    """The traffic of one run. `rate` is the mean in requests per second; `seconds` and `period` are in s."""

    rate: PositiveNumber = 100.0
    seconds: PositiveNumber = 10.0
    seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    shape: Shape = Shape.POISSON
    swing: Share = 0.3
    period: PositiveNumber = 10.0
    keys: Annotated[int, msgspec.Meta(ge=1, le=10**7)] = 1000  # number of distinct keys
    zipf: Annotated[float, msgspec.Meta(ge=0.0, le=5.0)] = 1.0  # Zipf exponent of the key frequencies
    classes: Annotated[list[TrafficClass], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=_default_classes
    )
    tenants: Annotated[list[TrafficTenant], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=_default_tenants
    )


def read_traffic(path: Path | None) -> Traffic:
    """Read the traffic from a TOML file; if `path` is None, return the default traffic.

    Raises InputError with a message that names the file, the key or line, and the reason.
    """
    if path is None:
        return Traffic()
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Traffic)
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:  # a ValidationError names the key; other errors name the line
        raise InputError(f"{path}: {error}") from error


def with_overrides(traffic: Traffic, **overrides: float | None) -> Traffic:
    """Return the traffic with command-line values in place of its own, validated in the same way.

    Overrides that are None are ignored. Raises InputError if a value is invalid or if rate x seconds exceeds
    MAX_PLANNED_REQUESTS.
    """
    given = {key: value for key, value in overrides.items() if value is not None}
    try:
        traffic = msgspec.convert(msgspec.to_builtins(traffic) | given, type=Traffic)
    except msgspec.ValidationError as error:
        raise InputError(f"command line: {error}") from error
    planned_requests = traffic.rate * traffic.seconds
    if planned_requests > MAX_PLANNED_REQUESTS:
        raise InputError(f"rate x seconds: {planned_requests:.0f} requests, maximum {MAX_PLANNED_REQUESTS}")
    return traffic
