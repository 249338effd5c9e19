"""Implementation of the laboratory's commands. Importing it loads the libraries they need (see `cli.lab`)."""

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

__all__ = ["LoadInput", "load", "print_summary", "run_demo"]


@dataclass(frozen=True)
class LoadInput:
    """Input for the plan of a load; None for options that are not given."""

    traffic_file: Path | None
    trace_file: Path | None
    rate: float | None
    seconds: float | None
    seed: int | None

    def create_plan(self) -> Plan:
        """Create the plan. Raises InputError for invalid input."""
        traffic = with_overrides(
            read_traffic(self.traffic_file), rate=self.rate, seconds=self.seconds, seed=self.seed
        )
        if self.trace_file is not None:
            return read_trace(self.trace_file, traffic)
        return generate_plan(traffic)


def load(
    url: str, load_input: LoadInput, worker_count: int, output_folder: Path | None, *, show_progress: bool
) -> Result:
    """Send load to the URL, write the result to `output_folder` unless that is None, and return it."""
    plan = load_input.create_plan()
    with progress(len(plan), quiet=not show_progress or not sys.stderr.isatty()) as on_progress:
        result = workers.run(url, plan, worker_count, on_progress)
    if output_folder is not None:
        write_result(output_folder, result)
    return result


def run_demo(seconds: float) -> Result:
    """Run the demo, print its events on standard error, and return the result of its load."""
    with progress(demo.planned_requests(seconds), quiet=not sys.stderr.isatty()) as on_progress:
        return asyncio.run(demo.demo(seconds, on_progress, _log))


def _log(text: str) -> None:
    click.echo(text, err=True)
