"""Nested JSON settings as the flat path=value pairs that the settings reader takes."""

from __future__ import annotations

from alderspool.protocol.endpoint_list import to_settings_name


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Return the path=value pairs of a JSON value, as the simulator's wire protocol writes them.

    A list that holds objects becomes `path.count` and one path per item; any other list becomes one value,
    separated by commas.
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
    for key, inner in value.items():
        pairs.update(flatten(inner, f"{path}.{key}" if path else key))
    return pairs


def _flatten_list_of_objects(items: list[object], path: str) -> dict[str, str]:
    pairs = {f"{path}.count": str(len(items))}
    for position, item in enumerate(items):
        pairs.update(flatten(item, f"{path}.{position}"))
    return pairs


def _format_scalar(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return to_settings_name(str(value))
