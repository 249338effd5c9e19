"""Command line of the laboratory: `alderspool lab`."""

from __future__ import annotations

import functools
import json
import sys
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING, Any, ParamSpec

import click

from alderspool.lab.errors import InputError, RunError

if TYPE_CHECKING:
    from alderspool.lab.load.results import Result

Parameters = ParamSpec("Parameters")


class ExitStatus(IntEnum):
    """Exit statuses of the commands."""

    NO_RESULT = 1
    INVALID_INPUT = 2
    LOAD_TOOL_LATE = 3  # the load tool could not keep to its schedule, so the result is invalid


def _exit_on_error(command: Callable[Parameters, None]) -> Callable[Parameters, None]:
    """Decorate a command to end with a one-line message and an exit status instead of a traceback."""

    @functools.wraps(command)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except InputError as error:
            click.echo(f"alderspool lab: {error}", err=True)
            sys.exit(ExitStatus.INVALID_INPUT)
        except RunError as error:
            click.echo(f"alderspool lab: {error}", err=True)
            sys.exit(ExitStatus.NO_RESULT)

    return run


def _print_result(result: Result, *, as_json: bool) -> None:
    """Print the result of a run; exit with LOAD_TOOL_LATE if it is not valid."""
    from alderspool.lab import commands  # noqa: PLC0415  # see `lab`

    if as_json:
        click.echo(json.dumps(result.summary()))
    else:
        commands.print_summary(result.summary())
    if not result.is_valid:
        sys.exit(ExitStatus.LOAD_TOOL_LATE)


@click.group()
def lab() -> None:
    """Measure proxies from outside. Requires the libraries of requirements-lab.txt."""
    # Each command imports its modules only when it runs: other commands of `alderspool` must neither need nor
    # load the libraries of the laboratory.


@lab.command()
@click.argument("url")
@click.option("--traffic", type=click.Path(path_type=Path), help="TOML file: shape, rate, classes, tenants.")
@click.option(
    "--trace",
    type=click.Path(path_type=Path),
    help="Recorded arrivals (.jsonl or .csv) to replay instead of generated ones.",
)
@click.option("--rate", type=float, help="Requests per second; overrides the file.")
@click.option("--seconds", type=float, help="Duration in seconds; overrides the file.")
@click.option("--seed", type=int, help="Random seed; overrides the file.")
@click.option("--workers", type=click.IntRange(1, 64), default=2, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Folder for latency.hlog, records and summary.")
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON on standard output.")
@_exit_on_error
def load(
    url: str,
    *,
    workers: int,
    out: Path | None,
    as_json: bool,
    traffic: Path | None,
    trace: Path | None,
    **overrides: Any,
) -> None:
    """Send open-loop load to URL (http://HOST:PORT): requests are sent on schedule, whatever the responses.

    Latency counts from the scheduled time. Exit code 3: the load tool could not keep to its schedule, so the
    result is invalid.
    """
    from alderspool.lab import commands  # noqa: PLC0415  # see `lab`

    load_input = commands.LoadInput(traffic, trace, **overrides)
    result = commands.load(url, load_input, workers, out, show_progress=not as_json)
    _print_result(result, as_json=as_json)


@lab.command()
@click.option("--seconds", type=click.FloatRange(1.0, 600.0), default=15.0, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The summary as JSON on standard output.")
@_exit_on_error
def demo(seconds: float, *, as_json: bool) -> None:
    """Run a small fleet and a proxy under load on free loopback ports, with two faults; print the result."""
    from alderspool.lab import commands  # noqa: PLC0415  # see `lab`

    _print_result(commands.run_demo(seconds), as_json=as_json)
