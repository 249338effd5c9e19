"""Interprets a client's request: its class, tenant, deadline and key, by the settings.

Headers and paths only; how bytes become a request is in `http_server`.
"""

from __future__ import annotations

from hashlib import blake2b

from alderspool.balancer.settings import Idempotency, Settings
from alderspool.protocol.client_messages import InvalidRequest, RawRequest, ReadinessQuery
from alderspool.protocol.endpoint_list import to_settings_name
from alderspool.protocol.http_parts import Headers
from alderspool.protocol.upstream import HOP_BY_HOP, ForwardedRequest
from alderspool.routing.messages import ClientRequest

READINESS_PATH = b"/ready"
LONGEST_DEADLINE_MS = 3_600_000
LONGEST_DEADLINE_DIGITS = 7
LONGEST_COST_HINT_BYTES = 31
COST_HINT_LIMIT_MS = 1e9
KEY_BYTES = 8
# HTTP/1.0 permits a request without Host; the HTTP/1.1 request that is forwarded must have one.
DEFAULT_HOST = (b"Host", b"execute-node")
# Headers that must not be given twice.
SINGLE_HEADERS = frozenset(b"x-class x-tenant x-deadline-ms x-request-id idempotency-key".split())


class RequestReader:
    """Turns raw requests into the exchange's requests, by the settings' classes and tenants.

    It keeps no state between requests; one instance serves all connections.
    """

    def __init__(self, settings: Settings) -> None:
        self._class_indexes = {to_settings_name(c.name): index for index, c in enumerate(settings.classes)}
        self._idempotency = [c.idempotency for c in settings.classes]
        self._tenant_indexes = {to_settings_name(t.name): index for index, t in enumerate(settings.tenants)}

    def read(self, raw: RawRequest) -> ClientRequest | InvalidRequest | ReadinessQuery:
        """Return what a raw request is; never raises for what a client can send."""
        path = raw.target.partition(b"?")[0]
        if path == READINESS_PATH:
            return ReadinessQuery() if raw.method == b"GET" else _wrong_method(b"GET")
        path_parts = path.split(b"/")
        class_name = ""
        if len(path_parts) > 1 and not path_parts[0]:
            class_name = to_settings_name(path_parts[1].decode("latin-1"))
        class_index = self._class_indexes.get(class_name)
        if class_index is None:
            return InvalidRequest(404, "unknown path")
        expected_method = b"GET" if self._idempotency[class_index] == Idempotency.IDEMPOTENT else b"POST"
        if raw.method != expected_method:
            return _wrong_method(expected_method)
        values: dict[bytes, bytes] = {}
        forwarded: Headers = []
        for name, value in raw.headers:
            if name in values and name in SINGLE_HEADERS:
                return InvalidRequest(400, f"{name.decode()}: given twice")
            values[name] = value
            if name not in HOP_BY_HOP:
                forwarded.append((name, value))
        if b"host" not in values:
            forwarded.append(DEFAULT_HOST)
        return self._read_headers(raw, class_index, class_name, path_parts, values, forwarded)

    def _read_headers(
        self,
        raw: RawRequest,
        class_index: int,
        class_name: str,
        path_parts: list[bytes],
        values: dict[bytes, bytes],
        forwarded: Headers,
    ) -> ClientRequest | InvalidRequest:
        tenant: int | None = 0
        if self._tenant_indexes:
            tenant = self._tenant_indexes.get(to_settings_name(values.get(b"x-tenant", b"").decode("latin-1")))
        fault = self._find_header_fault(class_index, class_name, tenant, values)
        if fault is None and raw.body and raw.method == b"GET":
            fault = "a GET with a body"
        if fault is not None:
            return InvalidRequest(400, fault)
        assert tenant is not None
        return ClientRequest(
            class_index,
            tenant,
            _hash_key(path_parts[-1]) if len(path_parts) > 2 else 0,  # noqa: PLR2004  ["", class, key]
            float(values[b"x-deadline-ms"]),
            ForwardedRequest(raw.method, raw.target, forwarded, raw.body),
            client_request_id=values[b"x-request-id"],
            is_retry=values.get(b"x-retry") == b"1",
            cost_hint_ms=_read_cost_hint(values.get(b"x-cost-hint")),
        )

    def _find_header_fault(
        self, class_index: int, class_name: str, tenant: int | None, values: dict[bytes, bytes]
    ) -> str | None:
        if to_settings_name(values.get(b"x-class", b"").decode("latin-1")) != class_name:
            return "X-Class: missing, unknown or not the path's"
        if tenant is None:
            return "X-Tenant: missing or unknown"
        deadline_ms = values.get(b"x-deadline-ms", b"")
        has_valid_length = deadline_ms.isdigit() and len(deadline_ms) <= LONGEST_DEADLINE_DIGITS
        if not has_valid_length or not 0 < int(deadline_ms) <= LONGEST_DEADLINE_MS:
            return "X-Deadline-Ms: missing or not a whole number of milliseconds"
        if not values.get(b"x-request-id"):
            return "X-Request-Id: missing"
        # The key decides how a retry is treated: a missing key, or a key where the class has none,
        # contradicts the class.
        is_keyed_class = self._idempotency[class_index] == Idempotency.KEYED
        if bool(values.get(b"idempotency-key")) != is_keyed_class:
            return "Idempotency-Key: not as the class demands"
        return None


def _wrong_method(allowed: bytes) -> InvalidRequest:
    return InvalidRequest(405, "wrong method", [(b"Allow", allowed)])


def _hash_key(path_part: bytes) -> int:
    """Return a stable 64-bit hash, the same at every proxy. 0 means that there is no key."""
    if not path_part:
        return 0
    return int.from_bytes(blake2b(path_part, digest_size=KEY_BYTES).digest(), "big") or 1


def _read_cost_hint(value: bytes | None) -> float:
    """Return the anticipated work in ms, or 0. It is only advice, so an invalid hint is ignored."""
    if not value or len(value) > LONGEST_COST_HINT_BYTES:
        return 0.0
    try:
        hint_ms = float(value)
    except ValueError:
        return 0.0
    return hint_ms if 0.0 < hint_ms < COST_HINT_LIMIT_MS else 0.0
