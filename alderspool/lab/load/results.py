"""Results of a run: HDR histograms of the latencies by class, tenant and outcome, and of the send lateness.

Latency is measured from the planned time of a request, even if the load generator sent it later: this is how
long a user would have waited. Lateness is the time at which a request was sent minus its planned time. The
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
    TIMEOUT = "timeout"  # no complete response in time
    BROKEN = "broken"  # the connection failed, or the response is not valid HTTP
    UNCONNECTED = "unconnected"  # no connection could be opened


# A run with a higher 99th percentile of lateness is invalid: it measured the load generator, not the server.
MAX_LATENESS_US = 5000
LATENESS_PERCENTILE = 99.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

_MIN_RECORDED_US = 1
_MAX_RECORDED_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_TAG_SEPARATORS = str.maketrans(", \n", "___")  # characters that end a tag in the histogram log


class Tag(NamedTuple):
    """Key of a latency histogram: the class, tenant and outcome of its requests."""

    request_class: str
    tenant: str
    outcome: Outcome


class RequestRecord(NamedTuple):
    """A finished request; times in s since the start of the run."""

    tag: Tag
    planned_s: float
    sent_s: float
    ended_s: float
    status: int  # 0 if there was no response

    def to_json_object(self) -> dict[str, Any]:
        """Return the record as an object for `records.jsonl`."""
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
    """Summary of a run, as printed by the commands. Latencies and lateness are in ms."""

    valid: bool
    planned: int
    answered: int
    per_second: float
    cpu_us_per_request: float
    outcomes: dict[str, int]
    latency_ms: dict[str, float]
    served_ms: dict[str, float]
    lateness_ms: dict[str, float]
    by: list[dict[str, Any]]  # one row per histogram: class, tenant, outcome, count and percentiles in ms


@dataclass(frozen=True)
class EncodedResult:
    """A worker's result in a form that can be sent to another process."""

    started_at_s: float
    cpu_s: float
    duration_s: float
    latency_by_tag: dict[Tag, bytes]
    lateness: bytes
    records: list[RequestRecord]


def create_histogram() -> HdrHistogram:
    """Return an empty histogram for values in microseconds."""
    return HdrHistogram(_MIN_RECORDED_US, _MAX_RECORDED_US, _SIGNIFICANT_DIGITS)


class Result:
    """Histograms and records of a run or of one worker. Results of several workers can be merged."""

    def __init__(self, planned: int) -> None:
        self.planned = planned
        self.started_at_s = 0.0  # wall clock, in s since the epoch
        self.cpu_s = 0.0  # total of all workers
        self.duration_s = 0.0  # of the worker that took longest
        self.latency_by_tag: dict[Tag, HdrHistogram] = {}
        self.lateness = create_histogram()
        self.records: list[RequestRecord] = []

    def add_record(self, record: RequestRecord) -> None:
        """Add a finished request."""
        latency = self.latency_by_tag.get(record.tag)
        if latency is None:
            latency = create_histogram()
            self.latency_by_tag[record.tag] = latency
        latency.record_value(_to_recordable_us(record.ended_s - record.planned_s))
        self.lateness.record_value(_to_recordable_us(record.sent_s - record.planned_s))
        self.records.append(record)

    def encode(self) -> EncodedResult:
        """Return the result in a form for another process, which passes it to `merge`."""
        latency_by_tag = {tag: histogram.encode() for tag, histogram in self.latency_by_tag.items()}
        return EncodedResult(
            self.started_at_s,
            self.cpu_s,
            self.duration_s,
            latency_by_tag,
            self.lateness.encode(),
            self.records,
        )

    def merge(self, encoded: EncodedResult) -> None:
        """Add the result of one worker."""
        self.started_at_s = encoded.started_at_s
        self.cpu_s += encoded.cpu_s
        self.duration_s = max(self.duration_s, encoded.duration_s)
        for tag, histogram in encoded.latency_by_tag.items():
            self.latency_by_tag.setdefault(tag, create_histogram()).decode_and_add(histogram)
        self.lateness.decode_and_add(encoded.lateness)
        self.records += encoded.records

    def merged_latency(self, outcomes: Collection[Outcome] = tuple(Outcome)) -> HdrHistogram:
        """Return one histogram of the latencies of these outcomes over all classes and tenants."""
        merged = create_histogram()
        for tag, histogram in self.latency_by_tag.items():
            if tag.outcome in outcomes:
                merged.add(histogram)
        return merged

    @property
    def is_valid(self) -> bool:
        """Whether the requests were sent on time, so that the run measured the server."""
        lateness_us: int = self.lateness.get_value_at_percentile(LATENESS_PERCENTILE)
        return lateness_us <= MAX_LATENESS_US

    def summary(self) -> Summary:
        """Return the summary that the commands print."""
        counts_by_outcome: dict[str, int] = {outcome.value: 0 for outcome in Outcome}
        for tag, histogram in self.latency_by_tag.items():
            counts_by_outcome[tag.outcome.value] += histogram.get_total_count()
        ended = sum(counts_by_outcome.values())
        return {
            "valid": self.is_valid,
            "planned": self.planned,
            "answered": ended,
            "per_second": round(ended / self.duration_s, 1) if self.duration_s else 0.0,
            "cpu_us_per_request": round(1e6 * self.cpu_s / ended, 1) if ended else 0.0,
            "outcomes": counts_by_outcome,
            "latency_ms": _percentiles(self.merged_latency()),
            "served_ms": _percentiles(self.merged_latency([Outcome.SERVED])),
            "lateness_ms": _percentiles(self.lateness),
            "by": [_summary_row(tag, histogram) for tag, histogram in sorted(self.latency_by_tag.items())],
        }


def _to_recordable_us(seconds: float) -> int:
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
    """Return the percentiles and the maximum in ms; an empty dict for an empty histogram."""
    if not histogram.get_total_count():
        return {}
    values_ms = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000.0
        for percentile in PERCENTILES
    }
    return values_ms | {"max": histogram.get_max_value() / 1000.0}


def write_result(folder: Path, result: Result) -> None:
    """Write `latency.hlog` (one tagged interval per histogram), `records.jsonl` and `summary.json`."""
    folder.mkdir(parents=True, exist_ok=True)
    _write_histogram_log(folder / "latency.hlog", result)
    with (folder / "records.jsonl").open("w") as file:
        for record in sorted(result.records, key=lambda record: record.planned_s):
            file.write(json.dumps(record.to_json_object()) + "\n")
    (folder / "summary.json").write_text(json.dumps(result.summary(), indent=2) + "\n")


def _write_histogram_log(path: Path, result: Result) -> None:
    started_at_s = result.started_at_s
    ended_at_s = started_at_s + result.duration_s
    with path.open("w") as file:
        log = HistogramLogWriter(file)
        log.output_log_format_version()
        # Written with the precision of the intervals: readers skip intervals that start before this time.
        log.output_comment(f"[StartTime: {started_at_s:f} (seconds since epoch)]")
        log.output_legend()
        for tag, histogram in sorted(result.latency_by_tag.items()):
            # HistogramLogWriter cannot write tags, only the reader supports them.
            file.write(f"Tag={'/'.join(tag).translate(_TAG_SEPARATORS)},")
            log.output_interval_histogram(histogram, started_at_s, ended_at_s)
