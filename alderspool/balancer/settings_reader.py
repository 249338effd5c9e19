"""Reads settings from the operators' path=value pairs. Only this module maps their keys to field names."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import IntEnum
from typing import TypeVar

from alderspool.balancer.settings import (
    DeduplicationScope,
    Idempotency,
    RequestClass,
    Settings,
    SettingsError,
    Tenant,
)

Choice = TypeVar("Choice", bound=IntEnum)

IDEMPOTENCY_BY_VALUE = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPE_BY_VALUE = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
LIST_ON_REQUEST_BY_VALUE = {"pushed": False, "on_request": True}

RETRY_BUDGET_WINDOW = "rules.extra_window_ms"
RETRY_BUDGET_FLOOR = "rules.budget_free"
RETRY_BUDGET_RATIO = "rules.extra_ratio"
RETRY_BUDGET_KEYS = (RETRY_BUDGET_WINDOW, RETRY_BUDGET_FLOOR, RETRY_BUDGET_RATIO)

DEFAULT_MAX_PENDING_REQUESTS = 1 << 16


def read_settings(pairs: Mapping[str, str]) -> Settings:
    """Build the settings from path=value pairs. Unknown keys are ignored; missing keys take their defaults.

    Raises SettingsError, which names the key, if a value is invalid or a required one is missing.
    """
    get = PairReader(pairs)
    classes = [
        _read_class(get, f"classes.{i}.", str(i)) for i in range(get.count("classes.count", 1, minimum=1))
    ]
    tenants = [_read_tenant(get, f"customers.{i}.", str(i)) for i in range(get.count("customers.count", 0))]
    list_on_request = _read_discovery_mode(get)
    _check_retry_budget(get)
    has_load_reports = get.text("report.how", "off") != "off"
    return Settings(
        classes=classes,
        tenants=tenants,
        report_fields=get.names("report.fields") if has_load_reports else [],
        zone=get.count("zone", 0),
        instance_number=get.count("my_number", 0),
        instance_count=get.count("siblings", 1, minimum=1),
        list_on_request=list_on_request,
        weights_listed=get.text("weights", "nominal") != "off",
        weights_live=get.text("weights", "nominal") == "live",
        warm_keys=get.flag("family_info.warm_keys", False),
        max_attempts=get.count("bounds.max_attempts", 3, minimum=1),
        hedging_allowed=get.flag("bounds.may_duplicate", False),
        cancel_allowed=get.flag("bounds.cancel", False),
        health_checks_allowed=get.flag("bounds.probes", False),
        peer_messages_allowed=get.flag("bounds.peers", False),
        retry_after=get.flag("bounds.retry_after", False),
        max_retry_after_ms=get.number("bounds.max_retry_after_ms", 1000.0),
        over_quota_priority_weight=get.number("over_share_worth", 1.0),
        cross_zone_cost=get.number("prices.cross_zone", 0.0),
        clock_step_ms=get.number("quantum_ms", 1.0),
        response_slack_ms=get.number("rules.answer_slack_ms", 10.0),
        list_max_age_ms=get.number("rules.ask_within_ms", 10000.0),
        drain_grace_ms=get.number("rules.drain_grace_ms", 1000.0),
        initial_capacity_share=get.number("rules.cold_from", 0.1),
        slow_start_ms=get.number("rules.cold_ms", 20000.0),
        cold_overload_factor=get.number("rules.overload_factor", 2.0),
        cold_overload_window_ms=get.number("rules.tip_after_ms", 1000.0),
        rejected_may_have_run=get.flag("rules.full_may_have_run", False),
        key_quiesce_ms=get.number("rules.key_rest_ms", 0.0),
        retry_budget_window_ms=get.number(RETRY_BUDGET_WINDOW, 0.0),
        retry_budget_floor=get.number(RETRY_BUDGET_FLOOR, 0.0),
        retry_budget_ratio=get.number(RETRY_BUDGET_RATIO, 0.0),
        nines_part=get.number("result_mix.log_loss_part", 0.0),
        nines_wanted=get.number("result_mix.nines_wanted", 0.0),
        zones=get.names("zones"),
        endpoint_types=get.names("shapes"),
        connect_timeout_ms=get.number("bounds.dial_timeout_ms", 1000.0, above=0.0),
        idle_timeout_ms=get.number("bounds.conn_idle_ms", 10000.0, above=0.0),
        max_pending_requests=get.count("bounds.max_open", DEFAULT_MAX_PENDING_REQUESTS, minimum=1),
    )


def _read_class(get: PairReader, prefix: str, default_name: str) -> RequestClass:
    return RequestClass(
        name=get.text(prefix + "name", default_name),
        latency_objective_ms=get.number(prefix + "slo_ms", above=0.0),
        deadline_ms=get.number(prefix + "deadline_ms", above=0.0),
        idempotency=get.choice(prefix + "effect", IDEMPOTENCY_BY_VALUE, "free"),
        deduplication_scope=get.choice(prefix + "dedup_scope", DEDUPLICATION_SCOPE_BY_VALUE, "all"),
        deduplication_window_ms=get.number(prefix + "memory_span_ms", 0.0),
        priority_weight=get.number(prefix + "importance", 1.0),
        late_priority_weight=get.number(prefix + "late_worth", 0.0),
        streaming=get.flag(prefix + "streaming", False),
        ordered_by_key=get.flag(prefix + "keep_order", False),
    )


def _read_tenant(get: PairReader, prefix: str, default_name: str) -> Tenant:
    return Tenant(
        name=get.text(prefix + "name", default_name),
        share=get.number(prefix + "share", 0.0),
        quota_rps=get.number(prefix + "quota_rps", 0.0),
    )


def _read_discovery_mode(get: PairReader) -> bool:
    """Return whether discovery has to be polled for the endpoint list."""
    mode = get.text("discovery", "pushed")
    if mode not in LIST_ON_REQUEST_BY_VALUE:
        raise SettingsError(f"discovery: unknown mode {mode!r}")
    return LIST_ON_REQUEST_BY_VALUE[mode]


def _check_retry_budget(get: PairReader) -> None:
    """Check that either all of the retry budget's keys are set or none."""
    if not any(get.has_value(key) for key in RETRY_BUDGET_KEYS):
        return
    get.number(RETRY_BUDGET_WINDOW, above=0.0)
    get.number(RETRY_BUDGET_FLOOR)
    get.number(RETRY_BUDGET_RATIO)


class PairReader:
    """Typed access to path=value pairs. Invalid values raise SettingsError, which names the key."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def has_value(self, key: str) -> bool:
        """Return whether the key is present with a value that is not empty."""
        return bool(self._pairs.get(key))

    def text(self, key: str, default: str) -> str:
        """Return the value unchanged."""
        return self._pairs.get(key, default)

    def names(self, key: str) -> list[str]:
        """Return the names in a comma-separated list, leaving out empty ones."""
        return [name for name in self.text(key, "").split(",") if name]

    def number(self, key: str, default: float | None = None, above: float | None = None) -> float:
        """Return a finite number of at least 0 and, if `above` is given, greater than that.

        The key is required if there is no default.
        """
        raw = self._pairs.get(key)
        if raw is None or raw == "":
            if default is None:
                raise SettingsError(f"{key}: missing")
            return default
        try:
            value = float(raw)
        except ValueError:
            raise SettingsError(f"{key}: not a number: {raw!r}") from None
        if not math.isfinite(value):
            raise SettingsError(f"{key}: not a finite number: {raw!r}")
        if value < 0 or (above is not None and value <= above):
            raise SettingsError(f"{key}: out of range: {raw!r}")
        return value

    def count(self, key: str, default: int, minimum: int = 0) -> int:
        """Return a whole number of at least `minimum`."""
        value = self.number(key, float(default))
        if value != int(value) or value < minimum:
            raise SettingsError(f"{key}: not a whole number of at least {minimum}: {value}")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        """Return a boolean, written as `true` or `false`."""
        raw = self._pairs.get(key)
        if raw is None or raw == "":
            return default
        if raw not in ("true", "false"):
            raise SettingsError(f"{key}: neither true nor false: {raw!r}")
        return raw == "true"

    def choice(self, key: str, choices: Mapping[str, Choice], default: str) -> Choice:
        """Return the choice named by the value, ignoring case."""
        raw = self._pairs.get(key, default)
        try:
            return choices[raw.lower()]
        except KeyError:
            raise SettingsError(f"{key}: unknown value {raw!r}") from None
