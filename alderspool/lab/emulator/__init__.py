"""Endpoints and discovery on loopback ports, by the models of `alderspool.lab.models`, and real proxies."""
