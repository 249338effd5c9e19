"""alderspool.balancer: the decisions of a load-balancing proxy for HTTP fleets.

Read `rotation` first: it is the ordinary path. Each other policy module is an exception to it, named by what
it decides: `subset`, `slow_start`, `class_isolation`, `outlier_detection`, `concurrency_limit`,
`connection_health`, `retry_budget`, `retry_rules`, `hedging`, `admission_queue`, `load_reports`, `latency`
(how figures are learned) and `schedule` (when).

The others carry out: `balancer` takes events and returns actions, `request_dispatch` does what is decided for
a request, `refresh` rebuilds what was learned, `policies` wires the policies together; the rest are state
records, containers, moving averages and the codec of load reports.
"""

from alderspool.balancer.balancer import Balancer

__all__ = ["Balancer"]
