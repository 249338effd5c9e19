"""alderspool: a load-balancing HTTP proxy.

`alderspool.balancer` makes the load-balancing decisions and does no I/O; the other packages do the I/O.
"""

__version__ = "0.1.0"
