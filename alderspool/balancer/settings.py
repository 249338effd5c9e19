"""The settings of a balancer: request classes, tenants, and the limits that it has to keep.

Times are milliseconds of the caller's clock. `settings_reader` maps the operators' keys to these fields.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class SettingsError(ValueError):
    """A setting is missing or unusable; the text names its key."""


class Idempotency(IntEnum):
    """What happens when a request of a class runs twice."""

    IDEMPOTENT = 0  # may be repeated at will
    KEYED = 1  # carries an idempotency key; endpoints drop duplicates for a while
    NON_IDEMPOTENT = 2  # must never run twice


class DeduplicationScope(IntEnum):
    """The endpoints that share their knowledge of idempotency keys with the one that ran a request."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # keyed requests: how long duplicates are dropped
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # share of the weight that a response after the objective still has
    streaming: bool = False
    ordered_by_key: bool = False  # requests with the same key run one at a time, in order of arrival


@dataclass(slots=True)
class Tenant:
    """A customer whose requests share a quota."""

    name: str
    share: float = 0.0
    quota_rps: float = 0.0  # requests per second over all instances; 0: no quota stated


@dataclass(slots=True)
class Settings:
    """All settings of one balancer instance."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    report_fields: list[str] = field(default_factory=list)  # figures in endpoints' load reports
    zone: int = 0  # of this instance
    instance_number: int = 0  # of this instance, from 0
    instance_count: int = 1
    list_on_request: bool = False  # discovery answers only when polled; else it pushes updates
    weights_listed: bool = True  # the endpoint list states weights
    weights_live: bool = False  # listed weights sink with the requests that the endpoint holds
    warm_keys: bool = False  # endpoints serve a key that they have seen faster
    max_attempts: int = 3  # of one request
    hedging_allowed: bool = False
    cancel_allowed: bool = False
    health_checks_allowed: bool = False
    peer_messages_allowed: bool = False
    retry_after: bool = False  # rejections may carry Retry-After
    max_retry_after_ms: float = 1000.0
    over_quota_priority_weight: float = 1.0
    cross_zone_cost: float = 0.0
    clock_step_ms: float = 1.0
    response_slack_ms: float = 10.0  # after a deadline, until a missing response counts as lost
    list_max_age_ms: float = 10000.0  # without a watch or a poll, updates count as notified after this
    drain_grace_ms: float = 1000.0
    initial_capacity_share: float = 0.1  # of an endpoint that has just started
    slow_start_ms: float = 20000.0  # from start to full capacity
    cold_overload_factor: float = 2.0  # a cold endpoint fails at this multiple of its capacity
    cold_overload_window_ms: float = 1000.0  # over which that multiple is measured
    rejected_may_have_run: bool = False  # a rejection by an endpoint does not prove that nothing ran
    key_quiesce_ms: float = 0.0  # a key in order waits so long after an attempt that may still be running
    retry_budget_window_ms: float = 0.0  # 0: no retry budget stated
    retry_budget_floor: float = 0.0  # retries allowed in each window, however light the traffic
    retry_budget_ratio: float = 0.0  # further retries for each request accepted in the window
    nines_part: float = 0.0  # part of the availability figure in the operators' result
    nines_wanted: float = 0.0  # availability, as a count of nines, that earns all of that part
    # Needed by a proxy on sockets only.
    zones: list[str] = field(default_factory=list)
    endpoint_types: list[str] = field(default_factory=list)
    connect_timeout_ms: float = 1000.0
    idle_timeout_ms: float = 10000.0  # an endpoint closes a connection that has been idle for this long
    max_pending_requests: int = 1 << 16
