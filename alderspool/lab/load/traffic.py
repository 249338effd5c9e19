"""What traffic is like, as read from a TOML file: every key typed and checked, a fault named in one line."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from alderspool.lab.errors import LabError

Positive = Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
Part = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class Class(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`effect`: free (GET), once (POST, must never run twice) or keyed (POST with an idempotency key)."""

    name: str
    share: Positive
    deadline_ms: Positive
    idempotency: Literal["free", "once", "keyed"] = "free"


class Tenant(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    name: str
    share: Positive


class Traffic(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`rate`: mean requests a second. `shape`: how it varies over `seconds`.

    `constant` is evenly spaced; all others are Poisson arrivals of a rate that is even (`poisson`), rises
    from nothing to twice the mean (`ramp`), swings by `swing` of the mean every `period` seconds (`wave`), is
    `swing` above the mean in the second half and as much below in the first (`step`), or follows a Ramadan
    evening (`evening`): a lull before sunset, then a steep rise to a long peak.
    """

    rate: Positive = 100.0
    seconds: Positive = 10.0
    seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    shape: Literal["constant", "poisson", "ramp", "wave", "step", "evening"] = "poisson"
    swing: Part = 0.3
    period: Positive = 10.0
    keys: Annotated[int, msgspec.Meta(ge=1, le=10**7)] = 1000
    zipf: Annotated[float, msgspec.Meta(ge=0.0, le=5.0)] = 1.0
    classes: Annotated[list[Class], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [
            Class("status-check", 0.40, 1000.0),
            Class("otp-send", 0.36, 750.0, "once"),
            Class("batch-submit", 0.24, 2000.0, "keyed"),
        ]
    )
    tenants: Annotated[list[Tenant], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [Tenant("large", 0.55), Tenant("middle", 0.36), Tenant("small", 0.09)]
    )


MOST_PLANNED = 5_000_000  # requests in one run: a slip in the units must not fill the memory


def read_traffic(path: Path | None) -> Traffic:
    """The file's traffic; without a file the built-in one. Raises LabError with file, key and reason."""
    if path is None:
        return Traffic()
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Traffic)
    except OSError as fault:
        raise LabError(f"{path}: {fault.strerror}") from None
    except msgspec.DecodeError as fault:  # a ValidationError names the key, other faults the line
        raise LabError(f"{path}: {fault}") from None


def with_overrides(traffic: Traffic, **changes: float | int | None) -> Traffic:
    """The traffic with what the command line says in place of the file's, checked alike."""
    given = {key: value for key, value in changes.items() if value is not None}
    try:
        traffic = msgspec.convert(msgspec.to_builtins(traffic) | given, type=Traffic)
    except msgspec.ValidationError as fault:
        raise LabError(f"command line: {fault}") from None
    if traffic.rate * traffic.seconds > MOST_PLANNED:
        raise LabError(f"rate x seconds: {traffic.rate * traffic.seconds:.0f} requests, over {MOST_PLANNED}")
    return traffic
