"""What a run came to: latencies in HDR histograms by class, tenant and outcome, and how late the tool was.

Latency counts from the planned moment of a request, also where the tool or a full connection table sent it
later: this is what a user would have waited. Lateness is the moment of sending less the planned moment. The
histograms are in microseconds.
"""

from __future__ import annotations

import json
from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from hdrh.log import HistogramLogWriter  # type: ignore[import-untyped]


class Outcome(StrEnum):
    """How a request ended."""

    SERVED = "served"  # 200
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other status
    TIMEOUT = "timeout"  # no complete response
    BROKEN = "broken"  # the connection ended, or the response is no HTTP
    UNCONNECTED = "unconnected"  # no connection


# A run whose 99th percentile of lateness is over this measured the tool, not the server.
MAX_LATENESS_US = 5000
LATENESS_PERCENTILE = 99.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

_MIN_RECORDED_US = 1
_MAX_RECORDED_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_TAG_SEPARATORS = str.maketrans(", \n", "___")  # characters that would end a tag in the log


class Tag(NamedTuple):
    """What the requests of one histogram have in common."""

    request_class: str
    tenant: str
    outcome: Outcome


class RequestRecord(NamedTuple):
    """One request; moments in s from the start of the run."""

    tag: Tag
    planned_s: float
    sent_s: float
    ended_s: float
    status: int  # 0: no response

    def to_document(self) -> dict[str, Any]:
        """Return the record in the form of `records.jsonl`."""
        return {
            "planned": self.planned_s,
            "sent": self.sent_s,
            "ended": self.ended_s,
            "class": self.tag.request_class,
            "tenant": self.tag.tenant,
            "outcome": self.tag.outcome,
            "status": self.status,
        }


class Summary(TypedDict):
    """What the commands print: times in ms, rates a second."""

    valid: bool
    planned: int
    answered: int
    per_second: float
    cpu_us_per_request: float
    outcomes: dict[str, int]
    latency_ms: dict[str, float]
    served_ms: dict[str, float]
    lateness_ms: dict[str, float]
    by: list[dict[str, Any]]  # class, tenant, outcome, count and percentiles


@dataclass(frozen=True)
class EncodedResult:
    """A result as values that can be sent between processes."""

    started_at_s: float
    cpu_s: float
    duration_s: float
    latency_by_tag: dict[Tag, bytes]
    lateness: bytes
    records: list[RequestRecord]


def create_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(_MIN_RECORDED_US, _MAX_RECORDED_US, _SIGNIFICANT_DIGITS)


class Result:
    """Histograms and records of a run. Those of several workers can be added up."""

    def __init__(self, planned: int) -> None:
        self.planned = planned
        self.started_at_s = 0.0  # wall clock
        self.cpu_s = 0.0  # of all workers
        self.duration_s = 0.0  # of the longest worker
        self.latency_by_tag: dict[Tag, HdrHistogram] = {}
        self.lateness = create_histogram()
        self.records: list[RequestRecord] = []

    def count(self, record: RequestRecord) -> None:
        """Take up one request."""
        latency = self.latency_by_tag.get(record.tag)
        if latency is None:
            latency = create_histogram()
            self.latency_by_tag[record.tag] = latency
        latency.record_value(_microseconds(record.ended_s - record.planned_s))
        self.lateness.record_value(_microseconds(record.sent_s - record.planned_s))
        self.records.append(record)

    def encode(self) -> EncodedResult:
        """Return the result for another process, which takes it by `add`."""
        latency_by_tag = {tag: histogram.encode() for tag, histogram in self.latency_by_tag.items()}
        return EncodedResult(
            self.started_at_s,
            self.cpu_s,
            self.duration_s,
            latency_by_tag,
            self.lateness.encode(),
            self.records,
        )

    def add(self, encoded: EncodedResult) -> None:
        """Add the result of one worker."""
        self.started_at_s = encoded.started_at_s
        self.cpu_s += encoded.cpu_s
        self.duration_s = max(self.duration_s, encoded.duration_s)
        for tag, histogram in encoded.latency_by_tag.items():
            self.latency_by_tag.setdefault(tag, create_histogram()).decode_and_add(histogram)
        self.lateness.decode_and_add(encoded.lateness)
        self.records += encoded.records

    def merged_latency(self, outcomes: Collection[Outcome] = tuple(Outcome)) -> HdrHistogram:
        """Return the latencies of these outcomes, all classes and tenants together."""
        merged = create_histogram()
        for tag, histogram in self.latency_by_tag.items():
            if tag.outcome in outcomes:
                merged.add(histogram)
        return merged

    @property
    def is_valid(self) -> bool:
        """Whether the tool kept its own time, so that the run says something of the server."""
        lateness_us: int = self.lateness.get_value_at_percentile(LATENESS_PERCENTILE)
        return lateness_us <= MAX_LATENESS_US

    def summary(self) -> Summary:
        """Return the figures that the commands print."""
        counts: dict[str, int] = {outcome.value: 0 for outcome in Outcome}
        for tag, histogram in self.latency_by_tag.items():
            counts[tag.outcome.value] += histogram.get_total_count()
        ended = sum(counts.values())
        return {
            "valid": self.is_valid,
            "planned": self.planned,
            "answered": ended,
            "per_second": round(ended / self.duration_s, 1) if self.duration_s else 0.0,
            "cpu_us_per_request": round(1e6 * self.cpu_s / ended, 1) if ended else 0.0,
            "outcomes": counts,
            "latency_ms": _percentiles(self.merged_latency()),
            "served_ms": _percentiles(self.merged_latency([Outcome.SERVED])),
            "lateness_ms": _percentiles(self.lateness),
            "by": [_summary_row(tag, histogram) for tag, histogram in sorted(self.latency_by_tag.items())],
        }


def _microseconds(seconds: float) -> int:
    return min(max(int(seconds * 1e6), _MIN_RECORDED_US), _MAX_RECORDED_US)


def _summary_row(tag: Tag, histogram: HdrHistogram) -> dict[str, Any]:
    row = {
        "class": tag.request_class,
        "tenant": tag.tenant,
        "outcome": tag.outcome.value,
        "count": histogram.get_total_count(),
    }
    return row | _percentiles(histogram)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return percentiles and maximum in ms; nothing for an empty histogram."""
    if not histogram.get_total_count():
        return {}
    figures = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000.0
        for percentile in PERCENTILES
    }
    return figures | {"max": histogram.get_max_value() / 1000.0}


def write_result(folder: Path, result: Result) -> None:
    """Write `latency.hlog` (a tagged interval for each histogram), `records.jsonl` and `summary.json`."""
    folder.mkdir(parents=True, exist_ok=True)
    _write_histogram_log(folder / "latency.hlog", result)
    with (folder / "records.jsonl").open("w") as file:
        for record in sorted(result.records, key=lambda record: record.planned_s):
            file.write(json.dumps(record.to_document()) + "\n")
    (folder / "summary.json").write_text(json.dumps(result.summary(), indent=2) + "\n")


def _write_histogram_log(path: Path, result: Result) -> None:
    started_at_s = result.started_at_s
    ended_at_s = started_at_s + result.duration_s
    with path.open("w") as file:
        log = HistogramLogWriter(file)
        log.output_log_format_version()
        # As precise as the intervals: readers skip what begins before this moment.
        log.output_comment(f"[StartTime: {started_at_s:f} (seconds since epoch)]")
        log.output_legend()
        for tag, histogram in sorted(result.latency_by_tag.items()):
            file.write(f"Tag={'/'.join(tag).translate(_TAG_SEPARATORS)},")  # the library only reads tags
            log.output_interval_histogram(histogram, started_at_s, ended_at_s)
