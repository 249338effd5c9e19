"""Runs the balancer under the simulator: its binary wire, and the adapter that hosts many Balancers on it.

This package serves the simulator only, which measures decisions in virtual time without sockets. The proxy
(`alderspool.program`) imports none of it.
"""
