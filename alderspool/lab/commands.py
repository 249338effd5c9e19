"""What the commands of the laboratory do; importing this loads its libraries (see `cli.lab`)."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

import click

from alderspool.lab import demo
from alderspool.lab.load import workers
from alderspool.lab.load.plan import Plan, generate_plan
from alderspool.lab.load.results import Result, write_result
from alderspool.lab.load.show import print_summary, progress
from alderspool.lab.load.trace import read_trace
from alderspool.lab.load.traffic import read_traffic, with_overrides

__all__ = ["LoadInput", "load", "play_demo", "print_summary"]


@dataclass(frozen=True)
class LoadInput:
    """From what the plan of a load is made; None where nothing is given."""

    traffic_file: Path | None
    trace_file: Path | None
    rate: float | None
    seconds: float | None
    seed: int | None

    def plan(self) -> Plan:
        """Lay out the plan. Raises LabError for unusable input."""
        traffic = with_overrides(
            read_traffic(self.traffic_file), rate=self.rate, seconds=self.seconds, seed=self.seed
        )
        if self.trace_file is not None:
            return read_trace(self.trace_file, traffic)
        return generate_plan(traffic)


def load(
    url: str, load_input: LoadInput, worker_count: int, out: Path | None, *, show_progress: bool
) -> Result:
    """Send load to the URL and return the result, written to the folder `out` too if there is one."""
    plan = load_input.plan()
    with progress(len(plan), quiet=not show_progress or not sys.stderr.isatty()) as advance:
        result = workers.run(url, plan, worker_count, advance)
    if out is not None:
        write_result(out, result)
    return result


def play_demo(seconds: float) -> Result:
    """Play the demo, its events on standard error, and return the result of its load."""
    with progress(demo.planned_requests(seconds), quiet=not sys.stderr.isatty()) as advance:
        return asyncio.run(demo.demo(seconds, advance, _log))


def _log(text: str) -> None:
    click.echo(text, err=True)
