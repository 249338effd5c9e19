"""The built-in setup of the emulator: request classes, endpoint type, zones and settings of the proxies."""

from __future__ import annotations

from typing import Any

from alderspool.lab.emulator.endpoint import WorkDistribution

WORK_BY_CLASS = {
    "status-check": WorkDistribution(30.0),
    "otp-send": WorkDistribution(18.0),
    "batch-submit": WorkDistribution(36.0),
}
ENDPOINT_TYPE = "m2"
ZONES = ("a", "b")

# In the format of the platform's settings document, whose names are used here.
PROXY_SETTINGS: dict[str, Any] = {
    "bounds": {"cancel": True, "may_duplicate": True, "max_attempts": 5, "conn_idle_ms": 10000.0},
    "classes": [
        {
            "name": "status-check",
            "slo_ms": 400.0,
            "deadline_ms": 1000.0,
            "effect": "free",
            "importance": 1.0,
        },
        {
            "name": "otp-send",
            "slo_ms": 150.0,
            "deadline_ms": 750.0,
            "effect": "single_shot",
            "importance": 2.0,
        },
        {
            "name": "batch-submit",
            "slo_ms": 500.0,
            "deadline_ms": 2000.0,
            "effect": "guarded",
            "dedup_scope": "cell",
            "memory_span_ms": 10000.0,
            "importance": 5.0,
        },
    ],
    "customers": [
        {"name": "large", "share": 0.55, "quota_rps": 0.0},
        {"name": "middle", "share": 0.36, "quota_rps": 0.0},
        {"name": "small", "share": 0.09, "quota_rps": 0.0},
    ],
    "discovery": "on_request",
    "rules": {"drain_grace_ms": 250.0, "cold_from": 0.4, "cold_ms": 4000.0, "overload_factor": 4.0},
    "shapes": [ENDPOINT_TYPE],
    "weights": "nominal",
    "zones": list(ZONES),
}
PROXY_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
