"""Converts nested JSON settings to the flat path-value pairs that the settings reader expects."""

from __future__ import annotations

from alderspool.protocol.endpoint_list import to_settings_name


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Return a JSON value as path-value pairs, in the format of the simulator's wire protocol.

    A path consists of the keys of the nested objects, joined by dots. A list that contains objects becomes
    `path.count` plus the pairs of each item under `path.0`, `path.1` and so on; any other list becomes one
    comma-separated value.
    """
    if isinstance(value, dict):
        return _flatten_object(value, path)
    if isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            return _flatten_list_of_objects(value, path)
        return {path: ",".join(_format_scalar(item) for item in value)}
    return {path: _format_scalar(value)}


def _flatten_object(value: dict[str, object], path: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for key, member in value.items():
        pairs.update(flatten(member, f"{path}.{key}" if path else key))
    return pairs


def _flatten_list_of_objects(items: list[object], path: str) -> dict[str, str]:
    pairs = {f"{path}.count": str(len(items))}
    for index, item in enumerate(items):
        pairs.update(flatten(item, f"{path}.{index}"))
    return pairs


def _format_scalar(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return to_settings_name(str(value))
