"""Carries requests from clients to endpoints as the balancer decides. Knows no HTTP."""
