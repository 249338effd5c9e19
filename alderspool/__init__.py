"""alderspool: a real load-balancing proxy on sockets, round the decisions of alderspool.balancer."""

__version__ = "0.1.0"
