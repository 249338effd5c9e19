"""Endpoints and discovery emulated with the models of `alderspool.lab.models`, and real proxy processes."""
