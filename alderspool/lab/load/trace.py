"""Reads a plan from a trace of recorded arrivals.

A trace is a JSON Lines or CSV file with the fields `at` (in s), `class`, `tenant` and `key` (optional).
"""

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
    """An arrival and the number of its line in the file."""

    line: int
    arrival: Arrival


def read_trace(path: Path, traffic: Traffic) -> Plan:
    """Return the arrivals of a trace as a plan, sorted by time.

    Every class in the trace must be defined in `traffic`, which provides its deadline and idempotency.
    Raises InputError with a message that names the file, the line and the reason.
    """
    class_indices = {traffic_class.name: index for index, traffic_class in enumerate(traffic.classes)}
    tenant_indices: dict[str, int] = {}
    arrivals: list[Arrival] = []
    for numbered_arrival in _numbered_arrivals(path):
        arrival = numbered_arrival.arrival
        location = f"{path}:{numbered_arrival.line}"
        if arrival.request_class not in class_indices:
            raise InputError(
                f"{location}: class {arrival.request_class!r} is not one of {', '.join(class_indices)}"
            )
        if len(arrivals) >= MAX_PLANNED_REQUESTS:
            raise InputError(f"{location}: more than {MAX_PLANNED_REQUESTS} arrivals")
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
    """Yield the arrivals in the order of the file. Raises InputError."""
    line = 0
    try:
        with path.open(newline="") as file:
            trace_format = _FORMATS_BY_SUFFIX.get(path.suffix)
            if trace_format is None:
                raise InputError(
                    f"{path}: the name of a trace file must end in {' or '.join(_FORMATS_BY_SUFFIX)}"
                )
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
    """A row of the file that is not decoded yet. Rows with empty content are skipped."""

    line: int
    content: Any


class _TraceFormat(NamedTuple):
    """Functions that split a file into rows and decode the content of a row."""

    read_rows: Callable[[TextIO], Iterator[_Row]]
    decode: Callable[[Any], Arrival]


def _read_csv_rows(file: TextIO) -> Iterator[_Row]:
    reader = csv.DictReader(file)
    for fields in reader:
        yield _Row(reader.line_num, fields)


def _decode_csv_row(fields: dict[str, str]) -> Arrival:
    return msgspec.convert(fields, type=Arrival, strict=False)


def _read_json_rows(file: TextIO) -> Iterator[_Row]:
    for line, line_text in enumerate(file, 1):
        yield _Row(line, line_text.strip())


_FORMATS_BY_SUFFIX = {
    ".jsonl": _TraceFormat(_read_json_rows, msgspec.json.Decoder(Arrival).decode),
    ".csv": _TraceFormat(_read_csv_rows, _decode_csv_row),
}
