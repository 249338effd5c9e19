"""The command line."""

from __future__ import annotations

import importlib
import os
import sys

import click
from loguru import logger

from alderspool import __version__

LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")
LINE = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {message}"


class Unusable(click.ClickException):
    """Unusable configuration: one line, exit code 2."""

    exit_code = 2

    def show(self, file=None) -> None:
        click.echo(f"alderspool: {' '.join(self.message.split())}", err=True)


def _load():
    from alderspool.program.config import ConfigError, load

    try:
        return load(os.environ)
    except ConfigError as fault:
        raise Unusable(str(fault)) from None


class Groups(click.Group):
    """Commands of other parts by name, loaded when one is used: `serve` imports none of them."""

    PARTS = {"lab": ("alderspool.lab.cli", "lab", "requirements-lab.txt")}

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.PARTS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in self.PARTS:
            return super().get_command(ctx, name)
        module, command, needs = self.PARTS[name]
        try:
            return getattr(importlib.import_module(module), command)
        except ModuleNotFoundError as fault:
            raise Unusable(f"{name} needs {fault.name}: pip install -r {needs}") from None


@click.group(cls=Groups)
def main() -> None:
    """A load-balancing proxy for HTTP fleets.

    It is told what to do by BALANCER_CONFIG, BALANCER_LISTEN, BALANCER_DISCOVERY and BALANCER_NAME.
    """


@main.command()
@click.option("--log-level", type=click.Choice(LEVELS), default="INFO", show_default=True)
def serve(log_level: str) -> None:
    """Serve until SIGTERM, then finish what was taken."""
    from alderspool.program.signals import EarlySignals

    early = EarlySignals()
    logger.remove()
    logger.add(sys.stderr, level=log_level, format=LINE, backtrace=False, diagnose=False)
    config = _load()
    from alderspool.program.app import run
    from alderspool.program.config import ConfigError

    try:
        run(config, early)
    except ConfigError as fault:
        raise Unusable(str(fault)) from None


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"alderspool {__version__}")


@main.command("check-config")
def check_config() -> None:
    """Read the configuration as `serve` does, and say what it holds."""
    config = _load()
    click.echo(
        f"{config.name}: listens at {config.listen[0]}:{config.listen[1]},"
        f" discovery at {config.discovery[0]}:{config.discovery[1]},"
        f" {len(config.settings.classes)} classes, {len(config.settings.tenants)} tenants,"
        f" {len(config.known.endpoints)} machines known, {config.limits.sockets} sockets"
    )
