"""Runs the balancer in the simulator: the binary wire protocol, and an adapter that hosts many Balancers.

The simulator evaluates the balancer's decisions in virtual time, without sockets. Only the simulator uses
this package; the proxy (`alderspool.program`) does not import it.
"""
