"""The command line: `serve`, `check-config`, `version` and the `lab` commands.

Large modules are imported inside the commands that need them, not here: `serve` has to record signals before
it loads the proxy, and it must run without the libraries of the lab.
"""

from __future__ import annotations

import importlib
import os
import sys
from dataclasses import dataclass
from typing import IO, TYPE_CHECKING, Any, ClassVar

import click
from loguru import logger

from alderspool import __version__
from alderspool.program.errors import ConfigError
from alderspool.program.signals import StartupSignals

if TYPE_CHECKING:
    from alderspool.program.config import Config

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")
LOG_FORMAT = "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {message}"
STARTUP_ERROR_EXIT_CODE = 2


class StartupError(click.ClickException):
    """The configuration is invalid or a library is missing: one line on standard error, exit code 2."""

    exit_code = STARTUP_ERROR_EXIT_CODE

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message to standard error as one line; line breaks in it become spaces."""
        click.echo(f"alderspool: {' '.join(self.message.split())}", err=True)


def _load_config() -> Config:
    from alderspool.program.config import load

    try:
        return load(os.environ)
    except ConfigError as error:
        raise StartupError(str(error)) from error


@dataclass(frozen=True, slots=True)
class LazyCommand:
    """Where to import a command from, and the requirements file that lists its libraries."""

    module: str
    attribute: str
    requirements_file: str


class LazyGroup(click.Group):
    """A command group that imports the commands of `LAZY_COMMANDS` only when they are used."""

    LAZY_COMMANDS: ClassVar[dict[str, LazyCommand]] = {
        "lab": LazyCommand("alderspool.lab.cli", "lab", "requirements-lab.txt"),
    }

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted, without importing any."""
        return sorted([*super().list_commands(ctx), *self.LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command with this name, importing it if necessary, or None if there is none.

        Raises StartupError if a library that the command needs is not installed.
        """
        lazy_command = self.LAZY_COMMANDS.get(cmd_name)
        if lazy_command is None:
            return super().get_command(ctx, cmd_name)
        try:
            module = importlib.import_module(lazy_command.module)
        except ModuleNotFoundError as error:
            raise StartupError(
                f"{cmd_name} needs {error.name}: pip install -r {lazy_command.requirements_file}"
            ) from error
        command: click.Command = getattr(module, lazy_command.attribute)
        return command


@click.group(cls=LazyGroup)
def main() -> None:
    """Run or inspect a load-balancing proxy for HTTP fleets.

    It is configured by BALANCER_CONFIG, BALANCER_LISTEN, BALANCER_DISCOVERY and BALANCER_NAME.
    """


@main.command()
@click.option("--log-level", type=click.Choice(LOG_LEVELS), default="INFO", show_default=True)
def serve(log_level: str) -> None:
    """Serve until SIGTERM, then finish the pending requests."""
    startup_signals = StartupSignals()
    logger.remove()
    logger.add(sys.stderr, level=log_level, format=LOG_FORMAT, backtrace=False, diagnose=False)
    config = _load_config()
    from alderspool.program.app import run

    try:
        run(config, startup_signals)
    except ConfigError as error:
        raise StartupError(str(error)) from error


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"alderspool {__version__}")


@main.command("check-config")
def check_config() -> None:
    """Read and validate the configuration as `serve` does, and print a summary."""
    config = _load_config()
    # The text of this line is part of the interface and must not change. It says "machines" for endpoints.
    click.echo(
        f"{config.name}: listens at {config.listen.host}:{config.listen.port},"
        f" discovery at {config.discovery.host}:{config.discovery.port},"
        f" {len(config.settings.classes)} classes, {len(config.settings.tenants)} tenants,"
        f" {len(config.known.endpoints)} machines known, {config.limits.sockets} sockets"
    )
