"""What goes into a Balancer and what comes out: settings, events and actions.

Times are milliseconds of the caller's clock, which never runs backwards. A server id is an
opaque hashable value (the wire uses six bytes). `None` stands for nothing where a field says so.
A Balancer never raises on a legal event; unusable settings raise SettingsError, which names the key.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

ServerId = bytes


class SettingsError(ValueError):
    """A setting is missing or unusable; the text names its key."""


class Effect(IntEnum):
    """What repeating a request of a class does."""

    FREE = 0  # may be repeated at will
    GUARDED = 1  # carries a key; a group of servers drops repeats for a while
    SINGLE_SHOT = 2  # must never run twice


class Scope(IntEnum):
    """The servers that drop repeats of a guarded request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Availability(IntEnum):
    READY = 0
    GONE = 1
    DRAINING = 3


class ListMode(IntEnum):
    """How a ServerList event changes the list."""

    DELTA = 0
    FULL = 1
    CACHED = 2  # the list as this instance last held it, possibly stale
    FAILED = 3  # a call to discovery failed; no entries


class Status(IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    REJECTED = 2  # turned away as full: never ran, unless Settings.full_may_have_run
    TIMEOUT = 3
    CONNECT_FAILED = 4  # never ran
    RESET = 5
    CANCELLED = 6
    NEVER_SENT = 7  # never ran


# What proves that an attempt never ran; REJECTED only unless Settings.full_may_have_run.
NEVER_RAN = frozenset((Status.REJECTED, Status.CONNECT_FAILED, Status.NEVER_SENT))


@dataclass(slots=True)
class RequestClass:
    name: str
    aim_ms: float
    deadline_ms: float
    effect: Effect = Effect.FREE
    scope: Scope = Scope.ALL
    memory_ms: float = 0.0  # guarded: how long repeats are dropped
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth of an answer after the aim
    streaming: bool = False
    keep_order: bool = False  # requests with the same key run one at a time, as taken


@dataclass(slots=True)
class Tenant:
    name: str
    share: float = 0.0
    quota_rps: float = 0.0  # over all instances; 0 = no share stated


@dataclass(slots=True)
class Settings:
    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    report_fields: list[str] = field(default_factory=list)
    zone: int = 0
    number: int = 0  # this instance among its siblings
    siblings: int = 1
    watch_needed: bool = False  # discovery answers only when asked
    sizes_listed: bool = True
    warm_keys: bool = False
    max_attempts: int = 3
    may_duplicate: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 1000.0
    over_share_worth: float = 1.0
    price_cross_zone: float = 0.0
    quantum_ms: float = 1.0
    answer_slack_ms: float = 10.0
    ask_within_ms: float = 10000.0
    drain_grace_ms: float = 1000.0
    cold_from: float = 0.1
    cold_ms: float = 20000.0
    overload_factor: float = 2.0
    tip_after_ms: float = 1000.0
    sizes_live: bool = False  # listed sizes sink with the requests that the server holds
    full_may_have_run: bool = False  # REJECTED proves nothing
    key_rest_ms: float = 0.0  # a key in order rests so long after an attempt that may still be running
    retry_window_ms: float = 0.0  # attempts budget: over this long; 0 = no budget stated
    retry_free: float = 0.0  # so many attempts beyond the first of each request, however light the traffic
    retry_ratio: float = 0.0  # and so many for each request taken
    nines_part: float = 0.0  # weight of the nines in the result
    nines_wanted: float = 0.0  # nines that earn all of it
    # What only a proxy on sockets needs of the same settings.
    zones: list[str] = field(default_factory=list)
    kinds: list[str] = field(default_factory=list)
    dial_timeout_ms: float = 1000.0
    conn_idle_ms: float = 10000.0  # a server closes a connection idle for this long
    max_open: int = 1 << 16  # requests that an instance may hold

    @classmethod
    def from_pairs(cls, pairs: Mapping[str, str]) -> Settings:
        """Reads path=value settings; unknown keys are ignored, missing ones take the default."""
        get = _Reader(pairs)
        classes = []
        for i in range(get.count("classes.count", 1, least=1)):
            at = f"classes.{i}."
            classes.append(
                RequestClass(
                    name=get.text(at + "name", str(i)),
                    aim_ms=get.number(at + "slo_ms", above=0.0),
                    deadline_ms=get.number(at + "deadline_ms", above=0.0),
                    effect=get.choice(at + "effect", Effect, "free"),
                    scope=get.choice(at + "dedup_scope", Scope, "all"),
                    memory_ms=get.number(at + "memory_span_ms", 0.0),
                    worth=get.number(at + "importance", 1.0),
                    late_worth=get.number(at + "late_worth", 0.0),
                    streaming=get.flag(at + "streaming", False),
                    keep_order=get.flag(at + "keep_order", False),
                )
            )
        tenants = []
        for i in range(get.count("customers.count", 0)):
            at = f"customers.{i}."
            tenants.append(
                Tenant(
                    name=get.text(at + "name", str(i)),
                    share=get.number(at + "share", 0.0),
                    quota_rps=get.number(at + "quota_rps", 0.0),
                )
            )
        discovery = get.text("discovery", "pushed")
        if discovery not in ("pushed", "on_request"):
            raise SettingsError(f"discovery: unknown mode {discovery!r}")
        budget = ("rules.extra_window_ms", "rules.budget_free", "rules.extra_ratio")
        for key in budget if any(pairs.get(key) for key in budget) else ():
            get.number(key, None, above=0.0 if key == budget[0] else None)  # a budget is stated whole
        reports = get.text("report.how", "off") != "off"
        fields = get.text("report.fields", "")
        return cls(
            classes=classes,
            tenants=tenants,
            report_fields=[name for name in fields.split(",") if name] if reports else [],
            zone=get.count("zone", 0),
            number=get.count("my_number", 0),
            siblings=get.count("siblings", 1, least=1),
            watch_needed=discovery == "on_request",
            sizes_listed=get.text("weights", "nominal") != "off",
            warm_keys=get.flag("family_info.warm_keys", False),
            max_attempts=get.count("bounds.max_attempts", 3, least=1),
            may_duplicate=get.flag("bounds.may_duplicate", False),
            can_cancel=get.flag("bounds.cancel", False),
            can_probe=get.flag("bounds.probes", False),
            peers=get.flag("bounds.peers", False),
            retry_after=get.flag("bounds.retry_after", False),
            max_retry_after_ms=get.number("bounds.max_retry_after_ms", 1000.0),
            over_share_worth=get.number("over_share_worth", 1.0),
            price_cross_zone=get.number("prices.cross_zone", 0.0),
            quantum_ms=get.number("quantum_ms", 1.0),
            answer_slack_ms=get.number("rules.answer_slack_ms", 10.0),
            ask_within_ms=get.number("rules.ask_within_ms", 10000.0),
            drain_grace_ms=get.number("rules.drain_grace_ms", 1000.0),
            cold_from=get.number("rules.cold_from", 0.1),
            cold_ms=get.number("rules.cold_ms", 20000.0),
            overload_factor=get.number("rules.overload_factor", 2.0),
            tip_after_ms=get.number("rules.tip_after_ms", 1000.0),
            sizes_live=get.text("weights", "nominal") == "live",
            full_may_have_run=get.flag("rules.full_may_have_run", False),
            key_rest_ms=get.number("rules.key_rest_ms", 0.0),
            retry_window_ms=get.number(budget[0], 0.0),
            retry_free=get.number(budget[1], 0.0),
            retry_ratio=get.number(budget[2], 0.0),
            nines_part=get.number("result_mix.log_loss_part", 0.0),
            nines_wanted=get.number("result_mix.nines_wanted", 0.0),
            zones=[name for name in get.text("zones", "").split(",") if name],
            kinds=[name for name in get.text("shapes", "").split(",") if name],
            dial_timeout_ms=get.number("bounds.dial_timeout_ms", 1000.0, above=0.0),
            conn_idle_ms=get.number("bounds.conn_idle_ms", 10000.0, above=0.0),
            max_open=get.count("bounds.max_open", 1 << 16, least=1),
        )


class _Reader:
    """Typed access to path=value pairs; every complaint names the key."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def text(self, key: str, default: str) -> str:
        return self.pairs.get(key, default)

    def number(self, key: str, default: float | None = None, above: float | None = None) -> float:
        raw = self.pairs.get(key)
        if raw is None or raw == "":
            if default is None:
                raise SettingsError(f"{key}: missing")
            return default
        try:
            value = float(raw)
        except ValueError:
            raise SettingsError(f"{key}: not a number: {raw!r}") from None
        if value != value or value in (float("inf"), float("-inf")):
            raise SettingsError(f"{key}: not a finite number: {raw!r}")
        if value < 0 or (above is not None and value <= above):
            raise SettingsError(f"{key}: out of range: {raw!r}")
        return value

    def count(self, key: str, default: int, least: int = 0) -> int:
        value = self.number(key, float(default))
        if value != int(value) or value < least:
            raise SettingsError(f"{key}: not a whole number of at least {least}: {value}")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        raw = self.pairs.get(key)
        if raw is None or raw == "":
            return default
        if raw not in ("true", "false"):
            raise SettingsError(f"{key}: neither true nor false: {raw!r}")
        return raw == "true"

    def choice(self, key: str, kind: type[IntEnum], default: str) -> IntEnum:
        raw = self.pairs.get(key, default)
        try:
            return kind[raw.upper()]
        except KeyError:
            raise SettingsError(f"{key}: unknown value {raw!r}") from None


# ---- events: what a Balancer is told ------------------------------------------------------


@dataclass(slots=True)
class ServerEntry:
    id: ServerId
    size: float = 1.0
    cell: int = 0
    started_at_ms: float = 0.0  # 0 = long ago
    availability: int = Availability.READY
    zone: int = 0
    kind: int = 0


@dataclass(slots=True)
class ServerList:
    mode: int
    entries: list[ServerEntry]
    revision: int = 0


@dataclass(slots=True)
class Request:
    id: int
    time_left_ms: float
    cls: int = 0
    tenant: int = 0
    key: int = 0  # 0 = none
    cost_hint_ms: float = 0.0  # 0 = none
    is_repeat: bool = False


@dataclass(slots=True)
class Outcome:
    id: int
    attempt: int
    server: ServerId
    status: int
    latency_ms: float
    finished: bool
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class StreamStarted:
    id: int
    attempt: int
    server: ServerId
    latency_ms: float


@dataclass(slots=True)
class ClientGone:
    id: int


@dataclass(slots=True)
class Probed:
    server: ServerId
    status: int
    latency_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class TimerDue:
    token: int


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


Event = ServerList | Request | Outcome | StreamStarted | ClientGone | Probed | TimerDue | PeerMessage

# ---- actions: what a Balancer wants done --------------------------------------------------


@dataclass(slots=True)
class Send:
    id: int
    server: ServerId
    timeout_ms: float = 0.0  # 0 = until the client gives up


@dataclass(slots=True)
class Refuse:
    """Final answer: trying again is harmless."""

    id: int
    retry_after_ms: float = 0.0  # 0 = no advice


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no word on whether it ran."""

    id: int


@dataclass(slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(slots=True)
class Probe:
    server: ServerId


@dataclass(slots=True)
class SetTimer:
    token: int
    delay_ms: float


@dataclass(slots=True)
class Watch:
    """Ask discovery for changes from now on."""

    on: bool = True


@dataclass(slots=True)
class FetchList:
    pass


@dataclass(slots=True)
class CloseIdle:
    server: ServerId


@dataclass(slots=True)
class TellPeer:
    data: bytes
    peer: int | None = None  # None = every sibling


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch | FetchList | CloseIdle | TellPeer | Log
