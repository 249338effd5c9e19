"""Terminal output of the load generator: a progress bar, and a table of the results."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from alderspool.lab.load.results import Summary


def _ignore_progress(sent: int) -> None:
    pass


@contextmanager
def progress(total: int, quiet: bool) -> Iterator[Callable[[int], None]]:
    """Show a progress bar on standard error unless `quiet`.

    Yields a function to be called with the number of requests sent so far.
    """
    if quiet:
        yield _ignore_progress
        return
    columns = (
        TextColumn("sent {task.completed:,.0f} of {task.total:,.0f}"),
        BarColumn(),
        TimeRemainingColumn(),
    )
    with Progress(*columns, console=Console(stderr=True)) as bar:
        task_id = bar.add_task("", total=total)

        def update_bar(sent: int) -> None:
            bar.update(task_id, completed=sent)

        yield update_bar


def print_summary(summary: Summary) -> None:
    """Print a table of latencies in ms, the rate, the CPU time and the lateness of the load generator."""
    console = Console()
    table = Table("class", "tenant", "outcome", "count", "p50 ms", "p90", "p99", "p99.9", "max")
    for column in table.columns[:3]:
        column.no_wrap = True
    for column in table.columns[3:]:
        column.justify = "right"
    for row in summary["by"]:
        percentile_cells = [f"{row[percentile]:.1f}" for percentile in ("p50", "p90", "p99", "p99.9", "max")]
        table.add_row(row["class"], row["tenant"], row["outcome"], f"{row['count']:,}", *percentile_cells)
    console.print(table)
    lateness = summary["lateness_ms"]
    console.print(
        f"{summary['answered']:,} of {summary['planned']:,} requests, {summary['per_second']:,} per second, "
        f"{summary['cpu_us_per_request']} us of CPU each; requests were sent late by "
        f"{lateness['p50']:.2f} ms (p50), {lateness['p99']:.2f} ms (p99)"
    )
    if not summary["valid"]:
        console.print(
            "INVALID: the load generator could not keep up (p99 lateness over 5 ms); try more --workers"
        )
