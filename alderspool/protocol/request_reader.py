"""Validates client requests and extracts their class, tenant, deadline and key according to the settings.

Only methods, paths and headers are interpreted here; `http_server` decodes the requests.
"""

from __future__ import annotations

from hashlib import blake2b

from alderspool.balancer.settings import Idempotency, Settings
from alderspool.protocol.client_messages import InvalidRequest, RawRequest, ReadinessQuery
from alderspool.protocol.endpoint_list import to_settings_name
from alderspool.protocol.http_parts import Headers
from alderspool.protocol.upstream import NOT_FORWARDED_HEADERS, ForwardedRequest
from alderspool.routing.messages import ClientRequest

READINESS_PATH = b"/ready"
MAX_DEADLINE_MS = 3_600_000
MAX_DEADLINE_DIGITS = 7
MAX_COST_HINT_BYTES = 31
COST_HINT_LIMIT_MS = 1e9
KEY_HASH_BYTES = 8
# HTTP/1.0 permits a request without Host, but the request is forwarded as HTTP/1.1, which requires it.
DEFAULT_HOST = (b"Host", b"execute-node")
# Headers that may occur only once in a request.
SINGLE_HEADERS = frozenset(b"x-class x-tenant x-deadline-ms x-request-id idempotency-key".split())


class RequestReader:
    """Converts raw requests to requests of the exchange, using the classes and tenants of the settings.

    It keeps no state between requests; all connections share one instance.
    """

    def __init__(self, settings: Settings) -> None:
        self._class_indexes = {to_settings_name(c.name): index for index, c in enumerate(settings.classes)}
        self._idempotency = [c.idempotency for c in settings.classes]
        self._tenant_indexes = {to_settings_name(t.name): index for index, t in enumerate(settings.tenants)}

    def read(self, raw: RawRequest) -> ClientRequest | InvalidRequest | ReadinessQuery:
        """Classify and validate a raw request. Never raises, whatever the client has sent."""
        path = raw.target.partition(b"?")[0]
        if path == READINESS_PATH:
            return ReadinessQuery() if raw.method == b"GET" else _method_not_allowed(b"GET")
        path_parts = path.split(b"/")
        class_name = ""
        if len(path_parts) > 1 and not path_parts[0]:
            class_name = to_settings_name(path_parts[1].decode("latin-1"))
        class_index = self._class_indexes.get(class_name)
        if class_index is None:
            return InvalidRequest(404, "unknown path")
        expected_method = b"GET" if self._idempotency[class_index] == Idempotency.IDEMPOTENT else b"POST"
        if raw.method != expected_method:
            return _method_not_allowed(expected_method)
        header_values: dict[bytes, bytes] = {}
        forwarded_headers: Headers = []
        for name, value in raw.headers:
            if name in header_values and name in SINGLE_HEADERS:
                return InvalidRequest(400, f"{name.decode()}: given twice")
            header_values[name] = value
            if name not in NOT_FORWARDED_HEADERS:
                forwarded_headers.append((name, value))
        if b"host" not in header_values:
            forwarded_headers.append(DEFAULT_HOST)
        return self._read_headers(raw, class_index, class_name, path_parts, header_values, forwarded_headers)

    def _read_headers(
        self,
        raw: RawRequest,
        class_index: int,
        class_name: str,
        path_parts: list[bytes],
        header_values: dict[bytes, bytes],
        forwarded_headers: Headers,
    ) -> ClientRequest | InvalidRequest:
        tenant: int | None = 0
        if self._tenant_indexes:
            tenant = self._tenant_indexes.get(
                to_settings_name(header_values.get(b"x-tenant", b"").decode("latin-1"))
            )
        error = self._find_header_error(class_index, class_name, tenant, header_values)
        if error is None and raw.body and raw.method == b"GET":
            error = "a GET with a body"
        if error is not None:
            return InvalidRequest(400, error)
        assert tenant is not None
        # The parts of a path with a key are ["", class, ..., key].
        return ClientRequest(
            class_index,
            tenant,
            _hash_key(path_parts[-1]) if len(path_parts) > 2 else 0,  # noqa: PLR2004
            float(header_values[b"x-deadline-ms"]),
            ForwardedRequest(raw.method, raw.target, forwarded_headers, raw.body),
            client_request_id=header_values[b"x-request-id"],
            is_retry=header_values.get(b"x-retry") == b"1",
            cost_hint_ms=_read_cost_hint(header_values.get(b"x-cost-hint")),
        )

    def _find_header_error(
        self, class_index: int, class_name: str, tenant: int | None, header_values: dict[bytes, bytes]
    ) -> str | None:
        if to_settings_name(header_values.get(b"x-class", b"").decode("latin-1")) != class_name:
            return "X-Class: missing, unknown or not the path's"
        if tenant is None:
            return "X-Tenant: missing or unknown"
        deadline_ms = header_values.get(b"x-deadline-ms", b"")
        has_valid_format = deadline_ms.isdigit() and len(deadline_ms) <= MAX_DEADLINE_DIGITS
        if not has_valid_format or not 0 < int(deadline_ms) <= MAX_DEADLINE_MS:
            return "X-Deadline-Ms: missing or not a whole number of milliseconds"
        if not header_values.get(b"x-request-id"):
            return "X-Request-Id: missing"
        # Whether a request has an idempotency key decides how it may be retried. So a key must be present if
        # the class requires one, and absent otherwise.
        is_keyed_class = self._idempotency[class_index] == Idempotency.KEYED
        if bool(header_values.get(b"idempotency-key")) != is_keyed_class:
            return "Idempotency-Key: not as the class demands"
        return None


def _method_not_allowed(allowed: bytes) -> InvalidRequest:
    return InvalidRequest(405, "wrong method", [(b"Allow", allowed)])


def _hash_key(path_part: bytes) -> int:
    """Return a 64-bit hash of the key that is the same on every proxy, or 0 if the key is empty."""
    if not path_part:
        return 0
    return int.from_bytes(blake2b(path_part, digest_size=KEY_HASH_BYTES).digest(), "big") or 1


def _read_cost_hint(value: bytes | None) -> float:
    """Return the client's estimate of the work in ms, or 0 if it is absent or invalid.

    An invalid hint is ignored instead of rejected, since the hint is only advisory.
    """
    if not value or len(value) > MAX_COST_HINT_BYTES:
        return 0.0
    try:
        hint_ms = float(value)
    except ValueError:
        return 0.0
    return hint_ms if 0.0 < hint_ms < COST_HINT_LIMIT_MS else 0.0
