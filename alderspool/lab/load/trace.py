"""Recorded arrivals as a plan: JSON lines or CSV with `at` (s), `class`, `tenant`, `key`."""

from __future__ import annotations

import csv
from collections.abc import Callable, Iterator
from operator import attrgetter
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TextIO

import msgspec
import numpy as np

from alderspool.lab.errors import InputError
from alderspool.lab.load.plan import Plan
from alderspool.lab.load.traffic import MAX_PLANNED_REQUESTS, Traffic


class Arrival(msgspec.Struct, forbid_unknown_fields=True):
    """One recorded arrival."""

    at_s: Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = msgspec.field(name="at")
    request_class: str = msgspec.field(name="class")
    tenant: str
    key: Annotated[int, msgspec.Meta(ge=0)] = 0


class NumberedArrival(msgspec.Struct):
    """An arrival with its place in the file."""

    line: int
    arrival: Arrival


def read_trace(path: Path, traffic: Traffic) -> Plan:
    """Read the plan of a trace, in order of time.

    The classes of the trace must be among those of the traffic, which have the deadline and the idempotency.
    Raises InputError with the file, the line and the reason.
    """
    class_indices = {traffic_class.name: index for index, traffic_class in enumerate(traffic.classes)}
    tenant_indices: dict[str, int] = {}
    arrivals: list[Arrival] = []
    for numbered in _numbered_arrivals(path):
        arrival = numbered.arrival
        place = f"{path}:{numbered.line}"
        if arrival.request_class not in class_indices:
            raise InputError(
                f"{place}: class {arrival.request_class!r} is none of {', '.join(class_indices)}"
            )
        if len(arrivals) >= MAX_PLANNED_REQUESTS:
            raise InputError(f"{place}: over {MAX_PLANNED_REQUESTS} arrivals")
        tenant_indices.setdefault(arrival.tenant, len(tenant_indices))
        arrivals.append(arrival)
    if not arrivals:
        raise InputError(f"{path}: no arrivals")
    arrivals.sort(key=attrgetter("at_s"))
    return Plan(
        at_s=np.array([arrival.at_s for arrival in arrivals]),
        class_index=np.array([class_indices[arrival.request_class] for arrival in arrivals]),
        tenant_index=np.array([tenant_indices[arrival.tenant] for arrival in arrivals]),
        key=np.array([arrival.key for arrival in arrivals]),
        classes=traffic.classes,
        tenants=list(tenant_indices),
    )


def _numbered_arrivals(path: Path) -> Iterator[NumberedArrival]:
    """Read the arrivals in the file's order. Raises InputError."""
    line = 0
    try:
        with path.open(newline="") as file:
            trace_format = _FORMATS.get(path.suffix)
            if trace_format is None:
                raise InputError(f"{path}: a trace ends in {' or '.join(_FORMATS)}")
            for row in trace_format.read_rows(file):
                line = row.line
                if row.content:
                    yield NumberedArrival(line, trace_format.decode(row.content))
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise InputError(f"{path}:{line + 1}: not UTF-8") from error
    except (msgspec.DecodeError, csv.Error) as error:
        raise InputError(f"{path}:{line}: {error}") from error


class _Row(NamedTuple):
    """A row of the file, not decoded yet; one without content is skipped."""

    line: int
    content: Any


class _TraceFormat(NamedTuple):
    """How a file is split into rows, and how a row's content is decoded."""

    read_rows: Callable[[TextIO], Iterator[_Row]]
    decode: Callable[[Any], Arrival]


def _read_csv_rows(file: TextIO) -> Iterator[_Row]:
    reader = csv.DictReader(file)
    for fields in reader:
        yield _Row(reader.line_num, fields)


def _decode_csv_row(fields: dict[str, str]) -> Arrival:
    return msgspec.convert(fields, type=Arrival, strict=False)


def _read_json_rows(file: TextIO) -> Iterator[_Row]:
    for line, text in enumerate(file, 1):
        yield _Row(line, text.strip())


_FORMATS = {
    ".jsonl": _TraceFormat(_read_json_rows, msgspec.json.Decoder(Arrival).decode),
    ".csv": _TraceFormat(_read_csv_rows, _decode_csv_row),
}
