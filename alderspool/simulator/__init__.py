"""Runs the balancer on the simulator's binary wire, for measuring decisions without sockets."""
