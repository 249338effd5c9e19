"""alderspool: a load-balancing proxy for HTTP; `alderspool.balancer` decides, the rest does the I/O."""

__version__ = "0.1.0"
