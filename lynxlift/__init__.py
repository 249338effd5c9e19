"""lynxlift: the decisions of a load-balancing proxy for HTTP fleets."""

from lynxlift.rules import Balancer

__all__ = ["Balancer"]
