"""alderspool.balancer: the decisions of a load-balancing proxy for HTTP fleets.

Read `rotation` first: it picks the endpoint for an ordinary request. Each other policy module adds an
exception to it and is named after what it decides: `subset`, `slow_start`, `class_isolation`,
`outlier_detection`, `concurrency_limit`, `connection_health`, `retry_budget`, `retry_rules`, `hedging`,
`admission_queue`, `load_reports`, `latency` (how statistics are learned) and `schedule` (when).

The other modules apply the policies: `balancer` takes events and returns actions, `request_dispatch` carries
out the decisions for a request, `refresh` periodically recomputes the learned statistics, and `policies`
constructs and connects the policies. The rest are state records, containers, moving averages and the codec
of load reports.
"""

from alderspool.balancer.balancer import Balancer

__all__ = ["Balancer"]
