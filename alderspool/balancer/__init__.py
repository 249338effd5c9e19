"""alderspool.balancer: the decisions of a load-balancing proxy for HTTP fleets."""

from alderspool.balancer.balancer import Balancer

__all__ = ["Balancer"]
