"""What the proxy is told: environment and configuration file, checked once at the start."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from alderspool.balancer.settings import Settings, SettingsError
from alderspool.balancer.settings_reader import read_settings
from alderspool.protocol.endpoint_list import (
    EndpointListDoc,
    EndpointListError,
    as_setting,
    parse_address,
    to_endpoint_list,
)
from alderspool.routing.messages import EndpointList


class ConfigError(ValueError):
    """The configuration is unusable; the text names the key."""


class LimitsDoc(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class ConfigDoc(msgspec.Struct):
    settings: dict[str, Any]
    seed: str
    name: str = ""
    listen: str = ""
    discovery: str = ""
    limits: LimitsDoc = msgspec.field(default_factory=LimitsDoc)
    known: EndpointListDoc = msgspec.field(default_factory=lambda: EndpointListDoc(0, True, []))


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: LimitsDoc
    known: EndpointList
    settings: Settings


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Nested JSON as the wire's path=value pairs."""
    if isinstance(value, dict):
        pairs = {}
        for key, inner in value.items():
            pairs.update(flatten(inner, f"{path}.{key}" if path else key))
        return pairs
    if isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for i, item in enumerate(value):
                pairs.update(flatten(item, f"{path}.{i}"))
            return pairs
        return {path: ",".join(_plain(item) for item in value)}
    return {path: _plain(value)}


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else as_setting(str(value))


def load(environ: Mapping[str, str], anew: bool = False) -> Config:
    """Reads the configuration. At a start the environment comes before the file; where the file is read
    anew, what it says of discovery is the news, and the environment is as it was at the start."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set")
    try:
        raw = Path(path).read_bytes()
    except OSError as fault:
        raise ConfigError(f"BALANCER_CONFIG: {fault.strerror}: {path}") from None
    try:
        doc = msgspec.json.decode(raw, type=ConfigDoc)
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise ConfigError(f"BALANCER_CONFIG: {fault}") from None
    try:
        settings = read_settings(flatten(doc.settings))
    except SettingsError as fault:
        raise ConfigError(f"settings.{fault}") from None
    try:
        known = to_endpoint_list(doc.known, settings)
    except EndpointListError as fault:
        raise ConfigError(f"known: {fault}") from None
    if doc.limits.sockets < 64:
        raise ConfigError(f"limits.sockets: under 64: {doc.limits.sockets}")
    try:
        seed = int(doc.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: not hexadecimal: {doc.seed!r}") from None
    given = (environ.get("BALANCER_DISCOVERY"), doc.discovery)
    return Config(
        name=environ.get("BALANCER_NAME") or doc.name,
        listen=_address("BALANCER_LISTEN", environ.get("BALANCER_LISTEN") or doc.listen),
        discovery=_address("BALANCER_DISCOVERY", given[anew] or given[not anew] or ""),
        seed=seed,
        limits=doc.limits,
        known=known,
        settings=settings,
    )


def _address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except EndpointListError as fault:
        raise ConfigError(f"{key}: {fault}") from None
