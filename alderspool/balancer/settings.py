"""The settings of a balancer: request classes, tenants, permissions and limits.

Times are milliseconds of the caller's clock. `settings_reader` maps the operators' keys to these fields.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names its key."""


class Idempotency(IntEnum):
    """Whether requests of a class may be executed more than once."""

    IDEMPOTENT = 0  # may be repeated without restriction
    KEYED = 1  # carries an idempotency key, by which endpoints drop duplicates for a limited time
    NON_IDEMPOTENT = 2  # must never be executed twice


class DeduplicationScope(IntEnum):
    """Which endpoints recognize a duplicate of a request that one of them has executed."""

    ALL = 0  # all endpoints
    ZONE = 1  # those in the zone of the endpoint that executed it
    CELL = 2  # those in its cell


@dataclass(slots=True)
class RequestClass:
    """A class of requests with common objectives and rules."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # for keyed requests: how long endpoints drop duplicates
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # share of the weight that a response after the objective keeps
    streaming: bool = False
    ordered_by_key: bool = False  # requests with the same key must run one at a time, in order of arrival


@dataclass(slots=True)
class Tenant:
    """A customer whose requests share a quota."""

    name: str
    share: float = 0.0
    quota_rps: float = 0.0  # requests per second over all instances; 0: no quota


@dataclass(slots=True)
class Settings:
    """All settings of one balancer instance."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    report_fields: list[str] = field(default_factory=list)  # names of the values in endpoints' load reports
    zone: int = 0  # of this instance
    instance_number: int = 0  # of this instance, from 0
    instance_count: int = 1
    list_on_request: bool = False  # discovery must be polled; else it pushes updates
    weights_listed: bool = True  # the endpoint list contains weights
    weights_live: bool = False  # the listed weight of an endpoint falls with the requests that it holds
    warm_keys: bool = False  # an endpoint serves a key faster once it has seen it
    max_attempts: int = 3  # per request
    hedging_allowed: bool = False
    cancel_allowed: bool = False
    health_checks_allowed: bool = False
    peer_messages_allowed: bool = False
    retry_after: bool = False  # rejections may carry Retry-After
    max_retry_after_ms: float = 1000.0
    over_quota_priority_weight: float = 1.0
    cross_zone_cost: float = 0.0
    clock_step_ms: float = 1.0  # resolution of the clock
    response_slack_ms: float = 10.0  # time after a deadline at which a missing response counts as lost
    list_max_age_ms: float = 10000.0  # updates count as notified after this, even without a watch or a poll
    drain_grace_ms: float = 1000.0
    initial_capacity_share: float = 0.1  # share of full capacity that a newly started endpoint has
    slow_start_ms: float = 20000.0  # time from start to full capacity
    cold_overload_factor: float = 2.0  # multiple of its current capacity at which a cold endpoint fails
    cold_overload_window_ms: float = 1000.0  # window over which that multiple is measured
    rejected_may_have_run: bool = False  # an endpoint's rejection does not prove that the request never ran
    key_quiesce_ms: float = 0.0  # how long an ordered key waits after an attempt that may still be running
    retry_budget_window_ms: float = 0.0  # 0: no retry budget configured
    retry_budget_floor: float = 0.0  # retries allowed in each window, however light the traffic
    retry_budget_ratio: float = 0.0  # further retries allowed for each request accepted in the window
    nines_part: float = 0.0  # share of availability in the operators' overall score
    nines_wanted: float = 0.0  # availability, as a number of nines, that earns that share in full
    # Used only by a proxy that serves on sockets, not in the simulator.
    zones: list[str] = field(default_factory=list)
    endpoint_types: list[str] = field(default_factory=list)
    connect_timeout_ms: float = 1000.0
    idle_timeout_ms: float = 10000.0  # idle time after which an endpoint closes a connection
    max_pending_requests: int = 1 << 16
