"""`alderspool lab`: the commands of the laboratory."""

from __future__ import annotations

import functools
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from alderspool.lab.errors import LabError, RunError

if TYPE_CHECKING:
    from alderspool.lab.load.results import Result


def one_line(command: Callable) -> Callable:
    """Ends with one line in place of a traceback: 2 for what was given, 1 for a run without a result."""

    @functools.wraps(command)
    def run(*args: object, **kwargs: object) -> None:
        try:
            command(*args, **kwargs)
        except (LabError, RunError) as fault:
            click.echo(f"alderspool lab: {fault}", err=True)
            sys.exit(2 if isinstance(fault, LabError) else 1)

    return run


def _finish(result: Result, as_json: bool) -> None:
    """Says what came of a run; exit code 3 if it measured the tool and not the server."""
    from alderspool.lab.load.show import print_summary

    if as_json:
        click.echo(json.dumps(result.summary()))
    else:
        print_summary(result.summary())
    if not result.valid:
        sys.exit(3)


@click.group()
def lab() -> None:
    """Measure proxies from outside. Needs requirements-lab.txt."""


@lab.command()
@click.argument("url")
@click.option("--traffic", type=click.Path(path_type=Path), help="TOML file: shape, rate, classes, tenants.")
@click.option("--trace", type=click.Path(path_type=Path), help="Recorded arrivals (.jsonl or .csv) instead.")
@click.option("--rate", type=float, help="Requests a second, in place of the file's.")
@click.option("--seconds", type=float, help="Length, in place of the file's.")
@click.option("--seed", type=int, help="Seed, in place of the file's.")
@click.option("--workers", type=click.IntRange(1, 64), default=2, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Folder for latency.hlog, records and summary.")
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON on standard output.")
@one_line
def load(
    url: str,
    traffic: Path | None,
    trace: Path | None,
    rate: float | None,
    seconds: float | None,
    seed: int | None,
    workers: int,
    out: Path | None,
    as_json: bool,
) -> None:
    """Send open-loop load to URL (http://HOST:PORT): arrivals are laid out ahead and wait for no answer.

    Latency counts from the planned moment. Exit code 3: the tool itself was late, and the run says nothing.
    """
    from alderspool.lab.load.plan import lay_out
    from alderspool.lab.load.results import write
    from alderspool.lab.load.show import progress
    from alderspool.lab.load.trace import read_trace
    from alderspool.lab.load.traffic import read_traffic, with_overrides
    from alderspool.lab.load.workers import run

    shape = with_overrides(read_traffic(traffic), rate=rate, seconds=seconds, seed=seed)
    plan = read_trace(trace, shape) if trace else lay_out(shape)
    with progress(len(plan), quiet=as_json or not sys.stderr.isatty()) as advance:
        result = run(url, plan, workers, advance)
    if out is not None:
        write(out, result)
    _finish(result, as_json)


@lab.command()
@click.option("--seconds", type=click.FloatRange(1.0, 600.0), default=15.0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON on standard output.")
@one_line
def demo(seconds: float, as_json: bool) -> None:
    """Start a small fleet, a proxy and traffic on free loopback ports, with two faults; say how it went."""
    import asyncio

    from alderspool.lab.demo import demo as play
    from alderspool.lab.demo import planned_requests
    from alderspool.lab.load.show import progress

    with progress(planned_requests(seconds), quiet=not sys.stderr.isatty()) as advance:
        result = asyncio.run(play(seconds, advance, lambda text: click.echo(text, err=True)))
    _finish(result, as_json)
