"""What the load tool shows to people: a progress bar, and a table at the end."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from alderspool.lab.load.results import Summary


def _ignore(sent: int) -> None:
    pass


@contextmanager
def progress(total: int, quiet: bool) -> Iterator[Callable[[int], None]]:
    """Show progress; yield a function that takes the number of requests sent so far."""
    if quiet:
        yield _ignore
        return
    columns = (
        TextColumn("sent {task.completed:,.0f} of {task.total:,.0f}"),
        BarColumn(),
        TimeRemainingColumn(),
    )
    with Progress(*columns, console=Console(stderr=True)) as bar:
        task = bar.add_task("", total=total)

        def advance(sent: int) -> None:
            bar.update(task, completed=sent)

        yield advance


def print_summary(summary: Summary) -> None:
    """Print a table of latencies in ms, and how well the tool kept its own time."""
    console = Console()
    table = Table("class", "tenant", "outcome", "count", "p50 ms", "p90", "p99", "p99.9", "max")
    for column in table.columns[:3]:
        column.no_wrap = True
    for column in table.columns[3:]:
        column.justify = "right"
    for row in summary["by"]:
        figures = [f"{row[percentile]:.1f}" for percentile in ("p50", "p90", "p99", "p99.9", "max")]
        table.add_row(row["class"], row["tenant"], row["outcome"], f"{row['count']:,}", *figures)
    console.print(table)
    lateness = summary["lateness_ms"]
    console.print(
        f"{summary['answered']:,} of {summary['planned']:,} requests, {summary['per_second']:,} a second, "
        f"{summary['cpu_us_per_request']} us of CPU each; the tool itself was late by "
        f"{lateness['p50']:.2f} ms (p50), {lateness['p99']:.2f} ms (p99)"
    )
    if not summary["valid"]:
        console.print("INVALID: the tool could not keep up (p99 of its lateness over 5 ms); more --workers?")
