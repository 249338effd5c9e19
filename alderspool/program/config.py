"""Reads and validates the configuration: environment variables and the JSON configuration file.

The fields of the `...Doc` types are the keys of the file, except those under `settings`, which are read by
`balancer/settings_reader`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from alderspool.balancer.settings import Settings, SettingsError
from alderspool.balancer.settings_reader import read_settings
from alderspool.program.errors import ConfigError
from alderspool.program.flattening import flatten
from alderspool.protocol.endpoint_list import (
    EndpointListDoc,
    EndpointListError,
    parse_address,
    to_endpoint_list,
)
from alderspool.routing.messages import EndpointList

__all__ = ["Address", "Config", "ConfigError", "LimitsDoc", "flatten", "load", "load_for_reload"]

MIN_SOCKETS = 64
SEED_BASE = 16


class EnvironmentVariable(StrEnum):
    """The environment variables that the program reads."""

    CONFIG = "BALANCER_CONFIG"
    NAME = "BALANCER_NAME"
    LISTEN = "BALANCER_LISTEN"
    DISCOVERY = "BALANCER_DISCOVERY"


class Address(NamedTuple):
    """A literal IP address and a port."""

    host: str
    port: int


class LimitsDoc(msgspec.Struct, frozen=True):
    """Resource limits of the process; `cores` is not enforced by the program.

    The unit of `memory_mb` is 1,000,000 bytes.
    """

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


def _empty_endpoint_list() -> EndpointListDoc:
    return EndpointListDoc(index=0, snapshot=True, endpoints=[])


class ConfigDoc(msgspec.Struct, frozen=True):
    """The decoded configuration file; `known` is the last known endpoint list."""

    settings: dict[str, Any]
    seed: str
    name: str = ""
    listen: str = ""
    discovery: str = ""
    limits: LimitsDoc = msgspec.field(default_factory=LimitsDoc)
    known: EndpointListDoc = msgspec.field(default_factory=_empty_endpoint_list)


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration of one proxy."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: LimitsDoc
    known: EndpointList
    settings: Settings


class _DiscoveryPrecedence(Enum):
    """Which discovery address is used if both the environment and the file contain one."""

    ENVIRONMENT = "environment"
    FILE = "file"


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration at start-up; environment variables take precedence over the file.

    Raises ConfigError.
    """
    return _load(environ, _DiscoveryPrecedence.ENVIRONMENT)


def load_for_reload(environ: Mapping[str, str]) -> Config:
    """Read the configuration again; the discovery address in the file takes precedence.

    Only the file can have changed, as the environment of a process stays as it was at its start. Raises
    ConfigError.
    """
    return _load(environ, _DiscoveryPrecedence.FILE)


def _load(environ: Mapping[str, str], precedence: _DiscoveryPrecedence) -> Config:
    doc = _read_file(environ)
    settings = _read_settings(doc)
    return Config(
        known=_read_known_endpoints(doc, settings),
        limits=_check_limits(doc.limits),
        seed=_parse_seed(doc.seed),
        name=environ.get(EnvironmentVariable.NAME) or doc.name,
        listen=_parse_address(
            EnvironmentVariable.LISTEN, environ.get(EnvironmentVariable.LISTEN) or doc.listen
        ),
        discovery=_parse_address(EnvironmentVariable.DISCOVERY, _choose_discovery(environ, doc, precedence)),
        settings=settings,
    )


def _read_file(environ: Mapping[str, str]) -> ConfigDoc:
    path = environ.get(EnvironmentVariable.CONFIG)
    if not path:
        raise ConfigError(EnvironmentVariable.CONFIG, "not set")
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(EnvironmentVariable.CONFIG, f"{error.strerror}: {path}") from error
    try:
        return msgspec.json.decode(content, type=ConfigDoc)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ConfigError(EnvironmentVariable.CONFIG, str(error)) from error


def _read_settings(doc: ConfigDoc) -> Settings:
    try:
        return read_settings(flatten(doc.settings))
    except SettingsError as error:
        key, _, problem = str(error).partition(": ")
        raise ConfigError(f"settings.{key}", problem) from error


def _read_known_endpoints(doc: ConfigDoc, settings: Settings) -> EndpointList:
    try:
        return to_endpoint_list(doc.known, settings)
    except EndpointListError as error:
        raise ConfigError("known", str(error)) from error


def _check_limits(limits: LimitsDoc) -> LimitsDoc:
    if limits.sockets < MIN_SOCKETS:
        raise ConfigError("limits.sockets", f"below the minimum of {MIN_SOCKETS}: {limits.sockets}")
    if not limits.memory_mb > 0.0:
        raise ConfigError("limits.memory_mb", f"not positive: {limits.memory_mb}")
    return limits


def _parse_seed(text: str) -> int:
    try:
        return int(text, SEED_BASE)
    except ValueError as error:
        raise ConfigError("seed", f"not hexadecimal: {text!r}") from error


def _choose_discovery(environ: Mapping[str, str], doc: ConfigDoc, precedence: _DiscoveryPrecedence) -> str:
    from_environment = environ.get(EnvironmentVariable.DISCOVERY, "")
    if precedence is _DiscoveryPrecedence.FILE:
        return doc.discovery or from_environment
    return from_environment or doc.discovery


def _parse_address(location: str, text: str) -> Address:
    try:
        return Address(*parse_address(text))
    except EndpointListError as error:
        raise ConfigError(location, str(error)) from error
